package sim

import (
	"fmt"

	"filbertledge/internal/raft"
)

// checker records the observed behavior of all servers and the first violation of a safety property.
type checker struct {
	err                error
	leaders            map[uint64]uint64      // instance that led each term
	entries            map[uint64]raft.Entry  // applied entries by index
	hashes             map[uint64]uint64      // state digest after each applied index
	committedInTerm    map[uint64]uint64      // by index: highestLeaderTerm when the entry was first applied
	highestLeaderTerm  uint64                 // highest term in which a leader was seen
	checkedLeaderships map[leadershipKey]bool // leaders whose logs were checked for completeness
	maxApplied         uint64                 // highest index that any server applied
	reads              int
	votes              map[leadershipKey]uint64 // granted votes: candidate by term and voter
	// driftUnbounded disables the lease checks, because the lease is exclusive only within the assumed clock drift.
	driftUnbounded bool
}

// leadershipKey identifies a server instance in a term.
type leadershipKey struct{ term, id uint64 }

func newChecker() checker {
	return checker{
		leaders: map[uint64]uint64{}, entries: map[uint64]raft.Entry{}, hashes: map[uint64]uint64{},
		committedInTerm: map[uint64]uint64{}, checkedLeaderships: map[leadershipKey]bool{}, votes: map[leadershipKey]uint64{},
	}
}

// fail records the first violation.
func (k *checker) fail(format string, args ...any) {
	if k.err == nil {
		k.err = fmt.Errorf(format, args...)
	}
}

// checkLeader checks election safety (at most one leader in a term) and leader completeness (a leader's log holds
// every entry that was committed in an earlier term). It also starts a read at each new leader.
func (k *checker) checkLeader(s *Server) {
	n := s.node.Status()
	key := leadershipKey{n.Term, s.ID}
	if n.Role != raft.Leader || k.checkedLeaderships[key] {
		return
	}
	k.checkedLeaderships[key] = true
	if other, ok := k.leaders[n.Term]; ok && other != s.ID {
		k.fail("election safety: instances %d and %d both lead term %d", other, s.ID, n.Term)
	}
	k.leaders[n.Term] = s.ID
	k.highestLeaderTerm = max(k.highestLeaderTerm, n.Term)
	s.cluster.After(0, func() { s.Read() })
	for index := n.FirstIndex; index <= k.maxApplied; index++ {
		want, known := k.entries[index]
		term, ok := s.node.Term(index)
		if known && k.committedInTerm[index] < n.Term && (!ok || term != want.Term) {
			k.fail("leader completeness: %s leads term %d without entry %d of term %d", s.Name, n.Term, index, want.Term)
			return
		}
	}
}

// checkVote checks that a server grants at most one vote in a term.
func (k *checker) checkVote(m raft.Message) {
	if m.Type != raft.MsgVoteResponse || m.Reject {
		return
	}
	key := leadershipKey{m.Term, m.From}
	if other, ok := k.votes[key]; ok && other != m.To {
		k.fail("election safety: instance %d voted for %d and %d in term %d", m.From, other, m.To, m.Term)
	}
	k.votes[key] = m.To
}

// checkRefusal checks that the cluster refuses only servers that were restarted on an older copy of their disk.
func (c *Cluster) checkRefusal(id uint64) {
	if s := c.byID[id]; s != nil && !s.onOlderDisk {
		c.checker.fail("%s was refused although it was not restarted on an older disk", s.Name)
	}
}

// checkApply checks that all servers apply the same entries in the same order.
func (k *checker) checkApply(s *Server, e raft.Entry) {
	if e.Index != s.applied+1 {
		k.fail("state machine safety: %s applied entry %d after %d", s.Name, e.Index, s.applied)
	}
	old, known := k.entries[e.Index]
	if known && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		k.fail("state machine safety: %s applied entry %d of term %d (%q), another server applied it with term %d (%q)",
			s.Name, e.Index, e.Term, e.Data, old.Term, old.Data)
	}
	if !known {
		k.committedInTerm[e.Index] = k.highestLeaderTerm
	}
	k.entries[e.Index] = e
}

// checkState checks that all servers have the same state after the same index, also after restoring a snapshot.
func (k *checker) checkState(s *Server) {
	if s.applied == 0 {
		return
	}
	if old, known := k.hashes[s.applied]; known && old != s.hash {
		k.fail("state machine safety: the state of %s after entry %d differs from another server's", s.Name, s.applied)
	}
	k.hashes[s.applied] = s.hash
	k.maxApplied = max(k.maxApplied, s.applied)
}

// checkRead checks that a read observes every entry that any server had applied when the read started.
func (k *checker) checkRead(r *Read, index uint64) {
	if index < r.atLeast {
		k.fail("linearizable read: answered at index %d, but %d was applied before it started", index, r.atLeast)
	}
}

// checkLeases checks that at most one server holds the leader lease, and that the holder has committed every entry
// that any server has applied, because it answers reads from its own state.
func (c *Cluster) checkLeases() {
	var holder *Server
	if c.checker.driftUnbounded {
		return
	}
	for _, s := range c.sortedServers {
		if !s.HoldsLease() {
			continue
		}
		if holder != nil {
			c.checker.fail("lease exclusivity: %s (term %d) and %s (term %d) both hold the lease at %v",
				holder.Name, holder.Status().Term, s.Name, s.Status().Term, c.now)
		}
		holder = s
		if s.node.Status().Commit < c.checker.maxApplied && s.Idle() {
			c.checker.fail("lease read: %s holds the lease with commit index %d, but %d was applied", s.Name, s.Status().Commit, c.checker.maxApplied)
		}
	}
}

// CheckConverged returns an error unless all named servers are running and have applied at least the index atLeast.
func (c *Cluster) CheckConverged(atLeast uint64, names ...string) error {
	for _, name := range names {
		s := c.servers[name]
		if s.down || s.applied < atLeast {
			return fmt.Errorf("%s (role %v, term %d) has applied %d of %d entries", name, s.Status().Role, s.Status().Term, s.applied, atLeast)
		}
	}
	return nil
}

// MaxApplied returns the highest index that any server has applied.
func (c *Cluster) MaxApplied() uint64 { return c.checker.maxApplied }
