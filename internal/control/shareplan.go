package control

import (
	"cmp"
	"slices"
)

// vmRowShare is what the planner knows of one VM's share of a row's limit. The fields granted and reserved are those of
// Share.
type vmRowShare struct {
	present  bool // recently heard from; an absent VM may still use its reserved share
	demand   int  // requests in flight and waiting
	inFlight int
	granted  int // requests that the VM may have in flight
	reserved int // above granted until the VM has acknowledged a decrease
}

// excess returns the requests in flight beyond the reserved share. They were started before the row had a limit.
func (v vmRowShare) excess() int { return max(0, v.inFlight-v.reserved) }

// minGainDivisor defines the smallest gain that justifies taking shares from other VMs: more than 1/8 of the current
// share.
const minGainDivisor = 8

// availablePerVMForMinShare is the available amount per present VM from which on each of them gets a share of at
// least 1.
const availablePerVMForMinShare = 2

// planRow divides limit, the number of requests of a row that may be in flight, among the VMs. It returns the new
// grants in the order of vms. The grants of absent VMs do not change. The sum of the reserved shares stays within the
// limit unless it already exceeds it. If less than one is available per VM with demand, epoch determines which VMs get
// a share.
func planRow(limit int, vms []vmRowShare, epoch int) []int {
	available, free := limit, limit
	for _, v := range vms {
		free -= v.reserved + v.excess()
		if v.present {
			available -= v.excess()
		} else {
			available -= v.reserved
		}
	}
	available, free = max(0, available), max(0, free)
	target, minShare := targets(available, vms, epoch)
	rebalance := shouldRebalance(available, vms, target, minShare)
	grants := make([]int, len(vms))
	for i, v := range vms {
		grants[i] = v.granted
		if v.present && rebalance && target[i] < v.granted {
			grants[i] = target[i]
		}
	}
	raiseGrants(grants, vms, target, minShare, rebalance, free)
	return grants
}

// targets distributes the available amount over the present VMs. minShare is the least that each present VM gets.
func targets(available int, vms []vmRowShare, epoch int) (target []int, minShare int) {
	var present []int
	for i, v := range vms {
		if v.present {
			present = append(present, i)
		}
	}
	if available >= availablePerVMForMinShare*len(present) {
		minShare = 1
	}
	demand, current := make([]int, len(present)), make([]int, len(present))
	for k, i := range present {
		demand[k], current[k] = max(vms[i].demand, minShare), vms[i].granted
	}
	target = make([]int, len(vms))
	for k, share := range waterFill(available, demand, current, epoch) {
		target[present[k]] = share
	}
	return target, minShare
}

// waterFill distributes the available amount max-min fairly: each VM gets the lesser of its demand and an equal part,
// and the rest is distributed evenly. Of VMs with equal demand, those with the larger current shares get the remainder
// of a division, so that shares do not move without need. If there is less than one per VM with demand, the VMs take
// turns by epoch.
func waterFill(available int, demand, current []int, epoch int) []int {
	need, order := make([]int, len(demand)), make([]int, len(demand))
	vmsWithDemand := 0
	for i, d := range demand {
		need[i], order[i] = min(d, available), i
		if d > 0 {
			vmsWithDemand++
		}
	}
	rank := func(i int) int { return current[i] }
	if vmsWithDemand > available {
		rank = func(i int) int { return (i + epoch) % len(demand) }
		for i := range need {
			need[i] = min(need[i], 1)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(need[a], need[b]), cmp.Compare(rank(a), rank(b))) })
	out, left := make([]int, len(demand)), available
	for k, i := range order {
		out[i] = min(need[i], left/(len(order)-k))
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(current[a], current[b]) })
	for k, i := range order {
		part := left / (len(order) - k)
		out[i] += part
		left -= part
	}
	return out
}

// shouldRebalance reports whether taking shares from VMs is justified: more is granted than available, a VM has less
// than minShare, or a VM with unmet demand would gain significantly.
func shouldRebalance(available int, vms []vmRowShare, target []int, minShare int) bool {
	granted, unused := 0, false
	for i, v := range vms {
		if v.present {
			granted += v.granted
			unused = unused || v.granted > max(v.demand, target[i])
		}
	}
	if granted > available {
		return true
	}
	for i, v := range vms {
		if !v.present {
			continue
		}
		if v.granted < minShare {
			return true
		}
		minGain := v.granted / minGainDivisor
		if !unused && v.granted > 0 {
			minGain = max(1, minGain) // no share is unused: ignore demand that fluctuates by one
		}
		if v.demand > v.granted && target[i]-v.granted > minGain {
			return true
		}
	}
	return false
}

// raiseGrants distributes the free amount to the VMs below their target, those with the smallest share first. Unless
// shares are being rebalanced anyway, only VMs with unmet demand or less than minShare get more.
func raiseGrants(grants []int, vms []vmRowShare, target []int, minShare int, rebalance bool, free int) {
	order := make([]int, len(vms))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(vms[a].granted, vms[b].granted) })
	for _, i := range order {
		v := vms[i]
		if !v.present || target[i] <= v.granted || !rebalance && v.demand <= v.granted && v.granted >= minShare {
			continue
		}
		grants[i] = max(v.granted, min(target[i], v.reserved+free))
		free -= max(0, grants[i]-v.reserved)
	}
}
