package scheduling

import (
	"cmp"
	"slices"
)

// Waiting is an item that waits for an engine.
type Waiting struct {
	Batch   int // position of the batch among the open ones, the oldest first
	Carried bool
	Group   int // position of the group in its batch
	Length  int // expected output in tokens
	Item    int // position in the batch
}

// Order sorts waiting items: older steps first, because their due time is nearer; in a step the groups carried over
// from an earlier one, which the trainer waits for whatever else is whole; then the longest items first, whatever their
// group: nearly every group has a long member, which decides when the group is whole, and short ones fill the slots
// that are left.
func Order(list []Waiting) {
	slices.SortFunc(list, func(a, b Waiting) int {
		return cmp.Or(
			cmp.Compare(a.Batch, b.Batch),
			compareBool(b.Carried, a.Carried),
			cmp.Compare(b.Length, a.Length),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Item, b.Item),
		)
	})
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
