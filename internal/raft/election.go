package raft

// promotable reports whether the node may stand for election.
func (n *Node) promotable() bool {
	if n.refused || n.log.pending != nil {
		return false
	}
	if n.opts.Mutations.CountLearners {
		_, member := n.log.configuration().Member(n.id)
		return member
	}
	return n.log.configuration().IsVoter(n.id)
}

// protectsLease reports whether a leader that this node knows of may still hold its lease.
func (n *Node) protectsLease() bool {
	if n.opts.Mutations.IgnoreLease {
		return false
	}
	if n.role == Leader {
		return n.quorumActive()
	}
	return n.now < n.noVoteBefore
}

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
	n.leader = 0
	n.lead = leadership{}
	n.votes = map[uint64]bool{}
	n.resetRetryTimer()
	if as == Candidate {
		n.term++
		n.vote = n.id
		n.selfVote = true
		return
	}
	n.selfVote = false
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
	for _, set := range n.sets() {
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
	if n.refused || n.protectsLease() && !m.Force {
		return
	}
	granted := n.mayVoteFor(m) && n.logUpToDate(m)
	r := Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if m.Type == MsgVote {
		r.Type = MsgVoteResponse
		if granted {
			n.vote = m.From
			n.resetElectionTimer()
		}
	} else if !granted {
		r.Term = n.term
	}
	n.send(r)
}

func (n *Node) mayVoteFor(m Message) bool {
	if m.Type == MsgPreVote {
		return m.Term > n.term || m.Term == n.term && n.leader == 0 && (n.vote == 0 || n.vote == m.From)
	}
	return n.vote == m.From || n.vote == 0 && n.leader == 0
}

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
	switch tally(n.sets(), n.votes) {
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
	n.selfVote = false
	n.resetRetryTimer()
}

// handleTimeoutNow starts the election of a leadership transfer. The old leader has given up its lease for the
// rest of its term, so voters need not wait for it.
func (n *Node) handleTimeoutNow(m Message) {
	if n.role == Leader || m.From != n.leader || !n.promotable() {
		return
	}
	n.becomeCandidate(Candidate)
	n.requestVotes(true)
}

// handleRefuse takes the node out of elections: the leader has shown that its disk is an older copy, so it may
// have forgotten votes and entries.
func (n *Node) handleRefuse(m Message) {
	if n.refused || n.opts.Mutations.AcceptRegression {
		return
	}
	n.refused = true
	n.events = append(n.events, Event{RefusedID: n.id, Detail: "the leader refused this replica: its disk is an older copy"})
}
