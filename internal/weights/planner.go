// Package weights rolls out new weight versions to the engines.
//
// The planner has no side effects: from the announced states of the servers and the published versions, it computes the
// orders to send. Loading a version and switching to it are separate orders. Loads are limited by the transfer rate of
// the weight store, switches by the share of a pool that may switch at once.
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
	OrderLoad   OrderKind = "load"   // load the version into memory
	OrderSwitch OrderKind = "switch" // serve with the loaded version from now on
	OrderUnload OrderKind = "unload" // remove the version from memory
)

// Server is the state of an engine, from its announcements or from a query.
type Server struct {
	ID      api.ServerID
	Address string
	Pool    api.Pool
	Model   string
	Current api.WeightVersion   // version that the server runs
	Loaded  []api.WeightVersion // versions in memory
	Fencing api.Fencing         // whether the server checks fencing tokens
}

func (s Server) hasLoaded(v api.WeightVersion) bool { return slices.Contains(s.Loaded, v) }

// Order is an order that the caller of Plan must send to one engine.
type Order struct {
	Server  Server
	Kind    OrderKind
	Version api.WeightVersion
}

// Target holds the versions that the servers of a model should run.
type Target struct {
	Newest api.WeightVersion
	// Pinned holds older versions that some row of the model needs because its weight rule excludes Newest.
	Pinned []api.WeightVersion
	// Staged is a version in the weight store that is not yet published; zero if there is none. Servers load it ahead of
	// its publication, which then needs only switches.
	Staged api.WeightVersion
}

// Defaults of PlannerOptions.
const (
	defaultMaxConcurrentLoads = 4
	defaultLoadTimeout        = 2 * time.Minute
	defaultOrderTimeout       = 2 * time.Second
	defaultMaxFailures        = 3
	defaultMaxLoadedVersions  = 2
)

// PlannerOptions configures a Planner. Zero values select the defaults.
type PlannerOptions struct {
	MaxConcurrentLoads int           // concurrent load orders over all pools; default 4
	LoadTimeout        time.Duration // time after which a load order counts as failed; default 2 min
	OrderTimeout       time.Duration // time after which a switch order counts as failed; default 2 s
	MaxFailures        int           // failed orders for one version after which a server gets no more of them; default 3
	MaxLoadedVersions  int           // versions that a server may hold in memory; default 2
}

func (o *PlannerOptions) setDefaults() {
	o.MaxConcurrentLoads = cmp.Or(o.MaxConcurrentLoads, defaultMaxConcurrentLoads)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, defaultLoadTimeout)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, defaultOrderTimeout)
	o.MaxFailures = cmp.Or(o.MaxFailures, defaultMaxFailures)
	o.MaxLoadedVersions = cmp.Or(o.MaxLoadedVersions, defaultMaxLoadedVersions)
}

// pendingOrder is an order whose effect has not been seen yet.
type pendingOrder struct {
	kind     OrderKind
	version  api.WeightVersion
	deadline time.Duration // time after which the order counts as failed, on the clock of Plan
}

// OrderOutcome is the result of an order: either its effect was seen, or it failed.
type OrderOutcome struct {
	Server    api.ServerID
	Kind      OrderKind
	Version   api.WeightVersion
	Succeeded bool
	// Failures is the number of orders for the version that failed on the server. After MaxFailures no more are sent.
	Failures int
}

// failureKey identifies the orders for one version on one server.
type failureKey struct {
	server  api.ServerID
	version api.WeightVersion
}

// Planner decides which orders to send. It is not safe for concurrent use.
type Planner struct {
	opts     PlannerOptions
	pending  map[api.ServerID]pendingOrder
	failures map[failureKey]int
	outcomes []OrderOutcome
}

// NewPlanner returns a planner without pending orders.
func NewPlanner(opts PlannerOptions) *Planner {
	opts.setDefaults()
	return &Planner{
		opts:     opts,
		pending:  make(map[api.ServerID]pendingOrder),
		failures: make(map[failureKey]int),
	}
}

// TargetForModel computes the target of a model from its newest published version and the rows of the table. A row
// whose weight rule excludes the newest version pins the newest version that it allows.
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

// Plan returns the orders to send now. The caller must call RecordFailure for each order that could not be delivered;
// success is seen in the states of the servers. Time now is measured from any fixed moment.
func (p *Planner) Plan(now time.Duration, servers []Server, targets map[string]Target) []Order {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	p.resolvePending(now, servers)
	wanted := assignVersions(servers, targets)
	var orders []Order
	for _, group := range groupByPool(servers) {
		orders = append(orders, p.planPool(now, group, wanted)...)
		orders = append(orders, p.planStagedLoads(now, group, wanted, targets)...)
	}
	return orders
}

// resolvePending removes pending orders that took effect, and counts those past their deadline as failures.
func (p *Planner) resolvePending(now time.Duration, servers []Server) {
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
			p.outcomes = append(p.outcomes, OrderOutcome{Server: s.ID, Kind: o.kind, Version: o.version, Succeeded: true})
		case now >= o.deadline:
			p.RecordFailure(s.ID)
		}
	}
	for id := range p.pending {
		if !known[id] {
			delete(p.pending, id)
		}
	}
}

// RecordFailure counts the pending order of a server as failed, so that the next plan may repeat it.
func (p *Planner) RecordFailure(id api.ServerID) {
	o, ok := p.pending[id]
	if !ok {
		return
	}
	key := failureKey{id, o.version}
	p.failures[key]++
	delete(p.pending, id)
	p.outcomes = append(p.outcomes, OrderOutcome{Server: id, Kind: o.kind, Version: o.version, Failures: p.failures[key]})
}

