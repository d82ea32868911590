package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
)

// TestResubmittedBatchRunsOnce guards against items that run twice because the trainer submitted their batch again.
func TestResubmittedBatchRunsOnce(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announceServers(2, 4)
	b := c.submitBatch("b", 12, 0)
	c.submitBatch("b", 12, 0) // the trainer submits the batch again
	page := c.waitForResults("b", len(b.Items))
	if page.Total != len(b.Items) || len(page.Results) != len(b.Items) {
		t.Fatalf("got %d of %d results, want %d", len(page.Results), page.Total, len(b.Items))
	}
	for i, r := range page.Results {
		if want := fullText(page.IDs[i], c.engines.eventsPerItem); !r.Completed || string(r.Text) != want {
			t.Fatalf("item %s: completed %t, text %q", page.IDs[i], r.Completed, r.Text)
		}
		if len(r.Versions) != 1 || r.Versions[0] != 1 {
			t.Fatalf("item %s: versions %v", page.IDs[i], r.Versions)
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for id, n := range c.engines.started {
		if n != 1 {
			t.Errorf("item %s ran %d times", id, n)
		}
	}
}

// TestItemsResumeAfterLeaderLoss guards against gaps, repetitions and lost work in the output of items that run while
// their leader stops. The next leader must continue after the committed events.
func TestItemsResumeAfterLeaderLoss(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.eventsPerItem, c.engines.eventInterval = 60, 50*time.Millisecond
	c.configure(1)
	c.announceServers(2, 4)
	b := c.submitBatch("b", 4, 0)
	c.waitUntil("committed progress of all items", func() bool {
		open := c.nodes[c.leader()].state.OpenBatches()
		return len(open) == 1 && len(open[0].Partials) == len(b.Items)
	})
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	page := c.waitForResults("b", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Fatalf("item %s has gaps or repetitions in its output", page.IDs[i])
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if c.engines.resumedAfter[item.ID] == 0 {
			t.Errorf("item %s started again from the beginning", item.ID)
		}
	}
}

// TestFailedItemsAreRetriedUpToMaxAttempts guards against items that are given up too early, or that run more often
// than their route allows.
func TestFailedItemsAreRetriedUpToMaxAttempts(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.failingRuns["b-0"] = 1
	c.engines.failingRuns["b-1"] = 5 // more than MaxAttempts of the route
	c.engines.unprocessable["b-2"] = true
	c.configure(1)
	c.announceServers(2, 4)
	b := c.submitBatch("b", 4, 0)
	page := c.waitForResults("b", len(b.Items))
	completed := map[string]bool{}
	for i, r := range page.Results {
		completed[page.IDs[i]] = r.Completed
	}
	if !completed["b-0"] || completed["b-1"] || completed["b-2"] || !completed["b-3"] {
		t.Fatalf("completed: %v", completed)
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if n := c.engines.started["b-1"]; n != 2 {
		t.Errorf("an item that always fails ran %d times, want MaxAttempts of the route, 2", n)
	}
	if n := c.engines.started["b-2"]; n != 1 {
		t.Errorf("an unprocessable item ran %d times, want 1", n)
	}
}

// TestItemsCompleteAfterServerStopsAnswering guards against lost or repeated output when a server stops answering in
// the middle of its streams.
func TestItemsCompleteAfterServerStopsAnswering(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.eventsPerItem, c.engines.eventInterval = 20, 20*time.Millisecond
	c.configure(1)
	c.announceServers(3, 4)
	b := c.submitBatch("b", 12, 0)
	c.waitUntil("the start of all items", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) == len(b.Items)
	})
	c.engines.mu.Lock()
	c.engines.unresponsive["s0"] = true
	c.engines.mu.Unlock()
	page := c.waitForResults("b", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Fatalf("item %s has gaps or repetitions in its output", page.IDs[i])
		}
	}
}

// TestPublishedWeightsAreLoadedByAllEngines guards against engines that keep an old version, against items that run
// with older weights than their batch allows, and against orders of a former leader that engines receive after those of
// its successor.
func TestPublishedWeightsAreLoadedByAllEngines(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announceServers(4, 4)
	c.callLeader("the publication of version 2", func(ctx context.Context, n *Node) error {
		return n.Publish(ctx, rollout.ModelVersion{Model: testModel, Version: 2})
	})
	b := c.submitBatch("b", 8, 2)
	page := c.waitForResults("b", len(b.Items))
	for i, r := range page.Results {
		if len(r.Versions) != 1 || r.Versions[0] < 2 {
			t.Errorf("item %s: got versions %v, want at least 2", page.IDs[i], r.Versions)
		}
	}
	c.waitUntil("version 2 on all engines", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.versions) == 4
	})
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	c.callLeader("the publication of version 3", func(ctx context.Context, n *Node) error {
		return n.Publish(ctx, rollout.ModelVersion{Model: testModel, Version: 3})
	})
	c.waitUntil("version 3 on all engines", func() bool {
		for _, s := range []string{"s0", "s1", "s2", "s3"} {
			if c.engines.version(s) != 3 {
				return false
			}
		}
		return true
	})
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	newest := map[string]receivedOrder{}
	for _, o := range c.engines.orders {
		last, seen := newest[o.server]
		if seen && (o.token < last.token || o.token == last.token && o.holder != last.holder) {
			t.Errorf("%s got an order of %s with token %d after one of %s with token %d", o.server, o.holder, o.token, last.holder, last.token)
		}
		newest[o.server] = o
	}
}

