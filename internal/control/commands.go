// Package control implements the replicated control state of filbertledge: the table of rows, the records of edits and
// of non-idempotent calls, the sample ledger, the published weight versions, the fencing tokens for the orders sent to
// backend servers, and the shares of the VMs in the concurrency limits of rows.
package control

import (
	"context"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// Command is one entry of the replicated log. Exactly one of the pointer fields is set.
type Command struct {
	// ProposedAt is the wall clock of the leader that proposed the command. The time of the state machine is the
	// maximum of all ProposedAt values so far.
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
	// VMLost marks the unfinished calls of lost VM incarnations as unknown, releases their groups and makes the
	// finished samples that they hold pending again.
	VMLost *VMLost `cbor:"12,keyasint,omitempty"`
	// IssueFencingToken issues the fencing token for the orders of one leader term.
	IssueFencingToken *IssueFencingToken `cbor:"13,keyasint,omitempty"`
	// SetShares distributes the concurrency limits of rows over the VMs. ReleaseShares frees the shares of one VM.
	SetShares     *SetShares     `cbor:"20,keyasint,omitempty"`
	ReleaseShares *ReleaseShares `cbor:"21,keyasint,omitempty"`
}

// Result is the response of the state machine to a command. Error is empty on success.
type Result struct {
	Index     uint64      `cbor:"1,keyasint"`
	ErrorKind string      `cbor:"2,keyasint,omitempty"` // an errs.Kind
	Error     string      `cbor:"3,keyasint,omitempty"`
	Remedy    string      `cbor:"4,keyasint,omitempty"`
	Row       *table.Row  `cbor:"5,keyasint,omitempty"` // EditRow: the current row, also on conflict
	Call      *CallRecord `cbor:"6,keyasint,omitempty"`
	Groups    []Group     `cbor:"7,keyasint,omitempty"` // SubmitGroups, ClaimGroups: groups now owned by the VM
	// Count is the number of accepted items (SubmitGroups, Acknowledge), of newly assigned groups (ClaimGroups), or of
	// changes (VMLost, SetShares, ReleaseShares).
	Count int `cbor:"8,keyasint,omitempty"`
	// Accepted reports whether the command took effect, for example: BeginCall (the attempt may dispatch the call),
	// OpenStep (the step is new), FinishSample (this attempt counts), ResetSample (the sample is pending again),
	// PublishWeights (the version is new). Not all commands set it.
	Accepted        bool              `cbor:"9,keyasint,omitempty"`
	FencingToken    uint64            `cbor:"10,keyasint,omitempty"` // IssueFencingToken: the new token
	NewestWeights   api.WeightVersion `cbor:"11,keyasint,omitempty"` // PublishWeights: newest version of the model
	Replayed        bool              `cbor:"12,keyasint,omitempty"` // EditRow: result of an earlier submission
	Revision        uint64            `cbor:"13,keyasint,omitempty"` // ClaimGroups: Since of the next claim
	ReleasedSamples []SampleView      `cbor:"14,keyasint,omitempty"` // Acknowledge: bodies may be deleted
}

// EditRow replaces a row if its version still equals ExpectedVersion. EditID is a UUID version 7; resending the
// command with the same EditID returns the first result and changes nothing.
type EditRow struct {
	EditID          uuid.UUID `cbor:"1,keyasint"`
	ExpectedVersion uint64    `cbor:"2,keyasint"`
	Row             table.Row `cbor:"3,keyasint"`
	Operator        string    `cbor:"4,keyasint"`
	DryRun          bool      `cbor:"5,keyasint,omitempty"`
}

// CallState is the state of a non-idempotent call.
type CallState string

// States of a call record. A call that is known not to have run releases its key for another attempt.
const (
	CallGranted    CallState = "granted"     // the attempt that sent BeginCall may dispatch the call
	CallInProgress CallState = "in_progress" // another attempt holds the key
	CallFinished   CallState = "finished"
	CallUnknown    CallState = "unknown"
	CallNotRun     CallState = "not_run"
)

// BeginCall records the intent to dispatch a non-idempotent call. Key is a UUID version 7 chosen by the caller.
type BeginCall struct {
	Key         uuid.UUID   `cbor:"1,keyasint"`
	Row         api.RowName `cbor:"2,keyasint"`
	Digest      uint64      `cbor:"3,keyasint"` // of method, path and body
	Attempt     uuid.UUID   `cbor:"4,keyasint"`
	VM          api.VMID    `cbor:"5,keyasint"`
	Incarnation uint64      `cbor:"6,keyasint"`
}

// FinishCall stores the outcome of the attempt that holds the key. State is CallFinished, CallUnknown or CallNotRun.
type FinishCall struct {
	Key     uuid.UUID     `cbor:"1,keyasint"`
	Row     api.RowName   `cbor:"2,keyasint"`
	Attempt uuid.UUID     `cbor:"3,keyasint"`
	State   CallState     `cbor:"4,keyasint"`
	Answer  *CallResponse `cbor:"5,keyasint,omitempty"`
}

// CallResponse is the stored first response of a call. Body is at most 256 KiB. A finished call has no response if
// FinishCall did not include one or if it was evicted because the stored responses exceeded their total limit.
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
	// Contested reports whether another attempt waits for the key. That attempt may run once this one has released it.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// StepID identifies a trainer step.
type StepID struct {
	Row  api.RowName `cbor:"1,keyasint" json:"row"`
	Step uint64      `cbor:"2,keyasint" json:"step"`
}

// OpenStep opens a step. Resending it with the same content changes nothing.
type OpenStep struct {
	ID        StepID        `cbor:"1,keyasint"`
	Deadline  time.Duration `cbor:"2,keyasint"` // relative to the time of the state machine
	Groups    int           `cbor:"3,keyasint"`
	GroupSize int           `cbor:"4,keyasint"`
}

// Group is a set of samples of one prompt, delivered either whole or not at all. Prompt is at most 64 KiB.
type Group struct {
	ID     string `cbor:"1,keyasint"`
	Step   StepID `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
	Prompt []byte `cbor:"4,keyasint"` // OpenAI chat completion request as JSON, without stream
	// Pending lists the members without a finished sample. It is set in results only.
	Pending []PendingMember `cbor:"5,keyasint,omitempty"`
	// Deadline is the deadline of the step on the wall clock of the control leader. It is set in results only.
	Deadline time.Time `cbor:"6,keyasint,omitzero"`
}

// PendingMember is a member of a group that has yet to be generated. Attempt is the attempt number to use.
type PendingMember struct {
	Member  int    `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}

// SubmitGroups adds groups to an open step and assigns them to VM. Groups whose ids are already known are skipped.
// Result.Groups lists, without prompts, the submitted groups that VM now owns, including those added by an earlier
// copy of the command.
type SubmitGroups struct {
	Step        StepID   `cbor:"1,keyasint"`
	Groups      []Group  `cbor:"2,keyasint"`
	VM          api.VMID `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"`
	// Owners, if set, receive the groups in round-robin order instead of VM. They learn of them through ClaimGroups.
	Owners []GroupOwner `cbor:"5,keyasint,omitempty"`
}

// GroupOwner identifies the VM incarnation that owns a group.
type GroupOwner struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// ClaimGroups assigns at most Max groups without a live owner to VM. The result also contains, oldest first, the
// groups that VM already owns and that were assigned to it or got pending members after revision Since. Pass
// Result.Revision as Since in the next ClaimGroups; a VM that resends the old Since because a response was lost misses
// nothing.
type ClaimGroups struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Max         int      `cbor:"3,keyasint"`
	Since       uint64   `cbor:"4,keyasint,omitempty"`
}

