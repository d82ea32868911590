package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// scheduleInterval is the time between looks at running items.
	scheduleInterval = 100 * time.Millisecond
	// firstEventStall and eventStall end a run without progress. Engines answer the first event in some tens of
	// milliseconds and later ones every 50 ms; a slowed one takes ten times as long.
	firstEventStall = 1500 * time.Millisecond
	eventStall      = 1200 * time.Millisecond
	// moveGain is the least time that moving an item to a faster engine must be expected to save.
	moveGain = 500 * time.Millisecond
	// moveAfter is how long a run must have lasted before it may move.
	moveAfter = 400 * time.Millisecond
	// expectedEvents is how many more events a run of unknown length is expected to have.
	expectedEvents = 8
	// avoidFor keeps an item away from an engine that it failed on.
	avoidFor = 2 * time.Second
	// hinderedFor keeps a long item away from an engine that is slower for a moment.
	hinderedFor = 600 * time.Millisecond
	// busyPause keeps work away from an engine that just refused it; failurePause doubles with each failure in a
	// row up to longestPause.
	busyPause    = 60 * time.Millisecond
	failurePause = 200 * time.Millisecond
	longestPause = 1600 * time.Millisecond
	// paceWeight is the weight of a new measurement in the average time between events.
	paceWeight = 0.12
	// steadyStep is how much an event moves the steady pace: it halves or doubles within 35 events, two seconds of one
	// run, and wavers by a few percent.
	steadyStep = 0.02
	// paceMemory is how long an idle engine counts as slow. Slowdowns last 5 to 8 seconds.
	paceMemory = 1500 * time.Millisecond
	// longEvents is how many events mark a long item: twice the mean of the sheets' items.
	longEvents = 30
	// longGain is the least time that moving a long item to an engine that is faster for good must save. A move costs
	// a connection and reading the prompt and the text so far, some 60 ms.
	longGain = 250 * time.Millisecond
	// shortPatience is how long the short items of a batch leave long ones room: a quarter of the time that a step has.
	shortPatience = 2 * time.Second
	// progressInterval is how much of its running items' work a lost leader loses.
	progressInterval = time.Second
	// progressBytes bounds one command with progress; the next one waits for its commit. Heartbeats wait behind a
	// command on a link or a disk: two megabytes a second at once outlast the lease where a disk is 30 times slower.
	progressBytes = 64 << 10
	// recordLinger lets results share a commit.
	recordLinger = 4 * time.Millisecond
	// recordBytes bounds one command with results.
	recordBytes = 256 << 10
)

func (s *session) scheduleLoop() {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
			s.inspect()
		}
		s.pump()
	}
}

