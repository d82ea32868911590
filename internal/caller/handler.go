// Package caller is the HTTP API for customers: the OpenAI-compatible endpoints and the plain services. It
// authenticates requests, runs non-idempotent calls at most once through the replicated call records, and
// reports to each caller what happened to its request.
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

// Paths of the API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	prefixServices  = "/services/"
)

// Dispatcher is the part of dispatch.Dispatcher that callers' requests use.
type Dispatcher interface {
	DoUnary(ctx context.Context, w dispatch.Request) (dispatch.Response, error)
	DoStream(ctx context.Context, w dispatch.Request, emit dispatch.EmitFunc) (dispatch.Response, error)
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

// Handle serves a request if its path belongs to the callers' API, and reports whether it does.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	raw := string(ctx.RequestURI())
	switch {
	case path == pathChat || path == pathCompletions:
		h.serve(ctx, func(r *request) error { return h.completion(r, path) })
	case path == pathModels:
		h.serveModels(ctx)
	case strings.HasPrefix(raw, prefixServices):
		h.serve(ctx, h.service)
	default:
		return false
	}
	return true
}

// request is one customer request.
type request struct {
	http     *fasthttp.RequestCtx // not used after the handler returned
	id       string
	row      table.Row
	start    time.Time
	deadline time.Time
	key      string // Idempotency-Key as sent
	nonIdem  bool
	work     dispatch.Request
	finished atomic.Bool
}

// serve runs a request through parsing, run and answer.
func (h *Handler) serve(ctx *fasthttp.RequestCtx, parse func(*request) error) {
	h.inFlight.Add(1)
	r := &request{http: ctx, start: time.Now(), key: string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey))}
	if err := h.prepare(r, parse); err != nil {
		h.refuse(r, err, h.earlyOutcome(r))
		return
	}
	h.event(events.RequestReceived, r, "")
	switch {
	case r.nonIdem:
		h.runOnce(r)
	case r.wantsStream():
		h.runStream(r)
	default:
		h.runUnary(r)
	}
}

// prepare reads everything that the request says and checks it.
func (h *Handler) prepare(r *request, parse func(*request) error) error {
	if err := r.readID(); err != nil {
		return err
	}
	if err := parse(r); err != nil {
		return err
	}
	if err := r.readHeaders(); err != nil {
		return err
	}
	return h.checkLease(r)
}

// checkLease refuses what a newer table could forbid, if the table may be old.
func (h *Handler) checkLease(r *request) error {
	if h.opts.Control.TableLeaseValid() {
		return nil
	}
	if !r.nonIdem && (r.row.Kind != table.KindService || safeMethod(r.work.Method)) {
		return nil
	}
	return errs.New(errs.StaleTable, "resend the request through another VM", "the table of this VM may be old, and this call could be non-idempotent")
}

func safeMethod(m string) bool {
	return m == fasthttp.MethodGet || m == fasthttp.MethodHead || m == fasthttp.MethodOptions
}

// earlyOutcome of a request that this VM refused before it looked at the call records: earlier attempts with
// the same key may have run.
func (h *Handler) earlyOutcome(r *request) api.Outcome {
	if r.key != "" {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// row finds a row and checks the caller's token.
func (h *Handler) row(r *request, name api.RowName, kinds ...table.Kind) error {
	snapshot := h.opts.Control.Table()
	if snapshot == nil {
		return errs.New(errs.Unavailable, "resend the request later", "this VM has no table yet")
	}
	row, ok := snapshot.Row(name)
	for _, k := range kinds {
		if ok && row.Kind == k {
			r.row = row
			return h.authenticate(r.http, &row)
		}
	}
	if !h.opts.Control.TableLeaseValid() {
		return errs.New(errs.StaleTable, "resend the request through another VM", "the table of this VM may be old and has no row %q of this kind", clip(string(name)))
	}
	return errs.New(errs.NotFound, "name an existing row in "+api.HeaderRow+" or in the path", "row %q does not exist for this path", clip(string(name)))
}

// clip bounds input that is shown in a message.
func clip(s string) string {
	const longest = 64
	if len(s) > longest {
		return s[:longest] + "..."
	}
	return s
}

// refuse answers with an error and counts it.
func (h *Handler) refuse(r *request, err error, outcome api.Outcome) {
	front.WriteError(r.http, err)
	r.writeOutcome(outcome)
	if !wasDispatched(err) {
		r.http.Response.Header.Set(api.HeaderAttempt, string(api.OutcomeNotRun))
	}
	h.end(r, err, outcome)
}

// attemptError marks an error of a call whose own attempt certainly did not run, although another attempt with
// the same key may have.
type attemptError struct{ error }

func (e attemptError) Unwrap() error { return e.error }

func (r *request) writeOutcome(outcome api.Outcome) {
	header := &r.http.Response.Header
	header.Set(api.HeaderRequestID, r.id)
	header.Set(api.HeaderOutcome, string(outcome))
}

// end counts a request once, whatever its end.
func (h *Handler) end(r *request, err error, outcome api.Outcome) {
	if r.finished.Swap(true) {
		return
	}
	h.inFlight.Add(-1)
	h.count(r, err, outcome)
	switch {
	case err == nil:
		h.event(events.RequestFinished, r, string(outcome))
	case errs.Is(err, errs.Canceled):
		h.event(events.RequestCanceled, r, "")
	case outcome == api.OutcomeNotRun || !wasDispatched(err):
		h.event(events.RequestRefused, r, err.Error())
	default:
		h.event(events.RequestFailed, r, err.Error())
	}
}

// unknownRow is the row under which requests without a known row are counted; names from callers would grow
// the metrics without bound.
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

func (h *Handler) event(name events.Name, r *request, detail string) {
	if h.opts.Events != nil {
		h.opts.Events.Record(events.Event{Name: name, Request: r.id, Row: r.row.Name, Detail: detail})
	}
}
