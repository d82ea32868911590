package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/events"
	"filbertledge/internal/usage"
)

// usageProvider is a coordinator.Provider that records the reports.
type usageProvider struct {
	mu     sync.Mutex
	counts map[int64]map[string]int64
	after  map[int64]time.Duration // time from the end of the window to its report
}

const testUsageWindow = time.Second

func (p *usageProvider) ReportUsage(_ context.Context, _ coordinator.DutyCall, r coordinator.UsageReport) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[r.Window] = r.Counts
	p.after[r.Window] = time.Since(time.Unix(0, (r.Window+1)*int64(testUsageWindow)))
	return nil
}

func (p *usageProvider) OrderServers(context.Context, coordinator.DutyCall, coordinator.CapacityOrder) error {
	return nil
}

// Guards against counts that do not reach the provider, that fall into another window than that of the begin, that wait for
// the latest time to close a window although all VMs have reported, and that are lost when a VM ends, and against reports of
// windows before the start.
func TestUsageReachesProvider(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	started := usage.WindowOf(time.Now().UnixNano(), testUsageWindow)
	p := &usageProvider{counts: map[int64]map[string]int64{}, after: map[int64]time.Duration{}}
	const deadline = 20 * time.Second
	node, err := coordinator.New(coordinator.Options{
		Name: "state", FailureDomain: "a", Address: address, Seeds: []string{address}, Bootstrap: true, DataDir: t.TempDir(), AnnounceInterval: time.Second,
		Events: events.NewLogRecorder("state", io.Discard), Fatal: func(err error) { t.Error(err) },
		Duties: coordinator.DutyOptions{Provider: p, ReportsUsage: true, UsageWindow: testUsageWindow, UsageDeadline: deadline},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	running.Go(func() {
		if err := node.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	var gateways []*Gateway
	for _, name := range []string{"entry-1", "entry-2"} {
		g := New(Options{Name: name, FailureDomain: "a", Seeds: []string{address}, AnnounceInterval: time.Second, Events: events.NewLogRecorder("entry", io.Discard)})
		gateways = append(gateways, g)
		running.Go(func() { g.Run(ctx) })
	}
	wait := func(what string, check func() bool) {
		t.Helper()
		for end := time.Now().Add(deadline); !check(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for %s", what)
			}
		}
	}
	// Counted before the agreed time is known.
	early := gateways[0].usage.Count("early")
	early.Begin(1, boottime.Now())
	early.Done()
	wait("the agreed time", func() bool {
		return gateways[0].usage.counter.Watermark(boottime.Now()) > 0 && gateways[1].usage.counter.Watermark(boottime.Now()) > 0
	})
	for _, g := range gateways {
		g.usage.mu.Lock()
		offset, _ := g.usage.clock.Offset()
		g.usage.mu.Unlock()
		wrong := time.Duration(offset + int64(boottime.Now()) - time.Now().UnixNano())
		if t.Logf("agreed time wrong by %s", wrong); wrong.Abs() > 50*time.Millisecond {
			t.Errorf("the agreed time is wrong by %s", wrong)
		}
	}
	now := time.Now()
	window := usage.WindowOf(now.UnixNano(), testUsageWindow) + 1
	begin := boottime.Now() + time.Until(time.Unix(0, window*int64(testUsageWindow))) // of the window
	for i, g := range gateways {
		for _, at := range []time.Duration{begin + 50*time.Millisecond, begin + 950*time.Millisecond} {
			r := g.usage.Count("w")
			r.Begin(1, at)
			r.Begin(2, at+testUsageWindow)
			r.Done()
		}
		refused := g.usage.Count("refused")
		refused.Begin(1, begin)
		refused.NotRun(1)
		refused.Done()
		if i == 1 {
			g.FinishUsage()
		}
	}
	wait("the report", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.counts[window] != nil
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if want := map[string]int64{"w": 4}; !maps.Equal(p.counts[window], want) {
		t.Errorf("window %d was reported with %v, want %v", window, p.counts[window], want)
	}
	if after := p.after[window]; after < 0 || after > deadline/2 {
		t.Errorf("the window was reported %s after its end; all VMs had reported", after)
	}
	reported := int64(0)
	for reportedWindow, counts := range p.counts {
		if reportedWindow < started {
			t.Errorf("window %d, before the start, was reported", reportedWindow)
		}
		reported += counts["early"]
	}
	if reported != 1 {
		t.Errorf("%d requests from before the agreed time were reported, want 1", reported)
	}
}
