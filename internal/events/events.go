// Package events records the timeline of one process on a VM: what happened, when, and to which request, row, backend
// server or VM. Each event is written to the log as one JSON line and kept in a bounded in-memory buffer. The timeline
// command reads the buffers of all VMs.
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

// Name is the name of an event, as it appears in logs and metrics. The constants below are the complete set.
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
	ReplicaRefused     Name = "raft.replica_refused" // the leader refused a replica whose disk holds an older copy
	MembershipChanged  Name = "raft.membership_changed"
	DiskFull           Name = "raft.disk_full"
	TableApplied       Name = "table.applied"       // this VM uses a newer table
	TableLeaseExpired  Name = "table.lease_expired" // the table of this VM may be outdated
	TableLeaseRenewed  Name = "table.lease_renewed"
	EditAccepted       Name = "table.edit_accepted"
	EditConflict       Name = "table.edit_conflict"
	ServerAnnounced    Name = "server.announced"
	ServerLeaving      Name = "server.leaving"
	ServerSuspended    Name = "server.suspended"  // a connection was refused; not used until the next announcement
	ServerExpired      Name = "server.expired"    // not heard from for too long
	ServerEjected      Name = "server.ejected"    // too slow compared with its pool
	ServerReadmitted   Name = "server.readmitted" // an ejected server is used again
	RequestReceived    Name = "request.received"
	RequestDispatched  Name = "request.dispatched"
	RequestRetried     Name = "request.retried"
	RequestFinished    Name = "request.finished"
	RequestRefused     Name = "request.refused"
	RequestFailed      Name = "request.failed"
	RequestCanceled    Name = "request.canceled"
	RequestReplayed    Name = "request.replayed"  // answered with the stored answer of an earlier attempt
	RequestSuspected   Name = "request.suspected" // servers were lost while they ran it; it runs alone, or is refused
	CallUnknown        Name = "call.unknown"      // the outcome of a non-idempotent call is unknown
	CredentialRefused  Name = "credential.refused"
	CertificateLoaded  Name = "certificate.loaded"
	StepOpened         Name = "step.opened"
	GroupClaimed       Name = "group.claimed" // a VM takes over the production of a sample group
	SampleFinished     Name = "sample.finished"
	SampleDuplicate    Name = "sample.duplicate" // another attempt of the sample was accepted before
	SampleStale        Name = "sample.stale"     // refused because of its weight versions; it is produced again
	SampleDelivered    Name = "sample.delivered"
	SampleAcknowledged Name = "sample.acknowledged"
	SampleReset        Name = "sample.reset" // its body is lost; it is produced again
	WeightsPublished   Name = "weights.published"
	OrderSent          Name = "order.sent"
	OrderRefused       Name = "order.refused"
	OrderVerified      Name = "order.verified"    // the engine has the ordered version
	SwapFailed         Name = "order.swap_failed" // the engine did not reach the ordered version
	OrderUnanswered    Name = "order.unanswered"  // the engine did not answer an order, or was not ready for one
	OrderHandover      Name = "order.handover"    // a new leader waits before it sends orders

	LeaseGained           Name = "raft.lease_gained"
	LeaseLost             Name = "raft.lease_lost"     // the leadership has ended
	LeaseLapsed           Name = "raft.lease_lapsed"   // the leader's lease expired; it still leads its term
	SlowSync              Name = "raft.slow_sync"      // a disk sync of a replica took unusually long
	LeaseRegained         Name = "raft.lease_regained" // the leader's lease is valid again after it lapsed
	RetirementStarted     Name = "vm.retirement_started"
	SettingsReloaded      Name = "vm.settings_reloaded"
	DependencyLost        Name = "vm.dependency_lost"          // the leader cannot be reached
	DependencyRegained    Name = "vm.dependency_regained"      // the leader is reached again
	AnnouncementStale     Name = "server.announcement_stale"   // older than the announcement that is known
	AnnouncementInvalid   Name = "server.announcement_invalid" // names no server that can be used
	ServerReturned        Name = "server.returned"             // its departure was wrong; it is used again
	DepartureVoid         Name = "server.departure_void"       // its sender no longer waited, so that it may be of an earlier start
	ServerWaiting         Name = "server.waiting"              // its service is not configured; not used until it is
	ServerProbed          Name = "server.probed"               // a connection to it broke; whether it still accepts connections
	CrashConfirmed        Name = "server.crash_confirmed"      // the server ended while it ran requests, which are suspects
	CrashDismissed        Name = "server.crash_dismissed"      // the server runs; a broken connection says nothing of the requests
	ServerBlocked         Name = "server.blocked"              // not used for a while after repeated failures
	VMCutOff              Name = "vm.cut_off"                  // it reaches no server; requests go through other VMs
	VMReconnected         Name = "vm.reconnected"              // it reaches servers again
	RequestHandedOver     Name = "request.handed_over"         // sent through another VM
	StreamNotRecorded     Name = "stream.not_recorded"         // its software version could not be stored; it cannot be taken up
	RequestLimited        Name = "request.limited"             // no limited server of the service has a permission for it
	LimitNamed            Name = "server.limit_named"          // its response states a new limit of requests a second
	LimitWithdrawn        Name = "server.limit_withdrawn"      // its response states no limit any more
	LimitUnreadable       Name = "server.limit_unreadable"     // the limit in its response is no decimal number
	ConfigurationAccepted Name = "config.accepted"
	ConfigurationIgnored  Name = "config.ignored" // not newer than the known one
	ConfigurationInForce  Name = "config.in_force"
	ConfigurationRefused  Name = "config.refused"
	BatchAccepted         Name = "batch.accepted"
	BatchEnded            Name = "batch.ended"
	ItemPlaced            Name = "item.placed"          // started on an engine
	ItemResumed           Name = "item.resumed"         // continued on an engine from its partial text
	ItemRefused           Name = "item.refused"         // its run on an engine failed
	ItemMoved             Name = "item.moved"           // its run was canceled, to be continued on another engine
	ItemSuspected         Name = "item.suspected"       // engines broke off its runs before their first event; it runs alone after a pause
	ItemRestarted         Name = "item.restarted"       // its text was dropped, because no server of the software that began it serves
	ItemReused            Name = "item.reused"          // begins with the text that an earlier batch left unfinished
	ItemListed            Name = "item.listed"          // its result was added to the results of the batch
	EnginesDivided        Name = "engines.divided"      // among the models of a service
	ScoreRequested        Name = "item.score_requested" // the scorer call of a complete text was sent
	ScoreReceived         Name = "item.scored"
	ScoreFailed           Name = "item.score_failed"  // no score; the call is sent again, or the item is given up
	LabelRefused          Name = "item.label_refused" // the engine reported weights older than the batch allows
	KeyRefused            Name = "key.refused"        // a request without a valid key of a workspace
	UsageClosed           Name = "usage.closed"       // the counts of a window are fixed
	UsageReported         Name = "usage.reported"     // the provider accepted the report of a window
	UsageOverdue          Name = "usage.overdue"      // the provider accepted the report of a window after it was due
	UsageFailed           Name = "usage.failed"       // a report got no positive answer; it is sent again
	UsageLate             Name = "usage.late"         // counts of a window that is closed already; they are dropped
	CapacityPlanned       Name = "capacity.planned"   // the wanted numbers of servers changed
	CapacityOrdered       Name = "capacity.ordered"   // the provider accepted an order
	CapacityFailed        Name = "capacity.failed"    // an order got no positive answer
	DutyStopped           Name = "duty.stopped"       // the provider has seen a newer holder
	StateVersionInForce   Name = "state.version_in_force"
	StateVersionWithheld  Name = "state.version_withheld" // a member of the group does not understand the version, or is not known to
	StateTooNew           Name = "state.too_new"          // this build does not understand the state
	LoadKnown             Name = "load.known"             // servers are chosen by the requests of all VMs
	LoadUnknown           Name = "load.unknown"           // the leader's sums are too old; the VM's own requests remain
	ConnectionDropped     Name = "connection.dropped"     // to keep the process within its budget for callers
)

