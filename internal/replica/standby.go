package replica

import (
	"maps"
	"slices"
	"time"

	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

// A group with the option ManageVoters has 2*FaultTolerance+1 voters and a few learners that replace lost ones. The leader
// sends its whole log, with the bodies of the batches and the progress of the items, to each member: with 26 of them, its
// lease lapsed at the start of a step although no voter was lost. Further replicas stand by: they ask again until a member is lost or retired, and forward calls to the
// leader.

const (
	// standbyInterval is the time between two requests of a replica that stands by.
	standbyInterval = time.Second
	// standbyLifetime is how long after its last request a replica counts as standing by.
	standbyLifetime = 5 * standbyInterval
)

// standbyState is what a replica that stands by knows of the group.
type standbyState struct {
	leader  string // address
	members []MemberStatus
}

// standBy notes that the leader at address does not need this replica.
func (r *Replica) standBy(leader string, members []raft.Member) {
	if r.standby.Load() == nil {
		r.recordEvent(events.MembershipChanged, r.self.Name, "the group at "+leader+" has enough members; standing by")
	}
	state := &standbyState{leader: leader}
	for _, m := range members {
		state.members = append(state.members, MemberStatus{Member: m})
	}
	r.standby.Store(state)
}

// StandsBy reports whether the group does not need this replica. What its state machine holds may be old.
func (r *Replica) StandsBy() bool { return r.standby.Load() != nil }

// maxMembers returns how many members a group has at most: the voters, and learners to replace as many as may be lost
// and one more, so that a member can be retired at the same time.
func maxMembers(faultTolerance int) int { return 2*faultTolerance + 1 + faultTolerance + 1 }

// hasEnoughMembers reports whether the group does not need a replica that asks to join, and notes that it stands by. A
// replica whose failure domain has no member is always needed. It must run in the replica's goroutine.
func (r *Replica) hasEnoughMembers(c raft.Configuration, joining raft.Member) bool {
	now := r.opts.Clock()
	responsive, inDomain := 0, 0
	for _, m := range r.memberStates(c, now) {
		if m.sinceLastAck > voterAckTimeout || m.retired {
			continue
		}
		responsive++
		if m.FailureDomain == joining.FailureDomain {
			inDomain++
		}
	}
	if inDomain == 0 || responsive < maxMembers(max(1, r.opts.FaultTolerance)) {
		delete(r.loop.standbySince, joining.Name)
		return false
	}
	if r.loop.standbySince == nil {
		r.loop.standbySince = map[string]time.Duration{}
	}
	r.loop.standbySince[joining.Name] = now
	r.publishStatus()
	return true
}

// standbyVMs returns the VMs that stand by. It must run in the replica's goroutine.
func (r *Replica) standbyVMs() []string {
	now := r.opts.Clock()
	maps.DeleteFunc(r.loop.standbySince, func(_ string, at time.Duration) bool { return now-at > standbyLifetime })
	return slices.Sorted(maps.Keys(r.loop.standbySince))
}
