package policy

import (
	"math/rand/v2"
	"time"
)

// shareWindow is the time for which a VM's share of a server's free slots is fixed. It is slightly longer than the
// gossiped request counts of other VMs take to arrive.
const shareWindow = 300 * time.Millisecond

// MaxCompetingVMs limits the number of VMs between which a server's free slots are divided. It is the number of VMs of
// one failure domain.
const MaxCompetingVMs = 27

// GrowthLimiter limits how fast one VM takes the free slots of a server for trainer requests. VMs that start a step at
// the same moment all see the same free slots. Without the limiter, eight VMs that each took all of them sent eighteen
// trainer requests to a server with eight slots, and customer requests waited behind them in the engine's queue.
type GrowthLimiter struct {
	started     bool
	windowStart time.Duration
	maxInFlight int // limit on this VM's requests in flight until the window ends
}

// Admits reports whether one more request may be sent to the server. freeSlots is the number of slots that this VM
// considers free, competingVMs the number of VMs that may see the same slots. The shares are drawn so that all VMs
// together are expected to take freeSlots slots in a window.
func (g *GrowthLimiter) Admits(c *Candidate, freeSlots, competingVMs int, now time.Duration, rng *rand.Rand) bool {
	if !g.started || now-g.windowStart >= shareWindow {
		g.started, g.windowStart = true, now
		g.maxInFlight = c.InFlight + randomShare(freeSlots, competingVMs, rng)
	}
	return c.InFlight < g.maxInFlight
}

// randomShare returns the share of n slots for one of several VMs. The remainder of the division is given out at
// random, so that the expected sum of all shares is n.
func randomShare(n, vms int, rng *rand.Rand) int {
	if n <= 0 {
		return 0
	}
	vms = max(1, vms)
	share := n / vms
	if rng.IntN(vms) < n%vms {
		share++
	}
	return share
}
