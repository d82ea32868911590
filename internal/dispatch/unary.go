package dispatch

import (
	"context"
	"net/http"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/policy"
)

// hedgeQuantile of the row's run times is when a second attempt starts.
const hedgeQuantile = 0.95

// DoUnary runs customer work and returns the whole answer. Its errors are *Error.
func (d *Dispatcher) DoUnary(ctx context.Context, w Work) (Answer, error) {
	r := d.newRun(&w, policy.Customer)
	body, err := r.prepare(prepared{})
	if err != nil {
		return Answer{}, r.fail(err)
	}
	for {
		l, err := r.acquire(ctx)
		if err != nil {
			return Answer{}, r.fail(err)
		}
		res := r.attemptUnary(ctx, l, body)
		if res.err == nil {
			return r.answer(res), nil
		}
		if !res.retry {
			return Answer{}, r.fail(res.err)
		}
	}
}

// unaryResult is the end of one or two concurrent attempts.
type unaryResult struct {
	lease  *lease
	answer backend.Answer
	took   time.Duration
	err    error
	retry  bool
}

// attemptUnary runs an attempt, with a hedge if the work is short and late.
func (r *run) attemptUnary(ctx context.Context, l *lease, body []byte) unaryResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan unaryResult, 2)
	go func() { results <- r.exchange(ctx, l, body) }()
	running := 1
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if second := r.second(l).tryPlace(); second != nil {
				running++
				go func() { results <- r.exchange(ctx, second, body) }()
			}
		case res := <-results:
			running--
			if r.settle(ctx, &res) || running == 0 {
				return r.finish(res, running, cancel, results)
			}
		}
	}
}

// settle notes the end of an attempt and reports whether it succeeded.
func (r *run) settle(ctx context.Context, res *unaryResult) bool {
	if res.err != nil {
		res.retry = r.failed(ctx, res.lease, res.err)
	} else {
		r.succeeded(res.lease, r.measurement(res))
	}
	res.lease.release()
	return res.err == nil
}

// measurement of a plain service is the time to its answer. An engine's whole answer shows no first token.
func (r *run) measurement(res *unaryResult) policy.Measurement {
	if !r.engine() {
		return policy.Measurement{FirstToken: res.took}
	}
	tokens := 0
	for _, l := range backend.LabelsOf(res.answer.Body) {
		tokens += l.Tokens
	}
	return policy.Measurement{WholeSpeed: speed(tokens, res.took)}
}

// finish cancels the attempt that lost against res. The time that it took so far counts for its server.
func (r *run) finish(res unaryResult, running int, cancel func(), results chan unaryResult) unaryResult {
	cancel()
	for range running {
		lost := <-results
		if !r.engine() && res.err == nil {
			lost.lease.measured(policy.Measurement{FirstToken: lost.took})
		}
		lost.lease.release()
	}
	return res
}

// hedgeTimer fires when a second attempt may start; never for work that is not short or not idempotent.
func (r *run) hedgeTimer() *time.Timer {
	const never = time.Duration(1<<63 - 1)
	if r.work.NonIdempotent || r.isolated || !r.d.known(r.work.Row.Name) || !r.short() {
		return time.NewTimer(never)
	}
	return time.NewTimer(r.d.predict(r.work.Row.Name, len(r.work.Body), hedgeQuantile))
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
	return p.place(r, &job, now)
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
	if err == nil && r.engine() && answer.Status == http.StatusOK {
		err = r.checkVersions(backend.LabelsOf(answer.Body))
	}
	return unaryResult{lease: l, answer: answer, took: time.Since(start), err: err}
}

// panicError keeps a fault in the handling of one request from ending the process.
func panicError(p any) error {
	return &backend.Failure{Err: errs.New(errs.Internal, "report this error", "panic while a request ran: %v", p)}
}

// checkStatus turns an engine's transient refusals into failures. Answers of plain services, and refusals of
// the request itself, are passed on.
func (r *run) checkStatus(a backend.Answer) error {
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
		if !r.work.Row.Weights.Allows(l.Version) {
			return &backend.Failure{
				Status: statusConflict,
				Err:    errs.New(errs.BackendFailed, "resend the request", "engine used weight version %d, which the row does not allow", l.Version),
			}
		}
	}
	return nil
}

func (r *run) answer(res unaryResult) Answer {
	a := Answer{
		Status: res.answer.Status, ContentType: res.answer.ContentType, Header: res.answer.Header, Body: res.answer.Body,
		Server: res.lease.server.ID(), Attempts: r.attempts, QueuedFor: r.queued, RanFor: r.ranFor(),
	}
	if r.engine() {
		a.Labels = backend.LabelsOf(a.Body)
	}
	return a
}
