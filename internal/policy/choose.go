package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate describes one server to Score and ChooseServer.
type Candidate struct {
	Eligible       bool // may receive the job now
	Local          bool // in the same failure domain as this VM
	Cached         bool // its engine probably has the job's prompt prefix in its cache
	InFlight       int  // requests of this VM
	OthersInFlight int  // requests of other VMs, from their last gossip message
	OtherVMs       int  // number of other VMs with requests in flight
	ReportedLoad   int  // running and waiting requests in the server's last load report
	ReportAge      time.Duration
	Capacity       int
	RelativeSpeed  float64 // relative to the pool's median; zero if not measured
}

const (
	// maxRandomSamples limits the random samples that ChooseServer draws to find two eligible servers.
	maxRandomSamples = 12
	// maxScannedServers limits the linear scan that follows if no sample is eligible. It keeps a decision under
	// 5 microseconds.
	maxScannedServers = 128
	// remoteScoreFactor raises the score of a server in another failure domain for the network latency to it.
	remoteScoreFactor = 1.25
	// cachedScoreFactor is the fraction of the work that remains if the server has the prompt prefix in its cache.
	cachedScoreFactor = 0.6
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = time.Second
	// maxRelativeSpeed and minRelativeSpeed clamp the measured speed, to limit the influence of a single measurement.
	maxRelativeSpeed, minRelativeSpeed = 2, 0.05
)

// Score estimates how long a new job would take on a server, relative to other servers. Lower is better.
func Score(c *Candidate) float64 {
	speed := c.RelativeSpeed
	if speed == 0 {
		speed = 1
	}
	speed = min(max(speed, minRelativeSpeed), maxRelativeSpeed)
	score := (1 + estimatedLoad(c)) / (float64(max(1, c.Capacity)) * speed)
	if !c.Local {
		score *= remoteScoreFactor
	}
	if c.Cached && estimatedLoad(c) < float64(c.Capacity) {
		score *= cachedScoreFactor
	}
	return score
}

// estimatedLoad is the number of requests on the server. This VM's own requests are known exactly. Those of other VMs
// are the larger of the gossiped count and of the server's load report, discounted by its age.
func estimatedLoad(c *Candidate) float64 {
	othersReported := max(0, float64(c.ReportedLoad-c.InFlight))
	discounted := othersReported * math.Exp2(-float64(c.ReportAge)/float64(reportHalfLife))
	return float64(c.InFlight) + max(float64(c.OthersInFlight), discounted)
}

// InFlightLimit returns how many requests this VM may have in flight on a server: the server's capacity plus one, less
// the requests of other VMs, but at least an equal share and at least one.
func InFlightLimit(c *Candidate) int {
	depth := c.Capacity + 1
	return max(depth-c.OthersInFlight, depth/(c.OtherVMs+1), 1)
}

// reservedSlotDivisor sets the number of reserved slots: one in reservedSlotDivisor of a server's slots.
const reservedSlotDivisor = 8

// LongJobLimit returns the part of limit that long jobs may use while short jobs arrive; the rest stays free for short
// jobs. A limit below reservedSlotDivisor reserves no slot.
func LongJobLimit(limit int) int { return limit - limit/reservedSlotDivisor }

// TrainerLimit returns how many trainer requests this VM may have in flight on a server that also serves customers. It
// always leaves slots free: otherwise, a customer request that arrives after a quiet period would wait until a long
// rollout ends.
func TrainerLimit(c *Candidate) int {
	slots := max(1, c.Capacity-max(1, c.Capacity/reservedSlotDivisor))
	return max(slots-c.OthersInFlight, slots/(c.OtherVMs+1))
}

// ChooseServer returns the index of a server by the power of two choices: it draws two random eligible servers and
// takes the one with the lower score. If no examined server is eligible, it returns -1. describe fills in the candidate
// at an index; it is called at most maxRandomSamples + maxScannedServers times.
func ChooseServer(n int, rng *rand.Rand, describe func(i int, c *Candidate)) int {
	if n == 0 {
		return -1
	}
	best, second, score := -1, -1, 0.0
	var c Candidate
	for range maxRandomSamples {
		i := rng.IntN(n)
		if i == best {
			continue
		}
		c = Candidate{}
		describe(i, &c)
		if !c.Eligible {
			continue
		}
		if s := Score(&c); best < 0 || s < score {
			best, second, score = i, best, s
		} else {
			second = i
		}
		if second >= 0 {
			return best
		}
	}
	if best >= 0 {
		return best
	}
	return scanFromRandomStart(n, rng, describe)
}

// scanFromRandomStart examines up to maxScannedServers consecutive servers from a random start and returns the eligible
// one with the lowest score, or -1.
func scanFromRandomStart(n int, rng *rand.Rand, describe func(i int, c *Candidate)) int {
	start := rng.IntN(n)
	best, score := -1, 0.0
	var c Candidate
	for offset := range min(n, maxScannedServers) {
		i := (start + offset) % n
		c = Candidate{}
		describe(i, &c)
		if !c.Eligible {
			continue
		}
		if s := Score(&c); best < 0 || s < score {
			best, score = i, s
		}
	}
	return best
}
