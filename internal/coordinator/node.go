package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"filbertledge/internal/blobs"
	"filbertledge/internal/boottime"
	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/raft"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/replica"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// Raft timing for VMs with half a core, whose CPU quota may suspend a process for most of 100 ms.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	leaderLease       = 600 * time.Millisecond
	// leaderPollInterval is the time between checks whether this VM has become the leader.
	leaderPollInterval = heartbeatInterval / 2
	// leaseCheckInterval is the time between checks whether a leader still holds its lease.
	leaseCheckInterval = heartbeatInterval / 4
	// leaderRetryInterval is the time before the next follow request if the last one failed or if no leader is known.
	leaderRetryInterval = heartbeatInterval
)

const (
	// snapshotEntries and snapshotBytes limit the log between two snapshots. The log is held in memory. Snapshots are
	// small, because they contain no generated texts. A VM that was unreachable for a few seconds catches up from the
	// log alone.
	snapshotEntries = 4000
	snapshotBytes   = 6 << 20
	// callTimeout limits a call to another VM, not counting the time for which a follow request waits for a change.
	callTimeout = 900 * time.Millisecond
	// proposeTimeout limits the wait for a commit.
	proposeTimeout = 900 * time.Millisecond
	// skipConfiguration is the highest possible configuration version. The response to a follow request with it never
	// contains the configuration, which a replica receives as part of the replicated state.
	skipConfiguration = ^uint64(0)
	// leaseLapseTolerance is how long the work of a leader continues after its lease has lapsed, if no other VM has
	// become leader. Another VM is elected 700 ms after the last heartbeat at the earliest, which is 110 ms after the
	// end of the lease, because Raft shortens leaderLease by a margin for clock drift. An item that both VMs run is
	// thus canceled here within the 400 ms for which engines may run it twice.
	leaseLapseTolerance = 500 * time.Millisecond
	// expireInterval is the time between checks for silent servers and for batches past their retention.
	expireInterval = 500 * time.Millisecond
)

// Options configures a Node.
type Options struct {
	Name          string // of this VM
	FailureDomain string
	Address       string   // link address of this VM, IP:port
	ListenAddress string   // where the link listens; Address if empty
	Seeds         []string // link addresses of VMs that may hold the state, possibly out of date
	// Bootstrap allows this VM to create the replication group if it is among the seeds.
	Bootstrap      bool
	DataDir        string
	FaultTolerance int // number of VMs that may be lost at once
	// AnnounceInterval is the time between two announcements of a server.
	AnnounceInterval time.Duration
	// OrderHandoverDelay is the minimum time between the last order of one leader and the first order of the next.
	OrderHandoverDelay time.Duration
	// EnginesEnforceFencing is true if the engines reject orders with an older fencing token. A new leader then has to
	// wait only for a former leader that is still alive and reachable.
	EnginesEnforceFencing bool
	// Retention is how long after its submission an ended batch stays readable.
	Retention    time.Duration
	EngineClient EngineClient
	Exchanger    forward.Exchanger // sends the scorer calls
	Events       *events.Recorder
	// Peers limits the connections that other VMs open; nil means no limit.
	Peers *budget.Share
	// MemoryLimit is what the process may use, in bytes; 0 means no limit.
	MemoryLimit int64
	// DiskLimit is what the data folder may take, in bytes; 0 means unknown.
	DiskLimit int64
	// Duties are the calls to the provider that the leader makes.
	Duties DutyOptions
	// BalancesLoad makes the VMs share what they know of the load of the servers.
	BalancesLoad bool
	// ParseDocument parses an operator's document, as rollout.State.ParseDocument.
	ParseDocument func([]byte) (*routes.Configuration, error)
	// Fatal ends the process after a disk failure, or when the state requires a newer build.
	Fatal func(error)
}

