package policy

import (
	"slices"
	"time"
)

const (
	// ewmaWeight is the weight of a new measurement in the exponentially weighted moving averages (EWMAs).
	ewmaWeight = 0.2
	// probeEWMAWeight replaces ewmaWeight while a server is ejected. It is higher, so that a recovered server is
	// readmitted after a few probes.
	probeEWMAWeight = 0.6
	// outlierFactor is how many times slower than the pool's median a server must be to be ejected.
	outlierFactor = 3
	// maxEjectedPercent limits the part of a pool that is ejected at any time.
	maxEjectedPercent = 30
	// minSamples is the number of measurements below which a server is neither ejected nor part of the medians.
	minSamples = 3
	// ProbeInterval is the time between two requests to an ejected server, which probe whether it has recovered.
	ProbeInterval = time.Second
)

// Measurement holds what one attempt measured of its server. Fields that are zero were not measured.
type Measurement struct {
	TimeToFirstToken time.Duration // for a service without a model: the time to the response
	DecodeSpeed      float64       // tokens per second after the first token of a stream
	OverallSpeed     float64       // tokens per second over a whole response, including the time to first token
}

// ServerStats holds what this VM measured of one server. TimeToFirstToken, DecodeSpeed and OverallSpeed are EWMAs of
// the fields of Measurement; zero means not measured.
type ServerStats struct {
	TimeToFirstToken float64 // seconds
	DecodeSpeed      float64
	OverallSpeed     float64
	Samples          int
	LongestWait      float64 // seconds that the oldest stream in flight has waited for its first token
	RelativeSpeed    float64 // speed relative to the pool's median, set by EjectOutliers
	Ejected          bool
	NextProbe        time.Duration
}

// AddMeasurement includes a measurement in the averages.
func (s *ServerStats) AddMeasurement(m Measurement) {
	weight := ewmaWeight
	if s.Ejected {
		weight = probeEWMAWeight
	}
	s.TimeToFirstToken = ewma(s.TimeToFirstToken, m.TimeToFirstToken.Seconds(), weight)
	s.DecodeSpeed = ewma(s.DecodeSpeed, m.DecodeSpeed, weight)
	s.OverallSpeed = ewma(s.OverallSpeed, m.OverallSpeed, weight)
	s.Samples++
}

func ewma(old, sample, weight float64) float64 {
	if sample <= 0 {
		return old
	}
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

// Admits reports whether the server may receive a job now. An ejected server gets one request per ProbeInterval.
func (s *ServerStats) Admits(now time.Duration) bool { return !s.Ejected || now >= s.NextProbe }

// RecordDispatch records that a request is sent to the server. If the server is ejected, the request is a probe.
func (s *ServerStats) RecordDispatch(now time.Duration) {
	if s.Ejected {
		s.NextProbe = now + ProbeInterval
	}
}

// EjectionChange reports that EjectOutliers ejected or readmitted the server at Index.
type EjectionChange struct {
	Index   int
	Ejected bool // false if the server was readmitted
}

// EjectOutliers compares the servers of one pool with the pool's medians. It sets their relative speeds, ejects slow
// servers, the slowest first, and readmits those that recovered. It is called periodically, not for each request.
func EjectOutliers(pool []*ServerStats, now time.Duration) []EjectionChange {
	poolMedians := medians(pool)
	slow := make([]bool, len(pool))
	for i, s := range pool {
		s.RelativeSpeed = relativeSpeed(s, &poolMedians)
		slow[i] = s.Samples >= minSamples && s.RelativeSpeed > 0 && s.RelativeSpeed*outlierFactor < 1
	}
	var changes []EjectionChange
	ejected := 0
	for i, s := range pool {
		if s.Ejected && !slow[i] {
			s.Ejected = false
			changes = append(changes, EjectionChange{i, false})
		}
		if s.Ejected {
			ejected++
		}
	}
	allowed := len(pool) * maxEjectedPercent / 100
	for _, i := range slowestFirst(pool, slow) {
		if ejected >= allowed {
			break
		}
		pool[i].Ejected, pool[i].NextProbe = true, now+ProbeInterval
		changes = append(changes, EjectionChange{i, true})
		ejected++
	}
	return changes
}

// slowestFirst returns the indexes of the slow servers that are not ejected yet, ordered by speed.
func slowestFirst(pool []*ServerStats, slow []bool) []int {
	var indexes []int
	for i := range pool {
		if slow[i] && !pool[i].Ejected {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		switch {
		case pool[a].RelativeSpeed < pool[b].RelativeSpeed:
			return -1
		case pool[a].RelativeSpeed > pool[b].RelativeSpeed:
			return 1
		}
		return 0
	})
	return indexes
}

// relativeSpeed returns the lowest of the server's speeds relative to the medians, or zero if none was measured.
func relativeSpeed(s *ServerStats, poolMedians *ServerStats) float64 {
	lowest := 0.0
	for _, r := range [...]float64{
		ratio(poolMedians.TimeToFirstToken, max(s.TimeToFirstToken, s.LongestWait)),
		ratio(s.DecodeSpeed, poolMedians.DecodeSpeed),
		ratio(s.OverallSpeed, poolMedians.OverallSpeed),
	} {
		if r > 0 && (lowest == 0 || r < lowest) {
			lowest = r
		}
	}
	return lowest
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// medians returns the medians over the servers with at least minSamples measurements.
func medians(pool []*ServerStats) ServerStats {
	var firstTokenTimes, decodeSpeeds, overallSpeeds []float64
	for _, s := range pool {
		if s.Samples < minSamples {
			continue
		}
		firstTokenTimes = appendPositive(firstTokenTimes, s.TimeToFirstToken)
		decodeSpeeds = appendPositive(decodeSpeeds, s.DecodeSpeed)
		overallSpeeds = appendPositive(overallSpeeds, s.OverallSpeed)
	}
	return ServerStats{TimeToFirstToken: median(firstTokenTimes), DecodeSpeed: median(decodeSpeeds), OverallSpeed: median(overallSpeeds)}
}

func appendPositive(list []float64, v float64) []float64 {
	if v > 0 {
		return append(list, v)
	}
	return list
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
