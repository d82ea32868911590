package usage

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testLength = 5 * time.Second
	// testOffset is the agreed time minus the boot time: the boot time 0 is the begin of window 1000.
	testOffset = 1000 * int64(testLength)
)

func newTestCounter() *Counter {
	c := NewCounter(7)
	c.SetTime(testLength, testOffset, true)
	return c
}

// unreported returns the sum of all deltas of a counter by window and workspace.
func unreported(c *Counter) map[string]int64 {
	out := map[string]int64{}
	for _, d := range c.Deltas() {
		for _, n := range d.Counts {
			if out[fmt.Sprint(n.Window, n.Workspace)] += n.Requests; out[fmt.Sprint(n.Window, n.Workspace)] == 0 {
				delete(out, fmt.Sprint(n.Window, n.Workspace))
			}
		}
	}
	return out
}

// Guards against a request that counts for each of its attempts, in the window of an attempt that did not run, or not at
// all after a refusal.
func TestRequestCountsOnceInTheWindowOfItsFirstRun(t *testing.T) {
	const first, second = 4900 * time.Millisecond, 5100 * time.Millisecond // of windows 1000 and 1001
	for name, tc := range map[string]struct {
		steps func(r *Request)
		want  map[string]int64
	}{
		"one attempt":                         {func(r *Request) { r.Begin(1, first) }, map[string]int64{"1000w": 1}},
		"refused":                             {func(r *Request) { r.Begin(1, first); r.NotRun(1) }, nil},
		"refused, then run in the next":       {func(r *Request) { r.Begin(1, first); r.NotRun(1); r.Begin(2, second) }, map[string]int64{"1001w": 1}},
		"no answer, then run in the next":     {func(r *Request) { r.Begin(1, first); r.Begin(2, second) }, map[string]int64{"1000w": 1}},
		"hedged, the first one refuses late":  {func(r *Request) { r.Begin(1, first); r.Begin(2, second); r.NotRun(1) }, map[string]int64{"1001w": 1}},
		"hedged, the second one refuses":      {func(r *Request) { r.Begin(1, first); r.Begin(2, second); r.NotRun(2) }, map[string]int64{"1000w": 1}},
		"a refusal arrives after the end":     {func(r *Request) { r.Begin(1, first); r.Done(); r.NotRun(1) }, nil},
		"not sent at all":                     {func(r *Request) { r.NotRun(1); r.Done() }, nil},
		"two events of one stream, one count": {func(r *Request) { r.Begin(1, first); r.Begin(1, first); r.Done() }, map[string]int64{"1000w": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, cut := range []bool{false, true} { // a delta is made before the count changes
				c := newTestCounter()
				r := c.NewRequest("w")
				if cut {
					r.Begin(0, first)
					c.Deltas()
					r.NotRun(0)
				}
				tc.steps(r)
				if got := unreported(c); !maps.Equal(got, tc.want) {
					t.Errorf("with a delta in between %t: counted %v, want %v", cut, got, tc.want)
				}
			}
		})
	}
}

// Guards against counts that are lost because the agreed time is not known yet, and against memory that grows until it is.
func TestCountsBeforeTheAgreedTimeIsKnown(t *testing.T) {
	c := NewCounter(7)
	refused := c.NewRequest("w")
	refused.Begin(1, time.Second)
	refused.NotRun(1)
	c.NewRequest("w").Begin(1, time.Second)
	c.NewRequest("w").Begin(1, 6*time.Second)
	if c.Watermark(time.Minute) != 0 {
		t.Error("a watermark is stated without the agreed time")
	}
	c.SetTime(0, testOffset, true) // a leader that wants no counts
	c.SetTime(testLength, 0, false)
	c.SetTime(testLength, testOffset, true)
	if got, want := unreported(c), map[string]int64{"1000w": 1, "1001w": 1}; !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
	bounded := NewCounter(8)
	for range 3 * maxUndated {
		bounded.NewRequest("w").Begin(1, 0)
	}
	if len(bounded.undated) > maxUndated {
		t.Errorf("%d requests wait for the agreed time", len(bounded.undated))
	}
	bounded.SetTime(testLength, testOffset, true)
	if got := unreported(bounded)["1000w"]; got > maxUndated || got < maxUndated/2 {
		t.Errorf("%d requests counted", got)
	}
}

