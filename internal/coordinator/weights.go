package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// weightsInterval is the time between looks at the versions of the engines.
	weightsInterval = 100 * time.Millisecond
	// loadShare is the part of the engines of a service that load at once: more of them slow each other down.
	loadShare    = 0.2
	leastLoads   = 2
	orderTimeout = 800 * time.Millisecond
	// loadTime is about how long an engine takes to load; its report is asked for from then on.
	loadTime     = 850 * time.Millisecond
	reportPause  = 150 * time.Millisecond
	loadDeadline = 5 * time.Second
	// orderPause is the time before an engine that did not answer an order gets another one.
	orderPause = 1200 * time.Millisecond
	// settleTime is how long after a new version engines that can serve the newest step are left alone: a trainer that
	// is late asks for its next step right after it named the version.
	settleTime = 250 * time.Millisecond
	// formerLeaderTimeout bounds the question to the other VMs whether they led.
	formerLeaderTimeout = 300 * time.Millisecond
	// unreachableFailures is the number of failures in a row after which an engine holds no model's place.
	unreachableFailures = 3
	longestOrder        = 5 * time.Second
)

// weightsLoop brings the engines to the named versions.
func (s *session) weightsLoop() {
	s.awaitHandover()
	ticker := time.NewTicker(weightsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.orders:
		case <-ticker.C:
		}
		s.startLoads()
	}
}

// awaitHandover waits until engines no longer see the leader before and this one take turns. A former leader that was
// killed, frozen or cut off gives no more orders that engines accept.
func (s *session) awaitHandover() {
	wait := s.node.opts.OrderHandoverDelay
	if s.node.opts.EnginesEnforceFencing {
		wait = s.formerLeaderWait()
	}
	s.record(events.Event{Name: events.OrderHandover, Detail: "orders begin after " + wait.Round(time.Millisecond).String()})
	sleep(s.ctx, wait)
}

// formerLeaderWait asks the other VMs when they last led.
func (s *session) formerLeaderWait() time.Duration {
	ctx, cancel := context.WithTimeout(s.ctx, formerLeaderTimeout)
	defer cancel()
	var others []string
	for _, a := range s.node.replicas() {
		if a != s.node.opts.Address {
			others = append(others, a)
		}
	}
	waits := make(chan time.Duration, len(others))
	for _, address := range others {
		go func() {
			r, err := QueryLeader(ctx, s.node.client, address)
			if err != nil || !r.WasLeader {
				waits <- 0 // a VM that does not answer gives no orders that count
				return
			}
			waits <- s.node.opts.OrderHandoverDelay - r.SinceLeader
		}()
	}
	var longest time.Duration
	for range others {
		longest = max(longest, <-waits)
	}
	return longest
}

// startLoads orders as many engines to load as may load at once.
func (s *session) startLoads() {
	c := s.node.state.Configuration()
	versions := s.node.state.Versions()
	if c == nil || len(versions) == 0 || s.stillLeads() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	for i := range c.Services {
		if service := &c.Services[i]; len(service.Models) > 0 {
			s.startServiceLoads(service, versions, now)
		}
	}
}

// load is an engine that lacks a version.
type load struct {
	server  fleet.Server
	engine  *engine
	model   string
	version uint64
	behind  uint64
}

func (s *session) startServiceLoads(service *routes.Service, versions map[string]uint64, now time.Duration) {
	servers := slices.DeleteFunc(s.node.registry.List(service.Name, now), func(v fleet.Server) bool { return v.Leaving })
	loading := 0
	for i := range servers {
		if s.engineOf(&servers[i]).loading != "" {
			loading++
		}
	}
	most := max(leastLoads, int(loadShare*float64(len(servers))))
	for _, l := range s.wantedLoads(service, servers, versions, now) {
		if loading >= most {
			return
		}
		if l.engine.loading != "" {
			continue
		}
		loading++
		l.engine.loading = l.model
		go s.load(l, service)
	}
}

