package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simQueue     = 24 // requests that a server queues before it refuses
	simRefusals  = 6  // refusals after which a VM gives up, as in package forward
	simDomains   = 3
	simSnapshots = 100 * time.Millisecond // time between two reports, if they are not current
)

type simCase struct {
	vms, servers int
	work, age    time.Duration
	utilization  float64
	rule         string
}

type simResult struct {
	uneven     float64 // highest share of time, over the servers, in which one is full while another of its domain is under half
	meanUneven float64 // mean of that share
	variance   float64 // mean variance of running/slots over the servers
	mean, p99  time.Duration
	refused    float64
	failedSent float64 // share of the attempts that went to the failing server
}

type simRequest struct {
	vm, server int
	sentAt     time.Duration // of the attempt
	arrivedAt  time.Duration
	work       time.Duration
}

type simServer struct {
	speed    float64
	running  int
	queue    []*simRequest
	inFlight int
	fullTime time.Duration
	fails    bool // answers at once with an error
	silent   bool // no VM knows its load
}

type simEvent struct {
	at      time.Duration
	request *simRequest // ends; nil for an arrival
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim runs one case in virtual time.
type sim struct {
	simCase
	rng       *rand.Rand
	now       time.Duration
	servers   []simServer
	ids       []Candidate
	rules     []simRule
	own       [][]int   // requests in flight by VM and server
	weights   []float64 // cumulative share of the arrivals by VM
	snapshots []simSnapshot
	events    simEvents
	latencies []time.Duration
	refused   int
	attempts  int
	toFailing int
	result    simResult
}

type simSnapshot struct {
	at   time.Duration
	load []int
	own  [][]int // by VM
}

// simRule is how one VM chooses. refusals is as in package forward.
type simRule interface {
	choose(s *sim, vm int, refusals []int) int
	start(s *sim, server int)
	end(s *sim, server int, took time.Duration, ok bool)
}

func newSim(c simCase, adjust func(*sim)) *sim {
	s := &sim{simCase: c, rng: rand.New(rand.NewPCG(1, 2)), servers: make([]simServer, c.servers)}
	for i := range s.servers {
		s.servers[i].speed = []float64{0.7, 0.7, 1.7}[(i/simDomains)%3]
		s.ids = append(s.ids, Candidate{ID: fmt.Sprintf("server-%d", i), FailureDomain: string(rune('a' + i%simDomains)), Slots: 6 + (i/simDomains+i)%3})
	}
	for i, total := 0, 0.0; i < c.vms; i++ {
		total += float64(int(1) << (i / simDomains % 5)) // callers are connected to few of the VMs
		s.weights = append(s.weights, total)
		s.rules = append(s.rules, newSimRule(s, i))
		s.own = append(s.own, make([]int, c.servers))
	}
	if adjust != nil {
		adjust(s)
	}
	return s
}

func (s *sim) run() simResult {
	capacity := 0.0
	for i := range s.servers {
		capacity += float64(s.ids[i].Slots) * s.servers[i].speed / s.work.Seconds()
	}
	gap := func() time.Duration {
		return time.Duration(s.rng.ExpFloat64() / (capacity * s.utilization) * float64(time.Second))
	}
	end := max(8*time.Second, 200*s.work)
	warm := end / 5
	heap.Push(&s.events, simEvent{at: gap()})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > end {
			break
		}
		if e.at > warm {
			s.measure(e.at - max(s.now, warm))
		}
		s.now = e.at
		s.snapshot()
		if e.request != nil {
			s.finish(e.request)
			continue
		}
		sigma := 0.05
		if s.work > time.Second {
			sigma = 0.6
		}
		vm, _ := slices.BinarySearch(s.weights, s.rng.Float64()*s.weights[len(s.weights)-1])
		s.arrive(&simRequest{vm: vm, arrivedAt: s.now, work: time.Duration(float64(s.work) * math.Exp(s.rng.NormFloat64()*sigma-sigma*sigma/2))})
		heap.Push(&s.events, simEvent{at: s.now + gap()})
	}
	for i := range s.servers {
		s.result.meanUneven += s.servers[i].fullTime.Seconds() / (end - warm).Seconds() / float64(len(s.servers))
		s.result.uneven = max(s.result.uneven, s.servers[i].fullTime.Seconds()/(end-warm).Seconds())
	}
	s.result.variance /= (end - warm).Seconds()
	s.result.refused = float64(s.refused) / float64(max(s.refused+len(s.latencies), 1))
	s.result.failedSent = float64(s.toFailing) / float64(max(s.attempts, 1))
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		sum := time.Duration(0)
		for _, l := range s.latencies {
			sum += l
		}
		s.result.mean, s.result.p99 = sum/time.Duration(n), s.latencies[n*99/100]
	}
	return s.result
}

func (s *sim) snapshot() {
	if n := len(s.snapshots); n == 0 || s.now-s.snapshots[n-1].at >= simSnapshots {
		load := make([]int, len(s.servers))
		for i := range s.servers {
			load[i] = s.servers[i].inFlight
		}
		var own [][]int
		for _, list := range s.own {
			own = append(own, slices.Clone(list))
		}
		s.snapshots = append(s.snapshots, simSnapshot{s.now, load, own})
	}
	for len(s.snapshots) > 1 && s.snapshots[1].at <= s.now-s.age {
		s.snapshots = s.snapshots[1:]
	}
}

// measure adds the time for which the present state lasted.
func (s *sim) measure(lasted time.Duration) {
	var low [simDomains]bool
	var sum, squares float64
	for i := range s.servers {
		x := float64(s.servers[i].running) / float64(s.ids[i].Slots)
		low[i%simDomains] = low[i%simDomains] || x < 0.5
		sum, squares = sum+x, squares+x*x
	}
	n := float64(len(s.servers))
	s.result.variance += (squares/n - sum/n*sum/n) * lasted.Seconds()
	for i := range s.servers {
		if low[i%simDomains] && s.servers[i].running >= s.ids[i].Slots {
			s.servers[i].fullTime += lasted
		}
	}
}

func (s *sim) arrive(r *simRequest) {
	refusals := make([]int, len(s.servers))
	for range simRefusals {
		r.server = s.rules[r.vm].choose(s, r.vm, refusals)
		server, rule := &s.servers[r.server], s.rules[r.vm]
		s.attempts++
		rule.start(s, r.server)
		if server.fails {
			s.toFailing++
		}
		if server.fails || server.running >= s.ids[r.server].Slots && len(server.queue) >= simQueue {
			rule.end(s, r.server, time.Millisecond, false)
			refusals[r.server]++
			continue
		}
		r.sentAt = s.now
		server.inFlight++
		s.own[r.vm][r.server]++
		if server.running < s.ids[r.server].Slots {
			s.serve(r)
		} else {
			server.queue = append(server.queue, r)
		}
		return
	}
	s.refused++
}

func (s *sim) serve(r *simRequest) {
	s.servers[r.server].running++
	heap.Push(&s.events, simEvent{s.now + time.Duration(float64(r.work)/s.servers[r.server].speed), r})
}

func (s *sim) finish(r *simRequest) {
	server := &s.servers[r.server]
	server.running, server.inFlight = server.running-1, server.inFlight-1
	s.own[r.vm][r.server]--
	s.latencies = append(s.latencies, s.now-r.arrivedAt)
	s.rules[r.vm].end(s, r.server, s.now-r.sentAt, true)
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.serve(next)
	}
}
