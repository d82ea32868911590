// Package balance chooses the server for a request from what a VM knows of the load of the servers, part of which is
// some hundred milliseconds old. It has no network and no clock: times are times since boot, passed in by the caller.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// choices is the number of servers of a failure domain that are drawn for one request. If all are compared, all VMs send
	// to the same server until the next report. With 30 VMs, 9 servers, work of 22 ms and reports 500 ms old, a server was
	// full beside one under half for 0.041 of the time with two choices, 0.031 with three and 0.030 with four.
	choices = 3
	// margin is by how many requests a server must be less loaded to be preferred to one that was drawn earlier. A smaller
	// difference is noise in old counts: without a margin all VMs prefer the same servers for the age of the report, and the
	// share of time as above with 300 VMs was 0.34 instead of 0.09.
	margin = 0.5
	// remotePenalty is the share of slots by which a server in another failure domain must be less loaded.
	remotePenalty = 0.15
	// failurePenalty is the occupancy by which a server that fails every request looks fuller. It is more than full queues
	// cause, so that such a server gets no requests when it leaves its failure domain with too few others.
	failurePenalty = 4
	// overflowGain is the share of the requests that go to other failure domains for a difference of the loads by all slots,
	// and maxDomainLoad the load, relative to the slots, above which a queue makes no difference.
	overflowGain  = 0.5
	maxDomainLoad = 1.5
	// unknownService is the assumed service time while no server has answered any request. It is long, so that the counts are
	// used: requests that take some milliseconds are measured at once.
	unknownService = 10 * time.Second
	// maxWaitFactor bounds the ratio of service times in the comparison of servers whose slots are all taken.
	maxWaitFactor = 8
)

// estimate is what is known of a server when it is compared with others.
type estimate struct {
	slots       float64
	others      float64 // requests in flight from other VMs when they were counted
	known       bool    // others is known
	age         time.Duration
	own         int           // requests in flight from this VM
	service     time.Duration // 0 if it is unknown
	failures    float64       // recent share of failed attempts, 0 to 1
	domain      string
	remote      bool    // in another failure domain
	occupancy   float64 // set by occupancies
	probability float64 // relative probability of being drawn, set by occupancies
}

// domainLoad is the load of the servers of a failure domain.
type domainLoad struct{ others, slots float64 }

func (d domainLoad) perSlot() float64 { return d.others / max(d.slots, 1) }

// occupancies sets the expected occupancy of each server. Old counts of other VMs approach the mean of the failure domain as
// the requests that they counted end. A server without counts is expected to have the mean load, and one without
// measurements the mean service time, so that it never looks idle. An occupancy up to 1 is the share of the slots that are
// taken; the excess is the wait in a queue, relative to the mean service time. The wait alone would give a server that is
// 2.4 times as fast 2.4 times the requests of another with as many slots, and keep it full while the other is half empty.
func occupancies(list []estimate) {
	var all domainLoad
	domains := map[string]domainLoad{}
	var service time.Duration
	measured := 0
	for i := range list {
		if e := &list[i]; e.known {
			d := domains[e.domain]
			domains[e.domain] = domainLoad{d.others + e.others, d.slots + e.slots}
			all = domainLoad{all.others + e.others, all.slots + e.slots}
		}
		if list[i].service > 0 {
			service += list[i].service
			measured++
		}
	}
	if service = service / time.Duration(max(measured, 1)); service <= 0 {
		service = unknownService
	}
	for i := range list {
		e := &list[i]
		if e.service <= 0 {
			e.service = service
		}
		// A mean above 1 is not used: the wait in equally long queues is longer at slow servers, so that all VMs would prefer
		// the fast ones for the age of the counts.
		load := min(all.perSlot(), 1) * e.slots
		if d, found := domains[e.domain]; found {
			load = min(d.perSlot(), 1) * e.slots
		}
		if e.known {
			load += (e.others - load) * math.Exp(-e.age.Seconds()/e.service.Seconds())
		}
		x := (load + float64(e.own)) / e.slots
		if x > 1 {
			x = 1 + (x-1)*min(max(e.service.Seconds()/service.Seconds(), 1.0/maxWaitFactor), maxWaitFactor)
		}
		x += failurePenalty * e.failures
		if e.remote {
			x += remotePenalty
		}
		e.occupancy = x
		// A server that is drawn in proportion to its capacity gets its share even if nothing current is known.
		e.probability = e.slots / e.service.Seconds() * (1 - e.failures)
	}
}

