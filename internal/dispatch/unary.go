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

// hedgeQuantile of the row's run times is when a second attempt starts.
const hedgeQuantile = 0.95

// DoUnary runs customer work and returns the whole answer. Its errors are *Error.
func (d *Dispatcher) DoUnary(ctx context.Context, w Request) (Response, error) {
	r := d.newRun(&w, policy.Customer)
	body, err := r.prepare(prepared{})
	if err != nil {
		return Response{}, r.fail(err)
	}
	for {
		l, err := r.acquire(ctx)
		if err != nil {
			return Response{}, r.fail(err)
		}
		res := r.attemptUnary(ctx, l, body)
		if res.err == nil {
			return r.answer(res), nil
		}
		if !res.retry {
			return Response{}, r.fail(res.err)
		}
	}
}

// unaryResult is the end of an attempt.
type unaryResult struct {
	lease  *lease
	answer backend.Response
	labels []api.PieceLabel
	took   time.Duration
	err    error
	retry  bool
}

// attemptUnary runs an attempt, with a hedge if the work is short and late. The first answer counts.
func (r *run) attemptUnary(ctx context.Context, l *lease, body []byte) unaryResult {
	after, ok := r.hedgeAfter()
	if !ok {
		res := r.exchange(ctx, l, body)
		r.settle(ctx, &res)
		return res
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{run: r.second(l), ctx: ctx, cancel: cancel, body: body}
	timer := time.AfterFunc(after, h.start)
	res := r.exchange(ctx, l, body)
	timer.Stop()
	return r.merge(ctx, res, h.end(res.err == nil))
}

// merge settles the first attempt and its hedge, if there was one.
func (r *run) merge(ctx context.Context, first unaryResult, second *unaryResult) unaryResult {
	if second == nil {
		r.settle(ctx, &first)
		return first
	}
	won, lost := first, *second
	if first.err != nil && second.err == nil {
		won, lost = *second, first
	}
	if won.err == nil {
		// The time that the other took so far counts for its server.
		if !r.engine() {
			lost.lease.measured(policy.Measurement{TimeToFirstToken: lost.took})
		}
		lost.lease.release()
	} else {
		r.settle(ctx, &lost)
	}
	r.settle(ctx, &won)
	return won
}

// settle notes the end of an attempt.
func (r *run) settle(ctx context.Context, res *unaryResult) {
	switch {
	case res.err != nil:
		res.retry = r.failed(ctx, res.lease, res.err)
	case r.engine() && res.answer.Status != http.StatusOK:
		r.answered()
	default:
		r.succeeded(res.lease, r.measurement(res))
	}
	res.lease.release()
}

// measurement of a plain service is the time to its answer. An engine's whole answer shows no first token.
func (r *run) measurement(res *unaryResult) policy.Measurement {
	if !r.engine() {
		return policy.Measurement{TimeToFirstToken: res.took}
	}
	tokens := 0
	for _, l := range res.labels {
		tokens += l.Tokens
	}
	return policy.Measurement{OverallSpeed: speed(tokens, res.took)}
}

// hedge is a second attempt that starts while the first still runs.
type hedge struct {
	run    *run
	ctx    context.Context
	cancel func() // ends both attempts
	body   []byte

	mu     sync.Mutex
	ended  bool
	result chan unaryResult
}

// start runs the second attempt if a server is free. Its answer ends the first attempt.
func (h *hedge) start() {
	h.mu.Lock()
	if h.ended {
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
	res := h.run.exchange(h.ctx, l, h.body)
	if res.err == nil {
		h.cancel()
	}
	h.result <- res
}

// end returns the second attempt's result, if it started. It is cancelled if the first attempt succeeded.
func (h *hedge) end(succeeded bool) *unaryResult {
	h.mu.Lock()
	h.ended = true
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

// hedgeAfter returns when a second attempt may start: past the 95th percentile of the row's run times. Work
// that is not short or not idempotent has none.
func (r *run) hedgeAfter() (time.Duration, bool) {
	if r.work.NonIdempotent || r.isolated || !r.d.known(r.work.Row.Name) || !r.short() {
		return 0, false
	}
	return r.d.predict(r.work.Row.Name, len(r.work.Body), hedgeQuantile), true
}

// short reports whether the run is not longer than the pool's mean.
func (r *run) short() bool {
	p := r.d.pool(r.work.Row.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.predicted.Seconds() <= p.meanRun*1.01
}

// second returns a copy of the run for one more attempt while the one on l still runs. The copy is placed on its
// own, so that it may be used from another goroutine.
func (r *run) second(l *lease) *run {
	c := *r
	c.attempts++ // counts against the retry budget of the server
	c.never = append(r.never[:len(r.never):len(r.never)], l.server.ID())
	return &c
}

// tryPlace takes a slot on a server if one is free now.
func (r *run) tryPlace() *lease {
	if r.attempts+1 > policy.MaxAttempts {
		return nil
	}
	p := r.d.pool(r.work.Row.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := r.d.now()
	job := p.jobOf(r, now)
	l, _ := p.place(r, &job, now)
	return l
}

// exchange runs one attempt and checks its status.
func (r *run) exchange(ctx context.Context, l *lease, body []byte) (res unaryResult) {
	start := time.Now()
	defer func() {
		if p := recover(); p != nil {
			res = unaryResult{lease: l, err: panicError(p)}
		}
	}()
	answer, err := r.d.opts.Backend.Do(ctx, r.request(l, r.attemptID(), body))
	if err == nil {
		err = r.checkStatus(answer)
	}
	res = unaryResult{lease: l, answer: answer, took: time.Since(start), err: err}
	if err == nil && r.engine() && answer.Status == http.StatusOK {
		res.labels = backend.LabelsOf(answer.Body)
		res.err = r.checkVersions(res.labels)
	}
	return res
}

// panicError keeps a fault in the handling of one request from ending the process.
func panicError(p any) error {
	return &backend.Failure{Err: errs.New(errs.Internal, "report this error", "panic while a request ran: %v", p)}
}

// checkStatus turns an engine's transient refusals into failures. Answers of plain services, and refusals of
// the request itself, are passed on.
func (r *run) checkStatus(a backend.Response) error {
	if !r.engine() || !transient(a.Status) || r.work.NonIdempotent {
		return nil
	}
	return &backend.Failure{Status: a.Status, Body: a.Body, Err: statusError(a.Status)}
}

func statusError(status int) error {
	return errs.New(errs.BackendFailed, "resend the request", "engine answered with status %d", status)
}

func transient(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == statusConflict
}

// checkVersions refuses an answer from weights that the row may not use: the engine may have switched after
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

func (r *run) answer(res unaryResult) Response {
	return Response{
		Status: res.answer.Status, ContentType: res.answer.ContentType, Header: res.answer.Header, Body: res.answer.Body,
		Server: res.lease.server.ID(), Labels: res.labels, Attempts: r.attempts, QueuedFor: r.queued, RanFor: r.ranFor(),
	}
}
