package scheduling

import (
	"fmt"
	"math"
	"slices"
)

// The functions in this file decide how many servers of a service are ordered. They are designed for training steps of some
// hundred items every few seconds. Each step is due 7.5 s after its submission, and a group of 8 to 16 items that is complete
// in time is worth 4, while a server second costs 0.006 to 0.009 and a spot server 0.22 of that. Capacity is therefore cheap
// against late groups, up to the number of engines that can load each version of the weights: at most 9 load at once, and a
// load takes 0.9 s. Times are in seconds, prices relative to each other.

const (
	// dueShare is the share of the time until a step is due in which its work should be done. The other half covers items
	// longer than their hints, loads of weights and lost engines.
	dueShare = 0.5
	// plannedUse is the share of the slots' time that a plan counts on. The rest goes into loads of weights (0.9 s in about 5 s
	// for each version or every second one) and slots that are free only between two items.
	plannedUse = 0.8
	// lossUse is plannedUse for the servers that remain after the loss of a zone and of all spot servers: they need to be
	// in time, not early.
	lossUse = 0.9
	// loadsPerSecond is how many loads of weights all engines together finish: 9 at once, 0.9 s each.
	loadsPerSecond = 10.0
	// loadsPerVersion is how many loads an engine needs for a version on average. An engine can skip every second version,
	// but one that has skipped a version can serve no step if it is late for the next.
	loadsPerVersion = 0.75
	// demandHold is how long a peak of the demand counts. Steps arrive every few seconds and pause for four at times; a
	// server that is given back takes a boot time to return.
	demandHold = 20.0
	// lowUse is the share of the regular servers' capacity under which they are given back, once the demand has been
	// under it for lowHold. They are reduced so far that the peak takes keptUse of them, which is well above lowUse, so that
	// the same demand does not reduce them again.
	lowUse  = 1.0 / 3
	lowHold = 60.0
	keptUse = 0.5
	// maxSpotShare is the largest share of the spot servers in one zone, where all may be reclaimed at once.
	maxSpotShare = 0.5
	// spotSlack is by how much more spot servers than needed are kept. A spot server costs little, and giving back and
	// ordering in turns makes engines start and load for nothing.
	spotSlack = 1.15
	// maxPlanned bounds the servers of a plan if length hints of callers make the work immense.
	maxPlanned = 10000
	// cutShare is the share of silent servers from which a zone counts as cut off.
	cutShare = 0.5
)

// CapacityServers are the servers of one kind in a zone.
type CapacityServers struct {
	Announced int // neither leaving nor given up, including silent ones
	Silent    int
	// Pending is the change that the newest order is expected to bring: servers that boot, or less than zero for servers that
	// are about to be given back.
	Pending int
	Ordered int // in the newest order
	// Overdue is true if ordered servers have not been announced within the time that a boot takes.
	Overdue bool
	// RefusedUntil is the time until which the provider is expected to have no servers.
	RefusedUntil float64
}

// usable returns the servers that the plan counts on.
func (c *CapacityServers) usable() int { return max(c.Announced-c.Silent, 0) + c.Pending }

// CapacityZone is a failure domain in which servers can be ordered.
type CapacityZone struct {
	Name    string
	Price   float64 // of a server second; 0 or less counts as 1
	Base    int     // regular servers to keep
	Regular CapacityServers
	Spot    CapacityServers
}

// cutOff reports whether the zone seems to be cut off from the leader.
func (z *CapacityZone) cutOff() bool {
	silent, all := z.Regular.Silent+z.Spot.Silent, z.Regular.Announced+z.Spot.Announced
	return silent > 0 && float64(silent) >= cutShare*float64(all)
}

// reducible reports whether servers of the zone may be given back. Silent servers may serve callers of their own zone.
func (z *CapacityZone) reducible() bool { return z.Regular.Silent+z.Spot.Silent == 0 }

func (z *CapacityZone) price() float64 {
	if z.Price <= 0 {
		return 1
	}
	return z.Price
}

// StepDemand is the remaining work of an open step.
type StepDemand struct {
	Work     float64 // run time of the unfinished items, in slot seconds
	TimeLeft float64 // until the step is due; negative if it is late
}

