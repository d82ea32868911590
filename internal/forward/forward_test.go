package forward

import (
	"context"
	"errors"
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
	"filbertledge/internal/routes"
)

// serverBehavior is how a fake server handles one request. The results are those of Exchanger.Exchange.
type serverBehavior func(ctx context.Context) (*Response, bool, error)

var errConnBroken = errors.New("connection broke")

func respondWith(status int) serverBehavior {
	return func(context.Context) (*Response, bool, error) {
		return &Response{Status: status, Signature: "signed"}, false, nil
	}
}

func respondUnsigned(status int) serverBehavior {
	return func(context.Context) (*Response, bool, error) { return &Response{Status: status}, false, nil }
}

func refuse(context.Context) (*Response, bool, error) {
	return &Response{Status: 503, NotRun: true}, false, nil
}

func failToConnect(context.Context) (*Response, bool, error) { return nil, true, errConnBroken }

func breakConnection(context.Context) (*Response, bool, error) { return nil, false, errConnBroken }

func hang(ctx context.Context) (*Response, bool, error) {
	<-ctx.Done()
	return nil, false, ctx.Err()
}

// fakeServers handles the requests to each server with that server's behaviors in turn, then with status 200.
type fakeServers struct {
	mu        sync.Mutex
	behaviors map[string][]serverBehavior
	asked     []string
	timeLeft  []time.Duration
}

func (f *fakeServers) Exchange(ctx context.Context, server fleet.Server, _ *Request, a Attempt) (*Response, bool, error) {
	f.mu.Lock()
	f.asked = append(f.asked, server.ID)
	f.timeLeft = append(f.timeLeft, a.TimeLeft)
	list := f.behaviors[server.ID]
	next := respondWith(200)
	if len(list) > 0 {
		next, f.behaviors[server.ID] = list[0], list[1:]
	}
	f.mu.Unlock()
	return next(ctx)
}

var testRoutes = []routes.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Idempotent, Timeout: 400 * time.Millisecond, MaxAttempts: 2, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}},
	{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.NonIdempotent, Timeout: 400 * time.Millisecond, MaxAttempts: 2, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}},
}

func newForwarder(behaviors map[string][]serverBehavior) (*Forwarder, *fakeServers) {
	f := &fakeServers{behaviors: behaviors}
	registry := fleet.NewRegistry(time.Second)
	for i, zone := range []string{"a", "b", "b"} {
		registry.Announce(fleet.Server{ID: fmt.Sprintf("s%d", i), Service: "app", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: zone, Incarnation: 1}, boottime.Now())
	}
	return New(Options{FailureDomain: "a", Registry: registry, Exchanger: f, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)}), f
}

// Guards against a request that is not retried although it may be, that is sent again although the route is not
// idempotent and it may have run, and against an error that tells the caller the wrong outcome.
func TestForwardRetriesByRouteKind(t *testing.T) {
	// The server in the VM's own failure domain, s0, gets the first attempt.
	for name, tc := range map[string]struct {
		route     int
		behaviors map[string][]serverBehavior
		status    int
		kind      errs.Kind
		attempts  int
	}{
		"answered":                        {0, nil, 200, "", 1},
		"client error is passed on":       {0, map[string][]serverBehavior{"s0": {respondWith(404)}}, 404, "", 1},
		"refused, then answered":          {0, map[string][]serverBehavior{"s0": {refuse}}, 200, "", 2},
		"broken, then answered":           {0, map[string][]serverBehavior{"s0": {breakConnection}}, 200, "", 2},
		"hangs, second attempt answers":   {0, map[string][]serverBehavior{"s0": {hang}}, 200, "", 2},
		"unsigned success is not passed":  {0, map[string][]serverBehavior{"s0": {respondUnsigned(200)}}, 200, "", 2},
		"own failure is tried elsewhere":  {0, map[string][]serverBehavior{"s0": {respondWith(500)}}, 200, "", 2},
		"no more servers than allowed":    {0, map[string][]serverBehavior{"s0": {respondWith(500)}, "s1": {respondWith(500)}, "s2": {respondWith(500)}}, 500, "", 2},
		"refused by all is not run":       {0, map[string][]serverBehavior{"s0": {refuse, refuse, refuse, refuse, refuse, refuse}, "s1": {refuse, refuse, refuse, refuse}, "s2": {refuse, refuse, refuse, refuse}}, 0, errs.Unavailable, maxRefusals},
		"unreachable is not run":          {1, map[string][]serverBehavior{"s0": {failToConnect}}, 200, "", 2},
		"once: refused, then answered":    {1, map[string][]serverBehavior{"s0": {refuse}}, 200, "", 2},
		"once: broken is unknown":         {1, map[string][]serverBehavior{"s0": {breakConnection}}, 0, errs.BackendFailed, 1},
		"once: hanging is not sent again": {1, map[string][]serverBehavior{"s0": {hang}}, 0, errs.DeadlineExceeded, 1},
		"once: own failure is passed on":  {1, map[string][]serverBehavior{"s0": {respondWith(500)}}, 500, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g, f := newForwarder(tc.behaviors)
			route := &testRoutes[tc.route]
			started := time.Now()
			response, err := g.Forward(context.Background(), &Request{ID: "r", Deadline: started.Add(5 * time.Second)}, route)
			if took := time.Since(started); took > route.Timeout+200*time.Millisecond {
				t.Errorf("answered after %s, the route allows %s", took, route.Timeout)
			}
			if tc.kind != "" && !errs.Is(err, tc.kind) || tc.kind == "" && (err != nil || response.Status != tc.status) {
				t.Fatalf("answer %+v, error %v", response, err)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.asked) != tc.attempts {
				t.Errorf("attempts at servers %v, want %d attempts", f.asked, tc.attempts)
			}
		})
	}
}

