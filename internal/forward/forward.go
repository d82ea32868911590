package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// Header is one HTTP header of a request or a response.
type Header struct{ Name, Value string }

// Request is one HTTP request that a caller sent.
type Request struct {
	ID      string // the caller's attempt ID
	Method  string
	URI     string // path and query exactly as the caller sent them
	Path    string
	Host    string
	Headers []Header // without hop-by-hop headers
	Body    []byte
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
}

// Response is the complete response of a backend server.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Signed is true if the response carries the server's signature header.
	Signed bool
}

// Exchanger sends requests to backend servers.
type Exchanger interface {
	// Exchange sends a request to a server and returns the response. The server is told timeLeft, the time that
	// remains until the deadline. notSent is true if no byte of the request was written.
	Exchange(ctx context.Context, server fleet.Server, r *Request, timeLeft time.Duration) (response *Response, notSent bool, err error)
}

const (
	// minHedgeDelay is the shortest time after which a second, hedged attempt of a repeatable request starts. An
	// ordinary response takes about 20 ms, so a slow one can still arrive before the hedge starts, and the hedge
	// can still meet a latency target of about 150 ms.
	minHedgeDelay = 75 * time.Millisecond
	// hedgeTargetFraction is the fraction of the route's latency target after which the hedge starts, if that is
	// later than minHedgeDelay.
	hedgeTargetFraction = 0.5
	// defaultMaxAttempts applies to routes that do not set how many servers may run a request.
	defaultMaxAttempts = 2
	// refusalRetryDelay is the longest delay between attempts while every server refuses the request.
	refusalRetryDelay = 25 * time.Millisecond
	// maxRefusals limits the attempts that the servers refused and thus did not run.
	maxRefusals = 6
	// responseMargin is the time before the deadline that is reserved for writing the response.
	responseMargin = 5 * time.Millisecond
)

// minServerErrorStatus is the lowest HTTP status that reports a failure of the server.
const minServerErrorStatus = 500

// attemptResult is the result of sending a request to one server.
type attemptResult struct {
	response *Response
	notSent  bool
	err      error
	server   string
}

// mayHaveRun reports whether the server may have run the request.
func (r attemptResult) mayHaveRun() bool {
	if r.err != nil {
		return !r.notSent
	}
	return !r.response.NotRun
}

// acceptable reports whether the response is final: the server ran the request, signed the response and reports no
// failure of its own.
func (r attemptResult) acceptable() bool {
	return r.err == nil && !r.response.NotRun && r.response.Signed && r.response.Status < minServerErrorStatus
}

// MatchRoute returns the route for a host and a path. The error is of kind errs.NotFound only if the leader recently
// confirmed that the configuration without such a route is the newest, otherwise of kind errs.Unavailable.
func (g *Gateway) MatchRoute(host, path string) (*routes.Route, error) {
	c := g.configuration.Load()
	if c == nil {
		return nil, errs.New(errs.Unavailable, "call again in a second", "this VM has no configuration yet")
	}
	if r := c.Match(host, path); r != nil {
		return r, nil
	}
	if !g.ConfigurationConfirmed() {
		return nil, errs.New(errs.Unavailable, "call again in a second", "this VM cannot confirm that its configuration is the newest")
	}
	return nil, errs.New(errs.NotFound, "check the host and the path", "no route leads to %s%s", host, path)
}

// Forward sends a request to servers of its route's service until one of them responds. The kind of the error tells
// whether the request may have run: errs.Unavailable means that it did not; errs.DeadlineExceeded and
// errs.BackendFailed mean that it may have.
func (g *Gateway) Forward(ctx context.Context, r *Request, route *routes.Route) (*Response, error) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	start := time.Now()
	deadline := r.Deadline
	if route.Timeout > 0 && start.Add(route.Timeout).Before(deadline) {
		deadline = start.Add(route.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	f := &forwardState{g: g, request: r, route: route, service: route.PickService(rand.Float64()), deadline: deadline, results: make(chan attemptResult, maxRefusals+defaultMaxAttempts)}
	response, err := f.run(ctx)
	g.recordForward(r, route, f, start, response, err)
	return response, err
}

// forwardState is the state of one request while it is forwarded.
type forwardState struct {
	g           *Gateway
	request     *Request
	route       *routes.Route
	service     string
	deadline    time.Time
	results     chan attemptResult
	mayHaveRun  []string // servers that may have run the request
	refused     []string // servers that did not run it
	pending     int
	lastFailure attemptResult
}

func (f *forwardState) maxAttempts() int {
	if !f.route.Repeatable() {
		return 1
	}
	if f.route.MaxAttempts > 0 {
		return f.route.MaxAttempts
	}
	return defaultMaxAttempts
}

func (f *forwardState) run(ctx context.Context) (*Response, error) {
	hedge := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeTargetFraction*float64(f.route.LatencyTarget))))
	defer hedge.Stop()
	if !f.startAttempt(ctx) {
		return nil, errs.New(errs.Unavailable, "call again shortly", "service %s has no server", f.service)
	}
	for {
		select {
		case result := <-f.results:
			f.pending--
			if result.acceptable() {
				return result.response, nil
			}
			f.recordFailure(result)
			if f.pending > 0 {
				if f.canStartAttempt() {
					f.startAttempt(ctx)
				}
				continue
			}
			if !f.retry(ctx) {
				return f.failureResponse(ctx)
			}
		case <-hedge.C:
			f.g.health.markOverdue(f.mayHaveRun, boottime.Now())
			if f.pending == 1 && f.canStartAttempt() {
				f.startAttempt(ctx)
			}
		case <-ctx.Done():
			return f.failureResponse(ctx)
		}
	}
}