// wantedLoads returns the loads that are due, those of the oldest versions first: they can serve no new step.
func (s *session) wantedLoads(service *routes.Service, servers []fleet.Server, versions map[string]uint64, now time.Duration) []load {
	s.assign(service, servers, versions)
	needs := s.neededVersions()
	var out []load
	for i := range servers {
		e := s.engineOf(&servers[i])
		if servers[i].Silent || e.loading != "" || e.orderAt > now || e.blocked > now || len(e.versions) == 0 {
			continue
		}
		for _, model := range service.Models {
			want := versions[model]
			held := e.versions[model]
			needed, starting := needs[model]
			if starting && held >= needed || now-s.published[model] < settleTime && want-min(held, want) <= usableLag {
				continue // it can serve the step that begins, and would refuse its items while it loads
			}
			if (e.model == "" || e.model == model) && e.versions[model] < want {
				out = append(out, load{server: servers[i], engine: e, model: model, version: want, behind: want - e.versions[model]})
			}
		}
	}
	current := currentEngines(servers, s.engines, versions)
	slices.SortStableFunc(out, func(a, b load) int {
		return cmp.Or(
			cmp.Compare(min(b.behind, usableLag+1), min(a.behind, usableLag+1)),
			cmp.Compare(current[a.model], current[b.model]),
			cmp.Compare(a.engine.running, b.engine.running),
		)
	})
	return out
}

// neededVersions returns, for each model with items that wait for an engine, the highest version that any of their
// batches asks for at least.
func (s *session) neededVersions() map[string]uint64 {
	out := map[string]uint64{}
	for _, b := range s.order {
		if slices.ContainsFunc(b.tasks, func(t *task) bool { return t.state == waiting }) {
			out[b.Model] = max(out[b.Model], b.MinVersion)
		}
	}
	return out
}

// usableLag is how many versions an engine may be behind and still serve the newest step.
const usableLag = 1

// currentEngines counts for each model the engines that can serve its newest step.
func currentEngines(servers []fleet.Server, engines map[string]*engine, versions map[string]uint64) map[string]int {
	count := map[string]int{}
	for i := range servers {
		e := engines[servers[i].ID]
		if e == nil || servers[i].Silent || e.failures >= unreachableFailures {
			continue
		}
		for model, newest := range versions {
			if e.versions[model]+usableLag >= newest {
				count[model]++
			}
		}
	}
	return count
}

// assign divides the engines among the models of a service. An engine without a place gets that of the model whose
// newest version it is nearest to, as after a change of the leader.
func (s *session) assign(service *routes.Service, servers []fleet.Server, versions map[string]uint64) {
	var usable []scheduling.AssignableEngine
	var engines []*engine
	for i := range servers {
		e := s.engineOf(&servers[i])
		if servers[i].Silent || e.failures >= unreachableFailures || len(e.versions) == 0 {
			continue
		}
		if e.model == "" {
			e.model = nearestModel(service.Models, e.versions, versions)
		}
		usable = append(usable, scheduling.AssignableEngine{ID: servers[i].ID, Model: e.model})
		engines = append(engines, e)
	}
	models := scheduling.AssignModels(usable, service.Models)
	for i, e := range engines {
		e.model = ""
		if models != nil {
			e.model = models[i]
		}
	}
}

// nearestModel returns the model that an engine is the fewest versions behind of, or none if it is as far behind of
// all.
func nearestModel(models []string, held, newest map[string]uint64) string {
	best, least, most := "", uint64(0), uint64(0)
	for _, m := range models {
		behind := newest[m] - min(held[m], newest[m])
		if best == "" || behind < least {
			best, least = m, behind
		}
		most = max(most, behind)
	}
	if least == most {
		return ""
	}
	return best
}

