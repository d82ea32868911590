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
	// ticksPerHeartbeat is the number of raft ticks per heartbeat interval.
	ticksPerHeartbeat = 4
	// defaultProposeTimeout limits how long a proposal waits at a leader that is cut off from the group.
	defaultProposeTimeout = 5 * time.Second
	defaultReadTimeout    = 3 * time.Second
	// inboxCapacity is the maximum number of received messages that wait for the replica's goroutine.
	inboxCapacity = 4096
	// requestQueueCapacity is the maximum number of queued proposals, and also of queued reads.
	requestQueueCapacity = 1024
	// initialSnapshotIndex is the index of the snapshot that a new group starts from. That snapshot has no data.
	initialSnapshotIndex = 1
)

// Options configures a Replica.
type Options struct {
	// Folder is the data folder of the replica.
	Folder string
	// Self describes the replica on this VM. Its ID is ignored: the instance number comes from the data folder.
	Self raft.Member
	// Peers are the replicas in the settings. Entries with the name or address of Self are ignored, as are IDs.
	Peers []raft.Member
	// ReplaceVoter is the name of the voter that this VM replaces, if the voter has another name than this VM.
	ReplaceVoter string
	// JoinOnly means that this VM never creates a group and only joins an existing one.
	JoinOnly bool
	// ManageVoters makes the leader choose the voters: it replaces voters that are unresponsive or retired by learners
	// and spreads the voters over the failure domains. Peers may then have addresses but no names.
	ManageVoters bool
	// FaultTolerance is the number of replicas that may fail at the same time. With ManageVoters, the leader keeps
	// 2*FaultTolerance+1 voters if there are enough VMs.
	FaultTolerance int
	// RetiredVMs returns the names of the VMs that must no longer be members. It may be nil.
	RetiredVMs func() map[string]bool

	StateMachine StateMachine
	Sender       Sender
	// PrepareSnapshot fetches the files that a received snapshot refers to from its sender at address and makes them
	// durable. It may be nil if snapshots refer to no files.
	PrepareSnapshot func(ctx context.Context, snapshot []byte, address string) error
	// Bootstrap calls HandleBootstrap on the replica at address.
	Bootstrap func(ctx context.Context, address string, request BootstrapRequest) (BootstrapReply, error)
	// Join calls HandleJoin on the replica at address.
	Join func(ctx context.Context, address string, request JoinRequest) (JoinReply, error)

	// Fatal ends the process after an error that the replica cannot recover from, such as a storage failure. The
	// default exits with the exit code for err.
	Fatal func(err error)
	// Events records changes of leader and membership, snapshots, slow syncs and refused replicas. It may be nil.
	Events *events.Recorder
	// Clock returns monotonic time; nil selects the system clock.
	Clock func() time.Duration
	// Seed seeds the randomized election timeouts, together with the instance number.
	Seed uint64
	// CommitTx replaces the commit of storage transactions; tests use it to inject failures.
	CommitTx func(*bbolt.Tx) error

	// SnapshotEntries is the number of applied entries after which a snapshot is taken.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied commands after which a snapshot is taken earlier; zero means no limit.
	SnapshotBytes     int
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	LeaderLease       time.Duration
	// ProposeTimeout and ReadTimeout limit how long Propose and ReadIndex wait if their context does not end earlier.
	ProposeTimeout time.Duration
	ReadTimeout    time.Duration
}

func (o Options) withDefaults() Options {
	if o.Fatal == nil {
		o.Fatal = exitProcess
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

func exitProcess(err error) {
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

// peers returns Peers without this replica.
func (o Options) peers() []raft.Member {
	list := make([]raft.Member, 0, len(o.Peers))
	for _, p := range o.Peers {
		if p.Address != o.Self.Address && (p.Name == "" || p.Name != o.Self.Name) {
			list = append(list, p)
		}
	}
	return list
}

func newEvent(name events.Name, peer, detail string) events.Event {
	return events.Event{Name: name, Peer: api.VMID(peer), Detail: strings.TrimSpace(detail)}
}

// recordDiskFull records that the replica waits for free space on its disk.
func (o Options) recordDiskFull(since time.Duration, err error) {
	if o.Events != nil {
		o.Events.Record(newEvent(events.DiskFull, o.Self.Name, fmt.Sprintf("for %s: %v", since.Round(time.Millisecond), err)))
	}
}
