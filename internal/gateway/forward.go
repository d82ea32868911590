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

// Header is one header of a request or an answer.
type Header struct{ Name, Value string }

// Request is one attempt of a caller.
type Request struct {
	ID      string // of the attempt
	Method  string
	URI     string // path and query as the caller sent them
	Path    string
	Host    string
	Headers []Header // without those of the connection
	Body    []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Response is the whole answer of a server.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// NotRun is true if the server says that it did not run the request.
	NotRun bool
	// Signed is true if the answer bears the server's signature.
	Signed bool
}

// Exchanger reaches backend servers.
type Exchanger interface {
	// Exchange sends a request to a server. timeLeft is passed on. When notSent is true, no byte was written.
	Exchange(ctx context.Context, server fleet.Server, r *Request, timeLeft time.Duration) (a *Response, notSent bool, err error)
}

const (
	// hedgeAfter starts a second attempt of a repeatable request. It leaves an ordinary answer, of some 20 ms, and
	// a slow one time to arrive, and a second attempt time to meet the target of some 150 ms.
	hedgeAfter = 75 * time.Millisecond
	// targetShare is the part of the route's target after which the second attempt starts, if that is longer.
	targetShare = 0.5
	// defaultAttempts applies to routes that do not say how many servers a request may reach.
	defaultAttempts = 2
	// refusedPause is the time between attempts when all servers refuse.
	refusedPause = 25 * time.Millisecond
	// mostRefusals bounds the attempts that no server ran.
	mostRefusals = 6
	// answerMargin is kept of the deadline to write the answer.
	answerMargin = 5 * time.Millisecond
)

// outcome is the end of one exchange.
type outcome struct {
	answer  *Response
	notSent bool
	err     error
	server  string
}

// ran reports whether the server may have run the request.
func (o outcome) ran() bool {
	if o.err != nil {
		return !o.notSent
	}
	return !o.answer.NotRun
}

// good reports whether the answer may be passed on as it is: a success bears the signature.
func (o outcome) good() bool {
	return o.err == nil && !o.answer.NotRun && o.answer.Signed && o.answer.Status < 500
}

// MatchRoute returns the route of a request. Errors: errs.NotFound only if the newest configuration has no such route,
// else errs.Unavailable.
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

