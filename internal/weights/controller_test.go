package weights

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
)

// fakeEngineClient simulates two engines and records the orders that take effect. The engine "checked" rejects old
// fencing tokens, the engine "ignored" carries out every order.
type fakeEngineClient struct {
	mu     sync.Mutex
	delay  time.Duration // delivery delay of orders sent from now on
	state  map[string]*EngineState
	orders []receivedOrder
}

type receivedOrder struct {
	address string
	order   EngineOrder
}

func (f *fakeEngineClient) Order(_ context.Context, address string, o EngineOrder) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay) // an order in flight arrives even if its sender has given up
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "checked" && o.FencingToken < f.highestToken(address) {
		return errs.New(errs.FencingTokenTooOld, "none", "fencing token is lower than one that the engine accepted")
	}
	f.orders = append(f.orders, receivedOrder{address, o})
	s := f.state[address]
	switch o.Kind {
	case OrderLoad:
		s.Loaded = append(s.Loaded, o.Version)
	case OrderSwitch:
		s.Current = o.Version
	case OrderUnload:
		s.Loaded = removeVersion(s.Loaded, o.Version)
	}
	return nil
}

func (f *fakeEngineClient) highestToken(address string) uint64 {
	var highest uint64
	for _, a := range f.orders {
		if a.address == address {
			highest = max(highest, a.order.FencingToken)
		}
	}
	return highest
}

func (f *fakeEngineClient) State(_ context.Context, address string) (EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state[address]
	s.Loaded = slices.Clone(s.Loaded)
	return s, nil
}

// fakeLeadership hands out fencing tokens that increase across all leaders that share the counter token.
type fakeLeadership struct {
	mu    sync.Mutex
	holds bool
	token *uint64
}

func (l *fakeLeadership) HoldsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds
}

func (l *fakeLeadership) set(holds bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds = holds
}

func (l *fakeLeadership) AcquireFencingToken(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*l.token++
	return *l.token, nil
}

const testLeaseDuration = 500 * time.Millisecond

func startController(ctx context.Context, t *testing.T, engines *fakeEngineClient, l *fakeLeadership, newest api.WeightVersion) {
	t.Helper()
	startControllerWithMaxLoads(ctx, t, engines, l, newest, nil)
}

func startControllerWithMaxLoads(ctx context.Context, t *testing.T, engines *fakeEngineClient, l *fakeLeadership, newest api.WeightVersion, maxLoads func(context.Context) int) {
	t.Helper()
	m, err := metrics.New("vm")
	if err != nil {
		t.Fatal(err)
	}
	servers := []Server{
		{ID: "checked", Address: "checked", Pool: "p", Model: "m", Current: 1, Loaded: []api.WeightVersion{1}, Fencing: api.FencingChecked},
		{ID: "ignored", Address: "ignored", Pool: "q", Model: "m", Current: 1, Loaded: []api.WeightVersion{1}, Fencing: api.FencingIgnored},
	}
	c := NewController(ControllerOptions{
		EngineClient: engines, Leadership: l, LeaseDuration: testLeaseDuration, MaxConcurrentLoads: maxLoads, Events: events.NewRecorder("vm", io.Discard), Metrics: m,
		Servers: func() []Server { return slices.Clone(servers) },
		Targets: func() map[string]Target { return map[string]Target{"m": {Newest: newest}} },
	})
	go c.Run(ctx)
}

func newFakeEngineClient(delay time.Duration) *fakeEngineClient {
	return &fakeEngineClient{delay: delay, state: map[string]*EngineState{
		"checked": {Current: 1, Loaded: []api.WeightVersion{1}},
		"ignored": {Current: 1, Loaded: []api.WeightVersion{1}},
	}}
}

// Guards against a delayed order of a former leader that takes effect after an order of its successor, on an engine
// that ignores fencing tokens. The first leader loses its lease while one of its orders is in flight; delivery takes
// almost the order timeout.
func TestNewLeaderWaitsForOrdersOfFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		token := new(uint64)
		engines := newFakeEngineClient(1900 * time.Millisecond)
		former := &fakeLeadership{holds: true, token: token}
		startController(ctx, t, engines, former, 2)
		time.Sleep(3500 * time.Millisecond) // the switch to version 2 was sent after 2.6 s and arrives after 4.5 s
		former.set(false)
		engines.mu.Lock()
		engines.delay = 10 * time.Millisecond
		engines.mu.Unlock()
		successor := &fakeLeadership{holds: true, token: token}
		startController(ctx, t, engines, successor, 3)
		time.Sleep(20 * time.Second)

		engines.mu.Lock()
		defer engines.mu.Unlock()
		highestToken := map[string]uint64{}
		for _, a := range engines.orders {
			if a.order.FencingToken < highestToken[a.address] {
				t.Errorf("engine %s got order %s version %d with token %d after one with token %d",
					a.address, a.order.Kind, a.order.Version, a.order.FencingToken, highestToken[a.address])
			}
			highestToken[a.address] = max(highestToken[a.address], a.order.FencingToken)
		}
		for address, s := range engines.state {
			if s.Current != 3 {
				t.Errorf("engine %s runs version %d, want 3", address, s.Current)
			}
		}
	})
}

// Guards against a leader that sends orders without holding the lease, as after a suspension past the end of the lease.
func TestNoOrderWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFakeEngineClient(0)
		l := &fakeLeadership{token: new(uint64)}
		startController(ctx, t, engines, l, 2)
		time.Sleep(10 * time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		if len(engines.orders) > 0 {
			t.Errorf("%d orders were sent without the lease", len(engines.orders))
		}
	})
}

// Guards against a limit of one load at a time for a whole term. The limit is that low if nothing was published when
// the term began, because it depends on the sizes of published weights.
func TestMaxLoadsIsRefreshedDuringTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var calls atomic.Int64
		startControllerWithMaxLoads(ctx, t, newFakeEngineClient(0), &fakeLeadership{holds: true, token: new(uint64)}, 1, func(context.Context) int {
			return int(calls.Add(1))
		})
		time.Sleep(30 * time.Second)
		if n := calls.Load(); n < 5 {
			t.Errorf("MaxConcurrentLoads was called %d times in 30 s, want at least 5", n)
		}
	})
}
