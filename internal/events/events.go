// Package events records the time line of one VM: what happened, when, and to which request, row, backend
// server or VM. The same event goes to the log as one JSON line and to a bounded buffer that the timeline
// command reads from all VMs.
package events

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"filbertledge/internal/api"
)

// Name is the name of an event. The constants below are the whole vocabulary.
type Name string

// Names of events.
const (
	VMStarted          Name = "vm.started"
	VMReady            Name = "vm.ready"
	VMDraining         Name = "vm.draining"
	VMStopped          Name = "vm.stopped"
	VMLost             Name = "vm.lost"
	LeaderElected      Name = "raft.leader_elected"
	LeaderLost         Name = "raft.leader_lost"
	SnapshotTaken      Name = "raft.snapshot_taken"
	SnapshotFailed     Name = "raft.snapshot_failed"
	ReplicaRefused     Name = "raft.replica_refused"
	MembershipChanged  Name = "raft.membership_changed"
	DiskFull           Name = "raft.disk_full"
	TableApplied       Name = "table.applied"
	TableLeaseExpired  Name = "table.lease_expired"
	TableLeaseRenewed  Name = "table.lease_renewed"
	EditAccepted       Name = "table.edit_accepted"
	EditConflict       Name = "table.edit_conflict"
	ServerAnnounced    Name = "server.announced"
	ServerLeaving      Name = "server.leaving"
	ServerSuspended    Name = "server.suspended"
	ServerExpired      Name = "server.expired"
	ServerEjected      Name = "server.ejected"
	ServerReadmitted   Name = "server.readmitted"
	RequestReceived    Name = "request.received"
	RequestDispatched  Name = "request.dispatched"
	RequestRetried     Name = "request.retried"
	RequestFinished    Name = "request.finished"
	RequestRefused     Name = "request.refused"
	RequestFailed      Name = "request.failed"
	RequestCanceled    Name = "request.canceled"
	RequestReplayed    Name = "request.replayed"
	CallUnknown        Name = "call.unknown"
	CredentialRefused  Name = "credential.refused"
	CertificateLoaded  Name = "certificate.loaded"
	StepOpened         Name = "step.opened"
	GroupClaimed       Name = "group.claimed"
	SampleFinished     Name = "sample.finished"
	SampleDuplicate    Name = "sample.duplicate"
	SampleStale        Name = "sample.stale"
	SampleDelivered    Name = "sample.delivered"
	SampleAcknowledged Name = "sample.acknowledged"
	SampleReset        Name = "sample.reset"
	WeightsPublished   Name = "weights.published"
	OrderSent          Name = "order.sent"
	OrderRefused       Name = "order.refused"
	OrderVerified      Name = "order.verified"
	SwapFailed         Name = "order.swap_failed"
	OrderUnanswered    Name = "order.unanswered"
	OrderHandover      Name = "order.handover"

	LeaseGained           Name = "raft.lease_gained"
	LeaseLost             Name = "raft.lease_lost"
	LeaseLapsed           Name = "raft.lease_lapsed"
	SlowSync              Name = "raft.slow_sync"
	LeaseRegained         Name = "raft.lease_regained"
	RetirementStarted     Name = "vm.retirement_started"
	SettingsReloaded      Name = "vm.settings_reloaded"
	DependencyLost        Name = "vm.dependency_lost"
	DependencyRegained    Name = "vm.dependency_regained"
	AnnouncementStale     Name = "server.announcement_stale"
	ServerBlocked         Name = "server.blocked"
	ConfigurationAccepted Name = "config.accepted"
	ConfigurationIgnored  Name = "config.ignored"
	ConfigurationInForce  Name = "config.in_force"
	ConfigurationRefused  Name = "config.refused"
	BatchAccepted         Name = "batch.accepted"
	BatchEnded            Name = "batch.ended"
	ItemPlaced            Name = "item.placed"
	ItemResumed           Name = "item.resumed"
	ItemRefused           Name = "item.refused"
	ItemMoved             Name = "item.moved"
	ItemReused            Name = "item.reused"
	ItemListed            Name = "item.listed"
	LabelRefused          Name = "item.label_refused"
)

