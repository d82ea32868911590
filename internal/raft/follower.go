package raft

// recordLeaderContact follows member id as leader of the current term and restarts the election and vote timers.
func (n *Node) recordLeaderContact(id uint64) {
	if n.role != Follower || n.leaderID != id {
		n.becomeFollower(n.term, id)
	}
	n.voteBlockedUntil = n.now + n.opts.ElectionTimeout
	n.resetElectionTimer()
}

func (n *Node) handleAppend(m Message) {
	if n.role == Leader || n.refused {
		return
	}
	n.recordLeaderContact(m.From)
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

// trimCommitted drops the entries of m that this node has already committed, which agree with the leader's log. It
// returns the index before the first remaining entry, and the remaining entries.
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

// conflictHint returns the last index that may agree with the leader's log. It skips all entries of the conflicting
// term, so that the leader needs one probe per term rather than one per entry.
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

// commitTo raises the commit index to index, limited to the end of the log.
func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) handleSnapshot(m Message) {
	if n.role == Leader || n.refused || m.Snapshot == nil {
		return
	}
	n.recordLeaderContact(m.From)
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
