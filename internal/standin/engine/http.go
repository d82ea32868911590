package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// State is the response body of GET /engine/v1/state.
type State struct {
	Model               string              `json:"model"`
	CurrentVersion      api.WeightVersion   `json:"current_version"`
	LoadedVersions      []api.WeightVersion `json:"loaded_versions"`
	Running             int                 `json:"running"`
	Waiting             int                 `json:"waiting"`
	Capacity            int                 `json:"capacity"`
	HighestFencingToken uint64              `json:"highest_fencing_token"`
	Incarnation         uint64              `json:"incarnation"`
}

func (e *Engine) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if ctx.IsGet() {
		e.routeGet(ctx, path)
		return
	}
	if !ctx.IsPost() {
		standin.ReplyError(ctx, http.StatusMethodNotAllowed, "invalid_request_error", "the method is not allowed")
		return
	}
	switch path {
	case "/v1/chat/completions":
		e.handleGenerate(ctx, true)
	case "/v1/completions":
		e.handleGenerate(ctx, false)
	case "/engine/v1/cancel":
		e.handleCancel(ctx)
	case "/engine/v1/orders":
		e.handleOrder(ctx)
	case "/standin/v1/faults":
		e.handleFaults(ctx)
	case "/standin/v1/leave":
		e.Leave()
		standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
	default:
		standin.ReplyError(ctx, http.StatusNotFound, "invalid_request_error", "the path is not known")
	}
}

func (e *Engine) routeGet(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/engine/v1/state":
		standin.ReplyJSON(ctx, http.StatusOK, e.State())
	case "/standin/v1/log":
		standin.ReplyJSON(ctx, http.StatusOK, e.log.Content())
	default:
		standin.ReplyError(ctx, http.StatusNotFound, "invalid_request_error", "the path is not known")
	}
}

// State returns the current state of the engine.
func (e *Engine) State() State {
	running, waiting := e.batch.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		Model: e.opts.Model, CurrentVersion: e.currentVersion, LoadedVersions: append([]api.WeightVersion{}, e.loadedVersions...),
		Running: running, Waiting: waiting, Capacity: e.opts.Capacity,
		HighestFencingToken: e.highestFencingToken, Incarnation: e.incarnation,
	}
}

func (e *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	var f standin.Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	e.faults.Apply(f)
	if f.AnnouncePaused != nil {
		e.announcer.Pause(*f.AnnouncePaused)
	}
	if f.Leave {
		e.Leave()
	}
	if f.Crash {
		e.Crash()
	}
	standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var body struct {
		AttemptID string `json:"attempt_id"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	runs := e.batch.findAttempt(body.AttemptID)
	for _, r := range runs {
		r.cancel()
	}
	standin.ReplyJSON(ctx, http.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{len(runs)})
}

// handleGenerate serves a chat or completion request.
func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx, chat bool) {
	attempt := string(ctx.Request.Header.Peek(api.HeaderAttemptID))
	ctx.Response.Header.Set(api.HeaderAttemptID, attempt)
	request, err := ParseRequest(ctx.PostBody())
	if err != nil {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	r := newGeneration(attempt, request)
	seq := e.log.BeginRequest(e.requestRecord(ctx, r))
	if m := e.faults.CrashMarker(); m != "" && strings.Contains(r.prompt, m) {
		e.log.UpdateRequest(seq, func(rec *standin.RequestRecord) { rec.State = standin.RequestAborted })
		standin.Reset(ctx.Conn())
		e.Crash()
		return
	}
	if e.Version() < request.minVersion() {
		e.log.UpdateRequest(seq, func(rec *standin.RequestRecord) { rec.State, rec.End = standin.RequestRefused, time.Now() })
		standin.ReplyError(ctx, http.StatusConflict, "weights_too_old", "the weights are older than min_version")
		return
	}
	e.startGeneration(ctx, r)
	a := &response{engine: e, generation: r, sequence: seq, chat: chat, conn: ctx.Conn()}
	if request.Stream {
		a.respondStream(ctx)
		return
	}
	a.respondWhole(ctx)
}

func (e *Engine) startGeneration(ctx *fasthttp.RequestCtx, r *generation) {
	if e.opts.NoTokenDelay {
		return
	}
	if d := e.faults.AnswerDelayMS(); d > 0 {
		time.Sleep(time.Duration(d) * time.Millisecond)
	}
	conn := ctx.Conn()
	r.callerGone = func() bool { return standin.PeerGone(conn) }
	e.pairForExchange(r)
	e.batch.add(r)
}

// pairForExchange exchanges the answers of r and the preceding request if the fault ExchangeAnswers is pending. If
// there is no suitable preceding request, r waits for the next one.
func (e *Engine) pairForExchange(r *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.ExchangePending() {
		return
	}
	partner := e.exchangePartner
	if partner == nil || partner.request.Stream != r.request.Stream || partner.ended() {
		e.exchangePartner = r
		return
	}
	if e.faults.TakeExchangeAnswers() {
		exchangeAnswers(partner, r)
	}
	e.exchangePartner = nil
}

func (e *Engine) requestRecord(ctx *fasthttp.RequestCtx, r *generation) standin.RequestRecord {
	from := r.request.continueFrom()
	return standin.RequestRecord{
		Server:         e.opts.ID,
		AttemptID:      r.attempt,
		IdempotencyKey: string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey)),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		Digest:         standin.ContentDigest(r.prompt),
		Start:          time.Now(),
		State:          standin.RequestRunning,
		Stream:         r.request.Stream,
		Seed:           r.request.EffectiveSeed(),
		ResumedAt:      from.Tokens,
		ResumeMismatch: from.Text != ExpectedText(r.request, from.Tokens),
	}
}
