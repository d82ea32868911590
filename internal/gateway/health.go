package gateway

import (
	"sync"
	"time"

	"filbertledge/internal/fleet"
)

const (
	// firstBlock is how long a server is avoided after a failure; it doubles with each one in a row.
	firstBlock   = 250 * time.Millisecond
	longestBlock = 4 * time.Second
	// latencyWeight is the weight of a new measurement in a server's average latency.
	latencyWeight = 0.15
	// awayPenalty is what a server in another failure domain must be faster to be preferred.
	awayPenalty = 4 * time.Millisecond
	// queuePenalty is added for each request that this VM has in flight at the server.
	queuePenalty = 15 * time.Millisecond
	// assumedLatency is the latency of a server that has not been measured.
	assumedLatency = 20 * time.Millisecond
	// keptServers bounds the record of servers.
	keptServers = 4096
)

// observed is what this VM has seen of a server.
type observed struct {
	inFlight int
	failures int
	blocked  time.Duration // avoided until then
	latency  time.Duration
}

// health is this VM's own view of the servers; their announcements come late and do not tell about the path.
type health struct {
	mu      sync.Mutex
	servers map[string]*observed
}

func newHealth() *health { return &health{servers: map[string]*observed{}} }

func (h *health) of(id string) *observed {
	o := h.servers[id]
	if o == nil {
		if len(h.servers) >= keptServers {
			h.forget()
		}
		o = &observed{latency: assumedLatency}
		h.servers[id] = o
	}
	return o
}

func (h *health) forget() {
	for id, o := range h.servers {
		if o.inFlight == 0 {
			delete(h.servers, id)
		}
	}
}

// choose returns the server with the least expected wait. refusals returns how often a server has refused the
// request, or -1 if it must not be asked. It answers a light load of short requests: all servers have free slots,
// and what counts is to avoid those that are slow, silent or cut off.
func (h *health) choose(servers []fleet.Server, domain string, now time.Duration, refusals func(id string) int) *fleet.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *fleet.Server
	var bestCost time.Duration
	for i := range servers {
		v := &servers[i]
		refused := refusals(v.ID)
		if v.Leaving || refused < 0 {
			continue
		}
		o := h.of(v.ID)
		cost := o.latency + time.Duration(o.inFlight)*queuePenalty + time.Duration(refused)*time.Second
		if v.FailureDomain != domain {
			cost += awayPenalty
		}
		if v.Silent {
			cost += 300 * time.Millisecond
		}
		if o.blocked > now {
			cost += time.Second
		}
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

func (h *health) begin(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).inFlight++
}

// overdue avoids servers for a while that have not answered when they should have; an answer clears them.
func (h *health) overdue(ids []string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		o := h.of(id)
		o.blocked = max(o.blocked, now+firstBlock)
	}
}

// end takes the outcome of an exchange. gaveUp is true if this VM ended it.
func (h *health) end(id string, now, took time.Duration, o outcome, gaveUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.of(id)
	v.inFlight--
	if o.err == nil && !o.answer.NotRun {
		v.failures, v.blocked = 0, 0
		v.latency += time.Duration(latencyWeight * float64(took-v.latency))
		return
	}
	if gaveUp {
		// No answer came; the wait is a lower bound of the latency.
		v.latency = max(v.latency, took)
	}
	v.failures++
	v.blocked = now + min(firstBlock<<min(v.failures-1, 6), longestBlock)
}
