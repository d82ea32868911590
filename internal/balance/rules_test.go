package balance

import (
	"math"
	"time"
)

// ruleMeasured is the state that the simulated rules have of a server on one VM.
type ruleMeasured struct {
	latency, avoidUntil time.Duration
	failures            int
	sends               []time.Duration // of the requests in flight
	answered            int             // load that the last answer stated, at answeredAt
	answeredAt          time.Duration
}

// measuredRule is a rule that was compared and not kept.
type measuredRule struct {
	vm      int
	servers []ruleMeasured
}

// keptRule is the rule of this package.
type keptRule struct {
	tracker *Tracker
	seen    time.Duration
}

func newSimRule(s *sim, vm int) simRule {
	domain := string(rune('a' + vm%simDomains))
	if s.rule == "kept" {
		return &keptRule{tracker: NewTracker("vm", domain, true), seen: -1}
	}
	r := &measuredRule{vm: vm, servers: make([]ruleMeasured, len(s.servers))}
	for i := range r.servers {
		r.servers[i].latency = 20 * time.Millisecond
	}
	return r
}

func (r *keptRule) choose(s *sim, vm int, refusals []int) int {
	snap := s.snapshots[0]
	if current := s.age == 0; current || snap.at != r.seen {
		r.seen = snap.at
		for i := range s.servers {
			others := snap.load[i] - snap.own[vm][i]
			at := snap.at
			if current {
				others, at = s.servers[i].inFlight-s.own[vm][i], s.now
			}
			if !s.servers[i].silent {
				r.tracker.counts[Key(s.ids[i].ID)] = counted{others: others, at: at, current: s.now, service: time.Duration(float64(s.work) / s.servers[i].speed)}
			}
		}
	}
	var list []Candidate
	var index []int
	for i, c := range s.ids {
		if refusals[i] == 0 {
			list, index = append(list, c), append(index, i)
		}
	}
	chosen, _ := r.tracker.Choose(list, s.now, s.rng.Float64)
	if chosen < 0 {
		return s.rng.IntN(len(s.ids)) // all have refused
	}
	return index[chosen]
}

func (r *keptRule) start(s *sim, i int) { r.tracker.Start(s.ids[i].ID) }

func (r *keptRule) end(s *sim, i int, took time.Duration, ok bool) {
	result := Answered
	if !ok {
		result = Refused
	}
	if s.servers[i].fails {
		result = Failed
	}
	r.tracker.End(s.ids[i].ID, s.now, took, result)
}

func (r *measuredRule) start(s *sim, i int) { r.servers[i].sends = append(r.servers[i].sends, s.now) }

func (r *measuredRule) end(s *sim, i int, took time.Duration, ok bool) {
	v := &r.servers[i]
	at := len(v.sends) - 1
	for k, sent := range v.sends {
		if ok && sent == s.now-took {
			at = k
			break
		}
	}
	v.sends = append(v.sends[:at], v.sends[at+1:]...)
	v.answered, v.answeredAt = s.servers[i].inFlight, s.now
	if ok {
		v.failures, v.avoidUntil = 0, 0
		v.latency += time.Duration(0.15 * float64(took-v.latency))
		return
	}
	v.failures++
	v.avoidUntil = s.now + min(250*time.Millisecond<<min(v.failures-1, 6), 4*time.Second)
}

// since returns the number of requests in flight that were sent after a time.
func (m *ruleMeasured) since(at time.Duration) (n int) {
	for _, sent := range m.sends {
		if sent > at {
			n++
		}
	}
	return n
}

func (r *measuredRule) choose(s *sim, _ int, refusals []int) int {
	snap := s.snapshots[0]
	cost := func(i int) float64 {
		v, slots := &r.servers[i], float64(s.ids[i].Slots)
		load := float64(snap.load[i])
		since := float64(v.since(snap.at))
		if s.age == 0 {
			load, since = float64(s.servers[i].inFlight), 0
		}
		c := 0.0
		switch s.rule {
		case "present": // as in package forward
			c = (v.latency + time.Duration(len(v.sends))*15*time.Millisecond).Seconds()
			if i%simDomains != r.vm%simDomains {
				c += 0.004
			}
		case "own sends":
			c = (load + since + 1) / slots
		case "wait":
			c = (load + since + 1) / slots * v.latency.Seconds()
		case "two choices":
			c = load / slots
		case "answers":
			c = (float64(v.answered+v.since(v.answeredAt)) + 1) / slots
		case "shares": // leader's counts as shares of the requests, valid until the next
			c = -math.Log(1-s.rng.Float64()) / max(0.1, slots-load)
		}
		if i%simDomains != r.vm%simDomains && s.rule != "present" {
			c += 10
		}
		if v.avoidUntil > s.now {
			c += 100
		}
		return c + 1000*float64(refusals[i])
	}
	best, bestCost := -1, math.Inf(1)
	if s.rule == "two choices" || s.rule == "answers" || s.rule == "wait" {
		for range 2 {
			i := r.vm%simDomains + simDomains*s.rng.IntN(len(s.servers)/simDomains)
			if c := cost(i); c < bestCost {
				best, bestCost = i, c
			}
		}
		if bestCost < 100 {
			return best
		}
	}
	for i := range r.servers {
		if c := cost(i); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
