package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// fakeScorers is an Exchanger with scorers in memory. Each answer has a signature of its own.
type fakeScorers struct {
	mu      sync.Mutex
	calls   []receivedCall
	hold    chan struct{}                 // if not nil, answers wait until it is closed
	answers map[string][]forward.Response // the next answers by call ID, before signed ones with status 200
	given   map[string][]string           // signatures of successful answers by call ID
	active  int
	maximum int // of active
}

type receivedCall struct {
	id, server, service string
	at                  time.Time
	newConnection       bool
}

func newFakeScorers() *fakeScorers {
	return &fakeScorers{answers: map[string][]forward.Response{}, given: map[string][]string{}}
}

func (f *fakeScorers) Exchange(ctx context.Context, v fleet.Server, r *forward.Request, _ forward.Attempt) (*forward.Response, bool, error) {
	f.mu.Lock()
	f.calls = append(f.calls, receivedCall{id: r.ID, server: v.ID, service: v.Service, at: time.Now(), newConnection: r.NewConnection})
	f.active++
	f.maximum = max(f.maximum, f.active)
	number, hold := len(f.calls), f.hold
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.active--
		f.mu.Unlock()
	}()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next := f.answers[r.ID]; len(next) > 0 {
		f.answers[r.ID] = next[1:]
		return &next[0], false, nil
	}
	signature := fmt.Sprintf("%s/%d", r.ID, number)
	f.given[r.ID] = append(f.given[r.ID], signature)
	return &forward.Response{Status: http.StatusOK, Signature: signature}, false, nil
}

func (f *fakeScorers) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeScorers) setHold(hold chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = hold
}

func callID(item string) string { return "call-" + item }

// addScorers gives each item of a batch a scorer call.
func addScorers(b *rollout.Batch) *rollout.Batch {
	for i := range b.Items {
		b.Items[i].Scorer = &rollout.ScorerCall{ID: callID(b.Items[i].ID), Host: testHost, Path: "/score/x", Body: []byte("body")}
	}
	return b
}

func scorerRoute(service string) routes.Route {
	return routes.Route{Name: "score", Host: testHost, Prefix: "/score/", Kind: routes.Idempotent, MaxAttempts: 2, Timeout: time.Second, ServiceWeights: []routes.ServiceWeight{{Service: service, Weight: 1}}}
}

// startScoringCluster starts nodes, engines and scorers, of which each runs slots requests at once.
func startScoringCluster(t *testing.T, slots int) *cluster {
	t.Helper()
	c := startCluster(t, 3)
	c.configure(1, scorerRoute(testScorerService))
	c.announceServers(2, 8)
	c.announceService(testScorerService, "x", 2, slots)
	return c
}

// TestItemsAreListedWithTheirScores guards against a result without a score, with the score of another item, or with
// the score of a call that was sent before the text was complete.
func TestItemsAreListedWithTheirScores(t *testing.T) {
	c := startScoringCluster(t, 8)
	b := c.submit(addScorers(newBatch("b", 24, 0)))
	page := c.waitForResults("b", len(b.Items))
	c.scorers.mu.Lock()
	defer c.scorers.mu.Unlock()
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for i, r := range page.Results {
		if !r.Completed || string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Errorf("item %s: completed %t, text %q", page.IDs[i], r.Completed, r.Text)
		}
		if given := c.scorers.given[callID(page.IDs[i])]; !strings.HasPrefix(r.Score, callID(page.IDs[i])+"/") || len(given) == 0 {
			t.Errorf("item %s: score %q, given %q", page.IDs[i], r.Score, given)
		}
	}
	for _, call := range c.scorers.calls {
		if last := c.engines.lastEventAt[strings.TrimPrefix(call.id, "call-")]; call.at.Before(last) {
			t.Errorf("call %s arrived %s before the last event of its text", call.id, last.Sub(call.at))
		}
	}
}

