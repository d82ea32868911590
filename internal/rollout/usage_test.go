package rollout

import (
	"testing"
	"time"

	"filbertledge/internal/usage"
)

// Guards against counts that a snapshot loses, so that a replica which restores it reports another number, and against calls
// that are woken by every report.
func TestUsageIsInSnapshots(t *testing.T) {
	s, restored := newState(t), newState(t)
	const length = 5 * time.Second
	changed := s.Changed()
	delta := func(sequence uint64, window int64) Command {
		return Command{Requires: 1, Usage: &UsageChange{Length: length, Deltas: []usage.Delta{{Instance: 7, Sequence: sequence, Counts: []usage.Count{{Window: window, Workspace: "w", Requests: 3}}}}}}
	}
	applyCommand(t, s, delta(1, 1000))
	applyCommand(t, s, Command{Requires: 1, Usage: &UsageChange{Length: length, CloseThrough: 1000}})
	applyCommand(t, s, delta(2, 1001))
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, replica := range []*State{s, restored} {
		applyCommand(t, replica, delta(2, 1001)) // repeated
		if o := applyCommand(t, replica, delta(3, 1000)); len(o.LateUsage) != 1 {
			t.Errorf("late counts %v", o.LateUsage)
		}
		applyCommand(t, replica, Command{Requires: 1, Usage: &UsageChange{Length: length, CloseThrough: 1001}})
		view := replica.Usage(12)
		if len(view.Closed) != 2 || view.Closed[0].Counts["w"] != 3 || view.Closed[1].Counts["w"] != 3 || len(view.Reporting) != 1 {
			t.Errorf("%+v", view)
		}
		applyCommand(t, replica, Command{Requires: 1, Usage: &UsageChange{Length: length, Remove: 1000, RemoveLength: length}})
		if view = replica.Usage(12); len(view.Closed) != 1 || view.Closed[0].Window != 1001 {
			t.Errorf("after the removal: %+v", view)
		}
	}
	select {
	case <-changed:
		t.Error("a change of the counts wakes calls that wait for a change of the state")
	default:
	}
}