// Node is a VM that holds a replica of the state. Its methods are safe for concurrent use.
type Node struct {
	opts      Options
	replica   *replica.Replica
	texts     *blobs.Store
	state     *rollout.State
	registry  *fleet.Registry
	forwarder *forward.Forwarder // sends the scorer calls while this VM leads
	limits    *ratelimit.Table
	suspects  *forward.Suspects
	packed    packedConfiguration
	client    *link.Client
	server    *link.Server
	session   atomic.Pointer[session] // set while this VM leads
	// handedOverTerm is the newest term in which this VM has waited for the calls of the former leader.
	handedOverTerm atomic.Uint64
	lastLeaderAt   atomic.Int64 // boot time at which this process last held the lease, in nanoseconds; 0 if never
}

// New opens the data directory of a node. Run starts the node.
func New(o Options) (*Node, error) {
	texts, err := blobs.Open(o.DataDir)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts: o, texts: texts, state: rollout.NewState(texts), registry: fleet.NewRegistry(o.AnnounceInterval),
		client: link.NewClient(), server: link.NewServer(), limits: ratelimit.NewTable(),
	}
	if o.Peers != nil {
		n.server.LimitConnections(o.Peers)
	}
	if o.MemoryLimit > 0 {
		n.server.LimitReplies(int64(repliesFraction * float64(o.MemoryLimit)))
	}
	n.server.OnMalformedFrame = func(remote string, err error) {
		o.Events.Log().WithField("remote", remote).WithError(err).Warn("another VM sent a malformed frame")
	}
	n.suspects = newSuspects(n)
	n.forwarder = forward.New(forward.Options{FailureDomain: o.FailureDomain, Registry: n.registry, Exchanger: o.Exchanger, Events: o.Events, Limiter: nodeLimiter{n}, Suspects: n.suspects})
	n.state.OnApplied = n.onApplied
	n.state.OnFailure, n.state.ParseDocument = n.fail, o.ParseDocument
	n.state.OnDocumentRejected = func(version uint64, err error) {
		o.Events.Log().WithError(err).WithField("configuration", version).Warn("an earlier build accepted this configuration, which this build rejects; its keys and orders of servers are not in force")
	}
	self := raft.Member{Name: o.Name, FailureDomain: o.FailureDomain, Address: o.Address}
	r, err := replica.Open(replica.Options{
		Folder: o.DataDir, Self: self, Peers: peersOf(o.Seeds), StateMachine: n.state, Sender: sender{n},
		Bootstrap: func(ctx context.Context, address string, q replica.BootstrapRequest) (replica.BootstrapReply, error) {
			return link.Call[replica.BootstrapRequest, replica.BootstrapReply](ctx, n.client, address, methodBootstrap, q)
		},
		Join: func(ctx context.Context, address string, q replica.JoinRequest) (replica.JoinReply, error) {
			return link.Call[replica.JoinRequest, replica.JoinReply](ctx, n.client, address, methodJoin, q)
		},
		PrepareSnapshot: n.fetchTexts,
		JoinOnly:        !o.Bootstrap || !slices.Contains(o.Seeds, o.Address), ManageVoters: true, FaultTolerance: o.FaultTolerance,
		RetiredVMs: n.state.Retired, Events: o.Events, Clock: boottime.Now,
		Fatal:           o.Fatal,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, LeaderLease: leaderLease,
		ProposeTimeout: proposeTimeout, ReadTimeout: proposeTimeout,
	})
	if err != nil {
		return nil, err
	}
	n.replica = r
	n.registerHandlers()
	return n, nil
}

// fail ends the process after an error that the replicated state cannot recover from.
func (n *Node) fail(err error) {
	if errs.Is(err, errs.StateTooNew) {
		n.opts.Events.Record(events.Event{Name: events.StateTooNew, Detail: err.Error()})
	}
	n.opts.Fatal(err)
}

func peersOf(addresses []string) []raft.Member {
	out := make([]raft.Member, 0, len(addresses))
	for _, a := range addresses {
		out = append(out, raft.Member{Address: a})
	}
	return out
}

