package replica

import (
	"fmt"
	"testing"
)

// slowCapturer encodes its snapshots only once it is released.
type slowCapturer struct {
	*counter
	captured chan struct{}
	release  chan struct{}
}

func (s *slowCapturer) Capture() func() ([]byte, error) {
	data, err := s.Snapshot()
	return func() ([]byte, error) {
		s.captured <- struct{}{}
		<-s.release
		return data, err
	}
}

// Guards against a leader that accepts nothing and loses its lease while a large snapshot is encoded, and against a
// restart that loses what was applied after the copy was taken.
func TestProposalsGoOnWhileSnapshotIsEncoded(t *testing.T) {
	g := newGroup(t, "a")
	g.snapshot = 8
	var state *slowCapturer
	m := g.start(g.members[0], "a", func(o *Options) {
		state = &slowCapturer{counter: o.StateMachine.(*counter), captured: make(chan struct{}, 1), release: make(chan struct{})}
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
	g.agree(want)
}
