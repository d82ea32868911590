package scheduling

import (
	"fmt"
	"testing"
)

// fakeSite is a provider and its servers in three zones, in steps of one second. Order totals replace each other in the order in
// which they are carried out.
type fakeSite struct {
	now         float64
	names       []string
	live        map[string]*[2]int
	booting     map[string]*[2][]float64 // times at which servers are ready
	leaving     map[string]int           // spot servers that leave
	cut         map[string]bool
	hidden      bool               // servers run and do not announce themselves
	ignoring    map[string]bool    // zones whose orders are accepted and have no effect
	unavailable map[string]float64 // until when there are no spot servers
	late        []lateOrder
	lost        int     // calls that get lost next
	delay       float64 // of the orders that are carried out late
	reducedAt   map[string]float64
	callsPerS   int
	calls       int // in this second
	sent        []ServerOrder
	cost        float64
}

type lateOrder struct {
	at float64
	o  ServerOrder
}

var sitePrices = map[string]float64{"a": 0.8, "b": 1, "c": 1.25}

const (
	siteBoot  = 4.0
	siteSlots = 8
)

func newFakeSite() *fakeSite {
	return &fakeSite{
		names: []string{"a", "b", "c"}, live: map[string]*[2]int{"a": {15, 0}, "b": {15, 0}, "c": {14, 0}}, leaving: map[string]int{},
		booting: map[string]*[2][]float64{"a": {}, "b": {}, "c": {}}, cut: map[string]bool{}, ignoring: map[string]bool{}, unavailable: map[string]float64{}, reducedAt: map[string]float64{}, callsPerS: 25,
	}
}

func (f *fakeSite) order(o ServerOrder) OrderOutcome {
	if f.calls++; f.calls > f.callsPerS {
		return OrderDelayed
	}
	f.sent = append(f.sent, o)
	if o.Kind == SpotServers && f.now < f.unavailable[o.Zone] && o.Servers > f.live[o.Zone][SpotServers] {
		return OrderRefused
	}
	if f.lost > 0 {
		f.lost--
		return OrderUnknown
	}
	if f.delay > 0 {
		f.late = append(f.late, lateOrder{f.now + f.delay, o})
		return OrderUnknown
	}
	if !f.ignoring[o.Zone] {
		f.carryOut(o)
	}
	return OrderAccepted
}

func (f *fakeSite) carryOut(o ServerOrder) {
	live, booting := &f.live[o.Zone][o.Kind], &f.booting[o.Zone][o.Kind]
	for *live+len(*booting) < o.Servers {
		*booting = append(*booting, f.now+siteBoot)
	}
	for len(*booting) > 0 && *live+len(*booting) > o.Servers {
		*booting = (*booting)[1:]
	}
	*live = min(*live, o.Servers)
}

// advance moves the site by one second.
func (f *fakeSite) advance() {
	f.now, f.calls = f.now+1, 0
	clear(f.leaving)
	for len(f.late) > 0 && f.late[0].at <= f.now {
		f.carryOut(f.late[0].o)
		f.late = f.late[1:]
	}
	for _, name := range f.names {
		for kind, price := range [2]float64{1, 0.22} {
			waiting := &f.booting[name][kind]
			for len(*waiting) > 0 && (*waiting)[0] <= f.now {
				*waiting = (*waiting)[1:]
				f.live[name][kind]++
			}
			f.cost += float64(f.live[name][kind]) * price * sitePrices[name]
		}
	}
}

// callBack reclaims all spot servers of the zones.
func (f *fakeSite) callBack(zones ...string) {
	for _, name := range zones {
		f.leaving[name] = f.live[name][SpotServers]
		f.live[name][SpotServers], f.unavailable[name] = 0, f.now+9
		f.booting[name][SpotServers] = nil
	}
}

func (f *fakeSite) observe() (zones []ObservedZone, slots float64) {
	for _, name := range f.names {
		z := ObservedZone{Name: name, Price: sitePrices[name], Announced: *f.live[name], Leaving: [2]int{0, f.leaving[name]}}
		if f.hidden {
			z.Announced, z.Leaving = [2]int{}, [2]int{}
		}
		if f.cut[name] {
			z.Silent = z.Announced
		} else {
			slots += float64(z.Announced[0]+z.Announced[1]) * siteSlots
		}
		zones = append(zones, z)
	}
	return zones, slots
}

