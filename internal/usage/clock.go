package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long a new leader collects times of day before it states a time. A VM that follows the former
	// leader finds the new one within some hundred milliseconds and then calls at least once a second.
	settleTime = 2 * time.Second
	// contactLifetime is how long the time of day of a VM counts after its last call.
	contactLifetime = 3 * time.Second
	// samplesPerVM bounds the samples of a VM among which the least delayed one counts.
	samplesPerVM = 8
	// clockStep is the difference between two samples of a VM that shows a step of its clock. A step backward needs two
	// samples: a single one may be delayed, and if the leader stands still for a moment, those of all VMs are at once.
	clockStep = int64(250 * time.Millisecond)
	// minTimeStated is the earliest time of day that is taken for one, in nanoseconds since the start of 1970.
	minTimeStated = int64(time.Hour)
)

// GroupClock determines the agreed time: the median of the times of day of all VMs in contact with the leader, against the
// leader's boot-time clock. The clocks of up to a third of the VMs may be wrong by any amount.
type GroupClock struct {
	startedAt time.Duration // boot time
	vms       map[string][]clockSample
}

// clockSample is the difference between a VM's time of day and the leader's boot time, in nanoseconds.
type clockSample struct {
	offset int64
	at     time.Duration // boot time
}

// NewGroupClock returns the clock of a VM that becomes the leader at the boot time now.
func NewGroupClock(now time.Duration) *GroupClock {
	return &GroupClock{startedAt: now, vms: map[string][]clockSample{}}
}

// Record records the time of day of a VM at the boot time now, in nanoseconds since the start of 1970. A time of 0, which
// earlier builds send, is ignored.
func (c *GroupClock) Record(vm string, timeOfDay int64, now time.Duration) {
	if timeOfDay < minTimeStated {
		return
	}
	s := clockSample{timeOfDay - int64(now), now}
	list := c.vms[vm]
	if n := len(list); n > 0 {
		last, before := list[n-1].offset, best(list)
		switch {
		case s.offset-before > clockStep:
			list = nil
		case before-s.offset > clockStep && before-last > clockStep:
			list = list[n-1:]
		case n == samplesPerVM:
			list = list[1:]
		}
	}
	c.vms[vm] = append(slices.Clone(list), s)
}

// best returns the largest offset of a VM's samples: each call is delayed, which lowers its sample.
func best(list []clockSample) int64 {
	return slices.MaxFunc(list, func(a, b clockSample) int { return cmp.Compare(a.offset, b.offset) }).offset
}

// Time returns the agreed time at the boot time now, in nanoseconds since the start of 1970. It is not known right after
// the start, while the few VMs in contact may be those whose clocks are wrong.
func (c *GroupClock) Time(now time.Duration) (unixNanos int64, known bool) {
	if now-c.startedAt < settleTime {
		return 0, false
	}
	var offsets []int64
	maps.DeleteFunc(c.vms, func(_ string, list []clockSample) bool { return now-list[len(list)-1].at > contactLifetime })
	for _, list := range c.vms {
		offsets = append(offsets, best(list))
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	return low + (high-low)/2 + int64(now), true
}

const (
	// sampleLifetime is how long the best sample of a MemberClock counts. Boot-time clocks drift by less than 0.1 ms a
	// second.
	sampleLifetime = 10 * time.Second
	// sampleTolerance is added to the uncertainty of two samples before they contradict each other.
	sampleTolerance = 5 * time.Millisecond
)

// MemberClock derives the agreed time from the leader's replies. It never uses the time of day of its VM.
type MemberClock struct {
	offset    int64 // agreed time minus boot time, in nanoseconds
	roundTrip time.Duration
	at        time.Duration // boot time of the sample
	known     bool
}

// Record records the agreed time that a reply states. The call was sent and its reply received at the given boot times,
// and the leader held it for the given time in between.
func (c *MemberClock) Record(agreed int64, sentAt, receivedAt, held time.Duration) {
	roundTrip := max(receivedAt-sentAt-max(held, 0), 0)
	if agreed < minTimeStated {
		return
	}
	offset := agreed - int64(receivedAt-roundTrip/2)
	// A sample is wrong by half its round trip at most. If two differ by more, the boot-time clock stood still in between, as
	// on a VM that was suspended, or the leader's time has changed.
	contradiction := time.Duration(offset-c.offset).Abs() > (roundTrip+c.roundTrip)/2+sampleTolerance
	if !c.known || roundTrip <= c.roundTrip || contradiction || receivedAt-c.at > sampleLifetime {
		*c = MemberClock{offset: offset, roundTrip: roundTrip, at: receivedAt, known: true}
	}
}

// Offset returns the agreed time minus the boot time, in nanoseconds.
func (c *MemberClock) Offset() (offset int64, known bool) { return c.offset, c.known }

// Delay returns the estimated delay of a call to the leader, 0 if it is unknown.
func (c *MemberClock) Delay() time.Duration { return c.roundTrip / 2 }
