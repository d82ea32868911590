package control

import (
	"cmp"
	"slices"
)

// shareVM is what the controller knows of one VM for one row.
type shareVM struct {
	present  bool // heard from; an absent VM goes on using what it holds
	demand   int  // requests in flight and waiting
	inFlight int
	granted  int
	holding  int
}

// excess is what a VM has in flight beyond its share, from the time before the row had a limit.
func (v shareVM) excess() int { return max(0, v.inFlight-v.holding) }

// sharePart is the part of a share by which it must change before shares are taken from other VMs.
const sharePart = 8

// planRow returns the new grants of the VMs in the same order. Grants of absent VMs stay. The sum of what the
// VMs hold afterwards is at most the limit, unless it already is more. Epoch selects the VMs that get a share if
// there are fewer shares than VMs with demand.
func planRow(limit int, vms []shareVM, epoch int) []int {
	available, free := limit, limit
	for _, v := range vms {
		free -= v.holding + v.excess()
		if v.present {
			available -= v.excess()
		} else {
			available -= v.holding
		}
	}
	available, free = max(0, available), max(0, free)
	target, reserve := targets(available, vms, epoch)
	move := mustMove(available, vms, target, reserve)
	grants := make([]int, len(vms))
	for i, v := range vms {
		grants[i] = v.granted
		if v.present && move && target[i] < v.granted {
			grants[i] = target[i]
		}
	}
	raise(grants, vms, target, reserve, move, free)
	return grants
}

// targets divides what is available between the present VMs.
func targets(available int, vms []shareVM, epoch int) (target []int, reserve int) {
	var index []int
	for i, v := range vms {
		if v.present {
			index = append(index, i)
		}
	}
	if available >= 2*len(index) {
		reserve = 1
	}
	demand, current := make([]int, len(index)), make([]int, len(index))
	for k, i := range index {
		demand[k], current[k] = max(vms[i].demand, reserve), vms[i].granted
	}
	target = make([]int, len(vms))
	for k, share := range waterFill(available, demand, current, epoch) {
		target[index[k]] = share
	}
	return target, reserve
}

// waterFill gives each VM its demand or an equal part, whichever is less, and divides the rest evenly. VMs with
// equal demand that get different parts keep their order by current share, so that nothing moves needlessly. If
// there is less than one for each VM with demand, the VMs take turns by epoch.
func waterFill(available int, demand, current []int, epoch int) []int {
	need, order := make([]int, len(demand)), make([]int, len(demand))
	wanting := 0
	for i, d := range demand {
		need[i], order[i] = min(d, available), i
		if d > 0 {
			wanting++
		}
	}
	rank := func(i int) int { return current[i] }
	if wanting > available {
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

// mustMove reports whether it is worth taking shares from VMs: more is granted than is available, a VM lacks its
// reserve, or a VM with unmet demand would gain a real part.
func mustMove(available int, vms []shareVM, target []int, reserve int) bool {
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
		if v.granted < reserve {
			return true
		}
		least := v.granted / sharePart
		if !unused && v.granted > 0 {
			least = max(1, least) // equal demand on all sides changes by one all the time
		}
		if v.demand > v.granted && target[i]-v.granted > least {
			return true
		}
	}
	return false
}

// raise gives free shares to the VMs below their target, those with the smallest share first. Unless shares are
// moved anyway, only VMs with unmet demand get more.
func raise(grants []int, vms []shareVM, target []int, reserve int, move bool, free int) {
	order := make([]int, len(vms))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(vms[a].granted, vms[b].granted) })
	for _, i := range order {
		v := vms[i]
		if !v.present || target[i] <= v.granted || !move && v.demand <= v.granted && v.granted >= reserve {
			continue
		}
		grants[i] = max(v.granted, min(target[i], v.holding+free))
		free -= max(0, grants[i]-v.holding)
	}
}
