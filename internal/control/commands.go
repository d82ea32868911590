// Package control is the replicated control state of filbertledge: the table, the records of edits and of
// non-idempotent calls, the sample ledger, the published weights and the fencing tokens of orders.
package control

import (
	"context"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// Command is one entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	// ProposedAt is the proposing leader's wall clock. The state machine's time is the maximum of all ProposedAt so far.
	ProposedAt     time.Time       `cbor:"1,keyasint"`
	EditRow        *EditRow        `cbor:"2,keyasint,omitempty"`
	BeginCall      *BeginCall      `cbor:"3,keyasint,omitempty"`
	FinishCall     *FinishCall     `cbor:"4,keyasint,omitempty"`
	OpenStep       *OpenStep       `cbor:"5,keyasint,omitempty"`
	SubmitGroups   *SubmitGroups   `cbor:"6,keyasint,omitempty"`
	ClaimGroups    *ClaimGroups    `cbor:"7,keyasint,omitempty"`
	FinishSample   *FinishSample   `cbor:"8,keyasint,omitempty"`
	ResetSample    *ResetSample    `cbor:"9,keyasint,omitempty"`
	Acknowledge    *Acknowledge    `cbor:"10,keyasint,omitempty"`
	PublishWeights *PublishWeights `cbor:"11,keyasint,omitempty"`
	// VMLost marks the open calls of a VM incarnation unknown and releases its groups.
	VMLost *VMLost `cbor:"12,keyasint,omitempty"`
	// IssueFencingToken takes a fencing token for the orders of one leader term.
	IssueFencingToken *IssueFencingToken `cbor:"13,keyasint,omitempty"`
	// SetShares divides the limits of rows between the VMs. ReleaseShares frees those of one VM.
	SetShares     *SetShares     `cbor:"20,keyasint,omitempty"`
	ReleaseShares *ReleaseShares `cbor:"21,keyasint,omitempty"`
}

// Result is the answer of the state machine to a command. Error is empty on success.
type Result struct {
	Index           uint64            `cbor:"1,keyasint"`
	ErrorKind       string            `cbor:"2,keyasint,omitempty"` // an errs.Kind
	Error           string            `cbor:"3,keyasint,omitempty"`
	Remedy          string            `cbor:"4,keyasint,omitempty"`
	Row             *table.Row        `cbor:"5,keyasint,omitempty"` // EditRow: the row as it now is, also on conflict
	Call            *CallRecord       `cbor:"6,keyasint,omitempty"`
	Groups          []Group           `cbor:"7,keyasint,omitempty"`  // ClaimGroups: the groups now owned by the VM
	Count           int               `cbor:"8,keyasint,omitempty"`  // SubmitGroups, Acknowledge: items accepted; ClaimGroups: groups that had no owner
	Accepted        bool              `cbor:"9,keyasint,omitempty"`  // FinishSample: this attempt is the one kept
	FencingToken    uint64            `cbor:"10,keyasint,omitempty"` // BeginOrders: the fencing token
	NewestWeights   api.WeightVersion `cbor:"11,keyasint,omitempty"` // newest version of the model after PublishWeights
	Replayed        bool              `cbor:"12,keyasint,omitempty"` // EditRow: the edit was applied before; this is its first result
	Revision        uint64            `cbor:"13,keyasint,omitempty"` // ClaimGroups: value of Since for the next ClaimGroups
	ReleasedSamples []SampleView      `cbor:"14,keyasint,omitempty"` // Acknowledge: samples whose holders may drop the bodies
}

// EditRow replaces one row if its version still equals ExpectedVersion. EditID is a UUID version 7; a resend
// with the same EditID returns the first result and changes nothing.
type EditRow struct {
	EditID          uuid.UUID `cbor:"1,keyasint"`
	ExpectedVersion uint64    `cbor:"2,keyasint"`
	Row             table.Row `cbor:"3,keyasint"`
	Operator        string    `cbor:"4,keyasint"`
	DryRun          bool      `cbor:"5,keyasint,omitempty"`
}

// CallState is the state of a non-idempotent call.
type CallState string

