// Package coordinator runs on the VMs that hold the replicated state. The leader accepts batches, runs their items on
// the engines, makes the engines load new weights, and sends the configuration and the list of servers to the other
// VMs.
package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
)

// GenerationRequest asks an engine to run an item.
type GenerationRequest struct {
	ID      string // attempt ID, which the engine returns with the output
	Host    string
	Path    string
	Headers []rollout.Header
	Body    rollout.Body
	// AfterEvent is the number of the last output event that already exists. The engine continues after it; zero starts
	// from the beginning.
	AfterEvent int
	// TimeLeft is how long the result remains useful.
	TimeLeft time.Duration
	// Workspace is the workspace of the batch, which the engine is told. WithoutIdentity drops the headers of the item that
	// state a key or a workspace.
	Workspace       string
	WithoutIdentity bool
	// Permitted, if not nil, must be asked immediately before the request is written. If it returns false, the request
	// must not be sent, and Start fails with NotPermitted.
	Permitted func() bool
}

// StreamEvent is one part of the output of a generation.
type StreamEvent struct {
	Number  int
	Data    []byte
	Version uint64 // of the weights that generated it
}

// Stream is the output of a running generation.
type Stream interface {
	// Version returns the version of the weights that the engine started with, zero if the engine did not report it.
	Version() uint64
	// Limit returns what the engine stated about the rate of requests that it accepts.
	Limit() ratelimit.Statement
	// Next returns the next event, or io.EOF after a complete stream.
	Next() (StreamEvent, error)
	// Close cancels the generation if it has not ended.
	Close()
}

// FailureKind tells why an engine did not complete a generation.
type FailureKind int

// Kinds of failures of a generation.
const (
	// StreamBroken means that the connection failed or the response was malformed. The generation may have run.
	StreamBroken FailureKind = iota
	// EngineUnreachable means that no byte was sent.
	EngineUnreachable
	// EngineBusy means that the engine rejected the generation without running it.
	EngineBusy
	// ServerReplaced means that another server has the address.
	ServerReplaced
	// GenerationFailed means that the engine ran the generation and reported a failure.
	GenerationFailed
	// NotPermitted means that nothing was sent because GenerationRequest.Permitted returned false.
	NotPermitted
	// RequestUnprocessable means that no engine can ever run the generation.
	RequestUnprocessable
)

// RunError is the error of a generation that did not complete.
type RunError struct {
	Kind FailureKind
	Err  error
	// Limit is what the engine stated about the rate of requests that it accepts, if it answered.
	Limit ratelimit.Statement
	// ConnectionLost is true if the connection broke after the request was sent.
	ConnectionLost bool
}

// Error returns the message of the cause.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// EngineReport is the weight state that an engine reports.
type EngineReport struct {
	Models []fleet.LoadedModel
	// Loading is true while the engine carries out an order.
	Loading bool
	// Sequence is the number of orders that the engine has accepted since its start.
	Sequence uint64
}

// LoadOrder tells an engine to load a version of a model.
type LoadOrder struct {
	Model   string
	Version uint64
	// Holder and FencingToken identify the leader, so that engines reject orders of a former one.
	Holder       string
	FencingToken uint64
	// ExpectedSequence is the sequence that the engine must have to accept the order. It invalidates an order that
	// arrives after a later one.
	ExpectedSequence uint64
	// DrainFirst makes the engine finish its running generations with their version before it changes the version.
	DrainFirst bool
	// Permitted must be asked immediately before the order is written. If it returns false, the order must not be sent.
	Permitted func() bool
}

// OrderResult is the answer of an engine to an order.
type OrderResult int

// Results of an order.
const (
	OrderAccepted      OrderResult = iota // the engine carries the order out
	OrderAlreadyLoaded                    // the engine has the version already
	OrderConflict                         // the engine's sequence is not the expected one
	OrderFenced                           // the engine has seen a higher fencing token
	OrderRefused                          // the engine rejected the order for another reason
)

// EngineClient sends requests to engines.
type EngineClient interface {
	forward.Prober
	// Start starts a generation. The error is a *RunError.
	Start(ctx context.Context, server fleet.Server, g GenerationRequest) (Stream, error)
	Report(ctx context.Context, server fleet.Server) (EngineReport, error)
	// Load sends an order. After an error, the engine may still carry out the order at any later time.
	Load(ctx context.Context, server fleet.Server, o LoadOrder) (OrderResult, error)
}
