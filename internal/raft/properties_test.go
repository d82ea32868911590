package raft_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertledge/internal/faults/sim"
	"filbertledge/internal/raft"
)

// checkProperty checks a property with a fixed seed and a fixed number of cases, so that every run gives the same
// result. The flags -rapid.seed and -rapid.checks have no effect.
func checkProperty(t *testing.T, count int, property func(*rapid.T)) {
	t.Helper()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": fmt.Sprint(count), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, property)
}

// drawOptions draws a network that loses, delays, duplicates and reorders messages, and clocks with rates within 1% of
// nominal, the bound that the leader lease tolerates.
func drawOptions(t *rapid.T) sim.Options {
	voters := rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "voters")
	o := sim.Options{
		Seed:          rapid.Uint64().Draw(t, "seed"),
		Voters:        sim.Members(voters),
		SnapshotEvery: rapid.SampledFrom([]uint64{0, 8, 40}).Draw(t, "snapshot interval"),
		MaxBatchBytes: rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "batch bytes"),
		ClockRates:    map[string]float64{},
		Network: sim.Network{
			MinDelay:  time.Millisecond,
			MaxDelay:  time.Duration(rapid.IntRange(1, 80).Draw(t, "delay ms")) * time.Millisecond,
			Loss:      float64(rapid.IntRange(0, 20).Draw(t, "loss percent")) / 100,
			Duplicate: float64(rapid.IntRange(0, 20).Draw(t, "duplicate percent")) / 100,
		},
	}
	for _, m := range o.Voters {
		o.ClockRates[m.Name] = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "clock rate")
	}
	return o
}

// faultInjector draws faults and membership changes. At most a minority of the servers loses its disk.
type faultInjector struct {
	*sim.Cluster
	t              *rapid.T
	lostDisks      int
	maxLostDisks   int
	addedServers   int
	replacementFor map[string]string
}

func (c *faultInjector) drawServer() *sim.Server {
	return rapid.SampledFrom(c.Servers()).Draw(c.t, "server")
}

func (c *faultInjector) injectFault() {
	s := c.drawServer()
	switch rapid.IntRange(0, 9).Draw(c.t, "fault") {
	case 0, 1:
		if !s.Down() {
			s.Kill(rapid.Bool().Draw(c.t, "unsynced write survives"))
		}
	case 2, 3:
		s.Restart()
	case 4:
		c.SetServerLinksCut(s.Name, rapid.Bool().Draw(c.t, "outgoing"), rapid.Bool().Draw(c.t, "incoming"), true)
	case 5:
		c.SetServerLinksCut(s.Name, true, true, false)
	case 6:
		if s.Running() {
			s.Freeze(time.Duration(rapid.IntRange(1, 2000).Draw(c.t, "freeze ms")) * time.Millisecond)
		}
	case 7:
		c.loseDisk(s)
	case 8:
		c.replace(s)
	case 9:
		if l := c.Leader(); l != nil && l.Idle() {
			_ = l.TransferLeadership(s.ID)
		}
	}
	for _, s := range c.Servers() {
		if s.Running() {
			s.Read()
		}
	}
	c.Run(c.Now() + time.Duration(rapid.IntRange(1, 900).Draw(c.t, "pause ms"))*time.Millisecond)
}

// loseDisk restarts a killed server with an empty disk and starts its replacement under the same name.
func (c *faultInjector) loseDisk(s *sim.Server) {
	if !s.Down() || c.lostDisks == c.maxLostDisks {
		return
	}
	c.lostDisks++
	s.RestartEmpty()
	c.Replace(s.Name, s.Name)
}

// replace starts the replacement of a server by a new one with another name.
func (c *faultInjector) replace(s *sim.Server) {
	const maxAddedServers = 2
	if c.addedServers == maxAddedServers || c.replacementFor[s.Name] != "" {
		return
	}
	c.addedServers++
	name := fmt.Sprint("new-", c.addedServers)
	c.replacementFor[s.Name] = name
	c.Add(name, s.FailureDomain)
	c.Replace(s.Name, name)
}

// endFaults restores the network and restarts every server.
func (c *faultInjector) endFaults() {
	for _, s := range c.Servers() {
		c.SetServerLinksCut(s.Name, true, true, false)
		s.Restart()
	}
}

