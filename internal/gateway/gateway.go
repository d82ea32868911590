// Package gateway implements an entry VM: it forwards callers' requests to backend servers and relays batch calls to
// the leader.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/budget"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

const (
	// followTimeoutMargin is how much longer than coordinator.FollowPollTimeout the leader may take to answer a
	// follow call.
	followTimeoutMargin = 500 * time.Millisecond
	// leaderRetryDelay is the longest delay between attempts to find or to call a leader.
	leaderRetryDelay = 100 * time.Millisecond
	// leaderSearchTimeout limits one round of asking all known VMs which of them leads.
	leaderSearchTimeout = 250 * time.Millisecond
	// retryAfter is the delay after which a refused caller should retry. startupRetryAfter is used instead until
	// this VM has its first configuration: the VMs that hold it may be starting at the same time, which takes
	// several hundred milliseconds.
	retryAfter        = 200 * time.Millisecond
	startupRetryAfter = 500 * time.Millisecond
	// confirmationTTL is how long after the leader confirmed its configuration an entry VM may answer that a route
	// does not exist. It is shorter than the time within which a new configuration must be in force everywhere.
	confirmationTTL = 1800 * time.Millisecond
	// leaderWaitTimeout is how long a batch call waits for a leader to be found.
	leaderWaitTimeout = 1500 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Name          string
	FailureDomain string
	Seeds         []string // addresses of VMs that hold the state; they may be out of date
	// AnnounceInterval is the time between two announcements of a backend server.
	AnnounceInterval time.Duration
	Exchanger        forward.Exchanger
	Prober           forward.Prober
	PeerAddress      string         // where other VMs reach this one's link; empty if it takes no requests of them
	Peers            *budget.Share  // of the connections that other VMs open; nil means no limit
	Budget           *budget.Budget // of what callers hold, which requests of other VMs count towards; nil means no limit
	Events           *events.Recorder
	// MinSchema is the lowest schema of a configuration that is used. One of a lower schema, which a leader of an earlier
	// build sends, counts as none: it does not tell which requests need a key.
	MinSchema uint64
	// KeyHeader and WorkspaceHeader are the names of the headers with a caller's key and with its workspace.
	KeyHeader       string
	WorkspaceHeader string
	// RevokeStrictly refuses requests that need a key once the configuration has not been confirmed for RevocationTime.
	RevokeStrictly bool
	RevocationTime time.Duration // 0 means 5 s
	// BalancesLoad makes this VM choose servers by their load. Otherwise it does so once the leader asks for it.
	BalancesLoad bool
	// ProcessorShare is the number of processor cores that this VM may use; 0 if it is unknown.
	ProcessorShare float64
}

// Gateway forwards the requests and batch calls of an entry VM. Its methods are safe for concurrent use.
type Gateway struct {
	opts      Options
	client    *link.Client
	registry  *fleet.Registry
	forwarder *forward.Forwarder
	limiter   *limiter
	suspects  *suspectReporter
	handover  *handover
	detour    *forward.Detour
	usage     *usageReporter
	load      *loadReporter

	configuration atomic.Pointer[routes.Configuration]
	confirmedAt   atomic.Int64 // confirmationTime of the last answered follow call, in nanoseconds since boot
	inFlight      atomic.Int64
	stopping      atomic.Pointer[stop] // nil unless a planned stop has begun
	requestsEnd   context.Context      // ends when the requests in flight must
	endRequests   context.CancelFunc

	mu          sync.Mutex
	seeds       []string
	replicas    []string // addresses of the VMs that hold the state, from the last leader
	leader      string
	leaderFound chan struct{} // closed while a leader is known
}

