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
	// planInterval is the time between two plans, and between checks whether this VM leads.
	planInterval = 200 * time.Millisecond
	// maxLoadsInterval is the time between two calls of ControllerOptions.MaxConcurrentLoads.
	maxLoadsInterval = 5 * time.Second
	// maxConcurrentCalls bounds the connections that a controller opens at once, to send orders or to query states. With
	// 64 at a time, 2,000 servers take 32 rounds.
	maxConcurrentCalls = 64
)

// EngineOrder is an order as it is sent to an engine.
type EngineOrder struct {
	ID           uuid.UUID
	Kind         OrderKind
	Model        string
	Version      api.WeightVersion
	FencingToken uint64
}

// EngineState is the weight state that an engine reports when it is queried.
type EngineState struct {
	Current api.WeightVersion
	Loaded  []api.WeightVersion
}

// EngineClient sends orders to engines and queries their states.
type EngineClient interface {
	Order(ctx context.Context, address string, o EngineOrder) error
	State(ctx context.Context, address string) (EngineState, error)
}

// Leadership tells whether this VM may send orders.
type Leadership interface {
	// HoldsLease reports whether this VM holds the leader lease now.
	HoldsLease() bool
	// AcquireFencingToken returns a fencing token that is higher than those of all earlier leaders.
	AcquireFencingToken(ctx context.Context) (uint64, error)
}

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	Planner      PlannerOptions
	EngineClient EngineClient
	Leadership   Leadership
	// Servers returns the known servers that are not leaving.
	Servers func() []Server
	// Targets returns the target of each model.
	Targets func() map[string]Target
	// MaxConcurrentLoads returns how many engines may load at once; zero leaves the planner's limit unchanged. It is
	// called every few seconds. It may be nil.
	MaxConcurrentLoads func(ctx context.Context) int
	// LeaseDuration is the longest time for which a former leader may still consider itself the holder of the lease.
	LeaseDuration time.Duration
	Events        *events.Recorder
	Metrics       *metrics.Metrics
}

// Controller sends the orders of a planner while this VM is the control leader.
type Controller struct {
	opts ControllerOptions
}

func NewController(opts ControllerOptions) *Controller {
	opts.Planner.setDefaults()
	return &Controller{opts: opts}
}

// Run sends orders whenever this VM is the leader, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for sleep(ctx, planInterval) {
		if c.opts.Leadership.HoldsLease() {
			c.runTerm(ctx)
		}
	}
}

// runTerm sends orders until the lease is lost. Each term starts with a new fencing token and a new planner: earlier
// orders are known only by their effect on the states that the servers report.
func (c *Controller) runTerm(ctx context.Context) {
	token, err := c.opts.Leadership.AcquireFencingToken(ctx)
	if err != nil {
		return
	}
	start := time.Now()
	// An engine that ignores fencing tokens would also carry out delayed orders that a former leader sent before its
	// lease ended. Such engines get orders only when no order of a former leader can still arrive.
	handoverDelay := c.opts.LeaseDuration + c.opts.Planner.OrderTimeout
	planner := NewPlanner(c.opts.Planner)
	var maxLoadsRefreshed time.Time
	for sleep(ctx, planInterval) && c.opts.Leadership.HoldsLease() {
		if time.Since(maxLoadsRefreshed) >= maxLoadsInterval {
			maxLoadsRefreshed = time.Now()
			c.refreshMaxLoads(ctx, planner)
		}
		servers := c.refreshStates(ctx, c.eligibleServers(time.Since(start) >= handoverDelay))
		orders := planner.Plan(time.Since(start), servers, c.opts.Targets())
		c.recordOutcomes(planner.TakeOutcomes())
		c.sendOrders(ctx, token, planner, orders)
	}
}

// refreshMaxLoads updates the limit of concurrent loads. The limit changes during a term, because it depends on the
// sizes of weights, which are known only after a version has been published.
func (c *Controller) refreshMaxLoads(ctx context.Context, planner *Planner) {
	if c.opts.MaxConcurrentLoads == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Planner.OrderTimeout)
	defer cancel()
	planner.SetMaxConcurrentLoads(c.opts.MaxConcurrentLoads(ctx))
}

// eligibleServers returns the servers that may get orders. Those that ignore fencing tokens are included only if
// includeUnfenced is set.
func (c *Controller) eligibleServers(includeUnfenced bool) []Server {
	var out []Server
	for _, s := range c.opts.Servers() {
		if includeUnfenced || s.Fencing == api.FencingChecked {
			out = append(out, s)
		}
	}
	return out
}

// refreshStates queries the servers that do not run the newest target version and replaces their announced weights with
// the reported ones. Announcements lag by up to a second and would delay each stage of a weight update by as much.
func (c *Controller) refreshStates(ctx context.Context, servers []Server) []Server {
	targets := c.opts.Targets()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
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

func (c *Controller) sendOrders(ctx context.Context, token uint64, planner *Planner, orders []Order) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, o := range orders {
		group.Go(func() error {
			if c.sendOrder(ctx, token, o) {
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

func (c *Controller) recordOutcomes(list []OrderOutcome) {
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

// sendOrder sends one order and reports success. It checks the lease immediately before sending: a process that was
// suspended must not act on the plan that it made before.
func (c *Controller) sendOrder(ctx context.Context, token uint64, o Order) bool {
	if !c.opts.Leadership.HoldsLease() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Planner.OrderTimeout)
	defer cancel()
	order := EngineOrder{ID: uuid.New(), Kind: o.Kind, Model: o.Server.Model, Version: o.Version, FencingToken: token}
	err := c.opts.EngineClient.Order(ctx, o.Server.Address, order)
	event := events.Event{Name: events.OrderSent, Server: o.Server.ID, Detail: describeOrder(o)}
	result := "sent"
	if err != nil {
		event.Name, event.Detail = events.OrderRefused, describeOrder(o)+": "+err.Error()
		result = string(errs.KindOf(err))
	}
	c.opts.Events.Record(event)
	c.opts.Metrics.Order(string(o.Kind), result)
	return err == nil
}

// sleep waits for d and reports whether ctx is still active.
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
