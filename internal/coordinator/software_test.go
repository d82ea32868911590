package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

// softwareOf returns the software version that generated a text, and fails the test if there are several or the text is
// not the whole text of the item.
func softwareOf(t *testing.T, id, text string, events int) string {
	t.Helper()
	var plain []string
	software := ""
	for _, event := range strings.Split(text, "\n") {
		data, by, _ := strings.Cut(event, softwareMark)
		if software != "" && by != software {
			t.Errorf("the text of %s is joined from %s and %s", id, software, by)
			return ""
		}
		software = by
		plain = append(plain, data)
	}
	if strings.Join(plain, "\n") != fullText(id, events) {
		t.Errorf("the text of %s is %q", id, text)
	}
	return software
}

// breakEngines makes the runs on each of the servers break, one server after the other, until the returned function is
// called.
func (c *cluster) breakEngines(interval time.Duration, servers ...string) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	set := func(server string, broken bool) {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		c.engines.unresponsive[server] = broken
	}
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			server := servers[i%len(servers)]
			set(server, true)
			select {
			case <-done:
				set(server, false)
				return
			case <-time.After(interval):
			}
			set(server, false)
		}
	}()
	return func() { close(done); <-stopped }
}

// Guards against the text of an item that two software versions wrote, while engines of both serve and break by turns.
func TestTextsAreNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	const (
		items, minBroken = 40, 20
		maxBatches       = 8
	)
	c := newCluster(t, seedCount)
	c.engines.eventsPerItem, c.engines.eventInterval = 30, 10*time.Millisecond
	c.engines.software = map[string]string{"s0": "v1", "s1": "v1", "s2": "v2", "s3": "v2"}
	c.startAll()
	c.configure(1)
	c.announceServers(4, 4)
	stop := c.breakEngines(150*time.Millisecond, "s0", "s2", "s1", "s3")
	defer stop()
	by := map[string]int{}
	broken, resumed := 0, 0
	for n := 0; broken < minBroken && n < maxBatches; n++ {
		b := fmt.Sprint("b", n)
		c.submitBatch(b, items, 0)
		page := c.waitForResults(b, items)
		for i, r := range page.Results {
			by[softwareOf(t, page.IDs[i], string(r.Text), c.engines.eventsPerItem)]++
		}
		c.engines.mu.Lock()
		broken, resumed = len(c.engines.brokenTexts), 0
		for _, after := range c.engines.resumedAfter {
			if after > 0 {
				resumed++
			}
		}
		c.engines.mu.Unlock()
	}
	if broken < minBroken || by["v1"] == 0 || by["v2"] == 0 {
		t.Errorf("%d texts broke, by software version %v; the test needs more", broken, by)
	}
	if resumed < broken/4 {
		t.Errorf("%d of %d texts that broke went on at an engine; they are dropped although an engine of their version serves", resumed, broken)
	}
}

// Guards against a text that a new leader continues on another software version: the version must be part of the
// committed progress.
func TestCommittedTextKeepsItsSoftwareVersion(t *testing.T) {
	const items = 6
	c := newCluster(t, seedCount)
	c.engines.eventsPerItem, c.engines.eventInterval = 60, 50*time.Millisecond
	c.engines.software = map[string]string{"x0": "v1", "x1": "v1"}
	c.startAll()
	c.configure(1)
	c.announceService(testService, "x", 2, items)
	c.submitBatch("b", items, 0)
	first := c.leader()
	committed := func() int {
		n := 0
		for _, open := range c.nodes[first].state.OpenBatches() {
			for _, p := range open.Partials {
				if p.Events > 0 {
					n++
				}
			}
		}
		return n
	}
	c.waitUntil("committed progress of all items", func() bool { return committed() == items })
	c.engines.mu.Lock()
	c.engines.software["s0"], c.engines.software["s1"], c.engines.unresponsive["x0"] = "v2", "v2", true
	c.engines.mu.Unlock()
	c.announceServers(2, items)
	c.waitUntil("the servers of the other version on all VMs", func() bool {
		for _, n := range c.runningNodes() {
			if _, known := n.registry.Get("s1"); !known {
				return false
			}
		}
		return true
	})
	c.stop(first)
	page := c.waitForResults("b", items)
	for i, r := range page.Results {
		softwareOf(t, page.IDs[i], string(r.Text), c.engines.eventsPerItem)
	}
}

