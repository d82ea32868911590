package coordinator

import "time"

const (
	// minStall is the shortest time without an event of any engine that counts as a suspension of this process. It is
	// longer than a garbage collection, which takes about ten milliseconds, and shorter than the periods of 100 ms in
	// which the CPU quota is applied on some VMs.
	minStall = 60 * time.Millisecond
	// minMissingEvents is the minimum number of events that the running items together should have sent during the
	// stall, so that a pause of a few running items does not count as one.
	minMissingEvents = 5
)

// stallDetector distinguishes a slow engine from a suspension of this process, called a stall, which delays the reading
// of events that engines sent in time.
type stallDetector struct {
	lastEventAt  time.Duration // boot time of the last event of any item
	lastStallEnd time.Duration // boot time of the end of the last stall
}

// recordEvent records an event of any of the running items. eventInterval is the usual time between two events of
// one item.
func (d *stallDetector) recordEvent(now time.Duration, running int, eventInterval time.Duration) {
	limit := max(minStall, minMissingEvents*eventInterval/time.Duration(max(running, 1)))
	if d.lastEventAt > 0 && now-d.lastEventAt > limit {
		d.lastStallEnd = now
	}
	d.lastEventAt = now
}

// stalledSince reports whether the process was suspended at some time after from.
func (d *stallDetector) stalledSince(from time.Duration) bool { return d.lastStallEnd > from }
