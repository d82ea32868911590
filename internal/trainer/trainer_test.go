package trainer

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/table"
)

// TestStepIsDeliveredOnce guards against lost and repeated samples when the answer to an acknowledgement is
// lost and the trainer sends it again through another VM.
func TestStepIsDeliveredOnce(t *testing.T) {
	d := deploy(t, 2, testRow(), &fakeEngine{})
	d.open(0, 1, 4, 3)
	list := d.fetchAll(1, 12)
	for _, s := range list {
		if s.Text == "" || !slices.Equal(s.Versions, []api.WeightVersion{1}) || s.Attempt != 1 {
			t.Fatalf("sample %+v", s)
		}
	}
	if again := d.fetch(1, 1, 0); len(again.Samples) != 12 {
		t.Fatalf("%d samples before the acknowledgement, want the same 12", len(again.Samples))
	}
	for _, v := range d.vms {
		if len(v.bodies.stepIDs()) == 0 {
			t.Errorf("%s produced nothing; the groups are not spread", v.o.VM.ID)
		}
	}
	for range 2 {
		if n := d.ack(1, 1, list); n != 12 {
			t.Fatalf("acknowledged %d, want 12", n)
		}
	}
	if a := d.fetch(0, 1, 0); len(a.Samples) != 0 || a.Outstanding != 0 {
		t.Fatalf("after the acknowledgement: %+v", a)
	}
	waitFor(t, func() bool { return len(d.vms[0].bodies.stepIDs())+len(d.vms[1].bodies.stepIDs()) == 0 })
}

// TestLostVM guards against samples that are lost with their holder or its unfinished groups.
func TestLostVM(t *testing.T) {
	engine := &fakeEngine{}
	block := make(chan struct{})
	engine.hold = func(_ dispatch.Rollout, call int64) <-chan struct{} {
		if call > 5 && call <= 8 {
			return block // the first VM never finishes these
		}
		return nil
	}
	d := deploy(t, 2, testRow(), engine)
	d.openAlone(1, 4, 2)
	waitFor(t, func() bool { v, _ := d.vms[1].client.Step(t.Context(), step(1)); return v.Pending == 3 })
	d.lose(0)
	list := d.fetchAll(1, 8)
	attempts := map[uint64]int{}
	for _, s := range list {
		attempts[s.Attempt]++
	}
	if attempts[2] != 5 || attempts[1] != 3 {
		t.Fatalf("attempts %v, want 5 samples produced anew and 3 first attempts", attempts)
	}
	close(block)
}

// TestStaleAtHandOver guards against samples that became older than the row's bound while they waited.
func TestStaleAtHandOver(t *testing.T) {
	d := deploy(t, 2, testRow(), &fakeEngine{})
	d.open(0, 1, 2, 2)
	d.fetchAll(1, 4)
	d.publish(2)
	if a := d.fetch(1, 1, 0); len(a.Samples) != 4 || a.Newest != 2 {
		t.Fatalf("one version behind is within the bound: %+v", a)
	}
	d.publish(3)
	if a := d.fetch(1, 1, 0); len(a.Samples) != 0 {
		t.Fatalf("two versions behind are past the bound: %+v", a)
	}
	for _, s := range d.fetchAll(1, 4) {
		if s.Versions[0] != 3 || s.Attempt != 2 {
			t.Fatalf("sample %+v, want version 3 of attempt 2", s)
		}
	}
}

// TestStaleWhileFetching guards against samples that become too old between the check of the ledger and the
// answer.
func TestStaleWhileFetching(t *testing.T) {
	d := deploy(t, 2, testRow(), &fakeEngine{})
	d.openAlone(1, 2, 2)
	d.fetchAll(1, 4)
	var once sync.Once
	d.onCall = func() { once.Do(func() { d.publish(3) }) }
	if a := d.fetch(1, 1, 0); len(a.Samples) != 0 {
		t.Fatalf("samples of version 1 after version 3 was published: %+v", a)
	}
}

