package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/policy"
)

// hedgeQuantile is the quantile of the row's run times after which a second, hedged attempt starts.
const hedgeQuantile = 0.95

// shortRunTolerance is the highest ratio of a short run's predicted run time to the pool's mean.
const shortRunTolerance = 1.01

// DoUnary runs a customer's request and returns the complete response. Errors are of type *Error.
func (d *Dispatcher) DoUnary(ctx context.Context, request Request) (Response, error) {
	r := d.newRun(&request, policy.Customer)
	body, err := r.attemptBody(attemptOptions{})
	if err != nil {
		return Response{}, r.withOutcome(err)
	}
	for {
		l, err := r.acquire(ctx)
		if err != nil {
			return Response{}, r.withOutcome(err)
		}
		res := r.runUnaryAttempt(ctx, l, body)
		if res.err == nil {
			return r.newResponse(res), nil
		}
		if !res.retry {
			return Response{}, r.withOutcome(res.err)
		}
	}
}

// unaryResult is the result of one attempt.
type unaryResult struct {
	lease    *lease
	response backend.Response
	labels   []api.PieceLabel
	took     time.Duration
	err      error
	retry    bool
}

// runUnaryAttempt runs an attempt and starts a hedged attempt if a short request takes too long. The first response is
// used.
func (r *run) runUnaryAttempt(ctx context.Context, l *lease, body []byte) unaryResult {
	delay, ok := r.hedgeDelay()
	if !ok {
		res := r.sendUnary(ctx, l, body)
		r.recordResult(ctx, &res)
		return res
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedgedAttempt{run: r.concurrentRun(l), ctx: ctx, cancel: cancel, body: body}
	timer := time.AfterFunc(delay, h.start)
	res := r.sendUnary(ctx, l, body)
	timer.Stop()
	return r.mergeHedge(ctx, res, h.finish(res.err == nil))
}

// mergeHedge records the results of the first attempt and of its hedge, if there was one, and returns the one to use.
func (r *run) mergeHedge(ctx context.Context, first unaryResult, second *unaryResult) unaryResult {
	if second == nil {
		r.recordResult(ctx, &first)
		return first
	}
	winner, loser := first, *second
	if first.err != nil && second.err == nil {
		winner, loser = *second, first
	}
	if winner.err == nil {
		// The time that the other attempt took so far counts as its server's response time.
		if !r.usesEngine() {
			loser.lease.addMeasurement(policy.Measurement{TimeToFirstToken: loser.took})
		}
		loser.lease.release()
	} else {
		r.recordResult(ctx, &loser)
	}
	r.recordResult(ctx, &winner)
	return winner
}

// recordResult records the result of an attempt and frees its slot.
func (r *run) recordResult(ctx context.Context, res *unaryResult) {
	switch {
	case res.err != nil:
		res.retry = r.recordFailure(ctx, res.lease, res.err)
	case r.usesEngine() && res.response.Status != http.StatusOK:
		r.recordAnswer()
	default:
		r.recordSuccess(res.lease, r.measurement(res))
	}
	res.lease.release()
}

// measurement returns what an attempt shows of its server: for a service without a model, the time to the response as
// the time to first token. An engine's complete response does not show that time, so only the overall speed is
// measured.
func (r *run) measurement(res *unaryResult) policy.Measurement {
	if !r.usesEngine() {
		return policy.Measurement{TimeToFirstToken: res.took}
	}
	tokens := 0
	for _, l := range res.labels {
		tokens += l.Tokens
	}
	return policy.Measurement{OverallSpeed: tokensPerSecond(tokens, res.took)}
}

// hedgedAttempt is a second attempt that starts while the first one is still running.
type hedgedAttempt struct {
	run    *run
	ctx    context.Context
	cancel func() // ends both attempts
	body   []byte

	mu         sync.Mutex
	firstEnded bool
	result     chan unaryResult
}

// start runs the second attempt if a slot is free. If it succeeds, it cancels the first attempt.
func (h *hedgedAttempt) start() {
	h.mu.Lock()
	if h.firstEnded {
		h.mu.Unlock()
		return
	}
	l := h.run.tryPlace()
	if l == nil {
		h.mu.Unlock()
		return
	}
	h.result = make(chan unaryResult, 1)
	h.mu.Unlock()
	res := h.run.sendUnary(h.ctx, l, h.body)
	if res.err == nil {
		h.cancel()
	}
	h.result <- res
}

// finish returns the result of the second attempt, or nil if it did not start. If the first attempt succeeded, finish
// cancels the second one.
func (h *hedgedAttempt) finish(succeeded bool) *unaryResult {
	h.mu.Lock()
	h.firstEnded = true
	result := h.result
	h.mu.Unlock()
	if result == nil {
		return nil
	}
	if succeeded {
		h.cancel()
	}
	res := <-result
	return &res
}

// hedgeDelay returns the delay after which a second attempt may start, which is the hedgeQuantile of the row's run
// times. It returns false if the request is not short, is not idempotent or is suspected of crashing servers, or if the
// row has not enough history.
func (r *run) hedgeDelay() (time.Duration, bool) {
	if r.request.NonIdempotent || r.isolated || !r.d.hasEnoughHistory(r.request.Row.Name) || !r.isShort() {
		return 0, false
	}
	return r.d.predictRunTime(r.request.Row.Name, len(r.request.Body), hedgeQuantile), true
}

// isShort reports whether the predicted run time is at most shortRunTolerance times the pool's mean.
func (r *run) isShort() bool {
	p := r.d.pool(r.request.Row.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.predictedRunTime.Seconds() <= p.meanRunTime*shortRunTolerance
}

// concurrentRun returns a copy of the run for a second attempt while the one on l is still running. As it is a copy,
// another goroutine may place it.
func (r *run) concurrentRun(l *lease) *run {
	c := *r
	c.attempts++ // makes the attempt count against the server's retry budget
	c.excludedServers = append(r.excludedServers[:len(r.excludedServers):len(r.excludedServers)], l.server.ID())
	return &c
}

// tryPlace takes a slot on a server if one is free now, otherwise it returns nil.
func (r *run) tryPlace() *lease {
	if r.attempts+1 > policy.MaxAttempts {
		return nil
	}
	p := r.d.pool(r.request.Row.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := r.d.now()
	job := p.newJob(r, now)
	l, _ := p.place(r, &job, now)
	return l
}

// sendUnary sends the request to the server of l and checks the response.
func (r *run) sendUnary(ctx context.Context, l *lease, body []byte) (res unaryResult) {
	start := time.Now()
	defer func() {
		if p := recover(); p != nil {
			res = unaryResult{lease: l, err: panicError(p)}
		}
	}()
	answer, err := r.d.opts.Backend.Do(ctx, r.backendRequest(l, r.attemptID(), body))
	if err == nil {
		err = r.checkStatus(answer)
	}
	res = unaryResult{lease: l, response: answer, took: time.Since(start), err: err}
	if err == nil && r.usesEngine() && answer.Status == http.StatusOK {
		res.labels = backend.LabelsOf(answer.Body)
		res.err = r.checkVersions(res.labels)
	}
	return res
}

// panicError turns a recovered panic into an error, so that a bug in the handling of one request does not end the
// process.
func panicError(p any) error {
	return &backend.Failure{Err: errs.New(errs.Internal, "report this error", "panic while a request ran: %v", p)}
}

// checkStatus turns an engine's transient error statuses into failures, which are retried. Responses of services
// without a model, responses to requests that are not idempotent and refusals of the request itself are passed on.
func (r *run) checkStatus(a backend.Response) error {
	if !r.usesEngine() || !isTransient(a.Status) || r.request.NonIdempotent {
		return nil
	}
	return &backend.Failure{Status: a.Status, Body: a.Body, Err: statusError(a.Status)}
}

func statusError(status int) error {
	return errs.New(errs.BackendFailed, "resend the request", "engine answered with status %d", status)
}

func isTransient(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == statusConflict
}

// checkVersions rejects a response from weights that the row does not allow: the engine may have switched weights after
// its last announcement.
func (r *run) checkVersions(labels []api.PieceLabel) error {
	for _, l := range labels {
		if !r.row.Weights.Allows(l.Version) {
			return &backend.Failure{
				Status: statusConflict,
				Err:    errs.New(errs.BackendFailed, "resend the request", "engine used weight version %d, which the row does not allow", l.Version),
			}
		}
	}
	return nil
}

func (r *run) newResponse(res unaryResult) Response {
	return Response{
		Status: res.response.Status, ContentType: res.response.ContentType, Header: res.response.Header, Body: res.response.Body,
		Server: res.lease.server.ID(), Labels: res.labels, Attempts: r.attempts, QueuedFor: r.queueTime, RanFor: r.runTime(),
	}
}
