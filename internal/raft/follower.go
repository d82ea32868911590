package raft

// heardLeader records contact with the leader of the current term.
func (n *Node) heardLeader(id uint64) {
	if n.role != Follower || n.leader != id {
		n.becomeFollower(n.term, id)
	}
	n.noVoteBefore = n.now + n.opts.ElectionTimeout
	n.resetElectionTimer()
}

func (n *Node) handleAppend(m Message) {
	if n.role == Leader || n.refused {
		return
	}
	n.heardLeader(m.From)
	r := Message{Type: MsgAppendResponse, To: m.From, Sequence: m.Sequence, SentAt: m.SentAt}
	prev, entries := n.trimCommitted(m)
	if prev > n.log.commit && !n.log.matches(prev, m.LogTerm) {
		r.Reject = true
		r.Index = n.conflictHint(m)
		r.LastIndex = n.log.lastIndex()
		n.send(r)
		return
	}
	n.log.merge(entries)
	r.Index = prev + uint64(len(entries))
	r.LastIndex = n.log.lastIndex()
	n.commitTo(min(m.Commit, r.Index))
	n.send(r)
}

// trimCommitted drops the entries that this node has committed already: they agree with the leader's log. It
// returns the index before the remaining entries.
func (n *Node) trimCommitted(m Message) (prev uint64, entries []Entry) {
	prev, entries = m.LogIndex, m.Entries
	if prev >= n.log.commit {
		return prev, entries
	}
	skip := min(n.log.commit-prev, uint64(len(entries)))
	if skip < n.log.commit-prev {
		return n.log.commit, nil
	}
	return n.log.commit, entries[skip:]
}

// conflictHint returns the last index that may agree with the leader's log, skipping a whole conflicting term.
func (n *Node) conflictHint(m Message) uint64 {
	i := min(m.LogIndex-1, n.log.lastIndex())
	conflicting, ok := n.log.term(m.LogIndex)
	if !ok {
		return i
	}
	for i > n.log.commit {
		if t, _ := n.log.term(i); t != conflicting {
			break
		}
		i--
	}
	return i
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) handleSnapshot(m Message) {
	if n.role == Leader || n.refused || m.Snapshot == nil {
		return
	}
	n.heardLeader(m.From)
	s := *m.Snapshot
	if s.Index > n.log.commit {
		if n.log.matches(s.Index, s.Term) {
			n.commitTo(s.Index)
		} else {
			n.log.restore(s)
		}
	}
	n.send(Message{
		Type: MsgAppendResponse, To: m.From, Index: n.log.commit, LastIndex: n.log.lastIndex(),
		Sequence: m.Sequence, SentAt: m.SentAt,
	})
}
