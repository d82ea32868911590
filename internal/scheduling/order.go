package scheduling

import (
	"cmp"
	"slices"
)

// WaitingItem is an item that waits for an engine.
type WaitingItem struct {
	BatchIndex     int  // position of the batch among the open batches, the oldest first
	GroupRank      int  // rank of the group in the plan of its step
	PartlyRun      bool // part of the item's output exists from an earlier run
	CarriedOver    bool // the item's group was in an earlier batch too
	GroupIndex     int  // position of the group in its batch
	ExpectedTokens int  // expected length of the output
	ItemIndex      int  // position of the item in its batch
}

// SortWaiting sorts waiting items by priority. Batches of older steps come first, because they are due earlier. Within
// a batch, the plan of the step decides which groups come first. Then items of groups carried over from an earlier step
// come first, since the trainer waits for these in any case, together with items whose earlier run was interrupted. Then
// the longest items come first, whatever their group: nearly every group has a long item, which determines when the
// group is complete, and short items fill the remaining slots.
func SortWaiting(list []WaitingItem) {
	slices.SortFunc(list, func(a, b WaitingItem) int {
		return cmp.Or(
			cmp.Compare(a.BatchIndex, b.BatchIndex),
			cmp.Compare(a.GroupRank, b.GroupRank),
			compareBool(b.CarriedOver || b.PartlyRun, a.CarriedOver || a.PartlyRun),
			cmp.Compare(b.ExpectedTokens, a.ExpectedTokens),
			cmp.Compare(a.GroupIndex, b.GroupIndex),
			cmp.Compare(a.ItemIndex, b.ItemIndex),
		)
	})
}

// median sorts values and returns the middle one (the upper of two), or 0 if values is empty.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