// New returns a gateway without a configuration. Run obtains one.
func New(o Options) *Gateway {
	o.RevocationTime = cmp.Or(o.RevocationTime, defaultRevocationTime)
	registry := fleet.NewRegistry(o.AnnounceInterval)
	g := &Gateway{opts: o, client: link.NewClient(), registry: registry, seeds: o.Seeds, leaderFound: make(chan struct{})}
	g.requestsEnd, g.endRequests = context.WithCancel(context.Background())
	g.limiter = newLimiter(o.Name, g.client, g.currentLeader, o.Events)
	g.suspects = newSuspectReporter(o, g.client, g.currentLeader)
	g.usage = newUsageReporter(o, g.client, g.currentLeader)
	g.handover = newHandover(g)
	g.load = newLoadReporter(o)
	g.detour = forward.NewDetour(forward.DetourOptions{Registry: registry, Prober: o.Prober, Peers: g.handover, Events: o.Events, Clock: boottime.Now})
	g.forwarder = forward.New(forward.Options{FailureDomain: o.FailureDomain, Registry: registry, Exchanger: o.Exchanger, Events: o.Events, Limiter: g.limiter, Streams: streamRecords{g}, Suspects: g.suspects.suspects, Detour: g.detour, Usage: g.usage, Balancer: g.load.tracker})
	return g
}

// SetSeeds replaces Options.Seeds after the settings changed.
func (g *Gateway) SetSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = addresses
}

// Ready reports whether requests can be forwarded, which needs a configuration.
func (g *Gateway) Ready() bool { return g.Configuration() != nil }

// InFlight returns the number of calls to Forward that have not returned yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Configuration returns the configuration in force on this VM, or nil if there is none that it may use.
func (g *Gateway) Configuration() *routes.Configuration {
	c := g.configuration.Load()
	if c == nil || c.Schema < g.opts.MinSchema {
		return nil
	}
	return c
}

// RetryAfter returns the delay after which a caller that is refused with err should retry.
func (g *Gateway) RetryAfter(err error) time.Duration {
	if g.Configuration() == nil {
		return startupRetryAfter
	}
	var refused *forward.RefusedError
	if errors.As(err, &refused) {
		return max(retryAfter, refused.RetryAfter.Round(time.Millisecond))
	}
	return retryAfter
}

// ConfigurationConfirmed reports whether the leader confirmed within confirmationTTL that the configuration is the
// newest.
func (g *Gateway) ConfigurationConfirmed() bool {
	return boottime.Now()-time.Duration(g.confirmedAt.Load()) < confirmationTTL
}

// MatchRoute returns the route for a host and a path. The error is of kind errs.NotFound only if the leader recently
// confirmed that the configuration without such a route is the newest, otherwise of kind errs.Unavailable.
func (g *Gateway) MatchRoute(host, path string) (*routes.Route, error) {
	c := g.Configuration()
	if c == nil {
		return nil, errNoConfiguration()
	}
	if r := c.Match(host, path); r != nil {
		return r, nil
	}
	if !g.ConfigurationConfirmed() {
		return nil, errs.New(errs.Unavailable, "call again in a second", "this VM cannot confirm that its configuration is the newest")
	}
	return nil, errs.New(errs.NotFound, "check the host and the path", "no route leads to %s%s", host, path)
}

// Forward sends a request to servers of its route's service, as forward.Forwarder.Forward does.
func (g *Gateway) Forward(ctx context.Context, r *forward.Request, route *routes.Route) (*forward.Response, error) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if c := g.configuration.Load(); c != nil {
		r.ConfigurationVersion = c.Version
	}
	if err := g.checkStop(r, route); err != nil {
		g.RecordRefusal(r.ID, err)
		return nil, err
	}
	ctx, release := g.untilStop(ctx)
	defer release()
	response, err := g.forwarder.Forward(ctx, r, route)
	if refusalReason(err) != "" {
		g.RecordRefusal(r.ID, err)
	}
	return response, err
}

