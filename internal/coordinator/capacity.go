package coordinator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// capacityInterval is the time between two plans.
	capacityInterval = time.Second
	// trainerIdle is the time without a step after which a trainer's usual work no longer counts. Steps arrive every few seconds.
	trainerIdle = 30 * time.Second
	// forgetTrainer is the time without a step after which nothing is kept of a trainer.
	forgetTrainer = 10 * time.Minute
	// usualSlots is assumed until a server is known.
	usualSlots = 8
	// stepIntervalWeight is the weight of a new measurement in the averages of the time between steps and between versions.
	stepIntervalWeight = 0.2
	// minStepInterval is the shortest measurement of the time between steps. A new leader adds all open batches at once.
	minStepInterval = 200 * time.Millisecond
)

// CapacityMetrics are the metrics of the orders of servers. kind is "regular" or "spot".
type CapacityMetrics interface {
	// CapacityServers sets the number of servers; state is "wanted" or "announced".
	CapacityServers(service, zone, kind, state string, servers int)
	// CapacityOrder counts an order; result is "ok" or an errs.Kind.
	CapacityOrder(service, zone, kind, result string)
}

// capacity holds what a leader keeps for the orders of servers. It ends with the session: the next leader starts from the announced
// servers.
type capacity struct {
	session  *session
	mu       sync.Mutex // guards the trackers
	trackers map[string]*scheduling.CapacityTracker
	lastPlan map[string]string         // description of the wanted servers by service
	gauges   map[gauge]bool            // that are not 0
	steps    map[string]*paceEstimate  // of the batches, by model
	versions map[string]*versionSeries // by model
}

// gauge identifies a metric of CapacityServers.
type gauge struct{ service, zone, kind, state string }

// paceEstimate estimates the time between recurring events.
type paceEstimate struct {
	last     time.Duration // boot time of the newest event
	interval float64       // moving average in seconds; 0 before the second event
	// host and path are those of the newest batch.
	host, path string
}

// add takes events since the last one, the newest of them at the given time.
func (e *paceEstimate) add(newest time.Duration, count int) {
	if e.last > 0 && newest-e.last >= minStepInterval {
		measured := (newest - e.last).Seconds() / float64(count)
		if e.interval == 0 {
			e.interval = measured
		}
		e.interval += stepIntervalWeight * (measured - e.interval)
	}
	e.last = newest
}

// versionSeries is the pace of a model's versions.
type versionSeries struct {
	paceEstimate
	version uint64
}

// capacityLoop plans and orders servers until the leadership ends.
func (s *session) capacityLoop() {
	if s.waitForHandover() != nil {
		return
	}
	c := &capacity{
		session: s, trackers: map[string]*scheduling.CapacityTracker{}, lastPlan: map[string]string{}, gauges: map[gauge]bool{},
		steps: map[string]*paceEstimate{}, versions: map[string]*versionSeries{},
	}
	defer c.clearGauges("")
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if s.checkLeadership() == nil {
			c.planServices(s.node.state.Configuration(), boottime.Now())
		}
	}
}

// planServices plans all services whose servers are ordered.
func (c *capacity) planServices(configuration *routes.Configuration, now time.Duration) {
	if configuration == nil {
		return
	}
	c.measurePaces(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := map[string]bool{}
	for i := range configuration.Services {
		if service := &configuration.Services[i]; service.Autoscale != nil {
			ordered[service.Name] = true
			c.planService(configuration, service, now)
		}
	}
	for name := range c.trackers {
		if !ordered[name] {
			delete(c.trackers, name)
			c.clearGauges(name)
		}
	}
}

// measurePaces measures how often the steps and versions of each model arrive.
func (c *capacity) measurePaces(now time.Duration) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := map[string]int{}
	newest := map[string]time.Duration{}
	for _, b := range s.batchesByAge {
		e := c.steps[b.Model]
		if e == nil {
			e = &paceEstimate{}
			c.steps[b.Model] = e
		}
		if b.addedAt <= e.last {
			continue
		}
		fresh[b.Model]++
		newest[b.Model] = max(newest[b.Model], b.addedAt)
		e.host, e.path = b.Host, b.Path
	}
	for model, count := range fresh {
		c.steps[model].add(newest[model], count)
	}
	maps.DeleteFunc(c.steps, func(_ string, e *paceEstimate) bool { return now-e.last > forgetTrainer })
	for model, version := range s.node.state.Versions() {
		v := c.versions[model]
		if v == nil {
			c.versions[model] = &versionSeries{version: version}
			continue
		}
		if version > v.version {
			v.add(now, int(version-v.version))
			v.version = version
		}
	}
}

