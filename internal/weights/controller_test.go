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

// fakeEngines records the orders that took effect. The engine "checked" refuses old fencing tokens, the engine
// "ignored" obeys every order.
type fakeEngines struct {
	mu     sync.Mutex
	delay  time.Duration // of the orders that are sent from now on
	state  map[string]*EngineState
	orders []arrival
}

type arrival struct {
	address string
	order   EngineOrder
}

func (f *fakeEngines) Order(_ context.Context, address string, o EngineOrder) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay) // an order that is under way arrives even if its sender gave up
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "checked" && o.FencingToken < f.highest(address) {
		return errs.New(errs.FencingTokenTooOld, "none", "old token")
	}
	f.orders = append(f.orders, arrival{address, o})
	s := f.state[address]
	switch o.Kind {
	case OrderLoad:
		s.Loaded = append(s.Loaded, o.Version)
	case OrderSwitch:
		s.Current = o.Version
	case OrderUnload:
		s.Loaded = without(s.Loaded, o.Version)
	}
	return nil
}

func (f *fakeEngines) highest(address string) uint64 {
	var highest uint64
	for _, a := range f.orders {
		if a.address == address {
			highest = max(highest, a.order.FencingToken)
		}
	}
	return highest
}

func (f *fakeEngines) State(_ context.Context, address string) (EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state[address]
	s.Loaded = slices.Clone(s.Loaded)
	return s, nil
}

// fakeLeadership hands out tokens that grow over all leaders.
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

const testLease = 500 * time.Millisecond

func startController(ctx context.Context, t *testing.T, engines *fakeEngines, l *fakeLeadership, newest api.WeightVersion) {
	t.Helper()
	startBounded(ctx, t, engines, l, newest, nil)
}

func startBounded(ctx context.Context, t *testing.T, engines *fakeEngines, l *fakeLeadership, newest api.WeightVersion, maxLoads func(context.Context) int) {
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
		EngineClient: engines, Leadership: l, LeaseDuration: testLease, MaxConcurrentLoads: maxLoads, Events: events.NewRecorder("vm", io.Discard), Metrics: m,
		Servers: func() []Server { return slices.Clone(servers) },
		Targets: func() map[string]Target { return map[string]Target{"m": {Newest: newest}} },
	})
	go c.Run(ctx)
}

func newFakeEngines(delay time.Duration) *fakeEngines {
	return &fakeEngines{delay: delay, state: map[string]*EngineState{
		"checked": {Current: 1, Loaded: []api.WeightVersion{1}},
		"ignored": {Current: 1, Loaded: []api.WeightVersion{1}},
	}}
}

// Guards against a late order of an earlier leader that takes effect after an order of its successor, on an engine
// that ignores fencing tokens. The first leader's orders are under way for almost the order timeout when it loses
// its lease.
func TestNewLeaderWaitsOutOrdersOfTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		token := new(uint64)
		engines := newFakeEngines(1900 * time.Millisecond)
		old := &fakeLeadership{holds: true, token: token}
		startController(ctx, t, engines, old, 2)
		time.Sleep(3500 * time.Millisecond) // the switch to version 2 was sent after 2.6 s and arrives after 4.5 s
		old.set(false)
		engines.mu.Lock()
		engines.delay = 10 * time.Millisecond
		engines.mu.Unlock()
		successor := &fakeLeadership{holds: true, token: token}
		startController(ctx, t, engines, successor, 3)
		time.Sleep(20 * time.Second)

		engines.mu.Lock()
		defer engines.mu.Unlock()
		newest := map[string]uint64{}
		for _, a := range engines.orders {
			if a.order.FencingToken < newest[a.address] {
				t.Errorf("engine %s got %s version %d with token %d after one with token %d",
					a.address, a.order.Kind, a.order.Version, a.order.FencingToken, newest[a.address])
			}
			newest[a.address] = max(newest[a.address], a.order.FencingToken)
		}
		for address, s := range engines.state {
			if s.Current != 3 {
				t.Errorf("engine %s runs version %d, want 3", address, s.Current)
			}
		}
	})
}

// Guards against a leader that acts on its plan after it was frozen past the end of its lease.
func TestNoOrderWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFakeEngines(0)
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

// Guards against loads that go one at a time for a whole term, because nothing was published when it began.
func TestBoundOfLoadsIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var asked atomic.Int64
		startBounded(ctx, t, newFakeEngines(0), &fakeLeadership{holds: true, token: new(uint64)}, 1, func(context.Context) int {
			return int(asked.Add(1))
		})
		time.Sleep(30 * time.Second)
		if n := asked.Load(); n < 5 {
			t.Errorf("the bound was asked %d times in 30 s, want at least 5", n)
		}
	})
}
