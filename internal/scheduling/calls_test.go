package scheduling

import (
	"slices"
	"testing"
	"time"
)

// TestSortCalls guards against groups that stay incomplete because calls of groups that need more items, or of later
// steps, are sent before theirs.
func TestSortCalls(t *testing.T) {
	calls := []WaitingCall{
		{BatchIndex: 1, Unfinished: 1, ItemIndex: 0},
		{BatchIndex: 0, Unfinished: 4, GroupIndex: 1, ItemIndex: 1},
		{BatchIndex: 0, Unfinished: 1, GroupIndex: 7, ItemIndex: 2},
		{BatchIndex: 0, Unfinished: 8, GroupIndex: 9, ItemIndex: 3, CarriedOver: true},
		{BatchIndex: 0, Unfinished: 4, GroupIndex: 1, ItemIndex: 0},
	}
	if got, want := SortCalls(calls), []int{3, 2, 4, 1, 0}; !slices.Equal(got, want) {
		t.Fatalf("got order %v, want %v", got, want)
	}
}

// TestSortCallsCompletesGroupsEarly guards against calls whose order delays the groups: with one call at a time, half of
// the groups must be whole after half of the time.
func TestSortCallsCompletesGroupsEarly(t *testing.T) {
	const groups, size = 12, 8
	var waiting []WaitingCall
	for item := range groups * size {
		waiting = append(waiting, WaitingCall{Unfinished: size, GroupIndex: item % groups, ItemIndex: item})
	}
	whole := 0
	for sent := 1; sent <= groups*size; sent++ {
		next := SortCalls(waiting)[0]
		group := waiting[next].GroupIndex
		waiting = slices.Delete(waiting, next, next+1)
		left := 0
		for i := range waiting {
			if waiting[i].GroupIndex == group {
				waiting[i].Unfinished--
				left++
			}
		}
		if left == 0 {
			whole++
		}
		if want := sent / size; whole < want {
			t.Fatalf("after %d of %d calls %d groups are whole, want %d", sent, groups*size, whole, want)
		}
	}
}

// TestCallLimit guards against scorer calls that take all slots of a service, and against a service with small servers
// that gets no calls at all.
func TestCallLimit(t *testing.T) {
	for _, tc := range []struct {
		slots []int
		want  int
	}{{nil, 0}, {[]int{6, 6, 6}, 9}, {[]int{1, 0}, 2}, {[]int{7}, 3}} {
		if got := CallLimit(tc.slots); got != tc.want {
			t.Errorf("slots %v: got %d calls, want %d", tc.slots, got, tc.want)
		}
	}
}

// TestNextCallBackoff guards against calls that are repeated without a pause, and against a pause that grows beyond
// what a step can wait.
func TestNextCallBackoff(t *testing.T) {
	backoff := time.Duration(0)
	for range 20 {
		next := NextCallBackoff(backoff)
		if next < backoff || next < minCallBackoff || next > maxCallBackoff {
			t.Fatalf("after %s comes %s", backoff, next)
		}
		backoff = next
	}
	if backoff != maxCallBackoff {
		t.Fatalf("the pause grows to %s, want %s", backoff, maxCallBackoff)
	}
}
