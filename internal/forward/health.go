package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"filbertledge/internal/balance"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
)

const (
	// initialBackoff is how long a server is avoided after a failure. It doubles with each consecutive failure, up
	// to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxBackoffDoublings limits the doublings, so that the shift does not overflow.
	maxBackoffDoublings = 6
	// latencyEWMAWeight is the weight of a new measurement in a server's mean latency, an exponentially weighted
	// moving average.
	latencyEWMAWeight = 0.15
	// remoteDomainPenalty is by how much a server in another failure domain must be faster to be preferred.
	remoteDomainPenalty = 4 * time.Millisecond
	// inFlightPenalty is added to the cost of a server for each request that this VM has in flight on it.
	inFlightPenalty = 15 * time.Millisecond
	// refusalPenalty is added to the cost of a server for each time that it refused the request.
	refusalPenalty = time.Second
	// missedAnnouncementsPenalty is added to the cost of a server whose announcements have stopped.
	missedAnnouncementsPenalty = 300 * time.Millisecond
	// backoffPenalty is added to the cost of a server that is avoided after a failure.
	backoffPenalty = time.Second
	// limitedPenalty is added to the cost of a server whose limit binds tightly. The few requests that it accepts are worth
	// most as second attempts and while the other servers are overloaded.
	limitedPenalty = 60 * time.Millisecond
	// initialLatency is the assumed latency of a server that has not been measured yet.
	initialLatency = 20 * time.Millisecond
	// maxTrackedServers is the number of tracked servers at which those without requests in flight are dropped.
	maxTrackedServers = 4096
)

// serverHealth is what this VM measured of one server.
type serverHealth struct {
	inFlight            int
	consecutiveFailures int
	avoidUntil          time.Duration // boot time until which the server is avoided
	meanLatency         time.Duration
}

// healthTracker records this VM's own measurements of the servers. They are needed beside the servers' announcements,
// which arrive late and say nothing about the network path from this VM.
type healthTracker struct {
	limit    func(server string) (perSecond float64, limited bool) // as in Limiter
	balancer *balance.Tracker                                      // nil if there is none

	mu      sync.Mutex
	servers map[string]*serverHealth
}

func newHealthTracker() *healthTracker {
	return &healthTracker{limit: noLimits{}.Limit, servers: map[string]*serverHealth{}}
}

func (h *healthTracker) entry(id string) *serverHealth {
	server := h.servers[id]
	if server == nil {
		if len(h.servers) >= maxTrackedServers {
			h.evictIdle()
		}
		server = &serverHealth{meanLatency: initialLatency}
		h.servers[id] = server
	}
	return server
}

func (h *healthTracker) evictIdle() {
	for id, server := range h.servers {
		if server.inFlight == 0 {
			delete(h.servers, id)
		}
	}
}

// choose returns the server with the lowest expected latency. refusals returns how often a server has refused the
// request, or -1 if the request must not be sent there. The cost model assumes a light load of short requests: all
// servers have free slots, and the choice must avoid those that are slow, have stopped announcing or are unreachable.
func (h *healthTracker) choose(servers []fleet.Server, domain string, now time.Duration, refusals func(id string) int) *fleet.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *fleet.Server
	var bestCost time.Duration
	for i := range servers {
		if cost, usable := h.cost(&servers[i], domain, now, refusals); usable && (best == nil || cost < bestCost) {
			best, bestCost = &servers[i], cost
		}
	}
	return best
}

// rankedServer is a server and its expected latency with its penalties.
type rankedServer struct {
	*fleet.Server
	cost time.Duration
}

// rank returns the usable servers, ordered as choose prefers them.
func (h *healthTracker) rank(servers []fleet.Server, domain string, now time.Duration, refusals func(id string) int) []rankedServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []rankedServer
	for i := range servers {
		if cost, usable := h.cost(&servers[i], domain, now, refusals); usable {
			out = append(out, rankedServer{&servers[i], cost})
		}
	}
	slices.SortStableFunc(out, func(a, b rankedServer) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// cost returns the expected latency of a server with its penalties, and whether the request may be sent there. The
// caller holds the mutex.
func (h *healthTracker) cost(server *fleet.Server, domain string, now time.Duration, refusals func(id string) int) (time.Duration, bool) {
	refusalCount := refusals(server.ID)
	if server.Leaving || refusalCount < 0 {
		return 0, false
	}
	entry := h.entry(server.ID)
	cost := entry.meanLatency + time.Duration(entry.inFlight)*inFlightPenalty + time.Duration(refusalCount)*refusalPenalty
	if server.FailureDomain != domain {
		cost += remoteDomainPenalty
	}
	if server.Silent {
		cost += missedAnnouncementsPenalty
	}
	if entry.avoidUntil > now {
		cost += backoffPenalty
	}
	if perSecond, limited := h.limit(server.ID); limited {
		// A limit binds if the slots can answer more requests.
		bound := 1 - perSecond*entry.meanLatency.Seconds()/float64(max(server.Slots, 1))
		cost += time.Duration(max(bound, 0) * float64(limitedPenalty))
	}
	return cost, true
}

func (h *healthTracker) recordStart(id string) {
	h.balancer.Start(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entry(id).inFlight++
}

// markOverdue makes choose avoid servers that have not responded before the hedge delay ended. A later response
// clears the mark.
func (h *healthTracker) markOverdue(ids []string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		server := h.entry(id)
		server.avoidUntil = max(server.avoidUntil, now+initialBackoff)
	}
}

// recordEnd records the result of an exchange. canceled is true if this VM ended the exchange itself.
func (h *healthTracker) recordEnd(id string, now, took time.Duration, result attemptResult, canceled bool) {
	h.balancer.End(id, now, took, balanceResult(result, canceled))
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entry(id)
	entry.inFlight--
	if result.err == nil && !result.response.NotRun {
		entry.consecutiveFailures, entry.avoidUntil = 0, 0
		entry.meanLatency += time.Duration(latencyEWMAWeight * float64(took-entry.meanLatency))
		return
	}
	if result.notSent && !canceled && errs.Is(result.err, errs.Canceled) {
		return // the permission to send the request ended, which says nothing about the server
	}
	if canceled {
		// Without a response, the time waited is a lower bound of the latency.
		entry.meanLatency = max(entry.meanLatency, took)
	}
	entry.consecutiveFailures++
	entry.avoidUntil = now + min(initialBackoff<<min(entry.consecutiveFailures-1, maxBackoffDoublings), maxBackoff)
}
