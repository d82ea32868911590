// Package forward sends one request to the servers of a service until one of them responds. Entry VMs use it for the
// requests of callers, the leader for the calls that score finished items.
package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/routes"
	"filbertledge/internal/suspects"
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
	// TakeUp is set if the request continues a stream.
	TakeUp *TakeUp
	// Repeatable allows more than one server to run the request, whatever the kind of its route.
	Repeatable bool
	// NewConnection forbids the reuse of an idle connection to a server. A request whose ID was sent before could
	// otherwise receive a late response to the earlier one.
	NewConnection bool
	// From is the VM that handed the request over, or empty if a caller sent it here. Excluded are the servers that may
	// have run it already.
	From     string
	Excluded []string
	// Workspace is the workspace of the caller, empty if the route needs no key. Its header is among Headers.
	Workspace string
	// Priority is that of the workspace or, without one, of the route; 0 is the highest.
	Priority int
	// KeyHash is the hash of the caller's key, for a VM that takes the request over. It is nil without a Workspace.
	KeyHash []byte
	// Authorize, if not nil, is asked before each attempt. If it returns an error, no attempt is started.
	Authorize func() error
	// ConfigurationVersion is the version of the configuration that determined the route, for the log.
	ConfigurationVersion uint64
}

// Response is the complete response of a backend server.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Signature is the server's signature of the response. It is empty if the response has none, or does not repeat the
	// ID of the request, so that it may belong to another one.
	Signature string
	// Limit is what the server stated about the rate of requests that it accepts.
	Limit ratelimit.Statement
	// EarlierFailures is the number of other servers that ran the request and answered with a signed status 500.
	EarlierFailures int
	// Ran are the servers that may have run the request.
	Ran []string
	// SinceFirstEvent is the time from the first event of a stream to the end of the response; 0 if it is unknown.
	SinceFirstEvent time.Duration
}

// failed reports whether the server ran the request and states that it failed.
func (r *Response) failed() bool {
	return r.Signature != "" && !r.NotRun && r.Status == http.StatusInternalServerError
}

// Exchanger sends requests to backend servers.
type Exchanger interface {
	// Exchange sends a request to a server and returns the response. notSent is true if no byte of the request was
	// written.
	Exchange(ctx context.Context, server fleet.Server, r *Request, a Attempt) (response *Response, notSent bool, err error)
}

// Attempt holds what distinguishes the attempts of a request.
type Attempt struct {
	// TimeLeft is the time until the deadline, which the server is told.
	TimeLeft time.Duration
	// Permitted, if not nil, must be asked immediately before the request is written. If it returns false, the request
	// must not be sent.
	Permitted func() bool
	// FirstEvent, if not nil, must be called when the first event of a stream arrives. The response then states how long
	// ago that was.
	FirstEvent func()
}

// Options configures a Forwarder.
type Options struct {
	FailureDomain string // of this VM
	Registry      *fleet.Registry
	Exchanger     Exchanger
	Events        *events.Recorder
	// Clock is the clock of Registry; boottime.Now if it is nil.
	Clock func() time.Duration
	// Limiter keeps the requests within the limits of the servers. If it is nil, limits are ignored.
	Limiter Limiter
	// Streams records the begins of resumable streams. If it is nil, no stream can be taken up.
	Streams StreamRecords
	// Balancer chooses servers by what is known of their load, while it is enabled. If it is nil, the mean latencies decide.
	Balancer *balance.Tracker
	// Suspects keeps requests that crash servers from further servers. If it is nil, no request is suspected.
	Suspects *Suspects
	// Detour sends requests through other VMs while this one reaches no server. If it is nil, requests go directly only.
	Detour *Detour
	// Usage counts the requests of workspaces. If it is nil, none are counted.
	Usage Usage
}

// Forwarder forwards requests and remembers how each server answered. It is safe for concurrent use.
type Forwarder struct {
	opts   Options
	health *healthTracker
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	if o.Limiter == nil {
		o.Limiter = noLimits{}
	}
	if o.Streams == nil {
		o.Streams = noStreamRecords{}
	}
	f := &Forwarder{opts: o, health: newHealthTracker()}
	f.health.limit, f.health.balancer = o.Limiter.Limit, o.Balancer
	return f
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
	// collectTimeout is the part of responseMargin in which cancelled attempts tell whether they wrote anything.
	collectTimeout = 3 * time.Millisecond
)