// load sends one order and follows it to its end.
func (s *session) load(l load, service *routes.Service) {
	done := s.runOrder(l, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.engine.loading = ""
	if done {
		l.engine.orderFailures = 0
		l.engine.versions[l.model] = max(l.engine.versions[l.model], l.version)
		go s.register(l.engine.described(l.server))
	} else {
		l.engine.orderFailures++
		l.engine.orderAt = boottime.Now() + min(orderPause*time.Duration(l.engine.orderFailures), longestOrder)
	}
	s.poke()
	s.pokeOrders()
}

// described returns the server with the versions that its engine holds.
func (e *engine) described(v fleet.Server) fleet.Server {
	v.Models = nil
	for name, version := range e.versions {
		v.Models = append(v.Models, fleet.LoadedModel{Name: name, Version: version})
	}
	slices.SortFunc(v.Models, func(a, b fleet.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// runOrder reports whether the engine has the version at the end.
func (s *session) runOrder(l load, service *routes.Service) bool {
	ctx, cancel := context.WithTimeout(s.ctx, loadDeadline)
	defer cancel()
	engines := s.node.opts.EngineClient
	s.mu.Lock()
	known, sequence := l.engine.known, l.engine.sequence
	s.mu.Unlock()
	if !known {
		r, err := s.report(ctx, l.server)
		if err != nil || r.Loading {
			s.orderEvent(events.OrderUnanswered, l, fmt.Sprintf("report before the order: loading %t, %v", r.Loading, err))
			return false
		}
		if version(r, l.model) >= l.version {
			return true
		}
		sequence = r.Sequence
	}
	if s.stillLeads() != nil {
		return false
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	result, err := engines.Load(orderCtx, l.server, LoadOrder{
		Model: l.model, Version: l.version, Holder: s.node.opts.Name, FencingToken: s.term, ExpectedSequence: sequence,
		DrainFirst: s.finishFirst(service.Name),
	})
	cancelOrder()
	s.mu.Lock()
	l.engine.known, l.engine.sequence = err == nil && result == OrderAccepted, sequence+1
	s.mu.Unlock()
	if err != nil {
		s.orderEvent(events.OrderUnanswered, l, err.Error())
		return s.followLoad(ctx, l)
	}
	switch result {
	case OrderAlreadyLoaded:
		return true
	case OrderAccepted:
		s.orderEvent(events.OrderSent, l, fmt.Sprintf("token %d, sequence %d", s.term, sequence))
		return s.followLoad(ctx, l)
	case OrderConflict, OrderFenced, OrderRefused:
		s.orderEvent(events.OrderRefused, l, fmt.Sprintf("result %d with token %d, sequence %d", result, s.term, sequence))
	}
	return false
}

// finishFirst reports whether a route to the service forbids texts of several versions.
func (s *session) finishFirst(service string) bool {
	c := s.node.state.Configuration()
	return c != nil && slices.ContainsFunc(c.Routes, func(r routes.Route) bool { return r.SingleVersion && r.Allows(service) })
}

// followLoad asks for the engine's report until it has the version.
func (s *session) followLoad(ctx context.Context, l load) bool {
	sleep(ctx, loadTime)
	for ctx.Err() == nil {
		if s.announcedVersion(l) {
			return true
		}
		r, err := s.report(ctx, l.server)
		if err == nil && version(r, l.model) >= l.version {
			s.orderEvent(events.OrderVerified, l, "")
			return true
		}
		if err == nil && !r.Loading {
			s.mu.Lock()
			taken := l.engine.known
			s.mu.Unlock()
			if !taken {
				return false // the order was not taken, or not yet
			}
		}
		sleep(ctx, reportPause)
	}
	s.orderEvent(events.SwapFailed, l, "the version did not come")
	return false
}

// announcedVersion reports whether an event or an announcement has shown the version meanwhile.
func (s *session) announcedVersion(l load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.engine.versions[l.model] >= l.version
}

func (s *session) report(ctx context.Context, v fleet.Server) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.node.opts.EngineClient.Report(ctx, v)
}

func version(r EngineReport, model string) uint64 {
	v := fleet.Server{Models: r.Models}
	return v.Version(model)
}

func (s *session) orderEvent(name events.Name, l load, detail string) {
	s.record(events.Event{
		Name: name, Server: api.ServerID(l.server.ID),
		Detail: describeModel(rollout.ModelVersion{Model: l.model, Version: l.version}) + " " + detail,
	})
}
