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
	// loadCheckInterval is the time between checks of the engines' versions.
	loadCheckInterval = 100 * time.Millisecond
	// maxLoadingShare is the share of a service's engines that may load at once, but at least minLoadingLimit engines
	// may. More of them would slow each other down.
	maxLoadingShare = 0.2
	minLoadingLimit = 2
	// orderTimeout limits the sending of an order, reportTimeout a query of an engine's report.
	orderTimeout  = 800 * time.Millisecond
	reportTimeout = 800 * time.Millisecond
	// typicalLoadDuration is about how long an engine takes to load a version. From then on, its report is queried
	// every reportPollInterval.
	typicalLoadDuration = 850 * time.Millisecond
	reportPollInterval  = 150 * time.Millisecond
	loadTimeout         = 5 * time.Second
	// orderRetryDelay is the time before an engine gets another order after a failed one. It grows by as much with each
	// consecutive failure, up to maxOrderRetryDelay.
	orderRetryDelay = 1200 * time.Millisecond
	// publicationSettleDelay is how long after the publication of a version the engines that can serve the newest step
	// get no orders. A trainer that is late requests its next step right after it published the version.
	publicationSettleDelay = 250 * time.Millisecond
	// formerLeaderTimeout limits the query of the other VMs whether they were the leader.
	formerLeaderTimeout = 300 * time.Millisecond
	// unreachableFailures is the number of consecutive failures from which an engine does not count as serving a model.
	unreachableFailures = 3
	maxOrderRetryDelay  = 5 * time.Second
)

// loadLoop brings the engines to the published versions until the leadership ends.
func (s *session) loadLoop() {
	if s.waitForHandover() != nil {
		return
	}
	ticker := time.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.loaderWake:
		case <-ticker.C:
		}
		started := boottime.Now()
		s.startLoads()
		pauseAfterPass(s.ctx, started)
	}
}

