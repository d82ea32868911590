package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/api"
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

// Guards against an item that crashes each engine, and is sent to engines for as long as its batch lives, also by a later
// leader and in a later batch.
func TestItemThatCrashesEnginesIsHeldBack(t *testing.T) {
	const (
		known   = maxItemCrashes - 1 // engines that ended under the item before
		allowed = 1                  // engines that it may still crash
		wait    = 6 * time.Second    // longer than the longest pause
	)
	c := newCluster(t, seedCount)
	c.startAll()
	c.configure(1)
	c.announceServers(4, 4)
	c.engines.mu.Lock()
	c.engines.crashing["b-0"] = true
	c.engines.mu.Unlock()
	b := newBatch("b", 4, 0)
	var reports []suspects.Report
	for i := range known {
		reports = append(reports, suspects.Report{Request: digestOf(b, &b.Items[0]), Server: api.ServerID(fmt.Sprint("lost-", i)), Incarnation: 1, Confirmed: true})
	}
	c.callLeader("reports of lost servers", func(ctx context.Context, n *Node) error {
		s, err := n.currentSession()
		if err == nil {
			_, err = s.reportSuspects(ctx, SuspectsReport{VM: "entry", Reports: reports})
		}
		return err
	})
	c.waitUntil("the reports are stored", func() bool {
		for _, n := range c.runningNodes() {
			if len(n.state.Suspects()) < known {
				return false
			}
		}
		return true
	})
	c.stop(c.leader()) // a new leader knows them, too
	c.submit(b)
	page := c.waitForResults("b", len(b.Items)-1)
	for i, r := range page.Results {
		if page.IDs[i] == "b-0" || !r.Completed {
			t.Errorf("item %s: completed %t", page.IDs[i], r.Completed)
		}
	}
	time.Sleep(wait)
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if n := len(c.engines.crashes); n > allowed {
		t.Errorf("%d engines ended under the item after %d had, allowed are %d", n, known, allowed)
	}
}