// steps returns three trainers whose usual and open steps need the given numbers of slots to be done in half of 7.5 s.
func steps(usual, open float64) []TrainerDemand {
	out := make([]TrainerDemand, 3)
	for i := range out {
		out[i] = TrainerDemand{UsualWork: usual * 3.75 / 3, Due: 7.5, Interval: 6, Open: []StepDemand{{Work: open * 3.75 / 3, TimeLeft: 7.5}}}
	}
	return out
}

// Guards against late groups for want of servers (seconds with fewer slots than the steps need), against a bill that grows without
// load, and against orders that never settle, when servers, zones, spot servers or calls fail.
func TestCapacityOverTime(t *testing.T) {
	const changeAt = 40.0
	usual, large := 200.0, 400.0 // slots; the 44 regular servers have 352, of which 281 are planned with
	after := func(before, later float64) func(float64) float64 {
		return func(now float64) float64 {
			if now >= changeAt {
				return later
			}
			return before
		}
	}
	for _, tc := range []struct {
		name     string
		demand   func(now float64) float64
		change   func(f *fakeSite) // at changeAt
		setup    func(f *fakeSite)
		until    float64
		maxShort int     // seconds with fewer slots than the demand, from changeAt on
		maxCost  float64 // relative to the 44 servers of the start
		orders   int     // at most
		growth   float64 // of the usual demand
		// newLeader replaces the tracker at changeAt.
		newLeader bool
		check     func(f *fakeSite) error
	}{
		{name: "steady load", demand: after(usual, usual), until: 200, maxCost: 1.001},
		{name: "larger steps", demand: after(usual, large), until: 100, maxShort: 5, maxCost: 1.10, orders: 3},
		{
			name: "more trainers", demand: after(usual, large), growth: large - usual, until: 200, maxShort: 5, maxCost: 1.2, orders: 40,
			check: func(f *fakeSite) error {
				if rest := f.live["a"][0] + f.live["b"][0]; float64(rest*siteSlots)*lossUse < large*3.75/6 {
					return fmt.Errorf("%d regular servers without zone c are too few", rest)
				}
				return nil
			},
		},
		{
			name: "more trainers for a minute", growth: large - usual, until: 400, maxShort: 5, maxCost: 1.1, orders: 40, check: wantLive("a", 15, 0),
			demand: func(now float64) float64 {
				if now >= changeAt && now < 2*changeAt {
					return large
				}
				return usual
			},
		},
		{
			name: "pause of four seconds", until: 100, maxShort: 0, maxCost: 1.15, orders: 3,
			demand: func(now float64) float64 {
				if now < 12 || now >= changeAt && now < changeAt+4 {
					return 0
				}
				return large
			},
		},
		{name: "quiet hour", demand: after(large, 0), until: 3640, maxCost: 0.15, orders: 90, check: wantLive("a", 1, 0)},
		{
			name: "zone cut off", demand: after(260, 260), change: func(f *fakeSite) { f.cut["b"] = true }, until: 120, maxShort: 4, maxCost: 1.1, orders: 4,
			check: wantLive("a", 15, 6), // half of the spot servers
		},
		{name: "zone that ignores orders", demand: after(usual, 550), change: func(f *fakeSite) { f.ignoring["a"] = true }, until: 100, maxShort: 14, maxCost: 1.15, orders: 10},
		{
			name: "servers that are announced late", demand: after(usual, usual), until: 140, maxCost: 1.1, orders: 50,
			setup: func(f *fakeSite) { f.hidden = true }, change: func(f *fakeSite) { f.hidden = false }, check: wantLive("a", 15, 0),
		},
		{name: "lost orders", demand: after(usual, large), change: func(f *fakeSite) { f.lost = 3 }, until: 100, maxShort: 7, maxCost: 1.1, orders: 6},
		{
			name: "older order carried out late", demand: after(large, large), change: func(f *fakeSite) { f.carryOut(ServerOrder{"b", SpotServers, 0}) }, until: 50,
			maxCost: 1.15, orders: 10, check: wantLive("b", 15, 6),
		},
		{name: "end of the load after a change of the leader", demand: after(large, 0), newLeader: true, until: 55, maxCost: 1.15, orders: 10},
		{
			name: "more work than loads of weights allow", demand: after(usual, 2000), until: 100, maxShort: 100, maxCost: 1.6, orders: 25,
			check: func(f *fakeSite) error {
				if _, slots := f.observe(); slots > 80*siteSlots {
					return fmt.Errorf("%.0f slots of more than 80 servers", slots)
				}
				return nil
			},
		},
		{name: "spot servers of one zone called back", demand: after(large, large), change: func(f *fakeSite) { f.callBack("a") }, until: 100, maxShort: 5, maxCost: 1.15, orders: 12},
		{name: "all spot servers called back", demand: after(large, large), change: func(f *fakeSite) { f.callBack("a", "b", "c") }, until: 160, maxShort: 5, maxCost: 1.2, orders: 40},
		{
			name: "no spot servers in two zones", demand: after(usual, large), until: 100, maxShort: 6, maxCost: 1.15, orders: 25,
			change: func(f *fakeSite) { f.unavailable["a"], f.unavailable["b"] = 1000, 1000 },
		},
		{name: "one call a second", demand: after(usual, large), setup: func(f *fakeSite) { f.callsPerS = 1 }, until: 100, maxShort: 7, maxCost: 1.12, orders: 3},
		{
			name: "orders carried out 12 s late", demand: after(usual, large), setup: func(f *fakeSite) { f.delay = 12 }, until: 200, maxShort: 17, maxCost: 1.25, orders: 60,
			check: func(f *fakeSite) error { f.delay = 0; return nil },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, tracker := newFakeSite(), NewCapacityTracker(0)
			if tc.setup != nil {
				tc.setup(f)
			}
			short, leaderSince := 0, 0.0
			for f.now < tc.until {
				f.advance()
				if f.now == changeAt && tc.change != nil {
					tc.change(f)
				}
				if f.now == changeAt && tc.newLeader {
					tracker, leaderSince = NewCapacityTracker(f.now), f.now
				}
				zones, slots := f.observe()
				demand := tc.demand(f.now)
				in := CapacityInput{Now: f.now, MinServers: 1, MaxServers: 30, SpotPrice: 0.22, SlotsPerServer: siteSlots, BootTime: siteBoot, VersionInterval: 6}
				if demand > 0 {
					in.Trainers = steps(min(demand, usual+tc.growth), demand)
				}
				tracker.Plan(in, zones)
				for _, o := range tracker.Due(f.now) {
					if f.cut[o.Zone] {
						t.Errorf("order %+v for a zone that is cut off", o)
					}
					if o.Servers < f.live[o.Zone][o.Kind] {
						if f.now-leaderSince < 10 || f.delay == 0 && (f.now-f.reducedAt[o.Zone] < 5 || o.Servers < f.live[o.Zone][o.Kind]-1) {
							t.Errorf("%.0f s: order %+v gives back servers too early", f.now, o)
						}
						f.reducedAt[o.Zone] = f.now
					}
					tracker.Sending(o)
					tracker.Done(o, f.order(o), f.now)
				}
				if f.now >= changeAt && slots < demand {
					short++
				}
			}
			relative := f.cost / ((15*0.8 + 15 + 14*1.25) * tc.until)
			t.Logf("%d s short, cost %.3f, %d orders, live %v %v %v", short, relative, len(f.sent), *f.live["a"], *f.live["b"], *f.live["c"])
			if short > tc.maxShort || relative > tc.maxCost || len(f.sent) > tc.orders {
				t.Errorf("want at most %d s, cost %.3f, %d orders", tc.maxShort, tc.maxCost, tc.orders)
			}
			if tc.check != nil {
				if err := tc.check(f); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func wantLive(zone string, regular, spot int) func(*fakeSite) error {
	return func(f *fakeSite) error {
		if got := *f.live[zone]; got != [2]int{regular, spot} {
			return fmt.Errorf("zone %s has %v servers, want %d regular and %d spot", zone, got, regular, spot)
		}
		return nil
	}
}
