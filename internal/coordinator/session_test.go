package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// newStandaloneSession returns a session of a node without a replica, which cannot commit anything.
func newStandaloneSession(t *testing.T, engines EngineClient) (*session, context.CancelFunc) {
	t.Helper()
	n := &Node{
		opts:  Options{Name: "vm", EngineClient: engines, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)},
		state: rollout.NewState(nil), registry: fleet.NewRegistry(time.Second), limits: ratelimit.NewTable(),
	}
	n.suspects = newSuspects(n)
	n.forwarder = forward.New(forward.Options{Registry: n.registry, Events: n.opts.Events})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return newSession(n, ctx, 1), cancel
}

func applyCommand(t *testing.T, s *session, c rollout.Command) {
	t.Helper()
	data, err := rollout.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	s.node.state.Apply(1, data)
}

// TestLostLeadershipDoesNotCountAsEngineFailure guards against an engine that is blocked because its run was cancelled
// with the end of the leadership.
func TestLostLeadershipDoesNotCountAsEngineFailure(t *testing.T) {
	engines := newFakeEngines()
	engines.eventInterval = time.Hour
	s, end := newStandaloneSession(t, engines)
	v := fleet.Server{ID: "s", Slots: 4, Incarnation: 1}
	b := &batch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}, groups: map[string]*group{}, giveUpAt: time.Now().Add(time.Hour)}
	task := &task{batch: b, group: &group{unfinished: 1}, avoidUntil: map[string]time.Duration{}}
	s.mu.Lock()
	s.startRun(task, &v, &routes.Route{}, boottime.Now())
	s.mu.Unlock()
	running := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.engineFor(&v).running
	}
	for running() != 1 {
		time.Sleep(time.Millisecond)
	}
	end()
	for deadline := time.Now().Add(testTimeout); running() != 0; {
		if time.Now().After(deadline) {
			t.Fatal("the run continues after the end of the leadership")
		}
		time.Sleep(time.Millisecond)
	}
	if e := s.engineFor(&v); e.failures != 0 || e.blockedUntil != 0 {
		t.Fatalf("the engine has %d failures and is blocked until %s, want none", e.failures, e.blockedUntil)
	}
}

// TestAddOpenBatchesSkipsBatchThatEndsConcurrently guards against work on a batch whose end is committed while a new
// leader loads the open batches. Whatever comes first, the session must not keep the batch.
func TestAddOpenBatchesSkipsBatchThatEndsConcurrently(t *testing.T) {
	for i := range 300 {
		s, _ := newStandaloneSession(t, nil)
		id := fmt.Sprintf("b%d", i)
		applyCommand(t, s, rollout.Command{Accept: &rollout.Batch{ID: id, Items: make([]rollout.Item, 50)}})
		var wg sync.WaitGroup
		wg.Go(s.addOpenBatches)
		wg.Go(func() {
			applyCommand(t, s, rollout.Command{EndBatch: id})
			s.onApplied(rollout.Command{EndBatch: id})
		})
		wg.Wait()
		if len(s.batches) != 0 || len(s.batchesByAge) != 0 {
			t.Fatalf("round %d: the session keeps the ended batch", i)
		}
	}
}

// TestBatchDeadlineToleratesClockSkew guards against items that are given up too early because the clock of the leader
// is ahead of the clock of the VM that accepted the batch.
func TestBatchDeadlineToleratesClockSkew(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	const clockSkew = 4 * time.Second
	submitted := time.Now().Add(-defaultItemLifetime - clockSkew)
	s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}, Submitted: submitted.UnixMilli()}, HasResult: []bool{false}})
	if late := time.Since(s.batches["b"].giveUpAt); late > 0 {
		t.Fatalf("the items are given up %s ago, though the clock is only %s ahead", late, clockSkew)
	}
}

// TestPendingCallsReturnNotLeaderAfterLostLeadership guards against an incomplete answer of a read or a follow request
// that waits while the leadership ends. The batch exists, so the caller must be told to ask the leader, whether or not
// the lease is held again by then.
func TestPendingCallsReturnNotLeaderAfterLostLeadership(t *testing.T) {
	s, end := newStandaloneSession(t, nil)
	applyCommand(t, s, rollout.Command{Accept: &rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}})
	results := make(chan error, 2)
	go func() {
		_, err := s.read(context.Background(), ReadBatchRequest{Batch: "b", MaxWait: time.Hour})
		results <- err
	}()
	go func() {
		_, err := s.follow(context.Background(), FollowRequest{Term: s.term, ServersRevision: s.node.registry.Revision(), ConfigurationVersion: skipConfiguration})
		results <- err
	}()
	end()
	for range 2 {
		if err := <-results; !errs.Is(err, errs.NotLeader) {
			t.Errorf("got %v, want an error of the kind %s", err, errs.NotLeader)
		}
	}
}

