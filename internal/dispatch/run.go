package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/policy"
	"filbertledge/internal/table"
)

// Request is one customer request. Its context carries the deadline; cancelling it cancels the work.
type Request struct {
	Row            table.Row
	RequestID      string
	Method         string
	Path           string // with the query; of the engine's or the service's HTTP API
	ContentType    string
	Header         []backend.Header
	Body           []byte
	IdempotencyKey string
	// NonIdempotent work is sent at most once: after the first written byte nothing is tried again.
	NonIdempotent bool
	// AttemptID is the attempt id that was granted to non-idempotent work; others get their own.
	AttemptID uuid.UUID
}

// Response is the whole answer to customer work, or what is known after a stream.
type Response struct {
	Status      int
	ContentType string
	Header      []backend.Header
	Body        []byte // of unary work
	Server      api.ServerID
	Labels      []api.PieceLabel
	Text        string // of streams
	Tokens      int
	Attempts    int
	QueuedFor   time.Duration
	RanFor      time.Duration // from the first dispatch
}

// Error is the error of work. Outcome tells whether any attempt may have run.
type Error struct {
	Outcome  api.Outcome
	Attempts int
	Err      error
}

// Error returns the cause's message.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome in err's chain. An error without one leaves the outcome unknown.
func OutcomeOf(err error) api.Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return api.OutcomeUnknown
}

const (
	// maxTries bounds the servers tried for one request, with those that certainly did not run it.
	maxTries = 8
	// maxCrashes is the number of lost servers after which a request is refused.
	maxCrashes = 2
	// prefixBytes of a request's content select its prefix affinity.
	prefixBytes = 512
)

// run is the state of one request over its attempts. Only one goroutine changes it.
type run struct {
	d          *Dispatcher
	work       *Request
	row        table.Row // newest known; edits apply to work that waits
	class      policy.Class
	minVersion api.WeightVersion
	seed       *uint64
	digest     uint64
	prefix     uint64
	predicted  time.Duration
	exclude    []api.ServerID // failed this run; tried again only if no other server is left
	never      []api.ServerID
	again      bool // no server outside exclude is left
	isolated   bool
	attempts   int // attempts of which bytes may have been written
	tries      int
	sent       bool
	queued     time.Duration
	first      time.Time // first dispatch
}

func (d *Dispatcher) newRun(w *Request, class policy.Class) *run {
	r := &run{d: d, work: w, row: w.Row, class: class, digest: contentDigest(w)}
	r.predicted = d.predict(w.Row.Name, len(w.Body), 0.5)
	if class == policy.Trainer {
		r.predicted = d.predict(w.Row.Name, len(w.Body), 0.75)
	}
	r.minVersion = w.Row.Weights.Min
	if w.Row.Kind != table.KindService && len(w.Body) > 0 {
		r.prefix = xxhash.Sum64(w.Body[:min(len(w.Body), prefixBytes)])
	}
	return r
}

// contentDigest names a request by its content, so that a resend is recognized.
func contentDigest(w *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(w.Row.Name), w.Method, w.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(w.Body)
	return h.Sum64()
}

// engine reports whether the work goes to a model engine.
func (r *run) engine() bool { return r.work.Row.Kind != table.KindService }

// admits reports whether the row may run on a server with this announcement.
func (r *run) admits(a *api.Announcement) bool {
	row := &r.row
	if a.Engine != r.engine() {
		return false
	}
	if !r.engine() {
		return true
	}
	if row.Model != "" && a.Model != row.Model {
		return false
	}
	return a.Current >= r.minVersion && row.Weights.Allows(a.Current)
}

func (r *run) excludes(id api.ServerID) bool {
	return slices.Contains(r.never, id) || (!r.again && slices.Contains(r.exclude, id))
}

// refresh takes the newest row before a dispatch, so that an edit is in force for work that already waits. The
// error says why the work may no longer run.
func (r *run) refresh() error {
	snapshot := r.d.opts.Control.Table()
	if snapshot == nil {
		return nil
	}
	row, ok := snapshot.Row(r.row.Name)
	if !ok {
		return errs.New(errs.NotFound, "name an existing row", "row %q was deleted while the request waited", r.row.Name)
	}
	if row.NonIdempotent && !r.work.NonIdempotent {
		return errs.New(errs.Conflict, "resend the request with an idempotency key", "row %q became non-idempotent while the request waited", row.Name)
	}
	if row.Version > r.row.Version {
		r.row = row
		r.minVersion = max(r.minVersion, row.Weights.Min)
	}
	return nil
}

