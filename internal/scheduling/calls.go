package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// The functions in this file decide on scorer calls. They are designed for the load of training steps on a plain service
// with few servers that callers use too: within a second or two, most items of a step finish and need a call of some 30
// ms each, at times on a service of which one server does not answer and another is slow.

const (
	// callSlotDivisor is the divisor of a server's slots that gives how many scorer calls it runs at once on average.
	// Callers' requests, whose latency targets are a few times their run time, find a free slot beside the calls.
	callSlotDivisor = 2
	// minCallBackoff and maxCallBackoff bound the delay before a scorer call is sent again. A server that refuses calls
	// because it is full has free slots again within the run time of a request.
	minCallBackoff = 50 * time.Millisecond
	maxCallBackoff = time.Second
)

// WaitingCall is a complete text whose scorer call waits to be sent.
type WaitingCall struct {
	BatchIndex  int  // position of the batch among the open batches, the oldest first
	CarriedOver bool // the item's group was in an earlier batch too
	Unfinished  int  // items of the group without a result, including this one
	GroupIndex  int  // position of the group in its batch
	ItemIndex   int  // position of the item in its batch
}

// SortCalls returns the indexes of calls by priority: those of older steps first, then those of groups that the trainer
// waits for in any case, then those of groups that need the fewest further items, because a group counts only as a
// whole.
func SortCalls(calls []WaitingCall) []int {
	order := make([]int, len(calls))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &calls[x], &calls[y]
		return cmp.Or(
			cmp.Compare(a.BatchIndex, b.BatchIndex),
			compareBool(b.CarriedOver, a.CarriedOver),
			cmp.Compare(a.Unfinished, b.Unfinished),
			cmp.Compare(a.GroupIndex, b.GroupIndex),
			cmp.Compare(a.ItemIndex, b.ItemIndex),
		)
	})
	return order
}

// CallLimit returns how many scorer calls a service may run at once, given the slots of each of its usable servers. It
// is at least one for each server.
func CallLimit(slots []int) int {
	limit := 0
	for _, n := range slots {
		limit += max(n/callSlotDivisor, 1)
	}
	return limit
}

// NextCallBackoff returns the delay before a call is sent again, given the delay before its last repetition, or zero.
func NextCallBackoff(last time.Duration) time.Duration {
	return min(max(minCallBackoff, 2*last), maxCallBackoff)
}