// Guards against a window that is closed while one of its counts is not in the replicated state or may still be taken back,
// and against a count that falls before the watermark because the agreed time was corrected.
func TestWatermarkWaitsForCounts(t *testing.T) {
	c := newTestCounter()
	const now = 12 * time.Second // window 1002
	end := func(window int64) int64 { return (window + 1) * int64(testLength) }
	passed := func(window int64) bool { return c.Watermark(now) >= end(window) }
	if !passed(1001) || passed(1002) {
		t.Fatal("the watermark of an idle VM is not just before the agreed time")
	}
	c = newTestCounter()
	r := c.NewRequest("w")
	r.Begin(1, 6*time.Second)
	for _, step := range []struct {
		what string
		do   func()
		want bool // the watermark has passed window 1001
	}{
		{"counted", func() {}, false},
		{"in a delta", func() { c.Deltas() }, false},
		{"in the replicated state, without an answer", func() { c.Acknowledge(1) }, false},
		{"answered", func() { r.Done() }, true},
	} {
		if step.do(); passed(1001) != step.want || !passed(1000) {
			t.Errorf("%s: the watermark has passed window 1001: %t, and 1000: %t", step.what, passed(1001), passed(1000))
		}
	}
	c.SetTime(testLength, testOffset-int64(3*time.Second), true)
	c.NewRequest("w").Begin(1, now)
	if got := unreported(c); got["1002w"] != 1 {
		t.Errorf("after the agreed time was set back: counted %v, want window 1002", got)
	}
}

// Guards against unbounded memory while no leader takes the counts.
func TestCounterIsBounded(t *testing.T) {
	c := newTestCounter()
	for i := range 3 * maxCounts {
		c.NewRequest("w").Begin(1, time.Duration(i)*testLength)
		if i%7 == 0 {
			c.Deltas()
		}
	}
	if len(c.counts) > maxCounts || len(c.sent) > maxUnacknowledged || c.TakeDropped() == 0 {
		t.Errorf("%d counts and %d deltas wait", len(c.counts), len(c.sent))
	}
}

// Guards against an agreed time that follows wrong clocks: those of a third of the VMs jump forward, backward and back, a VM
// is suspended, the leader changes or stands still for a moment, so that all calls seem late.
func TestAgreedTime(t *testing.T) {
	const vms, maxError = 9, 5 * time.Millisecond
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixNano() // true time at the boot time 0 of all VMs
	for name, jump := range map[string]func(vm int, now time.Duration) time.Duration{
		"no jump": func(int, time.Duration) time.Duration { return 0 },
		"a third ahead, then back": func(vm int, now time.Duration) time.Duration {
			if vm < vms/3 && now > 4*time.Second && now < 9*time.Second {
				return 2400 * time.Millisecond
			}
			return 0
		},
		"a third behind from the start": func(vm int, _ time.Duration) time.Duration {
			if vm < vms/3 {
				return -4 * time.Second
			}
			return 0
		},
		"others jump later": func(vm int, now time.Duration) time.Duration {
			if vm/3 == int(now/(4*time.Second))%3 && now%(4*time.Second) > 2*time.Second {
				return 3 * time.Second
			}
			return 0
		},
		"the leader stands still": func(_ int, now time.Duration) time.Duration {
			if now > 4*time.Second && now < 4500*time.Millisecond { // one call of each VM
				return -400 * time.Millisecond
			}
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			var leader *GroupClock
			member := &MemberClock{}
			for step := range 300 {
				now := time.Duration(step) * 50 * time.Millisecond
				if step%150 == 0 {
					leader = NewGroupClock(now) // a new leader, which is the first VM
				}
				delay := time.Duration(step%7) * time.Millisecond // of calls, which the senders compensate by half
				vm := step % vms
				leader.Record(fmt.Sprint(vm), start+int64(now-delay/2+jump(vm, now)), now)
				agreed, known := leader.Time(now)
				if known != (step%150 >= 40) {
					t.Fatalf("at %s the time is known: %t", now, known)
				}
				if known {
					member.Record(agreed, now-10*time.Millisecond, now+delay, 10*time.Millisecond-delay)
				}
				offset, known := member.Offset()
				if wrong := time.Duration(offset - start).Abs(); known && wrong > maxError {
					t.Fatalf("at %s the agreed time of a VM is wrong by %s", now, wrong)
				}
			}
		})
	}
}

// Guards against a VM that keeps its old sample although its boot-time clock stood still meanwhile.
func TestMemberClockDropsSampleAfterSuspension(t *testing.T) {
	c := &MemberClock{}
	c.Record(int64(100*time.Hour), 10*time.Second, 10*time.Second+time.Millisecond, 0)
	c.Record(int64(100*time.Hour+time.Second), 11*time.Second, 11*time.Second+40*time.Millisecond, 0)
	if offset, _ := c.Offset(); offset != int64(100*time.Hour-10*time.Second-time.Millisecond/2) {
		t.Errorf("a worse sample replaced a better one: %s", time.Duration(offset))
	}
	// The VM was suspended for 3 s, which its clock does not show.
	c.Record(int64(100*time.Hour+5*time.Second), 12*time.Second, 12*time.Second+40*time.Millisecond, 0)
	if offset, _ := c.Offset(); offset != int64(100*time.Hour+5*time.Second-12*time.Second-20*time.Millisecond) {
		t.Errorf("the old sample still counts: %s", time.Duration(offset))
	}
}