// Event is one entry of the time line. Sequence orders the events of one process that share a time.
type Event struct {
	Time     time.Time    `json:"time" cbor:"1,keyasint"`
	Sequence uint64       `json:"sequence" cbor:"2,keyasint"`
	VM       api.VMID     `json:"vm" cbor:"3,keyasint"`
	Name     Name         `json:"event" cbor:"4,keyasint"`
	Request  string       `json:"request,omitempty" cbor:"5,keyasint,omitempty"`
	Row      api.RowName  `json:"row,omitempty" cbor:"6,keyasint,omitempty"`
	Server   api.ServerID `json:"server,omitempty" cbor:"7,keyasint,omitempty"`
	Peer     api.VMID     `json:"peer,omitempty" cbor:"8,keyasint,omitempty"` // another VM that the event is about
	Detail   string       `json:"detail,omitempty" cbor:"9,keyasint,omitempty"`
	// Took is how long what ended with the event lasted; zero if it ended nothing.
	Took time.Duration `json:"took,omitempty" cbor:"10,keyasint,omitempty"`
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	Since   time.Time    `cbor:"1,keyasint"`
	Request string       `cbor:"2,keyasint,omitempty"`
	Row     api.RowName  `cbor:"3,keyasint,omitempty"`
	Server  api.ServerID `cbor:"4,keyasint,omitempty"`
	VM      api.VMID     `cbor:"5,keyasint,omitempty"`
	Limit   int          `cbor:"6,keyasint,omitempty"` // newest events kept; zero means all
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Event) bool {
	return !e.Time.Before(f.Since) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Row == "" || f.Row == e.Row) &&
		(f.Server == "" || f.Server == e.Server) &&
		(f.VM == "" || f.VM == e.VM || f.VM == e.Peer)
}

// bufferedEvents bounds the memory of a recorder to about 3 MB.
const bufferedEvents = 16384

// Recorder keeps the newest events of one process and writes each to the log. It is safe for concurrent use.
type Recorder struct {
	vm  api.VMID
	log *logrus.Logger

	mu   sync.Mutex
	next uint64
	ring []Event
	kept int // the capacity of ring

	observe func(Event)
}

// NewRecorder returns a recorder for vm that writes JSON lines to w.
func NewRecorder(vm api.VMID, w io.Writer) *Recorder {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Recorder{vm: vm, log: log, kept: bufferedEvents}
}

// NewLogRecorder returns a recorder that only writes the log, for processes whose time line nobody queries.
func NewLogRecorder(vm api.VMID, w io.Writer) *Recorder {
	r := NewRecorder(vm, w)
	r.kept = 0
	return r
}

// Log returns the logger, for messages that are not events.
func (r *Recorder) Log() *logrus.Entry { return r.log.WithField("vm", r.vm) }

// SetLevel sets the lowest level that is logged. Events of single requests and samples are logged at debug level.
func (r *Recorder) SetLevel(l logrus.Level) { r.log.SetLevel(l) }

// SetObserver calls f for each event. It must be called before the first one.
func (r *Recorder) SetObserver(f func(Event)) { r.observe = f }

// Record adds e to the time line. It sets the time, the sequence and the VM.
func (r *Recorder) Record(e Event) {
	e.Time = time.Now()
	e.VM = r.vm
	r.mu.Lock()
	e.Sequence = r.next
	r.next++
	switch {
	case len(r.ring) < r.kept:
		r.ring = append(r.ring, e)
	case r.kept > 0:
		r.ring[e.Sequence%uint64(r.kept)] = e
	}
	r.mu.Unlock()
	if r.observe != nil {
		r.observe(e)
	}
	r.write(e)
}

func (r *Recorder) write(e Event) {
	level := levelOf(e.Name)
	if !r.log.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{"vm": e.VM, "event": e.Name, "sequence": e.Sequence}
	addField(fields, "request", e.Request)
	addField(fields, "row", string(e.Row))
	addField(fields, "server", string(e.Server))
	addField(fields, "peer", string(e.Peer))
	r.log.WithTime(e.Time).WithFields(fields).Log(level, e.Detail)
}

func addField(f logrus.Fields, key, value string) {
	if value != "" {
		f[key] = value
	}
}

// levelOf keeps the events of single requests and samples out of the log at its default level: at
// 20,000 requests a second they would cost more than the requests.
func levelOf(n Name) logrus.Level {
	switch n {
	case RequestReceived, RequestDispatched, RequestFinished, SampleFinished, SampleDelivered, SampleAcknowledged:
		return logrus.DebugLevel
	case RequestRefused, RequestFailed, CallUnknown, TableLeaseExpired, VMLost, SwapFailed, CredentialRefused, ReplicaRefused:
		return logrus.WarnLevel
	default:
		return logrus.InfoLevel
	}
}

// Query returns the buffered events that f selects, oldest first.
func (r *Recorder) Query(f Filter) []Event {
	r.mu.Lock()
	out := make([]Event, 0, len(r.ring))
	for _, e := range r.ring {
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	r.mu.Unlock()
	Sort(out)
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// Sort orders events of several processes by time, then VM, then sequence. Clocks of VMs differ, so the order
// of events of different VMs is approximate.
func Sort(list []Event) {
	slices.SortFunc(list, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Sequence, b.Sequence))
	})
}