// States of a call record. A call that was certainly not run frees its key again.
const (
	CallGranted    CallState = "granted"     // to the caller of BeginCall, which may now dispatch
	CallInProgress CallState = "in_progress" // another attempt holds the key
	CallFinished   CallState = "finished"
	CallUnknown    CallState = "unknown"
	CallNotRun     CallState = "not_run"
)

// BeginCall records the intent to dispatch a non-idempotent call. Key is a UUID version 7 from the caller.
type BeginCall struct {
	Key         uuid.UUID   `cbor:"1,keyasint"`
	Row         api.RowName `cbor:"2,keyasint"`
	Digest      uint64      `cbor:"3,keyasint"` // of method, path and body
	Attempt     uuid.UUID   `cbor:"4,keyasint"`
	VM          api.VMID    `cbor:"5,keyasint"`
	Incarnation uint64      `cbor:"6,keyasint"`
}

// FinishCall stores the outcome of the attempt that was granted the key. State is CallFinished, CallUnknown
// or CallNotRun.
type FinishCall struct {
	Key     uuid.UUID     `cbor:"1,keyasint"`
	Row     api.RowName   `cbor:"2,keyasint"`
	Attempt uuid.UUID     `cbor:"3,keyasint"`
	State   CallState     `cbor:"4,keyasint"`
	Answer  *CallResponse `cbor:"5,keyasint,omitempty"`
}

// CallResponse is the stored first answer of a call. Body is at most 256 KiB. A finished call has no answer if
// FinishCall brought none or if the total of all stored answers passed its limit.
type CallResponse struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// CallRecord is the replicated record of a call.
type CallRecord struct {
	State       CallState     `cbor:"1,keyasint"`
	Digest      uint64        `cbor:"2,keyasint"`
	Attempt     uuid.UUID     `cbor:"3,keyasint"`
	VM          api.VMID      `cbor:"4,keyasint"`
	Incarnation uint64        `cbor:"5,keyasint"`
	Answer      *CallResponse `cbor:"6,keyasint,omitempty"`
	// Contested tells that another attempt waits for the key, and may run once this one gives it back.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// StepID names a trainer step.
type StepID struct {
	Row  api.RowName `cbor:"1,keyasint" json:"row"`
	Step uint64      `cbor:"2,keyasint" json:"step"`
}

// OpenStep opens a step. Resending it with equal content changes nothing.
type OpenStep struct {
	ID        StepID        `cbor:"1,keyasint"`
	Deadline  time.Duration `cbor:"2,keyasint"` // from the state machine's time
	Groups    int           `cbor:"3,keyasint"`
	GroupSize int           `cbor:"4,keyasint"`
}

// Group is a set of samples of one prompt that is delivered whole or not at all. Prompt is at most 64 KiB.
type Group struct {
	ID     string `cbor:"1,keyasint"`
	Step   StepID `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
	Prompt []byte `cbor:"4,keyasint"` // OpenAI chat completion request as JSON, without stream
	// Pending lists the members that have no finished sample; set in results only.
	Pending []PendingMember `cbor:"5,keyasint,omitempty"`
	// Deadline is that of the step, in the time of the control leader; set in results only.
	Deadline time.Time `cbor:"6,keyasint,omitzero"`
}

// PendingMember is a member of a group that must be produced; Attempt is the number to produce it under.
type PendingMember struct {
	Member  int    `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}

// SubmitGroups adds groups to an open step and gives them to VM. Known group ids are skipped. Result.Groups
// lists, without prompts, the submitted groups that VM now owns, also those of an earlier copy of the command.
type SubmitGroups struct {
	Step        StepID   `cbor:"1,keyasint"`
	Groups      []Group  `cbor:"2,keyasint"`
	VM          api.VMID `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"`
	// Owners, if set, get the groups in turn, in place of VM. They hear of them through ClaimGroups.
	Owners []GroupOwner `cbor:"5,keyasint,omitempty"`
}

// GroupOwner names one incarnation of a VM.
type GroupOwner struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// ClaimGroups gives at most Max groups without a live owner to VM. Its result also holds the groups that VM
// owns already and that got members to produce after revision Since, oldest first. Result.Revision is the Since
// of the next ClaimGroups; a VM that resends the old Since after a lost answer misses nothing.
type ClaimGroups struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Max         int      `cbor:"3,keyasint"`
	Since       uint64   `cbor:"4,keyasint,omitempty"`
}

