package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/raft"
)

// tickInterval is the interval of clock ticks, with the same ratio to the heartbeat interval as in package replica.
const tickInterval = raft.DefaultHeartbeatInterval / 4

// Network configures all links. Messages between two servers may arrive out of order.
type Network struct {
	MinDelay, MaxDelay time.Duration
	Loss, Duplicate    float64 // probabilities
}

// DefaultNetwork has the latency that the deployments have between failure domains.
var DefaultNetwork = Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}

// Options configure a Cluster.
type Options struct {
	Seed    uint64
	Voters  []raft.Member
	Network Network
	// ClockRates are the rates of the servers' clocks relative to virtual time, by server name. The default is 1.
	ClockRates map[string]float64
	// SnapshotEvery is the number of applied entries between snapshots; zero means none.
	SnapshotEvery uint64
	// MaxBatchBytes is passed to every raft node.
	MaxBatchBytes int
	// ClockDriftUnbounded says that Rates exceed the assumed drift, so that no lease can be relied on.
	ClockDriftUnbounded bool
	Mutations           raft.Mutations
}

// Cluster is a simulated raft group in virtual time.
type Cluster struct {
	opts          Options
	rng           *rand.Rand
	now           time.Duration
	events        eventHeap
	eventCount    uint64
	servers       map[string]*Server // by name
	sortedServers []*Server          // sorted by name
	byID          map[uint64]*Server // by current instance number
	blocked       map[link]bool
	lastInstance  uint64 // highest instance number in use
	checker       checker

	// Hook is called at every injection point of every server. It may inject faults.
	Hook func(p Point)
}

type link struct{ from, to string }

// New returns a cluster whose voters start with the initial state of a new raft group.
func New(o Options) *Cluster {
	c := &Cluster{
		opts:    o,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		servers: map[string]*Server{},
		byID:    map[uint64]*Server{},
		blocked: map[link]bool{},
		checker: newChecker(),
	}
	c.checker.driftUnbounded = o.ClockDriftUnbounded
	for _, m := range o.Voters {
		c.lastInstance = max(c.lastInstance, m.ID)
	}
	state := raft.InitialState(o.Voters)
	for _, m := range o.Voters {
		c.add(m, state)
	}
	return c
}

// Add starts a server with an empty disk and a new instance number. It is not a member of the group yet.
func (c *Cluster) Add(name, domain string) *Server {
	c.lastInstance++
	return c.add(raft.Member{ID: c.lastInstance, Name: name, FailureDomain: domain, Address: name}, raft.DurableState{})
}

func (c *Cluster) add(m raft.Member, state raft.DurableState) *Server {
	s := &Server{cluster: c, Member: m, clockRate: 1}
	if r, ok := c.opts.ClockRates[m.Name]; ok {
		s.clockRate = r
	}
	s.clockOffset = time.Duration(c.rng.Int64N(int64(time.Hour)))
	s.disk = newDisk(state)
	c.servers[m.Name] = s
	c.sortedServers = append(c.sortedServers, s)
	slices.SortFunc(c.sortedServers, func(a, b *Server) int { return strings.Compare(a.Name, b.Name) })
	c.byID[m.ID] = s
	s.start()
	c.After(time.Duration(c.rng.Int64N(int64(tickInterval))), s.tick)
	return s
}

// Now returns the virtual time.
func (c *Cluster) Now() time.Duration { return c.now }

// Server returns the server with the given name.
func (c *Cluster) Server(name string) *Server { return c.servers[name] }

// Servers returns all servers ordered by name.
func (c *Cluster) Servers() []*Server { return c.sortedServers }

// Leader returns the running server that leads with the highest term, or nil if none leads.
func (c *Cluster) Leader() *Server {
	var best *Server
	for _, s := range c.Servers() {
		if s.Running() && s.node.Status().Role == raft.Leader && (best == nil || s.node.Status().Term > best.node.Status().Term) {
			best = s
		}
	}
	return best
}

// Err returns the first violation of a safety property, or nil.
func (c *Cluster) Err() error { return c.checker.err }

