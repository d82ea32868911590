package coordinator

import (
	"context"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
)

func TestBatchRunsOnce(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announce(2, 4)
	b := c.submit("b", 12, 0)
	c.submit("b", 12, 0) // the trainer sends it again
	page := c.await("b", len(b.Items))
	if page.Total != len(b.Items) || len(page.Results) != len(b.Items) {
		t.Fatalf("%d of %d results", len(page.Results), page.Total)
	}
	for i, r := range page.Results {
		if want := wholeText(page.IDs[i], c.engines.events); !r.Completed || string(r.Text) != want {
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

// TestItemsGoOnAfterTheLeaderIsLost stops the leader while items run. The next one goes on from the committed events.
func TestItemsGoOnAfterTheLeaderIsLost(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.events, c.engines.pace = 60, 50*time.Millisecond
	c.configure(1)
	c.announce(2, 4)
	b := c.submit("b", 4, 0)
	c.eventually("progress", func() bool {
		open := c.nodes[c.leader()].state.OpenBatches()
		return len(open) == 1 && len(open[0].Partials) == len(b.Items)
	})
	before := c.leader()
	c.stop(before)
	c.eventually("another leader", func() bool { return c.leader() != before })
	page := c.await("b", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != wholeText(page.IDs[i], c.engines.events) {
			t.Fatalf("item %s has a gap or a repetition", page.IDs[i])
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if c.engines.resumed[item.ID] == 0 {
			t.Errorf("item %s started again from the beginning", item.ID)
		}
	}
}

func TestFailuresOfItems(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.fail["b-0"] = 1
	c.engines.fail["b-1"] = 5 // more than the attempts of the route
	c.engines.refuse["b-2"] = true
	c.configure(1)
	c.announce(2, 4)
	b := c.submit("b", 4, 0)
	page := c.await("b", len(b.Items))
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
		t.Errorf("an item that fails at each run ran %d times, the route allows 2", n)
	}
	if n := c.engines.started["b-2"]; n != 1 {
		t.Errorf("an impossible item ran %d times", n)
	}
}

// TestADeadServerLosesNothing makes a server stop answering in the middle of its streams.
func TestADeadServerLosesNothing(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.events, c.engines.pace = 20, 20*time.Millisecond
	c.configure(1)
	c.announce(3, 4)
	b := c.submit("b", 12, 0)
	c.eventually("a run on s0", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) == len(b.Items)
	})
	c.engines.mu.Lock()
	c.engines.dead["s0"] = true
	c.engines.mu.Unlock()
	page := c.await("b", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != wholeText(page.IDs[i], c.engines.events) {
			t.Fatalf("item %s has a gap or a repetition", page.IDs[i])
		}
	}
}

func TestWeightsReachTheEngines(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announce(4, 4)
	c.call("the version", func(ctx context.Context, n *Node) error {
		return n.Publish(ctx, rollout.ModelVersion{Model: model, Version: 2})
	})
	b := c.submit("b", 8, 2)
	page := c.await("b", len(b.Items))
	for i, r := range page.Results {
		if len(r.Versions) != 1 || r.Versions[0] < 2 {
			t.Errorf("item %s: versions %v, at least 2 wanted", page.IDs[i], r.Versions)
		}
	}
	c.eventually("version 2 on all engines", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.versions) == 4
	})
	before := c.leader()
	c.stop(before)
	c.eventually("another leader", func() bool { return c.leader() != before })
	c.call("the next version", func(ctx context.Context, n *Node) error {
		return n.Publish(ctx, rollout.ModelVersion{Model: model, Version: 3})
	})
	c.eventually("version 3 on all engines", func() bool {
		for _, s := range []string{"s0", "s1", "s2", "s3"} {
			if c.engines.version(s) != 3 {
				return false
			}
		}
		return true
	})
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	newest := map[string]order{}
	for _, o := range c.engines.orders {
		last, seen := newest[o.server]
		if seen && (o.token < last.token || o.token == last.token && o.holder != last.holder) {
			t.Errorf("%s was ordered by %s with token %d after %s with token %d", o.server, o.holder, o.token, last.holder, last.token)
		}
		newest[o.server] = o
	}
}