// SampleID names a sample over all its attempts.
type SampleID struct {
	Step   StepID `cbor:"1,keyasint" json:"step"`
	Group  string `cbor:"2,keyasint" json:"group"`
	Member int    `cbor:"3,keyasint" json:"member"`
}

// FinishSample records that VM holds the body of a finished attempt. The first finished attempt wins.
type FinishSample struct {
	ID          SampleID            `cbor:"1,keyasint"`
	Attempt     uint64              `cbor:"2,keyasint"`
	VM          api.VMID            `cbor:"3,keyasint"`
	Incarnation uint64              `cbor:"4,keyasint"`
	Digest      uint64              `cbor:"5,keyasint"`
	Versions    []api.WeightVersion `cbor:"6,keyasint"` // ascending, without repeats
}

// ResetSample makes a finished sample pending again under a higher attempt, because its body is lost or stale.
type ResetSample struct {
	ID      SampleID `cbor:"1,keyasint"`
	Attempt uint64   `cbor:"2,keyasint"`
	Reason  string   `cbor:"3,keyasint"`
}

// Acknowledge consumes samples. The first acknowledged attempt of a sample wins; a resend changes nothing.
type Acknowledge struct {
	Step    StepID      `cbor:"1,keyasint"`
	Samples []SampleAck `cbor:"2,keyasint"`
}

// SampleAck names one delivered attempt.
type SampleAck struct {
	ID      SampleID `cbor:"1,keyasint"`
	Attempt uint64   `cbor:"2,keyasint"`
}

// PublishWeights announces a new weight version of a model. Versions only grow; a lower one changes nothing.
type PublishWeights struct {
	Model   string            `cbor:"1,keyasint"`
	Version api.WeightVersion `cbor:"2,keyasint"`
}

// VMLost declares one incarnation of an entry VM lost.
type VMLost struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// IssueFencingToken takes a new fencing token, higher than all before.
type IssueFencingToken struct {
	Replica uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
}

// ModelWeights is what the control state knows of the weights of a model. Published[i] is the time at which
// version Newest-len(Published)+1+i was published; at most 64 are kept.
type ModelWeights struct {
	Newest       api.WeightVersion `cbor:"1,keyasint"`
	PublishTimes []time.Time       `cbor:"2,keyasint"`
}

// Client is the view that an entry VM has of the control state.
type Client interface {
	// Do applies a command through the control leader. Errors of kind errs.OutcomeUnknown leave open whether
	// it was applied; every command may be resent.
	Do(ctx context.Context, cmd Command) (Result, error)
	// Table returns the newest confirmed table. It never blocks and never goes back to an older version.
	Table() *table.Snapshot
	// TableLeaseValid reports whether the table lease is valid.
	TableLeaseValid() bool
	// Weights returns what is known of the weights of a model.
	Weights(model string) ModelWeights
	// VMs returns the known entry VMs, this one included.
	VMs() []api.VM
	// Step returns the replicated state of a step at an index at or after the call.
	Step(ctx context.Context, id StepID) (StepView, error)
}

// StepView is a copy of a step in the sample ledger.
type StepView struct {
	ID       StepID       `cbor:"1,keyasint"`
	Open     bool         `cbor:"2,keyasint"`
	Groups   int          `cbor:"3,keyasint"` // announced by OpenStep
	Size     int          `cbor:"4,keyasint"`
	Finished []SampleView `cbor:"5,keyasint"` // samples of whole groups that are not acknowledged
	Acked    int          `cbor:"6,keyasint"`
	Pending  int          `cbor:"7,keyasint"` // submitted members without a finished sample
	// Deadline is in the time of the control leader. Open is false once it has passed.
	Deadline  time.Time `cbor:"8,keyasint"`
	Submitted int       `cbor:"9,keyasint"` // groups submitted so far
}

// SampleView tells which VM holds the body of a finished sample.
type SampleView struct {
	ID          SampleID            `cbor:"1,keyasint"`
	Attempt     uint64              `cbor:"2,keyasint"`
	VM          api.VMID            `cbor:"3,keyasint"`
	Incarnation uint64              `cbor:"4,keyasint"`
	Digest      uint64              `cbor:"5,keyasint"`
	Versions    []api.WeightVersion `cbor:"6,keyasint"`
}
