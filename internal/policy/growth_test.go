package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against VMs that start at the same moment and each take all free slots of a server: the request counts of
// the other VMs arrive only one window later.
func TestGrowthLimiterFillsServerOnceWithManyVMs(t *testing.T) {
	const vms, capacity, windows, seeds = 8, 8, 20, 50
	mostInFlight, filledRuns := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var limiters [vms]GrowthLimiter
		var inFlight, inFlightLastWindow [vms]int
		for w := range windows {
			now := time.Duration(w) * shareWindow
			for range capacity {
				for v := range vms {
					c := Candidate{InFlight: inFlight[v], Capacity: capacity, OthersInFlight: sumOf(inFlightLastWindow) - inFlightLastWindow[v], OtherVMs: vms - 1}
					if limiters[v].Admits(&c, TrainerLimit(&c)-c.InFlight, vms, now, rng) {
						inFlight[v]++
					}
				}
			}
			inFlightLastWindow = inFlight
			mostInFlight = max(mostInFlight, sumOf(inFlight))
		}
		if sumOf(inFlight) >= capacity-1 {
			filledRuns++
		}
	}
	// 7 slots are for trainers. As shares are random, the VMs together may take a few more than are free.
	if mostInFlight > capacity+4 {
		t.Errorf("%d rollouts on a server of %d slots", mostInFlight, capacity)
	}
	if filledRuns != seeds {
		t.Errorf("all trainer slots were in use at the end of %d of %d runs", filledRuns, seeds)
	}
}

// Guards against a VM that has to wait for the next window to reuse a slot that its own request released.
func TestGrowthLimiterAllowsRefillWithinWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var limiter GrowthLimiter
	c := Candidate{Capacity: 8}
	n := 0
	for limiter.Admits(&c, TrainerLimit(&c)-c.InFlight, 1, 0, rng) {
		c.InFlight++
		n++
	}
	if n != 7 {
		t.Fatalf("a single VM took %d slots, want 7", n)
	}
	c.InFlight--
	if !limiter.Admits(&c, TrainerLimit(&c)-c.InFlight, 1, shareWindow/2, rng) {
		t.Error("the slot of a finished request cannot be reused within the window")
	}
}

func sumOf(list [8]int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}