// pump starts waiting items while engines have room.
func (s *session) pump() {
	if s.stillLeads() != nil {
		return // running items go on while the lease is out; no new ones start
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.node.state.Configuration()
	if c == nil {
		return
	}
	now := boottime.Now()
	typical := s.typicalPace(now)
	servers := map[string][]fleet.Server{}
	type want struct {
		batch, service string
		demand         scheduling.ItemTraits
	}
	full := map[want]bool{} // without a free engine
	for _, w := range s.waitingItems() {
		t := s.order[w.BatchIndex].tasks[w.ItemIndex]
		route := c.Match(t.batch.Host, t.batch.Path)
		if route == nil || route.Kind != routes.Rollout {
			continue
		}
		service := route.PickService(draw(t.batch.Items[t.item].ID))
		key := want{t.batch.ID, service, scheduling.ItemTraits{Long: t.long(), Urgent: now-t.batch.addedAt > shortPatience}}
		if full[key] {
			continue
		}
		if servers[service] == nil {
			servers[service] = s.node.registry.List(service, now)
		}
		engines, of := s.candidates(t, servers[service], now)
		i := typical.ChooseEngine(engines, key.demand)
		if i < 0 {
			full[key] = true
			continue
		}
		s.begin(t, of[i], route, now)
	}
}

// long reports whether an item is expected to run much longer than the others of its batch, by the caller's hint or
// by what it has produced.
func (t *task) long() bool {
	return float64(t.batch.Items[t.item].LengthHint) > scheduling.LongItemRatio*t.batch.meanLength || t.events >= longEvents
}

// draw returns a number in [0, 1) that depends on id only, so that an item keeps its service.
func draw(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// waitingItems returns the items that may start now, in the order in which they should.
func (s *session) waitingItems() []scheduling.WaitingItem {
	var list []scheduling.WaitingItem
	for i, b := range s.order {
		for _, t := range b.tasks {
			if t.state == waiting {
				list = append(list, scheduling.WaitingItem{
					BatchIndex: i, PartlyRun: t.events > 0, CarriedOver: t.group.carried, GroupIndex: t.group.index,
					ExpectedTokens: b.Items[t.item].LengthHint, ItemIndex: t.item,
				})
			}
		}
	}
	scheduling.SortWaiting(list)
	return list
}

// begin sends an item to an engine. The caller holds the mutex.
func (s *session) begin(t *task, v *fleet.Server, route *routes.Route, now time.Duration) {
	ctx, cancel := context.WithCancel(s.ctx)
	item := &t.batch.Items[t.item]
	t.state, t.engine, t.cancel, t.startedAt, t.eventAt, t.moved = running, v.ID, cancel, now, 0, false
	e := s.engineOf(v)
	e.running++
	s.running++
	if t.startedLong = t.long(); t.startedLong {
		e.long++
	}
	s.homes[t.homeKey()] = v.ID
	name := events.ItemPlaced
	if t.events > 0 {
		name = events.ItemResumed
	}
	s.record(events.Event{
		Name: name, Request: item.ID, Server: api.ServerID(v.ID),
		Detail: fmt.Sprintf("batch %s, after event %d", t.batch.ID, t.events),
	})
	g := GenerationRequest{
		ID: item.ID, Host: t.batch.Host, Path: item.Path, Headers: item.Headers, Body: item.Body,
		AfterEvent: t.events, TimeLeft: time.Until(t.batch.deadline),
	}
	go s.run(ctx, t, *v, g, route)
}

// errLabel ends a run whose weights the batch does not allow.
type errLabel struct{ version uint64 }

// Error names the version.
func (e errLabel) Error() string {
	return fmt.Sprintf("weights of version %d are not allowed", e.version)
}

// run takes one item through one engine.
func (s *session) run(ctx context.Context, t *task, v fleet.Server, g GenerationRequest, route *routes.Route) {
	defer t.cancel()
	err := s.generate(ctx, t, v, g, route)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engineOf(&v)
	e.running = max(e.running-1, 0)
	s.running--
	if t.startedLong {
		e.long = max(e.long-1, 0)
	}
	if t.state != running || err != nil && s.ctx.Err() != nil {
		return // the batch or this leadership has ended
	}
	if err == nil {
		e.failures = 0
		s.finish(t, rollout.Result{Item: t.item, Completed: true, Text: t.text, Versions: t.versions})
		return
	}
	t.state = waiting
	s.afterFailure(t, &v, e, err, route)
	s.poke()
}

// generate reads a stream into the task.
func (s *session) generate(ctx context.Context, t *task, v fleet.Server, g GenerationRequest, route *routes.Route) error {
	stream, err := s.node.opts.EngineClient.Start(ctx, v, g)
	if err != nil {
		return err
	}
	defer stream.Close()
	if first := stream.Version(); first != 0 && first < t.batch.MinVersion {
		return errLabel{first}
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
			return errLabel{ev.Version}
		}
		if route.SingleVersion && len(t.versions) > 0 && t.versions[0] != ev.Version {
			s.mu.Lock()
			t.reset()
			s.mu.Unlock()
			return errLabel{ev.Version}
		}
		if ev.Number != t.events+1 {
			return &RunError{Kind: StreamBroken, Err: errs.New(errs.BackendFailed, "run the item again", "event %d follows event %d", ev.Number, t.events)}
		}
		last = s.take(t, v, ev, last)
	}
}

// take adds an event to the text and measures the engine's pace.
func (s *session) take(t *task, v fleet.Server, ev StreamEvent, last time.Duration) time.Duration {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != running {
		return now // the batch has ended; its text may be in use elsewhere
	}
	if t.events > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, ev.Data...)
	if i, found := slices.BinarySearch(t.versions, ev.Version); !found {
		t.versions = slices.Insert(slices.Clone(t.versions), i, ev.Version)
	}
	t.events++
	t.eventAt = now
	e := s.engineOf(&v)
	e.failures = 0
	e.versions[t.batch.Model] = ev.Version
	s.stalls.heard(now, s.running, time.Duration(e.pace*float64(time.Millisecond)))
	if last > 0 && !s.stalls.since(last) {
		gap := float64((now - last).Microseconds()) / 1000
		if t.long() && !t.moved && scheduling.IsTransientSlowdown(gap, e.steady, e.running, max(v.Slots, 1)) {
			s.leaveHindered(t, gap, now)
		}
		e.measure(gap, max(v.Slots, 1), now)
	}
	return now
}

