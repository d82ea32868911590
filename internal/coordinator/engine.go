// Package coordinator runs the VMs that hold the replicated state. The one that leads accepts batches, runs their
// items on the engines, brings new weights to them, and tells the other VMs the configuration and the servers.
package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
)

// GenerationRequest is one run of an item at an engine.
type GenerationRequest struct {
	ID      string // attempt id that the engine echoes
	Host    string
	Path    string
	Headers []rollout.Header
	Body    []byte
	// AfterEvent is the number of the last event that is already there; zero starts from the beginning.
	AfterEvent int
	// TimeLeft is how long the result is worth waiting for.
	TimeLeft time.Duration
}

// StreamEvent is one piece of a generation.
type StreamEvent struct {
	Number  int
	Data    []byte
	Version uint64 // of the weights that produced it
}

// Stream is a running generation. Close before its end cancels the work.
type Stream interface {
	// Version returns the version of the weights that the engine started with, zero if it did not tell.
	Version() uint64
	// Next returns the next event, or io.EOF after a complete stream.
	Next() (StreamEvent, error)
	Close()
}

// FailureKind is why an engine did not run a generation to its end.
type FailureKind int

// Refusals of an engine.
const (
	// StreamBroken: the connection failed or the answer was malformed. The generation may have run.
	StreamBroken FailureKind = iota
	// EngineUnreachable: no byte was sent.
	EngineUnreachable
	// EngineBusy: the engine did not run the generation.
	EngineBusy
	// ServerReplaced: another server has the address.
	ServerReplaced
	// GenerationFailed: the engine ran the generation and failed.
	GenerationFailed
	// RequestUnprocessable: no engine can ever run it.
	RequestUnprocessable
)

// RunError is the error of a generation.
type RunError struct {
	Kind FailureKind
	Err  error
}

// Error returns the cause's message.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Models []fleet.LoadedModel
	// Loading is true while an order is being carried out.
	Loading bool
	// Sequence is the number of orders that the engine has accepted since its start.
	Sequence uint64
}

// LoadOrder asks an engine to change the version of a model.
type LoadOrder struct {
	Model   string
	Version uint64
	// Holder and Token fence off orders of an earlier leader.
	Holder       string
	FencingToken uint64
	// ExpectedSequence is the sequence that the engine must have; an order that is carried out late no longer holds then.
	ExpectedSequence uint64
	// DrainFirst lets running generations finish under their version.
	DrainFirst bool
}

// OrderResult is the answer to an order.
type OrderResult int

// Results of an order.
const (
	OrderAccepted OrderResult = iota
	OrderAlreadyLoaded
	OrderConflict
	OrderFenced
	OrderRefused
)

// EngineClient reaches the engines.
type EngineClient interface {
	// Start begins a generation. The error is a *RunError.
	Start(ctx context.Context, server fleet.Server, g GenerationRequest) (Stream, error)
	Report(ctx context.Context, server fleet.Server) (EngineReport, error)
	// Load sends an order. After an error the order may still be carried out, at any later time.
	Load(ctx context.Context, server fleet.Server, o LoadOrder) (OrderResult, error)
}
