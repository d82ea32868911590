package coordinator

import (
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/scheduling"
)

// maxAloneWait is how long an item that should run alone waits for an engine without other runs. A step fails if one of
// its items is at no engine for 5 s, and most items under which engines crashed are sound.
const maxAloneWait = 2 * time.Second

// recordCrash counts a run that broke before its first event: its engine may have crashed because of the item. Engines
// that crash later in a run do so for other reasons. No number of crashes ends an item, which is owed. The caller holds
// the mutex.
func (s *session) recordCrash(t *task, now time.Duration) {
	if t.lastEventAt > 0 {
		return
	}
	t.crashes++
	pause := scheduling.CrashPause(t.crashes)
	t.pausedUntil = now + pause
	if t.crashes >= scheduling.AloneAfterCrashes {
		s.record(events.Event{
			Name: events.ItemSuspected, Request: t.batch.Items[t.item].ID, Server: api.ServerID(t.engine),
			Detail: fmt.Sprintf("batch %s, %d runs in a row broke before their first event; it runs alone after %s", t.batch.ID, t.crashes, pause),
		})
	}
}

// runsAlone reports whether the item should run on an engine without other runs.
func (t *task) runsAlone(now time.Duration) bool {
	return t.crashes >= scheduling.AloneAfterCrashes && now < max(t.pausedUntil, t.waitingSince)+maxAloneWait
}

// runsOrWaitsAlone reports whether the engine runs an item alone, or is kept free for one. An item runs alone until its
// first event.
func (e *engineState) runsOrWaitsAlone(now time.Duration) bool {
	if e.alone != nil {
		waits := e.alone.state == taskWaiting && e.alone.runsAlone(now)
		begins := e.alone.state == taskRunning && e.alone.lastEventAt == 0
		if !waits && !begins {
			e.alone = nil
		}
	}
	return e.alone != nil
}

// keepEngineFree keeps the engine with the fewest runs free for an item that must run alone, unless an engine is kept
// free already: one at a time, so that a burst of crashes does not take the engines from the other items. The caller
// holds the mutex.
func (s *session) keepEngineFree(t *task, c *candidates, now time.Duration) {
	if slices.ContainsFunc(c.states, func(e *engineState) bool { return e.runsOrWaitsAlone(now) }) {
		return
	}
	var best *engineState
	for i, e := range c.states {
		if !c.engines[i].OtherSoftware && !c.engines[i].AtLimit && (best == nil || e.running < best.running) {
			best = e
		}
	}
	if best != nil {
		best.alone = t
	}
}
