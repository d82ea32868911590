package ratelimit

import (
	"math/rand/v2"
	"time"
)

// turnLifetime is how long a VM may use a turn of its share. With unlimited turns, all VMs without contact could send
// at the same moment after a pause.
const turnLifetime = 500 * time.Millisecond

// Shares is the part of the limits that a VM uses while it has no contact with the leader: one request in each period of
// members/limit seconds, at a time of its own within the period. It is not safe for concurrent use.
type Shares struct {
	turns map[string]*turns
	phase func() float64 // in [0, 1)
}

// turns are those of one VM at one server.
type turns struct {
	period float64 // in seconds
	phase  float64 // of the turn within a period, in [0, 1)
	next   int64   // number of the first period whose turn was not used
}

// NewShares returns the shares of a VM, at random times within the periods.
func NewShares() *Shares { return &Shares{turns: map[string]*turns{}, phase: rand.Float64} }

// Take uses the VM's present turn at a server, if there is one, and reports whether it did. members is the number of
// VMs that share the limit.
func (s *Shares) Take(server string, perSecond float64, members int, now time.Duration) bool {
	period := float64(max(members, 1)) / max(perSecond, minPerSecond)
	t := s.turns[server]
	if t == nil || t.period != period {
		t = &turns{period: period, phase: s.phase()}
		s.turns[server] = t
	}
	position := now.Seconds()/period - t.phase
	number := int64(position)
	if position < 0 || number < t.next || (position-float64(number))*period > turnLifetime.Seconds() {
		return false
	}
	t.next = number + 1
	return true
}
