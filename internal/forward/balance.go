package forward

import (
	"fmt"
	"time"

	"filbertledge/internal/balance"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
)

// chooseByLoad returns the server that the balancer chooses among those that can be used and are not in trouble. It returns
// nil without an enabled balancer, if there is no such server, or if one of the servers states a limit: the rule of choose
// then applies.
func (f *forwardState) chooseByLoad(servers []fleet.Server, now time.Duration) *fleet.Server {
	balancer := f.forwarder.opts.Balancer
	if !balancer.Enabled() {
		return nil
	}
	f.basis = ", chosen by latency"
	var candidates []balance.Candidate
	var usable []*fleet.Server
	for i := range servers {
		s := &servers[i]
		if f.forwarder.isLimited(s.ID) {
			return nil
		}
		if s.Leaving || s.Silent || f.refusalsOf(s.ID) != 0 || f.forwarder.health.isAvoided(s.ID, now) {
			continue
		}
		candidates = append(candidates, balance.Candidate{ID: s.ID, FailureDomain: s.FailureDomain, Slots: s.Slots})
		usable = append(usable, s)
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen, known := balancer.Choose(candidates, now, balance.Random)
	f.basis = ", chosen by the requests of this VM alone"
	if known.Counted > 0 {
		f.basis = fmt.Sprintf(", chosen by the load of %d of %d servers %s ago", known.Counted, len(candidates), known.Age.Round(time.Millisecond))
	}
	return usable[chosen]
}

// isAvoided reports whether a server is avoided after a failure, or because a response is overdue. The latter says nothing of
// a server whose responses take longer than the shortest hedge delay on average.
func (h *healthTracker) isAvoided(id string, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[id]
	return s != nil && s.avoidUntil > now && (s.consecutiveFailures > 0 || s.meanLatency < minHedgeDelay)
}

// balanceResult returns what the result of an attempt tells of its server. A signed status 500 counts as a failure: a
// server that fails at once is not fast.
func balanceResult(result attemptResult, canceled bool) balance.Result {
	switch {
	case canceled, result.notSent && errs.Is(result.err, errs.Canceled):
		return balance.Canceled
	case result.acceptable():
		return balance.Answered
	case result.err == nil && result.response.NotRun:
		return balance.Refused
	}
	return balance.Failed
}
