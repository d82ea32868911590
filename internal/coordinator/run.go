package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
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
	// avoidAfterFailure is how long an item avoids an engine that failed to run it; avoidAfterMove, one that it was
	// moved away from.
	avoidAfterFailure = 2 * time.Second
	avoidAfterMove    = 2 * time.Second
	// avoidAfterTransientSlowdown is how long a long item avoids an engine that is transiently slow.
	avoidAfterTransientSlowdown = 600 * time.Millisecond
	// busyBackoff is how long an engine gets no items after it rejected one as busy. initialFailureBackoff applies
	// after a failed connection or a malformed response; it doubles with each consecutive failure up to
	// maxFailureBackoff.
	busyBackoff           = 60 * time.Millisecond
	initialFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff     = 1600 * time.Millisecond
	// stalledBackoff is how long an engine gets no items after a run without progress.
	stalledBackoff = 200 * time.Millisecond
	// replacedBackoff is how long a server gets no items after another server answered at its address.
	replacedBackoff = 1600 * time.Millisecond
	// maxBackoffDoublings prevents an overflow of the backoff before it is limited.
	maxBackoffDoublings = 8
	// recentIntervalWeight is the weight of a new measurement in the moving average of the time between events.
	recentIntervalWeight = 0.12
	// slowShareWeight is the weight of an interval in the moving share of slow ones.
	slowShareWeight = 1.0 / 300
	// baselineStep is the relative change of the baseline interval with each event. The baseline halves or doubles
	// within 35 events, which one run produces in two seconds, and varies by a few percent.
	baselineStep = 0.02
	// idleIntervalLifetime is how long the recent interval of an idle engine is used. Slowdowns last 5 to 8 seconds.
	idleIntervalLifetime = 1500 * time.Millisecond
	// longItemEvents is the number of events from which an item counts as long: twice the mean of the items in the
	// users' specifications.
	longItemEvents = 30
	// minLongItemMoveSaving is the minimum time that moving a long item to a permanently faster engine must save. A
	// move costs about 60 ms, for a connection and for processing the prompt and the text so far.
	minLongItemMoveSaving = 250 * time.Millisecond
	// shortItemMaxWait is how long the short items of a batch leave slots to long ones: a quarter of the time available
	// for a step.
	shortItemMaxWait = 2 * time.Second
	// progressInterval is the time between commits of the running items' texts. About this much work on each item is
	// lost when the leader fails.
	progressInterval = time.Second
	// maxProgressBytes limits one command with progress; the next one waits for its commit. Heartbeats queue behind a
	// command on a connection or a disk: the progress of one second, two megabytes, would take longer than the leader
	// lease on a disk that is 30 times slower than usual.
	maxProgressBytes = 64 << 10
	// maxTextBytes limits the text of an item, so that a server that streams without end does not exhaust the memory. A
	// page of results, of at most a megabyte, must hold it.
	maxTextBytes = 900 << 10
	// resultBatchDelay is how long a result waits for others to share its commit. A commit costs the leader two messages
	// and their answers for each voter, and a step takes seconds.
	resultBatchDelay = 20 * time.Millisecond
	// resultRetryInterval is the time after which a failed commit of results is repeated.
	resultRetryInterval = heartbeatInterval
	// maxResultBytes limits one command with results.
	maxResultBytes = 256 << 10
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
		traits := scheduling.ItemTraits{Long: t.isLong(), Urgent: t.batch.plan.Tight || now-t.batch.addedAt > shortItemMaxWait, Alone: t.runsAlone(now), Begun: t.events > 0}
		key := requirement{t.batch.ID, service, traits, t.software}
		if full[key] {
			continue
		}
		list := byBatch[batchService{t.batch, service}]
		if list == nil {
			list = s.candidatesFor(t.batch, servers[service], now)
			byBatch[batchService{t.batch, service}] = list
		}
		i := list.choose(t, s.limits, medians, key.traits, s.promptCachedOn[t.promptKey()], now)
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
	s.limits.Take(v.ID, now)
	ctx, cancel := context.WithCancel(s.ctx)
	item := &t.batch.Items[t.item]
	t.state, t.engine, t.cancel, t.startedAt, t.lastEventAt, t.moving = taskRunning, v.ID, cancel, now, 0, false
	e := s.engineFor(v)
	e.running++
	s.runningItems++
	if t.countedAsLong = t.isLong(); t.countedAsLong {
		e.runningLong++
	}
	if t.runsAlone(now) {
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
		ID: item.ID, Host: t.batch.Host, Path: item.Path, Headers: item.Headers, Body: item.Body,
		AfterEvent: t.events, TimeLeft: time.Until(t.batch.giveUpAt),
	}
	if _, limited := s.node.limits.Get(v.ID); limited {
		g.Permitted = func() bool { return boottime.Now()-now <= ratelimit.PermissionLifetime }
	}
	go s.runItem(ctx, t, *v, g, route, e.softwareOf(v))
}