// SetLinkCut cuts or restores the link from one server to another, in this direction only.
func (c *Cluster) SetLinkCut(from, to string, cut bool) { c.blocked[link{from, to}] = cut }

// SetServerLinksCut cuts or restores the outgoing links of a server, the incoming ones, or both.
func (c *Cluster) SetServerLinksCut(name string, outgoing, incoming, cut bool) {
	for other := range c.servers {
		if other == name {
			continue
		}
		if outgoing {
			c.SetLinkCut(name, other, cut)
		}
		if incoming {
			c.SetLinkCut(other, name, cut)
		}
	}
}

// transmit sends a message over the network, which may lose or duplicate it.
func (c *Cluster) transmit(from *Server, m raft.Message) {
	c.checker.checkVote(m)
	to := c.byID[m.To]
	if from.dropNext {
		from.dropNext = false
		return
	}
	if to == nil || c.randomBool(c.opts.Network.Loss) {
		return
	}
	c.deliverAfter(c.delay(), from.Name, m)
	if c.randomBool(c.opts.Network.Duplicate) {
		c.deliverAfter(c.delay(), from.Name, m)
	}
}

// delay returns a random network delay.
func (c *Cluster) delay() time.Duration {
	n := c.opts.Network
	if n.MaxDelay <= n.MinDelay {
		return n.MinDelay
	}
	return n.MinDelay + time.Duration(c.rng.Int64N(int64(n.MaxDelay-n.MinDelay)))
}

// randomBool returns true with probability p.
func (c *Cluster) randomBool(p float64) bool { return p > 0 && c.rng.Float64() < p }

// deliverAfter delivers m after d, unless the link is cut now or on arrival.
func (c *Cluster) deliverAfter(d time.Duration, from string, m raft.Message) {
	to := c.byID[m.To]
	if to == nil || c.blocked[link{from, to.Name}] {
		return
	}
	c.After(d, func() {
		if to := c.byID[m.To]; to != nil && !c.blocked[link{from, to.Name}] {
			to.receive(m)
		}
	})
}

// DeliverAfter sends a copy of a message after the virtual duration d.
func (c *Cluster) DeliverAfter(d time.Duration, from *Server, m raft.Message) {
	c.deliverAfter(d, from.Name, m)
}

// DropNextMessage drops the next message that the server sends.
func (c *Cluster) DropNextMessage(from *Server) { from.dropNext = true }

// Replace asks the leader to let the named server replace the voter named old, and repeats this until it is done. A
// voter that already has the server's own name is replaced first, as in Replica.HandleJoin.
func (c *Cluster) Replace(old, name string) {
	const retry = 50 * time.Millisecond
	if c.Replaced(old, name) {
		return
	}
	if l := c.Leader(); l != nil && l.Idle() {
		configuration := l.node.Status().Configuration
		voter, ok := configuration.VoterByName(name)
		if !ok {
			voter, _ = configuration.VoterByName(old)
		}
		_ = l.node.AddLearner(raft.Learner{Member: c.servers[name].Member, Replaces: voter.ID})
		l.runPending()
	}
	c.After(retry, func() { c.Replace(old, name) })
}

// Replaced reports whether the leader has committed a configuration in which the named server's instance is a
// voter and the voter named old is not.
func (c *Cluster) Replaced(old, name string) bool {
	l := c.Leader()
	if l == nil {
		return false
	}
	s := l.node.Status()
	voter, ok := s.Configuration.VoterByName(name)
	_, oldIsVoter := s.Configuration.VoterByName(old)
	return s.Commit >= s.ConfigurationIndex && !s.Configuration.Joint() &&
		ok && voter.ID == c.servers[name].ID && (old == name || !oldIsVoter)
}

// Members returns n voters named a, b, c and so on, with instance numbers from 1, each in a failure domain of its
// own.
func Members(n int) []raft.Member {
	list := make([]raft.Member, 0, n)
	for i := range n {
		name := string(rune('a' + i))
		list = append(list, raft.Member{ID: uint64(i + 1), Name: name, FailureDomain: fmt.Sprintf("domain-%d", i+1), Address: name})
	}
	return list
}