// choose returns the index of the chosen server, or -1 for an empty list. Servers of other failure domains are drawn if those
// of the own one are absent or full, or if the own domain has more load.
func choose(list []estimate, random func() float64) int {
	occupancies(list)
	if share := overflow(list); share > 0 && random() < share {
		if best := draw(list, true, -1, random); best >= 0 {
			return best
		}
	}
	best := draw(list, false, -1, random)
	if best < 0 || list[best].occupancy >= 1 && list[best].current() {
		best = draw(list, true, best, random)
	}
	return best
}

// current reports whether the occupancy of a server tells its present state: the requests that were counted are mostly still
// in flight, or those of this VM fill it.
func (e *estimate) current() bool {
	return e.known && e.age < e.service || float64(e.own) >= e.slots
}

// overflow returns the share of the requests that go to other failure domains because they have less load. The share changes
// by less than the difference of the loads, so that it settles although the loads are known late: if all requests went
// to the domain with less load, all VMs would fill one domain after the other.
func overflow(list []estimate) float64 {
	var own, other domainLoad
	for i := range list {
		e := &list[i]
		switch {
		case !e.known:
		case e.remote:
			other = domainLoad{other.others + e.others, other.slots + e.slots}
		default:
			own = domainLoad{own.others + e.others, own.slots + e.slots}
		}
	}
	if own.slots == 0 || other.slots == 0 {
		return 0
	}
	difference := min(own.perSlot(), maxDomainLoad) - min(other.perSlot(), maxDomainLoad)
	return overflowGain * max(difference-remotePenalty, 0)
}

func draw(list []estimate, remote bool, best int, random func() float64) int {
	var total float64
	for i := range list {
		if list[i].remote == remote {
			total += list[i].probability
		}
	}
	drawn := make([]int, 0, choices)
	for range choices {
		at, last := random()*total, -1
		for i := range list {
			if list[i].remote != remote || slices.Contains(drawn, i) {
				continue
			}
			last = i
			if at -= list[i].probability; at <= 0 {
				break
			}
		}
		if last < 0 {
			break
		}
		drawn = append(drawn, last)
		total -= list[last].probability
		if best < 0 || list[last].occupancy < list[best].occupancy-margin/list[last].slots {
			best = last
		}
	}
	return best
}

const (
	// subsetSize is the number of servers of a service among which a VM chooses. Half of them are of other failure
	// domains, so that the loss of the own domain leaves enough.
	subsetSize = 24
	// minSubsetSize is the size with very many services, and maxSubsetTotal the number for all services together above which
	// subsets get smaller.
	minSubsetSize  = 4
	maxSubsetTotal = 256
	// maxSubset is the number of servers of all services of which a VM gets the load. With more than 128 services, a VM
	// knows only its own requests on the servers of some.
	maxSubset = 2 * maxSubsetTotal
)

// SubsetSize returns the number of servers of one service among which a VM chooses, if there are so many services with
// more than one server.
func SubsetSize(services int) int {
	return min(max(maxSubsetTotal/max(services, 1), minSubsetSize), subsetSize)
}

// subset returns at most size of the n servers, half of them of the own failure domain if there are enough of both kinds.
// rank orders the servers differently for each VM, and remains the same when other servers come and go.
func subset(n, size int, rank func(int) uint64, remote func(int) bool) []int {
	if n <= size {
		out := make([]int, n)
		for i := range out {
			out[i] = i
		}
		return out
	}
	type ranked struct {
		index int
		rank  uint64
	}
	local, other := make([]ranked, 0, n), make([]ranked, 0, n)
	for i := range n {
		if r := (ranked{i, rank(i)}); remote(i) {
			other = append(other, r)
		} else {
			local = append(local, r)
		}
	}
	byRank := func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }
	slices.SortFunc(local, byRank)
	slices.SortFunc(other, byRank)
	locals := min(len(local), max(size/2, size-len(other)))
	out := make([]int, 0, size)
	for _, r := range slices.Concat(local[:locals], other[:min(len(other), size-locals)]) {
		out = append(out, r.index)
	}
	return out
}

// Random returns a random number from 0 to 1 for a Tracker.
func Random() float64 { return rand.Float64() }
