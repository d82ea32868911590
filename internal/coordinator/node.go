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
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/link"
	"filbertledge/internal/raft"
	"filbertledge/internal/replica"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// Timing of the agreement on VMs with half a core, whose quota may stop a process for most of 100 ms.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	leaderLease       = 600 * time.Millisecond
)

const (
	// snapshotEntries and snapshotBytes bound the log between snapshots, which is held in memory. A snapshot holds
	// no texts and is small. A VM that was away for some seconds catches up from the log alone.
	snapshotEntries = 4000
	snapshotBytes   = 6 << 20
	// forwardTimeout bounds a call that this VM passes on to the leader.
	forwardTimeout = 900 * time.Millisecond
	// proposeTimeout bounds the wait for a commit.
	proposeTimeout = 900 * time.Millisecond
	// lapseAllowed is how long the work of a leader goes on after its lease has run out, while it is not replaced.
	// Another VM is elected 700 ms after the last heartbeat at the earliest, 110 ms after the lease has ended, and an
	// item that both run is cut off here within the 400 ms that engines may see it twice.
	lapseAllowed = 500 * time.Millisecond
	// expireInterval is the time between looks for silent servers and batches past their retention.
	expireInterval = 500 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Name          string // of the VM
	FailureDomain string
	Address       string   // of the link, IP:port
	ListenAddress string   // where the link listens; Address if empty
	Seeds         []string // link addresses of other nodes, possibly out of date
	// Bootstrap allows creating the group, if this VM is among the seeds.
	Bootstrap      bool
	DataDir        string // data folder
	FaultTolerance int    // VMs that may be lost at once
	// AnnounceInterval is the time between announcements of a server.
	AnnounceInterval time.Duration
	// OrderHandoverDelay is how long after the last order of one leader the next one may order servers.
	OrderHandoverDelay time.Duration
	// EnginesEnforceFencing is true if the engines refuse orders with an older token. Then only a former leader that is alive
	// and reachable has to be waited for.
	EnginesEnforceFencing bool
	// Retention is how long an ended batch stays readable after its submission.
	Retention    time.Duration
	EngineClient EngineClient
	Events       *events.Recorder
	// Fatal ends the process after a failure of the disk.
	Fatal func(error)
}

// Node is a VM with a replica of the state. Its methods are safe for concurrent use.
type Node struct {
	opts     Options
	replica  *replica.Replica
	texts    *blobs.Store
	state    *rollout.State
	registry *fleet.Registry
	client   *link.Client
	server   *link.Server
	session  atomic.Pointer[session] // while this VM leads
	ledUntil atomic.Int64            // boot time at which this process last led, in nanoseconds; 0 if it never did
}

// New opens the data folder of a node.
func New(o Options) (*Node, error) {
	texts, err := blobs.Open(o.DataDir)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts: o, texts: texts, state: rollout.NewState(texts), registry: fleet.NewRegistry(o.AnnounceInterval),
		client: link.NewClient(), server: link.NewServer(),
	}
	n.server.OnMalformedFrame = func(remote string, err error) {
		o.Events.Log().WithField("remote", remote).WithError(err).Warn("connection of another VM sent a malformed frame")
	}
	n.state.OnApplied = n.applied
	n.state.OnFailure = o.Fatal
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
	n.handle()
	return n, nil
}

func peersOf(addresses []string) []raft.Member {
	out := make([]raft.Member, 0, len(addresses))
	for _, a := range addresses {
		out = append(out, raft.Member{Address: a})
	}
	return out
}

// SetSeeds replaces the addresses of other nodes, after the settings changed.
func (n *Node) SetSeeds(addresses []string) { n.replica.SetPeers(peersOf(addresses)) }

// sender passes messages of the replica on.
type sender struct{ n *Node }

// Send implements replica.Sender.
func (s sender) Send(to uint64, data []byte) {
	if address := s.n.replica.AddressOf(to); address != "" {
		s.n.client.SendOneWay(address, methodRaft, data)
	}
}

// Run serves the link and takes part in the group until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener := cmp.Or(n.opts.ListenAddress, n.opts.Address)
	ln, err := net.Listen("tcp", listener)
	if err != nil {
		return errs.Wrap(err, errs.ConfigInvalid, "free the port or change the settings", "cannot listen on %s", listener)
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- n.server.Serve(runCtx, ln) }()
	go func() { failed <- n.replica.Run(runCtx) }()
	go n.lead(runCtx)
	go n.follow(runCtx)
	select {
	case err = <-failed:
	case <-ctx.Done():
		// The replica hands its leadership over while the link still serves.
		err = n.replica.Close()
	}
	stop()
	n.client.Close()
	if closeErr := n.texts.Close(); err == nil {
		err = closeErr
	}
	return err
}

