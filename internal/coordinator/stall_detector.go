package coordinator

import "time"

const (
	// minStall is the minimum time without an event of any engine that shows that this process was suspended. On some
	// VMs, the CPU quota is applied in periods of 100 ms, and a garbage collection takes about ten milliseconds.
	minStall = 60 * time.Millisecond
	// minMissingEvents is the minimum number of events that must be missing, so that a pause of a few running items
	// does not count as a stall.
	minMissingEvents = 5
)

// stallDetector distinguishes a slow engine from a suspension of this process, which delays the reading of events that
// engines sent in time.
type stallDetector struct {
	lastEventAt  time.Duration // boot time of the last event of any item
	lastStallEnd time.Duration // boot time of the end of the last stall
}

// recordEvent records an event of any of the running items. eventInterval is the time between two events of one item.
func (d *stallDetector) recordEvent(now time.Duration, running int, eventInterval time.Duration) {
	limit := max(minStall, minMissingEvents*eventInterval/time.Duration(max(running, 1)))
	if d.lastEventAt > 0 && now-d.lastEventAt > limit {
		d.lastStallEnd = now
	}
	d.lastEventAt = now
}

// stalledSince reports whether the process was suspended at some time after from.
func (d *stallDetector) stalledSince(from time.Duration) bool { return d.lastStallEnd > from }
