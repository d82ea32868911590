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
	// ProbeEvery is the time between requests to an ejected server.
	ProbeEvery = time.Second
)

// Measurement is what a finished attempt tells of its server. Zero fields were not measured.
type Measurement struct {
	FirstToken time.Duration // or the time to the answer of a plain service
	Speed      float64       // tokens a second after the first token of a stream
	WholeSpeed float64       // tokens a second over a whole answer, the time to first token included
}

// Stats holds what this VM measured of one server, as EWMAs. The zero value has no measurement.
type Stats struct {
	FirstToken float64 // seconds
	Speed      float64
	WholeSpeed float64
	Samples    int
	Pending    float64 // seconds that the oldest request without a first token has waited
	Relative   float64 // speed relative to the pool's median, set by Judge
	Ejected    bool
	NextProbe  time.Duration
}

// Measured adds a measurement.
func (s *Stats) Measured(m Measurement) {
	weight := ewmaWeight
	if s.Ejected {
		weight = probeWeight
	}
	s.FirstToken = ewma(s.FirstToken, m.FirstToken.Seconds(), weight)
	s.Speed = ewma(s.Speed, m.Speed, weight)
	s.WholeSpeed = ewma(s.WholeSpeed, m.WholeSpeed, weight)
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
func (s *Stats) Admits(now time.Duration) bool { return !s.Ejected || now >= s.NextProbe }

// Started notes a dispatch, which is a probe if the server is ejected.
func (s *Stats) Started(now time.Duration) {
	if s.Ejected {
		s.NextProbe = now + ProbeEvery
	}
}

// Verdict tells what Judge changed.
type Verdict struct {
	Index   int
	Ejected bool // false: readmitted
}

// Judge compares the servers of one pool with the pool's medians, sets their relative speeds, ejects slow ones
// and readmits those that recovered. It runs off the path of requests.
func Judge(pool []*Stats, now time.Duration) []Verdict {
	m := medians(pool)
	slow := make([]bool, len(pool))
	for i, s := range pool {
		s.Relative = relative(s, &m)
		slow[i] = s.Samples >= minSamples && s.Relative > 0 && s.Relative*ejectFactor < 1
	}
	var out []Verdict
	ejected := 0
	for i, s := range pool {
		if s.Ejected && !slow[i] {
			s.Ejected = false
			out = append(out, Verdict{i, false})
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
		pool[i].Ejected, pool[i].NextProbe = true, now+ProbeEvery
		out = append(out, Verdict{i, true})
		ejected++
	}
	return out
}

// slowestFirst returns the slow servers that are not ejected.
func slowestFirst(pool []*Stats, slow []bool) []int {
	var out []int
	for i := range pool {
		if slow[i] && !pool[i].Ejected {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		switch {
		case pool[a].Relative < pool[b].Relative:
			return -1
		case pool[a].Relative > pool[b].Relative:
			return 1
		}
		return 0
	})
	return out
}

// relative is the lowest of the server's relative speeds; zero if none was measured.
func relative(s *Stats, m *Stats) float64 {
	out := 0.0
	for _, r := range [...]float64{
		ratio(m.FirstToken, max(s.FirstToken, s.Pending)),
		ratio(s.Speed, m.Speed),
		ratio(s.WholeSpeed, m.WholeSpeed),
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
func medians(pool []*Stats) Stats {
	var first, speeds, whole []float64
	for _, s := range pool {
		if s.Samples < minSamples {
			continue
		}
		first = appendPositive(first, s.FirstToken)
		speeds = appendPositive(speeds, s.Speed)
		whole = appendPositive(whole, s.WholeSpeed)
	}
	return Stats{FirstToken: median(first), Speed: median(speeds), WholeSpeed: median(whole)}
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