// Event is one entry of the timeline. Sequence orders the events of one process that have the same timestamp.
type Event struct {
	Time     time.Time    `json:"time" cbor:"1,keyasint"`
	Sequence uint64       `json:"sequence" cbor:"2,keyasint"`
	VM       api.VMID     `json:"vm" cbor:"3,keyasint"`
	Name     Name         `json:"event" cbor:"4,keyasint"`
	Request  string       `json:"request,omitempty" cbor:"5,keyasint,omitempty"`
	Row      api.RowName  `json:"row,omitempty" cbor:"6,keyasint,omitempty"`
	Server   api.ServerID `json:"server,omitempty" cbor:"7,keyasint,omitempty"`
	Peer     api.VMID     `json:"peer,omitempty" cbor:"8,keyasint,omitempty"` // the other VM involved, if any
	Detail   string       `json:"detail,omitempty" cbor:"9,keyasint,omitempty"`
	// Took is the duration of the operation whose end this event records; zero for any other event.
	Took time.Duration `json:"took,omitempty" cbor:"10,keyasint,omitempty"`
	// Reason is why a call was refused for its key, for the metrics. It is one of a few words.
	Reason string `json:"reason,omitempty" cbor:"11,keyasint,omitempty"`
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	Since   time.Time    `cbor:"1,keyasint"`
	Request string       `cbor:"2,keyasint,omitempty"`
	Row     api.RowName  `cbor:"3,keyasint,omitempty"`
	Server  api.ServerID `cbor:"4,keyasint,omitempty"`
	VM      api.VMID     `cbor:"5,keyasint,omitempty"`
	Limit   int          `cbor:"6,keyasint,omitempty"` // only the newest Limit events are returned; zero means all
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Event) bool {
	return !e.Time.Before(f.Since) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Row == "" || f.Row == e.Row) &&
		(f.Server == "" || f.Server == e.Server) &&
		(f.VM == "" || f.VM == e.VM || f.VM == e.Peer)
}

