package raft

// promotable reports whether the node may become a candidate.
func (n *Node) promotable() bool {
	if n.refused || n.log.pendingSnapshot != nil {
		return false
	}
	if n.opts.Mutations.CountLearners {
		_, member := n.log.configuration().Member(n.id)
		return member
	}
	return n.log.configuration().IsVoter(n.id)
}

// leaderMayHoldLease reports whether a leader known to this node, or the node itself as leader, may still hold its
// lease.
func (n *Node) leaderMayHoldLease() bool {
	if n.opts.Mutations.IgnoreLease {
		return false
	}
	if n.role == Leader {
		return n.quorumActive()
	}
	return n.now < n.voteBlockedUntil
}

// campaign starts an election, or a pre-vote if as is PreCandidate, unless the node may not become a candidate.
func (n *Node) campaign(as Role) {
	if !n.promotable() {
		n.resetElectionTimer()
		return
	}
	n.becomeCandidate(as)
	n.requestVotes(false)
}

func (n *Node) becomeCandidate(as Role) {
	n.role = as
	n.leaderID = 0
	n.leaderState = leaderState{}
	n.votes = map[uint64]bool{}
	n.resetRetryTimer()
	if as == Candidate {
		n.term++
		n.votedFor = n.id
		n.selfVotePending = true
		return
	}
	n.selfVotePending = false
	n.recordVote(n.id, true)
}

func (n *Node) requestVotes(force bool) {
	m := Message{Type: MsgVote, Term: n.term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Force: force}
	if n.role == PreCandidate {
		m.Type, m.Term = MsgPreVote, n.term+1
	}
	if n.role != PreCandidate && n.role != Candidate {
		return
	}
	asked := map[uint64]bool{n.id: true}
	for _, set := range n.voterSets() {
		for _, member := range set {
			if asked[member.ID] {
				continue
			}
			asked[member.ID] = true
			m.To = member.ID
			n.send(m)
		}
	}
}

func (n *Node) handleVoteRequest(m Message) {
	if n.refused || n.leaderMayHoldLease() && !m.Force {
		return
	}
	granted := n.mayVoteFor(m) && n.logUpToDate(m)
	r := Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if m.Type == MsgVote {
		r.Type = MsgVoteResponse
		if granted {
			n.votedFor = m.From
			n.resetElectionTimer()
		}
	} else if !granted {
		r.Term = n.term
	}
	n.send(r)
}

// mayVoteFor reports whether this node's vote in the term of m is free or was given to the sender of m already. A node
// that follows a leader in that term has no free vote.
func (n *Node) mayVoteFor(m Message) bool {
	if m.Type == MsgPreVote {
		return m.Term > n.term || m.Term == n.term && n.leaderID == 0 && (n.votedFor == 0 || n.votedFor == m.From)
	}
	return n.votedFor == m.From || n.votedFor == 0 && n.leaderID == 0
}

// logUpToDate reports whether the candidate's log is at least as up to date as this node's (Raft paper, section 5.4.1).
func (n *Node) logUpToDate(m Message) bool {
	if n.opts.Mutations.IgnoreLogOnVote {
		return true
	}
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.LogIndex >= n.log.lastIndex()
}

func (n *Node) handleVoteResponse(m Message) {
	switch m.Type {
	case MsgPreVoteResponse:
		// A granted pre-vote carries the term that the candidate asked for, one above its own.
		if n.role != PreCandidate || !m.Reject && m.Term != n.term+1 {
			return
		}
	case MsgVoteResponse:
		if n.role != Candidate {
			return
		}
	}
	n.recordVote(m.From, !m.Reject)
}

func (n *Node) recordVote(id uint64, granted bool) {
	if n.role != PreCandidate && n.role != Candidate {
		return
	}
	n.votes[id] = granted
	switch tally(n.voterSets(), n.votes) {
	case voteWon:
		n.electionWon()
	case voteLost:
		n.electionLost()
	}
}

func (n *Node) electionWon() {
	if n.role == PreCandidate {
		n.becomeCandidate(Candidate)
		n.requestVotes(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) electionLost() {
	n.role = Follower
	n.votes = nil
	n.selfVotePending = false
	n.resetRetryTimer()
}

// handleTimeoutNow starts the election of a leadership transfer. The old leader has released its lease for the rest of
// its term, so voters need not wait for the lease to expire.
func (n *Node) handleTimeoutNow(m Message) {
	if n.role == Leader || m.From != n.leaderID || !n.promotable() {
		return
	}
	n.becomeCandidate(Candidate)
	n.requestVotes(true)
}

// handleRefuse excludes this node from elections. The leader detected that the node runs on an older copy of its disk,
// so it may have lost votes and entries that it had acknowledged.
func (n *Node) handleRefuse(m Message) {
	if n.refused || n.opts.Mutations.AcceptRegression {
		return
	}
	n.refused = true
	n.events = append(n.events, Event{RefusedID: n.id, Detail: "the leader refused this replica: its disk is an older copy"})
}