func TestCarriedGroupsAreReused(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.events, c.engines.pace = 40, 50*time.Millisecond
	c.configure(1)
	c.announce(1, 4)
	b := c.submit("b", 4, 0)
	c.eventually("some events", func() bool {
		s := c.nodes[c.leader()].session.Load()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, t := range s.batches["b"].tasks {
			if t.events < 3 {
				return false
			}
		}
		return true
	})
	c.call("the end", func(ctx context.Context, n *Node) error {
		_, err := byLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: "b"})
		return err
	})
	again := *b
	again.ID = "c"
	c.call("the next batch", func(ctx context.Context, n *Node) error {
		_, err := byLeader(ctx, n, MethodSubmitBatch, (*session).submit, &again)
		return err
	})
	page := c.await("c", len(b.Items))
	for i, r := range page.Results {
		if string(r.Text) != wholeText(page.IDs[i], c.engines.events) {
			t.Fatalf("item %s has a gap or a repetition", page.IDs[i])
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, item := range b.Items {
		if c.engines.resumed[item.ID] < 3 {
			t.Errorf("item %s started from event %d", item.ID, c.engines.resumed[item.ID])
		}
	}
}

func TestEndedBatchesRunNoMore(t *testing.T) {
	c := startCluster(t, 3)
	c.engines.events, c.engines.pace = 100000, 10*time.Millisecond
	c.configure(1)
	c.announce(1, 1)
	c.submit("b", 8, 0)
	c.eventually("a run", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) > 0
	})
	c.call("the end", func(ctx context.Context, n *Node) error {
		_, err := byLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: "b"})
		return err
	})
	c.eventually("the end of the running item", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return c.engines.active == 0
	})
	c.engines.mu.Lock()
	runs := len(c.engines.started)
	c.engines.mu.Unlock()
	c.configure(2) // any later commit
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if len(c.engines.started) != runs {
		t.Fatalf("%d items started after the end", len(c.engines.started)-runs)
	}
}

// TestConfigurationSurvivesARestartOfAll restarts all nodes and reads the newest configuration back.
func TestConfigurationSurvivesARestartOfAll(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(4)
	c.configure(3) // overtaken: acknowledged and without effect
	for i := range c.nodes {
		c.stop(i)
	}
	for i := range c.nodes {
		c.start(i, false)
	}
	c.call("a read", func(ctx context.Context, n *Node) error {
		r, err := n.NewestConfiguration(ctx)
		if err == nil && (r.Version != 4 || string(r.Document) != "v4") {
			t.Fatalf("read version %d, %q", r.Version, r.Document)
		}
		return err
	})
}

// TestAnEmptyVMTakesALostPlace starts a fourth node, loses one, and then another: the state must be there.
func TestAnEmptyVMTakesALostPlace(t *testing.T) {
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
	c.eventually("a learner beside three voters", func() bool { return members() == 4 && voters() == 3 })
	lost := c.leader()
	c.stop(lost)
	c.eventually("the learner in the lost voter's place", func() bool { return members() == 3 && voters() == 3 })
	c.configure(2)
	second := c.leader()
	c.stop(second)
	c.configure(3)
}

func TestRetireNeedsEnoughVMs(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	n := c.nodes[c.leader()]
	if err := n.Retire(ctx, "vm-0"); !errs.Is(err, errs.Conflict) {
		t.Fatalf("got %v", err)
	}
	if err := n.Retire(ctx, "vm-9"); !errs.Is(err, errs.NotFound) {
		t.Fatalf("got %v", err)
	}
}

func TestRetiredVMLeavesTheGroup(t *testing.T) {
	c := startCluster(t, 4)
	c.configure(1)
	c.eventually("four members", func() bool { return len(c.nodes[c.leader()].Status().Members) == 4 })
	c.call("the retirement", func(ctx context.Context, n *Node) error { return n.Retire(ctx, "vm-1") })
	c.eventually("the end of the emptying", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		done, err := c.nodes[c.leader()].Retired(ctx, "vm-1")
		return err == nil && done
	})
	for _, m := range c.nodes[c.leader()].Status().Members {
		if m.Name == "vm-1" {
			t.Fatal("the VM is still a member")
		}
	}
	c.stop(1)
	c.configure(2)
}

// TestALongItemLeavesAnEngineThatIsSlowForAMoment slows the engine of a long item down while another one is idle: the
// item must go on there, from the event after its last one.
func TestALongItemLeavesAnEngineThatIsSlowForAMoment(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announce(2, 4)
	c.engines.events, c.engines.pace = 150, 20*time.Millisecond
	c.submit("b", 1, 0)
	id := "b-0"
	place := func() (engine string, events int) {
		s, err := c.nodes[c.leader()].current()
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
	c.eventually("a long item", func() bool {
		engine, events := place()
		first = engine
		return events > longEvents
	})
	c.engines.mu.Lock()
	c.engines.slow[first] = 4
	c.engines.mu.Unlock()
	c.eventually("the item on the other engine", func() bool {
		engine, _ := place()
		return engine != first && engine != ""
	})
	page := c.await("b", 1)
	if got := string(page.Results[0].Text); got != wholeText(id, 150) {
		t.Fatalf("the text has %d bytes", len(got))
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if c.engines.resumed[id] <= longEvents {
		t.Fatalf("the item went on after event %d", c.engines.resumed[id])
	}
}
