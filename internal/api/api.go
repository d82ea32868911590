// Package api holds the identifiers and typed messages that several packages share. It has no logic.
package api

import "time"

// VMID names one VM of the system, from its settings.
type VMID string

// FailureDomain names a set of VMs and backend servers that can fail or be cut off together.
type FailureDomain string

// ServerID names a backend server. The server chooses it; it must be unique in the deployment.
type ServerID string

// RowName names a row of the table, which is a workload.
type RowName string

// Pool names a set of interchangeable backend servers, such as drafter-llm.
type Pool string

// WeightVersion numbers the published weights of a model. Zero means that no weights are known.
type WeightVersion uint64

// Fencing tells whether a backend server refuses orders with an old fencing token.
type Fencing string

// Fencing modes that a backend server announces.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// ServerState is what a backend server announces about itself.
type ServerState string

// States of a backend server. Leaving is final for an incarnation.
const (
	ServerServing ServerState = "serving"
	ServerLeaving ServerState = "leaving"
)

// Load is a load report of a backend server. It describes the past: the server measured it at an
// unknown earlier time.
type Load struct {
	Running         int     `json:"running" cbor:"1,keyasint"`
	Waiting         int     `json:"waiting" cbor:"2,keyasint"`
	TokensPerSecond float64 `json:"tokens_per_second" cbor:"3,keyasint"`
}

// Announcement is the body of POST /backend/v1/announce. A backend server sends one every second to an
// entry VM of its choice, and one at once when its state changes. Source: the backend server.
type Announcement struct {
	ID          ServerID        `json:"id" cbor:"1,keyasint"`
	Incarnation uint64          `json:"incarnation" cbor:"2,keyasint"` // grows at each start of the server
	Sequence    uint64          `json:"sequence" cbor:"3,keyasint"`    // grows at each announcement of an incarnation
	Address     string          `json:"address" cbor:"4,keyasint"`     // IP:port of its HTTP server
	Domain      FailureDomain   `json:"failure_domain" cbor:"5,keyasint"`
	Pool        Pool            `json:"pool" cbor:"6,keyasint"`
	Engine      bool            `json:"engine" cbor:"7,keyasint"` // false for a plain service
	Model       string          `json:"model,omitempty" cbor:"8,keyasint"`
	Current     WeightVersion   `json:"current_version,omitempty" cbor:"9,keyasint"`  // version that new requests use
	Loaded      []WeightVersion `json:"loaded_versions,omitempty" cbor:"10,keyasint"` // versions in memory
	Capacity    int             `json:"capacity" cbor:"11,keyasint"`                  // concurrent requests
	Load        Load            `json:"load" cbor:"12,keyasint"`
	State       ServerState     `json:"state" cbor:"13,keyasint"`
	Fencing     Fencing         `json:"fencing,omitempty" cbor:"14,keyasint"`
	CacheEvents []CacheEvent    `json:"cache_events,omitempty" cbor:"15,keyasint"`
}

// CacheEvent tells that a prefix entered or left a server's prefix cache. Events arrive late and with gaps;
// Sequence shows the gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence" cbor:"1,keyasint"`
	Prefix   string `json:"prefix" cbor:"2,keyasint"` // hash of the prefix
	Removed  bool   `json:"removed,omitempty" cbor:"3,keyasint"`
}

// PieceLabel tells which weights produced a piece of an answer. Source: the engine's own report for that
// piece, never the version that was ordered.
type PieceLabel struct {
	Version WeightVersion `json:"version" cbor:"1,keyasint"`
	Tokens  int           `json:"tokens" cbor:"2,keyasint"` // tokens of this piece; zero for reused KV cache
	Cached  bool          `json:"cached,omitempty" cbor:"3,keyasint"`
}

// VM describes an entry VM as the control leader sees it.
type VM struct {
	ID            VMID          `json:"id" cbor:"1,keyasint"`
	Incarnation   uint64        `json:"incarnation" cbor:"2,keyasint"`
	Domain        FailureDomain `json:"failure_domain" cbor:"3,keyasint"`
	Address       string        `json:"address" cbor:"4,keyasint"` // IP:port of its QUIC endpoint
	HTTPAddress   string        `json:"http_address" cbor:"5,keyasint"`
	TableVersion  uint64        `json:"table_version" cbor:"6,keyasint"`
	SinceLastSeen time.Duration `json:"last_seen" cbor:"7,keyasint"` // age at the time of the report
}

// Headers of the HTTP API towards callers and backend servers.
const (
	HeaderRow            = "Filbertledge-Row"
	HeaderRequestID      = "Filbertledge-Request-Id"
	HeaderDeadline       = "Filbertledge-Deadline" // milliseconds from arrival
	HeaderNonIdempotent  = "Filbertledge-Non-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Filbertledge-Outcome"
	HeaderAttempt        = "Filbertledge-Attempt"
	HeaderError          = "Filbertledge-Error"
	HeaderWeights        = "Filbertledge-Weights"
	// HeaderAttemptID goes to backend servers; engines echo it in each piece and services in the response.
	HeaderAttemptID = "Filbertledge-Attempt-Id"
)

// Outcome tells a caller what happened to its request.
type Outcome string

// Outcomes. NotRun is stated only when it is certain for every attempt under the idempotency key.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)