// leaveHindered moves a long item away from an engine that is slower for a moment, if another one has room. The caller
// holds the mutex.
func (s *session) leaveHindered(t *task, gap float64, now time.Duration) {
	if now-t.startedAt < moveAfter || s.ordinaryRoom(t.batch, s.typicalPace(now), now) == 0 {
		return
	}
	s.move(t, fmt.Sprintf("long, %.0f ms between two events", gap), now+hinderedFor)
}

// move ends a run so that the item goes on at another engine. The caller holds the mutex.
func (s *session) move(t *task, reason string, avoidUntil time.Duration) {
	t.moved = true
	t.avoid[t.engine] = avoidUntil
	s.record(events.Event{Name: events.ItemMoved, Request: t.batch.Items[t.item].ID, Server: api.ServerID(t.engine), Detail: reason})
	t.cancel()
}

// measure takes the time between two events of a run, in milliseconds. The steady pace follows the median, which the
// short slowdowns of an engine do not move.
func (e *engine) measure(gap float64, slots int, now time.Duration) {
	alone := gap / scheduling.LoadSlowdown(e.running, slots)
	if e.pace == 0 {
		e.pace = gap
	}
	if e.steady == 0 {
		e.steady = alone
	}
	e.pace += paceWeight * (gap - e.pace)
	e.paceAt = now
	if alone > e.steady {
		e.steady *= 1 + steadyStep
	} else {
		e.steady *= 1 - steadyStep
	}
}

// recentPace returns the pace for the choice of an engine. One that was slow and has run nothing for a while may be
// fast again: it counts as unknown until one item has tried it.
func (e *engine) recentPace(now time.Duration) float64 {
	if e.running == 0 && now-e.paceAt > paceMemory {
		return 0
	}
	return e.pace
}

// afterFailure decides when and where the item goes on. The caller holds the mutex.
func (s *session) afterFailure(t *task, v *fleet.Server, e *engine, err error, route *routes.Route) {
	now := boottime.Now()
	item := t.batch.Items[t.item].ID
	var label errLabel
	if errors.As(err, &label) {
		e.versions[t.batch.Model] = label.version
		s.record(events.Event{Name: events.LabelRefused, Request: item, Server: serverID(*v), Detail: fmt.Sprintf("%v, at least %d", err, t.batch.MinVersion)})
		return
	}
	var run *RunError
	if !errors.As(err, &run) {
		run = &RunError{Kind: StreamBroken, Err: err}
	}
	if !t.moved {
		s.record(events.Event{Name: events.ItemRefused, Request: item, Server: serverID(*v), Detail: run.Error()})
	}
	switch run.Kind {
	case EngineBusy:
		e.blocked = now + busyPause
	case ServerReplaced:
		e.blocked = now + longestPause
	case GenerationFailed:
		t.failures++
		t.avoid[v.ID] = now + avoidFor
		if t.failures >= max(route.MaxAttempts, 1) {
			s.finish(t, rollout.Result{Item: t.item})
		}
	case RequestUnprocessable:
		s.finish(t, rollout.Result{Item: t.item})
	case EngineUnreachable, StreamBroken:
		if t.moved {
			return
		}
		t.avoid[v.ID] = now + avoidFor
		e.failures++
		pause := min(failurePause<<min(e.failures-1, 8), longestPause)
		e.blocked = now + pause
		s.record(events.Event{Name: events.ServerBlocked, Server: serverID(*v), Detail: fmt.Sprintf("%d failures in a row, for %s", e.failures, pause)})
	}
}

