package coordinator

import (
	"testing"
	"time"
)

// Guards against open batches that together take more memory than they may, and against room that is never given back.
func TestReservations(t *testing.T) {
	const limit, second = 100, time.Second
	r := reservations{limit: limit}
	for i, step := range []struct {
		what        string
		batch       string
		bytes, open int64
		until, now  time.Duration
		want        bool
	}{
		{"first", "a", 60, 0, 2 * second, 1, true},
		{"again, as by a trainer without an answer", "a", 60, 0, 2 * second, 1, true},
		{"beside a reservation", "b", 50, 0, 2 * second, 1, false},
		{"that just fits", "c", 40, 0, 2 * second, 1, true},
		{"after the reservations ended", "b", 50, 0, 5 * second, 3 * second, true},
		{"beside open batches", "d", 30, 30, 5 * second, 3 * second, false},
		{"beside smaller ones", "d", 30, 20, 0, 3 * second, true},
		{"whose submission is in progress", "e", 60, 20, 0, 30 * second, false},
		{"beside the one in progress", "e", 50, 20, 0, 30 * second, true},
	} {
		if got := r.reserve(step.batch, step.bytes, step.open, step.until, step.now); got != step.want {
			t.Fatalf("step %d, a batch %s: got %t", i, step.what, got)
		}
	}
	r.release("d")
	r.release("e")
	if !r.reserve("f", limit, 0, 0, 30*second) {
		t.Error("room was not given back")
	}
	r.release("f")
	if !r.reserve("larger than the limit", 3*limit, 0, 0, 30*second) || r.reserve("beside it", 1, 0, 0, 30*second) {
		t.Error("a batch larger than the limit must be accepted if it is alone")
	}
	var unlimited reservations
	if !unlimited.reserve("a", 1<<40, 1<<40, 0, 0) {
		t.Error("refused without a limit")
	}
}
