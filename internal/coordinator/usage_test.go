package coordinator

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
	"filbertledge/internal/usage"
)

const (
	// testWindow and testUsageDeadline are those of the nodes. A window closes at least 0.65 s after its end.
	testWindow        = 500 * time.Millisecond
	testUsageDeadline = time.Second
	testEntryInstance = 42
)

// fakeUsageProvider is a Provider that records the reports.
type fakeUsageProvider struct {
	mu      sync.Mutex
	answer  func(ctx context.Context, call DutyCall) error // to reports that contain requests; nil accepts them
	reports []receivedReport
}

type receivedReport struct {
	UsageReport
	DutyCall
	at        time.Time
	permitted bool
	accepted  bool
}

var errAnswerLost = errors.New("the answer was lost")

func (p *fakeUsageProvider) ReportUsage(ctx context.Context, call DutyCall, r UsageReport) error {
	received := receivedReport{UsageReport: r, DutyCall: call, at: time.Now(), permitted: call.Permitted()}
	received.Counts = maps.Clone(r.Counts)
	p.mu.Lock()
	answer := p.answer
	p.mu.Unlock()
	var err error
	if answer != nil && len(r.Counts) > 0 {
		err = answer(ctx, call)
	}
	received.accepted = err == nil
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, received)
	return err
}

func (p *fakeUsageProvider) OrderServers(context.Context, DutyCall, CapacityOrder) error { return nil }

func (p *fakeUsageProvider) setAnswer(f func(context.Context, DutyCall) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = f
}

