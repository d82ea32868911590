package operator

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/pki"
	"filbertledge/internal/transport"
)

// startServers starts one transport server for each status handler and returns a client with their addresses in that
// order.
func startServers(t *testing.T, handlers ...func(ctx context.Context) (Status, error)) *Client {
	t.Helper()
	dir := t.TempDir()
	ca, err := pki.Init(dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	source := func(r pki.Request) *pki.TLSSource {
		files, err := ca.Issue(r)
		if err != nil {
			t.Fatal(err)
		}
		s, err := pki.NewTLSSource(files, pki.TLSSourceOptions{})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	vm := source(pki.Request{Name: "vm", Role: pki.RoleVM, IPs: []net.IP{net.IPv4(127, 0, 0, 1)}})
	var addresses []string
	for _, h := range handlers {
		s, err := transport.NewServer(transport.ServerOptions{Address: "127.0.0.1:0", Identity: vm, ShutdownGrace: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		transport.Handle(s, MethodStatus, pki.RoleOperator, func(ctx context.Context, _ transport.Peer, _ Empty) (Status, error) { return h(ctx) })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		addresses = append(addresses, s.Addr())
	}
	tc, err := transport.NewClient(transport.ClientOptions{
		Identity:    source(pki.Request{Name: "op", Role: pki.RoleOperator}),
		DialTimeout: 20 * time.Second, PeerTimeout: 20 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tc.Close() })
	c, err := NewClient(tc, addresses)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func statusOf(name api.VMID) func(context.Context) (Status, error) {
	return func(context.Context) (Status, error) { return Status{VM: api.VM{ID: name}}, nil }
}

func failingStatus(kind errs.Kind, calls *atomic.Int64) func(context.Context) (Status, error) {
	return func(context.Context) (Status, error) {
		calls.Add(1)
		return Status{}, errs.New(kind, "", "%s", kind)
	}
}

// Guards against three failures when the first VM returns an error: the client gives up although another VM could
// respond; a later error hides that an earlier attempt may have been executed; the client repeats a refusal on every VM
// although all of them would refuse.
func TestClientTriesNextServer(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		first  errs.Kind
		second errs.Kind // empty: the second VM responds
		want   errs.Kind // empty: the command succeeds
		calls  int64     // expected calls of the first VM
	}{
		{"first VM without quorum", errs.Unavailable, "", "", 1},
		{"outcome unknown on first VM", errs.OutcomeUnknown, "", "", 1},
		{"lease expired on first VM", errs.StaleTable, "", "", 1},
		{"refused", errs.NotFound, "", errs.NotFound, 1},
		{"denied", errs.PermissionDenied, "", errs.PermissionDenied, 1},
		{"no VM available", errs.Unavailable, errs.NotLeader, errs.NotLeader, 2},
		{"outcome unknown, then unavailable", errs.OutcomeUnknown, errs.Unavailable, errs.OutcomeUnknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var calls, other atomic.Int64
			second := statusOf("b")
			if c.second != "" {
				second = failingStatus(c.second, &other)
			}
			client := startServers(t, failingStatus(c.first, &calls), second)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := client.Status(ctx)
			if (c.want == "") != (err == nil) || err != nil && !errs.Is(err, c.want) {
				t.Errorf("error %v, want kind %q", err, c.want)
			}
			if calls.Load() != c.calls {
				t.Errorf("the first VM was called %d times, want %d", calls.Load(), c.calls)
			}
			if _, again := client.Status(ctx); c.want == "" && (again != nil || calls.Load() != c.calls) {
				t.Errorf("the second request did not start with the VM that responded: %v", again)
			}
		})
	}
}

// Guards against a propagation request that returns before all VMs use the version, gives up at the first failed poll,
// or returns only after the client's deadline, when nobody receives the list of pending VMs any more.
func TestPropagationWaitsUntilInForceOrDeadline(t *testing.T) {
	t.Parallel()
	var polls atomic.Int64
	s := &apiServer{opts: Options{Propagation: func(context.Context, uint64) ([]api.VM, error) {
		switch polls.Add(1) {
		case 1:
			return nil, errs.New(errs.Unavailable, "", "no leader")
		case 2:
			return []api.VM{{ID: "a"}}, nil
		}
		return nil, nil
	}}}
	response, err := s.propagation(context.Background(), transport.Peer{}, PropagationRequest{Wait: true})
	if err != nil || len(response.PendingVMs) != 0 || polls.Load() != 3 {
		t.Fatalf("response %+v after %d polls, %v", response, polls.Load(), err)
	}
	s.opts.Propagation = func(context.Context, uint64) ([]api.VM, error) { return []api.VM{{ID: "a"}}, nil }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err = s.propagation(ctx, transport.Peer{}, PropagationRequest{Wait: true})
	if err != nil || len(response.PendingVMs) != 1 || ctx.Err() != nil {
		t.Fatalf("response %+v, %v; deadline passed: %v", response, err, ctx.Err())
	}
	if response, err = s.propagation(context.Background(), transport.Peer{}, PropagationRequest{}); err != nil || len(response.PendingVMs) != 1 {
		t.Fatalf("response %+v, %v", response, err)
	}
}

// Guards against a merged timeline that is out of order because VMs respond in any order, or that holds more events
// than fit into one message.
func TestMergedTimelineIsOrderedAndLimited(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var merger timelineMerger
	var wg sync.WaitGroup
	for i, vm := range []api.VMID{"c", "a", "b"} {
		wg.Go(func() {
			list := []events.Event{{Time: start.Add(time.Duration(i) * time.Second), VM: vm}, {Time: start.Add(time.Minute), VM: vm, Sequence: 1}}
			merger.add(api.VM{ID: vm}, vmEvents{events: list})
		})
	}
	wg.Wait()
	merger.add(api.VM{ID: "z"}, vmEvents{err: errors.New("lost")})
	merger.add(api.VM{ID: "y"}, vmEvents{err: errs.New(errs.Unavailable, "", "down")})
	out := merger.result(4)
	var order string
	for _, e := range out.Events {
		order += string(e.VM)
	}
	if order != "babc" {
		t.Errorf("order is %s", order)
	}
	if len(out.Missing) != 2 || out.Missing[0].VM != "y" || out.Missing[0].Reason != "unavailable" {
		t.Errorf("missing VMs are %+v", out.Missing)
	}
	for _, limit := range []int{-1, 0, maxEvents + 1} {
		if got := withCappedLimit(events.Filter{Limit: limit}).Limit; got != maxEvents {
			t.Errorf("limit %d became %d", limit, got)
		}
	}
}
