// Package api defines the identifiers, message types and HTTP header names that several packages share. It contains no
// logic.
package api

import "time"

// VMID identifies a VM. It is the name that the settings of the VM give it.
type VMID string

// FailureDomain identifies a set of VMs and backend servers that can fail or lose connectivity together.
type FailureDomain string

// ServerID identifies a backend server. The server chooses its ID, which must be unique in the deployment.
type ServerID string

// RowName is the name of a row of the table that operators edit. A row describes one workload.
type RowName string

// Pool is the name of a set of interchangeable backend servers, such as drafter-llm.
type Pool string

// WeightVersion is the version number of the published weights of a model. Zero means that no version is known.
type WeightVersion uint64

// Fencing states whether a backend server rejects orders that carry an outdated fencing token.
type Fencing string

// Values of Fencing: the server checks the tokens or ignores them.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// ServerState is the state that a backend server announces for itself.
type ServerState string

// States of a backend server. An incarnation that announced ServerLeaving does not return to ServerServing.
const (
	ServerServing ServerState = "serving"
	ServerLeaving ServerState = "leaving"
)

// Load is the load that a backend server reports. It may be outdated: the server measured it at an unknown earlier
// time.
type Load struct {
	Running         int     `json:"running" cbor:"1,keyasint"`
	Waiting         int     `json:"waiting" cbor:"2,keyasint"`
	TokensPerSecond float64 `json:"tokens_per_second" cbor:"3,keyasint"`
}

// Announcement is the body of POST /backend/v1/announce. A backend server sends one every second to an entry VM of its
// choice, and another one immediately when its state changes. All fields are the server's own statements.
type Announcement struct {
	ID          ServerID        `json:"id" cbor:"1,keyasint"`
	Incarnation uint64          `json:"incarnation" cbor:"2,keyasint"` // grows with each start of the server
	Sequence    uint64          `json:"sequence" cbor:"3,keyasint"`    // grows with each announcement of an incarnation
	Address     string          `json:"address" cbor:"4,keyasint"`     // IP:port of its HTTP server
	Domain      FailureDomain   `json:"failure_domain" cbor:"5,keyasint"`
	Pool        Pool            `json:"pool" cbor:"6,keyasint"`
	Engine      bool            `json:"engine" cbor:"7,keyasint"` // false for a service that is no engine
	Model       string          `json:"model,omitempty" cbor:"8,keyasint"`
	Current     WeightVersion   `json:"current_version,omitempty" cbor:"9,keyasint"`  // weights that new requests use
	Loaded      []WeightVersion `json:"loaded_versions,omitempty" cbor:"10,keyasint"` // all weights in memory
	Capacity    int             `json:"capacity" cbor:"11,keyasint"`                  // concurrent request limit
	Load        Load            `json:"load" cbor:"12,keyasint"`
	State       ServerState     `json:"state" cbor:"13,keyasint"`
	Fencing     Fencing         `json:"fencing,omitempty" cbor:"14,keyasint"`
	CacheEvents []CacheEvent    `json:"cache_events,omitempty" cbor:"15,keyasint"`
}

// CacheEvent reports that a prompt prefix was added to or removed from a server's prefix cache. Events can arrive late
// or be lost; gaps in Sequence show the lost ones.
type CacheEvent struct {
	Sequence uint64 `json:"sequence" cbor:"1,keyasint"`
	Prefix   string `json:"prefix" cbor:"2,keyasint"` // hash of the prefix
	Removed  bool   `json:"removed,omitempty" cbor:"3,keyasint"`
}

// PieceLabel states which weights produced one piece of an answer. Version is the one that the engine reports for that
// piece, never the one that it was ordered to use.
type PieceLabel struct {
	Version WeightVersion `json:"version" cbor:"1,keyasint"`
	Tokens  int           `json:"tokens" cbor:"2,keyasint"` // tokens of this piece; zero for reused KV cache
	Cached  bool          `json:"cached,omitempty" cbor:"3,keyasint"`
}

// VM describes an entry VM, as known to the leader of the control replicas.
type VM struct {
	ID            VMID          `json:"id" cbor:"1,keyasint"`
	Incarnation   uint64        `json:"incarnation" cbor:"2,keyasint"`
	Domain        FailureDomain `json:"failure_domain" cbor:"3,keyasint"`
	Address       string        `json:"address" cbor:"4,keyasint"` // IP:port of its QUIC endpoint
	HTTPAddress   string        `json:"http_address" cbor:"5,keyasint"`
	TableVersion  uint64        `json:"table_version" cbor:"6,keyasint"`
	SinceLastSeen time.Duration `json:"last_seen" cbor:"7,keyasint"` // measured when the report was made
}

// Headers of the HTTP APIs for callers and backend servers.
const (
	HeaderRow            = "Filbertledge-Row"
	HeaderRequestID      = "Filbertledge-Request-Id"
	HeaderDeadline       = "Filbertledge-Deadline" // milliseconds from the arrival of the request
	HeaderNonIdempotent  = "Filbertledge-Non-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Filbertledge-Outcome"
	HeaderAttempt        = "Filbertledge-Attempt"
	HeaderError          = "Filbertledge-Error"
	HeaderWeights        = "Filbertledge-Weights"
	// HeaderAttemptID is sent to backend servers. Engines return it in each piece, other services in the response.
	HeaderAttemptID = "Filbertledge-Attempt-Id"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Values of Outcome. HeaderOutcome is OutcomeNotRun only if it is certain that no attempt with the same idempotency key
// has run or will run. In HeaderAttempt, OutcomeNotRun refers to the attempt of this request alone.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)