// raiseMinVersion applies the row's bound in versions to a rollout that waited: newer weights may have been
// published since its MinVersion was computed.
func (r *run) raiseMinVersion() {
	newest := r.d.opts.Control.Weights(r.row.Model).Newest
	if bound := api.WeightVersion(r.row.MaxStalenessVersions); newest > bound {
		r.minVersion = max(r.minVersion, newest-bound)
	}
}

// acquire waits for a server for the next attempt.
func (r *run) acquire(ctx context.Context) (*lease, error) {
	if err := r.checkSuspect(); err != nil {
		return nil, err
	}
	waited := time.Now()
	r.d.loads.wait(r.work.Row.Name, 1)
	l, err := r.d.pool(r.work.Row.Pool).acquire(ctx, r)
	r.d.loads.wait(r.work.Row.Name, -1)
	r.queued += time.Since(waited)
	if err != nil {
		return nil, err
	}
	if r.first.IsZero() {
		r.first = time.Now()
		if m := r.d.opts.Metrics; m != nil {
			m.QueueWait(r.work.Row.Name, r.queued)
		}
	}
	r.d.event(events.RequestDispatched, r, l.server.ID(), "")
	return l, nil
}

// checkSuspect refuses requests that crashed servers, and isolates those that may have crashed one.
func (r *run) checkSuspect() error {
	crashes := r.d.opts.Registry.CrashCount(r.digest)
	if crashes >= maxCrashes {
		return errs.New(errs.RequestCrashes, "change the request; it is accepted again 10 minutes after the last crash",
			"%d backend servers were lost while they ran this request", crashes)
	}
	r.isolated = crashes > 0
	return nil
}

// request describes an attempt to the backend client.
func (r *run) request(l *lease, attempt string, body []byte) backend.Request {
	return backend.Request{
		Address: l.server.Announcement().Address, Method: r.work.Method, Path: r.work.Path,
		ContentType: r.work.ContentType, Header: r.work.Header, Body: body,
		AttemptID: attempt, IdempotencyKey: r.work.IdempotencyKey,
		NewConnection: r.work.NonIdempotent, AttemptIDInBody: r.engine(),
	}
}

func (r *run) attemptID() string {
	if r.work.NonIdempotent {
		return r.work.AttemptID.String()
	}
	return uuid.Must(uuid.NewV7()).String()
}

// failed notes a failed attempt on a server and reports whether another may follow.
func (r *run) failed(ctx context.Context, l *lease, err error) bool {
	f := backend.FailureOf(err)
	id := l.server.ID()
	r.note(string(errs.KindOf(err)))
	r.tries++
	if !f.NotSent {
		r.sent = true
	}
	if f.DialFailed {
		r.d.opts.Registry.SuspendServer(id)
	}
	if f.ConnectionLost {
		r.d.opts.Registry.MarkSuspects(id, l.suspects())
	}
	if !f.NotSent && f.Status != statusConflict {
		r.attempts++
	}
	r.exclude = append(r.exclude, id)
	if ctx.Err() != nil || r.tries >= maxTries || r.attempts >= policy.MaxAttempts {
		return false
	}
	if r.work.NonIdempotent && r.sent {
		return false
	}
	r.d.event(events.RequestRetried, r, id, err.Error())
	return true
}

// statusConflict is an engine's refusal of a request for newer weights than it has. It did not run.
const statusConflict = 409

func (r *run) note(result string) {
	if m := r.d.opts.Metrics; m != nil {
		m.Attempt(r.work.Row.Name, result)
	}
}

// succeeded notes a finished attempt.
func (r *run) succeeded(l *lease, m policy.Measurement) {
	r.d.learn(r.work.Row.Name, len(r.work.Body), r.d.now()-l.at)
	l.measured(m)
	r.answered()
}

// answered notes an attempt that the server answered, if only with a refusal of the request. Refusals say
// nothing of run times.
func (r *run) answered() {
	r.note("ok")
	r.attempts++
	r.sent = true
	r.d.opts.Registry.ClearSuspect(r.digest)
}

// fail returns the error of the run with its outcome.
func (r *run) fail(err error) error {
	outcome := api.OutcomeNotRun
	if r.sent {
		outcome = api.OutcomeUnknown
	}
	return &Error{Outcome: outcome, Attempts: r.attempts, Err: err}
}

func (r *run) ranFor() time.Duration {
	if r.first.IsZero() {
		return 0
	}
	return time.Since(r.first)
}
