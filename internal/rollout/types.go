// Package rollout implements the replicated state machine of the rollout service. Its state holds the operators'
// configuration, the published weight versions, the registered backend servers and their departures, the VMs being
// retired, and the batches with their results.
package rollout

import (
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
	"filbertledge/internal/usage"
)

// Header is an HTTP header of an item that is forwarded to the backend server.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Item is one generation request of a batch.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
	Tokens  int      `cbor:"5,keyasint,omitempty"` // upper bound for prompt and output tokens, as stated by the trainer
	Group   string   `cbor:"6,keyasint,omitempty"` // items of the same group share their prompt
	// LengthHint is the caller's estimate of the number of output tokens; 0 means unknown.
	LengthHint int `cbor:"7,keyasint,omitempty"`
	// Scorer is the call that scores the text of the item; nil if the text needs no score.
	Scorer *ScorerCall `cbor:"8,keyasint,omitempty"`
	// Stored is set if the body is among the stored bodies of the batch. Body is empty then.
	Stored *StoredBody `cbor:"9,keyasint,omitempty"`
}

// ScorerCall is a request to a service that scores the text of an item. It is sent after the text is complete and may
// run more than once. The signature of a successful response is the score.
type ScorerCall struct {
	ID   string `cbor:"1,keyasint"` // attempt ID
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// dropRequest clears the fields that are only needed to run and to score the item.
func (i *Item) dropRequest() {
	i.Path, i.Headers, i.Body, i.Scorer, i.Stored = "", nil, nil, nil, nil
}

// Batch is the set of generation requests for one trainer step.
type Batch struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"` // selects the route
	Step int    `cbor:"4,keyasint,omitempty"`
	// Model and MinVersion select the weights. MinVersion 0 accepts any version.
	Model        string `cbor:"5,keyasint,omitempty"`
	MinVersion   uint64 `cbor:"6,keyasint,omitempty"`
	TargetGroups int    `cbor:"7,keyasint,omitempty"`
	Items        []Item `cbor:"8,keyasint"`
	// Submitted is the wall-clock time in Unix milliseconds, taken on the VM that accepted the batch.
	Submitted int64 `cbor:"9,keyasint"`
	// Workspace owns the batch; empty if the route needs no key.
	Workspace string `cbor:"10,keyasint,omitempty"`
	// Priority is that of the workspace or, without one, of the route; 0 is the highest.
	Priority int `cbor:"11,keyasint,omitempty"`
	// Upload is the ID of the upload with the bodies of the items that have Stored set; empty if there are none.
	Upload string `cbor:"12,keyasint,omitempty"`
}

// Result is the outcome of one item. Its position in the batch's result list never changes.
type Result struct {
	Item      int      `cbor:"1,keyasint"` // index in Batch.Items
	Completed bool     `cbor:"2,keyasint,omitempty"`
	Text      []byte   `cbor:"3,keyasint,omitempty"`
	Versions  []uint64 `cbor:"4,keyasint,omitempty"` // weight versions that produced the text, ascending
	// Offset is the number of bytes of the text already committed as progress; Text holds the bytes after them.
	Offset int `cbor:"5,keyasint,omitempty"`
	// Score is the score that a scorer gave to exactly this text; empty if the item needs none.
	Score string `cbor:"6,keyasint,omitempty"`
}

// Progress is a chunk of the text of a running item. It is replicated so that a new leader can resume the item.
type Progress struct {
	Batch string `cbor:"1,keyasint"`
	Item  int    `cbor:"2,keyasint"`
	// Offset is the number of bytes of the committed text to keep. Text is appended after them.
	Offset int    `cbor:"3,keyasint,omitempty"`
	Text   []byte `cbor:"4,keyasint,omitempty"`
	// Events and Versions describe the whole text up to and including this chunk: the number of stream events that it
	// consists of and the weight versions that produced it.
	Events   int      `cbor:"5,keyasint"`
	Versions []uint64 `cbor:"6,keyasint,omitempty"`
	// Complete is true if the text ends with this chunk. The next leader then scores the item without running it again.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Software is the version of the servers' software that began the text and that alone may continue it. It is empty if
	// it is unknown, as in the progress that earlier builds committed.
	Software string `cbor:"8,keyasint,omitempty"`
}

