package coordinator

import (
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/scheduling"
)

const (
	// maxAloneWait is how long an item that should run alone waits for an engine without other runs, and maxIdleTime is how
	// long it is at no engine with its pause included. A step fails if one of its items is at no engine for 5 s, and most items
	// under which engines crashed are sound.
	maxAloneWait = 2 * time.Second
	maxIdleTime  = 4500 * time.Millisecond
	// maxTrial is how long a suspected item keeps its engine to itself, and how long a run without an event counts as a trial.
	maxTrial = 1500 * time.Millisecond
	// trialCrashes is the number of servers that ended under an item from which its runs are trials until their first event.
	// The runs after scheduling.AloneAfterCrashes are alone and with their pauses last as long as a step, so a sound item
	// usually gets an answer before the eighth. At most one engine in enginesPerTrial is in a trial at a time, so that items that
	// crash every engine leave the others in service.
	trialCrashes    = 8
	enginesPerTrial = 4
)

// recordCrash counts a run that broke: its engine may have crashed because of the item. A run that broke before its first
// event counts at once; a later break counts if the server has ended. The caller holds the mutex.
func (s *session) recordCrash(t *task, v *fleet.Server, lost bool, now time.Duration) {
	if lost {
		s.node.suspects.ConnectionLost(t.digest, *v, t.batch.Items[t.item].ID)
		t.suspected = true
	}
	if t.lastEventAt == 0 {
		t.crashes++
	}
	crashes := s.crashesOf(t, now)
	pause := scheduling.CrashPause(crashes)
	t.pausedUntil = now + pause
	if crashes >= scheduling.AloneAfterCrashes {
		s.record(events.Event{
			Name: events.ItemSuspected, Request: t.batch.Items[t.item].ID, Server: api.ServerID(t.engine),
			Detail: fmt.Sprintf("batch %s, %d runs broke, %d servers were lost; it runs alone after %s, from %d lost servers on, such runs begin on at most one engine in %d at a time", t.batch.ID, t.crashes, s.lostServers(t, now), pause, trialCrashes, enginesPerTrial),
		})
	}
}

// lostServers returns the number of servers that ended, or may have, while they ran the content of an item.
func (s *session) lostServers(t *task, now time.Duration) int {
	lost, _ := s.node.suspects.Table().Crashes(t.digest, now)
	return lost
}

// crashesOf returns the number of crashes that count against an item.
func (s *session) crashesOf(t *task, now time.Duration) int {
	if !t.suspected {
		return t.crashes
	}
	return max(t.crashes, s.lostServers(t, now))
}

// needsTrial reports whether the next run of an item is a trial.
func (s *session) needsTrial(t *task, now time.Duration) bool {
	return t.suspected && s.lostServers(t, now) >= trialCrashes
}

// mayTry reports whether an item may run now, beside the trials in progress on a number of engines.
func (s *session) mayTry(t *task, engines int, now time.Duration) bool {
	if !s.needsTrial(t, now) {
		return true
	}
	s.trials = slices.DeleteFunc(s.trials, func(other *task) bool { return !other.inTrial(now) })
	return len(s.trials) < max(1, engines/enginesPerTrial)
}

// inTrial reports whether a run that began as a trial has not proved yet that the item does not crash its engine.
func (t *task) inTrial(now time.Duration) bool {
	return t.state == taskRunning && t.lastEventAt == 0 && now < t.startedAt+maxTrial
}

// answered records that an engine answered an item, which therefore did not crash it.
func (s *session) answered(t *task) {
	if t.suspected {
		s.node.suspects.Answered(t.digest)
		t.suspected = false
	}
}

// runsAlone reports whether the item should run on an engine without other runs.
func (s *session) runsAlone(t *task, now time.Duration) bool {
	until := min(max(t.pausedUntil, t.waitingSince)+maxAloneWait, t.waitingSince+maxIdleTime)
	return s.crashesOf(t, now) >= scheduling.AloneAfterCrashes && now < until
}

// runsOrWaitsAlone reports whether the engine of a server runs an item alone, or is kept free for one. An item runs alone until
// its first event and, if servers were lost under it, for maxTrial.
func (s *session) runsOrWaitsAlone(server string, e *engineState, now time.Duration) bool {
	if e.alone != nil {
		waits := e.alone.state == taskWaiting && s.runsAlone(e.alone, now)
		begins := e.alone.state == taskRunning && e.alone.engine == server && (e.alone.lastEventAt == 0 || e.alone.suspected && now < e.alone.startedAt+maxTrial)
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
	var best *engineState
	for i, e := range c.states {
		if s.runsOrWaitsAlone(c.engines[i].ID, e, now) {
			return
		}
		if !c.engines[i].OtherSoftware && !c.engines[i].AtLimit && (best == nil || e.running < best.running) {
			best = e
		}
	}
	if best != nil {
		best.alone = t
	}
}
