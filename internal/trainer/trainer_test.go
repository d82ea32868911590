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

// TestStepIsDeliveredOnce guards against lost and repeated samples when a trainer fetches a step again, or resends an
// acknowledgement because its answer was lost.
func TestStepIsDeliveredOnce(t *testing.T) {
	d := newDeployment(t, 2, testRow(), &fakeEngine{})
	d.openStep(0, 1, 4, 3)
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
			t.Errorf("%s generated no samples; the groups were not spread over the VMs", v.opts.VM.ID)
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

// TestSamplesOfLostVMAreGeneratedAgain guards against samples that are never delivered because the VM that held their
// bodies or generated their group is lost.
func TestSamplesOfLostVMAreGeneratedAgain(t *testing.T) {
	engine := &fakeEngine{}
	block := make(chan struct{})
	engine.blockUntil = func(_ dispatch.Rollout, call int64) <-chan struct{} {
		if call > 5 && call <= 8 {
			return block // the first VM never finishes these
		}
		return nil
	}
	d := newDeployment(t, 2, testRow(), engine)
	d.openStepOnFirstVM(1, 4, 2)
	waitFor(t, func() bool { v, _ := d.vms[1].client.Step(t.Context(), tutorStep(1)); return v.Pending == 3 })
	d.loseVM(0)
	list := d.fetchAll(1, 8)
	attempts := map[uint64]int{}
	for _, s := range list {
		attempts[s.Attempt]++
	}
	if attempts[2] != 5 || attempts[1] != 3 {
		t.Fatalf("attempts %v, want 5 samples generated again and 3 first attempts", attempts)
	}
	close(block)
}

// TestStaleSamplesAreNotDelivered guards against delivery of finished samples that became older than the row's
// staleness bound before the trainer fetched them.
func TestStaleSamplesAreNotDelivered(t *testing.T) {
	d := newDeployment(t, 2, testRow(), &fakeEngine{})
	d.openStep(0, 1, 2, 2)
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

// TestSamplesStaleAfterFetchAreNotDelivered guards against delivery of samples that become too old after the staleness
// check, while their bodies are fetched.
func TestSamplesStaleAfterFetchAreNotDelivered(t *testing.T) {
	d := newDeployment(t, 2, testRow(), &fakeEngine{})
	d.openStepOnFirstVM(1, 2, 2)
	d.fetchAll(1, 4)
	var once sync.Once
	d.beforeCall = func() { once.Do(func() { d.publish(3) }) }
	if a := d.fetch(1, 1, 0); len(a.Samples) != 0 {
		t.Fatalf("samples of version 1 after version 3 was published: %+v", a)
	}
}

// TestStaleAnswersAreNotRecorded guards against answers that are recorded in the ledger although they are already too
// old. They would have to be reset there before they are generated again.
func TestStaleAnswersAreNotRecorded(t *testing.T) {
	engine := &fakeEngine{}
	release := make(chan struct{})
	engine.blockUntil = func(_ dispatch.Rollout, call int64) <-chan struct{} {
		if call <= 2 {
			return release
		}
		return nil
	}
	d := newDeployment(t, 1, testRow(), engine)
	d.openStep(0, 1, 1, 2)
	waitFor(t, func() bool { return engine.calls.Load() == 2 })
	d.publish(3)
	close(release)
	for _, s := range d.fetchAll(1, 2) {
		if s.Attempt != 1 || s.Versions[0] != 3 {
			t.Fatalf("sample %+v, want version 3 of attempt 1", s)
		}
	}
}

// TestDuplicatedStragglerIsDeliveredOnce guards against a straggler that delays its step, and against delivery of both
// runs of a duplicated straggler.
func TestDuplicatedStragglerIsDeliveredOnce(t *testing.T) {
	engine := &fakeEngine{}
	release := make(chan struct{})
	var held atomic.Int64
	engine.blockUntil = func(_ dispatch.Rollout, _ int64) <-chan struct{} {
		if held.Add(1) == 3 {
			return release
		}
		return nil
	}
	d := newDeployment(t, 1, testRow(), engine)
	d.openStep(0, 1, 5, 2)
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

// TestNoDispatchWithoutTableLease guards against dispatch and delivery by a VM whose table may be outdated.
func TestNoDispatchWithoutTableLease(t *testing.T) {
	d := newDeployment(t, 1, testRow(), &fakeEngine{})
	d.vms[0].client.leaseExpired.Store(true)
	d.openStep(0, 1, 1, 2)
	if s := d.request(0, "GET", "/trainer/v1/steps/tutor/1/samples", testToken, nil, nil); s != fasthttp.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", s)
	}
	time.Sleep(2 * scheduleInterval)
	if n := d.engine.calls.Load(); n != 0 {
		t.Fatalf("%d rollouts without a table lease, want 0", n)
	}
	d.vms[0].client.leaseExpired.Store(false)
	d.fetchAll(1, 2)
}

// TestMembersRunAfterLostCommandAnswers guards against members that no VM generates because the answer to a command
// was lost.
func TestMembersRunAfterLostCommandAnswers(t *testing.T) {
	d := newDeployment(t, 1, testRow(), &fakeEngine{})
	d.mustRequest(0, "POST", "/trainer/v1/steps", openStepRequest{Row: "tutor", Step: 1, DeadlineMS: 60_000, Groups: 3, GroupSize: 2}, nil)
	run := d.vms[0].runner
	waitFor(t, func() bool {
		run.claimMu.Lock()
		defer run.claimMu.Unlock()
		return !run.claimPending // otherwise the first claim of the VM would find the groups
	})
	d.vms[0].client.answersToLose.Store(3) // SubmitGroups, the next claim and a FinishSample, or two claims
	if s := d.submit(0, 1, 3, 2); s != fasthttp.StatusBadGateway {
		t.Fatalf("status %d, want 502", s)
	}
	d.fetchAll(1, 6)
}

// TestRowInFlightLimit guards against more concurrent rollouts than the row or the VM's share of it allows.
func TestRowInFlightLimit(t *testing.T) {
	row := testRow()
	row.MaxInFlight = 2
	engine := &fakeEngine{blockUntil: func(dispatch.Rollout, int64) <-chan struct{} {
		c := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() { close(c) })
		return c
	}}
	d := newDeployment(t, 1, row, engine)
	d.openStep(0, 1, 8, 4)
	d.fetchAll(1, 32)
	if p := engine.peak.Load(); p != 2 {
		t.Fatalf("%d concurrent rollouts, want 2", p)
	}
	engine = &fakeEngine{blockUntil: engine.blockUntil, inFlightShare: func(table.Row) int { return 1 }}
	d = newDeployment(t, 1, row, engine)
	d.openStep(0, 1, 4, 2)
	d.fetchAll(1, 8)
	if p := engine.peak.Load(); p != 1 {
		t.Fatalf("%d concurrent rollouts, want the VM's share of 1", p)
	}
}

func tutorStep(n uint64) control.StepID { return control.StepID{Row: "tutor", Step: n} }

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 10 s")
}
