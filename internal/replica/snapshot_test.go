package replica

import (
	"fmt"
	"testing"
)

// blockingCapturer encodes a snapshot only after release is closed.
type blockingCapturer struct {
	*commandLog
	captured chan struct{}
	release  chan struct{}
}

func (s *blockingCapturer) Capture() func() ([]byte, error) {
	data, err := s.Snapshot()
	return func() ([]byte, error) {
		s.captured <- struct{}{}
		<-s.release
		return data, err
	}
}

// Guards against a leader that accepts no proposals and loses its lease while a large snapshot is encoded, and against
// a restart that loses commands that were applied after the state was copied.
func TestProposalsGoOnWhileSnapshotIsEncoded(t *testing.T) {
	g := newGroup(t, "a")
	g.snapshotEntries = 8
	var state *blockingCapturer
	m := g.start(g.members[0], "a", func(o *Options) {
		state = &blockingCapturer{commandLog: o.StateMachine.(*commandLog), captured: make(chan struct{}, 1), release: make(chan struct{})}
		o.StateMachine = state
	})
	var want []string
	propose := func() {
		want = append(want, fmt.Sprint("command ", len(want)))
		g.propose(want[len(want)-1])
	}
	for range 10 {
		propose()
	}
	<-state.captured
	for range 10 {
		propose()
	}
	if !m.HoldsLease() {
		t.Error("the leader lost its lease while the snapshot was encoded")
	}
	close(state.release)
	eventually(t, "the log is compacted", func() bool { return m.Status().FirstIndex > 2 })
	g.stop("a")
	g.start(g.members[0], "a", nil)
	g.waitApplied(want)
}
