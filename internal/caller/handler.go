// Package caller serves the HTTP API for callers: the OpenAI-compatible endpoints and the plain services, which are
// HTTP services without an engine. It authenticates requests, uses the replicated call records to run non-idempotent
// calls at most once, and reports to each caller the outcome of its request.
package caller

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/front"
	"filbertledge/internal/metrics"
	"filbertledge/internal/table"
)

// Paths that the API serves.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	prefixServices  = "/services/"
)

// Dispatcher runs requests on backend servers. dispatch.Dispatcher implements it.
type Dispatcher interface {
	DoUnary(ctx context.Context, req dispatch.Request) (dispatch.Response, error)
	DoStream(ctx context.Context, req dispatch.Request, emit dispatch.EmitFunc) (dispatch.Response, error)
}

// Options configures a Handler. Metrics and Events may be nil.
type Options struct {
	VM          api.VMID
	Incarnation uint64
	Control     control.Client
	Dispatcher  Dispatcher
	Metrics     *metrics.Metrics
	Events      *events.Recorder
}

// Handler serves the callers' API. It is safe for concurrent use.
type Handler struct {
	opts     Options
	inFlight atomic.Int64
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// InFlight returns the number of requests that are not yet answered in full, running streams included.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Handle serves a request if its path belongs to the callers' API. It reports false for other paths.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	raw := string(ctx.RequestURI())
	switch {
	case path == pathChat || path == pathCompletions:
		h.serve(ctx, func(r *request) error { return h.parseCompletion(r, path) })
	case path == pathModels:
		h.serveModels(ctx)
	case strings.HasPrefix(raw, prefixServices):
		h.serve(ctx, h.parseService)
	default:
		return false
	}
	return true
}

// request is the state of one request of a caller.
type request struct {
	http           *fasthttp.RequestCtx // not valid after the handler has returned
	id             string
	row            table.Row
	start          time.Time
	deadline       time.Time
	key            string // header Idempotency-Key as the caller sent it
	nonIdempotent  bool
	backendRequest dispatch.Request
	ended          atomic.Bool
}

// serve parses and checks a request, runs it and sends the response.
func (h *Handler) serve(ctx *fasthttp.RequestCtx, parse func(*request) error) {
	h.inFlight.Add(1)
	r := &request{http: ctx, start: time.Now(), key: string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey))}
	if err := h.prepare(r, parse); err != nil {
		h.respondError(r, err, h.outcomeBeforeLookup(r))
		return
	}
	h.recordEvent(events.RequestReceived, r, "")
	switch {
	case r.nonIdempotent:
		h.runNonIdempotent(r)
	case r.wantsStream():
		h.runStream(r)
	default:
		h.runUnary(r)
	}
}

// prepare parses the request, authenticates its caller and checks its headers and the table lease.
func (h *Handler) prepare(r *request, parse func(*request) error) error {
	if err := r.readRequestID(); err != nil {
		return err
	}
	if err := parse(r); err != nil {
		return err
	}
	if err := r.readHeaders(); err != nil {
		return err
	}
	return h.checkTableLease(r)
}

// checkTableLease refuses a request that is or could be non-idempotent if the table of this VM may be outdated. A
// newer table could forbid the call or mark its row as non-idempotent.
func (h *Handler) checkTableLease(r *request) error {
	if h.opts.Control.TableLeaseValid() {
		return nil
	}
	if !r.nonIdempotent && (r.row.Kind != table.KindService || isSafeMethod(r.backendRequest.Method)) {
		return nil
	}
	return errs.New(errs.StaleTable, "resend the request through another VM", "the table lease of this VM has expired, and the call is or could be non-idempotent")
}

func isSafeMethod(m string) bool {
	return m == fasthttp.MethodGet || m == fasthttp.MethodHead || m == fasthttp.MethodOptions
}

// outcomeBeforeLookup returns the outcome of a request that is refused before its call record is looked up. If the
// request has a key, an earlier attempt with the same key may have run.
func (h *Handler) outcomeBeforeLookup(r *request) api.Outcome {
	if r.key != "" {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// findRow looks up a row of one of the kinds, checks the caller's token for it and sets r.row.
func (h *Handler) findRow(r *request, name api.RowName, kinds ...table.Kind) error {
	snapshot := h.opts.Control.Table()
	if snapshot == nil {
		return errs.New(errs.Unavailable, "resend the request later", "this VM has not received a table yet")
	}
	row, ok := snapshot.Row(name)
	for _, k := range kinds {
		if ok && row.Kind == k {
			r.row = row
			return h.authenticate(r.http, &row)
		}
	}
	if !h.opts.Control.TableLeaseValid() {
		return errs.New(errs.StaleTable, "resend the request through another VM", "the table lease of this VM has expired, and its table has no row %q of this kind", truncate(string(name)))
	}
	return errs.New(errs.NotFound, "name an existing row in "+api.HeaderRow+" or in the path", "row %q does not exist for this path", truncate(string(name)))
}

// truncate shortens a caller's input for an error message.
func truncate(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}

// respondError sends an error to the caller and ends the request.
func (h *Handler) respondError(r *request, err error, outcome api.Outcome) {
	front.WriteError(r.http, err)
	r.writeOutcome(outcome)
	if !wasDispatched(err) {
		r.http.Response.Header.Set(api.HeaderAttempt, string(api.OutcomeNotRun))
	}
	h.finishRequest(r, err, outcome)
}

// attemptNotRunError wraps the error of an attempt that certainly did not run, although another attempt with the same
// key may have run.
type attemptNotRunError struct{ error }

func (e attemptNotRunError) Unwrap() error { return e.error }

func (r *request) writeOutcome(outcome api.Outcome) {
	header := &r.http.Response.Header
	header.Set(api.HeaderRequestID, r.id)
	header.Set(api.HeaderOutcome, string(outcome))
}

// finishRequest updates the metrics and records the last event of a request. Only its first call has an effect.
func (h *Handler) finishRequest(r *request, err error, outcome api.Outcome) {
	if r.ended.Swap(true) {
		return
	}
	h.inFlight.Add(-1)
	h.count(r, err, outcome)
	switch {
	case err == nil:
		h.recordEvent(events.RequestFinished, r, string(outcome))
	case errs.Is(err, errs.Canceled):
		h.recordEvent(events.RequestCanceled, r, "")
	case outcome == api.OutcomeNotRun || !wasDispatched(err):
		h.recordEvent(events.RequestRefused, r, err.Error())
	default:
		h.recordEvent(events.RequestFailed, r, err.Error())
	}
}

// unknownRow is the row label of requests without a known row. With the names that callers send as labels, the number
// of metrics would grow without limit.
const unknownRow api.RowName = "(unknown)"

func (h *Handler) count(r *request, err error, outcome api.Outcome) {
	m := h.opts.Metrics
	if m == nil {
		return
	}
	name := r.row.Name
	if name == "" {
		name = unknownRow
	}
	m.RequestFinished(name, r.row.Kind, outcome, time.Since(r.start))
	if err != nil && !errs.Is(err, errs.Canceled) {
		m.RequestRefused(name, string(errs.KindOf(err)), time.Now())
	}
}

func (h *Handler) recordEvent(name events.Name, r *request, detail string) {
	if h.opts.Events != nil {
		h.opts.Events.Record(events.Event{Name: name, Request: r.id, Row: r.row.Name, Detail: detail})
	}
}