// TestScorerFailures guards against an item that is given up after a failure that says nothing about it, against a call
// that is repeated without end, and against an answer that is taken as a score though it is none.
func TestScorerFailures(t *testing.T) {
	failed := forward.Response{Status: http.StatusInternalServerError, Signature: "failed"}
	refused := forward.Response{Status: http.StatusServiceUnavailable, NotRun: true}
	unsigned := forward.Response{Status: http.StatusOK}
	notFound := forward.Response{Status: http.StatusNotFound, Signature: "not found"}
	unsignedFailure := forward.Response{Status: http.StatusInternalServerError}
	cases := []struct {
		name      string
		answers   []forward.Response
		completed bool
	}{
		{"fails once", []forward.Response{failed}, true},
		{"fails as often as allowed", []forward.Response{failed, failed}, false},
		{"refused many times", []forward.Response{refused, refused, refused, refused, refused, refused, refused, refused}, true},
		{"answers without a signature", []forward.Response{unsigned, unsigned, unsigned, unsigned}, true},
		{"signed answers that are no success", []forward.Response{notFound, notFound, notFound}, true},
		{"failures without a signature", []forward.Response{unsignedFailure, unsignedFailure, unsignedFailure}, true},
	}
	c := startScoringCluster(t, 8)
	c.scorers.mu.Lock()
	for i, tc := range cases {
		c.scorers.answers[callID(fmt.Sprintf("b-%d", i))] = tc.answers
	}
	c.scorers.mu.Unlock()
	b := c.submit(addScorers(newBatch("b", len(cases), 0)))
	page := c.waitForResults("b", len(b.Items))
	c.scorers.mu.Lock()
	defer c.scorers.mu.Unlock()
	for i, r := range page.Results {
		var number int
		if _, err := fmt.Sscanf(page.IDs[i], "b-%d", &number); err != nil {
			t.Fatal(err)
		}
		if tc := cases[number]; r.Completed != tc.completed || (r.Score != "") != tc.completed {
			t.Errorf("%s: completed %t with score %q, want completed %t", tc.name, r.Completed, r.Score, tc.completed)
		}
	}
	// The servers run this call without a signed answer. Its hedged attempts run on different servers, so a server gets it
	// again only when it is repeated.
	received := map[string]bool{} // by server
	for _, call := range c.scorers.calls {
		if call.id != callID("b-3") {
			continue
		}
		if received[call.server] && !call.newConnection {
			t.Errorf("call %s was repeated at %s on a connection that may hold an earlier answer to it", call.id, call.server)
		}
		received[call.server] = true
	}
}

// TestScorerCallSurvivesLeaderLoss guards against an item that runs again, or is listed twice or without its score,
// because the leader is lost between the end of the text and its score.
func TestScorerCallSurvivesLeaderLoss(t *testing.T) {
	c := startScoringCluster(t, 8)
	release := make(chan struct{})
	c.scorers.setHold(release)
	b := c.submit(addScorers(newBatch("b", 6, 0)))
	c.waitUntil("the record that all texts are complete", func() bool {
		open := c.nodes[c.leader()].state.OpenBatches()
		complete := 0
		for i := range open {
			for _, p := range open[i].Partials {
				if p.Complete {
					complete++
				}
			}
		}
		return complete == len(b.Items)
	})
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	c.scorers.mu.Lock()
	for id := range c.scorers.given {
		t.Errorf("call %s was answered while all calls are held", id)
	}
	c.scorers.mu.Unlock()
	close(release)
	page := c.waitForResults("b", len(b.Items))
	if len(page.Results) != len(b.Items) {
		t.Fatalf("got %d results, want %d", len(page.Results), len(b.Items))
	}
	for i, r := range page.Results {
		if !r.Completed || !strings.HasPrefix(r.Score, callID(page.IDs[i])+"/") || string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Errorf("item %s: completed %t, score %q, text %q", page.IDs[i], r.Completed, r.Score, r.Text)
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if n := c.engines.started[item.ID]; n != 1 {
			t.Errorf("item %s ran %d times", item.ID, n)
		}
	}
}

// TestEndedBatchSendsNoScorerCall guards against scorer calls that are sent, or go on, after the end of their batch was
// acknowledged.
func TestEndedBatchSendsNoScorerCall(t *testing.T) {
	c := startScoringCluster(t, 2) // one call at a time on each of the two scorers
	c.scorers.setHold(make(chan struct{}))
	c.submit(addScorers(newBatch("b", 8, 0)))
	c.waitUntil("the first scorer calls", func() bool { return c.scorers.callCount() >= 2 })
	c.callLeader("the end of the batch", func(ctx context.Context, n *Node) error {
		_, err := callLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: "b"})
		return err
	})
	ended := time.Now()
	c.waitUntil("the end of the calls in progress", func() bool {
		c.scorers.mu.Lock()
		defer c.scorers.mu.Unlock()
		return c.scorers.active == 0
	})
	if took := time.Since(ended); took > scorerCallTimeout/2 {
		t.Errorf("calls went on for %s after the end of their batch", took)
	}
	sent := c.scorers.callCount()
	c.scorers.setHold(nil)
	c.submit(addScorers(newBatch("later", 4, 0)))
	c.waitForResults("later", 4)
	c.scorers.mu.Lock()
	defer c.scorers.mu.Unlock()
	for _, call := range c.scorers.calls[sent:] {
		if strings.HasPrefix(call.id, callID("b-")) {
			t.Errorf("call %s was sent after the end of its batch", call.id)
		}
	}
}

