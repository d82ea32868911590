package coordinator

import (
	"fmt"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/rollout"
	"filbertledge/internal/scheduling"
)

const (
	// firstEventTimeout is how long a run may take to its first output event, and eventTimeout to each later one,
	// before its item is moved to another engine. Engines produce the first event within some tens of milliseconds and
	// a later one every 50 ms; a slow engine takes ten times as long.
	firstEventTimeout = 1500 * time.Millisecond
	eventTimeout      = 1200 * time.Millisecond
	// minMoveSaving is the minimum expected time that moving an item to a faster engine must save.
	minMoveSaving = 500 * time.Millisecond
	// minRunBeforeMove is how long a run must have lasted before it may move.
	minRunBeforeMove = 400 * time.Millisecond
	// minRemainingEvents is the minimum number of events that a run, whose length is unknown, is expected to have left.
	minRemainingEvents = 8
	// producedPerRemaining is how many events a long item has produced for each one that it is expected to have left.
	producedPerRemaining = 2
	// avoidAfterTransientSlowdown is how long a long item avoids an engine that is transiently slow.
	avoidAfterTransientSlowdown = 600 * time.Millisecond
	// stalledBackoff is how long an engine gets no items after a run without progress.
	stalledBackoff = 200 * time.Millisecond
	// recentIntervalWeight is the weight of a new measurement in the moving average of the time between events.
	recentIntervalWeight = 0.12
	// slowShareWeight is the weight of an interval in the moving share of slow ones.
	slowShareWeight = 1.0 / 300
	// baselineStep is the relative change of the baseline interval with each event. The baseline halves or doubles
	// within 35 events, which one run produces in two seconds, and varies by a few percent.
	baselineStep = 0.02
	// idleIntervalLifetime is how long the recent interval of an idle engine is used. Slowdowns last 5 to 8 seconds.
	idleIntervalLifetime = 1500 * time.Millisecond
	// minKindIntervals is the number of measured intervals from which the baseline interval shows the kind of the engine.
	minKindIntervals = 35
	// baselineLifetime is how long after its last measurement an idle engine counts as measured.
	baselineLifetime = 5 * time.Second
	// minLongItemMoveSaving is the minimum time that moving a long item to a permanently faster engine must save. A
	// move costs about 60 ms, for a connection and for processing the prompt and the text so far.
	minLongItemMoveSaving = 250 * time.Millisecond
)

// recordSlow counts an interval in slowShare. The caller holds the mutex.
func (s *session) recordSlow(slow bool) {
	s.slowShare *= 1 - slowShareWeight
	if slow {
		s.slowShare += slowShareWeight
	}
}

// moveFromSlowEngine moves a long item away from an engine that is transiently slow, if another engine has room. The
// caller holds the mutex.
func (s *session) moveFromSlowEngine(t *task, interval float64, now time.Duration) {
	medians := s.medianIntervals(now)
	if now-t.startedAt < minRunBeforeMove || s.freeNormalSlots(t, medians, now) == 0 || medians.Uneven && !scheduling.MayDecideStep(s.timeLeft(t, medians), s.longestLeft(t.batch, medians)) {
		return
	}
	s.moveItem(t, fmt.Sprintf("long, %.0f ms between two events", interval), now+avoidAfterTransientSlowdown)
}

// timeLeft returns the expected time until an unfinished item is complete where it runs, in seconds. The caller holds the
// mutex.
func (s *session) timeLeft(t *task, medians scheduling.MedianIntervals) float64 {
	left := s.runTimes.remainingOfLong(&t.batch.Items[t.item], t.events)
	if e := s.engines[t.engine]; e != nil && t.state == taskRunning && medians.Recent > 0 {
		left *= max(e.recentInterval/medians.Recent, 1)
	}
	return left
}

// longestLeft returns the longest timeLeft of a batch. The caller holds the mutex.
func (s *session) longestLeft(b *batch, medians scheduling.MedianIntervals) float64 {
	longest := 0.0
	for _, t := range b.tasks {
		if t.state == taskWaiting || t.state == taskRunning {
			longest = max(longest, s.timeLeft(t, medians))
		}
	}
	return longest
}

// moveItem ends a run, so that another engine continues the item. The caller holds the mutex.
func (s *session) moveItem(t *task, reason string, avoidUntil time.Duration) {
	t.moving = true
	t.avoidUntil[t.engine] = avoidUntil
	s.record(events.Event{Name: events.ItemMoved, Request: t.batch.Items[t.item].ID, Server: api.ServerID(t.engine), Detail: reason})
	t.cancel()
}

// recordInterval records the time between two events of a run, in milliseconds. The baseline interval follows the
// median, which the short slowdowns of an engine do not change.
func (e *engineState) recordInterval(interval float64, slots int, now time.Duration) {
	unloaded := interval / scheduling.LoadSlowdown(e.running, slots)
	if e.recentInterval == 0 {
		e.recentInterval = interval
	}
	if e.baselineInterval == 0 {
		e.baselineInterval = unloaded
	}
	e.recentInterval += recentIntervalWeight * (interval - e.recentInterval)
	e.recentIntervalAt = now
	if unloaded > e.baselineInterval {
		e.baselineInterval *= 1 + baselineStep
	} else {
		e.baselineInterval *= 1 - baselineStep
	}
	if e.intervals++; e.intervals >= minKindIntervals && (e.kindInterval == 0 || e.baselineInterval < e.kindInterval) {
		e.kindInterval = e.baselineInterval
	}
}

// usableRecentInterval returns the recent interval for the choice of an engine, or 0 if it is unknown. An engine that
// was slow and has run nothing for a while may be fast again: its interval counts as unknown until an item has run
// there.
func (e *engineState) usableRecentInterval(now time.Duration) float64 {
	if e.running == 0 && now-e.recentIntervalAt > idleIntervalLifetime {
		return 0
	}
	return e.recentInterval
}