// TestFollowTellsHowLongItWasHeld guards against a reply that confirms the configuration for a time before the leader
// read it.
func TestFollowTellsHowLongItWasHeld(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	var reply FollowReply
	c.callLeader("a reply to a held follow call", func(_ context.Context, n *Node) error {
		s, err := n.currentSession()
		if err != nil {
			return err
		}
		started := time.Now()
		reply, err = s.follow(context.Background(), FollowRequest{Term: s.term, ServersRevision: n.registry.Revision(), ConfigurationVersion: skipConfiguration})
		if took := time.Since(started); err == nil && (reply.Held > took || reply.Held < FollowPollTimeout/2) {
			t.Errorf("the call took %s and was held for %s, want nearly as long", took, reply.Held)
		}
		return err
	})
}

// TestOrdersOfTwoLeadersDoNotOverlap guards against engines that do not check fencing tokens and get orders of a former
// leader while the next one sends its own: an order is written only with the lease and ends with it, and the next leader
// waits until then and for the handover delay.
func TestOrdersOfTwoLeadersDoNotOverlap(t *testing.T) {
	c := newCluster(t, 3)
	c.enginesIgnoreFencing = true
	c.startAll()
	c.configure(1)
	c.announceServers(4, 4)
	publish := func(version uint64) {
		c.callLeader(fmt.Sprintf("the publication of version %d", version), func(ctx context.Context, n *Node) error {
			return n.Publish(ctx, rollout.ModelVersion{Model: testModel, Version: version})
		})
		c.waitUntil(fmt.Sprintf("version %d on an engine", version), func() bool { return c.engines.version("s0") == version })
	}
	publish(2)
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	publish(3)
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	var last receivedOrder
	for _, o := range c.engines.orders {
		if !o.permitted || o.timeLeft <= 0 || o.timeLeft > leaderLease {
			t.Errorf("an order of %s was sent with permission %t and is aborted after %s, want at most %s", o.holder, o.permitted, o.timeLeft, leaderLease)
		}
		if gap := o.at.Sub(last.at); last.holder != "" && o.holder != last.holder && gap < testHandoverDelay+leaderLease {
			t.Errorf("the first order of %s came %s after the last one of %s, want at least %s", o.holder, gap, last.holder, testHandoverDelay+leaderLease)
		}
		last = o
	}
}

// TestUnfinishedTextsAreReusedInNextBatch guards against lost work on a group that one batch leaves unfinished and the
// next batch contains again.
func TestUnfinishedTextsAreReusedInNextBatch(t *testing.T) {
	c := startCluster(t, 3)
	const minEvents = 3 // of each item when the first batch ends
	c.engines.eventsPerItem, c.engines.eventInterval = 40, 50*time.Millisecond
	c.configure(1)
	c.announceServers(1, 4)
	b := c.submitBatch("b", 4, 0)
	c.waitUntil("the first events of each item", func() bool {
		s := c.nodes[c.leader()].session.Load()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, t := range s.batches["b"].tasks {
			if t.events < minEvents {
				return false
			}
		}
		return true
	})
	c.callLeader("the end of the batch", func(ctx context.Context, n *Node) error {
		_, err := callLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: "b"})
		return err
	})
	again := *b
	again.ID = "c"
	c.callLeader("the next batch", func(ctx context.Context, n *Node) error {
		_, err := callLeader(ctx, n, MethodSubmitBatch, (*session).submit, &again)
		return err
	})
	page := c.waitForResults("c", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Fatalf("item %s has gaps or repetitions in its output", page.IDs[i])
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if c.engines.resumedAfter[item.ID] < minEvents {
			t.Errorf("item %s resumed after event %d, want at least %d", item.ID, c.engines.resumedAfter[item.ID], minEvents)
		}
	}
}

// TestEndedBatchStopsRunning guards against engines that are kept busy by the items of an ended batch.
func TestEndedBatchStopsRunning(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.eventsPerItem, c.engines.eventInterval = 100000, 10*time.Millisecond
	c.configure(1)
	c.announceServers(1, 1)
	c.submitBatch("b", 8, 0)
	c.waitUntil("the first run", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) > 0
	})
	c.callLeader("the end of the batch", func(ctx context.Context, n *Node) error {
		_, err := callLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: "b"})
		return err
	})
	c.waitUntil("the end of the running item", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return c.engines.activeStreams == 0
	})
	c.engines.mu.Lock()
	runs := len(c.engines.started)
	c.engines.mu.Unlock()
	c.configure(2) // a later commit, of any kind
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if len(c.engines.started) != runs {
		t.Fatalf("%d items started after the end of the batch", len(c.engines.started)-runs)
	}
}

