// Package usage counts the requests of workspaces by window of time. It decides without network and clock: a Counter on
// each entry VM counts, a Ledger in the replicated state adds the counts up, and GroupClock and MemberClock determine the
// time that all VMs agree on.
package usage

import (
	"cmp"
	"slices"
	"time"
)

// Count is a number of requests of a workspace that servers began to run in a window. It is negative if it takes back
// requests that were counted before.
type Count struct {
	Window    int64  `cbor:"1,keyasint"` // number of the window, counted from the start of 1970
	Workspace string `cbor:"2,keyasint"`
	Requests  int64  `cbor:"3,keyasint"`
}

// Delta holds what an entry VM counted since its preceding delta.
type Delta struct {
	Instance uint64  `cbor:"1,keyasint"` // drawn at the start of the process
	Sequence uint64  `cbor:"2,keyasint"` // increases with each delta of the instance
	Counts   []Count `cbor:"3,keyasint,omitempty"`
}

// key identifies a counter.
type key struct {
	window    int64
	workspace string
}

func compareCounts(a, b Count) int {
	return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Workspace, b.Workspace))
}

func sortedCounts(counts map[key]int64) []Count {
	out := make([]Count, 0, len(counts))
	for k, n := range counts {
		out = append(out, Count{Window: k.window, Workspace: k.workspace, Requests: n})
	}
	slices.SortFunc(out, compareCounts)
	return out
}

// WindowOf returns the number of the window of the given length that contains a time in nanoseconds since the start of
// 1970.
func WindowOf(unixNanos int64, length time.Duration) int64 {
	w := unixNanos / int64(length)
	if unixNanos%int64(length) < 0 {
		w--
	}
	return w
}
