// Package operator implements the operator API of a VM: the transport handlers for peers with the operator role, and
// the client that the command line uses.
package operator

import (
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
	"filbertledge/internal/transport"
)

// Transport methods of the operator API, for peers with the operator role. MethodEvents also accepts VMs, which query
// each other for the events of a timeline.
const (
	MethodEdit        = "operator.edit"
	MethodTable       = "operator.table"
	MethodHistory     = "operator.history"
	MethodPropagation = "operator.reach"
	MethodStatus      = "operator.status"
	MethodServers     = "operator.servers"
	MethodTimeline    = "operator.timeline"
	MethodCalls       = "operator.calls"
	MethodSamples     = "operator.samples"
	MethodDrain       = "operator.drain"
	MethodShutdown    = "operator.shutdown"
	MethodEvents      = "events.query"
)

// Empty is a request or a response without content.
type Empty struct{}

// TableView is the newest table that a VM has confirmed. If the VM's table lease has expired, LeaseValid is false and
// the table may be out of date.
type TableView struct {
	Version    uint64      `json:"version" cbor:"1,keyasint"`
	LeaseValid bool        `json:"fresh" cbor:"2,keyasint"`
	VM         api.VMID    `json:"vm" cbor:"3,keyasint"`
	Rows       []table.Row `json:"rows" cbor:"4,keyasint"` // sorted by name, without deleted rows
}

// Row returns the row called name.
func (t TableView) Row(name api.RowName) (table.Row, bool) {
	for _, r := range t.Rows {
		if r.Name == name {
			return r, true
		}
	}
	return table.Row{}, false
}

// EditRequest is an edit of one row. It is safe to resend with the same EditID: the first result is returned again.
type EditRequest struct {
	EditID          uuid.UUID `json:"edit_id" cbor:"1,keyasint"` // UUID version 7
	ExpectedVersion uint64    `json:"expected_version" cbor:"2,keyasint"`
	Row             table.Row `json:"row" cbor:"3,keyasint"`
	DryRun          bool      `json:"dry_run,omitempty" cbor:"4,keyasint,omitempty"`
}

