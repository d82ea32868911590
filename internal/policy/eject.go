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

// Stats holds what this VM measured of one server. The zero value has no measurement.
type Stats struct {
	FirstToken float64 // EWMA of the time to first token in seconds
	Speed      float64 // EWMA of tokens a second of one request; zero for plain services
	Samples    int
	Relative   float64 // speed relative to the pool's median, set by Judge
	Ejected    bool
	NextProbe  time.Duration
}

// Measured adds the time to first token and the tokens a second of a finished attempt. A speed of zero means
// that it was not measured.
func (s *Stats) Measured(firstToken time.Duration, speed float64) {
	weight := ewmaWeight
	if s.Ejected {
		weight = probeWeight
	}
	s.FirstToken = ewma(s.FirstToken, firstToken.Seconds(), weight)
	if speed > 0 {
		s.Speed = ewma(s.Speed, speed, weight)
	}
	s.Samples++
}

func ewma(old, sample, weight float64) float64 {
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
	firstToken, speed := medians(pool)
	slow := make([]bool, len(pool))
	for i, s := range pool {
		s.Relative = relative(s, firstToken, speed)
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

// relative is the lower of the server's two relative speeds; zero if it was not measured.
func relative(s *Stats, firstToken, speed float64) float64 {
	out := 0.0
	if s.FirstToken > 0 && firstToken > 0 {
		out = firstToken / s.FirstToken
	}
	if s.Speed > 0 && speed > 0 && (out == 0 || s.Speed/speed < out) {
		out = s.Speed / speed
	}
	return out
}

func medians(pool []*Stats) (firstToken, speed float64) {
	var times, speeds []float64
	for _, s := range pool {
		if s.Samples < minSamples {
			continue
		}
		times = append(times, s.FirstToken)
		if s.Speed > 0 {
			speeds = append(speeds, s.Speed)
		}
	}
	return median(times), median(speeds)
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