// TrainerDemand is the work of one trainer.
type TrainerDemand struct {
	UsualWork float64 // of a step, in slot seconds
	Due       float64 // time from the submission of a step until it is due
	Interval  float64 // time between two steps; 0 if it is unknown
	Open      []StepDemand
}

// slots returns how many slots do the usual and the open work within the given share of the time until it is due. Work that is
// due sooner than a server boots defines a backlog that new servers work off afterwards.
func (t *TrainerDemand) slots(share, bootTime float64) (usual, open float64) {
	if t.UsualWork > 0 && t.Due > 0 {
		usual = t.UsualWork / (share * t.Due)
		if t.Interval > 0 {
			usual = max(usual, t.UsualWork/t.Interval)
		}
	}
	for _, o := range t.Open {
		open += o.Work / (share * max(o.TimeLeft, bootTime, 1))
	}
	return usual, open
}

// DemandSample is the demand at a time.
type DemandSample struct {
	At     float64
	Slots  float64 // to do the work of the steps in dueShare of the time until due
	InTime float64 // slots to do the usual work just in time
}

// CapacityInput describes a service. Bounds are for each zone and both kinds of servers together.
type CapacityInput struct {
	Now                    float64
	Zones                  []CapacityZone
	MinServers, MaxServers int // MaxServers 0 means no bound
	SpotPrice              float64
	SlotsPerServer         float64
	BootTime               float64
	VersionInterval        float64 // harmonic mean over the models of the time between two versions; 0 if it is unknown
	Trainers               []TrainerDemand
	// KeepBase is true if load that the plan does not know of uses the service. Its regular servers are then kept.
	KeepBase bool
	History  []DemandSample // of the former plan
}

// atMost returns n, or MaxServers if that is lower.
func (in *CapacityInput) atMost(n int) int {
	if in.MaxServers > 0 {
		return min(n, in.MaxServers)
	}
	return n
}

// WantedServers are the wanted servers of a zone.
type WantedServers struct {
	Zone                string
	Regular, Spot, Base int
	// Kept is the base without the servers that only the usual work of the last lowHold asks for.
	Kept int
}

// CapacityPlan is the result of PlanCapacity.
type CapacityPlan struct {
	Zones   []WantedServers
	Demand  float64 // slots, the highest within demandHold
	Servers int     // needed for Demand
	Limit   int     // servers whose loads of weights are in time; 0 if it is unknown
	History []DemandSample
}

// Describe names the load that the plan responds to.
func (p *CapacityPlan) Describe() string {
	return fmt.Sprintf("demand %.0f slots, needs %d servers, loads of weights allow %d", p.Demand, p.Servers, p.Limit)
}

// PlanCapacity returns the wanted servers of a service. Regular servers are kept as they are, unless the usual work could not be in
// time without the largest zone and without spot servers, or the demand has been low for long. Spot servers cover the demand
// above their capacity. Regular servers are added for spot servers that cannot be had in any zone.
func PlanCapacity(in CapacityInput) CapacityPlan {
	perServer := max(in.SlotsPerServer, 1) * plannedUse
	now, usualInTime := 0.0, 0.0
	for i := range in.Trainers {
		usual, open := in.Trainers[i].slots(dueShare, in.BootTime)
		now += max(usual, open)
		inTime, _ := in.Trainers[i].slots(1, in.BootTime)
		usualInTime += inTime
	}
	p := CapacityPlan{History: addSample(in.History, DemandSample{in.Now, now, usualInTime})}
	p.Demand, _ = peaksSince(p.History, in.Now-demandHold)
	p.Limit = loadLimit(&in)
	p.Servers = p.within(p.Demand / perServer)
	for i := range in.Zones {
		z := &in.Zones[i]
		p.Zones = append(p.Zones, WantedServers{Zone: z.Name, Base: in.atMost(max(z.Base, in.MinServers))})
	}
	peak, lossNeed := peaksSince(p.History, in.Now-lowHold)
	floor := p.within(lossNeed / (max(in.SlotsPerServer, 1) * lossUse))
	p.lowerBase(&in, floor, peak, perServer)
	for i := range p.Zones {
		p.Zones[i].Kept = p.Zones[i].Base
	}
	p.raiseBase(&in, floor)
	p.planSpot(&in)
	return p
}