// SetSeeds replaces the addresses of the seeds after a change of the settings.
func (n *Node) SetSeeds(addresses []string) { n.replica.SetPeers(peersOf(addresses)) }

// sender sends the messages of the replica over the link.
type sender struct{ n *Node }

// Send implements replica.Sender.
func (s sender) Send(to uint64, data []byte) {
	if address := s.n.replica.AddressOf(to); address != "" {
		s.n.client.SendOneWay(address, methodRaft, data)
	}
}

// Run serves the link and takes part in the replication group until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listenAddress := cmp.Or(n.opts.ListenAddress, n.opts.Address)
	ln, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return errs.Wrap(err, errs.ConfigInvalid, "free the port or change the settings", "cannot listen on %s", listenAddress)
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- n.server.Serve(runCtx, ln) }()
	go func() { failed <- n.replica.Run(runCtx) }()
	go n.runSessions(runCtx)
	go n.followLeader(runCtx)
	select {
	case err = <-failed:
	case <-ctx.Done():
		// The replica transfers its leadership while the link still serves requests.
		err = n.replica.Close()
	}
	stop()
	n.client.Close()
	if closeErr := n.texts.Close(); err == nil {
		err = closeErr
	}
	return err
}

// fetchTexts copies the text segments that a snapshot refers to from the VM at address.
func (n *Node) fetchTexts(ctx context.Context, snapshot []byte, address string) error {
	segments, err := rollout.ReferencedSegments(snapshot)
	if err != nil {
		return err
	}
	for number, length := range segments {
		err := n.texts.CopySegment(number, length, func(offset int64) ([]byte, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := link.Call[TextsRequest, TextsReply](ctx, n.client, address, methodTexts, TextsRequest{Segment: number, Offset: offset})
			return r.Chunk, err
		})
		if err != nil {
			return err
		}
	}
	return n.texts.Sync()
}

func (n *Node) handleTexts(_ context.Context, q TextsRequest) (TextsReply, error) {
	chunk, err := n.texts.ReadChunk(q.Segment, q.Offset)
	return TextsReply{Chunk: chunk}, err
}

// runSessions runs a session whenever this VM becomes the leader.
func (n *Node) runSessions(ctx context.Context) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.replica.HoldsLease() {
			continue
		}
		term := n.replica.Status().Term
		if err := n.catchUp(ctx); err != nil {
			n.opts.Events.Log().WithError(err).Info("cannot bring the state of the new leader up to date; trying again")
			continue
		}
		n.runSession(ctx, term)
	}
}

// catchUp waits until the state contains everything that earlier leaders committed.
func (n *Node) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := n.replica.ReadIndex(ctx)
	return err
}