// weightVersionError ends a run with weights that the batch does not allow.
type weightVersionError struct{ version uint64 }

// Error returns a message with the version.
func (e weightVersionError) Error() string {
	return fmt.Sprintf("weights of version %d are not allowed", e.version)
}

// runItem runs an item on one engine, whose software is of the given version.
func (s *session) runItem(ctx context.Context, t *task, v fleet.Server, g GenerationRequest, route *routes.Route, software string) {
	defer t.cancel()
	err := s.readStream(ctx, t, v, g, route, software)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineFor(&v)
	e.running = max(e.running-1, 0)
	s.runningItems--
	if t.countedAsLong {
		e.runningLong = max(e.runningLong-1, 0)
	}
	if t.state != taskRunning || err != nil && s.ctx.Err() != nil {
		return // the batch or the leadership has ended
	}
	if s.ranOnOtherSoftware(&v) && g.AfterEvent > 0 {
		t.discardText()
		err = &RunError{Kind: ServerReplaced, Err: errs.New(errs.BackendFailed, "run the item again", "server %s restarted with other software", v.ID)}
	}
	if err == nil {
		e.failures = 0
		if g.AfterEvent == 0 {
			s.runTimes.record(t.batch.Items[t.item].LengthHint, t.events, boottime.Now()-t.startedAt)
		}
		s.completeText(t)
		return
	}
	t.state, t.waitingSince = taskWaiting, boottime.Now()
	if s.ranOnOtherSoftware(&v) {
		t.software = "" // the text may be of either version
	}
	s.handleFailure(t, &v, e, err, route)
	s.wakeScheduler()
}

// readStream appends the output of an engine to the text of the task.
func (s *session) readStream(ctx context.Context, t *task, v fleet.Server, g GenerationRequest, route *routes.Route, software string) error {
	sentAt := boottime.Now()
	stream, err := s.node.opts.EngineClient.Start(ctx, v, g)
	if err != nil {
		var run *RunError
		if errors.As(err, &run) {
			s.node.forwarder.ObserveLimit(v.ID, g.ID, run.Limit, sentAt)
		}
		return err
	}
	defer stream.Close()
	s.node.forwarder.ObserveLimit(v.ID, g.ID, stream.Limit(), sentAt)
	if first := stream.Version(); first != 0 && first < t.batch.MinVersion {
		return weightVersionError{first}
	}
	var last time.Duration
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if ev.Version < t.batch.MinVersion {
			return weightVersionError{ev.Version}
		}
		if route.SingleVersion && len(t.versions) > 0 && t.versions[0] != ev.Version {
			s.mu.Lock()
			t.discardText()
			s.mu.Unlock()
			return weightVersionError{ev.Version}
		}
		if ev.Number != t.events+1 {
			return &RunError{Kind: StreamBroken, Err: errs.New(errs.BackendFailed, "run the item again", "the stream skips or repeats an event: event %d follows event %d", ev.Number, t.events)}
		}
		if limit := t.maxEvents(); ev.Number > limit || len(t.text)+len(ev.Data) > maxTextBytes {
			s.mu.Lock()
			t.discardText()
			s.mu.Unlock()
			return &RunError{Kind: StreamBroken, Err: errs.New(errs.BackendFailed, "run the item again", "the stream exceeds %d events or %d bytes", limit, maxTextBytes)}
		}
		last = s.addEvent(t, v, ev, last, software)
	}
}

// maxEvents returns the maximum number of events of the item: each holds at least one of the tokens that the caller
// states.
func (t *task) maxEvents() int {
	if n := t.batch.Items[t.item].Tokens; n > 0 {
		return n
	}
	return math.MaxInt
}

