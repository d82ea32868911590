// Package dispatch runs work on backend servers: it joins the decisions of package policy with the client of
// package backend. Customer requests and rollouts go through the same dispatcher of a VM.
package dispatch

import (
	"context"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// Rollout is one member of a group to generate.
type Rollout struct {
	Row  table.Row
	Body []byte // OpenAI chat completion request as JSON, without stream
	// MinVersion is the oldest weight version that the row's staleness bound admits at dispatch.
	MinVersion api.WeightVersion
	// Seed selects the member's random numbers, so that members of a group differ.
	Seed uint64
	// Duplicate asks for a server other than those that already run this member.
	ExcludedServers []api.ServerID
}

// RolloutResult is the whole answer to a rollout.
type RolloutResult struct {
	Text      string
	Tokens    int
	Labels    []api.PieceLabel // in the order of the text, as the engine reported them
	Server    api.ServerID
	QueuedFor time.Duration
	RanFor    time.Duration
}

// Generator produces rollouts. It blocks until the whole answer is there or ctx ends; cancelling ctx cancels
// the work on the engine.
type Generator interface {
	Generate(ctx context.Context, r Rollout) (RolloutResult, error)
}