// TestProgressPartsStayWithinSizeLimit guards against large commands with progress, which delay heartbeats until the
// lease lapses.
func TestProgressPartsStayWithinSizeLimit(t *testing.T) {
	var list []rollout.Progress
	for range 400 {
		list = append(list, rollout.Progress{Text: make([]byte, 6000)})
	}
	list = append(list, rollout.Progress{Text: make([]byte, 3*maxProgressBytes)})
	remaining := list
	for len(remaining) > 0 {
		n := progressPartLength(remaining)
		size := 0
		for _, p := range remaining[:n] {
			size += len(p.Text)
		}
		if n == 0 || n > 1 && size > maxProgressBytes {
			t.Fatalf("a command with %d entries has %d bytes, want at most %d", n, size, maxProgressBytes)
		}
		remaining = remaining[n:]
	}
}

// endlessStream repeats events without end.
type endlessStream struct {
	number int
	data   []byte
}

func (s *endlessStream) Version() uint64 { return 1 }

func (s *endlessStream) Limit() ratelimit.Statement { return ratelimit.Statement{} }

func (s *endlessStream) Next() (StreamEvent, error) {
	s.number++
	return StreamEvent{Number: s.number, Data: s.data, Version: 1}, nil
}

func (s *endlessStream) Close() {}

// endlessEngines is an EngineClient whose engines stream without end.
type endlessEngines struct {
	fakeEngines
	data []byte
}

func (e *endlessEngines) Start(context.Context, fleet.Server, GenerationRequest) (Stream, error) {
	return &endlessStream{data: e.data}, nil
}

// TestEndlessStreamIsBroken guards against an engine that streams without end: its text must not grow beyond what the
// item can have, and must not become the item's result.
func TestEndlessStreamIsBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		item rollout.Item
		data []byte
	}{
		"more events than tokens": {rollout.Item{ID: "i", Tokens: 40}, []byte("x")},
		"more text than a page":   {rollout.Item{ID: "i"}, make([]byte, 10<<10)},
	} {
		s, _ := newStandaloneSession(t, &endlessEngines{data: tc.data})
		s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{tc.item}}, HasResult: []bool{false}})
		task := s.batches["b"].tasks[0]
		task.state = taskRunning
		err := s.readStream(s.ctx, task, fleet.Server{ID: "s", Slots: 4}, GenerationRequest{}, &routes.Route{}, "v1")
		var run *RunError
		if !errors.As(err, &run) || run.Kind != StreamBroken || len(task.text) != 0 || task.events != 0 {
			t.Errorf("%s: got %v with %d events and %d bytes of text left, want a broken stream without text", name, err, task.events, len(task.text))
		}
	}
}

// TestNewLeaderKeepsDivision guards against a change of the leader after which engines load models that they did not
// serve before, while the trainers wait: the division must follow from the versions that the engines have.
func TestNewLeaderKeepsDivision(t *testing.T) {
	service := &routes.Service{Name: testService, Models: []string{"x", "y", "z"}}
	versions := map[string]uint64{"x": 7, "y": 9, "z": 8}
	// The fleet has changed since the first division, so that the models do not follow the IDs of the engines.
	loaded := map[string]map[string]uint64{
		"s0": {"x": 1, "y": 9, "z": 2}, "s1": {"x": 6, "y": 1, "z": 1}, "s2": {"x": 3, "y": 8, "z": 7}, "s3": {"x": 1, "y": 2, "z": 8},
		"s4": {"x": 7, "y": 5, "z": 1}, "s5": {"x": 1, "y": 9, "z": 4}, "s6": {"x": 1, "y": 1, "z": 7}, "s7": {"x": 7, "y": 1, "z": 1},
	}
	want := map[string][]string{"s0": {"y"}, "s1": {"x"}, "s2": {"y", "z"}, "s3": {"z"}, "s4": {"x"}, "s5": {"y"}, "s6": {"z"}, "s7": {"x"}}
	s, _ := newStandaloneSession(t, nil)
	var servers []fleet.Server
	for id, models := range loaded {
		v := fleet.Server{ID: id, Service: testService, Incarnation: 1, Slots: 4}
		for name, version := range models {
			v.Models = append(v.Models, fleet.LoadedModel{Name: name, Version: version})
		}
		servers = append(servers, v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignModels(service, servers, versions)
	for i := range servers {
		if got := s.engineFor(&servers[i]).models; !slices.Equal(got, want[servers[i].ID]) {
			t.Errorf("engine %s serves %v under the new leader, want %v", servers[i].ID, got, want[servers[i].ID])
		}
	}
}

// TestDelayedLeaderDoesNotMoveItems guards against a leader that reads events late and moves long items away from sound
// engines, which costs it more runs and delays it further; a single engine that turns slow must still lose its items.
func TestDelayedLeaderDoesNotMoveItems(t *testing.T) {
	const engines, slots, normal, delayed = 40, 8, 40 * time.Millisecond, 200 * time.Millisecond
	s, _ := newStandaloneSession(t, nil)
	s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "long", LengthHint: 900}, {ID: "short", LengthHint: 10}, {ID: "short too", LengthHint: 10}}}, HasResult: make([]bool, 3)})
	var servers []fleet.Server
	for i := range engines {
		v := fleet.Server{ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: testService, Incarnation: 1, Slots: slots, Software: "v1"}
		s.node.registry.Announce(v, boottime.Now())
		servers = append(servers, v)
		s.engineFor(&v).baselineInterval = float64(normal.Milliseconds())
	}
	task := s.batches["b"].tasks[0]
	moved := false
	task.cancel = func() { moved = true }
	event := func(server int, interval time.Duration) {
		task.state, task.moving, task.engine = taskRunning, false, servers[server].ID
		now := boottime.Now()
		task.startedAt = now - time.Hour
		task.lastEventAt = now
		s.addEvent(task, servers[server], StreamEvent{Number: task.events + 1, Version: 1}, now-interval, "v1")
	}
	for i := range 50 * engines {
		event(i%engines, normal)
	}
	if event(0, delayed); !moved {
		t.Fatal("an item stays on an engine that has turned slow")
	}
	for i := range 20 * engines {
		event(i%engines, []time.Duration{normal, normal, normal, delayed}[i%4])
	}
	moved = false
	for i := range engines {
		event(i, delayed)
	}
	if moved {
		t.Fatal("items are moved although a quarter of all intervals is long")
	}
}

