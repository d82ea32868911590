package control

import (
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// RPC methods that a Server handles.
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

// WatchRequest is one long poll of table.watch. It identifies the VM and the versions that it has.
type WatchRequest struct {
	VM             api.VM `cbor:"1,keyasint"`
	TableVersion   uint64 `cbor:"2,keyasint"`
	WeightsVersion uint64 `cbor:"3,keyasint"`
	VMListHash     uint64 `cbor:"4,keyasint"`
	ClaimRevision  uint64 `cbor:"5,keyasint"`
	// NoWait requests a response as soon as the read index is confirmed, without waiting for a change, because the VM
	// has no valid table lease or its last poll failed.
	NoWait bool `cbor:"6,keyasint,omitempty"`
	// SharesVersion is the version of the shares of concurrency limits (see Share) that the VM has. ShareReports holds
	// its demand and its acknowledgements of these shares.
	SharesVersion uint64        `cbor:"20,keyasint,omitempty"`
	ShareReports  []ShareReport `cbor:"21,keyasint,omitempty"`
}

// WatchResponse contains what changed after the versions in the request, as of a confirmed read index.
type WatchResponse struct {
	TableVersion   uint64         `cbor:"1,keyasint"`
	Rows           []table.Row    `cbor:"2,keyasint,omitempty"` // changed rows, including deleted ones
	WeightsVersion uint64         `cbor:"3,keyasint"`
	Models         []NamedWeights `cbor:"4,keyasint,omitempty"`
	VMListHash     uint64         `cbor:"5,keyasint"`
	VMs            []api.VM       `cbor:"6,keyasint,omitempty"` // the complete list if its hash changed
	ClaimRevision  uint64         `cbor:"7,keyasint"`
	Leader         string         `cbor:"8,keyasint,omitempty"` // address of the leader if known
	// SharesVersion is the version of the last change of the shares of the VM. Shares contains all of them if
	// SharesVersion is newer than the one in the request.
	SharesVersion uint64  `cbor:"20,keyasint,omitempty"`
	Shares        []Share `cbor:"21,keyasint,omitempty"`
}

// PresenceRequest informs the leader which VMs polled a replica. SinceLastSeen of each VM is the age of its last poll.
type PresenceRequest struct {
	VMs        []api.VM `cbor:"1,keyasint"`
	VMListHash uint64   `cbor:"2,keyasint"`
	// ShareReports holds the share reports of these VMs, grouped by row.
	ShareReports []RowShareReports `cbor:"20,keyasint,omitempty"`
}

// PresenceResponse contains the list of VMs of the leader if its hash differs from the one in the request.
type PresenceResponse struct {
	VMListHash uint64   `cbor:"1,keyasint"`
	VMs        []api.VM `cbor:"2,keyasint,omitempty"`
}

// HistoryRequest requests the most recent edits of a row. Limit 0 requests all that are kept.
type HistoryRequest struct {
	Row   api.RowName `cbor:"1,keyasint"`
	Limit int         `cbor:"2,keyasint"`
}

// CallsRequest requests the record of Key, or the newest Limit records of Row if Key is zero. An empty Row selects all
// rows.
type CallsRequest struct {
	Key   uuid.UUID   `cbor:"1,keyasint"`
	Row   api.RowName `cbor:"2,keyasint"`
	Limit int         `cbor:"3,keyasint"`
}

// StepsRequest requests the steps of a row, or of all rows if Row is empty, without their samples.
type StepsRequest struct {
	Row api.RowName `cbor:"1,keyasint"`
}

// PropagationRequest asks which VMs do not have a table version yet. Version 0 means the newest one.
type PropagationRequest struct {
	Version uint64 `cbor:"1,keyasint"`
}

// PropagationResponse describes how far a table version has propagated.
type PropagationResponse struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Waiting lists the VMs that are not known to have the version and whose table lease may still be valid.
	Waiting []api.VM `cbor:"2,keyasint" json:"waiting"`
	VMs     []api.VM `cbor:"3,keyasint" json:"vms"` // all VMs that recently polled a replica
	// Settled is false while the leader is too new to know all VMs. An empty Waiting list means nothing then.
	Settled bool `cbor:"4,keyasint" json:"settled"`
}

// envelope contains a response or a typed error. Errors are encoded in it so that their kind does not depend on how
// the transport reports handler errors.
type envelope struct {
	Body    []byte    `cbor:"1,keyasint,omitempty"`
	Kind    errs.Kind `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
	Remedy  string    `cbor:"4,keyasint,omitempty"`
	Leader  string    `cbor:"5,keyasint,omitempty"`
}

func encodeResponse(v any, err error, leader string) ([]byte, error) {
	e := envelope{Leader: leader}
	if err == nil {
		e.Body, err = Encode(v)
	}
	if err != nil {
		e.Kind, e.Message = errs.KindOf(err), err.Error()
	}
	return Encode(e)
}

// decodeResponse decodes a response into v. It returns the address of the leader if the response contains it.
func decodeResponse(data []byte, v any) (leader string, err error) {
	var e envelope
	if err := Decode(data, &e); err != nil {
		return "", errs.Wrap(err, errs.OutcomeUnknown, "check that all VMs run compatible versions", "the response cannot be decoded")
	}
	if e.Kind != "" {
		return e.Leader, errs.New(e.Kind, e.Remedy, "%s", e.Message)
	}
	return e.Leader, Decode(e.Body, v)
}

// Durations of the table lease and of VM presence.
const (
	// TableLeaseDuration is how long a VM may use a confirmed table, counted from the time at which it sent the poll.
	TableLeaseDuration = 3 * time.Second
	// driftPercent shortens the lease on the VM: two clocks that each drift by 1% may differ by 2%.
	driftPercent     = 2
	watchWait        = 500 * time.Millisecond // maximum wait of a long poll
	presenceInterval = 500 * time.Millisecond // between two presence rounds
	vmExpiry         = 5 * time.Second        // a VM not heard from for this long is lost
	readIndexTimeout = 400 * time.Millisecond // for one round of confirmLoop
)
