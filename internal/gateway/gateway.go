// Package gateway runs an entry VM: it forwards plain requests to backend servers and passes the calls of batches on
// to the VM that leads.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/link"
	"filbertledge/internal/routes"
)

const (
	// followMargin is how long an answer of the leader may take beyond the wait that it was asked for.
	followMargin = 500 * time.Millisecond
	// retryPause is the time between attempts to find a leader.
	retryPause = 100 * time.Millisecond
	// findTimeout bounds the search for the leader among the known VMs.
	findTimeout = 250 * time.Millisecond
	// returnAfter is when a refused caller may return, and startupReturn when this VM waits for its first
	// configuration: the VMs that hold it start with this one and need some hundred milliseconds.
	returnAfter   = 200 * time.Millisecond
	startupReturn = 500 * time.Millisecond
	// confirmedFor is how long an entry VM may say "no such route" after the leader confirmed its configuration. It
	// is shorter than the time within which a configuration must be in force.
	confirmedFor = 1800 * time.Millisecond
	// leaderWait is how long a call of a batch waits for a leader to be found.
	leaderWait = 1500 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Name          string
	FailureDomain string
	Seeds         []string // link addresses, possibly out of date
	// AnnounceInterval is the time between announcements of a server.
	AnnounceInterval time.Duration
	Exchanger        Exchanger
	Events           *events.Recorder
}

// Gateway is an entry VM. Its methods are safe for concurrent use.
type Gateway struct {
	opts     Options
	client   *link.Client
	registry *fleet.Registry
	health   *health

	configuration atomic.Pointer[routes.Configuration]
	confirmed     atomic.Int64 // boot time of the leader's last answer, in nanoseconds
	inFlight      atomic.Int64

	mu       sync.Mutex
	seeds    []string
	replicas []string // as the last leader named them
	leader   string
	found    chan struct{} // closed when a leader is found
}

// New returns a gateway that knows no configuration yet.
func New(o Options) *Gateway {
	return &Gateway{
		opts: o, client: link.NewClient(), registry: fleet.NewRegistry(o.AnnounceInterval), health: newHealth(),
		seeds: o.Seeds, found: make(chan struct{}),
	}
}

// SetSeeds replaces the addresses of the VMs that hold the state, after the settings changed.
func (g *Gateway) SetSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = addresses
}

// Ready reports whether requests can be served.
func (g *Gateway) Ready() bool { return g.configuration.Load() != nil }

// InFlight returns the number of requests that are not answered yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Configuration returns the configuration in force here, or nil.
func (g *Gateway) Configuration() *routes.Configuration { return g.configuration.Load() }

// RetryAfter is when a caller that was refused now may return.
func (g *Gateway) RetryAfter() time.Duration {
	if g.configuration.Load() == nil {
		return startupReturn
	}
	return returnAfter
}

// ConfigurationConfirmed reports whether the leader has just confirmed that the configuration is the newest.
func (g *Gateway) ConfigurationConfirmed() bool {
	return boottime.Now()-time.Duration(g.confirmed.Load()) < confirmedFor
}

// RecordRefusal records that a call with the given ID was refused here, with the configuration that decided it.
func (g *Gateway) RecordRefusal(id string, err error) {
	detail := "no configuration"
	if c := g.configuration.Load(); c != nil {
		age := boottime.Now() - time.Duration(g.confirmed.Load())
		detail = fmt.Sprintf("configuration %d, confirmed %s ago", c.Version, age.Round(time.Millisecond))
	}
	g.opts.Events.Record(events.Event{Name: events.RequestRefused, Request: id, Detail: detail + ": " + err.Error()})
}

// Run follows the leader until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	q := coordinator.FollowRequest{VM: g.opts.Name}
	lostAt := time.Now()
	for ctx.Err() == nil {
		leader := g.currentLeader()
		if leader == "" && g.configuration.Load() == nil {
			go g.peek(ctx)
		}
		if leader == "" {
			leader = g.findLeader(ctx)
		}
		sentAt := boottime.Now()
		reply, err := g.follow(ctx, leader, q)
		if err != nil {
			if g.loseLeader() {
				lostAt = time.Now()
				g.opts.Events.Record(events.Event{Name: events.DependencyLost, Detail: "leader at " + leader + ": " + err.Error()})
			}
			sleep(ctx, retryPause)
			continue
		}
		g.confirmed.Store(int64(sentAt))
		q.Term, q.ServersRevision = reply.Term, reply.ServersRevision
		g.take(reply, &q)
		if g.setLeader(leader, reply.Replicas) {
			g.opts.Events.Record(events.Event{Name: events.DependencyRegained, Detail: "leader at " + leader + " after " + time.Since(lostAt).Round(time.Millisecond).String()})
		}
	}
	g.client.Close()
}

