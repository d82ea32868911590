package scheduling

import (
	"cmp"
	"slices"
)

// WaitingItem is an item that waits for an engine.
type WaitingItem struct {
	BatchIndex     int  // position of the batch among the open ones, the oldest first
	PartlyRun      bool // has run in part
	CarriedOver    bool
	GroupIndex     int // position of the group in its batch
	ExpectedTokens int // expected output in tokens
	ItemIndex      int // position in the batch
}

// SortWaiting sorts waiting items: older steps first, because their due time is nearer; in a step the groups carried over
// from an earlier one, which the trainer waits for whatever else is whole, and items that lost their engine halfway;
// then the longest items first, whatever their group: nearly every group has a long member, which decides when the group is whole, and short ones fill the slots
// that are left.
func SortWaiting(list []WaitingItem) {
	slices.SortFunc(list, func(a, b WaitingItem) int {
		return cmp.Or(
			cmp.Compare(a.BatchIndex, b.BatchIndex),
			compareBool(b.CarriedOver || b.PartlyRun, a.CarriedOver || a.PartlyRun),
			cmp.Compare(b.ExpectedTokens, a.ExpectedTokens),
			cmp.Compare(a.GroupIndex, b.GroupIndex),
			cmp.Compare(a.ItemIndex, b.ItemIndex),
		)
	})
}

// median returns the middle value, or 0 if there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