// Guards against an item that waits forever for an engine of the version that began its text, after the last one has
// left, and against one whose new text keeps parts of the old one.
func TestTextBeginsAgainAfterItsVersionHasLeft(t *testing.T) {
	const items = 8
	c := newCluster(t, seedCount)
	c.engines.eventsPerItem, c.engines.eventInterval = 30, 20*time.Millisecond
	c.engines.software = map[string]string{"s0": "v1"}
	c.startAll()
	c.configure(1)
	c.announceServers(1, items)
	b := newBatch("b", items, 0)
	c.submit(b)
	c.waitUntil("texts that have begun", func() bool {
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		return len(c.engines.started) == items && !c.engines.lastEventAt[b.Items[0].ID].IsZero()
	})
	c.engines.mu.Lock()
	c.engines.software["x0"], c.engines.unresponsive["s0"] = "v2", true
	c.engines.mu.Unlock()
	c.announceService(testService, "x", 1, items)
	page := c.waitForResults("b", items)
	for i, r := range page.Results {
		if by := softwareOf(t, page.IDs[i], string(r.Text), c.engines.eventsPerItem); by != "v2" {
			t.Errorf("the text of %s is by %q", page.IDs[i], by)
		}
	}
}

// Guards against a text of a group that returns in a later batch and goes on at another software version.
func TestReusedTextKeepsItsSoftwareVersion(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	s.reusableTexts[ownedID{id: "i"}] = rollout.Partial{Text: []byte("a"), Events: 1, Versions: []uint64{1}, Software: "v1"}
	s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i", Group: "g"}}}, HasResult: []bool{false}})
	if got := s.batches["b"].tasks[0]; got.software != "v1" || got.events != 1 {
		t.Fatalf("the reused text has %d events of software %q", got.events, got.software)
	}
	s.keepReusableTexts(s.batches["b"])
	if got := s.reusableTexts[ownedID{id: "i"}]; got.Software != "v1" {
		t.Fatalf("the kept text is of software %q", got.Software)
	}
}

// Guards against a text that goes on at a server which restarted under its ID with other software: between the choice
// and the announcement of the new start, and after a failure that may have been the restart.
func TestRestartOfServerWithOtherSoftware(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	v := fleet.Server{ID: "s", Service: testService, Address: "10.0.0.1:80", Incarnation: 1, Sequence: 1, Slots: 4, Software: "v1"}
	s.node.registry.Announce(v, 0)
	s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}, HasResult: []bool{false}})
	task := s.batches["b"].tasks[0]
	e := s.engineFor(&v)
	text := func() { task.text, task.events, task.software = []byte("a"), 1, "v1" }
	text()
	if !task.mayContinueOn(e.softwareOf(&v)) || task.mayContinueOn("v2") || task.mayContinueOn("") {
		t.Fatal("a text may go on at its own version and at no other one")
	}
	s.doubtSoftware(e, &v)
	if task.mayContinueOn(e.softwareOf(&v)) {
		t.Fatal("a text goes on at a server that failed and has not announced itself since")
	}
	v.Sequence++
	if !task.mayContinueOn(e.softwareOf(&v)) {
		t.Fatal("a text does not go on at a server that announced its version after a failure")
	}
	// The run that goes on after event 1 ends after the server has announced its new start.
	s.node.registry.Announce(fleet.Server{ID: "s", Service: testService, Address: v.Address, Incarnation: 2, Sequence: 1, Slots: 4, Software: "v2"}, 0)
	task.state, task.cancel = taskRunning, func() {}
	s.runItem(s.ctx, task, v, GenerationRequest{ID: "i", AfterEvent: 1}, &routes.Route{}, "v1")
	if task.state != taskWaiting || task.events != 0 || task.software != "" {
		t.Fatalf("after a run at other software: state %d, %d events of software %q", task.state, task.events, task.software)
	}
}

// Guards against a text that is dropped although nothing else could run its item, or although servers of its version are
// only busy.
func TestTextIsKeptWhileItsVersionServes(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	own, ownLeaves, other := fleet.Server{ID: "a", Software: "v1"}, fleet.Server{ID: "b", Software: "v1", Leaving: true}, fleet.Server{ID: "c", Software: "v2"}
	for name, tc := range map[string]struct {
		servers []fleet.Server
		waited  time.Duration
		dropped bool
	}{
		"its version serves":               {[]fleet.Server{own, other}, 0, false},
		"its version is busy for too long": {[]fleet.Server{own, other}, time.Minute, true},
		"its version leaves":               {[]fleet.Server{ownLeaves, other}, 0, true},
		"no other version":                 {[]fleet.Server{own}, time.Minute, false},
		"no server":                        {nil, time.Minute, false},
	} {
		now := time.Hour
		task := &task{batch: &batch{Batch: rollout.Batch{ID: "b", Items: []rollout.Item{{ID: "i"}}}}, text: []byte("a"), events: 1, software: "v1", waitingSince: now - tc.waited}
		s.mu.Lock()
		dropped := s.restartText(task, tc.servers, scheduling.MedianIntervals{}, now)
		s.mu.Unlock()
		if dropped != tc.dropped || dropped != (task.events == 0) {
			t.Errorf("%s: dropped %t, %d events left", name, dropped, task.events)
		}
	}
}