// bufferedEvents is the number of events that a recorder keeps. It bounds the buffer to about 3 MB of memory.
const bufferedEvents = 16384

// Recorder writes the events of one process to the log and keeps the newest ones in a ring buffer. It is safe for
// concurrent use.
type Recorder struct {
	vm  api.VMID
	log *logrus.Logger

	mu           sync.Mutex
	nextSequence uint64
	ring         []Event
	ringCapacity int // zero if no events are kept

	observer func(Event) // optional
}

// NewRecorder returns a recorder for vm that writes JSON lines to w.
func NewRecorder(vm api.VMID, w io.Writer) *Recorder {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Recorder{vm: vm, log: log, ringCapacity: bufferedEvents}
}

// NewLogRecorder returns a recorder that writes the log but keeps no events, for processes whose timeline cannot be
// queried.
func NewLogRecorder(vm api.VMID, w io.Writer) *Recorder {
	r := NewRecorder(vm, w)
	r.ringCapacity = 0
	return r
}

// Log returns the underlying logger, for messages that are not events.
func (r *Recorder) Log() *logrus.Entry { return r.log.WithField("vm", r.vm) }

// SetLevel sets the minimum level that is logged. Events that every request or sample causes are logged at debug level.
func (r *Recorder) SetLevel(l logrus.Level) { r.log.SetLevel(l) }

// SetObserver registers f to be called for each recorded event. It must be called before the first event is recorded.
func (r *Recorder) SetObserver(f func(Event)) { r.observer = f }

// Record adds e to the timeline and writes it to the log. It sets the time, the sequence number and the VM of e.
func (r *Recorder) Record(e Event) {
	e.Time = time.Now()
	e.VM = r.vm
	r.mu.Lock()
	e.Sequence = r.nextSequence
	r.nextSequence++
	switch {
	case len(r.ring) < r.ringCapacity:
		r.ring = append(r.ring, e)
	case r.ringCapacity > 0:
		r.ring[e.Sequence%uint64(r.ringCapacity)] = e
	}
	r.mu.Unlock()
	if r.observer != nil {
		r.observer(e)
	}
	r.logEvent(e)
}

func (r *Recorder) logEvent(e Event) {
	level := levelOf(e.Name)
	if !r.log.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{"vm": e.VM, "event": e.Name, "sequence": e.Sequence}
	setIfNotEmpty(fields, "request", e.Request)
	setIfNotEmpty(fields, "row", string(e.Row))
	setIfNotEmpty(fields, "server", string(e.Server))
	setIfNotEmpty(fields, "peer", string(e.Peer))
	setIfNotEmpty(fields, "reason", e.Reason)
	r.log.WithTime(e.Time).WithFields(fields).Log(level, e.Detail)
}

func setIfNotEmpty(f logrus.Fields, key, value string) {
	if value != "" {
		f[key] = value
	}
}

// levelOf returns the log level of an event. Events that every request or sample causes are logged at debug level, so
// that the default level omits them: at 20,000 requests a second, logging them would cost more than serving the
// requests.
func levelOf(n Name) logrus.Level {
	switch n {
	case RequestReceived, RequestDispatched, RequestHandedOver, RequestFinished, RequestLimited, ScoreRequested, SampleFinished, SampleDelivered, SampleAcknowledged:
		return logrus.DebugLevel
	case RequestRefused, RequestFailed, CallUnknown, TableLeaseExpired, VMLost, SwapFailed, CredentialRefused, ReplicaRefused, KeyRefused:
		return logrus.WarnLevel
	default:
		return logrus.InfoLevel
	}
}

// Query returns the buffered events that match f, oldest first.
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

// Sort sorts the events of several processes by time, then VM, then sequence number. The clocks of VMs differ, so the
// order between events of different VMs is approximate.
func Sort(list []Event) {
	slices.SortFunc(list, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Sequence, b.Sequence))
	})
}