// received returns the reports that are accepted or not and contain requests.
func (p *fakeUsageProvider) received(accepted bool) []receivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []receivedReport
	for _, r := range p.reports {
		if r.accepted == accepted && len(r.Counts) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func startUsageCluster(t *testing.T) (*cluster, *fakeUsageProvider) {
	t.Helper()
	c, p := newCluster(t, seedCount), &fakeUsageProvider{}
	c.duties = DutyOptions{Provider: p, ReportsUsage: true, UsageWindow: testWindow, UsageDeadline: testUsageDeadline}
	c.startAll()
	return c, p
}

// reportCounts reports a delta of an entry VM until the leader says that it is in the replicated state.
func (c *cluster) reportCounts(sequence uint64, counts ...usage.Count) {
	c.t.Helper()
	c.callLeader("the commit of counts", func(ctx context.Context, n *Node) error {
		q := UsageRequest{VM: "entry", Length: testWindow, Instance: testEntryInstance, Deltas: []usage.Delta{{Instance: testEntryInstance, Sequence: sequence, Counts: counts}}}
		return ReportUsage(ctx, n.client, n.opts.Address, q)
	})
}

// currentWindow returns the window of the agreed time, once it is known.
func (c *cluster) currentWindow() int64 {
	c.t.Helper()
	agreed := int64(0)
	c.waitUntil("the agreed time", func() bool {
		s := c.nodes[c.leader()].session.Load()
		if s == nil || s.checkUsageVersion() != nil {
			return false
		}
		agreed = s.agreedTime(boottime.Now())
		return agreed > 0
	})
	if wrong := time.Duration(agreed - time.Now().UnixNano()).Abs(); wrong > 50*time.Millisecond {
		c.t.Errorf("the agreed time is wrong by %s, though all clocks are right", wrong)
	}
	return usage.WindowOf(agreed, testWindow)
}

// Guards against a window that is reported with two sets of counts: the answer to the report is lost, more counts of the
// window arrive, and the next leader reports it again.
func TestUsageReportIsTheSameAfterLostAnswerAndNewLeader(t *testing.T) {
	c, p := startUsageCluster(t)
	p.setAnswer(func(context.Context, DutyCall) error { return errAnswerLost })
	window := c.currentWindow() + 1
	want := map[string]int64{"a": 3, "b": 2}
	c.reportCounts(1, usage.Count{Window: window, Workspace: "a", Requests: 3}, usage.Count{Window: window, Workspace: "b", Requests: 2})
	c.waitUntil("a report without an answer", func() bool { return len(p.received(false)) > 1 })
	c.reportCounts(2, usage.Count{Window: window, Workspace: "a", Requests: 5})
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	p.setAnswer(nil)
	c.waitUntil("an accepted report", func() bool { return len(p.received(true)) > 0 })
	all := append(p.received(false), p.received(true)...)
	if all[0].Holder == all[len(all)-1].Holder {
		t.Error("the same VM sent all reports")
	}
	for _, r := range all {
		if r.Window != window || !maps.Equal(r.Counts, want) {
			t.Errorf("%s reported window %d with %v, want window %d with %v", r.Holder, r.Window, r.Counts, window, want)
		}
	}
	c.waitUntil("the removal of the window", func() bool {
		for _, w := range c.nodes[c.leader()].state.Usage(0).Closed {
			if w.Window == window {
				return false
			}
		}
		return true
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	last := int64(0)
	for _, r := range p.reports {
		if !r.accepted {
			continue
		}
		if last > 0 && r.Window != last+1 {
			t.Errorf("window %d is reported after window %d", r.Window, last)
		}
		last = r.Window
	}
}

// Guards against counts that are lost with the entry VM that reported them, or with the leader that took them, and against
// counts that a repeated report adds again.
func TestUsageOutlivesEntryVMAndLeader(t *testing.T) {
	c, p := startUsageCluster(t)
	window := c.currentWindow() + 2
	c.reportCounts(1, usage.Count{Window: window, Workspace: "a", Requests: 3})
	c.reportCounts(1, usage.Count{Window: window, Workspace: "a", Requests: 3})
	before := c.leader() // the entry VM is never heard of again
	c.stop(before)
	c.waitUntil("the report", func() bool { return len(p.received(true)) > 0 })
	if r := p.received(true)[0]; r.Window != window || r.Counts["a"] != 3 {
		t.Errorf("reported window %d with %v, want window %d with 3 requests", r.Window, r.Counts, window)
	}
}

// Guards against a window that is closed only at the latest possible time although all counts are there, or before the
// counts of a VM that still has some.
func TestUsageWindowClosesWhenAllVMsHaveReported(t *testing.T) {
	u := newUsageDuty(DutyOptions{ReportsUsage: true, UsageWindow: 5 * time.Second, UsageDeadline: 10 * time.Second})
	const end = int64(1000 * 5 * time.Second) // of window 999
	second := func(s float64) int64 { return int64(s * float64(time.Second)) }
	for _, tc := range []struct {
		agreed    float64 // time after end
		marks     map[uint64]float64
		reporting []uint64
		want      int64
	}{
		{0.5, nil, nil, 997}, // nothing is known, as right after a change of the leader
		{0.5, map[uint64]float64{1: 0.1}, []uint64{1}, 999},    // complete
		{0.5, map[uint64]float64{1: 0.1, 2: -1}, nil, 998},     // one VM still has counts
		{0.5, map[uint64]float64{1: 0.1}, []uint64{1, 2}, 997}, // one that reported lately has not called
		{0.5, map[uint64]float64{1: 9}, []uint64{1}, 999},      // the VM will count nothing more
		{6.4, map[uint64]float64{1: -1}, []uint64{1}, 998},
		{6.6, map[uint64]float64{1: -1}, []uint64{1}, 999}, // latest time
	} {
		u.marks = map[uint64]usageMark{}
		for instance, at := range tc.marks {
			u.recordMark(instance, end+second(at), 0)
		}
		mark, all := u.lowestMark(tc.reporting, time.Second)
		if through, _ := u.closable(end+second(tc.agreed), mark, all); through != tc.want {
			t.Errorf("%.1f s after the end of window 999, watermarks %v, reporting %v: closes through %d, want %d", tc.agreed, tc.marks, tc.reporting, through, tc.want)
		}
	}
	u.recordMark(1, math.MaxInt64, 0)
	u.recordMark(1, 5, 0)
	if mark, _ := u.lowestMark(nil, 0); mark != math.MaxInt64 {
		t.Errorf("an older watermark replaced a newer one: %d", mark)
	}
}

// Guards against commands that a member of an earlier build does not understand. The session has no replica, so that a
// proposal ends the test.
func TestUsageProposesNothingWhileAMemberUnderstandsVersion0(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	s.usage = newUsageDuty(DutyOptions{ReportsUsage: true, UsageWindow: testWindow, UsageDeadline: testUsageDeadline})
	s.usage.clock = usage.NewGroupClock(boottime.Now() - time.Minute)
	q := UsageRequest{VM: "entry", Length: testWindow, Instance: 1, Deltas: []usage.Delta{{Instance: 1, Sequence: 1}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := s.reportUsage(ctx, q); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a report got error %v, want one that makes the VM keep its counts", err)
	}
	s.commitDeltas()
	s.closeWindows(boottime.Now())
	if err := s.proposeUsage(rollout.UsageChange{CloseThrough: 1}); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a proposal got error %v", err)
	}
	if len(s.usage.gathered) > 0 {
		t.Error("the counts are gathered, and would be committed although the VM repeats them")
	}
}

// Guards against reports of a leader whose lease has ended, when the next one may report already, and against a slow provider
// whose answers are never awaited.
func TestUsageIsNotReportedAfterTheLease(t *testing.T) {
	c, p := startUsageCluster(t)
	const (
		slow = 1500 * time.Millisecond // longer than a lease
		// abortTolerance covers the end of a context; a call that went on until the end of the leadership took 130 ms more.
		abortTolerance = 60 * time.Millisecond
		// sendTolerance also covers the interval in which the test observes the lease.
		sendTolerance = 100 * time.Millisecond
	)
	p.setAnswer(func(ctx context.Context, _ DutyCall) error {
		sleep(ctx, slow)
		return ctx.Err()
	})
	c.reportCounts(1, usage.Count{Window: c.currentWindow() + 1, Workspace: "a", Requests: 3})
	c.waitUntil("a report with a slow answer", func() bool { return len(p.received(true)) > 0 })
	var longest time.Duration // from the end of the lease to the abortion of a call
	begun := make(chan struct{}, 100)
	p.setAnswer(func(ctx context.Context, call DutyCall) error {
		begun <- struct{}{}
		var lapsed time.Time
		for ctx.Err() == nil {
			if lapsed.IsZero() && !call.Permitted() {
				lapsed = time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !lapsed.IsZero() {
			longest = max(longest, time.Since(lapsed))
		}
		return ctx.Err()
	})
	c.reportCounts(2, usage.Count{Window: c.currentWindow() + 1, Workspace: "a", Requests: 3})
	<-begun
	leader := c.leader()
	for i := range c.nodes {
		if i != leader {
			c.stop(i)
		}
	}
	c.waitUntil("the end of the lease", func() bool { return !c.nodes[leader].replica.HoldsLease() })
	lost := time.Now()
	time.Sleep(3 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if longest > abortTolerance {
		t.Errorf("a call was aborted %s after the lease", longest)
	}
	for _, r := range p.reports {
		if late := r.at.Sub(lost); !r.permitted || late > sendTolerance {
			t.Errorf("a report was sent %s after the lease with permission %t", late, r.permitted)
		}
	}
}
