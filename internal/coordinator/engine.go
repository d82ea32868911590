// Package coordinator runs the VMs that hold the replicated state. The one that leads accepts batches, runs their
// items on the engines, brings new weights to them, and tells the other VMs the configuration and the servers.
package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
)

// Generation is one run of an item at an engine.
type Generation struct {
	ID      string // attempt id that the engine echoes
	Host    string
	Path    string
	Headers []rollout.Header
	Body    []byte
	// After is the number of the last event that is already there; zero starts from the beginning.
	After int
	// TimeLeft is how long the result is worth waiting for.
	TimeLeft time.Duration
}

// Event is one piece of a generation.
type Event struct {
	Number  int
	Data    []byte
	Version uint64 // of the weights that produced it
}

// Stream is a running generation. Close before its end cancels the work.
type Stream interface {
	// Version returns the version of the weights that the engine started with, zero if it did not tell.
	Version() uint64
	// Next returns the next event, or io.EOF after a complete stream.
	Next() (Event, error)
	Close()
}

// Refusal is why an engine did not run a generation to its end.
type Refusal int

// Refusals of an engine.
const (
	// Broken: the connection failed or the answer was malformed. The generation may have run.
	Broken Refusal = iota
	// Unreachable: no byte was sent.
	Unreachable
	// Busy: the engine did not run the generation.
	Busy
	// Replaced: another server has the address.
	Replaced
	// Failed: the engine ran the generation and failed.
	Failed
	// Impossible: no engine can ever run it.
	Impossible
)

// RunError is the error of a generation.
type RunError struct {
	Refusal Refusal
	Err     error
}

// Error returns the cause's message.
func (e *RunError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// Report is what an engine says of itself.
type Report struct {
	Models []fleet.Model
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
	Holder string
	Token  uint64
	// Expected is the sequence that the engine must have; an order that is carried out late no longer holds then.
	Expected uint64
	// FinishFirst lets running generations finish under their version.
	FinishFirst bool
}

// OrderResult is the answer to an order.
type OrderResult int

// Results of an order.
const (
	OrderTaken OrderResult = iota
	OrderHolds
	OrderConflict
	OrderFenced
	OrderRefused
)

// Engines reaches the engines.
type Engines interface {
	// Start begins a generation. The error is a *RunError.
	Start(ctx context.Context, server fleet.Server, g Generation) (Stream, error)
	Report(ctx context.Context, server fleet.Server) (Report, error)
	// Load sends an order. After an error the order may still be carried out, at any later time.
	Load(ctx context.Context, server fleet.Server, o LoadOrder) (OrderResult, error)
}
