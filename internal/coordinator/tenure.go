package coordinator

import "time"

// tenure decides how long the work of one leadership goes on. A lease that runs out because heartbeats are late for a
// moment is mostly regained in the same term: ending the work then would cut off every running item.
type tenure struct {
	allowed time.Duration // without the lease
	lastLed time.Duration // boot time at which the lease was last held
	lapsed  bool
}

// tenureState is what a look at the lease found.
type tenureState int

const (
	tenureHeld     tenureState = iota
	tenureLapsed               // the lease has just run out
	tenureLapsing              // it is still out
	tenureRegained             // it is held again
	tenureEnded                // the work must end
)

// observe takes a look at time now. leading is false once another VM may lead: this one stepped down or the term is
// over. A VM that was frozen finds that it last led long ago, so its work ends with the first look.
func (t *tenure) observe(now time.Duration, held, leading bool) tenureState {
	switch {
	case held && leading:
		t.lastLed = now
		if t.lapsed {
			t.lapsed = false
			return tenureRegained
		}
		return tenureHeld
	case !leading || now-t.lastLed > t.allowed:
		return tenureEnded
	case t.lapsed:
		return tenureLapsing
	default:
		t.lapsed = true
		return tenureLapsed
	}
}