// finish lists the result of an item. The caller holds the mutex.
func (s *session) finish(t *task, r rollout.Result) {
	t.state, t.completed = finished, r.Completed
	t.group.missing--
	s.record(events.Event{
		Name: events.ItemListed, Request: t.batch.Items[t.item].ID, Took: time.Since(time.UnixMilli(t.batch.Submitted)),
		Detail: fmt.Sprintf("batch %s, completed %t, %d events, versions %v, group misses %d", t.batch.ID, r.Completed, t.events, r.Versions, t.group.missing),
	})
	if r.Completed {
		r.Offset, r.Text = t.committed, r.Text[t.committed:]
	}
	select {
	case s.records <- rollout.BatchResult{Batch: t.batch.ID, Result: r}:
	default:
		// The queue holds more results than all engines produce in a second; without room the item runs again.
		t.state, t.completed = waiting, false
		t.group.missing++
	}
}

// inspect ends runs that stall or that an engine much slower than the others holds, and gives up items whose time
// has passed.
func (s *session) inspect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, clock := boottime.Now(), time.Now()
	typical := s.typicalPace(now)
	room := map[string]int{} // free slots of ordinary engines by model
	for _, b := range s.order {
		if _, known := room[b.Model]; !known {
			room[b.Model] = s.ordinaryRoom(b, typical, now)
		}
		late := clock.After(b.deadline)
		for _, t := range b.tasks {
			switch {
			case late && t.state == waiting:
				s.finish(t, rollout.Result{Item: t.item})
			case late && t.state == running:
				t.cancel()
			case t.state == running && !t.moved:
				s.inspectRun(t, now, typical, room)
			}
		}
	}
}

func (s *session) inspectRun(t *task, now time.Duration, typical scheduling.MedianIntervals, room map[string]int) {
	e := s.engines[t.engine]
	if e == nil {
		return
	}
	quiet, limit := now-t.startedAt, firstEventStall
	if t.eventAt > 0 {
		quiet, limit = now-t.eventAt, eventStall
	}
	reason := ""
	switch {
	case quiet > limit:
		reason = fmt.Sprintf("no event for %s", quiet.Round(time.Millisecond))
		e.blocked = now + failurePause
	case now-t.startedAt > moveAfter && room[t.batch.Model] > 0:
		if reason = e.leaveReason(t.events, typical); reason != "" {
			room[t.batch.Model]--
		}
	}
	if reason == "" {
		return
	}
	s.move(t, reason, now+avoidFor)
}

// leaveReason tells why an item with the given number of events should go on at an ordinary engine, or nothing if it
// may stay. How much is left of an item is unknown; one that is long already has about half as much again to go.
func (e *engine) leaveReason(done int, typical scheduling.MedianIntervals) string {
	left := float64(max(expectedEvents, done/2))
	saved := func(here, there float64) time.Duration {
		return time.Duration(left * (here - there) * float64(time.Millisecond))
	}
	switch {
	case typical.Recent > 0 && e.pace > scheduling.RecentSlowdownToMove*typical.Recent && saved(e.pace, typical.Recent) > moveGain:
		return fmt.Sprintf("%.0f ms between events against %.0f ms elsewhere", e.pace, typical.Recent)
	case typical.Baseline > 0 && e.steady > scheduling.BaselineSlowdownToMove*typical.Baseline && done >= longEvents && saved(e.steady, typical.Baseline) > longGain:
		return fmt.Sprintf("long, %.0f ms between events of an idle engine against %.0f ms elsewhere", e.steady, typical.Baseline)
	default:
		return ""
	}
}