// addEvent appends an event to the text and measures the time since the previous event of the run, at time last. It
// returns the time of the event.
func (s *session) addEvent(t *task, v fleet.Server, ev StreamEvent, last time.Duration, software string) time.Duration {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != taskRunning {
		return now // the batch has ended; a later batch may use the text, so it must not change
	}
	if t.events > 0 {
		t.text = append(t.text, '\n')
	} else {
		t.software = software
	}
	t.text = append(t.text, ev.Data...)
	if i, found := slices.BinarySearch(t.versions, ev.Version); !found {
		t.versions = slices.Insert(slices.Clone(t.versions), i, ev.Version)
	}
	t.events++
	t.lastEventAt, t.crashes = now, 0
	e := s.engineFor(&v)
	e.failures = 0
	e.versions[t.batch.Model] = ev.Version
	s.stalls.recordEvent(now, s.runningItems, time.Duration(e.recentInterval*float64(time.Millisecond)))
	if last > 0 && !s.stalls.stalledSince(last) {
		interval := float64((now - last).Microseconds()) / 1000 // in milliseconds
		slow := scheduling.IsTransientSlowdown(interval, e.baselineInterval, e.running, max(v.Slots, 1))
		s.recordSlow(slow)
		if slow && t.isLong() && !t.moving && scheduling.SlowShareAllowsMoves(s.slowShare, len(s.engines)) {
			s.moveFromSlowEngine(t, interval, now)
		}
		e.recordInterval(interval, max(v.Slots, 1), now)
	}
	return now
}

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
	if now-t.startedAt < minRunBeforeMove || s.freeNormalSlots(t, s.medianIntervals(now), now) == 0 {
		return
	}
	s.moveItem(t, fmt.Sprintf("long, %.0f ms between two events", interval), now+avoidAfterTransientSlowdown)
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

// handleFailure decides when and where an item continues after its run failed. The caller holds the mutex.
func (s *session) handleFailure(t *task, v *fleet.Server, e *engineState, err error, route *routes.Route) {
	now := boottime.Now()
	item := t.batch.Items[t.item].ID
	var versionErr weightVersionError
	if errors.As(err, &versionErr) {
		e.versions[t.batch.Model] = versionErr.version
		s.record(events.Event{Name: events.LabelRefused, Request: item, Server: serverID(*v), Detail: fmt.Sprintf("%v, at least %d", err, t.batch.MinVersion)})
		return
	}
	var run *RunError
	if !errors.As(err, &run) {
		run = &RunError{Kind: StreamBroken, Err: err}
	}
	if !t.moving {
		s.record(events.Event{Name: events.ItemRefused, Request: item, Server: serverID(*v), Detail: run.Error()})
	}
	switch run.Kind {
	case NotPermitted: // the item starts again with a new permission
	case EngineBusy:
		e.blockedUntil = now + busyBackoff
	case ServerReplaced:
		e.blockedUntil = now + replacedBackoff
	case GenerationFailed:
		t.failures++
		t.avoidUntil[v.ID] = now + avoidAfterFailure
		if t.failures >= max(route.MaxAttempts, 1) {
			s.finishItem(t, rollout.Result{Item: t.item})
		}
	case RequestUnprocessable:
		s.finishItem(t, rollout.Result{Item: t.item})
	case EngineUnreachable, StreamBroken:
		if t.moving {
			return
		}
		t.avoidUntil[v.ID] = now + avoidAfterFailure
		s.doubtSoftware(e, v)
		if run.Kind == StreamBroken {
			s.recordCrash(t, now)
		}
		if now < e.blockedUntil {
			return // runs that break together are one failure of their engine
		}
		e.failures++
		backoff := min(initialFailureBackoff<<min(e.failures-1, maxBackoffDoublings), maxFailureBackoff)
		e.blockedUntil = now + backoff
		s.record(events.Event{Name: events.ServerBlocked, Server: serverID(*v), Detail: fmt.Sprintf("%d failures in a row, for %s", e.failures, backoff)})
	}
}

// finishItem queues the result of an item for its commit. The caller holds the mutex.
func (s *session) finishItem(t *task, r rollout.Result) {
	t.state, t.completed = taskFinished, r.Completed
	t.group.unfinished--
	s.record(events.Event{
		Name: events.ItemListed, Request: t.batch.Items[t.item].ID, Took: time.Since(time.UnixMilli(t.batch.Submitted)),
		Detail: fmt.Sprintf("batch %s, completed %t, %d events, versions %v, group misses %d", t.batch.ID, r.Completed, t.events, r.Versions, t.group.unfinished),
	})
	if r.Completed {
		r.Offset, r.Text = t.committedBytes, r.Text[t.committedBytes:]
	}
	select {
	case s.results <- rollout.BatchResult{Batch: t.batch.ID, Result: r}:
	default:
		// The queue holds more results than all engines produce in a second. If it is full, the item runs or is scored
		// again.
		t.state, t.completed = taskWaiting, false
		t.group.unfinished++
		if t.textComplete && t.batch.Items[t.item].Scorer != nil {
			s.waitForScore(t)
		}
	}
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
		for _, t := range b.tasks {
			switch {
			case late && (t.state == taskWaiting || s.unscored[t]):
				delete(s.unscored, t)
				s.finishItem(t, rollout.Result{Item: t.item})
			case late && (t.state == taskRunning || t.state == taskScoring):
				t.cancel()
			case t.state == taskRunning && !t.moving:
				s.checkRun(t, now, medians, freeSlots)
			}
		}
	}
}

