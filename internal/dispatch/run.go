package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/policy"
	"filbertledge/internal/suspects"
	"filbertledge/internal/table"
)

// Request is one request to a backend server. The context that is passed with it carries the deadline; canceling the
// context cancels the request.
type Request struct {
	Row            table.Row
	RequestID      string
	Method         string
	Path           string // path and query of the engine's or the service's HTTP API
	ContentType    string
	Header         []backend.Header
	Body           []byte
	IdempotencyKey string
	// A NonIdempotent request runs at most once: it is not retried after the first byte of it was written.
	NonIdempotent bool
	// AttemptID is the attempt ID that was granted to a NonIdempotent request. Attempts of other requests get new IDs.
	AttemptID uuid.UUID
}

// Response is the complete response to a unary request, or the summary of a stream.
type Response struct {
	Status      int
	ContentType string
	Header      []backend.Header
	Body        []byte // of unary requests
	Server      api.ServerID
	Labels      []api.PieceLabel
	Text        string // of streams
	Tokens      int
	Attempts    int
	QueuedFor   time.Duration
	RanFor      time.Duration // since the first dispatch
}

// Error is the error of a request. Outcome tells whether an attempt may have run.
type Error struct {
	Outcome  api.Outcome
	Attempts int
	Err      error
}

// Error implements error with the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of the *Error in err's chain, or api.OutcomeUnknown if there is none.
func OutcomeOf(err error) api.Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return api.OutcomeUnknown
}

const (
	// maxFailedAttempts limits the failed attempts of one request, including those that certainly did not run.
	maxFailedAttempts = 8
	// maxCrashes limits the crashes of one request: it is refused once this many servers were lost while they ran it.
	maxCrashes = 2
	// crashPause is how long a rollout waits after maxCrashes crashes. The pause doubles with each further one, up to
	// maxCrashPause.
	crashPause    = time.Second
	maxCrashPause = 30 * time.Second
	// maxCrashPauseDoublings prevents an overflow of the pause before it is limited.
	maxCrashPauseDoublings = 8
	// affinityPrefixBytes is the length of the prefix of a request's body that is hashed for the prefix affinity.
	affinityPrefixBytes = 512
	// The predicted run time of a customer's request or of a rollout is this quantile of the row's recorded run times.
	customerRunTimeQuantile = 0.5
	trainerRunTimeQuantile  = 0.75
)

// run is the state of one request during all its attempts. Only one goroutine changes it.
type run struct {
	d                  *Dispatcher
	request            *Request
	row                table.Row // newest known version: edits also apply to waiting requests
	class              policy.Class
	minVersion         api.WeightVersion
	seed               *uint64
	digest             uint64
	prefix             uint64
	predictedRunTime   time.Duration
	failedServers      []api.ServerID // servers on which this run failed; used again only if no other server is left
	excludedServers    []api.ServerID // never used for this run
	retryFailedServers bool           // no server outside failedServers is left
	isolated           bool           // was in flight on a lost server; needs a server without other requests
	owed               bool           // must be answered in the end, however many servers were lost while they ran it
	attempts           int            // attempts that a server may have run
	failedAttempts     int
	mayHaveRun         bool
	queueTime          time.Duration
	firstDispatch      time.Time
}

func (d *Dispatcher) newRun(request *Request, class policy.Class) *run {
	r := &run{d: d, request: request, row: request.Row, class: class, digest: contentDigest(request)}
	r.predictedRunTime = d.predictRunTime(request.Row.Name, len(request.Body), customerRunTimeQuantile)
	if class == policy.Trainer {
		r.predictedRunTime = d.predictRunTime(request.Row.Name, len(request.Body), trainerRunTimeQuantile)
	}
	r.minVersion = request.Row.Weights.Min
	if request.Row.Kind != table.KindService && len(request.Body) > 0 {
		r.prefix = xxhash.Sum64(request.Body[:min(len(request.Body), affinityPrefixBytes)])
	}
	return r
}

