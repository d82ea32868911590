package policy

import (
	"math/rand/v2"
	"time"
)

// growthWindow is a little longer than counts of other VMs' requests take to arrive.
const growthWindow = 300 * time.Millisecond

// MaxCompetingVMs bounds the VMs among which a server's free slots are divided: the VMs of one failure domain.
const MaxCompetingVMs = 27

// GrowthLimiter bounds how fast one VM takes the free slots of a server for trainers' work. VMs that start a step at the
// same moment all see the same free slots; eight VMs that each took all of them queued eighteen rollouts on a
// server of eight slots, and customers waited behind them in the engine.
type GrowthLimiter struct {
	started bool
	since   time.Duration
	allowed int // requests of this VM in flight, until the window ends
}

// Admits reports whether one more request may go to the server. free is how many slots look free, contenders how
// many VMs may see them. The expected growth of all VMs in a window is the number of free slots.
func (g *GrowthLimiter) Admits(c *Candidate, free, contenders int, now time.Duration, rng *rand.Rand) bool {
	if !g.started || now-g.since >= growthWindow {
		g.started, g.since = true, now
		g.allowed = c.InFlight + part(free, contenders, rng)
	}
	return c.InFlight < g.allowed
}

// part divides n between the contenders; the remainder goes by chance.
func part(n, contenders int, rng *rand.Rand) int {
	if n <= 0 {
		return 0
	}
	contenders = max(1, contenders)
	share := n / contenders
	if rng.IntN(contenders) < n%contenders {
		share++
	}
	return share
}
