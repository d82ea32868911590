package coordinator

import (
	"testing"
	"time"
)

func TestStallWatch(t *testing.T) {
	const eventTime = 50 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var w stallWatch
	// Ten items, one event every 5 ms.
	for now := 1000; now <= 2000; now += 5 {
		w.heard(ms(now), 10, eventTime)
	}
	if w.since(ms(1000)) {
		t.Fatal("an ordinary stream of events looks like a stall")
	}
	// One engine is silent for 130 ms while the others go on.
	for now := 2005; now <= 2130; now += 5 {
		w.heard(ms(now), 10, eventTime)
	}
	if w.since(ms(2000)) {
		t.Fatal("a slow engine looks like a stall of the process")
	}
	// The process reads nothing for 120 ms and then all at once.
	w.heard(ms(2250), 10, eventTime)
	w.heard(ms(2250), 10, eventTime)
	if !w.since(ms(2130)) {
		t.Fatal("a stall of the process looks like slow engines")
	}
	if w.since(ms(2250)) {
		t.Fatal("a stall counts for what came after it")
	}
	// A single item whose engine is slow for a moment.
	w = stallWatch{}
	for _, now := range []int{1000, 1050, 1100, 1227} {
		w.heard(ms(now), 1, eventTime)
	}
	if w.since(ms(1000)) {
		t.Fatal("the slow engine of the only item looks like a stall")
	}
}
