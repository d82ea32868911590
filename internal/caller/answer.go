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

// wasDispatched reports whether a backend server may have received a part of the failed attempt.
func wasDispatched(err error) bool {
	var notRun attemptNotRunError
	if errors.As(err, &notRun) {
		return false
	}
	var failed *dispatch.Error
	return errors.As(err, &failed) && failed.Outcome != api.OutcomeNotRun
}

// failureOutcome returns the outcome of a failed idempotent request. If the request has a key, an earlier attempt with
// the same key may have run; that is unknown, because idempotent requests have no call record.
func (r *request) failureOutcome(err error) api.Outcome {
	outcome := dispatch.OutcomeOf(err)
	if outcome == api.OutcomeNotRun && r.key != "" {
		return api.OutcomeUnknown
	}
	return outcome
}

// runUnary runs an idempotent request whose answer is not streamed. It is canceled if the caller disconnects.
func (h *Handler) runUnary(r *request) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	defer front.WatchDisconnect(r.http.Conn(), cancel)()
	response, err := h.opts.Dispatcher.DoUnary(ctx, r.backendRequest)
	if err != nil {
		h.respondError(r, err, r.failureOutcome(err))
		return
	}
	r.writeResponse(&response)
	h.finishRequest(r, nil, api.OutcomeRan)
}

// writeResponse sends a backend server's response to the caller.
func (r *request) writeResponse(response *dispatch.Response) {
	out := &r.http.Response
	out.SetStatusCode(response.Status)
	if response.ContentType != "" {
		out.Header.SetContentType(response.ContentType)
	}
	addHeaders(&out.Header, response.Header)
	if v := joinVersions(response.Labels); v != "" {
		out.Header.Set(api.HeaderWeights, v)
	}
	out.SetBody(response.Body)
	r.writeOutcome(api.OutcomeRan)
}

func addHeaders(to *fasthttp.ResponseHeader, from []backend.Header) {
	for _, h := range from {
		to.Add(h.Name, h.Value)
	}
}

// joinVersions returns the distinct weight versions of the labels in ascending order, separated by commas.
func joinVersions(labels []api.PieceLabel) string {
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

// writeCallResponse sends the answer of a non-idempotent call to the caller, byte for byte as it is recorded.
func (h *Handler) writeCallResponse(r *request, answer *control.CallResponse) {
	r.http.Response.SetStatusCode(answer.Status)
	r.http.Response.Header.SetContentType(answer.ContentType)
	r.http.Response.SetBody(answer.Body)
	r.writeOutcome(api.OutcomeRan)
	h.finishRequest(r, nil, api.OutcomeRan)
}

// modelList is the response of GET /v1/models.
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

// serveModels lists the chat rows that the caller's token gives access to.
func (h *Handler) serveModels(ctx *fasthttp.RequestCtx) {
	h.inFlight.Add(1)
	r := &request{http: ctx, start: time.Now()}
	err := r.readRequestID()
	var list modelList
	if err == nil {
		list, err = h.listModels(ctx)
	}
	if err != nil {
		h.respondError(r, err, api.OutcomeNotRun)
		return
	}
	front.WriteJSON(ctx, list)
	r.writeOutcome(api.OutcomeRan)
	h.finishRequest(r, nil, api.OutcomeRan)
}

func (h *Handler) listModels(ctx *fasthttp.RequestCtx) (modelList, error) {
	list := modelList{Object: "list", Data: []model{}}
	snapshot := h.opts.Control.Table()
	if snapshot == nil {
		return list, errs.New(errs.Unavailable, "resend the request later", "this VM has not received a table yet")
	}
	token := bearerToken(ctx)
	snapshot.Rows(func(row table.Row) {
		if row.Kind == table.KindChat && tokenMatchesRow(token, &row) {
			list.Data = append(list.Data, model{ID: string(row.Name), Object: "model", OwnedBy: string(row.Pool)})
		}
	})
	if len(list.Data) == 0 {
		h.recordRefusedCredential(ctx, "")
		return list, errs.New(errs.Unauthenticated, "send a row's token as Authorization: Bearer", "token does not belong to any chat row")
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
