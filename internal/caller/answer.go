package caller

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/front"
	"filbertledge/internal/table"
)

// wasDispatched reports whether bytes of this attempt may have reached a backend server.
func wasDispatched(err error) bool {
	var refused attemptError
	if errors.As(err, &refused) {
		return false
	}
	var failed *dispatch.Error
	return errors.As(err, &failed) && failed.Outcome != api.OutcomeNotRun
}

// outcomeOf returns the outcome of a failed idempotent request. Without a call record, nothing is known of
// earlier attempts with the same key.
func (r *request) outcomeOf(err error) api.Outcome {
	outcome := dispatch.OutcomeOf(err)
	if outcome == api.OutcomeNotRun && r.key != "" {
		return api.OutcomeUnknown
	}
	return outcome
}

// runUnary runs an idempotent request. When the caller leaves, the work is canceled.
func (h *Handler) runUnary(r *request) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	defer front.WatchDisconnect(r.http.Conn(), cancel)()
	a, err := h.opts.Dispatcher.DoUnary(ctx, r.work)
	if err != nil {
		h.refuse(r, err, r.outcomeOf(err))
		return
	}
	r.write(&a)
	h.end(r, nil, api.OutcomeRan)
}

// write answers with a backend server's answer.
func (r *request) write(a *dispatch.Response) {
	resp := &r.http.Response
	resp.SetStatusCode(a.Status)
	if a.ContentType != "" {
		resp.Header.SetContentType(a.ContentType)
	}
	addHeaders(&resp.Header, a.Header)
	if v := versionList(a.Labels); v != "" {
		resp.Header.Set(api.HeaderWeights, v)
	}
	resp.SetBody(a.Body)
	r.writeOutcome(api.OutcomeRan)
}

func addHeaders(to *fasthttp.ResponseHeader, from []backend.Header) {
	for _, h := range from {
		to.Add(h.Name, h.Value)
	}
}

// versionList returns the versions of the labels, ascending and without repeats.
func versionList(labels []api.PieceLabel) string {
	var versions []api.WeightVersion
	for _, l := range labels {
		if !slices.Contains(versions, l.Version) {
			versions = append(versions, l.Version)
		}
	}
	slices.Sort(versions)
	parts := make([]string, len(versions))
	for i, v := range versions {
		parts[i] = strconv.FormatUint(uint64(v), 10)
	}
	return strings.Join(parts, ",")
}

// replay answers with a stored answer, byte for byte.
func (h *Handler) replay(r *request, a *control.CallResponse) {
	r.http.Response.SetStatusCode(a.Status)
	r.http.Response.Header.SetContentType(a.ContentType)
	r.http.Response.SetBody(a.Body)
	r.writeOutcome(api.OutcomeRan)
	h.end(r, nil, api.OutcomeRan)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the chat rows that the caller's token opens.
func (h *Handler) serveModels(ctx *fasthttp.RequestCtx) {
	h.inFlight.Add(1)
	r := &request{http: ctx, start: time.Now()}
	err := r.readID()
	var list modelList
	if err == nil {
		list, err = h.models(ctx)
	}
	if err != nil {
		h.refuse(r, err, api.OutcomeNotRun)
		return
	}
	front.WriteJSON(ctx, list)
	r.writeOutcome(api.OutcomeRan)
	h.end(r, nil, api.OutcomeRan)
}

func (h *Handler) models(ctx *fasthttp.RequestCtx) (modelList, error) {
	list := modelList{Object: "list", Data: []model{}}
	snapshot := h.opts.Control.Table()
	if snapshot == nil {
		return list, errs.New(errs.Unavailable, "resend the request later", "this VM has no table yet")
	}
	token := bearer(ctx)
	snapshot.Rows(func(row table.Row) {
		if row.Kind == table.KindChat && tokenOpens(token, &row) {
			list.Data = append(list.Data, model{ID: string(row.Name), Object: "model", OwnedBy: string(row.Pool)})
		}
	})
	if len(list.Data) == 0 {
		h.credentialRefused(ctx, "")
		return list, errs.New(errs.Unauthenticated, "send a row's token as Authorization: Bearer", "token opens no chat row")
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
