package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// scheduleInterval is the time between checks of the running items.
	scheduleInterval = 100 * time.Millisecond
	// minPassPause is the shortest pause between two passes over the waiting items or the engines to load, and
	// passPauseRatio the ratio of the pause to the duration of the pass. Each end of an item or of a load asks for a pass,
	// which looks at all engines and holds the mutex that the events of the running items need.
	minPassPause   = 3 * time.Millisecond
	passPauseRatio = 5
	// longItemEvents is the number of events from which an item counts as long: twice the mean of the items in the
	// users' specifications.
	longItemEvents = 30
	// shortItemMaxWait is how long the short items of a batch leave slots to long ones: a quarter of the time available
	// for a step.
	shortItemMaxWait = 2 * time.Second
)

// scheduleLoop starts waiting items and checks running ones until the leadership ends.
func (s *session) scheduleLoop() {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.schedulerWake:
		case <-ticker.C:
			s.checkRuns()
		}
		started := boottime.Now()
		s.startWaitingItems()
		pauseAfterPass(s.ctx, started)
	}
}

// pauseAfterPass pauses after a pass over the waiting items or the engines that started at the given boot time.
func pauseAfterPass(ctx context.Context, started time.Duration) {
	sleep(ctx, max(minPassPause, passPauseRatio*(boottime.Now()-started)))
}

// startWaitingItems starts waiting items while engines have room for them.
func (s *session) startWaitingItems() {
	if s.checkLeadership() != nil {
		return // while the lease has lapsed, running items continue, but no new ones start
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.node.state.Configuration()
	if c == nil {
		return
	}
	now := boottime.Now()
	medians := s.medianIntervals(now)
	servers := map[string][]fleet.Server{}
	type batchService struct {
		batch   *batch
		service string
	}
	byBatch := map[batchService]*candidates{}
	type requirement struct {
		batch, service string
		traits         scheduling.ItemTraits
		software       string // that began the text; empty if there is no text
	}
	full := map[requirement]bool{} // requirements for which no engine has room
	for _, b := range s.batchesByAge {
		s.planBatch(b, c, now)
	}
	for _, w := range s.waitingItems(now) {
		t := s.batchesByAge[w.BatchIndex].tasks[w.ItemIndex]
		route := c.Match(t.batch.Host, t.batch.Path)
		if route == nil || route.Kind != routes.Rollout {
			continue
		}
		service := route.PickService(unitHash(t.batch.Items[t.item].ID))
		if servers[service] == nil {
			servers[service] = s.node.registry.List(service, now)
		}
		s.restartText(t, servers[service], medians, now)
		traits := scheduling.ItemTraits{Long: t.isLong(), Urgent: t.batch.plan.Tight || now-t.batch.addedAt > shortItemMaxWait, Alone: s.runsAlone(t, now), Begun: t.events > 0}
		key := requirement{t.batch.ID, service, traits, t.software}
		if full[key] {
			continue
		}
		list := byBatch[batchService{t.batch, service}]
		if list == nil {
			list = s.candidatesFor(t.batch, servers[service], now)
			byBatch[batchService{t.batch, service}] = list
		}
		if !s.mayTry(t, len(servers[service]), now) {
			continue
		}
		i := list.choose(s, t, s.limits, medians, key.traits, s.promptCachedOn[t.promptKey()], now)
		if i < 0 {
			if traits.Alone {
				s.keepEngineFree(t, list, now)
			}
			full[key] = true
			continue
		}
		s.startRun(t, list.servers[i], route, now)
	}
}

// isLong reports whether an item is expected to run much longer than the others of its batch, by the caller's length
// hint or by the events that it has produced.
func (t *task) isLong() bool {
	return float64(t.batch.Items[t.item].LengthHint) > scheduling.LongItemRatio*t.batch.meanLength || t.events >= longItemEvents
}

// unitHash returns a number in [0, 1) that depends only on id, so that an item always goes to the same service.
func unitHash(id string) float64 {
	const precision = 53 // bits of a float64's mantissa
	return float64(xxhash.Sum64String(id)>>(64-precision)) / (1 << precision)
}

// waitingItems returns the items that may start now, sorted by priority. The caller holds the mutex.
func (s *session) waitingItems(now time.Duration) []scheduling.WaitingItem {
	var list []scheduling.WaitingItem
	for i, b := range s.batchesByAge {
		for _, t := range b.tasks {
			if t.state == taskWaiting && t.pausedUntil <= now {
				list = append(list, scheduling.WaitingItem{
					BatchIndex: i, GroupRank: b.groupRank(t.group), PartlyRun: t.events > 0, CarriedOver: t.group.carriedOver, GroupIndex: t.group.index,
					ExpectedTokens: b.Items[t.item].LengthHint, ItemIndex: t.item,
				})
			}
		}
	}
	scheduling.SortWaiting(list)
	return list
}

// startRun sends an item to an engine. The caller holds the mutex.
func (s *session) startRun(t *task, v *fleet.Server, route *routes.Route, now time.Duration) {
	item := &t.batch.Items[t.item]
	body := rollout.InlineBody(item.Body)
	if item.Stored != nil {
		var open bool
		if body, open, _ = s.node.state.ItemBody(t.batch.ID, item.ID); !open {
			return // the batch has just ended
		}
	}
	if s.needsTrial(t, now) {
		s.trials = append(s.trials, t)
	}
	s.limits.Take(v.ID, now)
	ctx, cancel := context.WithCancel(s.ctx)
	t.state, t.engine, t.cancel, t.startedAt, t.lastEventAt, t.moving = taskRunning, v.ID, cancel, now, 0, false
	e := s.engineFor(v)
	e.running++
	s.runningItems++
	if t.countedAsLong = t.isLong(); t.countedAsLong {
		e.runningLong++
	}
	if s.runsAlone(t, now) {
		e.alone = t
	}
	s.promptCachedOn[t.promptKey()] = v.ID
	name := events.ItemPlaced
	if t.events > 0 {
		name = events.ItemResumed
	}
	s.record(events.Event{
		Name: name, Request: item.ID, Server: api.ServerID(v.ID),
		Detail: fmt.Sprintf("batch %s, after event %d, software %q", t.batch.ID, t.events, v.Software),
	})
	g := GenerationRequest{
		ID: item.ID, Host: t.batch.Host, Path: item.Path, Headers: item.Headers, Body: body,
		AfterEvent: t.events, TimeLeft: time.Until(t.batch.giveUpAt),
		Workspace: t.batch.Workspace, WithoutIdentity: s.dropsIdentity(&t.batch.Batch),
	}
	if _, limited := s.node.limits.Get(v.ID); limited {
		g.Permitted = func() bool { return boottime.Now()-now <= ratelimit.PermissionLifetime }
	}
	go s.runItem(ctx, t, *v, g, route, e.softwareOf(v))
}