// startLoads orders engines to load, as many as may load at once.
func (s *session) startLoads() {
	c := s.node.state.Configuration()
	versions := s.node.state.Versions()
	if c == nil || len(versions) == 0 || s.checkLeadership() != nil {
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

// plannedLoad is the load of a version that an engine lacks.
type plannedLoad struct {
	server         fleet.Server
	engine         *engineState
	model          string
	version        uint64
	versionsBehind uint64 // how far the engine lags behind the newest version
}

// startServiceLoads orders engines of a service to load. The caller holds the mutex.
func (s *session) startServiceLoads(service *routes.Service, versions map[string]uint64, now time.Duration) {
	servers := slices.DeleteFunc(s.node.registry.List(service.Name, now), func(v fleet.Server) bool { return v.Leaving })
	loading := 0
	for i := range servers {
		if s.engineFor(&servers[i]).loadingModel != "" {
			loading++
		}
	}
	maxLoading := loadingLimit(servers)
	for _, l := range s.dueLoads(service, servers, versions, now) {
		if loading >= maxLoading {
			return
		}
		if l.engine.loadingModel != "" {
			continue
		}
		loading++
		l.engine.loadingModel = l.model
		go s.runLoad(l, service)
	}
}

// loadingLimit returns how many of the engines may load at once. Spot servers that were added do not raise it: the store of
// the weights does not grow with them.
func loadingLimit(servers []fleet.Server) int {
	regular := 0
	for i := range servers {
		if !servers[i].Spot {
			regular++
		}
	}
	return max(minLoadingLimit, int(maxLoadingShare*float64(regular)))
}

// dueLoads returns the loads that are due, in the order in which they should start: first on engines whose version is
// too old to serve a new step, then for the models with the fewest engines that can serve one, then on the engines with
// the fewest running items. The caller holds the mutex.
func (s *session) dueLoads(service *routes.Service, servers []fleet.Server, versions map[string]uint64, now time.Duration) []plannedLoad {
	s.assignModels(service, servers, versions)
	required := s.requiredVersions()
	var out []plannedLoad
	for i := range servers {
		e := s.engineFor(&servers[i])
		if servers[i].Silent || e.loadingModel != "" || e.nextOrderAt > now || e.blockedUntil > now || len(e.versions) == 0 {
			continue
		}
		for _, model := range service.Models {
			newest := versions[model]
			loaded := e.versions[model]
			minVersion, hasWaiting := required[model]
			if hasWaiting && loaded >= minVersion || now-s.publishedAt[model] < publicationSettleDelay && newest-min(loaded, newest) <= maxServableLag {
				continue // the engine can serve the step that begins, and would reject its items while it loads
			}
			if e.serves(model) && e.versions[model] < newest {
				out = append(out, plannedLoad{server: servers[i], engine: e, model: model, version: newest, versionsBehind: newest - e.versions[model]})
			}
		}
	}
	servable := countServableEngines(servers, s.engines, versions)
	slices.SortStableFunc(out, func(a, b plannedLoad) int {
		return cmp.Or(
			cmp.Compare(min(b.versionsBehind, maxServableLag+1), min(a.versionsBehind, maxServableLag+1)),
			cmp.Compare(servable[a.model], servable[b.model]),
			cmp.Compare(a.engine.running, b.engine.running),
		)
	})
	return out
}

// requiredVersions returns, for each model with items that wait for an engine, the highest minimum version of their
// batches. The caller holds the mutex.
func (s *session) requiredVersions() map[string]uint64 {
	out := map[string]uint64{}
	for _, b := range s.batchesByAge {
		if slices.ContainsFunc(b.tasks, func(t *task) bool { return t.state == taskWaiting }) {
			out[b.Model] = max(out[b.Model], b.MinVersion)
		}
	}
	return out
}

// maxServableLag is how many versions an engine may lag behind the newest one and still serve the newest step.
const maxServableLag = 1

// countServableEngines counts, for each model, the engines that can serve its newest step.
func countServableEngines(servers []fleet.Server, engines map[string]*engineState, versions map[string]uint64) map[string]int {
	count := map[string]int{}
	for i := range servers {
		e := engines[servers[i].ID]
		if e == nil || servers[i].Silent || e.failures >= unreachableFailures {
			continue
		}
		for model, newest := range versions {
			if e.versions[model]+maxServableLag >= newest {
				count[model]++
			}
		}
	}
	return count
}

// assignModels divides the engines among the models of a service. An engine that this session has not assigned yet, as
// after a change of the leader, counts as serving the models whose versions it was made to load last. The caller holds
// the mutex.
func (s *session) assignModels(service *routes.Service, servers []fleet.Server, versions map[string]uint64) {
	var usable []scheduling.AssignableEngine
	var engines []*engineState
	medians := s.medianIntervals(boottime.Now())
	for i := range servers {
		e := s.engineFor(&servers[i])
		if servers[i].Silent || e.failures >= unreachableFailures || len(e.versions) == 0 {
			continue
		}
		serving := e.models
		if len(serving) == 0 {
			serving = freshModels(service.Models, e.versions, versions)
		}
		usable = append(usable, scheduling.AssignableEngine{ID: servers[i].ID, Models: serving, Speed: medians.Speed(e.kindInterval)})
		engines = append(engines, e)
	}
	work := make([]scheduling.ModelWork, 0, len(service.Models))
	for _, model := range service.Models {
		work = append(work, scheduling.ModelWork{Model: model, Work: s.stepWork[model]})
	}
	models := scheduling.DivideEngines(usable, work)
	changed := 0
	for i, e := range engines {
		var assigned []string
		if models != nil {
			assigned = models[i]
		}
		if !slices.Equal(usable[i].Models, assigned) {
			changed++
		}
		e.models = assigned
	}
	if changed > 0 {
		s.record(events.Event{Name: events.EnginesDivided, Detail: fmt.Sprintf("%d of %d engines of service %s change their models, work %v", changed, len(usable), service.Name, work)})
	}
}

// freshModels returns the models of which an engine has the newest or the last but one version, or none if it has these
// of all models, as before the first orders.
func freshModels(models []string, loaded, newest map[string]uint64) []string {
	var fresh []string
	for _, m := range models {
		if loaded[m]+maxServableLag >= newest[m] {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == len(models) {
		return nil
	}
	return fresh
}

// stepWorkWeight is the weight of a new step in the moving average of the work of a trainer's steps.
const stepWorkWeight = 0.4

// recordStepWork adds the work of a new batch, in output tokens, to the average of its model. The caller holds the
// mutex.
func (s *session) recordStepWork(b *batch) {
	work := 0.0
	for i := range b.Items {
		work += float64(max(b.Items[i].LengthHint, 1))
	}
	if s.stepWork[b.Model] == 0 {
		s.stepWork[b.Model] = work
	}
	s.stepWork[b.Model] += stepWorkWeight * (work - s.stepWork[b.Model])
}

// serves reports whether the engine is made to load the versions of a model.
func (e *engineState) serves(model string) bool {
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

// runLoad sends one order and waits for its effect.
func (s *session) runLoad(l plannedLoad, service *routes.Service) {
	loaded := s.orderAndVerify(l, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.engine.loadingModel = ""
	if loaded {
		l.engine.orderFailures = 0
		l.engine.versions[l.model] = max(l.engine.versions[l.model], l.version)
		go s.registerServer(l.engine.withLoadedVersions(l.server))
	} else {
		l.engine.orderFailures++
		l.engine.nextOrderAt = boottime.Now() + min(orderRetryDelay*time.Duration(l.engine.orderFailures), maxOrderRetryDelay)
	}
	s.wakeScheduler()
	s.wakeLoader()
}

// withLoadedVersions returns the server with the versions that its engine has loaded and its measured kind.
func (e *engineState) withLoadedVersions(v fleet.Server) fleet.Server {
	v.Models, v.KindInterval = nil, e.kindInterval
	for name, version := range e.versions {
		v.Models = append(v.Models, fleet.LoadedModel{Name: name, Version: version})
	}
	slices.SortFunc(v.Models, func(a, b fleet.LoadedModel) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// orderAndVerify sends one order and reports whether the engine has the version at the end.
func (s *session) orderAndVerify(l plannedLoad, service *routes.Service) bool {
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	defer cancel()
	client := s.node.opts.EngineClient
	s.mu.Lock()
	known, sequence := l.engine.sequenceKnown, l.engine.sequence
	s.mu.Unlock()
	if !known {
		r, err := s.report(ctx, l.server)
		if err != nil || r.Loading {
			s.recordOrderEvent(events.OrderUnanswered, l, fmt.Sprintf("report before the order: loading %t, %v", r.Loading, err))
			return false
		}
		if reportedVersion(r, l.model) >= l.version {
			return true
		}
		sequence = r.Sequence
	}
	if s.checkLeadership() != nil {
		return false
	}
	// The order is aborted with the lease at the latest: the next leader counts its delay from then on.
	orderCtx, cancelOrder := s.withinLease(ctx, orderTimeout)
	result, err := client.Load(orderCtx, l.server, LoadOrder{
		Model: l.model, Version: l.version, Holder: s.node.opts.Name, FencingToken: s.term, ExpectedSequence: sequence,
		DrainFirst: s.mustDrainFirst(service.Name), Permitted: s.permitted,
	})
	cancelOrder()
	s.mu.Lock()
	l.engine.sequenceKnown, l.engine.sequence = err == nil && result == OrderAccepted, sequence+1
	s.mu.Unlock()
	if err != nil {
		s.recordOrderEvent(events.OrderUnanswered, l, err.Error())
		return s.waitUntilLoaded(ctx, l)
	}
	switch result {
	case OrderAlreadyLoaded:
		return true
	case OrderAccepted:
		s.recordOrderEvent(events.OrderSent, l, fmt.Sprintf("token %d, sequence %d", s.term, sequence))
		return s.waitUntilLoaded(ctx, l)
	case OrderConflict, OrderFenced, OrderRefused:
		s.recordOrderEvent(events.OrderRefused, l, fmt.Sprintf("result %d with token %d, sequence %d", result, s.term, sequence))
	}
	return false
}

// mustDrainFirst reports whether a route to the service forbids outputs of several versions.
func (s *session) mustDrainFirst(service string) bool {
	c := s.node.state.Configuration()
	return c != nil && slices.ContainsFunc(c.Routes, func(r routes.Route) bool { return r.SingleVersion && r.Allows(service) })
}

// waitUntilLoaded polls the engine's report and reports whether the engine has loaded the version before ctx ends.
func (s *session) waitUntilLoaded(ctx context.Context, l plannedLoad) bool {
	sleep(ctx, typicalLoadDuration)
	for ctx.Err() == nil {
		if s.hasVersion(l) {
			return true
		}
		r, err := s.report(ctx, l.server)
		if err == nil && reportedVersion(r, l.model) >= l.version {
			s.recordOrderEvent(events.OrderVerified, l, "")
			return true
		}
		if err == nil && !r.Loading {
			s.mu.Lock()
			accepted := l.engine.sequenceKnown
			s.mu.Unlock()
			if !accepted {
				return false // the engine did not confirm the order and is not loading
			}
		}
		sleep(ctx, reportPollInterval)
	}
	s.recordOrderEvent(events.SwapFailed, l, "the engine did not load the version in time")
	return false
}

// hasVersion reports whether an output event or an announcement has shown the version meanwhile.
func (s *session) hasVersion(l plannedLoad) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.engine.versions[l.model] >= l.version
}

func (s *session) report(ctx context.Context, v fleet.Server) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return s.node.opts.EngineClient.Report(ctx, v)
}

func reportedVersion(r EngineReport, model string) uint64 {
	v := fleet.Server{Models: r.Models}
	return v.Version(model)
}

func (s *session) recordOrderEvent(name events.Name, l plannedLoad, detail string) {
	s.record(events.Event{
		Name: name, Server: api.ServerID(l.server.ID),
		Detail: describeModel(rollout.ModelVersion{Model: l.model, Version: l.version}) + " " + detail,
	})
}