// fetchTexts copies the texts that a snapshot refers to from the VM at address.
func (n *Node) fetchTexts(ctx context.Context, snapshot []byte, address string) error {
	segments, err := rollout.ReferencedSegments(snapshot)
	if err != nil {
		return err
	}
	for number, length := range segments {
		err := n.texts.CopySegment(number, length, func(offset int64) ([]byte, error) {
			ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
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

// lead runs a session whenever this VM leads.
func (n *Node) lead(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval / 2)
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
			n.opts.Events.Log().WithError(err).Info("leader could not confirm its state yet")
			continue
		}
		n.runSession(ctx, term)
	}
}

// catchUp waits until the state holds everything that earlier leaders committed.
func (n *Node) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := n.replica.ReadIndex(ctx)
	return err
}

func (n *Node) runSession(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSession(n, ctx, term)
	n.session.Store(s)
	n.opts.Events.Record(events.Event{Name: events.LeaseGained, Detail: s.describe()})
	s.start()
	ticker := time.NewTicker(heartbeatInterval / 4)
	defer ticker.Stop()
	expired := boottime.Now()
	tenure := tenure{allowed: lapseAllowed, lastLed: expired}
	for ctx.Err() == nil {
		now, status := boottime.Now(), n.replica.Status()
		switch tenure.observe(now, n.leads(term), status.Term == term && status.Role == replica.RoleLeader) {
		case tenureHeld:
			n.ledUntil.Store(int64(now))
			if now-expired >= expireInterval {
				s.expire(now, now-expired)
				expired = now
			}
		case tenureLapsed:
			n.opts.Events.Record(events.Event{Name: events.LeaseLapsed, Detail: s.describe() + describeSilence(status.Members)})
		case tenureRegained:
			n.opts.Events.Record(events.Event{Name: events.LeaseRegained, Detail: s.describe()})
			s.poke()
			s.pokeOrders()
		case tenureLapsing:
		case tenureEnded:
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

// describeSilence tells how long the voters have not answered the leader.
func describeSilence(members []replica.MemberStatus) string {
	var b strings.Builder
	for _, m := range members {
		if m.Voter && m.SinceLastAck > 0 {
			fmt.Fprintf(&b, ", %s silent for %s", m.Name, m.SinceLastAck.Round(time.Millisecond))
		}
	}
	return b.String()
}

// leads reports whether this VM holds the lease of the term.
func (n *Node) leads(term uint64) bool {
	return n.replica.HoldsLease() && n.replica.Status().Term == term
}

// current returns the session if this VM leads now.
func (n *Node) current() (*session, error) {
	s := n.session.Load()
	if s == nil || !n.leads(s.term) {
		return nil, errs.New(errs.NotLeader, "call the leader", "%s does not lead", n.opts.Name)
	}
	return s, nil
}

// applied is called for each committed command.
func (n *Node) applied(c rollout.Command, o rollout.Outcome) {
	if c.Depart != nil {
		n.registry.MarkLeaving(c.Depart.Server, c.Depart.Incarnation)
	}
	if s := n.session.Load(); s != nil && o.Changed {
		s.applied(c)
	}
}

// follow keeps the registry of a VM that does not lead up to date, so that it knows the servers when it takes over.
func (n *Node) follow(ctx context.Context) {
	var term, revision uint64
	for ctx.Err() == nil {
		leader := n.replica.Status().LeaderAddress
		if leader == "" || leader == n.opts.Address {
			sleep(ctx, heartbeatInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, FollowPollTimeout+forwardTimeout)
		reply, err := link.Call[FollowRequest, FollowReply](callCtx, n.client, leader, MethodFollow,
			FollowRequest{VM: n.opts.Name, Term: term, ServersRevision: revision, ConfigurationVersion: ^uint64(0)})
		cancel()
		if err != nil {
			sleep(ctx, heartbeatInterval)
			continue
		}
		if reply.ServersSent {
			n.registry.Replace(reply.Servers, boottime.Now())
		}
		term, revision = reply.Term, reply.ServersRevision
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replicas returns the link addresses of the members.
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

// propose commits a command. Errors are of the kinds of replica.Propose.
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

// Configuration returns the configuration that this VM holds; it may not be the newest.
func (n *Node) Configuration() *routes.Configuration { return n.state.Configuration() }
