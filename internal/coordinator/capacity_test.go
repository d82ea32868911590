package coordinator

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

// fakeProvider answers orders of servers with answer.
type fakeProvider struct {
	mu     sync.Mutex
	calls  []providerCall
	answer func(ctx context.Context, call DutyCall, o CapacityOrder, earlier int) error
}

type providerCall struct {
	DutyCall
	CapacityOrder
	at        time.Time
	permitted bool
}

func (p *fakeProvider) ReportUsage(context.Context, DutyCall, UsageReport) error { return nil }

func (p *fakeProvider) OrderServers(ctx context.Context, call DutyCall, o CapacityOrder) error {
	p.mu.Lock()
	earlier := 0
	for _, c := range p.calls {
		if c.FailureDomain == o.FailureDomain {
			earlier++
		}
	}
	p.calls = append(p.calls, providerCall{call, o, time.Now(), call.Permitted()})
	p.mu.Unlock()
	return p.answer(ctx, call, o, earlier)
}

// received returns the calls for a zone.
func (p *fakeProvider) received(zone string) []providerCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.calls), func(c providerCall) bool { return c.FailureDomain != zone })
}

// startOrderingCluster starts a cluster with a step that needs far more slots than the announced servers of zone z have. Spot servers can
// be ordered in zones y and z.
func startOrderingCluster(t *testing.T, p *fakeProvider) *cluster {
	t.Helper()
	c := newCluster(t, seedCount)
	c.duties = DutyOptions{Provider: p, OrdersServers: true}
	c.engines.eventInterval = 10 * time.Second // items run until the end of the test
	c.startAll()
	c.announceServers(2, 2)
	c.callLeader("the configuration", func(ctx context.Context, n *Node) error {
		return n.Configure(ctx, &routes.Configuration{
			Version: 1, Document: []byte("v1"),
			Services: []routes.Service{{Name: testService, Models: []string{testModel}, Autoscale: &routes.Autoscale{
				MinServers: 1, MaxServers: 30, BootTime: 4 * time.Second, SpotPrice: 0.22, ZonePrices: map[string]float64{"y": 0.8, "z": 1},
			}}},
			Routes: []routes.Route{{
				Name: "r", Host: testHost, Prefix: "/p/", Kind: routes.Rollout, ItemLifetime: time.Minute, CompletionTarget: 7500 * time.Millisecond,
				ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}},
			}},
		})
	})
	b := newBatch("b", 20, 0)
	for i := range b.Items {
		b.Items[i].LengthHint = 100
	}
	c.submit(b)
	c.knowRunTimes()
	return c
}

// knowRunTimes makes the leader know that an item of 100 tokens takes two seconds.
func (c *cluster) knowRunTimes() {
	s := c.nodes[c.leader()].session.Load()
	s.mu.Lock()
	s.runTimes = runTimes{hint: 100, events: 5, seconds: 2}
	s.mu.Unlock()
}

// Guards against an order that is not repeated after its answer was lost, against a zone without servers whose part no other zone takes,
// and against orders of more servers in a zone that refuses them in quick succession.
func TestCapacityOrdersAfterLostAnswerAndRefusal(t *testing.T) {
	p := &fakeProvider{answer: func(_ context.Context, _ DutyCall, o CapacityOrder, earlier int) error {
		switch {
		case o.FailureDomain == "y":
			return errs.New(errs.Unavailable, "try again later", "no servers")
		case earlier < 2:
			return errs.New(errs.BackendFailed, "call again", "no answer")
		}
		return nil
	}}
	c := startOrderingCluster(t, p)
	c.waitUntil("the order that follows two lost answers", func() bool { return len(p.received("z")) > 2 })
	if z := p.received("z"); z[2].Servers <= z[0].Servers || z[2].at.Sub(z[1].at) > 6*time.Second {
		t.Errorf("after lost answers zone z got %d, %d and %d servers, the last after %s", z[0].Servers, z[1].Servers, z[2].Servers, z[2].at.Sub(z[1].at))
	}
	c.waitUntil("a second order in zone y", func() bool { return len(p.received("y")) > 1 })
	y := p.received("y")
	if pause := y[1].at.Sub(y[0].at); pause < 2900*time.Millisecond {
		t.Errorf("zone y got another order %s after its refusal", pause)
	}
	term := c.nodes[c.leader()].session.Load().term
	for _, call := range append(p.received("z"), y...) {
		if !call.Spot || call.FencingToken != term || call.Holder == "" || !call.permitted || call.Service != testService {
			t.Errorf("call %+v in term %d", call, term)
		}
	}
}

