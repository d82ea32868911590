// Package weights rolls out new weight versions to the engines.
//
// The planner is pure: it is given what the servers announce and what has been published, and returns the
// orders to send. Loading and switching are separate orders: loading is bounded by the rate of the weight
// store, switching by the share of a pool that may switch at one moment.
package weights

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// OrderKind tells an engine what to do with a weight version.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderSwitch OrderKind = "switch"
	OrderUnload OrderKind = "unload"
)

// Server is what the planner knows of an engine, from its announcements and from reading back its state.
type Server struct {
	ID      api.ServerID
	Address string
	Pool    api.Pool
	Model   string
	Current api.WeightVersion
	Loaded  []api.WeightVersion
	Fencing api.Fencing
}

func (s Server) hasLoaded(v api.WeightVersion) bool { return slices.Contains(s.Loaded, v) }

// Order is an order that the caller of Plan must send to one engine and then report.
type Order struct {
	Server  Server
	Kind    OrderKind
	Version api.WeightVersion
}

// Target names the versions that the servers of a model have to run.
type Target struct {
	Newest api.WeightVersion
	// Pinned are older versions that some row of the model needs because its weight rule excludes Newest.
	Pinned []api.WeightVersion
	// Staged is a version that the weight store holds and that is not yet published. Servers load it ahead, so
	// that its publication needs switches only. Zero means none.
	Staged api.WeightVersion
}

// PlannerOptions of a planner. Zero values select the defaults.
type PlannerOptions struct {
	MaxConcurrentLoads int           // concurrent load orders over all pools; default 4
	LoadTimeout        time.Duration // time after which a load order counts as failed; default 2 min
	OrderTimeout       time.Duration // time after which a switch order counts as failed; default 2 s
	MaxFailures        int           // failed orders for one version before a server is given up for it; default 3
	MaxLoadedVersions  int           // versions that a server may hold in memory; default 2
}

func (o *PlannerOptions) setDefaults() {
	o.MaxConcurrentLoads = cmp.Or(o.MaxConcurrentLoads, 4)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, 2*time.Minute)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, 2*time.Second)
	o.MaxFailures = cmp.Or(o.MaxFailures, 3)
	o.MaxLoadedVersions = cmp.Or(o.MaxLoadedVersions, 2)
}

type pending struct {
	kind    OrderKind
	version api.WeightVersion
	expires time.Duration
}

// OrderOutcome is the end of an order: its effect was seen, or it failed.
type OrderOutcome struct {
	Server    api.ServerID
	Kind      OrderKind
	Version   api.WeightVersion
	Succeeded bool
	// Failures counts the failed orders of the server for the version; MaxFailures ends them.
	Failures int
}

type failureKey struct {
	server  api.ServerID
	version api.WeightVersion
}

// Planner decides which orders to send. It is not safe for concurrent use.
type Planner struct {
	opts     PlannerOptions
	pending  map[api.ServerID]pending
	failures map[failureKey]int
	effects  []OrderOutcome
}

// NewPlanner returns a planner without outstanding orders.
func NewPlanner(opts PlannerOptions) *Planner {
	opts.setDefaults()
	return &Planner{
		opts:     opts,
		pending:  make(map[api.ServerID]pending),
		failures: make(map[failureKey]int),
	}
}

// TargetForModel returns the target of a model from the rows of the table and its newest published version. A row whose
// rule excludes the newest version pins the newest version that it admits.
func TargetForModel(model string, newest api.WeightVersion, rows *table.Snapshot) Target {
	t := Target{Newest: newest}
	rows.Rows(func(r table.Row) {
		if r.Model != model || r.Weights.Allows(newest) || r.Weights.Max == 0 || r.Weights.Max > newest {
			return
		}
		if !slices.Contains(t.Pinned, r.Weights.Max) {
			t.Pinned = append(t.Pinned, r.Weights.Max)
		}
	})
	slices.Sort(t.Pinned)
	return t
}

// Plan returns the orders to send now. The result of each order that could not be delivered must be given to
// Failed; success shows in the servers' announced state.
func (p *Planner) Plan(now time.Duration, servers []Server, targets map[string]Target) []Order {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	p.settle(now, servers)
	wanted := assign(servers, targets)
	var orders []Order
	for _, group := range byPool(servers) {
		orders = append(orders, p.planPool(now, group, wanted)...)
		orders = append(orders, p.stage(now, group, wanted, targets)...)
	}
	return orders
}

// settle drops outstanding orders that took effect and counts those that ran out of time as failures.
func (p *Planner) settle(now time.Duration, servers []Server) {
	known := make(map[api.ServerID]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		o, ok := p.pending[s.ID]
		switch {
		case !ok:
		case o.kind == OrderLoad && s.hasLoaded(o.version),
			o.kind == OrderSwitch && s.Current == o.version,
			o.kind == OrderUnload && !s.hasLoaded(o.version):
			delete(p.pending, s.ID)
			delete(p.failures, failureKey{s.ID, o.version})
			p.effects = append(p.effects, OrderOutcome{Server: s.ID, Kind: o.kind, Version: o.version, Succeeded: true})
		case now >= o.expires:
			p.RecordFailure(s.ID)
		}
	}
	for id := range p.pending {
		if !known[id] {
			delete(p.pending, id)
		}
	}
}

// RecordFailure counts the outstanding order of a server as failed, so that the next plan may repeat it.
func (p *Planner) RecordFailure(id api.ServerID) {
	o, ok := p.pending[id]
	if !ok {
		return
	}
	key := failureKey{id, o.version}
	p.failures[key]++
	delete(p.pending, id)
	p.effects = append(p.effects, OrderOutcome{Server: id, Kind: o.kind, Version: o.version, Failures: p.failures[key]})
}

