package scheduling

import (
	"cmp"
	"slices"
)

// The functions in this file decide which groups of a step are worked on first. They are designed for steps that bring
// more work than the engines can do by the time at which the step is due, as after the loss of engines or when several
// steps have been delayed. A group counts only as a whole. If all groups advance at the same pace, none is in time.

const (
	// plannedLoad is the share of the engines' time that the groups of a step may need to be planned in time. The rest
	// covers loads of weights, engines that turn slow and items that are longer than their hints.
	plannedLoad = 0.85
	// overload is the load above which a step cannot be whole in time and its groups are ranked.
	overload = 1.15
	// tightLoad is the load above which short items take every free slot at once instead of leaving room for long ones.
	tightLoad = 0.6
)

// GroupWork is the remaining work of a group. Times are in seconds.
type GroupWork struct {
	CarriedOver bool    // the group was in an earlier step too
	Work        float64 // total run time of the unfinished items
	Longest     float64 // run time of the longest of them
}

// StepPlan tells how to work on the groups of a step.
type StepPlan struct {
	// Rank orders the groups, by their index: the groups with rank 0 are expected to be whole in time and share the
	// engines; the others follow one after the other.
	Rank []int
	// Tight is true if the step needs most of the engines' time.
	Tight bool
}

// PlanStep plans the groups of a step for engines with the given number of slots. timeLeft is the time until the step is
// due. Groups that the trainer waits for in any case come first, then those with the least work, which makes the largest
// number of groups whole.
func PlanStep(groups []GroupWork, slots, timeLeft float64) StepPlan {
	plan := StepPlan{Rank: make([]int, len(groups))}
	total := 0.0
	for i := range groups {
		total += groups[i].Work
	}
	capacity := slots * timeLeft
	plan.Tight = total > tightLoad*capacity
	if total <= overload*capacity {
		return plan
	}
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			compareBool(groups[b].CarriedOver, groups[a].CarriedOver),
			cmp.Compare(groups[a].Work, groups[b].Work),
			cmp.Compare(a, b),
		)
	})
	planned, rank := 0.0, 0
	for _, i := range order {
		if g := &groups[i]; planned+g.Work <= plannedLoad*capacity && g.Longest <= timeLeft {
			planned += g.Work
			continue
		}
		rank++
		plan.Rank[i] = rank
	}
	return plan
}
