package scheduling

import (
	"cmp"
	"math"
	"slices"
)

// CapacityTracker keeps the orders of servers of one service and decides which orders to send. It is designed for a provider that
// may carry out an order late, or without an answer, and that tells nothing of what it has accepted. Announcements of the servers
// are the only evidence. Times are in seconds. It is not safe for concurrent use.

const (
	// bootAllowance is how many boot times may pass until ordered servers are announced. Then other zones take their part.
	bootAllowance = 2.0
	// repeatAfter is the time after which an order without effect is repeated. An order may be carried out 12 s late.
	repeatAfter = 12.0
	// unknownRetry is the time after which an order without an answer is repeated; it doubles up to repeatAfter. Orders hold
	// totals, so that a repetition does no harm. delayedRetry is the same for calls that the provider did not accept for want of budget.
	unknownRetry = 2.0
	delayedRetry = 1.0
	// undoneRetry is how long announced servers may differ from an order that had taken effect. The cause is mostly an older order
	// that was carried out late.
	undoneRetry = 3.0
	// minRefusal and maxRefusal bound the time for which a zone is left out after a refusal. Spot servers are back after about 9 s.
	minRefusal = 3.0
	maxRefusal = 9.0
	// reductionInterval is the time between two servers that a zone gives back. The provider chooses the servers, which may run
	// items; these move or finish while the server is draining.
	reductionInterval = 5.0
	// startGrace is the time after the start of a leadership in which nothing is reduced: servers may not have announced themselves
	// to this VM yet. spotGrace is the same for orders of further spot servers.
	startGrace = 10.0
	spotGrace  = 2.0
	// unseenGrace is the same for regular servers of a zone from which no server has announced itself in this leadership. An order
	// for such a zone may give back servers that run, but that this VM does not hear of.
	unseenGrace = 60.0
	// minBootTime is the shortest boot time that is assumed; servers announce themselves about every second.
	minBootTime = 2.0
	// leavingCredit is how long a leaving spot server may be explained by an earlier reduction.
	leavingCredit = 20.0
)

// ServerKind is the kind of the servers of an order.
type ServerKind int

// Kinds of servers.
const (
	RegularServers ServerKind = iota
	SpotServers
)

func (k ServerKind) String() string {
	if k == SpotServers {
		return "spot"
	}
	return "regular"
}

// ObservedZone holds the announced servers of a zone by ServerKind.
type ObservedZone struct {
	Name      string
	Price     float64
	Announced [2]int // not leaving
	Silent    [2]int
	Leaving   [2]int
}

// ServerOrder is an order to send.
type ServerOrder struct {
	Zone    string
	Kind    ServerKind
	Servers int
}

// OrderOutcome is the result of an order.
type OrderOutcome int

// Outcomes of an order.
const (
	OrderAccepted OrderOutcome = iota
	OrderRefused               // there are no such servers in the zone
	OrderDelayed               // the provider accepts no more calls at the moment
	OrderUnknown               // the order may be carried out later
)

// trackedZone is what is known of a zone.
type trackedZone struct {
	ObservedZone
	base        int
	baseKnown   bool // the base no longer follows the announced servers
	seen        bool // a server has announced itself in this leadership
	sending     bool
	nextReduced float64 // no reduction before
	kinds       [2]trackedKind
}

type trackedKind struct {
	wanted       int
	ordered      int
	sent         bool // an order was sent in this leadership
	sentAt       float64
	changedAt    float64 // when the ordered number changed
	notBefore    float64 // no order before
	unanswered   float64 // time until the order is repeated; 0 if it was answered
	reached      bool    // the announced servers have matched the order
	differsSince float64 // since when they do not; infinite if they match
	refusedUntil float64
	backoff      float64
	credit       int // servers that were given back and have not been seen leaving
	creditUntil  float64
}

// CapacityTracker is described above.
type CapacityTracker struct {
	startedAt float64
	bootTime  float64
	zones     map[string]*trackedZone
	history   []DemandSample
}

// NewCapacityTracker returns the tracker of a leadership that begins now.
func NewCapacityTracker(now float64) *CapacityTracker {
	return &CapacityTracker{startedAt: now, zones: map[string]*trackedZone{}}
}

// Plan takes the announced servers and makes a plan with them. Zones and History of in are set by the tracker.
func (t *CapacityTracker) Plan(in CapacityInput, observed []ObservedZone) CapacityPlan {
	in.BootTime = max(in.BootTime, minBootTime)
	t.bootTime = in.BootTime
	in.History, in.Zones = t.history, nil
	seen := map[string]bool{}
	for _, o := range observed {
		seen[o.Name] = true
		t.observe(o, in.Now)
	}
	for name, z := range t.zones {
		if !seen[name] {
			t.observe(ObservedZone{Name: name, Price: z.Price}, in.Now)
		}
	}
	for _, z := range t.sortedZones() {
		in.Zones = append(in.Zones, CapacityZone{
			Name: z.Name, Price: z.Price, Base: z.base, Regular: t.servers(z, RegularServers, in.Now), Spot: t.servers(z, SpotServers, in.Now),
		})
	}
	plan := PlanCapacity(in)
	t.history = plan.History
	for _, w := range plan.Zones {
		z := t.zones[w.Zone]
		z.kinds[RegularServers].wanted, z.kinds[SpotServers].wanted = w.Regular, w.Spot
		if z.baseKnown {
			z.base = w.Kept
		}
	}
	return plan
}

