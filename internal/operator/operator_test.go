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

// startServers runs one server for each status handler and returns a client that knows them in that order.
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

func answers(name api.VMID) func(context.Context) (Status, error) {
	return func(context.Context) (Status, error) { return Status{VM: api.VM{ID: name}}, nil }
}

func refuses(kind errs.Kind, calls *atomic.Int64) func(context.Context) (Status, error) {
	return func(context.Context) (Status, error) {
		calls.Add(1)
		return Status{}, errs.New(kind, "", "%s", kind)
	}
}

// Guards against a command that gives up, or that hides an open outcome, when the first VM cannot answer; and
// against one that asks all VMs about a refusal that would be the same everywhere.
func TestNextServer(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		first  errs.Kind
		second errs.Kind // empty: the second VM answers
		want   errs.Kind // empty: the command succeeds
		calls  int64     // of the first VM
	}{
		{"no quorum there", errs.Unavailable, "", "", 1},
		{"outcome unknown there", errs.OutcomeUnknown, "", "", 1},
		{"lease expired there", errs.StaleTable, "", "", 1},
		{"refused", errs.NotFound, "", errs.NotFound, 1},
		{"denied", errs.PermissionDenied, "", errs.PermissionDenied, 1},
		{"nowhere", errs.Unavailable, errs.NotLeader, errs.NotLeader, 2},
		{"open, then not reached", errs.OutcomeUnknown, errs.Unavailable, errs.OutcomeUnknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var calls, other atomic.Int64
			second := answers("b")
			if c.second != "" {
				second = refuses(c.second, &other)
			}
			client := startServers(t, refuses(c.first, &calls), second)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := client.Status(ctx)
			if (c.want == "") != (err == nil) || err != nil && !errs.Is(err, c.want) {
				t.Errorf("error %v, want kind %q", err, c.want)
			}
			if calls.Load() != c.calls {
				t.Errorf("the first VM was asked %d times, want %d", calls.Load(), c.calls)
			}
			if _, again := client.Status(ctx); c.want == "" && (again != nil || calls.Load() != c.calls) {
				t.Errorf("the VM that answered is not asked first: %v", again)
			}
		})
	}
}

// Guards against an answer to --wait that comes before the edit is in force, or too late for the caller.
func TestReachWaits(t *testing.T) {
	t.Parallel()
	var polls atomic.Int64
	s := &server{o: Options{Propagation: func(context.Context, uint64) ([]api.VM, error) {
		switch polls.Add(1) {
		case 1:
			return nil, errs.New(errs.Unavailable, "", "no leader")
		case 2:
			return []api.VM{{ID: "a"}}, nil
		}
		return nil, nil
	}}}
	answer, err := s.reach(context.Background(), transport.Peer{}, PropagationRequest{Wait: true})
	if err != nil || len(answer.PendingVMs) != 0 || polls.Load() != 3 {
		t.Fatalf("answer %+v after %d polls, %v", answer, polls.Load(), err)
	}
	s.o.Propagation = func(context.Context, uint64) ([]api.VM, error) { return []api.VM{{ID: "a"}}, nil }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err = s.reach(ctx, transport.Peer{}, PropagationRequest{Wait: true})
	if err != nil || len(answer.PendingVMs) != 1 || ctx.Err() != nil {
		t.Fatalf("answer %+v, %v; deadline passed: %v", answer, err, ctx.Err())
	}
	if answer, err = s.reach(context.Background(), transport.Peer{}, PropagationRequest{}); err != nil || len(answer.PendingVMs) != 1 {
		t.Fatalf("answer %+v, %v", answer, err)
	}
}

// Guards against a merged timeline that is out of order, or larger than one message.
func TestMergeTimeline(t *testing.T) {
	t.Parallel()
	at := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var m merger
	var group sync.WaitGroup
	for i, vm := range []api.VMID{"c", "a", "b"} {
		group.Go(func() {
			list := []events.Event{{Time: at.Add(time.Duration(i) * time.Second), VM: vm}, {Time: at.Add(time.Minute), VM: vm, Sequence: 1}}
			m.add(api.VM{ID: vm}, answer{events: list})
		})
	}
	group.Wait()
	m.add(api.VM{ID: "z"}, answer{err: errors.New("lost")})
	m.add(api.VM{ID: "y"}, answer{err: errs.New(errs.Unavailable, "", "down")})
	out := m.result(4)
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
		if got := bounded(events.Filter{Limit: limit}).Limit; got != maxEvents {
			t.Errorf("limit %d became %d", limit, got)
		}
	}
}