// RecordRefusal records an event for a refused call, with the version of the configuration that was in force.
func (g *Gateway) RecordRefusal(id string, err error) {
	detail := "no configuration"
	if c := g.configuration.Load(); c != nil {
		detail = fmt.Sprintf("configuration %d, not confirmed by a leader", c.Version)
		if confirmedAt := time.Duration(g.confirmedAt.Load()); confirmedAt > 0 {
			detail = fmt.Sprintf("configuration %d, confirmed %s ago", c.Version, (boottime.Now() - confirmedAt).Round(time.Millisecond))
		}
	}
	e := events.Event{Name: events.RequestRefused, Request: id, Detail: detail + ": " + err.Error()}
	if reason := refusalReason(err); reason != "" {
		e.Name, e.Reason = events.KeyRefused, reason
	}
	g.opts.Events.Record(e)
}

const (
	// leavingReportTimeout limits a call that tells the leader of a leaving server, and leavingReportTries the number of
	// them. The server also announces that it leaves.
	leavingReportTimeout = 500 * time.Millisecond
	leavingReportTries   = 4
)

// ServerLeaving records that a server said in a response that it leaves: it gets no more requests from this VM, and soon
// from no other. Its next start is a server like any other.
func (g *Gateway) ServerLeaving(server fleet.Server) {
	if !g.registry.MarkLeaving(server.ID, server.Incarnation) {
		return
	}
	g.opts.Events.Record(events.Event{Name: events.ServerLeaving, Server: api.ServerID(server.ID), Detail: "stated in a response"})
	go func() {
		var err error
		for range leavingReportTries {
			if err = g.reportLeaving(server); err == nil {
				return
			}
			forward.SleepWithJitter(context.Background(), leaderRetryDelay)
		}
		g.opts.Events.Log().WithError(err).WithField("server", server.ID).Info("cannot tell the leader that a server leaves; other VMs learn it from the server")
	}()
}

func (g *Gateway) reportLeaving(server fleet.Server) error {
	leader := g.currentLeader()
	if leader == "" {
		return errs.New(errs.Unavailable, "check the VMs that hold the state", "no leader is known")
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingReportTimeout)
	defer cancel()
	return coordinator.ReportLeaving(ctx, g.client, leader, rollout.ServerIncarnation{Server: server.ID, Incarnation: server.Incarnation})
}

// ServePeers takes requests of other VMs on ln until ctx ends.
func (g *Gateway) ServePeers(ctx context.Context, ln net.Listener) error {
	server := link.NewServer()
	server.OnMalformedFrame = func(remote string, err error) {
		g.opts.Events.Log().WithField("remote", remote).WithError(err).Warn("another VM sent a malformed frame")
	}
	if g.opts.Peers != nil {
		server.LimitConnections(g.opts.Peers)
	}
	g.handover.serve(server)
	return server.Serve(ctx, ln)
}

// CutOff reports whether this VM has lost its links to all servers, so that requests go through other VMs.
func (g *Gateway) CutOff() bool { return g.detour.CutOff() }

