package gateway

import (
	"context"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/forward"
	"filbertledge/internal/routes"
)

// balancerDelay is how long after the begin of a planned stop the load balancer may still send new connections here: it
// asks once a second, and the second answer that is not ready counts.
const balancerDelay = 2500 * time.Millisecond

// stop is a planned stop of this VM.
type stop struct {
	begunAt time.Time
	// endsAt is when the requests that still run are ended.
	endsAt time.Time
}

// BeginStop begins a planned stop: requests that may last longer than the given time are refused, and those that still
// run after it are answered then. Other VMs send their requests elsewhere.
func (g *Gateway) BeginStop(left time.Duration) {
	g.handover.draining.Store(true)
	now := time.Now()
	g.stopping.Store(&stop{begunAt: now, endsAt: now.Add(left)})
	time.AfterFunc(left, g.endRequests)
}

// refuses reports whether a request that may last until latestEnd is refused because of the stop. A request that may run
// only once is never taken if it could be cut. One that may be repeated is taken while the load balancer still sends
// callers here, most of whose requests are short, and refused once its caller can only come back through a kept
// connection.
func (s *stop) refuses(now, latestEnd time.Time, repeatable bool) bool {
	return s != nil && latestEnd.After(s.endsAt) && (!repeatable || now.Sub(s.begunAt) > balancerDelay)
}

// checkStop returns an error for a request that this VM may not be able to answer before it stops.
func (g *Gateway) checkStop(r *forward.Request, route *routes.Route) error {
	now := time.Now()
	latestEnd := r.Deadline
	if route.Timeout > 0 && now.Add(route.Timeout).Before(latestEnd) {
		latestEnd = now.Add(route.Timeout)
	}
	if s := g.stopping.Load(); s.refuses(now, latestEnd, route.Repeatable() || r.Repeatable) {
		return errs.New(errs.Unavailable, "call again", "this VM stops in %s, and the request may last %s", time.Until(s.endsAt).Round(time.Millisecond), latestEnd.Sub(now).Round(time.Millisecond))
	}
	return nil
}

// untilStop returns a context that also ends when the VM ends its requests.
func (g *Gateway) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(g.requestsEnd, cancel)
	return ctx, func() { release(); cancel() }
}
