// Package transport carries requests and one-way messages over QUIC with mutual TLS, between the processes of the
// system and from operators to these processes.
//
// A request is one bidirectional stream: the client writes a request envelope and closes its side, then the server runs
// the handler and writes a response envelope. A handler runs only after the end of the request has arrived, so a
// request whose stream was not closed by the client did not run. A one-way message is sent as a datagram if it fits
// into one, and otherwise on a unidirectional stream.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/errs"
)

// MaxMessage is the largest body of a request, a response or a one-way message, in bytes.
const MaxMessage = 8 << 20

// maxEnvelope is the maximum number of bytes that are read from one stream. Beyond the body, it leaves room for the
// method, the timeout and the CBOR overhead.
const maxEnvelope = MaxMessage + 1024

// Decode limits. They bound the memory and the stack depth that decoding a malformed message can take.
const (
	maxNesting  = 24
	maxElements = 1 << 18
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// What callers and servers send, such as the values of their headers, may hold any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, errs.Wrap(err, errs.Internal, "", "cannot encode %T", v)
}

// Unmarshal decodes CBOR. It rejects indefinite lengths, tags and duplicate keys, and limits nesting and element
// counts. Unknown fields are ignored, so that VMs of different versions can communicate during an upgrade.
func Unmarshal(data []byte, v any) error {
	err := decoder.Unmarshal(data, v)
	return errs.Wrap(err, errs.InvalidArgument, "use the same version of filbertledge on both sides", "cannot decode %T", v)
}

// requestEnvelope is the wire format of a request and of a one-way message.
type requestEnvelope struct {
	_       struct{}      `cbor:",toarray"`
	Method  string        // such as control.do
	Timeout time.Duration // time left until the caller's deadline; zero means that there is no deadline
	Body    []byte
}

// responseEnvelope is the wire format of a response. Error is nil on success.
type responseEnvelope struct {
	_     struct{} `cbor:",toarray"`
	Error *wireError
	Body  []byte
}

// wireError is the wire format of an error. It preserves the error's kind, message and remedy.
type wireError struct {
	_       struct{} `cbor:",toarray"`
	Kind    errs.Kind
	Message string
	Remedy  string
}

// maxErrorText is the maximum length of an error's message and of its remedy on the wire, in bytes.
const maxErrorText = 16 << 10

func toWireError(err error) *wireError {
	var typed *errs.Error
	switch {
	case errors.As(err, &typed):
		message := typed.Message
		if cause := typed.Unwrap(); cause != nil {
			message = fmt.Sprintf("%s: %v", message, cause)
		}
		return &wireError{Kind: typed.Kind, Message: truncate(message), Remedy: truncate(typed.Remedy)}
	case errors.Is(err, context.DeadlineExceeded):
		return &wireError{Kind: errs.DeadlineExceeded, Message: "the deadline passed in the handler", Remedy: "retry with more time"}
	case errors.Is(err, context.Canceled):
		return &wireError{Kind: errs.Canceled, Message: "the request was canceled"}
	}
	return &wireError{Kind: errs.Internal, Message: truncate(err.Error())}
}

func truncate(s string) string {
	if len(s) <= maxErrorText {
		return s
	}
	return s[:maxErrorText]
}

func (w *wireError) toError() error { return errs.New(w.Kind, w.Remedy, "%s", w.Message) }

func tooLargeError(what string, size int) error {
	return errs.New(errs.PayloadTooLarge, "split it into smaller messages", "%s of %d bytes exceeds the limit of %d bytes", what, size, MaxMessage)
}

var errEnvelopeTooLarge = errors.New("message exceeds the transport's size limit")

// readEnvelope reads a stream to its end. It stops at maxEnvelope bytes, regardless of how much the peer sends.
func readEnvelope(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxEnvelope+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxEnvelope {
		return nil, errEnvelopeTooLarge
	}
	return data, nil
}