// Guards against a call that a leader writes after its lease has ended, as after a suspension between its check and the
// call: without fencing at the provider it would undo the orders of the next leader.
func TestFrozenLeaderOrdersNoServers(t *testing.T) {
	release := make(chan struct{})
	var thawed sync.WaitGroup
	var frozen sync.Once
	entered := make(chan uint64, 1)
	p := &fakeProvider{}
	p.answer = func(ctx context.Context, call DutyCall, _ CapacityOrder, _ int) error {
		frozen.Do(func() {
			thawed.Add(1)
			defer thawed.Done()
			entered <- call.FencingToken
			<-release // the process does not run
			if call.Permitted() || ctx.Err() == nil {
				t.Errorf("a call with token %d may be sent after the end of the lease: permitted %t, context %v", call.FencingToken, call.Permitted(), ctx.Err())
			}
		})
		return nil
	}
	c := startOrderingCluster(t, p)
	var term uint64
	select {
	case term = <-entered:
	case <-time.After(testTimeout):
		t.Fatal("no order")
	}
	c.stop(c.leader())
	c.waitUntil("orders of the next leader", func() bool {
		c.knowRunTimes()
		return slices.ContainsFunc(append(p.received("y"), p.received("z")...), func(call providerCall) bool { return call.FencingToken > term })
	})
	close(release)
	thawed.Wait()
}

// Guards against servers of a kind that count as the other, and against leaving servers that count as announced.
func TestObserveZones(t *testing.T) {
	service := &routes.Service{Name: testService, Autoscale: &routes.Autoscale{ZonePrices: map[string]float64{"a": 0.8, "b": 1}}}
	zones, slots := observeZones(service, []fleet.Server{
		{ID: "1", FailureDomain: "a", Slots: 8},
		{ID: "2", FailureDomain: "a", Slots: 8, Spot: true, Leaving: true},
		{ID: "3", FailureDomain: "a", Slots: 4, Spot: true, Silent: true},
		{ID: "4", FailureDomain: "c", Slots: 4},
	})
	want := []scheduling.ObservedZone{
		{Name: "a", Price: 0.8, Announced: [2]int{1, 1}, Silent: [2]int{0, 1}, Leaving: [2]int{0, 1}},
		{Name: "b", Price: 1},
		{Name: "c", Announced: [2]int{1, 0}},
	}
	if !slices.Equal(zones, want) || slots != 6 {
		t.Errorf("got %+v, %g slots", zones, slots)
	}
}

// Guards against servers that are given back because the leader does not know the load of their service: callers' requests, steps
// without length hints, and steps without a due time.
func TestDemandTellsUnknownLoad(t *testing.T) {
	const now = time.Minute
	service := &routes.Service{Name: testService}
	rollouts := routes.Route{Host: testHost, Prefix: "/p/", Kind: routes.Rollout, CompletionTarget: 7500 * time.Millisecond, ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}, {Service: "other", Weight: 3}}}
	noDue, callers := rollouts, rollouts
	noDue.CompletionTarget = 0
	callers.Prefix, callers.Kind = "/c/", routes.Streaming
	for name, tc := range map[string]struct {
		routes   []routes.Route
		runTimes runTimes
		lastStep time.Duration
		trainers int
		other    bool
	}{
		"known": {[]routes.Route{rollouts}, runTimes{100, 5, 2}, now, 1, false}, "idle trainer": {[]routes.Route{rollouts}, runTimes{}, now - trainerIdle - 1, 0, false},
		"no run times": {[]routes.Route{rollouts}, runTimes{}, now, 0, true}, "no due time": {[]routes.Route{noDue}, runTimes{100, 5, 2}, now, 0, true},
		"callers": {[]routes.Route{rollouts, callers}, runTimes{100, 5, 2}, now, 1, true},
	} {
		s := &session{stepWork: map[string]float64{testModel: 4000}, runTimes: tc.runTimes}
		c := &capacity{session: s, steps: map[string]*paceEstimate{testModel: {last: tc.lastStep, host: testHost, path: "/p/x"}}}
		trainers, other := c.demand(&routes.Configuration{Routes: tc.routes}, service, now)
		if len(trainers) != tc.trainers || other != tc.other || len(trainers) > 0 && trainers[0].UsualWork != 4000*2/100/4 {
			t.Errorf("%s: got %+v, other load %t", name, trainers, other)
		}
	}
}