// planService plans one service and sends the orders that are due. The caller holds the mutex.
func (c *capacity) planService(configuration *routes.Configuration, service *routes.Service, now time.Duration) {
	tracker := c.trackers[service.Name]
	if tracker == nil {
		tracker = scheduling.NewCapacityTracker(now.Seconds())
		c.trackers[service.Name] = tracker
	}
	servers := c.session.node.registry.List(service.Name, now)
	zones, slots := observeZones(service, servers)
	in := scheduling.CapacityInput{
		Now: now.Seconds(), MinServers: service.Autoscale.MinServers, MaxServers: service.Autoscale.MaxServers,
		SpotPrice: service.Autoscale.SpotPrice, BootTime: service.Autoscale.BootTime.Seconds(), SlotsPerServer: slots,
		VersionInterval: c.versionInterval(service),
	}
	in.Trainers, in.KeepBase = c.demand(configuration, service, now)
	plan := tracker.Plan(in, zones)
	c.report(service.Name, &plan, zones)
	for _, o := range tracker.Due(now.Seconds()) {
		tracker.Sending(o)
		go c.send(tracker, service.Name, o)
	}
}

// observeZones counts the announced servers of a service by zone and kind, and returns the mean of their slots.
func observeZones(service *routes.Service, servers []fleet.Server) (zones []scheduling.ObservedZone, slots float64) {
	byName := map[string]*scheduling.ObservedZone{}
	for name := range service.Autoscale.ZonePrices {
		byName[name] = &scheduling.ObservedZone{}
	}
	for i := range servers {
		v := &servers[i]
		z := byName[v.FailureDomain]
		if z == nil {
			z = &scheduling.ObservedZone{}
			byName[v.FailureDomain] = z
		}
		kind := scheduling.RegularServers
		if v.Spot {
			kind = scheduling.SpotServers
		}
		slots += float64(max(v.Slots, 1)) / float64(len(servers))
		switch {
		case v.Leaving:
			z.Leaving[kind]++
		default:
			z.Announced[kind]++
			if v.Silent {
				z.Silent[kind]++
			}
		}
	}
	for name, z := range byName {
		z.Name, z.Price = name, service.Autoscale.ZonePrices[name]
		zones = append(zones, *z)
	}
	slices.SortFunc(zones, func(a, b scheduling.ObservedZone) int { return strings.Compare(a.Name, b.Name) })
	switch {
	case service.Slots > 0:
		slots = float64(service.Slots)
	case slots == 0:
		slots = usualSlots
	}
	return zones, slots
}

// versionInterval returns the harmonic mean of the time between two versions over the models of a service, or 0 if it is unknown.
// Engines are divided among the models, so that the mean gives the number of loads.
func (c *capacity) versionInterval(service *routes.Service) float64 {
	perSecond := 0.0
	for _, model := range service.Models {
		if v := c.versions[model]; v != nil && v.interval > 0 {
			perSecond += 1 / v.interval
		}
	}
	if perSecond == 0 {
		return 0
	}
	return float64(len(service.Models)) / perSecond
}

// demand returns the work of the trainers that use a service. other is true if it is used by load whose work is not known: callers'
// requests, and trainers before the first of their items has run, or whose steps have no length hints or no due time.
func (c *capacity) demand(configuration *routes.Configuration, service *routes.Service, now time.Duration) (trainers []scheduling.TrainerDemand, other bool) {
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		other = other || r.Kind != routes.Rollout && r.Allows(service.Name)
	}
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	byModel := map[string]*scheduling.TrainerDemand{}
	for model, e := range c.steps {
		route := configuration.Match(e.host, e.path)
		share := shareOf(route, service.Name)
		if share == 0 || now-e.last > trainerIdle {
			continue
		}
		if s.runTimes.hint == 0 || route.CompletionTarget <= 0 {
			other = true
			continue
		}
		work := share * s.stepWork[model] * s.runTimes.seconds / s.runTimes.hint
		byModel[model] = &scheduling.TrainerDemand{UsualWork: work, Due: route.CompletionTarget.Seconds(), Interval: e.interval}
	}
	for _, b := range s.batchesByAge {
		route := configuration.Match(b.Host, b.Path)
		share := shareOf(route, service.Name)
		if share == 0 {
			continue
		}
		if s.runTimes.hint == 0 || route.CompletionTarget <= 0 {
			other = true
			continue
		}
		d := byModel[b.Model]
		if d == nil {
			d = &scheduling.TrainerDemand{}
			byModel[b.Model] = d
		}
		work := 0.0
		for _, t := range b.tasks {
			if t.state == taskWaiting || t.state == taskRunning {
				work += s.runTimes.remaining(&b.Items[t.item], t.events)
			}
		}
		left := route.CompletionTarget - (now - b.addedAt) // the time of day may jump
		d.Open = append(d.Open, scheduling.StepDemand{Work: share * work, TimeLeft: left.Seconds()})
	}
	for _, d := range byModel {
		trainers = append(trainers, *d)
	}
	return trainers, other
}

