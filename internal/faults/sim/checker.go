package sim

import (
	"fmt"

	"filbertledge/internal/raft"
)

// checker holds what all servers together have shown, and the first violation.
type checker struct {
	err         error
	leaders     map[uint64]uint64      // term to instance
	entries     map[uint64]raft.Entry  // applied entries by index
	hashes      map[uint64]uint64      // state digest by index
	committedBy map[uint64]uint64      // highest term that had a leader when an index was first applied
	lastLeader  uint64                 // highest term that had a leader
	led         map[leadershipKey]bool // leaderships that were checked for completeness
	maxApplied  uint64                 // highest index that any server applied
	reads       int
	votes       map[leadershipKey]uint64 // granted votes: term and voter to candidate
	// clocksUnbounded turns off the checks of the lease, which holds only within the assumed drift.
	clocksUnbounded bool
}

type leadershipKey struct{ term, id uint64 }

func newChecker() checker {
	return checker{
		leaders: map[uint64]uint64{}, entries: map[uint64]raft.Entry{}, hashes: map[uint64]uint64{},
		committedBy: map[uint64]uint64{}, led: map[leadershipKey]bool{}, votes: map[leadershipKey]uint64{},
	}
}

func (k *checker) fail(format string, args ...any) {
	if k.err == nil {
		k.err = fmt.Errorf(format, args...)
	}
}

// leader checks election safety and leader completeness.
func (k *checker) leader(s *Server) {
	n := s.node.Status()
	key := leadershipKey{n.Term, s.ID}
	if n.Role != raft.Leader || k.led[key] {
		return
	}
	k.led[key] = true
	if other, ok := k.leaders[n.Term]; ok && other != s.ID {
		k.fail("election safety: instances %d and %d both lead term %d", other, s.ID, n.Term)
	}
	k.leaders[n.Term] = s.ID
	k.lastLeader = max(k.lastLeader, n.Term)
	s.cluster.After(0, func() { s.Read() })
	for index := n.FirstIndex; index <= k.maxApplied; index++ {
		want, known := k.entries[index]
		term, ok := s.node.Term(index)
		if known && k.committedBy[index] < n.Term && (!ok || term != want.Term) {
			k.fail("leader completeness: %s leads term %d without entry %d of term %d", s.Name, n.Term, index, want.Term)
			return
		}
	}
}

// vote checks that a server votes at most once in a term.
func (k *checker) vote(m raft.Message) {
	if m.Type != raft.MsgVoteResponse || m.Reject {
		return
	}
	key := leadershipKey{m.Term, m.From}
	if other, ok := k.votes[key]; ok && other != m.To {
		k.fail("election safety: instance %d voted for %d and %d in term %d", m.From, other, m.To, m.Term)
	}
	k.votes[key] = m.To
}

// refusal checks that only a server on an older disk is refused.
func (c *Cluster) refusal(id uint64) {
	if s := c.byID[id]; s != nil && !s.older {
		c.check.fail("%s was refused although it runs on its own disk", s.Name)
	}
}

// apply checks that all servers apply the same entries in the same order.
func (k *checker) apply(s *Server, e raft.Entry) {
	if e.Index != s.applied+1 {
		k.fail("state machine safety: %s applied entry %d after %d", s.Name, e.Index, s.applied)
	}
	old, known := k.entries[e.Index]
	if known && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		k.fail("state machine safety: %s applied entry %d of term %d (%q), another server term %d (%q)",
			s.Name, e.Index, e.Term, e.Data, old.Term, old.Data)
	}
	if !known {
		k.committedBy[e.Index] = k.lastLeader
	}
	k.entries[e.Index] = e
}

// applied checks that the state after an index is the same everywhere, also after a snapshot.
func (k *checker) applied(s *Server) {
	if s.applied == 0 {
		return
	}
	if old, known := k.hashes[s.applied]; known && old != s.hash {
		k.fail("state machine safety: the state of %s after entry %d differs from another server's", s.Name, s.applied)
	}
	k.hashes[s.applied] = s.hash
	k.maxApplied = max(k.maxApplied, s.applied)
}

// read checks that a read sees everything that any server had applied when it started.
func (k *checker) read(r *Read, index uint64) {
	if index < r.atLeast {
		k.fail("linearizable read: answered at index %d, but %d was applied before it started", index, r.atLeast)
	}
}

// checkLeases checks that at most one server would act as leader, and that it has committed everything that any
// server has applied, so that it may answer from its own state.
func (c *Cluster) checkLeases() {
	var holder *Server
	if c.check.clocksUnbounded {
		return
	}
	for _, s := range c.ordered {
		if !s.HoldsLease() {
			continue
		}
		if holder != nil {
			c.check.fail("lease exclusivity: %s (term %d) and %s (term %d) both hold the lease at %v",
				holder.Name, holder.Status().Term, s.Name, s.Status().Term, c.now)
		}
		holder = s
		if s.node.Status().Commit < c.check.maxApplied && s.Idle() {
			c.check.fail("lease read: %s holds the lease with commit index %d, but %d was applied", s.Name, s.Status().Commit, c.check.maxApplied)
		}
	}
}

// CheckConverged returns an error unless all given servers have applied the same index, at least atLeast.
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
func (c *Cluster) MaxApplied() uint64 { return c.check.maxApplied }