// ordinaryRoom counts the free slots of engines of ordinary pace that have the weights for a batch. Items that move
// beyond it would come back to the engine that they left.
func (s *session) ordinaryRoom(b *batch, typical scheduling.MedianIntervals, now time.Duration) int {
	free := 0
	for id, e := range s.engines {
		v, ok := s.node.registry.Get(id)
		if !ok || v.Leaving || e.blocked > now || e.loading != "" && e.loading == b.Model ||
			e.recentPace(now) > scheduling.RecentSlowdownToMove*typical.Recent || e.steady > scheduling.BaselineSlowdownToMove*typical.Baseline {
			continue
		}
		if e.versions[b.Model] >= b.MinVersion {
			free += max(v.Slots-e.running, 0)
		}
	}
	return free
}

// typicalPace returns the medians over the engines that are known.
func (s *session) typicalPace(now time.Duration) scheduling.MedianIntervals {
	list := make([]scheduling.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		list = append(list, scheduling.Engine{RecentInterval: e.recentPace(now), BaselineInterval: e.steady})
	}
	return scheduling.ComputeMedianIntervals(list)
}

// progressLoop commits the texts of running items from time to time, so that the next leader goes on from there. Each
// byte is committed once: the result of an item holds only what no progress held.
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

// commitProgress commits the texts in pieces, one after the other.
func (s *session) commitProgress() {
	tasks, restarts, list := s.gatherProgress()
	for from := 0; from < len(list); {
		to := from + partLength(list[from:])
		if !s.commitPart(tasks[from:to], restarts[from:to], list[from:to]) {
			return
		}
		from = to
	}
}

// partLength returns how many of the first entries of list share a command: at least one.
func partLength(list []rollout.Progress) int {
	size := 0
	for i := range list {
		size += len(list[i].Text)
		if i > 0 && size > progressBytes {
			return i
		}
	}
	return len(list)
}

// commitPart commits one piece of progress and reports whether it is committed.
func (s *session) commitPart(tasks []*task, restarts []int, list []rollout.Progress) bool {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, rollout.Command{Progress: list}); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("items", len(list)).Info("progress is committed later")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range tasks {
		// The committed text is no part of the text of an item that has started again since.
		if t.restarts == restarts[i] {
			t.committed = max(t.committed, list[i].Offset+len(list[i].Text))
		}
	}
	return true
}

// gatherProgress returns the tasks with text that is not committed, and that text.
func (s *session) gatherProgress() (tasks []*task, restarts []int, list []rollout.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.order {
		for _, t := range b.tasks {
			if t.state == finished || len(t.text) == t.committed {
				continue
			}
			tasks, restarts = append(tasks, t), append(restarts, t.restarts)
			list = append(list, rollout.Progress{
				Batch: b.ID, Item: t.item, Offset: t.committed, Text: slices.Clone(t.text[t.committed:]), Events: t.events, Versions: t.versions,
			})
		}
	}
	return tasks, restarts, list
}

// recordLoop commits results, several at a time.
func (s *session) recordLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.records:
			s.commit(s.gather(first))
		}
	}
}

// gather waits a little for more results that share the commit.
func (s *session) gather(first rollout.BatchResult) []rollout.BatchResult {
	list := []rollout.BatchResult{first}
	size := len(first.Result.Text)
	timer := time.NewTimer(recordLinger)
	defer timer.Stop()
	for size < recordBytes {
		select {
		case r := <-s.records:
			list = append(list, r)
			size += len(r.Result.Text)
		case <-timer.C:
			return list
		}
	}
	return list
}

// commit repeats the proposal until it is committed or the leadership ends: a result that is listed already keeps
// its position.
func (s *session) commit(list []rollout.BatchResult) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		_, err := s.node.propose(ctx, rollout.Command{Results: list})
		cancel()
		if err == nil {
			return
		}
		s.node.opts.Events.Log().WithError(err).WithField("results", len(list)).Warn("results are not committed yet")
		sleep(s.ctx, heartbeatInterval)
	}
}