// within rounds a number of servers up and returns it, or Limit if that is lower.
func (p *CapacityPlan) within(servers float64) int {
	n := int(math.Ceil(min(servers, maxPlanned)))
	if p.Limit > 0 {
		return min(n, p.Limit)
	}
	return n
}

// addSample returns the history with the new sample and without the samples that are no longer needed. One sample of lowHold ago or
// earlier remains, so that the length of the history is known.
func addSample(history []DemandSample, s DemandSample) []DemandSample {
	out := slices.Clone(history)
	for len(out) > 1 && out[1].At <= s.At-lowHold {
		out = out[1:]
	}
	return append(out, s)
}

// peaksSince returns the highest Slots and InTime.
func peaksSince(history []DemandSample, since float64) (slots, inTime float64) {
	for _, s := range history {
		if s.At >= since {
			slots, inTime = max(slots, s.Slots), max(inTime, s.InTime)
		}
	}
	return slots, inTime
}

// loadLimit returns how many engines can load the versions of the weights in time, or 0 if that is unknown. Each engine loads the
// versions of one model.
func loadLimit(in *CapacityInput) int {
	if in.VersionInterval <= 0 {
		return 0
	}
	return max(int(loadsPerSecond*in.VersionInterval/loadsPerVersion), len(in.Zones)*max(in.MinServers, 1))
}

// lowerBase gives back regular servers after the demand has been low for lowHold, but no more than remain with floor servers after
// the loss of a zone.
func (p *CapacityPlan) lowerBase(in *CapacityInput, floor int, peak, perServer float64) {
	total := p.baseTotal()
	if in.KeepBase || p.History[0].At > in.Now-lowHold || peak >= lowUse*float64(total)*perServer {
		return
	}
	for kept := int(math.Ceil(peak / perServer / keptUse)); total > kept; total-- {
		i := p.dearest(in, func(w *WantedServers) int { return w.Base }, in.MinServers)
		if i < 0 {
			return
		}
		p.Zones[i].Base--
		if p.baseTotal()-p.largestBase() < floor {
			p.Zones[i].Base++
			return
		}
	}
}