// Partial is the committed text of an unfinished item.
type Partial struct {
	Text     []byte   `cbor:"1,keyasint"`
	Events   int      `cbor:"2,keyasint"`
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
	Complete bool     `cbor:"4,keyasint,omitempty"` // the text is complete; only its score is missing
	Software string   `cbor:"5,keyasint,omitempty"` // as in Progress
}

// BatchResult is a result to be stored in the batch with ID Batch.
type BatchResult struct {
	Batch  string `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
}

// ModelVersion identifies a version of a model's weights.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// ServerIncarnation identifies one run of a backend server process: a restarted server has the same ID and a higher
// Incarnation.
type ServerIncarnation struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Command is the payload of one Raft log entry. Exactly one field is set.
type Command struct {
	Configure     *routes.Configuration `cbor:"1,keyasint,omitempty"` // new configuration
	Publish       *ModelVersion         `cbor:"2,keyasint,omitempty"` // new weights
	Accept        *Batch                `cbor:"3,keyasint,omitempty"` // new batch
	Results       []BatchResult         `cbor:"4,keyasint,omitempty"`
	EndBatch      string                `cbor:"5,keyasint,omitempty"` // batch ID
	Depart        *ServerIncarnation    `cbor:"6,keyasint,omitempty"` // server that is leaving or has left
	DeleteBatches []string              `cbor:"7,keyasint,omitempty"` // IDs of batches whose retention period has passed
	Retire        *Retirement           `cbor:"8,keyasint,omitempty"`
	// Register records a newly announced server. Unregister removes servers whose announcements have stopped.
	Register    *fleet.Server       `cbor:"9,keyasint,omitempty"`
	Unregister  []ServerIncarnation `cbor:"10,keyasint,omitempty"`
	Progress    []Progress          `cbor:"11,keyasint,omitempty"`
	BeginStream *StreamBegin        `cbor:"12,keyasint,omitempty"`
	Limits      []ServerLimit       `cbor:"13,keyasint,omitempty"`
	Suspects    []CrashReport       `cbor:"14,keyasint,omitempty"`
	// Requires is the version of the state that a replica must understand to apply the command.
	Requires uint64 `cbor:"15,keyasint,omitempty"`
	// MemberVersion records which version of the state a member understands. Replicas that do not know the field ignore it.
	MemberVersion *MemberVersion `cbor:"16,keyasint,omitempty"`
	// Usage requires version 1 of the state.
	Usage *UsageChange `cbor:"17,keyasint,omitempty"`
	// StoreBodies and DropUploads require version 2 of the state.
	StoreBodies *BodyPart `cbor:"18,keyasint,omitempty"`
	DropUploads []string  `cbor:"19,keyasint,omitempty"` // IDs of uploads whose batch was not submitted
	// Return ends the departure of a server that did not leave. It requires version 3 of the state.
	Return *fleet.Server `cbor:"20,keyasint,omitempty"`
}

// StateVersion is the highest version of the replicated state that this build understands. A command with a new kind or a
// new meaning requires a higher one and is proposed only while all members of the group understand it.
//
// Version 1 adds the usage of workspaces and the owners of batches. Version 2 adds bodies that are stored apart from their
// batch. Version 3 adds the return of servers that did not leave.
const StateVersion = 3

// MemberVersion is the version of the state that a member of the replicated group understands.
type MemberVersion struct {
	Member  uint64 `cbor:"1,keyasint"` // instance number, which changes when the disk of the VM is lost
	Version uint64 `cbor:"2,keyasint"`
}

// Retirement requests that a VM leaves the replication group. Once it has left, nothing depends on its disk, so that it
// can be taken out of service.
type Retirement struct {
	VM string `cbor:"1,keyasint"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Changed is false if the command had already been applied or was superseded. Progress commands never set it.
	Changed bool `cbor:"1,keyasint,omitempty"`
	// Found is false if the command refers to an unknown batch.
	Found bool `cbor:"2,keyasint,omitempty"`
	// LateUsage are counts that a Usage command dropped: their windows were closed or too many waited for a report.
	LateUsage []usage.Count `cbor:"3,keyasint,omitempty"`
}
