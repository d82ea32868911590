package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is what the choice of a server knows of one server.
type Candidate struct {
	Eligible       bool // may receive this job now
	Local          bool // in the VM's own failure domain
	Cached         bool // probably holds the prefix of the job
	InFlight       int  // of this VM
	OthersInFlight int  // in flight from other VMs, as last heard
	OtherVMs       int  // other VMs with requests in flight
	ReportedLoad   int  // running and waiting, as the server reported
	ReportAge      time.Duration
	Capacity       int
	RelativeSpeed  float64 // relative to the pool's median; zero if not measured
}

const (
	// samplesPerChoice bounds the random samples until two eligible servers are found.
	samplesPerChoice = 12
	// scanLimit bounds the search when no sample is eligible, which keeps a decision under 5 microseconds.
	scanLimit = 128
	// remotePenalty weighs the latency between failure domains.
	remotePenalty = 1.25
	// cachedBonus is the part of the work that a cached prefix leaves.
	cachedBonus = 0.6
	// reportHalfLife discounts load reports by age.
	reportHalfLife = time.Second
	// maxSpeed and minSpeed bound the influence of one measurement.
	maxSpeed, minSpeed = 2, 0.05
)

// Score estimates how long a new job would take on a server, relative to the others. Lower is better.
func Score(c *Candidate) float64 {
	speed := c.RelativeSpeed
	if speed == 0 {
		speed = 1
	}
	speed = min(max(speed, minSpeed), maxSpeed)
	score := (1 + load(c)) / (float64(max(1, c.Capacity)) * speed)
	if !c.Local {
		score *= remotePenalty
	}
	if c.Cached && load(c) < float64(c.Capacity) {
		score *= cachedBonus
	}
	return score
}

// load counts this VM's own requests at once, and the others' by the higher of gossip and aged report.
func load(c *Candidate) float64 {
	reported := max(0, float64(c.ReportedLoad-c.InFlight))
	discounted := reported * math.Exp2(-float64(c.ReportAge)/float64(reportHalfLife))
	return float64(c.InFlight) + max(float64(c.OthersInFlight), discounted)
}

// InFlightLimit returns how many requests this VM may have in flight on a server: what the others leave of capacity
// + 1, but at least an equal part.
func InFlightLimit(c *Candidate) int {
	depth := c.Capacity + 1
	return max(depth-c.OthersInFlight, depth/(c.OtherVMs+1), 1)
}

// reservedPart of a server's slots is kept for short work.
const reservedPart = 8

// LongJobLimit is the limit for work that is not short while short work is about: it leaves a part of the slots
// free. Small servers reserve nothing.
func LongJobLimit(limit int) int { return limit - limit/reservedPart }

// TrainerLimit is the limit for trainers' work on a server that also serves customers. It leaves slots free at all
// times: a customer who comes after a pause would otherwise wait for a long rollout to end.
func TrainerLimit(c *Candidate) int {
	slots := max(1, c.Capacity-max(1, c.Capacity/reservedPart))
	return max(slots-c.OthersInFlight, slots/(c.OtherVMs+1))
}

// ChooseServer returns the index of a server by power of two choices, or -1 if none is eligible among those looked
// at. at describes the server at an index; it is called at most samplesPerChoice + scanLimit times.
func ChooseServer(n int, rng *rand.Rand, at func(i int, c *Candidate)) int {
	if n == 0 {
		return -1
	}
	best, second, score := -1, -1, 0.0
	var c Candidate
	for range samplesPerChoice {
		i := rng.IntN(n)
		if i == best {
			continue
		}
		c = Candidate{}
		at(i, &c)
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
	return scan(n, rng, at)
}

// scan looks at servers in order from a random start and takes the best of the eligible ones.
func scan(n int, rng *rand.Rand, at func(i int, c *Candidate)) int {
	start := rng.IntN(n)
	best, score := -1, 0.0
	var c Candidate
	for k := range min(n, scanLimit) {
		i := (start + k) % n
		c = Candidate{}
		at(i, &c)
		if !c.Eligible {
			continue
		}
		if s := Score(&c); best < 0 || s < score {
			best, score = i, s
		}
	}
	return best
}
