package weights

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
)

const (
	planInterval  = 200 * time.Millisecond
	boundInterval = 5 * time.Second
	// concurrentOrders bounds the connections that one round of orders opens. 64 orders at a time reach 2,000
	// servers in 32 rounds.
	concurrentOrders = 64
)

// EngineOrder is an order as it goes to an engine.
type EngineOrder struct {
	ID           uuid.UUID
	Kind         OrderKind
	Model        string
	Version      api.WeightVersion
	FencingToken uint64 // fencing token
}

// EngineState is what an engine reports about itself when it is asked.
type EngineState struct {
	Current api.WeightVersion
	Loaded  []api.WeightVersion
}

// EngineClient sends orders to engines and reads their state.
type EngineClient interface {
	Order(ctx context.Context, address string, o EngineOrder) error
	State(ctx context.Context, address string) (EngineState, error)
}

// Leadership tells whether this VM may give orders.
type Leadership interface {
	// HoldsLease reports whether this VM holds the leader lease at this moment.
	HoldsLease() bool
	// AcquireFencingToken returns a fencing token that is higher than that of every earlier leader.
	AcquireFencingToken(ctx context.Context) (uint64, error)
}

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	Planner      PlannerOptions
	EngineClient EngineClient
	Leadership   Leadership
	// Servers returns the engines that are known and not leaving.
	Servers func() []Server
	// Targets returns the target of each model.
	Targets func() map[string]Target
	// MaxConcurrentLoads returns how many engines may load at once; zero selects the planner's default. It is asked every
	// few seconds. It may be nil.
	MaxConcurrentLoads func(ctx context.Context) int
	// LeaseDuration is the longest time for which an earlier leader can still believe that it holds the lease.
	LeaseDuration time.Duration
	Events        *events.Recorder
	Metrics       *metrics.Metrics
}

// Controller sends the orders of a planner while this VM is the control leader.
type Controller struct {
	opts ControllerOptions
}

// NewController returns a controller.
func NewController(opts ControllerOptions) *Controller {
	opts.Planner.setDefaults()
	return &Controller{opts: opts}
}

// Run gives orders whenever this VM leads, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for sleep(ctx, planInterval) {
		if c.opts.Leadership.HoldsLease() {
			c.lead(ctx)
		}
	}
}

// lead gives orders until the lease is lost. Each term starts with a new fencing token and a new planner: what
// the servers report is the only memory of earlier orders.
func (c *Controller) lead(ctx context.Context) {
	token, err := c.opts.Leadership.AcquireFencingToken(ctx)
	if err != nil {
		return
	}
	start := time.Now()
	// Engines that ignore fencing tokens could still receive orders that an earlier leader sent before its
	// lease ended.
	quiet := c.opts.LeaseDuration + c.opts.Planner.OrderTimeout
	planner := NewPlanner(c.opts.Planner)
	var bounded time.Time
	for sleep(ctx, planInterval) && c.opts.Leadership.HoldsLease() {
		if time.Since(bounded) >= boundInterval {
			bounded = time.Now()
			c.boundLoads(ctx, planner)
		}
		servers := c.readBack(ctx, c.eligible(time.Since(start) >= quiet))
		orders := planner.Plan(time.Since(start), servers, c.opts.Targets())
		c.recordEffects(planner.TakeOutcomes())
		c.send(ctx, token, planner, orders)
	}
}

// boundLoads asks for the bound again: the sizes of weights are known only once some are published.
func (c *Controller) boundLoads(ctx context.Context, planner *Planner) {
	if c.opts.MaxConcurrentLoads == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Planner.OrderTimeout)
	defer cancel()
	planner.SetMaxConcurrentLoads(c.opts.MaxConcurrentLoads(ctx))
}

// eligible returns the servers that may get orders. Without all, those that ignore fencing tokens are left out.
func (c *Controller) eligible(all bool) []Server {
	var out []Server
	for _, s := range c.opts.Servers() {
		if all || s.Fencing == api.FencingChecked {
			out = append(out, s)
		}
	}
	return out
}

// readBack replaces the announced weights of servers that do not run the target by what they report now.
// Announcements lag by up to a second and would delay each step of a roll-out by as much.
func (c *Controller) readBack(ctx context.Context, servers []Server) []Server {
	targets := c.opts.Targets()
	var group errgroup.Group
	group.SetLimit(concurrentOrders)
	for i := range servers {
		s := &servers[i]
		if t, ok := targets[s.Model]; !ok || t.Newest == 0 || s.Current == t.Newest {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, c.opts.Planner.OrderTimeout)
			defer cancel()
			if state, err := c.opts.EngineClient.State(ctx, s.Address); err == nil {
				s.Current, s.Loaded = state.Current, state.Loaded
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return servers
}

func (c *Controller) send(ctx context.Context, token uint64, planner *Planner, orders []Order) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(concurrentOrders)
	for _, o := range orders {
		group.Go(func() error {
			if c.sendOne(ctx, token, o) {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			planner.RecordFailure(o.Server.ID)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
}

func (c *Controller) recordEffects(list []OrderOutcome) {
	for _, e := range list {
		event := events.Event{Name: events.OrderVerified, Server: e.Server, Detail: fmt.Sprintf("%s version %d", e.Kind, e.Version)}
		result := "verified"
		if !e.Succeeded {
			event.Name, result = events.SwapFailed, "failed"
			event.Detail += fmt.Sprintf(" failed %d times", e.Failures)
		}
		c.opts.Events.Record(event)
		c.opts.Metrics.Order(string(e.Kind), result)
	}
}

// sendOne checks the lease immediately before the order goes out: a process that was frozen must not act on a
// plan from before.
func (c *Controller) sendOne(ctx context.Context, token uint64, o Order) bool {
	if !c.opts.Leadership.HoldsLease() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Planner.OrderTimeout)
	defer cancel()
	order := EngineOrder{ID: uuid.New(), Kind: o.Kind, Model: o.Server.Model, Version: o.Version, FencingToken: token}
	err := c.opts.EngineClient.Order(ctx, o.Server.Address, order)
	event := events.Event{Name: events.OrderSent, Server: o.Server.ID, Detail: describe(o)}
	result := "sent"
	if err != nil {
		event.Name, event.Detail = events.OrderRefused, describe(o)+": "+err.Error()
		result = string(errs.KindOf(err))
	}
	c.opts.Events.Record(event)
	c.opts.Metrics.Order(string(o.Kind), result)
	return err == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
