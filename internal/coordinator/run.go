package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// avoidAfterFailure is how long an item avoids an engine that failed to run it; avoidAfterMove, one that it was
	// moved away from.
	avoidAfterFailure = 2 * time.Second
	avoidAfterMove    = 2 * time.Second
	// busyBackoff is how long an engine gets no items after it rejected one as busy. initialFailureBackoff applies
	// after a failed connection or a malformed response; it doubles with each consecutive failure up to
	// maxFailureBackoff.
	busyBackoff           = 60 * time.Millisecond
	initialFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff     = 1600 * time.Millisecond
	// replacedBackoff is how long a server gets no items after another server answered at its address.
	replacedBackoff = 1600 * time.Millisecond
	// maxBackoffDoublings prevents an overflow of the backoff before it is limited.
	maxBackoffDoublings = 8
	// maxTextBytes limits the text of an item, so that a server that streams without end does not exhaust the memory. A
	// page of results, of at most a megabyte, must hold it.
	maxTextBytes = 900 << 10
)

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
		s.answered(t)
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
		s.answered(t)
		t.failures++
		t.avoidUntil[v.ID] = now + avoidAfterFailure
		if t.failures >= max(route.MaxAttempts, 1) {
			s.finishItem(t, rollout.Result{Item: t.item})
		}
	case RequestUnprocessable:
		s.answered(t)
		s.finishItem(t, rollout.Result{Item: t.item})
	case EngineUnreachable, StreamBroken:
		if t.moving {
			return
		}
		t.avoidUntil[v.ID] = now + avoidAfterFailure
		s.doubtSoftware(e, v)
		if run.Kind == StreamBroken {
			s.recordCrash(t, v, run.ConnectionLost, now)
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
