package control

import (
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// Methods that a Server handles.
const (
	MethodDo          = "control.do"
	MethodStep        = "control.step"
	MethodWatch       = "table.watch"
	MethodPresence    = "control.presence"
	MethodHistory     = "control.history"
	MethodCall        = "control.call"
	MethodSteps       = "control.steps"
	MethodPropagation = "control.reach"
)

// WatchRequest is one long poll of table.watch: what the VM is and what it holds.
type WatchRequest struct {
	VM             api.VM `cbor:"1,keyasint"`
	TableVersion   uint64 `cbor:"2,keyasint"`
	WeightsVersion uint64 `cbor:"3,keyasint"`
	VMListHash     uint64 `cbor:"4,keyasint"`
	ClaimRevision  uint64 `cbor:"5,keyasint"`
	// NoWait asks for an answer after one read index, because the VM's lease runs out.
	NoWait bool `cbor:"6,keyasint,omitempty"`
	// SharesVersion is that of the shares held; Reports are the VM's demand and acknowledgements under them.
	SharesVersion uint64        `cbor:"20,keyasint,omitempty"`
	ShareReports  []ShareReport `cbor:"21,keyasint,omitempty"`
}

// WatchResponse holds what changed since the request's versions, as of a confirmed read index.
type WatchResponse struct {
	TableVersion   uint64         `cbor:"1,keyasint"`
	Rows           []table.Row    `cbor:"2,keyasint,omitempty"` // changed rows, deleted ones included
	WeightsVersion uint64         `cbor:"3,keyasint"`
	Models         []NamedWeights `cbor:"4,keyasint,omitempty"`
	VMListHash     uint64         `cbor:"5,keyasint"`
	VMs            []api.VM       `cbor:"6,keyasint,omitempty"` // the whole list, if its hash changed
	ClaimRevision  uint64         `cbor:"7,keyasint"`
	Leader         string         `cbor:"8,keyasint,omitempty"` // address, if known
	// SharesVersion is that of the last change of the VM's shares; Shares are all of them, if it is newer than
	// the one in the request.
	SharesVersion uint64  `cbor:"20,keyasint,omitempty"`
	Shares        []Share `cbor:"21,keyasint,omitempty"`
}

// PresenceRequest tells the leader which VMs a replica heard from. VM.LastSeen is the age of the last poll.
type PresenceRequest struct {
	VMs        []api.VM `cbor:"1,keyasint"`
	VMListHash uint64   `cbor:"2,keyasint"`
	// ShareReports are those of the VMs with demand, by row.
	ShareReports []RowShareReports `cbor:"20,keyasint,omitempty"`
}

// PresenceResponse is the leader's list of VMs, if its hash differs from the one in the request.
type PresenceResponse struct {
	VMListHash uint64   `cbor:"1,keyasint"`
	VMs        []api.VM `cbor:"2,keyasint,omitempty"`
}

// HistoryRequest asks for the last edits of a row. Zero Limit asks for all that are kept.
type HistoryRequest struct {
	Row   api.RowName `cbor:"1,keyasint"`
	Limit int         `cbor:"2,keyasint"`
}

// CallsRequest asks for the record of Key, or for the newest Limit records of Row if Key is zero. An empty Row
// selects all rows.
type CallsRequest struct {
	Key   uuid.UUID   `cbor:"1,keyasint"`
	Row   api.RowName `cbor:"2,keyasint"`
	Limit int         `cbor:"3,keyasint"`
}

// StepsRequest asks for the steps of a row, or of all rows if Row is empty, without the list of samples.
type StepsRequest struct {
	Row api.RowName `cbor:"1,keyasint"`
}

// PropagationRequest asks which VMs do not hold a version of the table yet. Zero asks for the newest version.
type PropagationRequest struct {
	Version uint64 `cbor:"1,keyasint"`
}

// PropagationResponse tells how far a version of the table has spread.
type PropagationResponse struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Waiting lists the VMs whose table lease may be valid and that are not known to hold the version.
	Waiting []api.VM `cbor:"2,keyasint" json:"waiting"`
	VMs     []api.VM `cbor:"3,keyasint" json:"vms"` // all VMs that were heard from
	// Settled is false while the leader is too new to know all VMs; an empty Waiting means nothing then.
	Settled bool `cbor:"4,keyasint" json:"settled"`
}

// envelope carries an answer or a typed error. Errors travel inside, so that their kind does not depend on how
// the transport reports errors of handlers.
type envelope struct {
	Body    []byte    `cbor:"1,keyasint,omitempty"`
	Kind    errs.Kind `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
	Remedy  string    `cbor:"4,keyasint,omitempty"`
	Leader  string    `cbor:"5,keyasint,omitempty"`
}

func encodeAnswer(v any, err error, leader string) ([]byte, error) {
	e := envelope{Leader: leader}
	if err == nil {
		e.Body, err = Encode(v)
	}
	if err != nil {
		e.Kind, e.Message = errs.KindOf(err), err.Error()
	}
	return Encode(e)
}

// decodeAnswer decodes an answer into v and returns the address of the leader, if the answer names it.
func decodeAnswer(data []byte, v any) (leader string, err error) {
	var e envelope
	if err := Decode(data, &e); err != nil {
		return "", errs.Wrap(err, errs.OutcomeUnknown, "check the versions of the VMs", "the answer cannot be read")
	}
	if e.Kind != "" {
		return e.Leader, errs.New(e.Kind, e.Remedy, "%s", e.Message)
	}
	return e.Leader, Decode(e.Body, v)
}

// Timing of the table lease and of presence.
const (
	// TableLeaseDuration is how long a VM may use a confirmed table, counted from the time it sent the poll.
	TableLeaseDuration = 3 * time.Second
	// driftPercent shortens the lease: two clocks that drift by 1% each may differ by 2%.
	driftPercent     = 2
	watchWait        = 500 * time.Millisecond
	presenceInterval = 500 * time.Millisecond
	vmExpiry         = 5 * time.Second
	readIndexTimeout = 400 * time.Millisecond
)
