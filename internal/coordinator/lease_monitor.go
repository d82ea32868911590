package coordinator

import "time"

// leaseMonitor decides how long the work of one leadership continues. A lease that lapses because heartbeats are
// delayed is usually regained in the same term: ending the work at once would cut off every running item.
type leaseMonitor struct {
	tolerance  time.Duration // how long the work continues without the lease
	lastHeldAt time.Duration // boot time of the last check that found the lease held
	lapsed     bool
}

// leaseState is the result of a check of the lease.
type leaseState int

const (
	leaseHeld        leaseState = iota
	leaseLapsed                 // the lease has lapsed since the last check
	leaseStillLapsed            // the lease lapsed earlier
	leaseRegained               // the lease is held again after a lapse
	leadershipEnded             // the work must end
)

// observe takes the result of a check at time now. leading is false if another VM may be the leader, because this VM
// stepped down or the term is over. If this VM was suspended, the lease was last held long ago, so the work ends with
// the first check.
func (m *leaseMonitor) observe(now time.Duration, held, leading bool) leaseState {
	switch {
	case held && leading:
		m.lastHeldAt = now
		if m.lapsed {
			m.lapsed = false
			return leaseRegained
		}
		return leaseHeld
	case !leading || now-m.lastHeldAt > m.tolerance:
		return leadershipEnded
	case m.lapsed:
		return leaseStillLapsed
	default:
		m.lapsed = true
		return leaseLapsed
	}
}
