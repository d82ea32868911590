package control

import (
	"context"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

// TestEditPropagatesToOtherVMs guards against edits that are accepted but do not arrive at other VMs.
func TestEditPropagatesToOtherVMs(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	clock := startClock()
	c := newFakeCluster(t, 3, clock)
	c.run(ctx)
	one, two := newTestClient(c, "one", clock), newTestClient(c, "two", clock)
	go one.Run(ctx)
	go two.Run(ctx)
	for i := range 3 {
		res, err := one.Do(ctx, Command{EditRow: &EditRow{
			EditID: idAt(time.Now(), uint64(i)), ExpectedVersion: uint64(i), Row: testRow("chat", i), Operator: "op",
		}})
		if err != nil || res.Row.Version != uint64(i+1) {
			t.Fatalf("edit %d: %+v, %v", i, res, err)
		}
		waitFor(t, func() bool { return two.TableLeaseValid() && two.Table().Version() == res.Index })
	}
	waitFor(t, func() bool { return len(two.VMs()) == 2 })
	c.mu.Lock()
	c.leader = 2
	c.mu.Unlock()
	if _, err := two.Do(ctx, Command{PublishWeights: &PublishWeights{Model: "drafter", Version: 4}}); err != nil {
		t.Fatalf("Do after a change of leader: %v", err)
	}
	waitFor(t, func() bool { return one.Weights("drafter").Newest == 4 })
	v, err := one.History(ctx, "chat", 0)
	if err != nil || len(v) != 3 || v[0].Before.Priority != 1 || v[0].After.Priority != 2 {
		t.Fatalf("history: %+v, %v", v, err)
	}
	if _, err := one.Step(ctx, StepID{Row: "chat", Step: 1}); !errs.Is(err, errs.NotFound) {
		t.Fatalf("step that does not exist: %v", err)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not become true in 10 s")
}