// recordFailure records a failed attempt. A server that did not run the request moves from mayHaveRun to refused.
func (f *forwardState) recordFailure(result attemptResult) {
	f.lastFailure = result
	if result.mayHaveRun() {
		return
	}
	f.refused = append(f.refused, result.server)
	for i, id := range f.mayHaveRun {
		if id == result.server {
			f.mayHaveRun = append(f.mayHaveRun[:i], f.mayHaveRun[i+1:]...)
			break
		}
	}
}

// canStartAttempt reports whether the limits on attempts and refusals admit one more attempt.
func (f *forwardState) canStartAttempt() bool {
	return len(f.mayHaveRun) < f.maxAttempts() && len(f.refused)+f.pending < maxRefusals
}

// retry starts the next attempt after all earlier ones failed, and reports whether it did.
func (f *forwardState) retry(ctx context.Context) bool {
	if !f.canStartAttempt() || ctx.Err() != nil {
		return false
	}
	if len(f.refused) > 1 && len(f.mayHaveRun) == 0 {
		sleepWithJitter(ctx, refusalRetryDelay)
	}
	return f.startAttempt(ctx)
}

// startAttempt sends the request to the server with the lowest expected latency among those that cannot have run it.
// Each refusal makes a server less preferred. It returns false if there is no such server.
func (f *forwardState) startAttempt(ctx context.Context) bool {
	now := boottime.Now()
	servers := f.g.registry.List(f.service, now)
	server := f.g.health.choose(servers, f.g.opts.FailureDomain, now, func(id string) int {
		refusals := 0
		for _, attempted := range f.mayHaveRun {
			if attempted == id {
				return -1 // this server may be running the request
			}
		}
		for _, refused := range f.refused {
			if refused == id {
				refusals++
			}
		}
		return refusals
	})
	if server == nil {
		return false
	}
	f.mayHaveRun = append(f.mayHaveRun, server.ID)
	f.pending++
	f.g.opts.Events.Record(events.Event{
		Name: events.RequestDispatched, Request: f.request.ID, Server: api.ServerID(server.ID),
		Detail: fmt.Sprintf("attempt %d, %s left", len(f.mayHaveRun)+len(f.refused), time.Until(f.deadline).Round(time.Millisecond)),
	})
	go f.exchange(ctx, *server)
	return true
}

// exchange sends the request to one server. It is canceled when Forward returns, for example because another server
// responded first.
func (f *forwardState) exchange(ctx context.Context, server fleet.Server) {
	f.g.health.recordStart(server.ID)
	start := boottime.Now()
	response, notSent, err := f.g.opts.Exchanger.Exchange(ctx, server, f.request, time.Until(f.deadline))
	result := attemptResult{response: response, notSent: notSent, err: err, server: server.ID}
	f.g.health.recordEnd(server.ID, boottime.Now(), boottime.Now()-start, result, ctx.Err() != nil)
	f.results <- result
}

// failureResponse returns the response or the error for a request that no server completed successfully.
func (f *forwardState) failureResponse(ctx context.Context) (*Response, error) {
	mayHaveRun := f.pending > 0 || len(f.mayHaveRun) > 0
	switch {
	case !mayHaveRun:
		return nil, errs.New(errs.Unavailable, "call again shortly", "no server of %s accepted the request", f.service)
	case ctx.Err() != nil:
		return nil, errs.New(errs.DeadlineExceeded, "allow a longer deadline", "no server of %s answered in time", f.service)
	case f.lastFailure.err == nil && f.lastFailure.response.Signed && !f.lastFailure.response.NotRun && f.lastFailure.response.Status >= minServerErrorStatus:
		return f.lastFailure.response, nil // a signed failure of the server itself is passed on
	case f.lastFailure.err != nil:
		return nil, errs.Wrap(f.lastFailure.err, errs.BackendFailed, "call again if the call may be repeated", "server %s failed", f.lastFailure.server)
	default:
		return nil, errs.New(errs.BackendFailed, "call again if the call may be repeated", "server %s answered with status %d but without its signature", f.lastFailure.server, f.lastFailure.response.Status)
	}
}

func (g *Gateway) recordForward(r *Request, route *routes.Route, f *forwardState, start time.Time, response *Response, err error) {
	c := g.configuration.Load()
	event := events.Event{Name: events.RequestFinished, Request: r.ID, Took: time.Since(start)}
	detail := fmt.Sprintf("route %s, configuration %d, tried %v, refused %v, %s", route.Name, c.Version, f.mayHaveRun, f.refused, time.Since(start).Round(time.Millisecond))
	if err != nil {
		event.Name = events.RequestFailed
		if errs.Is(err, errs.Unavailable) {
			event.Name = events.RequestRefused
		}
		detail += ": " + err.Error()
	} else {
		detail += fmt.Sprintf(", status %d", response.Status)
	}
	event.Detail = detail
	g.opts.Events.Record(event)
}

func describeVersion(version, term uint64) string {
	return fmt.Sprintf("version %d from the leader of term %d", version, term)
}