func (t *CapacityTracker) sortedZones() []*trackedZone {
	out := make([]*trackedZone, 0, len(t.zones))
	for _, z := range t.zones {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b *trackedZone) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// observe compares the announced servers of a zone with the orders.
func (t *CapacityTracker) observe(o ObservedZone, now float64) {
	z := t.zones[o.Name]
	if z == nil {
		z = &trackedZone{kinds: [2]trackedKind{{differsSince: math.Inf(1)}, {differsSince: math.Inf(1)}}}
		t.zones[o.Name] = z
	}
	spot := &z.kinds[SpotServers]
	if now > spot.creditUntil {
		spot.credit = 0
	}
	if left := o.Leaving[SpotServers] - z.Leaving[SpotServers]; left > 0 {
		given := min(left, spot.credit)
		spot.credit -= given
		if left > given {
			// The servers were reclaimed. For about as long as the longest refusal there are no others in the zone.
			spot.refusedUntil = max(spot.refusedUntil, now+maxRefusal)
			spot.ordered, spot.sent = o.Announced[SpotServers], true
		}
	}
	z.ObservedZone = o
	z.seen = z.seen || o.Announced != [2]int{} || o.Leaving != [2]int{}
	if regular := &z.kinds[RegularServers]; !z.baseKnown || !regular.sent && o.Announced[RegularServers] > regular.ordered {
		z.base = max(z.base, o.Announced[RegularServers]) // servers that exist without an order are kept
		z.baseKnown = now-t.startedAt >= startGrace
	}
	for kind := range z.kinds {
		k := &z.kinds[kind]
		announced := o.Announced[kind]
		if !k.sent {
			k.ordered = max(k.ordered, announced)
		}
		switch {
		case announced == k.ordered:
			k.reached, k.differsSince, k.unanswered = true, math.Inf(1), 0
		case math.IsInf(k.differsSince, 1):
			k.differsSince = now
		}
	}
}

// servers returns the servers of a kind for the planner.
func (t *CapacityTracker) servers(z *trackedZone, kind ServerKind, now float64) CapacityServers {
	k := &z.kinds[kind]
	c := CapacityServers{Announced: z.Announced[kind], Silent: z.Silent[kind], Ordered: k.ordered, RefusedUntil: k.refusedUntil}
	difference := k.ordered - c.Announced
	if k.sent && difference != 0 {
		if now-k.changedAt <= bootAllowance*t.bootTime {
			c.Pending = difference
		} else {
			c.Overdue = difference > 0
		}
	}
	return c
}

// Due returns the orders to send now, at most one for each zone: the provider counts a service together with a zone as one matter,
// and orders that overtake each other would be carried out in the wrong order.
func (t *CapacityTracker) Due(now float64) []ServerOrder {
	var out []ServerOrder
	for _, z := range t.sortedZones() {
		if z.sending {
			continue
		}
		for kind := range z.kinds {
			if n, due := t.dueServers(z, ServerKind(kind), now); due {
				out = append(out, ServerOrder{Zone: z.Name, Kind: ServerKind(kind), Servers: n})
				break
			}
		}
	}
	return out
}

// dueServers returns the number of servers to order, and whether an order is due.
func (t *CapacityTracker) dueServers(z *trackedZone, kind ServerKind, now float64) (int, bool) {
	k := &z.kinds[kind]
	age := now - t.startedAt
	grace := spotGrace
	if kind == RegularServers {
		grace = startGrace
		if !z.seen {
			grace = unseenGrace
		}
	}
	if now < k.notBefore || age < grace {
		return 0, false
	}
	n, announced := k.wanted, z.Announced[kind]
	switch {
	case n > k.ordered:
		return n, now >= k.refusedUntil
	case n < k.ordered:
	case k.unanswered > 0 && now-k.sentAt >= k.unanswered:
	case k.sent && k.reached && now-k.differsSince >= undoneRetry && now-k.sentAt >= undoneRetry:
	case now-k.differsSince >= repeatAfter && now-k.sentAt >= repeatAfter:
	default:
		return 0, false
	}
	if n < max(k.ordered, announced) {
		// One server at a time, but servers that were ordered and do not exist yet are not waited for.
		n = max(n, min(k.ordered, announced)-1)
		if n == k.ordered {
			n = max(n, announced-1) // more servers appeared than were ordered
		}
		return n, age >= startGrace && now >= z.nextReduced && z.Silent == [2]int{}
	}
	return n, now >= k.refusedUntil
}

// Sending notes that an order is being sent.
func (t *CapacityTracker) Sending(o ServerOrder) { t.zones[o.Zone].sending = true }

// Done takes the outcome of an order.
func (t *CapacityTracker) Done(o ServerOrder, outcome OrderOutcome, now float64) {
	z := t.zones[o.Zone]
	z.sending = false
	k := &z.kinds[o.Kind]
	switch outcome {
	case OrderDelayed:
		k.notBefore = now + delayedRetry
		return
	case OrderRefused:
		k.backoff = min(max(2*k.backoff, minRefusal), maxRefusal)
		k.refusedUntil = max(k.refusedUntil, now+k.backoff)
		k.unanswered = 0 // nothing was ordered: the order before stays in force
		return
	case OrderUnknown:
		k.unanswered = min(max(2*k.unanswered, unknownRetry), repeatAfter)
	case OrderAccepted:
		k.unanswered, k.backoff = 0, 0
	}
	announced := z.Announced[o.Kind]
	if o.Servers < announced || o.Servers < k.ordered {
		z.nextReduced = now + reductionInterval
		if given := min(k.ordered, announced) - o.Servers; given > 0 {
			k.credit, k.creditUntil = k.credit+given, now+leavingCredit
		}
	}
	if o.Servers != k.ordered {
		k.reached, k.differsSince, k.changedAt = false, now, now
	}
	k.ordered, k.sent, k.sentAt = o.Servers, true, now
	if o.Servers == announced {
		k.reached, k.differsSince = true, math.Inf(1)
	}
}