// TestStaleAtFinish guards against answers that enter the ledger although they are too old already: they would
// be recorded, reset and produced anew instead of only produced anew.
func TestStaleAtFinish(t *testing.T) {
	engine := &fakeEngine{}
	release := make(chan struct{})
	engine.hold = func(_ dispatch.Rollout, call int64) <-chan struct{} {
		if call <= 2 {
			return release
		}
		return nil
	}
	d := deploy(t, 1, testRow(), engine)
	d.open(0, 1, 1, 2)
	waitFor(t, func() bool { return engine.calls.Load() == 2 })
	d.publish(3)
	close(release)
	for _, s := range d.fetchAll(1, 2) {
		if s.Attempt != 1 || s.Versions[0] != 3 {
			t.Fatalf("sample %+v, want version 3 of attempt 1", s)
		}
	}
}

// TestDuplicateFinish guards against two finished runs of a straggler that are both delivered, and against
// stragglers that hold up their step.
func TestDuplicateFinish(t *testing.T) {
	engine := &fakeEngine{}
	release := make(chan struct{})
	var held atomic.Int64
	engine.hold = func(_ dispatch.Rollout, _ int64) <-chan struct{} {
		if held.Add(1) == 3 {
			return release
		}
		return nil
	}
	d := deploy(t, 1, testRow(), engine)
	d.open(0, 1, 5, 2)
	list := d.fetchAll(1, 10)
	if n := engine.calls.Load(); n != 11 {
		t.Fatalf("%d runs, want one duplicate of the straggler", n)
	}
	close(release)
	if n := d.ack(0, 1, list); n != 10 {
		t.Fatalf("acknowledged %d", n)
	}
	waitFor(t, func() bool { return engine.active.Load() == 0 })
}

// TestNoWorkWithoutLease guards against dispatch and hand-over on a table that may be old.
func TestNoWorkWithoutLease(t *testing.T) {
	d := deploy(t, 1, testRow(), &fakeEngine{})
	d.vms[0].client.stale.Store(true)
	d.open(0, 1, 1, 2)
	if s := d.request(0, "GET", "/trainer/v1/steps/tutor/1/samples", testToken, nil, nil); s != fasthttp.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", s)
	}
	time.Sleep(2 * scheduleInterval)
	if n := d.engine.calls.Load(); n != 0 {
		t.Fatalf("%d rollouts without a lease", n)
	}
	d.vms[0].client.stale.Store(false)
	d.fetchAll(1, 2)
}

// TestLostAnswers guards against members that nobody produces because the answer to a command was lost.
func TestLostAnswers(t *testing.T) {
	d := deploy(t, 1, testRow(), &fakeEngine{})
	d.must(0, "POST", "/trainer/v1/steps", openRequest{Row: "tutor", Step: 1, DeadlineMS: 60_000, Groups: 3, GroupSize: 2}, nil)
	run := d.vms[0].run
	waitFor(t, func() bool {
		run.claimMu.Lock()
		defer run.claimMu.Unlock()
		return !run.claimPending // the first claim of the VM would find the groups
	})
	d.vms[0].client.loseAnswers.Store(3) // SubmitGroups, the next claim and a FinishSample, or two claims
	if s := d.submit(0, 1, 3, 2); s != fasthttp.StatusBadGateway {
		t.Fatalf("status %d, want 502", s)
	}
	d.fetchAll(1, 6)
}

// TestRowLimit guards against more concurrent rollouts than the row allows.
func TestRowLimit(t *testing.T) {
	row := testRow()
	row.MaxInFlight = 2
	engine := &fakeEngine{hold: func(dispatch.Rollout, int64) <-chan struct{} {
		c := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() { close(c) })
		return c
	}}
	d := deploy(t, 1, row, engine)
	d.open(0, 1, 8, 4)
	d.fetchAll(1, 32)
	if p := engine.peak.Load(); p != 2 {
		t.Fatalf("%d rollouts at a time, want 2", p)
	}
	engine = &fakeEngine{hold: engine.hold, share: func(table.Row) int { return 1 }}
	d = deploy(t, 1, row, engine)
	d.open(0, 1, 4, 2)
	d.fetchAll(1, 8)
	if p := engine.peak.Load(); p != 1 {
		t.Fatalf("%d rollouts at a time, want the share of 1", p)
	}
}

func step(n uint64) control.StepID { return control.StepID{Row: "tutor", Step: n} }

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
