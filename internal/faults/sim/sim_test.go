package sim

import (
	"testing"
	"time"
)

// Guards against a simulation in which cells pass without testing anything, because the cluster cannot elect a
// leader, accept edits, recover from the loss of its leader or replace a replica.
func TestClusterRecoversAfterLeaderLoss(t *testing.T) {
	for seed := range uint64(20) {
		c := New(Options{Seed: seed, Voters: Members(3), Network: DefaultNetwork, SnapshotEvery: 50})
		k := c.NewClient("x")
		c.Run(3 * time.Second)
		leader := c.Leader()
		if leader == nil || k.Accepted < 50 || !leader.HoldsLease() {
			t.Fatalf("seed %d: leader %v, %d edits accepted", seed, leader, k.Accepted)
		}
		leader.Kill(false)
		c.Run(6 * time.Second)
		if k.LastAccepted < 5*time.Second {
			t.Fatalf("seed %d: no edit accepted after the loss of the leader; last at %v", seed, k.LastAccepted)
		}
		leader.RestartEmpty()
		c.Replace(leader.Name, leader.Name)
		c.Run(9 * time.Second)
		if c.Err() != nil || c.Leader().Status().Configuration.Joint() || !c.Leader().Status().Configuration.IsVoter(leader.ID) {
			t.Fatalf("seed %d: %v, configuration %+v", seed, c.Err(), c.Leader().Status().Configuration)
		}
	}
}
