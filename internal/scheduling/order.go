package scheduling

import (
	"cmp"
	"slices"
)

// Waiting is an item that waits for an engine.
type Waiting struct {
	Batch   int  // position of the batch among the open ones, the oldest first
	Begun   bool // has run in part
	Carried bool
	Group   int // position of the group in its batch
	Length  int // expected output in tokens
	Item    int // position in the batch
}

// Order sorts waiting items: older steps first, because their due time is nearer; in a step the groups carried over
// from an earlier one, which the trainer waits for whatever else is whole, and items that lost their engine halfway;
// then the longest items first, whatever their group: nearly every group has a long member, which decides when the group is whole, and short ones fill the slots
// that are left.
func Order(list []Waiting) {
	slices.SortFunc(list, func(a, b Waiting) int {
		return cmp.Or(
			cmp.Compare(a.Batch, b.Batch),
			compareBool(b.Carried || b.Begun, a.Carried || a.Begun),
			cmp.Compare(b.Length, a.Length),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Item, b.Item),
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