// Guards against violations, under random faults, of the safety properties of Raft (election safety, log matching,
// leader completeness, state machine safety), of the exclusive leader lease and of linearizable reads, and against a
// group that does not recover once the faults end. The simulation checks the safety properties after every event.
func TestSafetyUnderChaos(t *testing.T) {
	checkProperty(t, 150, func(t *rapid.T) {
		o := drawOptions(t)
		c := &faultInjector{Cluster: sim.New(o), t: t, maxLostDisks: (len(o.Voters) - 1) / 2, replacementFor: map[string]string{}}
		client := c.NewClient("x")
		c.Run(2 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			c.injectFault()
			if err := c.Err(); err != nil {
				t.Fatal(err)
			}
		}
		c.endFaults()
		accepted := client.Accepted
		// Elections and snapshots are slow with 20% message loss and delays of 80 ms, hence the long timeout.
		const recoveryTimeout = 60 * time.Second
		recovered := c.RunUntil(recoveryTimeout, func() bool { return client.Accepted > accepted || c.Err() != nil })
		if err := c.Err(); err != nil {
			t.Fatal(err)
		}
		if !recovered {
			t.Fatalf("no edit was accepted after all faults had ended; leader %v", c.Leader())
		}
	})
}

// Guards against two leaders that hold the lease at once: the clocks run at the limits of the tolerated drift while the
// leader is partitioned or frozen at random times.
func TestLeaseExclusivityAtTheDriftBound(t *testing.T) {
	checkProperty(t, 15, func(t *rapid.T) {
		leaderRate := rapid.SampledFrom([]float64{0.99, 1.01}).Draw(t, "leader's clock rate")
		o := sim.Options{
			Seed: rapid.Uint64().Draw(t, "seed"), Voters: sim.Members(3), Network: sim.DefaultNetwork,
			ClockRates: map[string]float64{"a": leaderRate, "b": 2 - leaderRate, "c": 2 - leaderRate},
		}
		c := sim.New(o)
		c.NewClient("x")
		c.Run(2 * time.Second)
		for range 5 {
			l := c.Leader()
			if l == nil {
				break
			}
			c.Run(c.Now() + time.Duration(rapid.IntRange(0, 100).Draw(t, "phase ms"))*time.Millisecond)
			if rapid.Bool().Draw(t, "freeze") {
				l.Freeze(3 * time.Second)
			} else {
				c.SetServerLinksCut(l.Name, true, rapid.Bool().Draw(t, "incoming"), true)
			}
			c.Run(c.Now() + 3*time.Second)
			c.SetServerLinksCut(l.Name, true, true, false)
			c.Run(c.Now() + 2*time.Second)
		}
		if err := c.Err(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against stale reads that come from relying on clocks. The clock of the partitioned leader runs at a fifth of
// the normal rate, so that its lease and its check-quorum end far too late; reads must not depend on either.
func TestReadIndexNeedsNoClock(t *testing.T) {
	checkProperty(t, 15, func(t *rapid.T) {
		c := sim.New(sim.Options{
			Seed: rapid.Uint64().Draw(t, "seed"), Voters: sim.Members(3), Network: sim.DefaultNetwork,
			ClockRates: map[string]float64{"a": 0.2}, ClockDriftUnbounded: true,
		})
		c.NewClient("x")
		c.Run(3 * time.Second)
		if l := c.Leader(); l != nil && l.Name != "a" {
			_ = l.TransferLeadership(c.Server("a").ID)
		}
		c.Run(c.Now() + 500*time.Millisecond)
		c.SetServerLinksCut("a", true, true, true)
		for range 40 {
			for _, s := range c.Servers() {
				s.Read()
			}
			c.Run(c.Now() + time.Duration(rapid.IntRange(1, 100).Draw(t, "pause ms"))*time.Millisecond)
		}
		c.SetServerLinksCut("a", true, true, false)
		c.Run(c.Now() + 2*time.Second)
		if err := c.Err(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against two disjoint sets of members that both win a vote during a membership change: a set that wins in the
// joint configuration and one that wins in the old or the new configuration must have a member in common.
func TestNeighboringConfigurationsOverlap(t *testing.T) {
	// The IDs of the new voters go up to 10: at most 5 voters, shifted by at most 5.
	const maxMembers = 10
	checkProperty(t, 60, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "old voters")
		m := rapid.IntRange(1, 5).Draw(t, "new voters")
		shift := rapid.IntRange(0, 5).Draw(t, "shift")
		old, next := sim.Members(n), sim.Members(m + shift)[shift:]
		joint := raft.Configuration{Voters: next, Outgoing: old}
		for _, neighbor := range []raft.Configuration{{Voters: old}, {Voters: next}} {
			for first := range uint(1 << maxMembers) {
				second := ^first
				if raft.WinsVote(joint, first) && raft.WinsVote(neighbor, second) {
					t.Fatalf("joint configuration %v is won by members %b, configuration %v by the others", joint, first, neighbor)
				}
			}
		}
	})
}
