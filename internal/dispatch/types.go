// Package dispatch queues requests and runs them on backend servers. Package policy makes the scheduling decisions,
// package backend sends the requests. Customers' requests and trainers' rollouts share the dispatcher of a VM.
package dispatch

import (
	"context"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// Rollout describes one member of a group that is to be generated.
type Rollout struct {
	Row  table.Row
	Body []byte // OpenAI chat completion request as JSON, without the field "stream"
	// MinVersion is the oldest weight version that the row's staleness limit allows.
	MinVersion api.WeightVersion
	// Seed is the random seed for sampling. It differs between the members of a group.
	Seed uint64
	// ExcludedServers must not run the rollout, for example because they already run another attempt of this member.
	ExcludedServers []api.ServerID
}

// RolloutResult is the complete result of a rollout.
type RolloutResult struct {
	Text      string
	Tokens    int
	Labels    []api.PieceLabel // as the engine reported them, in the order of the text
	Server    api.ServerID
	QueuedFor time.Duration
	RanFor    time.Duration
}

// Generator generates rollouts. Generate blocks until the result is complete or ctx ends. Canceling ctx also cancels
// the request on the engine.
type Generator interface {
	Generate(ctx context.Context, r Rollout) (RolloutResult, error)
}