// Guards against counts of a closed window that change, windows that are skipped, and memory that grows.
func TestLedgerClosesWindowsOnce(t *testing.T) {
	l := &Ledger{}
	l.SetLength(testLength)
	add := func(instance, sequence uint64, window, n int64) []Count {
		return l.Add(Delta{Instance: instance, Sequence: sequence, Counts: []Count{{Window: window, Workspace: "w", Requests: n}}})
	}
	add(1, 1, 1000, 2)
	add(2, 1, 1000, 1)
	add(1, 2, 1000, -2)
	add(1, 2, 1000, 5) // repeated
	add(1, 3, 1002, 1)
	l.Close(1000)
	if late := add(2, 2, 1000, 4); len(late) != 1 || late[0].Requests != 4 {
		t.Errorf("late counts %v", late)
	}
	l.Close(999)
	l.Close(1003)
	before := l.Clone()
	add(2, 3, 1004, 1)
	for i, want := range []int64{1, 0, 1, 0} {
		w := before.Closed[i]
		if w.Window != 1000+int64(i) || w.Counts["w"] != want {
			t.Errorf("closed window %+v, want %d with %d requests", w, 1000+i, want)
		}
	}
	l.Remove(1000, testLength)
	if len(l.Closed) != 3 || len(before.Closed) != 4 || before.Open[1004] != nil {
		t.Errorf("%d closed windows after one was removed, the copy has %d", len(l.Closed), len(before.Closed))
	}
	l.Close(1003 + int64(silenceLimit/testLength) - 10)
	if got := l.ReportedSince(0); len(got) != 2 {
		t.Errorf("instances %v before they are silent for ten minutes", got)
	}
	l.Close(1003 + int64(silenceLimit/testLength) + 10)
	if got := l.ReportedSince(0); len(got) != 0 {
		t.Errorf("instances %v are kept after ten minutes", got)
	}
	if dropped := l.Close(1003 + 2*maxClosedWindows); len(l.Closed) != maxClosedWindows || len(dropped) == 0 {
		t.Errorf("%d windows wait for a report", len(l.Closed))
	}
}

// Guards against counts that are lost or added twice when reports are lost, repeated and overtaken.
func TestReportsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{}
		l.SetLength(testLength)
		counters := []*Counter{NewCounter(1), NewCounter(2)}
		for _, c := range counters {
			c.SetTime(testLength, testOffset, true)
		}
		var inFlight [][]Delta
		var requests []*Request
		want := map[string]int64{}
		at := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				r := rapid.SampledFrom(counters).Draw(t, "vm").NewRequest(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
				r.Begin(1, at)
				requests = append(requests, r)
				want[fmt.Sprint(WindowOf(testOffset+int64(at), testLength), r.workspace)]++
			},
			"refuse": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip()
				}
				r := rapid.SampledFrom(requests).Draw(t, "request")
				if r.counted {
					want[fmt.Sprint(r.window, r.workspace)]--
				}
				r.NotRun(1)
			},
			"send": func(t *rapid.T) {
				inFlight = append(inFlight, rapid.SampledFrom(counters).Draw(t, "vm").Deltas())
			},
			"deliver": func(t *rapid.T) { // repeatedly and in any order
				if len(inFlight) == 0 {
					t.Skip()
				}
				deltas := rapid.SampledFrom(inFlight).Draw(t, "report")
				for _, d := range deltas {
					l.Add(d)
				}
				if len(deltas) > 0 && rapid.Bool().Draw(t, "answered") {
					counters[deltas[0].Instance-1].Acknowledge(deltas[len(deltas)-1].Sequence)
				}
			},
			"lose": func(*rapid.T) {
				if len(inFlight) > 0 {
					inFlight = inFlight[1:]
				}
			},
		})
		for _, c := range counters {
			for _, d := range c.Deltas() {
				l.Add(d)
			}
		}
		l.Close(WindowOf(testOffset+int64(at), testLength))
		got := map[string]int64{}
		for _, w := range l.Closed {
			for workspace, n := range w.Counts {
				got[fmt.Sprint(w.Window, workspace)] = n
			}
		}
		maps.DeleteFunc(want, func(_ string, n int64) bool { return n == 0 })
		if !maps.Equal(got, want) {
			t.Fatalf("the closed windows hold %v, want %v", got, want)
		}
	})
}
