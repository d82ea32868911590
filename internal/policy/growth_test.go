package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against VMs that start at the same moment and each take all free slots of a server. The counts of the
// other VMs arrive with a delay of one window.
func TestGrowthOfManyVMsFillsServerOnce(t *testing.T) {
	const vms, capacity, windows, seeds = 8, 8, 20, 50
	most, filled := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var growth [vms]GrowthLimiter
		var inFlight, seen [vms]int
		for w := range windows {
			now := time.Duration(w) * growthWindow
			for range capacity {
				for v := range vms {
					c := Candidate{InFlight: inFlight[v], Capacity: capacity, OthersInFlight: sum(seen) - seen[v], OtherVMs: vms - 1}
					if growth[v].Admits(&c, TrainerLimit(&c)-c.InFlight, vms, now, rng) {
						inFlight[v]++
					}
				}
			}
			seen = inFlight
			most = max(most, sum(inFlight))
		}
		if sum(inFlight) >= capacity-1 {
			filled++
		}
	}
	// 7 slots are for trainers; by chance a window may give out a few more than are free.
	if most > capacity+4 {
		t.Errorf("%d rollouts on a server of %d slots", most, capacity)
	}
	if filled != seeds {
		t.Errorf("the slots were filled in %d of %d runs", filled, seeds)
	}
}

// Guards against a VM that cannot refill its own slots within a window.
func TestGrowthAllowsRefill(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var g GrowthLimiter
	c := Candidate{Capacity: 8}
	n := 0
	for g.Admits(&c, TrainerLimit(&c)-c.InFlight, 1, 0, rng) {
		c.InFlight++
		n++
	}
	if n != 7 {
		t.Fatalf("a single VM took %d slots, want 7", n)
	}
	c.InFlight--
	if !g.Admits(&c, TrainerLimit(&c)-c.InFlight, 1, growthWindow/2, rng) {
		t.Error("the slot of a finished request cannot be taken again")
	}
}

func sum(list [8]int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}