// TestFullResultQueueKeepsItems guards against an item that is lost, or that waits for a score although it needs none,
// because its result does not fit into the queue of results to commit.
func TestFullResultQueueKeepsItems(t *testing.T) {
	s, _ := newStandaloneSession(t, nil)
	s.results = make(chan rollout.BatchResult) // full
	b := newBatch("b", 2, 0)
	addScorers(b)
	b.Items[0].Scorer = nil
	s.addBatch(rollout.OpenBatch{Batch: *b, HasResult: make([]bool, 2)})
	s.mu.Lock()
	defer s.mu.Unlock()
	tasks := s.batches["b"].tasks
	s.completeText(tasks[0])
	if tasks[0].state != taskWaiting || s.unscored[tasks[0]] {
		t.Errorf("an item without a scorer is in state %d, waits for a score %t; want %d", tasks[0].state, s.unscored[tasks[0]], taskWaiting)
	}
	s.completeText(tasks[1])
	delete(s.unscored, tasks[1]) // its call is in progress
	s.finishCall(tasks[1], &routes.Route{}, &forward.Response{Status: 200, Signature: "score"}, nil, 0)
	if tasks[1].state != taskScoring || !s.unscored[tasks[1]] {
		t.Errorf("a scored item is in state %d, waits for a score %t; want %d", tasks[1].state, s.unscored[tasks[1]], taskScoring)
	}
	if left := s.batches["b"].groups[b.Items[0].Group].unfinished; left != 2 {
		t.Errorf("%d items of the group are unfinished, want 2", left)
	}
}

// TestRunsThatBreakTogetherAreOneFailure guards against an engine that gets no items for the longest backoff after its
// first failure, because each of its runs counted as a failure of its own.
func TestRunsThatBreakTogetherAreOneFailure(t *testing.T) {
	const runs = 8
	s, _ := newStandaloneSession(t, newFakeEngines())
	v := fleet.Server{ID: "s", Service: testService, Incarnation: 1, Slots: runs}
	items := make([]rollout.Item, runs)
	for i := range items {
		items[i].ID = fmt.Sprint(i)
	}
	s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: items}, HasResult: make([]bool, runs)})
	s.mu.Lock()
	defer s.mu.Unlock()
	e, before := s.engineFor(&v), boottime.Now()
	for _, task := range s.batches["b"].tasks {
		s.handleFailure(task, &v, e, &RunError{Kind: StreamBroken, Err: errUnresponsive}, &routes.Route{})
	}
	if left := e.blockedUntil - before; e.failures != 1 || left > 2*initialFailureBackoff {
		t.Fatalf("%d failures, blocked for %s", e.failures, left)
	}
	e.blockedUntil = boottime.Now()
	s.handleFailure(s.batches["b"].tasks[0], &v, e, &RunError{Kind: StreamBroken, Err: errUnresponsive}, &routes.Route{})
	if e.failures != 2 {
		t.Fatalf("%d failures after the next run failed too, want 2", e.failures)
	}
}

// Guards against an engine that is kept from other items by an item that has moved on to another engine.
func TestEngineIsNotKeptForItemThatMovedOn(t *testing.T) {
	const now = time.Hour
	s := &session{}
	moved := &task{state: taskRunning, engine: "b", suspected: true, startedAt: now, lastEventAt: now}
	a, b := &engineState{alone: moved}, &engineState{alone: moved}
	if s.runsOrWaitsAlone("a", a, now) || a.alone != nil {
		t.Error("the engine that the item left is kept for it")
	}
	if !s.runsOrWaitsAlone("b", b, now) {
		t.Error("the engine that runs the item alone is not kept for it")
	}
	if s.runsOrWaitsAlone("b", b, now+maxTrial) {
		t.Error("the engine is kept for longer than a trial")
	}
}
