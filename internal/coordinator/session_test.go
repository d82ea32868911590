package coordinator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// loneSession returns a session without a group behind it: nothing can be committed.
func loneSession(t *testing.T, engines EngineClient) (*session, context.CancelFunc) {
	t.Helper()
	n := &Node{
		opts:  Options{Name: "vm", EngineClient: engines, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)},
		state: rollout.NewState(nil), registry: fleet.NewRegistry(time.Second),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return newSession(n, ctx, 1), cancel
}

func apply(t *testing.T, s *session, c rollout.Command) {
	t.Helper()
	data, err := rollout.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	s.node.state.Apply(1, data)
}

func TestTheEndOfALeadershipIsNoFailureOfTheEngine(t *testing.T) {
	engines := newFakeEngines()
	engines.pace = time.Hour
	s, end := loneSession(t, engines)
	v := fleet.Server{ID: "s", Slots: 4, Incarnation: 1}
	b := &batch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}, groups: map[string]*group{}, deadline: time.Now().Add(time.Hour)}
	task := &task{batch: b, group: &group{missing: 1}, avoid: map[string]time.Duration{}}
	s.mu.Lock()
	s.begin(task, &v, &routes.Route{}, boottime.Now())
	s.mu.Unlock()
	running := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.engineOf(&v).running
	}
	for running() != 1 {
		time.Sleep(time.Millisecond)
	}
	end()
	for deadline := time.Now().Add(patience); running() != 0; {
		if time.Now().After(deadline) {
			t.Fatal("the run did not end with the leadership")
		}
		time.Sleep(time.Millisecond)
	}
	if e := s.engineOf(&v); e.failures != 0 || e.blocked != 0 {
		t.Fatalf("the engine counts as failed %d times and is blocked until %s", e.failures, e.blocked)
	}
}

// TestABatchThatEndsWhileALeaderBeginsIsNotTakenUp plays the end of a batch beside the first look of a new leader at
// the open batches: whatever comes first, no work on the batch may be left.
func TestABatchThatEndsWhileALeaderBeginsIsNotTakenUp(t *testing.T) {
	for i := range 300 {
		s, _ := loneSession(t, nil)
		id := fmt.Sprintf("b%d", i)
		apply(t, s, rollout.Command{Accept: &rollout.Batch{ID: id, Items: make([]rollout.Item, 50)}})
		var wg sync.WaitGroup
		wg.Go(s.addOpen)
		wg.Go(func() {
			apply(t, s, rollout.Command{EndBatch: id})
			s.applied(rollout.Command{EndBatch: id})
		})
		wg.Wait()
		if len(s.batches) != 0 || len(s.order) != 0 {
			t.Fatalf("round %d: the ended batch is worked on", i)
		}
	}
}

func TestItemsAreNotGivenUpByAClockThatIsAhead(t *testing.T) {
	s, _ := loneSession(t, nil)
	const ahead = 4 * time.Second
	submitted := time.Now().Add(-defaultItemLifetime - ahead)
	s.add(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}, Submitted: submitted.UnixMilli()}, HasResult: []bool{false}})
	if late := time.Since(s.batches["b"].deadline); late > 0 {
		t.Fatalf("the items count as late by %s, though only the clock is %s ahead", late, ahead)
	}
}

// TestAReadThatOutlivesTheLeadershipIsNoAnswer ends a leadership while a read waits for a result. The batch exists, so
// the caller must be told to ask the leader, whether or not the lease is held again by then.
func TestAReadThatOutlivesTheLeadershipIsNoAnswer(t *testing.T) {
	s, end := loneSession(t, nil)
	apply(t, s, rollout.Command{Accept: &rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}})
	failed := make(chan error, 2)
	go func() {
		_, err := s.read(context.Background(), ReadBatchRequest{Batch: "b", MaxWait: time.Hour})
		failed <- err
	}()
	go func() {
		_, err := s.follow(context.Background(), FollowRequest{Term: s.term, ServersRevision: s.node.registry.Revision(), ConfigurationVersion: ^uint64(0)})
		failed <- err
	}()
	end()
	for range 2 {
		if err := <-failed; !errs.Is(err, errs.NotLeader) {
			t.Errorf("got %v, want an error of the kind %s", err, errs.NotLeader)
		}
	}
}

func TestProgressIsCommittedInSmallParts(t *testing.T) {
	var list []rollout.Progress
	for range 400 {
		list = append(list, rollout.Progress{Text: make([]byte, 6000)})
	}
	list = append(list, rollout.Progress{Text: make([]byte, 3*progressBytes)})
	left := list
	for len(left) > 0 {
		n := partLength(left)
		size := 0
		for _, p := range left[:n] {
			size += len(p.Text)
		}
		if n == 0 || n > 1 && size > progressBytes {
			t.Fatalf("a part of %d entries has %d bytes", n, size)
		}
		left = left[n:]
	}
}