// TakeOutcomes returns the outcomes of the orders that ended since the last call.
func (p *Planner) TakeOutcomes() []OrderOutcome {
	out := p.outcomes
	p.outcomes = nil
	return out
}

// GivenUp reports whether the planner sends no more orders for version v to server id, after repeated failures.
func (p *Planner) GivenUp(id api.ServerID, v api.WeightVersion) bool {
	return p.failures[failureKey{id, v}] >= p.opts.MaxFailures
}

// SetMaxConcurrentLoads changes the limit of concurrent load orders; zero leaves it unchanged.
func (p *Planner) SetMaxConcurrentLoads(n int) {
	p.opts.MaxConcurrentLoads = cmp.Or(n, p.opts.MaxConcurrentLoads)
}

const (
	// pinnedShareDivisor gives the share of a model's servers that run each pinned version: one in eight.
	pinnedShareDivisor = 8
	// switchingShareDivisor gives the share of a pool that may switch at once: half, so that the other half keeps
	// serving requests.
	switchingShareDivisor = 2
)

// assignVersions returns the version that each server should run. Pinned versions go first to servers that already run
// them, to avoid switches.
func assignVersions(servers []Server, targets map[string]Target) map[api.ServerID]api.WeightVersion {
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
			assignPinnedVersion(servers, wanted, model, v, t.Newest, max(1, count[model]/pinnedShareDivisor))
		}
	}
	return wanted
}

// assignPinnedVersion assigns version v to up to n servers that would otherwise run newest. At least one of these keeps
// newest.
func assignPinnedVersion(servers []Server, wanted map[api.ServerID]api.WeightVersion, model string, v, newest api.WeightVersion, n int) {
	candidates := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.Model != model || wanted[s.ID] != newest
	})
	slices.SortStableFunc(candidates, func(a, b Server) int { return cmp.Compare(switchCost(a, v), switchCost(b, v)) })
	for i := 0; i < n && i < len(candidates)-1; i++ {
		wanted[candidates[i].ID] = v
	}
}

// switchCost ranks servers by what they need to run version v: nothing, a switch, or a load and a switch.
func switchCost(s Server, v api.WeightVersion) int {
	switch {
	case s.Current == v:
		return 0
	case s.hasLoaded(v):
		return 1
	default:
		return 2
	}
}

// groupByPool returns the servers of each pool, in the order of the pools' names.
func groupByPool(servers []Server) [][]Server {
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

// planPool returns the orders that bring the servers of a pool to their wanted versions.
func (p *Planner) planPool(now time.Duration, pool []Server, wanted map[api.ServerID]api.WeightVersion) []Order {
	var orders []Order
	switching := 0
	for _, s := range pool {
		if p.pending[s.ID].kind == OrderSwitch {
			switching++
		}
	}
	maxSwitching := max(1, len(pool)/switchingShareDivisor)
	for _, s := range pool {
		v, ok := wanted[s.ID]
		if _, busy := p.pending[s.ID]; !ok || busy || s.Current == v || p.GivenUp(s.ID, v) {
			continue
		}
		switch {
		case s.hasLoaded(v) && switching < maxSwitching:
			switching++
			orders = append(orders, p.newOrder(now, s, OrderSwitch, v))
		case s.hasLoaded(v):
		default:
			orders = append(orders, p.prepareLoad(now, s, v)...)
		}
	}
	return orders
}

// planStagedLoads returns the orders that load the staged version on servers that already run their wanted version.
func (p *Planner) planStagedLoads(now time.Duration, pool []Server, wanted map[api.ServerID]api.WeightVersion, targets map[string]Target) []Order {
	var orders []Order
	for _, s := range pool {
		t := targets[s.Model]
		_, busy := p.pending[s.ID]
		if busy || t.Staged <= t.Newest || s.Current != wanted[s.ID] || wanted[s.ID] != t.Newest ||
			s.hasLoaded(t.Staged) || p.GivenUp(s.ID, t.Staged) {
			continue
		}
		orders = append(orders, p.prepareLoad(now, s, t.Staged)...)
	}
	return orders
}

// prepareLoad returns the next order for loading version v: an unload if the server holds MaxLoadedVersions, otherwise
// the load. It returns none if the server cannot unload, or if too many loads are pending.
func (p *Planner) prepareLoad(now time.Duration, s Server, v api.WeightVersion) []Order {
	if len(s.Loaded) >= p.opts.MaxLoadedVersions {
		if old, ok := oldestUnusedVersion(s); ok {
			return []Order{p.newOrder(now, s, OrderUnload, old)}
		}
		return nil
	}
	if p.countPendingLoads() >= p.opts.MaxConcurrentLoads {
		return nil
	}
	return []Order{p.newOrder(now, s, OrderLoad, v)}
}

func (p *Planner) countPendingLoads() int {
	n := 0
	for _, o := range p.pending {
		if o.kind == OrderLoad {
			n++
		}
	}
	return n
}

// oldestUnusedVersion returns the oldest loaded version that the server does not run.
func oldestUnusedVersion(s Server) (api.WeightVersion, bool) {
	loaded := slices.Sorted(slices.Values(s.Loaded))
	for _, v := range loaded {
		if v != s.Current {
			return v, true
		}
	}
	return 0, false
}

// newOrder returns an order and adds it to the pending ones.
func (p *Planner) newOrder(now time.Duration, s Server, k OrderKind, v api.WeightVersion) Order {
	timeout := p.opts.OrderTimeout
	if k == OrderLoad {
		timeout = p.opts.LoadTimeout
	}
	p.pending[s.ID] = pendingOrder{kind: k, version: v, deadline: now + timeout}
	return Order{Server: s, Kind: k, Version: v}
}

func describeOrder(o Order) string {
	return fmt.Sprintf("%s version %d of %s", o.Kind, o.Version, o.Server.Model)
}