// shareOf returns the share of a route's items that run on a service. route may be nil.
func shareOf(route *routes.Route, service string) float64 {
	if route == nil || route.Kind != routes.Rollout {
		return 0
	}
	total, weight := 0, 0
	for _, w := range route.ServiceWeights {
		total += w.Weight
		if w.Service == service {
			weight += w.Weight
		}
	}
	return float64(weight) / float64(max(total, 1))
}

// report records the plan if the wanted servers have changed, and sets the metrics. The caller holds the mutex.
func (c *capacity) report(service string, plan *scheduling.CapacityPlan, zones []scheduling.ObservedZone) {
	var b strings.Builder
	for _, w := range plan.Zones {
		fmt.Fprintf(&b, ", zone %s %d regular %d spot", w.Zone, w.Regular, w.Spot)
		c.setGauge(gauge{service, w.Zone, scheduling.RegularServers.String(), "wanted"}, w.Regular)
		c.setGauge(gauge{service, w.Zone, scheduling.SpotServers.String(), "wanted"}, w.Spot)
	}
	for _, z := range zones {
		for kind, n := range z.Announced {
			c.setGauge(gauge{service, z.Name, scheduling.ServerKind(kind).String(), "announced"}, n)
		}
	}
	if wanted := b.String(); wanted != c.lastPlan[service] {
		c.lastPlan[service] = wanted
		c.session.record(events.Event{Name: events.CapacityPlanned, Detail: fmt.Sprintf("service %s: %s%s", service, plan.Describe(), wanted)})
	}
}

func (c *capacity) setGauge(g gauge, servers int) {
	m := c.session.node.opts.Duties.Metrics
	if m == nil || servers == 0 && !c.gauges[g] {
		return
	}
	m.CapacityServers(g.service, g.zone, g.kind, g.state, servers)
	if servers == 0 {
		delete(c.gauges, g)
	} else {
		c.gauges[g] = true
	}
}

// clearGauges sets the metrics of a service, or of all services, to 0: only the leader plans.
func (c *capacity) clearGauges(service string) {
	for g := range c.gauges {
		if service == "" || g.service == service {
			c.setGauge(g, 0)
		}
	}
}

// send sends one order and takes its outcome.
func (c *capacity) send(tracker *scheduling.CapacityTracker, service string, o scheduling.ServerOrder) {
	s := c.session
	started := boottime.Now()
	err := s.callProvider(func(ctx context.Context, call DutyCall) error {
		return s.node.opts.Duties.Provider.OrderServers(ctx, call, CapacityOrder{Service: service, FailureDomain: o.Zone, Servers: o.Servers, Spot: o.Kind == scheduling.SpotServers})
	})
	now := boottime.Now()
	outcome, result, name := scheduling.OrderAccepted, "ok", events.CapacityOrdered
	detail := fmt.Sprintf("service %s, zone %s: %d %s servers, token %d", service, o.Zone, o.Servers, o.Kind, s.term)
	if err != nil {
		outcome, result, name = scheduling.OrderUnknown, string(errs.KindOf(err)), events.CapacityFailed
		detail += ": " + err.Error()
		switch errs.KindOf(err) {
		case errs.Unavailable:
			outcome = scheduling.OrderRefused
		case errs.Overloaded:
			outcome = scheduling.OrderDelayed
		}
	}
	c.mu.Lock()
	tracker.Done(o, outcome, now.Seconds())
	c.mu.Unlock()
	s.record(events.Event{Name: name, Detail: detail, Took: now - started})
	if m := s.node.opts.Duties.Metrics; m != nil {
		m.CapacityOrder(service, o.Zone, o.Kind.String(), result)
	}
}
