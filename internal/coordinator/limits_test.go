package coordinator

import (
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/fleet"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/scheduling"
)

// Guards against items that exceed the limit of an engine after all VMs with the state were restarted at once: only the
// leader had learned the limit, from the responses to its items.
func TestLimitOutlivesAllLeaders(t *testing.T) {
	const (
		perSecond, items = 2.0, 60
		length           = 3 * time.Second
		// allowed are the users' one and a half times the limit, plus 5.
		allowed = int(1.5*perSecond*3) + 5
	)
	c := startCluster(t, seedCount)
	c.engines.limits["s0"] = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}
	c.configure(1)
	c.announceServers(1, 16)
	c.submitBatch("first", 1, 0)
	c.waitForResults("first", 1)
	c.waitUntil("the limit in the state", func() bool { return len(c.nodes[c.leader()].state.Limits()) == 1 })
	for i := range c.nodes {
		c.stop(i)
	}
	for i := range c.nodes {
		c.start(i, false)
	}
	c.submitBatch("b", items, 0)
	started := time.Now()
	time.Sleep(length)
	c.engines.mu.Lock()
	n := len(c.engines.started) - 1
	c.engines.mu.Unlock()
	if took := time.Since(started); n > allowed {
		t.Errorf("%d items started in %s at a limit of %g a second, allowed are %d", n, took, perSecond, allowed)
	}
}

// Guards against items that move to engines whose few requests other items need to begin: with seven of eleven engines
// limited, moves took an eighth of the requests of a step.
func TestItemsDoNotMoveToEnginesWithScarceRequests(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	now := boottime.Now()
	for id, perSecond := range map[string]float64{"scarce": 2, "wide": 1000, "unlimited": -1} {
		v := fleet.Server{ID: id, Service: testService, Address: id + ":80", Incarnation: 1, Slots: 8, Software: "v1", Models: []fleet.LoadedModel{{Name: testModel, Version: 1}}}
		s.node.registry.Announce(v, now)
		s.engineFor(&v)
		if perSecond >= 0 {
			s.node.limits.Observe(id, ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}, now, now)
		}
		s.limits.Left(id, now)
	}
	task := &task{batch: &batch{Batch: rollout.Batch{ID: "b", Model: testModel, MinVersion: 1}}}
	later := now + 10*time.Second // the buckets are full
	s.mu.Lock()
	defer s.mu.Unlock()
	if free := s.freeNormalSlots(task, scheduling.MedianIntervals{Recent: 50, Baseline: 50}, later); free != 16 {
		t.Fatalf("%d free slots to move to, want the 8 of the unlimited and the 8 of the widely limited engine", free)
	}
}
