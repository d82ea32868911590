// Package rollout is the replicated state of the rollout service: the operators' configuration, the named versions
// of weights, the servers that leave, and the batches with their results.
package rollout

import (
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// Header is one header of an item, passed on to the server.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Item is one generation of a batch.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
	Tokens  int      `cbor:"5,keyasint,omitempty"` // prompt and the most output, as the trainer states
	Group   string   `cbor:"6,keyasint,omitempty"` // items of a group share their prompt
	// LengthHint is the caller's estimate of the output tokens, zero if unknown.
	LengthHint int `cbor:"7,keyasint,omitempty"`
}

// settle drops what only a run of the item needs.
func (i *Item) settle() { i.Path, i.Headers, i.Body = "", nil, nil }

// Batch is the work of one step of a trainer.
type Batch struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"` // selects the route
	Step int    `cbor:"4,keyasint,omitempty"`
	// Model and MinVersion name the weights; zero means any version.
	Model        string `cbor:"5,keyasint,omitempty"`
	MinVersion   uint64 `cbor:"6,keyasint,omitempty"`
	TargetGroups int    `cbor:"7,keyasint,omitempty"`
	Items        []Item `cbor:"8,keyasint"`
	// Submitted is the time of day at the VM that accepted the batch, in Unix milliseconds.
	Submitted int64 `cbor:"9,keyasint"`
}

// Result is the outcome of one item. Its position in the batch never changes.
type Result struct {
	Item      int      `cbor:"1,keyasint"` // index in Batch.Items
	Completed bool     `cbor:"2,keyasint,omitempty"`
	Text      []byte   `cbor:"3,keyasint,omitempty"`
	Versions  []uint64 `cbor:"4,keyasint,omitempty"` // of the weights that produced the text, ascending
	// Offset is how many bytes of the text were committed as progress before; Text is what follows them.
	Offset int `cbor:"5,keyasint,omitempty"`
}

// Progress is a part of the text of an item that still runs, so that another leader can go on from it.
type Progress struct {
	Batch string `cbor:"1,keyasint"`
	Item  int    `cbor:"2,keyasint"`
	// Offset is how many bytes of the text that is there already stay; Text follows them.
	Offset int    `cbor:"3,keyasint,omitempty"`
	Text   []byte `cbor:"4,keyasint,omitempty"`
	// Events and Versions are those of the whole text up to its end.
	Events   int      `cbor:"5,keyasint"`
	Versions []uint64 `cbor:"6,keyasint,omitempty"`
}

// Partial is the text of an item that is not finished.
type Partial struct {
	Text     []byte   `cbor:"1,keyasint"`
	Events   int      `cbor:"2,keyasint"`
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
}

// BatchResult is a result to be listed.
type BatchResult struct {
	Batch  string `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
}

// ModelVersion names weights of a model.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// ServerIncarnation marks an incarnation of a backend server as leaving.
type ServerIncarnation struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Command is one entry of the log. Exactly one field is set.
type Command struct {
	Configure     *routes.Configuration `cbor:"1,keyasint,omitempty"`
	Publish       *ModelVersion         `cbor:"2,keyasint,omitempty"`
	Accept        *Batch                `cbor:"3,keyasint,omitempty"`
	Results       []BatchResult         `cbor:"4,keyasint,omitempty"`
	EndBatch      string                `cbor:"5,keyasint,omitempty"` // batch
	Depart        *ServerIncarnation    `cbor:"6,keyasint,omitempty"`
	DeleteBatches []string              `cbor:"7,keyasint,omitempty"` // batches whose retention has passed
	Retire        *Retirement           `cbor:"8,keyasint,omitempty"`
	// Register notes a server that has appeared, Unregister servers that have not been heard of for long.
	Register   *fleet.Server       `cbor:"9,keyasint,omitempty"`
	Unregister []ServerIncarnation `cbor:"10,keyasint,omitempty"`
	Progress   []Progress          `cbor:"11,keyasint,omitempty"`
}

// Retirement asks for a VM to be emptied of its state, so that it can be taken away.
type Retirement struct {
	VM string `cbor:"1,keyasint"`
}

// Outcome is the result of a command.
type Outcome struct {
	// Changed is false if the command was a repetition or is overtaken.
	Changed bool `cbor:"1,keyasint,omitempty"`
	// Found is false if the command names a batch that does not exist.
	Found bool `cbor:"2,keyasint,omitempty"`
}
