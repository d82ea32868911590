package coordinator

import (
	"testing"
	"time"
)

// TestStallDetector guards against measurements that count a suspension of this process as a slowdown of the engines,
// and against a slow engine that counts as a suspension.
func TestStallDetector(t *testing.T) {
	const eventInterval = 50 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var d stallDetector
	// Ten items run, with one event every 5 ms.
	for now := 1000; now <= 2000; now += 5 {
		d.recordEvent(ms(now), 10, eventInterval)
	}
	if d.stalledSince(ms(1000)) {
		t.Fatal("regular events count as a stall")
	}
	// One engine is silent for 130 ms while the others go on.
	for now := 2005; now <= 2130; now += 5 {
		d.recordEvent(ms(now), 10, eventInterval)
	}
	if d.stalledSince(ms(2000)) {
		t.Fatal("a slow engine counts as a stall of the process")
	}
	// The process reads nothing for 120 ms and then two events at once.
	d.recordEvent(ms(2250), 10, eventInterval)
	d.recordEvent(ms(2250), 10, eventInterval)
	if !d.stalledSince(ms(2130)) {
		t.Fatal("a stall of the process is not detected")
	}
	if d.stalledSince(ms(2250)) {
		t.Fatal("a stall counts for the time after it")
	}
	// The engine of the only item is transiently slow.
	d = stallDetector{}
	for _, now := range []int{1000, 1050, 1100, 1227} {
		d.recordEvent(ms(now), 1, eventInterval)
	}
	if d.stalledSince(ms(1000)) {
		t.Fatal("the slow engine of the only item counts as a stall")
	}
}
