package replica

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

const (
	defaultSnapshotEntries = 4096
	// tickDivisor gives the core four ticks per heartbeat interval.
	tickDivisor = 4
	// defaultProposeTimeout bounds the wait of a proposal whose leader was cut off.
	defaultProposeTimeout = 5 * time.Second
	defaultReadTimeout    = 3 * time.Second
	// inboxMessages bounds the received messages that wait for the replica's goroutine.
	inboxMessages   = 4096
	queuedProposals = 1024
	// initialIndex is the index of the snapshot that a new group starts from.
	initialIndex = 1
)

// Options configure a Replica.
type Options struct {
	// Folder is the data folder of the replica.
	Folder string
	// Self names this VM. Its ID is ignored: the instance number comes from the data folder.
	Self raft.Member
	// Peers are the replicas of the settings. An entry with the name of Self is ignored, as are IDs.
	Peers []raft.Member
	// ReplaceVoter names the voter that this VM takes the place of, if it has not the same name.
	ReplaceVoter string
	// JoinOnly forbids creating a group: this VM only joins one that exists.
	JoinOnly bool
	// ManageVoters lets the leader choose the voters: it replaces those that are silent or retired by learners and
	// spreads them over failure domains. Peers are then known by their addresses alone.
	ManageVoters bool
	// FaultTolerance is the number of replicas that may be lost at once in a managed group; the leader keeps
	// 2*FaultTolerance+1 voters where there are enough VMs.
	FaultTolerance int
	// RetiredVMs reports the names of the VMs that are to hold no state any longer. It may be nil.
	RetiredVMs func() map[string]bool

	StateMachine StateMachine
	Sender       Sender
	// PrepareSnapshot makes the files durable here that a received snapshot refers to; address is the sender's. It
	// may be nil if snapshots refer to none.
	PrepareSnapshot func(ctx context.Context, snapshot []byte, address string) error
	// Bootstrap calls HandleBootstrap of the replica at address.
	Bootstrap func(ctx context.Context, address string, request BootstrapRequest) (BootstrapReply, error)
	// Join calls HandleJoin of the replica at address.
	Join func(ctx context.Context, address string, request JoinRequest) (JoinReply, error)

	// Fatal ends the process after a failure of the storage. The default exits with the code for err.
	Fatal func(err error)
	// Events receives changes of leadership, snapshots and refused replicas. It may be nil.
	Events *events.Recorder
	// Clock is the monotonic clock; nil means the system's.
	Clock func() time.Duration
	// Seed varies the election timeouts; zero means the instance number.
	Seed uint64
	// CommitTx replaces the storage's commit; tests inject failures here.
	CommitTx func(*bbolt.Tx) error

	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the commands applied between snapshots; zero means no such limit.
	SnapshotBytes     int
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	LeaderLease       time.Duration
	// ProposeTimeout and ReadTimeout bound the wait of calls whose context has no earlier end.
	ProposeTimeout time.Duration
	ReadTimeout    time.Duration
}

func (o Options) withDefaults() Options {
	if o.Fatal == nil {
		o.Fatal = exit
	}
	if o.Clock == nil {
		o.Clock = monotonicClock()
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = raft.DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = raft.DefaultHeartbeatInterval
	}
	if o.LeaderLease == 0 {
		o.LeaderLease = raft.DefaultLeaderLease
	}
	if o.ProposeTimeout == 0 {
		o.ProposeTimeout = defaultProposeTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	return o
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(errs.ExitCode(err))
}

func (o Options) validate() error {
	for name, missing := range map[string]bool{
		"Folder": o.Folder == "", "Self.Name": o.Self.Name == "", "Self.Address": o.Self.Address == "",
		"StateMachine": o.StateMachine == nil, "Sender": o.Sender == nil,
	} {
		if missing {
			return errs.New(errs.ConfigInvalid, "set it", "option %s of the replica is missing", name)
		}
	}
	if len(o.peers()) > 0 && (o.Bootstrap == nil || o.Join == nil) {
		return errs.New(errs.ConfigInvalid, "set both", "a replica with peers needs the options Bootstrap and Join")
	}
	return nil
}

// peers returns the other replicas of the settings.
func (o Options) peers() []raft.Member {
	list := make([]raft.Member, 0, len(o.Peers))
	for _, p := range o.Peers {
		if p.Address != o.Self.Address && (p.Name == "" || p.Name != o.Self.Name) {
			list = append(list, p)
		}
	}
	return list
}

func event(name events.Name, peer, detail string) events.Event {
	return events.Event{Name: name, Peer: api.VMID(peer), Detail: strings.TrimSpace(detail)}
}

// diskFull records that the replica waits for room on its disk.
func (o Options) diskFull(since time.Duration, err error) {
	if o.Events != nil {
		o.Events.Record(event(events.DiskFull, o.Self.Name, fmt.Sprintf("for %s: %v", since.Round(time.Millisecond), err)))
	}
}