// SampleID identifies a sample across all of its attempts.
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

// ResetSample makes a finished sample pending again with the next attempt number, because its body is lost or stale.
type ResetSample struct {
	ID      SampleID `cbor:"1,keyasint"`
	Attempt uint64   `cbor:"2,keyasint"`
	Reason  string   `cbor:"3,keyasint"`
}

// Acknowledge marks samples as consumed by the trainer. The first acknowledged attempt of a sample wins; a resend
// changes nothing.
type Acknowledge struct {
	Step    StepID      `cbor:"1,keyasint"`
	Samples []SampleAck `cbor:"2,keyasint"`
}

// SampleAck identifies a delivered attempt of a sample.
type SampleAck struct {
	ID      SampleID `cbor:"1,keyasint"`
	Attempt uint64   `cbor:"2,keyasint"`
}

// PublishWeights announces a new weight version of a model. Versions only increase; a lower one changes nothing.
type PublishWeights struct {
	Model   string            `cbor:"1,keyasint"`
	Version api.WeightVersion `cbor:"2,keyasint"`
}

// VMLost declares an incarnation of an entry VM, and all earlier ones, lost.
type VMLost struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// IssueFencingToken issues a fencing token that is higher than all earlier ones.
type IssueFencingToken struct {
	Replica uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
}

// ModelWeights describes the published weight versions of a model. PublishTimes[i] is the time at which version
// Newest-len(PublishTimes)+1+i was published; at most 64 times are kept.
type ModelWeights struct {
	Newest       api.WeightVersion `cbor:"1,keyasint"`
	PublishTimes []time.Time       `cbor:"2,keyasint"`
}

// Client gives an entry VM access to the control state.
type Client interface {
	// Do applies a command through the control leader. After an error of kind errs.OutcomeUnknown the command may or
	// may not have been applied; every command may safely be resent.
	Do(ctx context.Context, cmd Command) (Result, error)
	// Table returns the newest confirmed table. It never blocks, and versions never decrease.
	Table() *table.Snapshot
	// TableLeaseValid reports whether the table lease is valid.
	TableLeaseValid() bool
	// Weights returns the published weight versions of a model.
	Weights(model string) ModelWeights
	// VMs returns the known entry VMs, including this one.
	VMs() []api.VM
	// Step returns the replicated state of a step, which reflects all commands committed before the call.
	Step(ctx context.Context, id StepID) (StepView, error)
}

// StepView is a copy of a step in the sample ledger.
type StepView struct {
	ID       StepID       `cbor:"1,keyasint"`
	Open     bool         `cbor:"2,keyasint"`
	Groups   int          `cbor:"3,keyasint"` // number announced by OpenStep
	Size     int          `cbor:"4,keyasint"` // samples per group
	Finished []SampleView `cbor:"5,keyasint"` // unacknowledged samples of complete groups
	Acked    int          `cbor:"6,keyasint"`
	Pending  int          `cbor:"7,keyasint"` // submitted members without a finished sample
	// Deadline is on the wall clock of the control leader. Open is false once it has passed.
	Deadline  time.Time `cbor:"8,keyasint"`
	Submitted int       `cbor:"9,keyasint"` // groups submitted so far
}

// SampleView is a finished sample and the VM that holds its body.
type SampleView struct {
	ID          SampleID            `cbor:"1,keyasint"`
	Attempt     uint64              `cbor:"2,keyasint"`
	VM          api.VMID            `cbor:"3,keyasint"`
	Incarnation uint64              `cbor:"4,keyasint"`
	Digest      uint64              `cbor:"5,keyasint"`
	Versions    []api.WeightVersion `cbor:"6,keyasint"`
}