// EditResult is the result of an edit. If ErrorKind is set, the edit was refused, and Row, if not nil, is the current
// row.
type EditResult struct {
	TableVersion uint64     `json:"table_version" cbor:"1,keyasint"` // first table version that contains the edit; zero for a dry run
	Row          *table.Row `json:"row,omitempty" cbor:"2,keyasint,omitempty"`
	ErrorKind    errs.Kind  `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
	Message      string     `json:"message,omitempty" cbor:"4,keyasint,omitempty"`
	Remedy       string     `json:"remedy,omitempty" cbor:"5,keyasint,omitempty"`
	Replayed     bool       `json:"replayed,omitempty" cbor:"6,keyasint,omitempty"` // an earlier request with this EditID applied the edit
}

// HistoryRequest asks for the most recent changes of a row. If Limit is zero, all retained changes are returned.
type HistoryRequest struct {
	Row   api.RowName `cbor:"1,keyasint"`
	Limit int         `cbor:"2,keyasint"`
}

// PropagationRequest asks which VMs may still use a table older than Version. If Wait is set, the response is delayed
// until there are none or the deadline is near.
type PropagationRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	Wait    bool   `cbor:"2,keyasint"`
}

// PropagationResponse lists the VMs that may still use an older table. If the list is empty, the requested version is
// in force on all VMs.
type PropagationResponse struct {
	PendingVMs []api.VM `json:"missing" cbor:"1,keyasint"`
}

// Status describes one VM and its view of the deployment.
type Status struct {
	VM                 api.VM                       `json:"vm" cbor:"1,keyasint"`
	Build              string                       `json:"build" cbor:"2,keyasint"`
	Started            time.Time                    `json:"started" cbor:"3,keyasint"`
	Ready              bool                         `json:"ready" cbor:"4,keyasint"`
	Draining           bool                         `json:"draining" cbor:"5,keyasint"`
	Running            int                          `json:"running" cbor:"6,keyasint"` // requests from customers, and rollouts
	Queued             int                          `json:"queued" cbor:"7,keyasint"`
	TableLeaseValid    bool                         `json:"table_fresh" cbor:"8,keyasint"`
	Replica            *ReplicaStatus               `json:"replica,omitempty" cbor:"9,keyasint,omitempty"` // nil if the VM has no control replica
	VMs                []api.VM                     `json:"vms" cbor:"10,keyasint"`
	Servers            int                          `json:"servers" cbor:"11,keyasint"` // backend servers that may be given new requests
	CertificateExpires time.Time                    `json:"certificate_expires" cbor:"12,keyasint"`
	Traffic            map[string]transport.Traffic `json:"traffic,omitempty" cbor:"13,keyasint,omitempty"`
	Warnings           []string                     `json:"warnings,omitempty" cbor:"14,keyasint,omitempty"`
	TableVersion       uint64                       `json:"table_version" cbor:"15,keyasint"`
}

// ReplicaStatus describes the control replica of a VM.
type ReplicaStatus struct {
	Role    string       `json:"role" cbor:"1,keyasint"` // leader, follower, candidate or learner
	Leader  string       `json:"leader" cbor:"2,keyasint"`
	Term    uint64       `json:"term" cbor:"3,keyasint"`
	Applied uint64       `json:"applied" cbor:"4,keyasint"`
	Commit  uint64       `json:"commit" cbor:"5,keyasint"`
	Members []MemberView `json:"members,omitempty" cbor:"6,keyasint,omitempty"`
}

// MemberView describes a member of the Raft group of control replicas.
type MemberView struct {
	ID      uint64            `json:"id" cbor:"1,keyasint"` // Raft member ID
	VM      api.VMID          `json:"vm" cbor:"2,keyasint"`
	Domain  api.FailureDomain `json:"failure_domain" cbor:"3,keyasint"`
	Voter   bool              `json:"voter" cbor:"4,keyasint"`
	Applied uint64            `json:"applied" cbor:"5,keyasint"` // highest acknowledged log index; only the leader knows it
}

// ServerView describes a backend server from the point of view of the responding VM.
type ServerView struct {
	ID             api.ServerID        `json:"id" cbor:"1,keyasint"`
	Pool           api.Pool            `json:"pool" cbor:"2,keyasint"`
	Domain         api.FailureDomain   `json:"failure_domain" cbor:"3,keyasint"`
	Address        string              `json:"address" cbor:"4,keyasint"`
	State          api.ServerState     `json:"state" cbor:"5,keyasint"`
	Usable         bool                `json:"usable" cbor:"6,keyasint"` // may be given new requests
	Ejected        bool                `json:"ejected" cbor:"7,keyasint"`
	Model          string              `json:"model,omitempty" cbor:"8,keyasint,omitempty"`
	CurrentVersion api.WeightVersion   `json:"current_version,omitempty" cbor:"9,keyasint,omitempty"`
	LoadedVersions []api.WeightVersion `json:"loaded_versions,omitempty" cbor:"10,keyasint,omitempty"`
	Capacity       int                 `json:"capacity" cbor:"11,keyasint"`
	InFlight       int                 `json:"in_flight" cbor:"12,keyasint"` // requests from the responding VM
	Load           api.Load            `json:"load" cbor:"13,keyasint"`
	SinceRenewalMS int64               `json:"renewed_ms" cbor:"14,keyasint"` // age of the server's newest announcement
	Fencing        api.Fencing         `json:"fencing,omitempty" cbor:"15,keyasint,omitempty"`
}

// TimelineRequest selects the events of a timeline over all VMs.
type TimelineRequest struct {
	Filter events.Filter `cbor:"1,keyasint"`
}

// Timeline holds the merged events of all VMs that responded.
type Timeline struct {
	Events     []events.Event `json:"events" cbor:"1,keyasint"`
	QueriedVMs int            `json:"asked" cbor:"2,keyasint"` // number of VMs, including the responding one
	Missing    []MissingVM    `json:"missing,omitempty" cbor:"3,keyasint,omitempty"`
}

// MissingVM is a VM that did not respond, so the timeline lacks its events.
type MissingVM struct {
	VM      api.VMID `json:"vm" cbor:"1,keyasint"`
	Address string   `json:"address" cbor:"2,keyasint"`
	Reason  string   `json:"reason" cbor:"3,keyasint"`
}

// SamplesRequest asks for the steps of a row, or of all rows if Row is empty. If Step is set, the response contains
// only that step, including its finished samples.
type SamplesRequest struct {
	Row  api.RowName `cbor:"1,keyasint"`
	Step *uint64     `cbor:"2,keyasint,omitempty"`
}

// SamplesResponse lists steps from the sample ledger.
type SamplesResponse struct {
	Steps []control.StepView `json:"steps" cbor:"1,keyasint"`
}