// moveTarget identifies the engines to which an item can move: those that serve the model with the software that began
// its text.
type moveTarget struct{ model, software string }

// checkRun moves an item if its run makes no progress or if its engine is slow and others have room.
func (s *session) checkRun(t *task, now time.Duration, medians scheduling.MedianIntervals, freeSlots map[moveTarget]int) {
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
	case now-t.startedAt > minRunBeforeMove && freeSlots[target] > 0:
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
		list = append(list, scheduling.Engine{RecentInterval: e.usableRecentInterval(now), BaselineInterval: e.baselineInterval})
	}
	return scheduling.ComputeMedianIntervals(list)
}

// progressLoop commits the texts of running items periodically, so that the next leader continues from there. Each byte
// is committed once: the result of an item contains only the text that was not committed as progress.
func (s *session) progressLoop() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.commitProgress()
	}
}

// commitProgress commits the uncommitted texts in several commands, one after the other.
func (s *session) commitProgress() {
	tasks, restarts, list := s.collectProgress()
	for from := 0; from < len(list); {
		to := from + progressPartLength(list[from:])
		if !s.commitProgressPart(tasks[from:to], restarts[from:to], list[from:to]) {
			return
		}
		from = to
	}
}

// progressPartLength returns how many of the first entries of list go into one command, at least one.
func progressPartLength(list []rollout.Progress) int {
	size := 0
	for i := range list {
		size += len(list[i].Text)
		if i > 0 && size > maxProgressBytes {
			return i
		}
	}
	return len(list)
}

// commitProgressPart commits one command with progress and reports success.
func (s *session) commitProgressPart(tasks []*task, restarts []int, list []rollout.Progress) bool {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, rollout.Command{Progress: list}); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("items", len(list)).Info("cannot commit progress; trying again later")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range tasks {
		// If the item has started again since, the committed text is not part of its current text.
		if t.restarts == restarts[i] {
			t.committedBytes = max(t.committedBytes, list[i].Offset+len(list[i].Text))
			t.completeCommitted = t.completeCommitted || list[i].Complete
		}
	}
	return true
}

// collectProgress returns the tasks with uncommitted text, the number of their restarts so far, and that text.
func (s *session) collectProgress() (tasks []*task, restarts []int, list []rollout.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.batchesByAge {
		for _, t := range b.tasks {
			if t.state == taskFinished || len(t.text) == t.committedBytes && t.textComplete == t.completeCommitted {
				continue
			}
			tasks, restarts = append(tasks, t), append(restarts, t.restarts)
			list = append(list, rollout.Progress{
				Batch: b.ID, Item: t.item, Offset: t.committedBytes, Text: slices.Clone(t.text[t.committedBytes:]), Events: t.events, Versions: t.versions, Complete: t.textComplete,
				Software: t.software,
			})
		}
	}
	return tasks, restarts, list
}

// resultLoop commits results, several at a time.
func (s *session) resultLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.results:
			s.commitResults(s.collectResults(first))
		}
	}
}

// collectResults waits for at most resultBatchDelay for more results that share the commit.
func (s *session) collectResults(first rollout.BatchResult) []rollout.BatchResult {
	list := []rollout.BatchResult{first}
	size := len(first.Result.Text)
	timer := time.NewTimer(resultBatchDelay)
	defer timer.Stop()
	for size < maxResultBytes {
		select {
		case r := <-s.results:
			list = append(list, r)
			size += len(r.Result.Text)
		case <-timer.C:
			return list
		}
	}
	return list
}

// commitResults repeats the proposal until it is committed or the leadership ends. This is safe, because a result that
// is already in the state keeps its position.
func (s *session) commitResults(list []rollout.BatchResult) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		_, err := s.node.propose(ctx, rollout.Command{Results: list})
		cancel()
		if err == nil {
			return
		}
		s.node.opts.Events.Log().WithError(err).WithField("results", len(list)).Warn("cannot commit results; trying again")
		sleep(s.ctx, resultRetryInterval)
	}
}
