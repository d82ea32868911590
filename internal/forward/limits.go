package forward

import (
	"context"
	"fmt"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/ratelimit"
)

// Limiter keeps the requests of all VMs within the limits that servers state.
type Limiter interface {
	// Observe records what the response to a request, sent at boot time sentAt, states about its server's limit, and
	// reports whether the limit changed.
	Observe(server string, s ratelimit.Statement, sentAt time.Duration) bool
	// Limit returns the limit that a server states, in requests a second, and whether it states one.
	Limit(server string) (perSecond float64, limited bool)
	// Reserve asks for a permission to send a request to one of the servers, the most preferred first, after a wait of at
	// most maxWait. It does not wait itself, but may call another VM.
	Reserve(ctx context.Context, servers []string, maxWait time.Duration) ratelimit.Grant
}

// noLimits is the Limiter of a VM whose servers state no limits.
type noLimits struct{}

func (noLimits) Observe(string, ratelimit.Statement, time.Duration) bool { return false }

func (noLimits) Limit(string) (float64, bool) { return 0, false }

func (noLimits) Reserve(_ context.Context, servers []string, _ time.Duration) ratelimit.Grant {
	return ratelimit.Grant{Server: servers[0]}
}

const (
	// maxLimitWait is the longest wait for a permission of a request whose route has no latency target.
	maxLimitWait = 100 * time.Millisecond
	// serviceTime is the part of the latency target that a request needs after it has waited for a permission.
	serviceTime = 50 * time.Millisecond
	// maxLimitedCandidates is the number of limited servers among which a permission is chosen.
	maxLimitedCandidates = 16
)

// RefusedError is an error of a request that did not run, with the time after which it may be accepted.
type RefusedError struct {
	error
	RetryAfter time.Duration
}

// NewRefusedError returns err with the time after which the caller should call again.
func NewRefusedError(err error, retryAfter time.Duration) error {
	return &RefusedError{error: err, RetryAfter: retryAfter}
}

// Unwrap returns the cause, which tells the kind of the error.
func (e *RefusedError) Unwrap() error { return e.error }

// ObserveLimit records what the response to a request, sent at boot time sentAt, states about its server's limit.
func (f *Forwarder) ObserveLimit(server, request string, s ratelimit.Statement, sentAt time.Duration) {
	event := events.Event{Request: request, Server: api.ServerID(server)}
	switch {
	case s.Kind == ratelimit.Malformed:
		event.Name, event.Detail = events.LimitUnreadable, "the limit stated last remains"
	case !f.opts.Limiter.Observe(server, s, sentAt):
		return
	case s.Kind == ratelimit.Limited:
		event.Name, event.Detail = events.LimitNamed, fmt.Sprintf("%g requests a second from all VMs", s.PerSecond)
	default:
		event.Name, event.Detail = events.LimitWithdrawn, "the response states no limit"
	}
	f.opts.Events.Record(event)
}

func (f *Forwarder) isLimited(server string) bool {
	_, limited := f.opts.Limiter.Limit(server)
	return limited
}

// chooseServer returns the server for the next attempt, or nil if there is none, and the boot time until which the
// request may be sent there, or 0 without such a time. A limited server needs a permission. The request waits for one
// only if no server without a limit is left that answers, and only as long as it can still be answered within its latency
// target: under a load above the limits, more patience would make every answer late without serving one more.
func (f *forwardState) chooseServer(ctx context.Context) (server *fleet.Server, permittedUntil time.Duration) {
	limiter, now := f.forwarder.opts.Limiter, f.forwarder.opts.Clock()
	servers := f.mayContinueOn(f.forwarder.opts.Registry.List(f.service, now))
	if best := f.chooseByLoad(servers, now); best != nil {
		return best, 0
	}
	best := f.forwarder.health.choose(servers, f.forwarder.opts.FailureDomain, now, f.refusalsOf)
	if best == nil || !f.forwarder.isLimited(best.ID) {
		return best, 0
	}
	var limited []string
	byID := map[string]*fleet.Server{}
	var unlimited *fleet.Server
	unlimitedAnswers := false
	for _, s := range f.forwarder.health.rank(servers, f.forwarder.opts.FailureDomain, now, f.refusalsOf) {
		switch {
		case !f.forwarder.isLimited(s.ID):
			if unlimited == nil {
				unlimited, unlimitedAnswers = s.Server, s.cost < backoffPenalty
			}
		case len(limited) < maxLimitedCandidates:
			limited = append(limited, s.ID)
			byID[s.ID] = s.Server
		}
	}
	maxWait := time.Duration(0)
	if !unlimitedAnswers && f.pending == 0 {
		maxWait = f.maxLimitWait()
	}
	grant := limiter.Reserve(ctx, limited, maxWait)
	if grant.Server == "" {
		f.retryAfter = grant.Wait
		f.recordWithoutPermission(limited, grant, unlimited)
		return unlimited, 0
	}
	if grant.Wait > 0 {
		sleep(ctx, grant.Wait)
	}
	return byID[grant.Server], now + grant.Wait + ratelimit.PermissionLifetime
}

// maxLimitWait returns how long the request may wait for a permission.
func (f *forwardState) maxLimitWait() time.Duration {
	if f.route.LatencyTarget <= 0 {
		return maxLimitWait
	}
	return min(f.route.LatencyTarget-time.Since(f.startedAt), time.Until(f.deadline)) - serviceTime
}

func (f *forwardState) recordWithoutPermission(limited []string, grant ratelimit.Grant, unlimited *fleet.Server) {
	detail := fmt.Sprintf("servers %v of %s have reached their limits, the next permission in %s", limited, f.service, grant.Wait.Round(time.Millisecond))
	if unlimited != nil {
		detail += "; sent to " + unlimited.ID
	}
	f.forwarder.opts.Events.Record(events.Event{Name: events.RequestLimited, Request: f.request.ID, Detail: detail})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