// minServerErrorStatus is the lowest HTTP status that reports a failure of the server.
const minServerErrorStatus = 500

// attemptResult is the result of sending a request to one server.
type attemptResult struct {
	response *Response
	notSent  bool
	err      error
	server   fleet.Server
	ran      []string // servers that may have run it, if it went through another VM
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
	return r.err == nil && !r.response.NotRun && r.response.Signature != "" && r.response.Status < minServerErrorStatus
}

// Forward sends a request to servers of its route's service until one of them responds. The kind of the error tells
// whether the request may have run: errs.Unavailable means that it did not; errs.DeadlineExceeded and
// errs.BackendFailed mean that it may have.
func (f *Forwarder) Forward(ctx context.Context, r *Request, route *routes.Route) (*Response, error) {
	start := time.Now()
	deadline := r.Deadline
	if route.Timeout > 0 && start.Add(route.Timeout).Before(deadline) {
		deadline = start.Add(route.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	state := &forwardState{
		digest:    suspects.Digest(r.Body, r.Host, r.Method, r.URI),
		forwarder: f, request: r, route: route, service: route.PickService(rand.Float64()), startedAt: start, deadline: deadline,
		results: make(chan attemptResult, maxRefusals+defaultMaxAttempts),
	}
	state.beginUsage()
	response, err := state.run(ctx)
	state.endUsage()
	ran := state.ranOn()
	if response != nil {
		response.Ran = ran
	} else if len(ran) > 0 {
		err = &ranError{error: err, servers: ran}
	}
	state.releaseSuspect()
	state.record(start, response, err)
	if state.retryAfter > 0 && errs.Is(err, errs.Unavailable) {
		err = NewRefusedError(err, state.retryAfter)
	}
	return response, err
}

// ranError is the error of a request that may have run.
type ranError struct {
	error
	servers []string
}

// Unwrap returns the cause, which tells the kind of the error.
func (e *ranError) Unwrap() error { return e.error }

// RanOn returns the servers that may have run a request for which Forward returned err.
func RanOn(err error) []string {
	var r *ranError
	if errors.As(err, &r) {
		return r.servers
	}
	return nil
}

// forwardState is the state of one request while it is forwarded.
type forwardState struct {
	forwarder *Forwarder
	request   *Request
	route     *routes.Route
	service   string
	begin     StreamBegin // of the stream that the request continues, if any
	// beginFoundAt is the boot time at which the leader was asked for begin, 0 if it was not.
	beginFoundAt time.Duration
	beginUnknown error // why begin is not known
	startedAt    time.Time
	deadline     time.Time
	results      chan attemptResult
	mayHaveRun   []string // servers that may have run the request
	refused      []string // servers that did not run it
	pending      int
	failures     int // responses with a signed status 500
	lastFailure  attemptResult
	retryAfter   time.Duration // until a limited server has a permission, if none had one, or until a suspect may run again
	digest       uint64        // of the request's content
	basis        string        // what the last choice of a server was based on, for the log; empty without a balancer
	detoured     bool          // an attempt went through another VM
	// directRefusals is the number of refusals before the first attempt through another VM.
	directRefusals int
	alone          bool  // the request is a suspect that runs alone
	suspicion      error // why the request may not run, if it is a suspect
	unauthorized   error // why the caller may not send the request any more
	usage          UsageCount
	attempts       int    // that usage was told of
	usageDetail    string // for the log
}

// ranOn returns the servers that may have run the request.
func (f *forwardState) ranOn() []string { return slices.Clone(f.mayHaveRun) }

func (f *forwardState) maxAttempts() int {
	if !f.route.Repeatable() && !f.request.Repeatable {
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
		if f.unauthorized != nil {
			return nil, f.unauthorized
		}
		if f.suspicion != nil {
			return nil, f.suspicion
		}
		if f.beginUnknown != nil {
			return nil, f.beginUnknown
		}
		if f.begin.Software != "" {
			return nil, errs.New(errs.Unavailable, "begin the stream again", "service %s has no server of software %q, which began stream %q", f.service, f.begin.Software, f.request.TakeUp.Attempt)
		}
		if f.retryAfter > 0 {
			return nil, errs.New(errs.Unavailable, "call again later", "all servers of service %s have reached their limits", f.service)
		}
		return nil, errs.New(errs.Unavailable, "call again shortly", "service %s has no server", f.service)
	}
	for {
		select {
		case result := <-f.results:
			f.pending--
			if result.acceptable() {
				result.response.EarlierFailures = f.failures
				f.recordStream(ctx, result.server)
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
			f.forwarder.health.markOverdue(f.mayHaveRun, f.forwarder.opts.Clock())
			if d := f.forwarder.opts.Detour; d != nil && !f.detoured {
				d.Suspect()
			}
			if f.pending == 1 && f.canStartAttempt() {
				f.startAttempt(ctx)
			}
		case <-ctx.Done():
			if response := f.collectPending(); response != nil {
				return response, nil
			}
			return f.failureResponse(ctx)
		}
	}
}

// collectPending waits briefly for the attempts that the end of the request has cancelled: those of which nothing was
// written did not run. It returns a response that arrived meanwhile, or nil.
func (f *forwardState) collectPending() *Response {
	timeout := time.NewTimer(collectTimeout)
	defer timeout.Stop()
	for f.pending > 0 {
		select {
		case result := <-f.results:
			f.pending--
			if result.acceptable() {
				result.response.EarlierFailures = f.failures
				return result.response
			}
			f.recordFailure(result)
		case <-timeout.C:
			return nil
		}
	}
	return nil
}

// recordFailure records a failed attempt. A server that did not run the request moves from mayHaveRun to refused.
func (f *forwardState) recordFailure(result attemptResult) {
	f.lastFailure = result
	if len(result.ran) > 0 {
		f.mayHaveRun = append(slices.DeleteFunc(f.mayHaveRun, func(id string) bool { return id == result.server.ID }), result.ran...)
	}
	if result.mayHaveRun() {
		if result.err == nil && result.response.failed() {
			f.failures++
		}
		return
	}
	f.refused = append(f.refused, result.server.ID)
	for i, id := range f.mayHaveRun {
		if id == result.server.ID {
			f.mayHaveRun = append(f.mayHaveRun[:i], f.mayHaveRun[i+1:]...)
			break
		}
	}
}

// canStartAttempt reports whether the limits on attempts and refusals admit one more attempt.
func (f *forwardState) canStartAttempt() bool {
	return len(f.mayHaveRun) < f.maxAttempts() && len(f.refused)-f.directRefusals+f.pending < maxRefusals
}

// retry starts the next attempt after all earlier ones failed, and reports whether it did.
func (f *forwardState) retry(ctx context.Context) bool {
	if !f.canStartAttempt() || ctx.Err() != nil {
		return false
	}
	if len(f.refused) > 1 && len(f.mayHaveRun) == 0 {
		SleepWithJitter(ctx, refusalRetryDelay)
	}
	return f.startAttempt(ctx)
}

// refusalsOf returns how often a server has refused the request, or -1 if it may be running the request.
func (f *forwardState) refusalsOf(id string) int {
	if slices.Contains(f.mayHaveRun, id) || slices.Contains(f.request.Excluded, id) {
		return -1
	}
	refusals := 0
	for _, refused := range f.refused {
		if refused == id {
			refusals++
		}
	}
	return refusals
}

// startAttempt sends the request to the server with the lowest expected latency among those that cannot have run it and
// whose limits admit it. Each refusal makes a server less preferred. It returns false if there is no such server.
func (f *forwardState) startAttempt(ctx context.Context) bool {
	if !f.authorized() || !f.checkSuspect() {
		return false
	}
	if f.usesPeers() {
		return f.startThroughPeer(ctx)
	}
	if f.beginUnknown = f.findBegin(ctx); f.beginUnknown != nil {
		return false
	}
	server, permittedUntil := f.chooseServer(ctx)
	if server == nil || ctx.Err() != nil || !f.authorized() { // the choice may have waited for a permission
		return false
	}
	if until := f.takeUpPermittedUntil(); until > 0 && (permittedUntil == 0 || until < permittedUntil) {
		permittedUntil = until
	}
	f.mayHaveRun = append(f.mayHaveRun, server.ID)
	f.pending++
	f.forwarder.opts.Events.Record(events.Event{
		Name: events.RequestDispatched, Request: f.request.ID, Server: api.ServerID(server.ID),
		Detail: fmt.Sprintf("attempt %d, %s left, content %016x", len(f.mayHaveRun)+len(f.refused), time.Until(f.deadline).Round(time.Millisecond), f.digest) + f.basis,
	})
	attempt := Attempt{Permitted: f.permission(permittedUntil)}
	count := f.countAttempt(&attempt)
	go f.exchange(ctx, *server, attempt, count)
	return true
}

// authorized reports whether the caller may still send the request. It keeps the refusal in unauthorized.
func (f *forwardState) authorized() bool {
	if f.request.Authorize != nil {
		f.unauthorized = f.request.Authorize()
	}
	return f.unauthorized == nil
}

// permission returns what must be asked immediately before an attempt is written: whether the boot time permittedUntil has
// passed, if it is not 0, and whether the key of the caller is still valid, since a connection may take a while.
func (f *forwardState) permission(permittedUntil time.Duration) func() bool {
	clock := f.forwarder.opts.Clock
	inTime := func() bool { return permittedUntil == 0 || clock() <= permittedUntil }
	switch authorize := f.request.Authorize; {
	case authorize != nil && f.request.Workspace != "":
		return func() bool { return inTime() && authorize() == nil }
	case permittedUntil > 0:
		return inTime
	}
	return nil
}

// exchange sends the request to one server. It is canceled when Forward returns, for example because another server
// responded first. count is told the result.
func (f *forwardState) exchange(ctx context.Context, server fleet.Server, attempt Attempt, count func(attemptResult)) {
	health, clock := f.forwarder.health, f.forwarder.opts.Clock
	health.recordStart(server.ID)
	start := clock()
	attempt.TimeLeft = time.Until(f.deadline)
	response, notSent, err := f.forwarder.opts.Exchanger.Exchange(ctx, server, f.request, attempt)
	result := attemptResult{response: response, notSent: notSent, err: err, server: server}
	if response != nil {
		f.forwarder.ObserveLimit(server.ID, f.request.ID, response.Limit, start)
	}
	now := clock()
	health.recordEnd(server.ID, now, now-start, result, ctx.Err() != nil)
	f.recordSuspect(result, ctx.Err() != nil)
	f.noteReachability(result, ctx.Err() != nil)
	count(result)
	f.results <- result
}

// failureResponse returns the response or the error for a request that no server completed successfully.
func (f *forwardState) failureResponse(ctx context.Context) (*Response, error) {
	mayHaveRun := f.pending > 0 || len(f.mayHaveRun) > 0
	switch {
	case !mayHaveRun && f.unauthorized != nil:
		return nil, f.unauthorized
	case !mayHaveRun:
		return nil, errs.New(errs.Unavailable, "call again shortly", "no server of %s accepted the request", f.service)
	case ctx.Err() != nil:
		return nil, errs.New(errs.DeadlineExceeded, "allow a longer deadline", "no server of %s answered in time", f.service)
	case f.lastFailure.err == nil && f.lastFailure.response.Signature != "" && !f.lastFailure.response.NotRun && f.lastFailure.response.Status >= minServerErrorStatus:
		if f.lastFailure.response.EarlierFailures = f.failures; f.lastFailure.response.failed() {
			f.lastFailure.response.EarlierFailures--
		}
		return f.lastFailure.response, nil // a signed failure of the server itself is passed on
	case f.lastFailure.err != nil:
		return nil, errs.Wrap(f.lastFailure.err, errs.BackendFailed, "call again if the call may be repeated", "server %s failed", f.lastFailure.server.ID)
	default:
		return nil, errs.New(errs.BackendFailed, "call again if the call may be repeated", "server %s answered with status %d but without its signature", f.lastFailure.server.ID, f.lastFailure.response.Status)
	}
}

// record logs the outcome of the request.
func (f *forwardState) record(start time.Time, response *Response, err error) {
	event := events.Event{Name: events.RequestFinished, Request: f.request.ID, Took: time.Since(start)}
	from := ""
	if f.request.From != "" {
		from = "handed over by " + f.request.From + ", "
	}
	detail := from + f.usageDetail + fmt.Sprintf("route %s, configuration %d, tried %v, refused %v, %s", f.route.Name, f.request.ConfigurationVersion, f.mayHaveRun, f.refused, time.Since(start).Round(time.Millisecond))
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
	f.forwarder.opts.Events.Record(event)
}

// SleepWithJitter sleeps for a random time between d/2 and d, or until ctx ends. Without jitter, all VMs would call
// again at the same moment after a common failure.
func SleepWithJitter(ctx context.Context, d time.Duration) {
	jitter := time.Duration(rand.Int64N(int64(d)/2 + 1))
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + jitter):
	}
}