// Forward sends a request to servers of its route's service until one answers. The error's kind tells the caller
// what is known: errs.Unavailable (not run), errs.DeadlineExceeded and errs.BackendFailed (may have run).
func (g *Gateway) Forward(ctx context.Context, r *Request, route *routes.Route) (*Response, error) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	start := time.Now()
	deadline := r.Deadline
	if route.Timeout > 0 && start.Add(route.Timeout).Before(deadline) {
		deadline = start.Add(route.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	f := &forwarding{g: g, request: r, route: route, service: route.PickService(rand.Float64()), deadline: deadline, results: make(chan outcome, mostRefusals+defaultAttempts)}
	answer, err := f.run(ctx)
	g.noteForward(r, route, f, start, answer, err)
	return answer, err
}

// forwarding is one request on its way.
type forwarding struct {
	g        *Gateway
	request  *Request
	route    *routes.Route
	service  string
	deadline time.Time
	results  chan outcome
	tried    []string // servers that may have run the request
	refused  []string // servers that did not run it
	pending  int
	last     outcome
}

func (f *forwarding) attempts() int {
	if !f.route.Repeatable() {
		return 1
	}
	if f.route.MaxAttempts > 0 {
		return f.route.MaxAttempts
	}
	return defaultAttempts
}

func (f *forwarding) run(ctx context.Context) (*Response, error) {
	hedge := time.NewTimer(max(hedgeAfter, time.Duration(targetShare*float64(f.route.LatencyTarget))))
	defer hedge.Stop()
	if !f.start(ctx) {
		return nil, errs.New(errs.Unavailable, "call again shortly", "service %s has no server", f.service)
	}
	for {
		select {
		case o := <-f.results:
			f.pending--
			if o.good() {
				return o.answer, nil
			}
			f.note(o)
			if f.pending > 0 {
				if f.mayStart() {
					f.start(ctx)
				}
				continue
			}
			if !f.again(ctx) {
				return f.giveUp(ctx)
			}
		case <-hedge.C:
			f.g.health.overdue(f.tried, boottime.Now())
			if f.pending == 1 && f.mayStart() {
				f.start(ctx)
			}
		case <-ctx.Done():
			return f.giveUp(ctx)
		}
	}
}

// note remembers a failed exchange.
func (f *forwarding) note(o outcome) {
	f.last = o
	if o.ran() {
		return
	}
	f.refused = append(f.refused, o.server)
	for i, id := range f.tried {
		if id == o.server {
			f.tried = append(f.tried[:i], f.tried[i+1:]...)
			break
		}
	}
}

// mayStart reports whether another server may be asked.
func (f *forwarding) mayStart() bool {
	return len(f.tried) < f.attempts() && len(f.refused)+f.pending < mostRefusals
}

// again starts the next exchange after all earlier ones failed.
func (f *forwarding) again(ctx context.Context) bool {
	if !f.mayStart() || ctx.Err() != nil {
		return false
	}
	if len(f.refused) > 1 && len(f.tried) == 0 {
		sleep(ctx, refusedPause)
	}
	return f.start(ctx)
}

// start asks the best server that has not been asked yet, or again one that refused.
func (f *forwarding) start(ctx context.Context) bool {
	now := boottime.Now()
	servers := f.g.registry.List(f.service, now)
	v := f.g.health.choose(servers, f.g.opts.FailureDomain, now, func(id string) int {
		n := 0
		for _, t := range f.tried {
			if t == id {
				return -1 // it may be running the request
			}
		}
		for _, r := range f.refused {
			if r == id {
				n++
			}
		}
		return n
	})
	if v == nil {
		return false
	}
	f.tried = append(f.tried, v.ID)
	f.pending++
	f.g.opts.Events.Record(events.Event{
		Name: events.RequestDispatched, Request: f.request.ID, Server: api.ServerID(v.ID),
		Detail: fmt.Sprintf("attempt %d, %s left", len(f.tried)+len(f.refused), time.Until(f.deadline).Round(time.Millisecond)),
	})
	go f.exchange(ctx, *v)
	return true
}

// exchange sends the request to one server. It ends with the request, also when another server answered it.
func (f *forwarding) exchange(ctx context.Context, v fleet.Server) {
	f.g.health.begin(v.ID)
	began := boottime.Now()
	a, notSent, err := f.g.opts.Exchanger.Exchange(ctx, v, f.request, time.Until(f.deadline))
	o := outcome{answer: a, notSent: notSent, err: err, server: v.ID}
	f.g.health.end(v.ID, boottime.Now(), boottime.Now()-began, o, ctx.Err() != nil)
	f.results <- o
}

// giveUp answers a request that no server has served.
func (f *forwarding) giveUp(ctx context.Context) (*Response, error) {
	mayRun := f.pending > 0 || len(f.tried) > 0
	switch {
	case !mayRun:
		return nil, errs.New(errs.Unavailable, "call again shortly", "no server of %s took the request", f.service)
	case ctx.Err() != nil:
		return nil, errs.New(errs.DeadlineExceeded, "allow a longer deadline", "no server of %s answered in time", f.service)
	case f.last.err == nil && f.last.answer.Signed && !f.last.answer.NotRun && f.last.answer.Status >= 500:
		return f.last.answer, nil // the server's own failure
	case f.last.err != nil:
		return nil, errs.Wrap(f.last.err, errs.BackendFailed, "call again if the call may be repeated", "server %s failed", f.last.server)
	default:
		return nil, errs.New(errs.BackendFailed, "call again if the call may be repeated", "server %s answered %d without its signature", f.last.server, f.last.answer.Status)
	}
}

func (g *Gateway) noteForward(r *Request, route *routes.Route, f *forwarding, start time.Time, a *Response, err error) {
	c := g.configuration.Load()
	e := events.Event{Name: events.RequestFinished, Request: r.ID, Took: time.Since(start)}
	detail := fmt.Sprintf("route %s, configuration %d, tried %v, refused %v, %s", route.Name, c.Version, f.tried, f.refused, time.Since(start).Round(time.Millisecond))
	if err != nil {
		e.Name = events.RequestFailed
		if errs.Is(err, errs.Unavailable) {
			e.Name = events.RequestRefused
		}
		detail += ": " + err.Error()
	} else {
		detail += fmt.Sprintf(", status %d", a.Status)
	}
	e.Detail = detail
	g.opts.Events.Record(e)
}

func versionText(version, term uint64) string {
	return fmt.Sprintf("version %d from the leader of term %d", version, term)
}