// Run finds the leader and receives configurations and server lists from it until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.limiter.reportLoop(ctx)
	go g.suspects.loop(ctx)
	go g.usage.loop(ctx)
	q := coordinator.FollowRequest{VM: g.opts.Name, Forwards: true, FailureDomain: g.opts.FailureDomain, PeerAddress: g.opts.PeerAddress, ProcessorShare: g.opts.ProcessorShare}
	lostAt := time.Now()
	for ctx.Err() == nil {
		leader := g.currentLeader()
		if leader == "" && g.Configuration() == nil {
			go g.fetchUnconfirmed(ctx)
		}
		if leader == "" {
			leader = g.findLeader(ctx)
		}
		sentAt := boottime.Now()
		q.SinceContact, q.Members = g.limiter.contact(sentAt)
		q.TakesRequests = g.handover.accepts()
		g.usage.addTo(&q)
		q.Load = g.load.report(q.Term, sentAt)
		reply, err := g.follow(ctx, leader, q)
		if err != nil {
			if g.clearLeader() {
				lostAt = time.Now()
				g.opts.Events.Record(events.Event{Name: events.DependencyLost, Detail: "leader at " + leader + ": " + err.Error()})
			}
			forward.SleepWithJitter(ctx, leaderRetryDelay)
			continue
		}
		receivedAt := boottime.Now()
		g.usage.applyFollowReply(&reply, sentAt, receivedAt)
		if q.Term != reply.Term {
			g.limiter.wakeReports() // a new leader may not know the limits yet
			q.ConfigurationVersion = g.versionForLeader(q.ConfigurationVersion)
		}
		q.Term, q.ServersRevision, q.LimitsRevision, q.SuspectsRevision = reply.Term, reply.ServersRevision, reply.LimitsRevision, reply.SuspectsRevision
		g.applyReply(reply, &q)
		// Only now is the configuration that the reply confirms in force.
		g.confirmedAt.Store(int64(confirmationTime(sentAt, receivedAt, reply.Held)))
		g.suspects.merge(reply.Suspects)
		g.load.apply(&reply)
		if q.PeersDigest = reply.PeersDigest; reply.PeersSent {
			g.handover.setPeers(reply.Peers)
		}
		g.limiter.applyFollowReply(&reply, sentAt, func(server string) bool { _, ok := g.registry.Get(server); return ok })
		if g.setLeader(leader, reply.Replicas) {
			g.opts.Events.Record(events.Event{Name: events.DependencyRegained, Detail: "leader at " + leader + " after " + time.Since(lostAt).Round(time.Millisecond).String()})
		}
	}
	g.client.Close()
}

// confirmationTime returns a time at which the state in a reply to a follow call was certainly the newest: the leader
// read it after it had held the call for the given time.
func confirmationTime(sentAt, receivedAt, held time.Duration) time.Duration {
	return min(sentAt+max(held, 0), receivedAt)
}

func (g *Gateway) follow(ctx context.Context, leader string, q coordinator.FollowRequest) (coordinator.FollowReply, error) {
	if leader == "" {
		return coordinator.FollowReply{}, errs.New(errs.Unavailable, "check the VMs that hold the state", "no VM is the leader")
	}
	ctx, cancel := context.WithTimeout(ctx, coordinator.FollowPollTimeout+followTimeoutMargin)
	defer cancel()
	return coordinator.Follow(ctx, g.client, leader, q)
}

// applyReply applies the servers and the configuration that the leader sent, and sets the version in the next
// follow request.
func (g *Gateway) applyReply(reply coordinator.FollowReply, next *coordinator.FollowRequest) {
	if reply.ServersSent {
		coordinator.LogRejectedServers(g.opts.Events, g.registry.Replace(reply.Servers, boottime.Now()))
	}
	if c := reply.Configuration; c != nil && c.Version > next.ConfigurationVersion {
		next.ConfigurationVersion = c.Version
		if !g.installIfNewer(c) {
			return // this version was already in force, unconfirmed, and its event is recorded
		}
		if c.Schema < g.opts.MinSchema {
			g.opts.Events.Record(events.Event{Name: events.ConfigurationRefused, Detail: describeVersion(c.Version, reply.Term) + " does not tell which requests need a key: the leader runs an earlier build; requests are refused"})
			return
		}
		g.opts.Events.Record(events.Event{Name: events.ConfigurationInForce, Detail: describeVersion(c.Version, reply.Term)})
	}
}

// installIfNewer puts a configuration in force unless its version is at most the current one. The same version with a
// higher schema is newer: the earlier build that sent the current one left parts of the document out. It reports whether
// it did.
func (g *Gateway) installIfNewer(c *routes.Configuration) bool {
	c.Document = nil // only the leader needs the document
	for {
		current := g.configuration.Load()
		if current != nil && (current.Version > c.Version || current.Version == c.Version && current.Schema >= c.Schema) {
			return false
		}
		if g.configuration.CompareAndSwap(current, c) {
			return true
		}
	}
}

