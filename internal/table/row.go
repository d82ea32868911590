// Package table defines the table of workloads that operators edit: typed rows and columns, validation, differences
// between rows, and CSV import and export.
package table

import (
	"time"

	"filbertledge/internal/api"
)

// Kind is the kind of workload of a row.
type Kind string

// Kinds of workloads.
const (
	KindChat    Kind = "chat"    // completion requests of callers to model engines
	KindRollout Kind = "rollout" // samples generated for a trainer
	KindService Kind = "service" // calls of callers to services without a model
)

// Row configures one workload. Version counts the accepted edits of the row; zero means that the row does not exist.
type Row struct {
	Name    api.RowName `json:"name" cbor:"1,keyasint"`
	Version uint64      `json:"version" cbor:"2,keyasint"`
	Kind    Kind        `json:"kind" cbor:"3,keyasint"`
	Pool    api.Pool    `json:"pool" cbor:"4,keyasint"`
	Model   string      `json:"model,omitempty" cbor:"5,keyasint"`
	// Weights is the range of weight versions that the row may use.
	Weights WeightVersionRange `json:"weights" cbor:"6,keyasint"`
	// MaxStalenessVersions bounds how many versions the oldest weights of a sample may be behind the newest published
	// version. Zero allows only the newest.
	MaxStalenessVersions uint64 `json:"max_staleness_versions" cbor:"7,keyasint"`
	// MaxStalenessTime bounds the time since the oldest weight version of a sample was superseded, that is, since the
	// next version was published. Zero means no bound.
	MaxStalenessTime time.Duration `json:"max_staleness_time" cbor:"8,keyasint"`
	// MaxInFlight bounds the row's concurrent requests on all backend servers of the deployment. Zero means no bound.
	MaxInFlight   int           `json:"max_in_flight" cbor:"9,keyasint"`
	Priority      int           `json:"priority" cbor:"10,keyasint"` // higher is served first within a kind
	NonIdempotent bool          `json:"non_idempotent" cbor:"11,keyasint"`
	Deadline      time.Duration `json:"deadline" cbor:"12,keyasint"`          // default deadline of the row's requests
	Scoring       string        `json:"scoring,omitempty" cbor:"13,keyasint"` // URL of the scoring service
	// RefusalBudget is the number of minutes with refused requests in a day above which an alarm is raised.
	RefusalBudget int    `json:"refusal_budget" cbor:"14,keyasint"`
	TokenSHA256   string `json:"token_sha256" cbor:"15,keyasint"` // lower-case hexadecimal
	Deleted       bool   `json:"deleted,omitempty" cbor:"16,keyasint"`
}

// WeightVersionRange is the range of weight versions that a row may use. The zero value allows every version.
type WeightVersionRange struct {
	Min api.WeightVersion `json:"min,omitempty" cbor:"1,keyasint"`
	Max api.WeightVersion `json:"max,omitempty" cbor:"2,keyasint"` // zero means no upper bound
}

// Allows reports whether v is within the range.
func (w WeightVersionRange) Allows(v api.WeightVersion) bool {
	return v >= w.Min && (w.Max == 0 || v <= w.Max)
}

// Snapshot is an immutable copy of the table. Its version is the Raft log index of the last edit that it contains.
type Snapshot struct {
	version uint64
	rows    map[api.RowName]Row
}

// NewSnapshot returns a snapshot that takes ownership of rows.
func NewSnapshot(version uint64, rows map[api.RowName]Row) *Snapshot {
	return &Snapshot{version: version, rows: rows}
}

// Version returns the version of the table, which increases with each accepted edit.
func (s *Snapshot) Version() uint64 { return s.version }

// Row returns the row with the given name. Deleted rows are reported as missing.
func (s *Snapshot) Row(name api.RowName) (Row, bool) {
	r, ok := s.rows[name]
	return r, ok && !r.Deleted
}

// Rows calls f for each row that is not deleted, in no particular order.
func (s *Snapshot) Rows(f func(Row)) {
	for _, r := range s.rows {
		if !r.Deleted {
			f(r)
		}
	}
}