// raiseBase adds regular servers until floor of them remain after the loss of a zone.
func (p *CapacityPlan) raiseBase(in *CapacityInput, floor int) {
	canAdd := func(z *CapacityZone, w *WantedServers) bool {
		return z.Regular.RefusedUntil <= in.Now && !z.Regular.Overdue && !z.cutOff() && hasRoom(in, w.Base)
	}
	for p.baseTotal()-p.largestBase() < floor {
		available, largest := 0, p.largestBase()
		for i := range p.Zones {
			if canAdd(&in.Zones[i], &p.Zones[i]) {
				available++
			}
		}
		i := -1
		for j := range p.Zones {
			// Even numbers make the loss of a zone cheapest. A single zone that grows beyond the others is lost as a whole.
			w := &p.Zones[j]
			if canAdd(&in.Zones[j], w) && (w.Base < largest || available > 1) && (i < 0 || w.Base < p.Zones[i].Base) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		p.Zones[i].Base++
	}
}

func (p *CapacityPlan) baseTotal() int {
	total := 0
	for _, w := range p.Zones {
		total += w.Base
	}
	return total
}

func (p *CapacityPlan) largestBase() int {
	largest := 0
	for _, w := range p.Zones {
		largest = max(largest, w.Base)
	}
	return largest
}

func hasRoom(in *CapacityInput, servers int) bool {
	return in.MaxServers <= 0 || servers < in.MaxServers
}

// planSpot covers what the regular servers leave with spot servers, and with further regular servers where there are none.
func (p *CapacityPlan) planSpot(in *CapacityInput) {
	missing := p.Servers
	for i := range in.Zones {
		w := &p.Zones[i]
		w.Regular = w.Base
		missing -= min(in.Zones[i].Regular.usable(), w.Base)
	}
	missing = max(missing, 0)
	for i := range in.Zones {
		w, s := &p.Zones[i], &in.Zones[i].Spot
		w.Spot = s.Announced + s.Pending
		if s.Overdue && missing > 0 {
			w.Spot = s.Ordered // the order is repeated; other zones take its part
		}
		w.Spot = max(in.atMost(w.Base+w.Spot)-w.Base, 0)
	}
	canAdd := func(z *CapacityZone, w *WantedServers) bool {
		return in.SpotPrice > 0 && z.Spot.RefusedUntil <= in.Now && !z.Spot.Overdue && !z.cutOff() && hasRoom(in, w.Base+w.Spot)
	}
	available := 0
	for i := range in.Zones {
		if canAdd(&in.Zones[i], &p.Zones[i]) || in.Zones[i].Spot.usable() > 0 {
			available++
		}
	}
	maxInZone := missing
	if available > 1 {
		maxInZone = int(math.Ceil(maxSpotShare * float64(missing)))
	}
	// Servers beyond maxInZone in a zone do not count, so that others replace them before they are given back.
	covered := 0
	added := make([]int, len(p.Zones))
	for i := range in.Zones {
		covered += min(in.Zones[i].Spot.usable(), maxInZone)
	}
	existing := covered
	for ; covered < missing; covered++ {
		i := p.cheapest(in, func(z *CapacityZone, w *WantedServers) (int, bool) {
			count := z.Spot.usable() + added[p.index(w)]
			return count, canAdd(z, w) && count < maxInZone
		})
		if i < 0 {
			break
		}
		p.Zones[i].Spot++
		added[i]++
	}
	if existing >= missing {
		p.giveBackSpot(in, missing)
		return
	}
	// The provider may refuse the added spot servers: until they are covered by its answers, the regular servers stay.
	replaced := 0
	for i := range in.Zones {
		w, z := &p.Zones[i], &in.Zones[i]
		if extra := z.Regular.Announced + z.Regular.Pending - w.Regular; extra > 0 && in.Zones[i].Regular.Ordered > w.Regular {
			extra = min(extra, missing-existing-replaced)
			w.Regular += extra
			replaced += extra
		}
	}
	p.replaceSpot(in, missing-max(covered, existing+replaced))
}

// giveBackSpot reduces the spot servers to the missing number if they exceed it clearly.
func (p *CapacityPlan) giveBackSpot(in *CapacityInput, missing int) {
	total := 0
	for i := range p.Zones {
		if !in.Zones[i].Spot.Overdue {
			total += in.Zones[i].Spot.usable()
		}
	}
	if total <= int(spotSlack*float64(missing)) {
		return
	}
	for ; total > missing; total-- {
		i := p.dearest(in, func(w *WantedServers) int { return w.Spot }, 0)
		if i < 0 {
			return
		}
		p.Zones[i].Spot--
	}
}

// replaceSpot adds regular servers for spot servers that cannot be had.
func (p *CapacityPlan) replaceSpot(in *CapacityInput, servers int) {
	for ; servers > 0; servers-- {
		i := p.cheapest(in, func(z *CapacityZone, w *WantedServers) (int, bool) {
			return w.Regular, z.Regular.RefusedUntil <= in.Now && !z.Regular.Overdue && !z.cutOff() && hasRoom(in, w.Regular+w.Spot)
		})
		if i < 0 {
			return
		}
		p.Zones[i].Regular++
	}
}

func (p *CapacityPlan) index(w *WantedServers) int {
	return slices.IndexFunc(p.Zones, func(o WantedServers) bool { return o.Zone == w.Zone })
}

// cheapest returns the zone for a further server, or -1. The numbers of servers become inverse to the prices.
func (p *CapacityPlan) cheapest(in *CapacityInput, count func(*CapacityZone, *WantedServers) (int, bool)) int {
	best, lowest := -1, 0.0
	for i := range p.Zones {
		n, ok := count(&in.Zones[i], &p.Zones[i])
		if cost := float64(n+1) * in.Zones[i].price(); ok && (best < 0 || cost < lowest) {
			best, lowest = i, cost
		}
	}
	return best
}

// dearest returns the zone that gives back a server, or -1 if all have minServers or may not be reduced.
func (p *CapacityPlan) dearest(in *CapacityInput, count func(*WantedServers) int, minServers int) int {
	best, highest := -1, 0.0
	for i := range p.Zones {
		n := count(&p.Zones[i])
		if cost := float64(n) * in.Zones[i].price(); n > minServers && in.Zones[i].reducible() && !in.Zones[i].Spot.Overdue && (best < 0 || cost > highest) {
			best, highest = i, cost
		}
	}
	return best
}
