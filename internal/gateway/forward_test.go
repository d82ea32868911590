package gateway

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

// script is what a server does with a request.
type script func(ctx context.Context) (*Response, bool, error)

var errBroken = errors.New("connection broke")

func answers(status int) script {
	return func(context.Context) (*Response, bool, error) {
		return &Response{Status: status, Signed: true}, false, nil
	}
}

func unsigned(status int) script {
	return func(context.Context) (*Response, bool, error) { return &Response{Status: status}, false, nil }
}

func refuses(context.Context) (*Response, bool, error) {
	return &Response{Status: 503, NotRun: true}, false, nil
}

func unreachable(context.Context) (*Response, bool, error) { return nil, true, errBroken }

func breaks(context.Context) (*Response, bool, error) { return nil, false, errBroken }

func hangs(ctx context.Context) (*Response, bool, error) {
	<-ctx.Done()
	return nil, false, ctx.Err()
}

// fakeServers answer by script, in the order in which the requests arrive at them.
type fakeServers struct {
	mu      sync.Mutex
	scripts map[string][]script
	asked   []string
	left    []time.Duration
}

func (f *fakeServers) Exchange(ctx context.Context, v fleet.Server, _ *Request, timeLeft time.Duration) (*Response, bool, error) {
	f.mu.Lock()
	f.asked = append(f.asked, v.ID)
	f.left = append(f.left, timeLeft)
	list := f.scripts[v.ID]
	next := answers(200)
	if len(list) > 0 {
		next, f.scripts[v.ID] = list[0], list[1:]
	}
	f.mu.Unlock()
	return next(ctx)
}

func newGateway(t *testing.T, scripts map[string][]script) (*Gateway, *fakeServers) {
	t.Helper()
	f := &fakeServers{scripts: scripts}
	g := New(Options{
		Name: "vm", FailureDomain: "a", AnnounceInterval: time.Second, Exchanger: f,
		Events: events.NewLogRecorder(api.VMID("vm"), io.Discard),
	})
	g.configuration.Store(&routes.Configuration{
		Version: 1, Services: []routes.Service{{Name: "app"}},
		Routes: []routes.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Idempotent, Timeout: 400 * time.Millisecond, MaxAttempts: 2, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.NonIdempotent, Timeout: 400 * time.Millisecond, MaxAttempts: 2, ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}}},
		},
	})
	for i, zone := range []string{"a", "b", "b"} {
		g.registry.Announce(fleet.Server{ID: fmt.Sprintf("s%d", i), Service: "app", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: zone, Incarnation: 1}, boottime.Now())
	}
	return g, f
}

func TestForward(t *testing.T) {
	// The server in the VM's own failure domain, s0, is asked first.
	for name, tc := range map[string]struct {
		route   int
		scripts map[string][]script
		status  int
		kind    errs.Kind
		asked   int
	}{
		"answered":                        {0, nil, 200, "", 1},
		"client error is passed on":       {0, map[string][]script{"s0": {answers(404)}}, 404, "", 1},
		"refused, then answered":          {0, map[string][]script{"s0": {refuses}}, 200, "", 2},
		"broken, then answered":           {0, map[string][]script{"s0": {breaks}}, 200, "", 2},
		"hangs, second attempt answers":   {0, map[string][]script{"s0": {hangs}}, 200, "", 2},
		"unsigned success is not passed":  {0, map[string][]script{"s0": {unsigned(200)}}, 200, "", 2},
		"own failure is tried elsewhere":  {0, map[string][]script{"s0": {answers(500)}}, 200, "", 2},
		"no more servers than allowed":    {0, map[string][]script{"s0": {answers(500)}, "s1": {answers(500)}, "s2": {answers(500)}}, 500, "", 2},
		"refused by all is not run":       {0, map[string][]script{"s0": {refuses, refuses, refuses, refuses, refuses, refuses}, "s1": {refuses, refuses, refuses, refuses}, "s2": {refuses, refuses, refuses, refuses}}, 0, errs.Unavailable, mostRefusals},
		"unreachable is not run":          {1, map[string][]script{"s0": {unreachable}}, 200, "", 2},
		"once: refused, then answered":    {1, map[string][]script{"s0": {refuses}}, 200, "", 2},
		"once: broken is unknown":         {1, map[string][]script{"s0": {breaks}}, 0, errs.BackendFailed, 1},
		"once: hanging is not sent again": {1, map[string][]script{"s0": {hangs}}, 0, errs.DeadlineExceeded, 1},
		"once: own failure is passed on":  {1, map[string][]script{"s0": {answers(500)}}, 500, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g, f := newGateway(t, tc.scripts)
			route := &g.Configuration().Routes[tc.route]
			started := time.Now()
			a, err := g.Forward(context.Background(), &Request{ID: "r", Deadline: started.Add(5 * time.Second)}, route)
			if took := time.Since(started); took > route.Timeout+200*time.Millisecond {
				t.Errorf("answered after %s, the route allows %s", took, route.Timeout)
			}
			if tc.kind != "" && !errs.Is(err, tc.kind) || tc.kind == "" && (err != nil || a.Status != tc.status) {
				t.Fatalf("answer %+v, error %v", a, err)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.asked) != tc.asked {
				t.Errorf("servers asked: %v, want %d", f.asked, tc.asked)
			}
		})
	}
}