// runSession does the work of the leader in a term until the leadership ends.
func (n *Node) runSession(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSession(n, ctx, term)
	n.session.Store(s)
	n.opts.Events.Record(events.Event{Name: events.LeaseGained, Detail: s.describe()})
	s.start()
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	lastExpire := boottime.Now()
	monitor := leaseMonitor{tolerance: leaseLapseTolerance, lastHeldAt: lastExpire}
	for ctx.Err() == nil {
		now, status := boottime.Now(), n.replica.Status()
		switch monitor.observe(now, n.holdsLease(term), status.Term == term && status.Role == replica.RoleLeader) {
		case leaseHeld:
			n.lastLeaderAt.Store(int64(now))
			if now-lastExpire >= expireInterval {
				s.expire(now, now-lastExpire)
				lastExpire = now
			}
		case leaseLapsed:
			n.opts.Events.Record(events.Event{Name: events.LeaseLapsed, Detail: s.describe() + describeSilence(status.Members)})
		case leaseRegained:
			n.opts.Events.Record(events.Event{Name: events.LeaseRegained, Detail: s.describe()})
			s.wakeScheduler()
			s.wakeLoader()
		case leaseStillLapsed:
		case leadershipEnded:
			n.session.Store(nil)
			n.opts.Events.Record(events.Event{Name: events.LeaseLost, Detail: s.describe()})
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.session.Store(nil)
}

// describeSilence lists the voters that do not answer the leader, and for how long.
func describeSilence(members []replica.MemberStatus) string {
	var b strings.Builder
	for _, m := range members {
		if m.Voter && m.SinceLastAck > 0 {
			fmt.Fprintf(&b, ", %s silent for %s", m.Name, m.SinceLastAck.Round(time.Millisecond))
		}
	}
	return b.String()
}

// holdsLease reports whether this VM holds the leader lease in the term.
func (n *Node) holdsLease(term uint64) bool {
	return n.replica.HoldsLease() && n.replica.Status().Term == term
}

// currentSession returns the session if this VM leads now, otherwise an error of the kind errs.NotLeader.
func (n *Node) currentSession() (*session, error) {
	s := n.session.Load()
	if s == nil || !n.holdsLease(s.term) {
		return nil, errs.New(errs.NotLeader, "call the leader", "%s is not the leader", n.opts.Name)
	}
	return s, nil
}

// onApplied is called for each committed command.
func (n *Node) onApplied(c rollout.Command, o rollout.Outcome) {
	if c.Depart != nil {
		n.registry.MarkLeaving(c.Depart.Server, c.Depart.Incarnation)
	}
	if c.Return != nil {
		n.registry.Return(*c.Return)
	}
	if s := n.session.Load(); s != nil && o.Changed {
		s.onApplied(c)
	}
}

// followLeader keeps the registry of a VM that is not the leader up to date, so that the VM knows the servers when it
// becomes the leader.
func (n *Node) followLeader(ctx context.Context) {
	var term, servers, limits, reports uint64
	for ctx.Err() == nil {
		leader := n.replica.Status().LeaderAddress
		if leader == "" || leader == n.opts.Address {
			sleep(ctx, leaderRetryInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, FollowPollTimeout+callTimeout)
		reply, err := Follow(callCtx, n.client, leader, FollowRequest{VM: n.opts.Name, Term: term, ServersRevision: servers, LimitsRevision: limits, SuspectsRevision: reports, ConfigurationVersion: skipConfiguration})
		cancel()
		if err != nil {
			sleep(ctx, leaderRetryInterval)
			continue
		}
		if reply.ServersSent {
			LogRejectedServers(n.opts.Events, n.registry.Replace(reply.Servers, boottime.Now()))
		}
		if reply.LimitsSent {
			n.limits.Merge(reply.Limits, boottime.Now())
		}
		for _, r := range reply.Suspects {
			n.suspects.Table().Merge(r, boottime.Now())
		}
		term, servers, limits, reports = reply.Term, reply.ServersRevision, reply.LimitsRevision, reply.SuspectsRevision
	}
}

// LogRejectedServers logs why servers of a list were left out.
func LogRejectedServers(recorder *events.Recorder, rejected []error) {
	for _, err := range rejected {
		recorder.Log().WithError(err).Warn("a server in the list of servers is left out")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replicas returns the link addresses of the members, sorted and without duplicates.
func (n *Node) replicas() []string {
	s := n.replica.Status()
	out := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		if a := n.replica.AddressOf(m.ID); a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// propose commits a command and returns its outcome. Errors are of the kinds of replica.Propose.
func (n *Node) propose(ctx context.Context, c rollout.Command) (rollout.Outcome, error) {
	data, err := rollout.EncodeCommand(c)
	if err != nil {
		return rollout.Outcome{}, err
	}
	result, err := n.replica.Propose(ctx, data)
	if err != nil {
		return rollout.Outcome{}, err
	}
	return rollout.DecodeOutcome(result)
}

// Configuration returns the configuration that this VM holds, which may be out of date.
func (n *Node) Configuration() *routes.Configuration { return n.state.Configuration() }
