package coordinator

import "time"

const (
	// leastStall is the silence of all engines at once that shows that this process stood still. Its processor share is
	// a quota of 100 ms on some VMs, and a collection of garbage takes some ten.
	leastStall = 60 * time.Millisecond
	// stallEvents is how many events must be missing for a stall, so that a few running items alone do not look like one.
	stallEvents = 5
)

// stallWatch tells apart an engine that is slow and a process that did not get to read what engines sent.
type stallWatch struct {
	lastAny   time.Duration // boot time of the last event of any item
	stalledAt time.Duration // boot time of the end of the last stall
}

// heard takes note of an event of any of the running items, which are eventTime apart on one engine.
func (w *stallWatch) heard(now time.Duration, running int, eventTime time.Duration) {
	limit := max(leastStall, stallEvents*eventTime/time.Duration(max(running, 1)))
	if w.lastAny > 0 && now-w.lastAny > limit {
		w.stalledAt = now
	}
	w.lastAny = now
}

// since reports whether the process stood still at some time after from.
func (w *stallWatch) since(from time.Duration) bool { return w.stalledAt > from }