// contentDigest returns a hash of a request's content, by which a resent request is recognized.
func contentDigest(request *Request) uint64 {
	return suspects.Digest(request.Body, string(request.Row.Name), request.Method, request.Path)
}

// usesEngine reports whether the request goes to a model engine.
func (r *run) usesEngine() bool { return r.request.Row.Kind != table.KindService }

// canRunOn reports whether the row allows a server with this announcement.
func (r *run) canRunOn(a *api.Announcement) bool {
	row := &r.row
	if a.Engine != r.usesEngine() {
		return false
	}
	if !r.usesEngine() {
		return true
	}
	if row.Model != "" && a.Model != row.Model {
		return false
	}
	return a.Current >= r.minVersion && row.Weights.Allows(a.Current)
}

func (r *run) excludes(id api.ServerID) bool {
	return slices.Contains(r.excludedServers, id) || (!r.retryFailedServers && slices.Contains(r.failedServers, id))
}

// refreshRow reads the newest version of the row before a dispatch, so that edits also apply to waiting requests. It
// returns an error if the row no longer allows the request.
func (r *run) refreshRow() error {
	snapshot := r.d.opts.Control.Table()
	if snapshot == nil {
		return nil
	}
	row, ok := snapshot.Row(r.row.Name)
	if !ok {
		return errs.New(errs.NotFound, "name an existing row", "row %q was deleted while the request waited", r.row.Name)
	}
	if row.NonIdempotent && !r.request.NonIdempotent {
		return errs.New(errs.Conflict, "resend the request with an idempotency key", "row %q became non-idempotent while the request waited", row.Name)
	}
	if row.Version > r.row.Version {
		r.row = row
		r.minVersion = max(r.minVersion, row.Weights.Min)
	}
	return nil
}

// raiseMinVersion applies the row's MaxStalenessVersions to a rollout that waited, because newer weights may have been
// published since its MinVersion was computed.
func (r *run) raiseMinVersion() {
	newest := r.d.opts.Control.Weights(r.row.Model).Newest
	if bound := api.WeightVersion(r.row.MaxStalenessVersions); newest > bound {
		r.minVersion = max(r.minVersion, newest-bound)
	}
}

// acquire waits for a slot on a server for the next attempt.
func (r *run) acquire(ctx context.Context) (*lease, error) {
	pause, err := r.checkSuspect()
	if err != nil {
		return nil, err
	}
	if err := r.pauseAfterCrashes(ctx, pause); err != nil {
		return nil, err
	}
	queuedAt := time.Now()
	r.d.loads.addWaiting(r.request.Row.Name, 1)
	l, err := r.d.pool(r.request.Row.Pool).acquire(ctx, r)
	r.d.loads.addWaiting(r.request.Row.Name, -1)
	r.queueTime += time.Since(queuedAt)
	if err != nil {
		return nil, err
	}
	if r.firstDispatch.IsZero() {
		r.firstDispatch = time.Now()
		if m := r.d.opts.Metrics; m != nil {
			m.QueueWait(r.request.Row.Name, r.queueTime)
		}
	}
	r.d.recordEvent(events.RequestDispatched, r, l.server.ID(), "")
	return l, nil
}

// checkSuspect isolates a request that was in flight on servers when they were lost. After maxCrashes servers it refuses
// a caller's request. A rollout is owed to its trainer and may be sound, since servers also crash in bursts: it runs
// after the returned pause.
func (r *run) checkSuspect() (pause time.Duration, err error) {
	crashes := r.d.opts.Registry.CrashCount(r.digest)
	r.isolated = crashes > 0
	switch {
	case crashes < maxCrashes:
		return 0, nil
	case r.owed:
		return min(crashPause<<min(crashes-maxCrashes, maxCrashPauseDoublings), maxCrashPause), nil
	default:
		return 0, errs.New(errs.RequestCrashes, "change the request; it is accepted again 10 minutes after the last crash",
			"%d backend servers were lost while they ran this request", crashes)
	}
}