func (g *Gateway) follow(ctx context.Context, leader string, q coordinator.FollowRequest) (coordinator.FollowReply, error) {
	if leader == "" {
		return coordinator.FollowReply{}, errs.New(errs.Unavailable, "check the VMs that hold the state", "no VM leads")
	}
	ctx, cancel := context.WithTimeout(ctx, coordinator.FollowPollTimeout+followMargin)
	defer cancel()
	return link.Call[coordinator.FollowRequest, coordinator.FollowReply](ctx, g.client, leader, coordinator.MethodFollow, q)
}

// take puts what the leader sent in force.
func (g *Gateway) take(r coordinator.FollowReply, q *coordinator.FollowRequest) {
	if r.ServersSent {
		g.registry.Replace(r.Servers, boottime.Now())
	}
	if c := r.Configuration; c != nil && c.Version > q.ConfigurationVersion {
		q.ConfigurationVersion = c.Version
		if !g.raise(c) {
			return // what it held without a leader is confirmed now
		}
		g.opts.Events.Record(events.Event{Name: events.ConfigurationInForce, Detail: versionText(c.Version, r.Term)})
	}
}

// raise puts a configuration in force unless one of that version or a higher one is.
func (g *Gateway) raise(c *routes.Configuration) bool {
	c.Document = nil // only the leader reads it back
	for {
		held := g.configuration.Load()
		if held != nil && held.Version >= c.Version {
			return false
		}
		if g.configuration.CompareAndSwap(held, c) {
			return true
		}
	}
}

func (g *Gateway) currentLeader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// findLeader asks all known VMs at once and returns the one that leads, or an empty string. A VM that does not
// answer delays nothing.
func (g *Gateway) findLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	candidates := g.candidates()
	type answer struct {
		address string
		reply   coordinator.LeaderReply
	}
	answers := make(chan answer, len(candidates))
	for _, address := range candidates {
		go func() {
			r, err := coordinator.QueryLeader(ctx, g.client, address)
			if err != nil {
				r = coordinator.LeaderReply{} // a VM that does not answer does not lead
			}
			answers <- answer{address, r}
		}()
	}
	for range candidates {
		select {
		case a := <-answers:
			g.learn(a.reply.Replicas)
			if a.reply.IsLeader {
				return a.address
			}
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// peek takes the newest configuration that any VM holds, so that requests are served while there is no leader. It is
// not confirmed: until a leader is found no caller is told that a route does not exist.
func (g *Gateway) peek(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	candidates := g.candidates()
	replies := make(chan coordinator.PeekReply, len(candidates))
	for _, address := range candidates {
		go func() {
			r, err := coordinator.PeekState(ctx, g.client, address)
			if err != nil {
				r = coordinator.PeekReply{} // a VM that does not answer knows nothing
			}
			replies <- r
		}()
	}
	for range candidates {
		select {
		case r := <-replies:
			if r.Configuration == nil || !g.raise(r.Configuration) {
				continue
			}
			g.registry.Merge(r.Servers, boottime.Now())
			g.opts.Events.Record(events.Event{Name: events.ConfigurationInForce, Detail: fmt.Sprintf("version %d, not confirmed: there is no leader", r.Configuration.Version)})
		case <-ctx.Done():
			return
		}
	}
}

// candidates returns the addresses of the VMs that may lead.
func (g *Gateway) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := slices.Concat(g.replicas, g.seeds)
	slices.Sort(list)
	return slices.Compact(list)
}

// learn adds addresses of VMs with the state.
func (g *Gateway) learn(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(g.replicas, a) {
			g.replicas = append(g.replicas, a)
		}
	}
}

// loseLeader forgets the leader and reports whether it was followed.
func (g *Gateway) loseLeader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = ""
	select {
	case <-g.found:
		g.found = make(chan struct{})
		return true
	default:
		return false
	}
}

// setLeader notes who leads and reports whether none was known before.
func (g *Gateway) setLeader(address string, replicas []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
	if len(replicas) > 0 {
		g.replicas = replicas
	}
	select {
	case <-g.found:
		return false
	default:
		close(g.found)
		return true
	}
}

// waitLeader returns the address of the leader, waiting a little for one to be found.
func (g *Gateway) waitLeader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	g.mu.Lock()
	found := g.found
	g.mu.Unlock()
	select {
	case <-found:
		return g.currentLeader(), nil
	case <-ctx.Done():
		return "", errs.New(errs.Unavailable, "call again in a second", "no leader was found within %s", leaderWait)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	// Entry VMs must not all ask at once after the leader was lost.
	jitter := time.Duration(rand.Int64N(int64(d)/2 + 1))
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + jitter):
	}
}
