package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/rollout"
	"filbertledge/internal/suspects"
)

// Guards against a sound item that is never placed again, or given up, because several engines crashed when they began
// to run it.
func TestItemIsPlacedAgainAfterSeveralCrashes(t *testing.T) {
	const items, crashes = 4, 5
	c := newCluster(t, seedCount)
	c.engines.crashing = map[string]bool{"b-0": true}
	c.startAll()
	c.configure(1)
	c.announceServers(3, 4)
	c.submitBatch("b", items, 0)
	c.waitUntil("crashes", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		if len(c.engines.crashes) < crashes {
			return false
		}
		c.engines.crashing["b-0"] = false
		return true
	})
	page := c.waitForResults("b", items)
	for i, r := range page.Results {
		if !r.Completed || string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Errorf("item %s: completed %t, text %q", page.IDs[i], r.Completed, r.Text)
		}
	}
}

// Guards against an item that crashes every engine and takes the sound items with it: it must wait longer after each
// crash, and run alone.
func TestCrashingItemSparesOthers(t *testing.T) {
	const (
		items = 60
		// aloneFrom is the number of the first crash that may not happen beside other runs, from 1.
		aloneFrom = 4
		length    = 6 * time.Second
		// allowedCrashes are those of length: three without a pause, then with pauses of 0.25 s, 0.5 s, 1 s, 2 s and 4 s.
		allowedCrashes = 3 + 4
	)
	c := newCluster(t, seedCount)
	c.engines.crashing = map[string]bool{"poison-0": true}
	c.engines.eventsPerItem, c.engines.eventInterval = 30, 10*time.Millisecond
	c.startAll()
	c.configure(1)
	c.announceServers(4, 4)
	c.submitBatch("poison", 1, 0)
	started := time.Now()
	c.submitBatch("b", items, 0)
	page := c.waitForResults("b", items)
	if took := time.Since(started); took > length {
		t.Errorf("the sound items took %s beside one that crashes engines, allowed are %s", took, length)
	}
	for i, r := range page.Results {
		if !r.Completed || string(r.Text) != fullText(page.IDs[i], c.engines.eventsPerItem) {
			t.Errorf("item %s: completed %t, text %q", page.IDs[i], r.Completed, r.Text)
		}
	}
	time.Sleep(time.Until(started.Add(length)))
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if n := len(c.engines.crashes); n > allowedCrashes || n < aloneFrom {
		t.Errorf("%d crashes in %s, allowed are %d to %d", n, length, aloneFrom, allowedCrashes)
	}
	for i, crash := range c.engines.crashes {
		if i+1 >= aloneFrom && crash.others > 0 {
			t.Errorf("crash %d happened beside %d other runs", i+1, crash.others)
		}
	}
}

// reportCrashes makes the leader know that servers ended under an item, and waits until all nodes have stored it.
func (c *cluster) reportCrashes(b *rollout.Batch, item, servers int) {
	c.t.Helper()
	var reports []suspects.Report
	for i := range servers {
		reports = append(reports, suspects.Report{Request: digestOf(b, &b.Items[item]), Server: api.ServerID(fmt.Sprint("lost-", item, "-", i)), Incarnation: 1, Confirmed: true})
	}
	known := len(c.nodes[c.leader()].state.Suspects())
	c.callLeader("reports of lost servers", func(ctx context.Context, n *Node) error {
		s, err := n.currentSession()
		if err == nil {
			_, err = s.reportSuspects(ctx, SuspectsReport{VM: "entry", Reports: reports})
		}
		return err
	})
	c.waitUntil("the reports are stored", func() bool {
		for _, n := range c.runningNodes() {
			if len(n.state.Suspects()) < known+servers {
				return false
			}
		}
		return true
	})
}

// Guards against an item that crashes each engine and takes the fleet down for as long as its batch lives, also under a later
// leader and in a later batch, and against one that is not run again: it is owed, and completes once it crashes no more.
func TestItemThatCrashesEnginesIsTriedSparingly(t *testing.T) {
	const (
		known = trialCrashes - 1 // engines that ended under the item before
		wait  = 10 * time.Second
		// allowed are the crashes in that time: the first run, and one after each pause of 4 s.
		allowed, wanted = 3, 2
	)
	c := newCluster(t, seedCount)
	c.startAll()
	c.configure(1)
	c.announceServers(4, 4)
	c.engines.mu.Lock()
	c.engines.crashing["b-0"] = true
	c.engines.eventsPerItem, c.engines.eventInterval = 20, 10*time.Millisecond
	c.engines.mu.Unlock()
	b := newBatch("b", 40, 0)
	c.reportCrashes(b, 0, known)
	c.stop(c.leader()) // a new leader knows them, too
	started := time.Now()
	c.submit(b)
	page := c.waitForResults("b", len(b.Items)-1)
	for i, r := range page.Results {
		if page.IDs[i] == "b-0" || !r.Completed {
			t.Errorf("item %s: completed %t", page.IDs[i], r.Completed)
		}
	}
	time.Sleep(time.Until(started.Add(wait)))
	c.engines.mu.Lock()
	for i, crash := range c.engines.crashes {
		if crash.others > 0 {
			t.Errorf("crash %d happened beside %d other runs", i+1, crash.others)
		}
	}
	if n := len(c.engines.crashes); n > allowed || n < wanted {
		t.Errorf("%d engines ended under the item in %s after %d had, want %d to %d", n, wait, known, wanted, allowed)
	}
	c.engines.crashing["b-0"] = false
	c.engines.mu.Unlock()
	c.waitForResults("b", len(b.Items))
}

// Guards against sound items that are never run again, or not within the time in which a step misses them, because many engines
// ended under them.
func TestSoundItemsRunAgainAfterManyCrashes(t *testing.T) {
	const (
		maxIdle = 5 * time.Second
		hit     = 12 // items under which engines ended
	)
	for _, servers := range []int{8, 20} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := startCluster(t, seedCount)
			c.engines.mu.Lock()
			c.engines.eventsPerItem, c.engines.eventInterval = 20, 50*time.Millisecond
			c.engines.mu.Unlock()
			c.configure(1)
			c.announceServers(3, 12)
			b := newBatch("b", 2*hit, 0)
			for i := range hit {
				c.reportCrashes(b, i, servers)
			}
			begun := time.Now()
			c.submit(b)
			c.waitUntil("all items have started", func() bool {
				c.engines.mu.Lock()
				defer c.engines.mu.Unlock()
				return len(c.engines.started) == len(b.Items)
			})
			if took := time.Since(begun); took > maxIdle {
				t.Errorf("an item waited for %s, allowed are %s", took, maxIdle)
			}
			for i, r := range c.waitForResults("b", len(b.Items)).Results {
				if !r.Completed {
					t.Errorf("result %d is not complete", i)
				}
			}
		})
	}
}