// Guards against a request that waits for its deadline although its service has no server.
func TestForwardFailsAtOnceWithoutServers(t *testing.T) {
	g, _ := newForwarder(nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		g.opts.Registry.MarkLeaving(id, 1)
	}
	started := time.Now()
	_, err := g.Forward(context.Background(), &Request{Deadline: started.Add(time.Second)}, &testRoutes[0])
	if !errs.Is(err, errs.Unavailable) || time.Since(started) > 100*time.Millisecond {
		t.Fatalf("%v after %s", err, time.Since(started))
	}
}

// Guards against a hedged attempt that tells its server the full time instead of what remains of it.
func TestForwardPassesRemainingTimeToServers(t *testing.T) {
	g, f := newForwarder(map[string][]serverBehavior{"s0": {hang}})
	if _, err := g.Forward(context.Background(), &Request{Deadline: time.Now().Add(5 * time.Second)}, &testRoutes[0]); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.timeLeft) != 2 || f.timeLeft[0] > 400*time.Millisecond || f.timeLeft[1] > f.timeLeft[0]-minHedgeDelay/2 {
		t.Fatalf("time left: %v", f.timeLeft)
	}
}

// Guards against a server that goes on working for a caller that closed its connection.
func TestForwardCancelsExchangeWhenCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	g, _ := newForwarder(map[string][]serverBehavior{"s0": {func(ctx context.Context) (*Response, bool, error) {
		defer close(ended)
		return hang(ctx)
	}}})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, leave)
	if _, err := g.Forward(ctx, &Request{Deadline: time.Now().Add(5 * time.Second)}, &testRoutes[1]); err == nil {
		t.Fatal("Forward succeeded after its context was canceled")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the server's work was not canceled within 5 s")
	}
}

// Guards against requests to a server that just failed or is leaving while another one is available.
func TestChooseAvoidsFailedServer(t *testing.T) {
	tracker := newHealthTracker()
	servers := []fleet.Server{{ID: "a", FailureDomain: "z"}, {ID: "b", FailureDomain: "z"}, {ID: "c", FailureDomain: "y"}}
	noRefusals := func(string) int { return 0 }
	tracker.recordStart("a")
	tracker.recordEnd("a", 0, time.Millisecond, attemptResult{err: errConnBroken}, false)
	if chosen := tracker.choose(servers, "z", time.Millisecond, noRefusals); chosen.ID != "b" {
		t.Fatalf("chose %s", chosen.ID)
	}
	if chosen := tracker.choose(servers[:1], "z", time.Millisecond, noRefusals); chosen == nil {
		t.Fatal("no server was chosen although one that failed is left")
	}
	if chosen := tracker.choose(servers, "y", time.Millisecond, noRefusals); chosen.ID != "c" {
		t.Fatalf("chose %s, which is not in the VM's own failure domain", chosen.ID)
	}
	servers[1].Leaving = true
	if chosen := tracker.choose(servers[1:2], "z", 0, noRefusals); chosen != nil {
		t.Fatal("chose a server that is leaving")
	}
}
