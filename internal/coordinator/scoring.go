package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// scorerCallTimeout limits one scorer call with its hedged attempts. A call takes 30 ms; a slow scorer takes ten
	// times as long.
	scorerCallTimeout = time.Second
	// defaultScorerFailures is the number of failures reported by scorers after which an item is given up if no route
	// sets a number.
	defaultScorerFailures = 2
)

// completeText ends the generation of an item: its result is committed now or, if it needs a score, with its score. The
// caller holds the mutex.
func (s *session) completeText(t *task) {
	t.textComplete = true
	if t.batch.Items[t.item].Scorer != nil {
		s.waitForScore(t)
		return
	}
	s.finishItem(t, rollout.Result{Item: t.item, Completed: true, Text: t.text, Versions: t.versions})
}

// waitForScore queues a complete text for its scorer call. The caller holds the mutex.
func (s *session) waitForScore(t *task) {
	t.state = taskScoring
	s.unscored[t] = true
	s.wakeScorer()
}

// scoreLoop sends the scorer calls until the leadership ends.
func (s *session) scoreLoop() {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.scorerWake:
		case <-ticker.C:
		}
		if s.checkLeadership() == nil {
			s.startCalls()
		}
	}
}

// startCalls starts as many scorer calls as each service may run at once, the most urgent first.
func (s *session) startCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.node.state.Configuration()
	if c == nil || len(s.unscored) == 0 {
		return
	}
	now := time.Now()
	limits := map[string]int{} // by service
	calls, tasks := s.waitingCalls(now)
	for _, i := range scheduling.SortCalls(calls) {
		t := tasks[i]
		call := t.batch.Items[t.item].Scorer
		route := c.Match(call.Host, call.Path)
		if route == nil {
			s.recordMissingRoute(t, c.Version)
			continue // the route may come back until the item is given up
		}
		service := route.PickService(unitHash(call.ID))
		if _, known := limits[service]; !known {
			limits[service] = s.callLimit(service)
		}
		if s.runningCalls[service] < limits[service] {
			s.startCall(t, route, service, c.Version)
		}
	}
}

// recordMissingRoute logs, once for each text, that no route leads to its scorer. The caller holds the mutex.
func (s *session) recordMissingRoute(t *task, configurationVersion uint64) {
	if t.missingRouteLogged {
		return
	}
	t.missingRouteLogged = true
	call := t.batch.Items[t.item].Scorer
	s.record(events.Event{
		Name: events.ScoreFailed, Request: t.batch.Items[t.item].ID,
		Detail: fmt.Sprintf("batch %s, call %s: configuration %d has no route for %s%s; waiting for one", t.batch.ID, call.ID, configurationVersion, call.Host, call.Path),
	})
}

// waitingCalls returns the texts whose scorer call may be sent now, and their tasks in the same order. The caller holds
// the mutex.
func (s *session) waitingCalls(now time.Time) ([]scheduling.WaitingCall, []*task) {
	age := make(map[*batch]int, len(s.batchesByAge))
	for i, b := range s.batchesByAge {
		age[b] = i
	}
	var calls []scheduling.WaitingCall
	var tasks []*task
	for t := range s.unscored {
		if now.Before(t.callAfter) {
			continue
		}
		calls = append(calls, scheduling.WaitingCall{
			BatchIndex: age[t.batch], CarriedOver: t.group.carriedOver, Unfinished: t.group.unfinished, GroupIndex: t.group.index, ItemIndex: t.item,
		})
		tasks = append(tasks, t)
	}
	return calls, tasks
}

// callLimit returns how many scorer calls a service may run at once.
func (s *session) callLimit(service string) int {
	var slots []int
	for _, v := range s.node.registry.List(service, boottime.Now()) {
		if !v.Leaving && !v.Silent {
			slots = append(slots, v.Slots)
		}
	}
	return scheduling.CallLimit(slots)
}

// startCall sends the scorer call of a text. The caller holds the mutex.
func (s *session) startCall(t *task, route *routes.Route, service string, configurationVersion uint64) {
	item := &t.batch.Items[t.item]
	ctx, cancel := context.WithCancel(s.ctx)
	t.cancel = cancel
	delete(s.unscored, t)
	s.runningCalls[service]++
	t.calls++
	s.record(events.Event{Name: events.ScoreRequested, Request: item.ID, Detail: fmt.Sprintf("batch %s, call %s to service %s, number %d", t.batch.ID, item.Scorer.ID, service, t.calls)})
	deadline := time.Now().Add(scorerCallTimeout)
	if t.batch.giveUpAt.Before(deadline) {
		deadline = t.batch.giveUpAt
	}
	chosen := *route
	chosen.ServiceWeights = []routes.ServiceWeight{{Service: service, Weight: 1}}
	request := &forward.Request{
		ID: item.Scorer.ID, Method: http.MethodPost, URI: item.Scorer.Path, Path: item.Scorer.Path, Host: item.Scorer.Host, Body: item.Scorer.Body,
		Deadline: deadline, Repeatable: true, NewConnection: t.calls > 1, ConfigurationVersion: configurationVersion,
	}
	go func() {
		defer cancel()
		sent := time.Now()
		response, err := s.node.forwarder.Forward(ctx, request, &chosen)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runningCalls[service]--
		s.wakeScorer()
		if t.state != taskScoring || err != nil && s.ctx.Err() != nil {
			return // the batch or the leadership has ended
		}
		s.finishCall(t, &chosen, response, err, time.Since(sent))
	}()
}

// finishCall commits the result of a scored text, or decides whether its call is sent again. The caller holds the
// mutex.
func (s *session) finishCall(t *task, route *routes.Route, response *forward.Response, err error, took time.Duration) {
	item := &t.batch.Items[t.item]
	if err == nil && response.Signature != "" && response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices {
		s.record(events.Event{Name: events.ScoreReceived, Request: item.ID, Took: took, Detail: fmt.Sprintf("batch %s, call %s, number %d", t.batch.ID, item.Scorer.ID, t.calls)})
		s.finishItem(t, rollout.Result{Item: t.item, Completed: true, Text: t.text, Versions: t.versions, Score: response.Signature})
		return
	}
	reason := "no response"
	if err != nil {
		reason = err.Error()
	} else {
		reason = fmt.Sprintf("status %d", response.Status)
		t.callFailures += response.EarlierFailures
		if response.Signature != "" && response.Status == http.StatusInternalServerError {
			t.callFailures++
		}
	}
	limit := s.scorerFailureLimit(t, route)
	s.record(events.Event{
		Name: events.ScoreFailed, Request: item.ID, Took: took,
		Detail: fmt.Sprintf("batch %s, call %s, number %d, %d of %d failures: %s", t.batch.ID, item.Scorer.ID, t.calls, t.callFailures, limit, reason),
	})
	if t.callFailures >= limit {
		s.finishItem(t, rollout.Result{Item: t.item})
		return
	}
	t.callBackoff = scheduling.NextCallBackoff(t.callBackoff)
	t.callAfter = time.Now().Add(t.callBackoff)
	s.waitForScore(t)
}

// scorerFailureLimit returns the number of failures reported by scorers after which an item is given up: the larger of
// the limits of its batch's route and of the call's route.
func (s *session) scorerFailureLimit(t *task, callRoute *routes.Route) int {
	limit := max(callRoute.MaxAttempts, 0)
	if c := s.node.state.Configuration(); c != nil {
		if r := c.Match(t.batch.Host, t.batch.Path); r != nil {
			limit = max(limit, r.MaxAttempts)
		}
	}
	if limit == 0 {
		return defaultScorerFailures
	}
	return limit
}