// versionForLeader returns the version of the configuration that a new leader is told: none if an earlier build sent the
// configuration, since the new leader may send it with everything that its document holds.
func (g *Gateway) versionForLeader(held uint64) uint64 {
	if c := g.configuration.Load(); c != nil && c.Schema < routes.CurrentSchema {
		return 0
	}
	return held
}

func (g *Gateway) currentLeader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// findLeader asks all known VMs concurrently and returns the leader's address, or an empty string. A VM that does not
// answer does not delay the others.
func (g *Gateway) findLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	candidates := g.leaderCandidates()
	type answer struct {
		address string
		reply   coordinator.LeaderReply
	}
	answers := make(chan answer, len(candidates))
	for _, address := range candidates {
		go func() {
			r, err := coordinator.QueryLeader(ctx, g.client, address)
			if err != nil {
				r = coordinator.LeaderReply{} // a failed call counts as "not the leader"
			}
			answers <- answer{address, r}
		}()
	}
	for range candidates {
		select {
		case a := <-answers:
			g.addReplicas(a.reply.Replicas)
			if a.reply.IsLeader {
				return a.address
			}
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// fetchUnconfirmed installs the newest configuration that any known VM has, so that requests are forwarded while
// there is no leader. Until a leader confirms a configuration, callers are not told that a route does not exist.
func (g *Gateway) fetchUnconfirmed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	candidates := g.leaderCandidates()
	replies := make(chan coordinator.PeekReply, len(candidates))
	for _, address := range candidates {
		go func() {
			r, err := coordinator.PeekState(ctx, g.client, address)
			if err != nil {
				r = coordinator.PeekReply{} // a failed call counts as "no configuration"
			}
			replies <- r
		}()
	}
	for range candidates {
		select {
		case r := <-replies:
			if r.Configuration == nil || !g.installIfNewer(r.Configuration) {
				continue
			}
			coordinator.LogRejectedServers(g.opts.Events, g.registry.Merge(r.Servers, boottime.Now()))
			g.opts.Events.Record(events.Event{Name: events.ConfigurationInForce, Detail: fmt.Sprintf("version %d, not confirmed: there is no leader", r.Configuration.Version)})
		case <-ctx.Done():
			return
		}
	}
}

// leaderCandidates returns the addresses of the VMs that may be the leader.
func (g *Gateway) leaderCandidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := slices.Concat(g.replicas, g.seeds)
	slices.Sort(list)
	return slices.Compact(list)
}

// addReplicas adds addresses of VMs that hold the state.
func (g *Gateway) addReplicas(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(g.replicas, a) {
			g.replicas = append(g.replicas, a)
		}
	}
}

// clearLeader drops the leader's address and reports whether a leader was known.
func (g *Gateway) clearLeader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = ""
	select {
	case <-g.leaderFound:
		g.leaderFound = make(chan struct{})
		return true
	default:
		return false
	}
}

// setLeader sets the address of the leader and reports whether none was known before.
func (g *Gateway) setLeader(address string, replicas []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
	if len(replicas) > 0 {
		g.replicas = replicas
	}
	select {
	case <-g.leaderFound:
		return false
	default:
		close(g.leaderFound)
		return true
	}
}

// waitForLeader returns the address of the leader. If none is known, it waits for up to leaderWaitTimeout.
func (g *Gateway) waitForLeader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	g.mu.Lock()
	found := g.leaderFound
	g.mu.Unlock()
	select {
	case <-found:
		return g.currentLeader(), nil
	case <-ctx.Done():
		return "", errs.New(errs.Unavailable, "call again in a second", "no leader was found within %s", leaderWaitTimeout)
	}
}

func describeVersion(version, term uint64) string {
	return fmt.Sprintf("version %d from the leader of term %d", version, term)
}