// TakeOutcomes returns the orders that ended since the last call.
func (p *Planner) TakeOutcomes() []OrderOutcome {
	out := p.effects
	p.effects = nil
	return out
}

// GivenUp reports whether the planner stopped ordering version v on server id after repeated failures.
func (p *Planner) GivenUp(id api.ServerID, v api.WeightVersion) bool {
	return p.failures[failureKey{id, v}] >= p.opts.MaxFailures
}

// SetMaxConcurrentLoads changes the number of concurrent load orders; zero leaves it as it is.
func (p *Planner) SetMaxConcurrentLoads(n int) {
	p.opts.MaxConcurrentLoads = cmp.Or(n, p.opts.MaxConcurrentLoads)
}

// pinnedShare is the divisor that gives the share of a model's servers kept for each pinned version.
const pinnedShare = 8

// assign returns the version that each server should run. Servers that already run a pinned version are kept
// for it first, so that pinning causes no switches.
func assign(servers []Server, targets map[string]Target) map[api.ServerID]api.WeightVersion {
	wanted := make(map[api.ServerID]api.WeightVersion, len(servers))
	count := make(map[string]int)
	for _, s := range servers {
		if t, ok := targets[s.Model]; ok && t.Newest > 0 {
			wanted[s.ID] = t.Newest
			count[s.Model]++
		}
	}
	for model, t := range targets {
		for _, v := range t.Pinned {
			keepPinned(servers, wanted, model, v, t.Newest, max(1, count[model]/pinnedShare))
		}
	}
	return wanted
}

func keepPinned(servers []Server, wanted map[api.ServerID]api.WeightVersion, model string, v, newest api.WeightVersion, n int) {
	candidates := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.Model != model || wanted[s.ID] != newest
	})
	slices.SortStableFunc(candidates, func(a, b Server) int { return cmp.Compare(distance(a, v), distance(b, v)) })
	for i := 0; i < n && i < len(candidates)-1; i++ {
		wanted[candidates[i].ID] = v
	}
}

// distance ranks servers for running version v: running it, having it loaded, neither.
func distance(s Server, v api.WeightVersion) int {
	switch {
	case s.Current == v:
		return 0
	case s.hasLoaded(v):
		return 1
	default:
		return 2
	}
}

func byPool(servers []Server) [][]Server {
	groups := make(map[api.Pool][]Server)
	var names []api.Pool
	for _, s := range servers {
		if _, ok := groups[s.Pool]; !ok {
			names = append(names, s.Pool)
		}
		groups[s.Pool] = append(groups[s.Pool], s)
	}
	slices.Sort(names)
	out := make([][]Server, 0, len(names))
	for _, n := range names {
		out = append(out, groups[n])
	}
	return out
}

func (p *Planner) planPool(now time.Duration, pool []Server, wanted map[api.ServerID]api.WeightVersion) []Order {
	var orders []Order
	switching := 0
	for _, s := range pool {
		if p.pending[s.ID].kind == OrderSwitch {
			switching++
		}
	}
	// At most half of a pool switches at one moment, so that the other half serves customers.
	maxSwitching := max(1, len(pool)/2)
	for _, s := range pool {
		v, ok := wanted[s.ID]
		if _, busy := p.pending[s.ID]; !ok || busy || s.Current == v || p.GivenUp(s.ID, v) {
			continue
		}
		switch {
		case s.hasLoaded(v) && switching < maxSwitching:
			switching++
			orders = append(orders, p.order(now, s, OrderSwitch, v))
		case s.hasLoaded(v):
		default:
			orders = append(orders, p.load(now, s, v)...)
		}
	}
	return orders
}

// stage loads the staged version on servers that already run what they should.
func (p *Planner) stage(now time.Duration, pool []Server, wanted map[api.ServerID]api.WeightVersion, targets map[string]Target) []Order {
	var orders []Order
	for _, s := range pool {
		t := targets[s.Model]
		_, busy := p.pending[s.ID]
		if busy || t.Staged <= t.Newest || s.Current != wanted[s.ID] || wanted[s.ID] != t.Newest ||
			s.hasLoaded(t.Staged) || p.GivenUp(s.ID, t.Staged) {
			continue
		}
		orders = append(orders, p.load(now, s, t.Staged)...)
	}
	return orders
}

// load returns the order that brings version v nearer to the server's memory: one to make room, or the load.
func (p *Planner) load(now time.Duration, s Server, v api.WeightVersion) []Order {
	if len(s.Loaded) >= p.opts.MaxLoadedVersions {
		if old, ok := evict(s); ok {
			return []Order{p.order(now, s, OrderUnload, old)}
		}
		return nil
	}
	if p.loads() >= p.opts.MaxConcurrentLoads {
		return nil
	}
	return []Order{p.order(now, s, OrderLoad, v)}
}

func (p *Planner) loads() int {
	n := 0
	for _, o := range p.pending {
		if o.kind == OrderLoad {
			n++
		}
	}
	return n
}

// evict returns the oldest loaded version that the server does not run.
func evict(s Server) (api.WeightVersion, bool) {
	loaded := slices.Sorted(slices.Values(s.Loaded))
	for _, v := range loaded {
		if v != s.Current {
			return v, true
		}
	}
	return 0, false
}

func (p *Planner) order(now time.Duration, s Server, k OrderKind, v api.WeightVersion) Order {
	timeout := p.opts.OrderTimeout
	if k == OrderLoad {
		timeout = p.opts.LoadTimeout
	}
	p.pending[s.ID] = pending{kind: k, version: v, expires: now + timeout}
	return Order{Server: s, Kind: k, Version: v}
}

func describe(o Order) string {
	return fmt.Sprintf("%s version %d of %s", o.Kind, o.Version, o.Server.Model)
}