// pauseAfterCrashes waits before a rollout runs again under which several servers were lost.
func (r *run) pauseAfterCrashes(ctx context.Context, pause time.Duration) error {
	if pause == 0 {
		return nil
	}
	r.d.recordEvent(events.RequestSuspected, r, "", fmt.Sprintf("%d servers were lost while they ran it; it runs alone after %s", r.d.opts.Registry.CrashCount(r.digest), pause))
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return errs.New(errs.Canceled, "resend the request if it is still wanted", "request ended while it waited after the loss of the servers that ran it")
	}
}

// backendRequest returns the request of one attempt for the backend client.
func (r *run) backendRequest(l *lease, attempt string, body []byte) backend.Request {
	return backend.Request{
		Address: l.server.Announcement().Address, Method: r.request.Method, Path: r.request.Path,
		ContentType: r.request.ContentType, Header: r.request.Header, Body: body,
		AttemptID: attempt, IdempotencyKey: r.request.IdempotencyKey,
		NewConnection: r.request.NonIdempotent, AttemptIDInBody: r.usesEngine(),
	}
}

func (r *run) attemptID() string {
	if r.request.NonIdempotent {
		return r.request.AttemptID.String()
	}
	return uuid.Must(uuid.NewV7()).String()
}

// recordFailure records a failed attempt and reports whether another one may follow.
func (r *run) recordFailure(ctx context.Context, l *lease, err error) bool {
	failure := backend.FailureOf(err)
	id := l.server.ID()
	r.countAttempt(string(errs.KindOf(err)))
	r.failedAttempts++
	if !failure.NotSent {
		r.mayHaveRun = true
	}
	if failure.DialFailed {
		r.d.opts.Registry.SuspendServer(id)
	}
	if failure.ConnectionLost {
		r.d.opts.Registry.MarkSuspects(id, l.inFlightDigests())
	}
	if !failure.NotSent && failure.Status != statusConflict {
		r.attempts++
	}
	r.failedServers = append(r.failedServers, id)
	if ctx.Err() != nil || r.failedAttempts >= maxFailedAttempts || r.attempts >= policy.MaxAttempts {
		return false
	}
	if r.request.NonIdempotent && r.mayHaveRun {
		return false
	}
	r.d.recordEvent(events.RequestRetried, r, id, err.Error())
	return true
}

// statusConflict is the HTTP status with which an engine refuses, without running it, a request that needs newer
// weights than it has. checkVersions also uses it for a response generated with weights that the row does not allow.
const statusConflict = 409

func (r *run) countAttempt(result string) {
	if m := r.d.opts.Metrics; m != nil {
		m.Attempt(r.request.Row.Name, result)
	}
}

// recordSuccess records an attempt that succeeded.
func (r *run) recordSuccess(l *lease, m policy.Measurement) {
	r.d.recordRunTime(r.request.Row.Name, len(r.request.Body), r.d.now()-l.dispatchedAt)
	l.addMeasurement(m)
	r.recordAnswer()
}

// recordAnswer records an attempt that the server answered, even if with an error status. It does not record a run
// time, because the time that a refusal takes does not help to predict run times.
func (r *run) recordAnswer() {
	r.countAttempt("ok")
	r.attempts++
	r.mayHaveRun = true
	r.d.opts.Registry.ClearSuspect(r.digest)
}

// withOutcome wraps the final error of the run in an *Error.
func (r *run) withOutcome(err error) error {
	outcome := api.OutcomeNotRun
	if r.mayHaveRun {
		outcome = api.OutcomeUnknown
	}
	return &Error{Outcome: outcome, Attempts: r.attempts, Err: err}
}

func (r *run) runTime() time.Duration {
	if r.firstDispatch.IsZero() {
		return 0
	}
	return time.Since(r.firstDispatch)
}