func TestForwardWithoutServersIsRefusedAtOnce(t *testing.T) {
	g, _ := newGateway(t, nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		g.registry.MarkLeaving(id, 0)
	}
	started := time.Now()
	_, err := g.Forward(context.Background(), &Request{Deadline: started.Add(time.Second)}, &g.Configuration().Routes[0])
	if !errs.Is(err, errs.Unavailable) || time.Since(started) > 100*time.Millisecond {
		t.Fatalf("%v after %s", err, time.Since(started))
	}
}

func TestTheTimeLeftIsCountedDown(t *testing.T) {
	g, f := newGateway(t, map[string][]script{"s0": {hangs}})
	if _, err := g.Forward(context.Background(), &Request{Deadline: time.Now().Add(5 * time.Second)}, &g.Configuration().Routes[0]); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.left) != 2 || f.left[0] > 400*time.Millisecond || f.left[1] > f.left[0]-hedgeAfter/2 {
		t.Fatalf("time left: %v", f.left)
	}
}

func TestALeavingCallerCancelsTheWork(t *testing.T) {
	ended := make(chan struct{})
	g, _ := newGateway(t, map[string][]script{"s0": {func(ctx context.Context) (*Response, bool, error) {
		defer close(ended)
		return hangs(ctx)
	}}})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, leave)
	if _, err := g.Forward(ctx, &Request{Deadline: time.Now().Add(5 * time.Second)}, &g.Configuration().Routes[1]); err == nil {
		t.Fatal("a caller that left got an answer")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the server still works")
	}
}

func TestMatchWithoutAConfirmedConfiguration(t *testing.T) {
	g, _ := newGateway(t, nil)
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("an unconfirmed configuration: %v", err)
	}
	g.confirmed.Store(int64(boottime.Now()))
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.NotFound) {
		t.Fatalf("a confirmed configuration: %v", err)
	}
	g.confirmed.Store(int64(boottime.Now() - confirmedFor))
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("a configuration that was confirmed long ago: %v", err)
	}
	if r, err := g.MatchRoute("h", "/safe/x"); err != nil || r.Name != "safe" {
		t.Fatalf("a known route: %v, %v", r, err)
	}
	g.configuration.Store(nil)
	if _, err := g.MatchRoute("h", "/safe/x"); !errs.Is(err, errs.Unavailable) || g.Ready() {
		t.Fatalf("without a configuration: %v", err)
	}
}

func TestChooseAvoidsWhatFailed(t *testing.T) {
	h := newHealth()
	servers := []fleet.Server{{ID: "a", FailureDomain: "z"}, {ID: "b", FailureDomain: "z"}, {ID: "c", FailureDomain: "y"}}
	never := func(string) int { return 0 }
	h.begin("a")
	h.end("a", 0, time.Millisecond, outcome{err: errBroken}, false)
	if v := h.choose(servers, "z", time.Millisecond, never); v.ID != "b" {
		t.Fatalf("chose %s", v.ID)
	}
	if v := h.choose(servers[:1], "z", time.Millisecond, never); v == nil {
		t.Fatal("a blocked server is better than none")
	}
	if v := h.choose(servers, "y", time.Millisecond, never); v.ID != "c" {
		t.Fatalf("chose %s in another failure domain", v.ID)
	}
	servers[1].Leaving = true
	if v := h.choose(servers[1:2], "z", 0, never); v != nil {
		t.Fatal("chose a server that leaves")
	}
}