// checkRuns moves items whose run makes no progress or whose engine is much slower than the others, and gives up items
// whose batch is past giveUpAt.
func (s *session) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, timeOfDay := boottime.Now(), time.Now()
	medians := s.medianIntervals(now)
	for _, e := range s.engines {
		switch {
		case !e.isSlow(medians):
			e.slowSince = 0
		case e.slowSince == 0:
			e.slowSince = now
		}
	}
	freeSlots := map[moveTarget]int{} // of engines of normal speed
	for _, b := range s.batchesByAge {
		late := timeOfDay.After(b.giveUpAt)
		longest := 0.0
		if medians.Uneven {
			longest = s.longestLeft(b, medians)
		}
		for _, t := range b.tasks {
			switch {
			case late && (t.state == taskWaiting || s.unscored[t]):
				delete(s.unscored, t)
				s.finishItem(t, rollout.Result{Item: t.item})
			case late && (t.state == taskRunning || t.state == taskScoring):
				t.cancel()
			case t.state == taskRunning && !t.moving:
				s.checkRun(t, now, medians, longest, freeSlots)
			}
		}
	}
}

// moveTarget identifies the engines to which an item can move: those that serve the model with the software that began
// its text.
type moveTarget struct{ model, software string }

// checkRun moves an item if its run makes no progress or if its engine is slow and others have room. longest is the result
// of longestLeft in an uneven fleet.
func (s *session) checkRun(t *task, now time.Duration, medians scheduling.MedianIntervals, longest float64, freeSlots map[moveTarget]int) {
	e := s.engines[t.engine]
	if e == nil {
		return
	}
	silence, limit := now-t.startedAt, firstEventTimeout
	if t.lastEventAt > 0 {
		silence, limit = now-t.lastEventAt, eventTimeout
	}
	target := moveTarget{t.batch.Model, t.software}
	if _, known := freeSlots[target]; !known {
		freeSlots[target] = s.freeNormalSlots(t, medians, now)
	}
	reason := ""
	switch {
	case silence > limit:
		reason = fmt.Sprintf("no event for %s", silence.Round(time.Millisecond))
		e.blockedUntil = now + stalledBackoff
	case now-t.startedAt > minRunBeforeMove && freeSlots[target] > 0 && (!medians.Uneven || scheduling.MayDecideStep(s.timeLeft(t, medians), longest)):
		if reason = e.moveReason(t.events, medians, now); reason != "" {
			freeSlots[target]--
		}
	}
	if reason == "" {
		return
	}
	s.moveItem(t, reason, now+avoidAfterMove)
}

// moveReason tells why an item that has produced the given number of events should move to an engine of normal speed.
// It returns an empty string if the item should stay. The number of remaining events is unknown; a long item has about
// half as many left as it has produced. A short item stays on an engine that has not been slow for longer than a
// transient slowdown lasts: a move costs more than waiting for its end.
func (e *engineState) moveReason(produced int, medians scheduling.MedianIntervals, now time.Duration) string {
	remaining := float64(max(minRemainingEvents, produced/producedPerRemaining))
	saved := func(here, there float64) time.Duration {
		return time.Duration(remaining * (here - there) * float64(time.Millisecond))
	}
	switch {
	case e.isSlow(medians) && (produced >= longItemEvents || now-e.slowSince > scheduling.TransientSlowdown) && saved(e.recentInterval, medians.Recent) > minMoveSaving:
		return fmt.Sprintf("%.0f ms between events against %.0f ms elsewhere", e.recentInterval, medians.Recent)
	case medians.Baseline > 0 && e.baselineInterval > scheduling.BaselineSlowdownToMove*medians.Baseline && produced >= longItemEvents && saved(e.baselineInterval, medians.Baseline) > minLongItemMoveSaving:
		return fmt.Sprintf("long, %.0f ms between events of an idle engine against %.0f ms elsewhere", e.baselineInterval, medians.Baseline)
	default:
		return ""
	}
}

// isSlow reports whether the engine is at present too slow to keep its items.
func (e *engineState) isSlow(medians scheduling.MedianIntervals) bool {
	return medians.Recent > 0 && e.recentInterval > scheduling.RecentSlowdownToMove*medians.Recent
}

// freeNormalSlots counts the free slots of engines of normal speed that have the weights for an item and the software
// that began its text. If more items moved than that, they would return to the engines that they left. Engines with scarce
// requests do not count: a move would cost the start of another item.
func (s *session) freeNormalSlots(t *task, medians scheduling.MedianIntervals, now time.Duration) int {
	free, b := 0, t.batch
	for id, e := range s.engines {
		v, ok := s.node.registry.Get(id)
		if !ok || v.Leaving || e.blockedUntil > now || s.hasScarceRequests(&v) || !t.mayContinueOn(e.softwareOf(&v)) || e.loadingModel != "" && e.loadingModel == b.Model ||
			e.usableRecentInterval(now) > scheduling.RecentSlowdownToMove*medians.Recent || e.baselineInterval > scheduling.BaselineSlowdownToMove*medians.Baseline {
			continue
		}
		if e.versions[b.Model] >= b.MinVersion {
			free += max(min(v.Slots-e.running, s.limits.Left(id, now)), 0)
		}
	}
	return free
}

// medianIntervals returns the medians over the known engines.
func (s *session) medianIntervals(now time.Duration) scheduling.MedianIntervals {
	list := make([]scheduling.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		list = append(list, scheduling.Engine{RecentInterval: e.usableRecentInterval(now), BaselineInterval: e.baselineInterval, KindInterval: e.kindInterval})
	}
	return scheduling.ComputeMedianIntervals(list)
}
