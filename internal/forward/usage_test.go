package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// fakeUsage records what is told of one request.
type fakeUsage struct {
	mu         sync.Mutex
	workspaces []string
	running    []int // attempts that began and are not known not to have run
	done       bool
}

func (f *fakeUsage) Count(workspace string) UsageCount {
	f.workspaces = append(f.workspaces, workspace)
	return f
}

func (f *fakeUsage) Begin(attempt int, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, attempt)
}

func (f *fakeUsage) NotRun(attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(a int) bool { return a == attempt })
}

func (f *fakeUsage) Done() string {
	f.done = true
	return ""
}

// askingExchanger asks for the permission, as the client of the servers does, and tells the first event of a stream if there
// is one.
type askingExchanger struct {
	*fakeServers
	hasEvents bool
}

func (e askingExchanger) Exchange(ctx context.Context, server fleet.Server, r *Request, a Attempt) (*Response, bool, error) {
	response, notSent, err := e.fakeServers.Exchange(ctx, server, r, a)
	if !notSent && a.Permitted != nil {
		a.Permitted()
	}
	if response != nil && !response.NotRun && a.FirstEvent != nil && e.hasEvents {
		a.FirstEvent()
	}
	return response, notSent, err
}

// Guards against requests that count although no server ran them, or do not count although one may have, and against
// requests that count here and elsewhere.
func TestUsageOfRequests(t *testing.T) {
	stream := testRoutes[1]
	stream.Kind = routes.Streaming
	for name, tc := range map[string]struct {
		route     *routes.Route
		behaviors map[string][]serverBehavior
		request   Request
		hasEvents bool
		counts    bool
		running   int // attempts
	}{
		"answered":                    {&testRoutes[1], nil, Request{Workspace: "w"}, false, true, 1},
		"no workspace":                {&testRoutes[1], nil, Request{}, false, false, 0},
		"handed over by another VM":   {&testRoutes[1], nil, Request{Workspace: "w", From: "vm"}, false, false, 0},
		"continues a stream":          {&stream, nil, Request{Workspace: "w", TakeUp: &TakeUp{}}, true, false, 0},
		"refused, then answered":      {&testRoutes[1], map[string][]serverBehavior{"s0": {refuse}}, Request{Workspace: "w"}, false, true, 1},
		"not sent, then answered":     {&testRoutes[1], map[string][]serverBehavior{"s0": {failToConnect}}, Request{Workspace: "w"}, false, true, 1},
		"no answer":                   {&testRoutes[1], map[string][]serverBehavior{"s0": {breakConnection}}, Request{Workspace: "w"}, false, true, 1},
		"no answer, then answered":    {&testRoutes[0], map[string][]serverBehavior{"s0": {breakConnection}}, Request{Workspace: "w"}, false, true, 2},
		"refused by all":              {&testRoutes[1], map[string][]serverBehavior{"s0": slices.Repeat([]serverBehavior{refuse}, 9), "s1": slices.Repeat([]serverBehavior{refuse}, 9), "s2": slices.Repeat([]serverBehavior{refuse}, 9)}, Request{Workspace: "w"}, false, true, 0},
		"stream":                      {&stream, nil, Request{Workspace: "w"}, true, true, 1},
		"stream without an event":     {&stream, nil, Request{Workspace: "w"}, false, true, 0},
		"stream broken without event": {&stream, map[string][]serverBehavior{"s0": {breakConnection}}, Request{Workspace: "w"}, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, servers := newForwarder(tc.behaviors)
			counted := &fakeUsage{}
			f.opts.Usage, f.opts.Exchanger = counted, askingExchanger{servers, tc.hasEvents}
			tc.request.Deadline = time.Now().Add(time.Second)
			_, _ = f.Forward(context.Background(), &tc.request, tc.route) // the error is not tested here
			if counts := len(counted.workspaces) == 1 && counted.workspaces[0] == "w" && counted.done; counts != tc.counts {
				t.Fatalf("counted %t (%+v), want %t", counts, counted, tc.counts)
			}
			counted.mu.Lock()
			defer counted.mu.Unlock()
			if len(counted.running) != tc.running {
				t.Errorf("attempts %v count, want %d", counted.running, tc.running)
			}
		})
	}
}
