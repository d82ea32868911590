package coordinator

import (
	"context"
	"testing"
	"time"

	"filbertledge/internal/events"
	"filbertledge/internal/replica"
)

// TestRegainedLeaseNeedsNoHandover guards against a leader that waits for calls of a former leader each time that it regains
// its lease in the same term, and against one that does not wait in a new term or whose wait was cut short.
func TestRegainedLeaseNeedsNoHandover(t *testing.T) {
	const delay = 3 * time.Second
	n := &Node{opts: Options{OrderHandoverDelay: delay, Events: events.NewLogRecorder("vm", discard{})}}
	begin := func(term uint64, ended bool) (*session, time.Duration) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &session{node: n, ctx: ctx, term: term, handedOver: make(chan struct{})}
		wait := s.handOverDelay()
		if ended {
			cancel()
			s.handOver()
		}
		t.Cleanup(cancel)
		return s, wait
	}
	if s, wait := begin(4, true); wait != delay+leaderLease || s.waitForHandover() == nil {
		t.Errorf("the first session of a term that ends early: waits %s", wait)
	}
	if _, wait := begin(4, false); wait != delay+leaderLease {
		t.Errorf("after a wait that was cut short: waits %s", wait)
	}
	n.handedOverTerm.Store(4) // as after a wait
	s, wait := begin(4, false)
	if s.handOver(); wait != 0 || s.waitForHandover() != nil {
		t.Errorf("regained lease: waits %s", wait)
	}
	if _, wait := begin(5, false); wait != delay+leaderLease {
		t.Errorf("new term: waits %s", wait)
	}
}

// TestStateVersionOfMembers guards against commands that a member of the group does not understand, or of which that is not
// known.
func TestStateVersionOfMembers(t *testing.T) {
	known := map[uint64]uint64{1: 1, 2: 1, 3: 0, 4: 9}
	lookup := func(member uint64) (uint64, bool) { v, ok := known[member]; return v, ok }
	members := func(ids ...uint64) []replica.MemberStatus {
		var list []replica.MemberStatus
		for _, id := range ids {
			var m replica.MemberStatus
			m.ID = id
			list = append(list, m)
		}
		return list
	}
	for name, tc := range map[string]struct {
		members []replica.MemberStatus
		want    uint64
	}{
		"all understand it": {members(1, 2), 1}, "one is older": {members(1, 3), 0}, "one is unknown": {members(1, 7), 0},
		"one is newer": {members(1, 4), 1}, "no members": {nil, 0},
	} {
		if got := stateVersionOf(tc.members, lookup); got != tc.want {
			t.Errorf("%s: version %d, want %d", name, got, tc.want)
		}
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
