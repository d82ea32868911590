package policy

import (
	"slices"
	"time"
)

const (
	// ewmaWeight is the weight of a new measurement.
	ewmaWeight = 0.2
	// probeWeight is the weight of a measurement of an ejected server, so that a recovered one returns soon.
	probeWeight = 0.6
	// ejectFactor is how many times slower than the median a server must be to be ejected.
	ejectFactor = 3
	// maxEjectedPercent of a pool may be ejected at one time.
	maxEjectedPercent = 30
	// minSamples are needed before a server is judged.
	minSamples = 3
	// ProbeInterval is the time between requests to an ejected server.
	ProbeInterval = time.Second
)

// Measurement is what a finished attempt tells of its server. Zero fields were not measured.
type Measurement struct {
	TimeToFirstToken time.Duration // or the time to the answer of a plain service
	DecodeSpeed      float64       // tokens a second after the first token of a stream
	OverallSpeed     float64       // tokens a second over a whole answer, the time to first token included
}

// ServerStats holds what this VM measured of one server, as EWMAs. The zero value has no measurement.
type ServerStats struct {
	TimeToFirstToken float64 // seconds
	DecodeSpeed      float64
	OverallSpeed     float64
	Samples          int
	LongestWait      float64 // seconds that the oldest request without a first token has waited
	RelativeSpeed    float64 // speed relative to the pool's median, set by Judge
	Ejected          bool
	NextProbe        time.Duration
}

// AddMeasurement adds a measurement.
func (s *ServerStats) AddMeasurement(m Measurement) {
	weight := ewmaWeight
	if s.Ejected {
		weight = probeWeight
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

// Admits reports whether the server may receive a job at this time: an ejected one only a probe a second.
func (s *ServerStats) Admits(now time.Duration) bool { return !s.Ejected || now >= s.NextProbe }

// RecordDispatch notes a dispatch, which is a probe if the server is ejected.
func (s *ServerStats) RecordDispatch(now time.Duration) {
	if s.Ejected {
		s.NextProbe = now + ProbeInterval
	}
}

// EjectionChange tells what Judge changed.
type EjectionChange struct {
	Index   int
	Ejected bool // false: readmitted
}

// EjectOutliers compares the servers of one pool with the pool's medians, sets their relative speeds, ejects slow ones
// and readmits those that recovered. It runs off the path of requests.
func EjectOutliers(pool []*ServerStats, now time.Duration) []EjectionChange {
	m := medians(pool)
	slow := make([]bool, len(pool))
	for i, s := range pool {
		s.RelativeSpeed = relative(s, &m)
		slow[i] = s.Samples >= minSamples && s.RelativeSpeed > 0 && s.RelativeSpeed*ejectFactor < 1
	}
	var out []EjectionChange
	ejected := 0
	for i, s := range pool {
		if s.Ejected && !slow[i] {
			s.Ejected = false
			out = append(out, EjectionChange{i, false})
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
		out = append(out, EjectionChange{i, true})
		ejected++
	}
	return out
}

// slowestFirst returns the slow servers that are not ejected.
func slowestFirst(pool []*ServerStats, slow []bool) []int {
	var out []int
	for i := range pool {
		if slow[i] && !pool[i].Ejected {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		switch {
		case pool[a].RelativeSpeed < pool[b].RelativeSpeed:
			return -1
		case pool[a].RelativeSpeed > pool[b].RelativeSpeed:
			return 1
		}
		return 0
	})
	return out
}

// relative is the lowest of the server's relative speeds; zero if none was measured.
func relative(s *ServerStats, m *ServerStats) float64 {
	out := 0.0
	for _, r := range [...]float64{
		ratio(m.TimeToFirstToken, max(s.TimeToFirstToken, s.LongestWait)),
		ratio(s.DecodeSpeed, m.DecodeSpeed),
		ratio(s.OverallSpeed, m.OverallSpeed),
	} {
		if r > 0 && (out == 0 || r < out) {
			out = r
		}
	}
	return out
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// medians returns the medians of the pool's measurements.
func medians(pool []*ServerStats) ServerStats {
	var first, speeds, whole []float64
	for _, s := range pool {
		if s.Samples < minSamples {
			continue
		}
		first = appendPositive(first, s.TimeToFirstToken)
		speeds = appendPositive(speeds, s.DecodeSpeed)
		whole = appendPositive(whole, s.OverallSpeed)
	}
	return ServerStats{TimeToFirstToken: median(first), DecodeSpeed: median(speeds), OverallSpeed: median(whole)}
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
