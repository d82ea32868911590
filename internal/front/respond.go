// Package front is the HTTP server of a VM. Other packages provide its handlers. It answers the readiness and liveness
// probes of the platform's load balancer, drains the VM, and defines the format of HTTP errors.
package front

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// errorBody is the error format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// ErrorBody returns err in the error format of the OpenAI API. The message contains the remedy. It omits the wrapped
// causes of err, which may contain internal addresses.
func ErrorBody(err error) []byte {
	kind := errs.KindOf(err)
	body, _ := json.Marshal(errorBody{errorDetail{Message: message(err), Type: errorType(kind), Code: string(kind)}})
	return body
}

func message(err error) string {
	var typed *errs.Error
	if !errors.As(err, &typed) {
		return "internal error; resend the request and report it if it persists"
	}
	if typed.Remedy == "" {
		return typed.Message
	}
	return typed.Message + "; " + typed.Remedy
}

// errorType returns the error type of the OpenAI API for a kind.
func errorType(kind errs.Kind) string {
	status := errs.HTTPStatus(kind)
	switch {
	case kind == errs.Unauthenticated:
		return "authentication_error"
	case kind == errs.PermissionDenied:
		return "permission_error"
	case kind == errs.Overloaded:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// WriteError responds with the HTTP status of err, its error body and the header Filbertledge-Error.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	kind := errs.KindOf(err)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(errs.HTTPStatus(kind))
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(api.HeaderError, string(kind))
	ctx.SetBody(ErrorBody(err))
}

// WriteJSON responds with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, errs.Wrap(err, errs.Internal, "report this error", "response cannot be encoded as JSON"))
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}