// TestScorerCallFollowsItsRoute guards against items that are lost because the route of their calls is missing for a
// while, and against calls to a service to which the route no longer leads.
func TestScorerCallFollowsItsRoute(t *testing.T) {
	c := startScoringCluster(t, 8)
	c.announceService(testOtherScorerService, "y", 1, 8)
	c.configure(2) // without the route of the calls
	b := c.submit(addScorers(newBatch("b", 4, 0)))
	c.waitUntil("the end of all runs", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) == len(b.Items) && c.engines.activeStreams == 0
	})
	if n := c.scorers.callCount(); n != 0 {
		t.Errorf("%d calls were sent without a route", n)
	}
	c.configure(3, scorerRoute(testOtherScorerService))
	page := c.waitForResults("b", len(b.Items))
	for i, r := range page.Results {
		if !r.Completed || r.Score == "" {
			t.Errorf("item %s: completed %t, score %q", page.IDs[i], r.Completed, r.Score)
		}
	}
	c.scorers.mu.Lock()
	defer c.scorers.mu.Unlock()
	for _, call := range c.scorers.calls {
		if call.service != testOtherScorerService {
			t.Errorf("call %s was sent to service %s", call.id, call.service)
		}
	}
}

// TestScorerCallsLeaveSlotsToCallers guards against scorer calls that take all slots of a service, so that callers'
// requests wait behind them.
func TestScorerCallsLeaveSlotsToCallers(t *testing.T) {
	const slots = 4
	c := startScoringCluster(t, slots)
	release := make(chan struct{})
	c.scorers.setHold(release)
	b := c.submit(addScorers(newBatch("b", 24, 0)))
	c.waitUntil("the end of all runs", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) == len(b.Items) && c.engines.activeStreams == 0
	})
	s, err := c.nodes[c.leader()].currentSession()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	running := s.runningCalls[testScorerService]
	s.mu.Unlock()
	close(release)
	if want := 2 * slots / 2; running > want {
		t.Errorf("%d calls run at once on two servers with %d slots each, want at most %d", running, slots, want)
	}
	c.waitForResults("b", len(b.Items))
}

// TestCarriedOverTextIsScoredAgain guards against a score that a kept text has from an ended batch: the new batch must
// ask for a score of its own, with its own call.
func TestCarriedOverTextIsScoredAgain(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	first := addScorers(newBatch("b", 2, 0))
	first.Items[0].Group, first.Items[1].Group = "g", "g"
	s.addBatch(rollout.OpenBatch{Batch: *first, HasResult: []bool{false, false}})
	task := s.batches["b"].tasks[0]
	task.text, task.events, task.versions = []byte("text"), 1, []uint64{1}
	s.mu.Lock()
	s.completeText(task)
	s.finishCall(task, &routes.Route{}, &forward.Response{Status: http.StatusOK, Signature: "first"}, nil, 0)
	s.mu.Unlock()
	s.dropBatch("b")
	second := addScorers(newBatch("c", 2, 0))
	second.Items[0].ID, second.Items[0].Group, second.Items[1].Group = first.Items[0].ID, "g", "g"
	second.Items[0].Scorer.ID = "second-call"
	s.addBatch(rollout.OpenBatch{Batch: *second, HasResult: []bool{false, false}})
	carried := s.batches["c"].tasks[0]
	if string(carried.text) != "text" || carried.state != taskScoring || !s.unscored[carried] {
		t.Fatalf("the kept text %q is in state %d, want %d: waiting for a score", carried.text, carried.state, taskScoring)
	}
}

// TestUnsignedResponseIsNoScore guards against a score from a response that its server did not sign.
func TestUnsignedResponseIsNoScore(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	s.addBatch(rollout.OpenBatch{Batch: *addScorers(newBatch("b", 1, 0)), HasResult: []bool{false}})
	task := s.batches["b"].tasks[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeText(task)
	delete(s.unscored, task) // its call is in progress
	s.finishCall(task, &routes.Route{}, &forward.Response{Status: http.StatusOK}, nil, 0)
	if task.state != taskScoring || !s.unscored[task] || len(s.results) != 0 {
		t.Fatalf("state %d, %d results, want %d, waiting for another call", task.state, len(s.results), taskScoring)
	}
}

// TestRestartedTextNeedsNewScore guards against a text that counts as complete, and keeps its score, after it was
// discarded and runs again.
func TestRestartedTextNeedsNewScore(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	s.addBatch(rollout.OpenBatch{Batch: *addScorers(newBatch("b", 1, 0)), HasResult: []bool{false}, Partials: map[int]rollout.Partial{0: {Text: []byte("t"), Events: 1, Complete: true}}})
	task := s.batches["b"].tasks[0]
	if task.state != taskScoring {
		t.Fatalf("a text that is recorded as complete is in state %d, want %d", task.state, taskScoring)
	}
	task.discardText()
	if task.textComplete || task.completeCommitted {
		t.Fatal("a discarded text counts as complete")
	}
}
