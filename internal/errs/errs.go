// Package errs defines the typed errors of filbertledge.
//
// Every error that reaches a caller or an operator has a Kind and a remedy. The Kind determines the HTTP status, the
// machine-readable code and the exit code of the command line.
package errs

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Its string is the machine-readable code in HTTP error bodies.
type Kind string

// Kinds of errors.
const (
	InvalidArgument    Kind = "invalid_argument"
	Unauthenticated    Kind = "unauthenticated"
	PermissionDenied   Kind = "permission_denied"
	NotFound           Kind = "not_found"
	Conflict           Kind = "conflict"
	PayloadTooLarge    Kind = "payload_too_large"
	KeyExpired         Kind = "idempotency_key_expired"
	KeyReused          Kind = "idempotency_key_reused"
	NotLeader          Kind = "not_leader"
	Unavailable        Kind = "unavailable"
	StaleTable         Kind = "table_lease_expired"
	Overloaded         Kind = "overloaded"
	DeadlineExceeded   Kind = "deadline_exceeded"
	OutcomeUnknown     Kind = "outcome_unknown"
	BackendFailed      Kind = "backend_failed"
	TruncatedAnswer    Kind = "truncated_answer"
	RequestCrashes     Kind = "request_crashes_servers"
	ConfigInvalid      Kind = "config_invalid"
	StorageFailed      Kind = "storage_failed"
	StorageCorrupt     Kind = "storage_corrupt"
	Canceled           Kind = "canceled"
	FencingTokenTooOld Kind = "fencing_token_too_old"
	StateTooNew        Kind = "state_too_new"
	Internal           Kind = "internal"
)

// kindInfo holds the HTTP status and the exit code of a kind.
type kindInfo struct {
	httpStatus int
	exitCode   int
}

// statusClientClosedRequest is the non-standard status that proxies log when the client closes the connection before
// the response is sent.
const statusClientClosedRequest = 499

// Exit codes of the command line. They are documented, so their values must not change.
const (
	ExitOK             = 0
	ExitInternal       = 1
	ExitUsage          = 2
	ExitNotFound       = 3
	ExitConflict       = 4
	ExitUnavailable    = 5
	ExitDenied         = 6
	ExitOutcomeUnknown = 7
	ExitConfig         = 8
	ExitStorage        = 9
)

var kindInfos = map[Kind]kindInfo{
	InvalidArgument:    {http.StatusBadRequest, ExitUsage},
	Unauthenticated:    {http.StatusUnauthorized, ExitDenied},
	PermissionDenied:   {http.StatusForbidden, ExitDenied},
	NotFound:           {http.StatusNotFound, ExitNotFound},
	Conflict:           {http.StatusConflict, ExitConflict},
	PayloadTooLarge:    {http.StatusRequestEntityTooLarge, ExitUsage},
	KeyExpired:         {http.StatusGone, ExitConflict},
	KeyReused:          {http.StatusUnprocessableEntity, ExitConflict},
	NotLeader:          {http.StatusServiceUnavailable, ExitUnavailable},
	Unavailable:        {http.StatusServiceUnavailable, ExitUnavailable},
	StaleTable:         {http.StatusServiceUnavailable, ExitUnavailable},
	Overloaded:         {http.StatusTooManyRequests, ExitUnavailable},
	DeadlineExceeded:   {http.StatusGatewayTimeout, ExitUnavailable},
	OutcomeUnknown:     {http.StatusBadGateway, ExitOutcomeUnknown},
	BackendFailed:      {http.StatusBadGateway, ExitUnavailable},
	TruncatedAnswer:    {http.StatusBadGateway, ExitUnavailable},
	RequestCrashes:     {http.StatusUnprocessableEntity, ExitConflict},
	ConfigInvalid:      {http.StatusInternalServerError, ExitConfig},
	StorageFailed:      {http.StatusInternalServerError, ExitStorage},
	StorageCorrupt:     {http.StatusInternalServerError, ExitStorage},
	Canceled:           {statusClientClosedRequest, ExitUnavailable},
	FencingTokenTooOld: {http.StatusConflict, ExitConflict},
	StateTooNew:        {http.StatusInternalServerError, ExitStorage},
	Internal:           {http.StatusInternalServerError, ExitInternal},
}

// Error is an error with a kind and a remedy. The remedy is the action that resolves the error, in the imperative.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
}

// Error returns the message, the cause and the remedy, in the form "message: cause; remedy".
func (e *Error) Error() string {
	s := e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k. The remedy may be empty.
func New(k Kind, remedy, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: k, Remedy: remedy, Message: fmt.Sprintf(format, args...)}, 1)
}

// Wrap returns an error of kind k that wraps cause. It returns nil if cause is nil.
func Wrap(cause error, k Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	e := &Error{Kind: k, Remedy: remedy, Message: fmt.Sprintf(format, args...), cause: cause}
	return errors.WithStackDepth(e, 1)
}

// KindOf returns the kind of the outermost typed error in err's chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err has kind k. It is false for a nil error.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// HTTPStatus returns the HTTP status of kind k, or 500 if k is unknown.
func HTTPStatus(k Kind) int {
	if info, ok := kindInfos[k]; ok {
		return info.httpStatus
	}
	return http.StatusInternalServerError
}

// ExitCode returns the exit code of the command line for err. It is ExitOK for a nil error and ExitInternal for an
// unknown kind.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if info, ok := kindInfos[KindOf(err)]; ok {
		return info.exitCode
	}
	return ExitInternal
}
