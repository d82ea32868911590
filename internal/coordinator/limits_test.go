package coordinator

import (
	"testing"
	"time"

	"filbertledge/internal/ratelimit"
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