// TestConfigurationSurvivesRestartOfAllNodes guards against a configuration that is lost, or replaced by an older
// version, when all nodes restart.
func TestConfigurationSurvivesRestartOfAllNodes(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(4)
	c.configure(3) // an older version: acknowledged, but without effect
	for i := range c.nodes {
		c.stop(i)
	}
	for i := range c.nodes {
		c.start(i, false)
	}
	c.callLeader("the newest configuration", func(ctx context.Context, n *Node) error {
		r, err := n.NewestConfiguration(ctx)
		if err == nil && (r.Version != 4 || string(r.Document) != "v4") {
			t.Fatalf("got version %d with document %q, want version 4 with \"v4\"", r.Version, r.Document)
		}
		return err
	})
}

// TestLearnerReplacesLostVoter guards against a loss of the state when two of four VMs are lost, one after the other.
// The learner must have taken the place of the first lost voter before the second is lost.
func TestLearnerReplacesLostVoter(t *testing.T) {
	c := startCluster(t, 4)
	c.configure(1)
	voters := func() int {
		n := 0
		for _, m := range c.nodes[c.leader()].Status().Members {
			if m.Voter {
				n++
			}
		}
		return n
	}
	members := func() int { return len(c.nodes[c.leader()].Status().Members) }
	c.waitUntil("a learner beside three voters", func() bool { return members() == 4 && voters() == 3 })
	first := c.leader()
	c.stop(first)
	c.waitUntil("the learner to replace the lost voter", func() bool { return members() == 3 && voters() == 3 })
	c.configure(2)
	second := c.leader()
	c.stop(second)
	c.configure(3)
}

// TestRetireFailsWithoutEnoughVMs guards against a retirement after which the group could not tolerate the loss of a
// VM.
func TestRetireFailsWithoutEnoughVMs(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	n := c.nodes[c.leader()]
	if err := n.Retire(ctx, "vm-0"); !errs.Is(err, errs.Conflict) {
		t.Fatalf("got %v, want an error of the kind %s", err, errs.Conflict)
	}
	if err := n.Retire(ctx, "vm-9"); !errs.Is(err, errs.NotFound) {
		t.Fatalf("got %v, want an error of the kind %s", err, errs.NotFound)
	}
}

// TestRetiredVMLeavesMembership guards against a retired VM on which the group still depends.
func TestRetiredVMLeavesMembership(t *testing.T) {
	c := startCluster(t, 4)
	c.configure(1)
	c.waitUntil("four members", func() bool { return len(c.nodes[c.leader()].Status().Members) == 4 })
	c.callLeader("the retirement", func(ctx context.Context, n *Node) error { return n.Retire(ctx, "vm-1") })
	c.waitUntil("the end of the retirement", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		done, err := c.nodes[c.leader()].Retired(ctx, "vm-1")
		return err == nil && done
	})
	for _, m := range c.nodes[c.leader()].Status().Members {
		if m.Name == "vm-1" {
			t.Fatal("the retired VM is still a member")
		}
	}
	c.stop(1)
	c.configure(2)
}

// TestLongItemMovesFromTransientlySlowEngine guards against a long item that stays on an engine that became slow while
// another one is idle. It must continue there after its last event.
func TestLongItemMovesFromTransientlySlowEngine(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announceServers(2, 4)
	c.engines.eventsPerItem, c.engines.eventInterval = 150, 20*time.Millisecond
	c.submitBatch("b", 1, 0)
	id := "b-0"
	position := func() (engine string, events int) {
		s, err := c.nodes[c.leader()].currentSession()
		if err != nil {
			return "", 0
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if b := s.batches["b"]; b != nil {
			return b.tasks[0].engine, b.tasks[0].events
		}
		return "", 0
	}
	var first string
	c.waitUntil("the item to count as long", func() bool {
		engine, events := position()
		first = engine
		return events > longItemEvents
	})
	c.engines.mu.Lock()
	c.engines.slowdown[first] = 4
	c.engines.mu.Unlock()
	c.waitUntil("the item on the other engine", func() bool {
		engine, _ := position()
		return engine != first && engine != ""
	})
	page := c.waitForResults("b", 1)
	if got := string(page.Results[0].Text); got != fullText(id, 150) {
		t.Fatalf("the output has gaps or repetitions; it has %d bytes", len(got))
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if c.engines.resumedAfter[id] <= longItemEvents {
		t.Fatalf("the item resumed after event %d, before it was long", c.engines.resumedAfter[id])
	}
}
