package weights

import (
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

// simulatedFleet applies orders to servers as healthy engines do, except on the failing ones.
type simulatedFleet struct {
	servers []Server
	failing map[api.ServerID]bool
}

func newSimulatedFleet(n int) *simulatedFleet {
	f := &simulatedFleet{failing: map[api.ServerID]bool{}}
	for i := range n {
		f.servers = append(f.servers, Server{
			ID: api.ServerID(fmt.Sprintf("s%03d", i)), Pool: "p", Model: "m",
			Current: 1, Loaded: []api.WeightVersion{1},
		})
	}
	return f
}

func (f *simulatedFleet) apply(orders []Order) {
	for _, o := range orders {
		for i := range f.servers {
			s := &f.servers[i]
			if s.ID != o.Server.ID || f.failing[s.ID] {
				continue
			}
			switch o.Kind {
			case OrderLoad:
				s.Loaded = append(s.Loaded, o.Version)
			case OrderSwitch:
				s.Current = o.Version
			case OrderUnload:
				s.Loaded = removeVersion(s.Loaded, o.Version)
			}
		}
	}
}

func removeVersion(list []api.WeightVersion, v api.WeightVersion) []api.WeightVersion {
	var out []api.WeightVersion
	for _, x := range list {
		if x != v {
			out = append(out, x)
		}
	}
	return out
}

func countOrders(orders []Order, k OrderKind) int {
	n := 0
	for _, o := range orders {
		if o.Kind == k {
			n++
		}
	}
	return n
}

// Guards against overloading the weight store, and against a pool in which more than half of the servers switch at
// once, so that requests have to wait.
func TestPlanLimitsConcurrentLoadsAndSwitches(t *testing.T) {
	f := newSimulatedFleet(12)
	p := NewPlanner(PlannerOptions{MaxConcurrentLoads: 3})
	targets := map[string]Target{"m": {Newest: 2}}
	for round := range 20 {
		orders := p.Plan(time.Duration(round)*100*time.Millisecond, f.servers, targets)
		if n := countOrders(orders, OrderLoad); n > 3 {
			t.Fatalf("round %d: %d loads at once, want at most 3", round, n)
		}
		if n := countOrders(orders, OrderSwitch); n > 6 {
			t.Fatalf("round %d: %d switches at once, want at most 6", round, n)
		}
		f.apply(orders)
	}
	for _, s := range f.servers {
		if s.Current != 2 {
			t.Errorf("server %s runs version %d, want 2", s.ID, s.Current)
		}
	}
}

// Guards against endless orders to a server that acknowledges them but never carries them out.
func TestPlanGivesUpAfterRepeatedFailures(t *testing.T) {
	f := newSimulatedFleet(3)
	f.failing["s001"] = true
	p := NewPlanner(PlannerOptions{LoadTimeout: time.Second})
	targets := map[string]Target{"m": {Newest: 2}}
	sent := 0
	for round := range 100 {
		orders := p.Plan(time.Duration(round)*100*time.Millisecond, f.servers, targets)
		for _, o := range orders {
			if o.Server.ID == "s001" {
				sent++
			}
		}
		f.apply(orders)
	}
	if sent != 3 {
		t.Errorf("sent %d orders to the failing server, want 3", sent)
	}
	failed := 0
	for _, e := range p.TakeOutcomes() {
		if !e.Succeeded && e.Server == "s001" {
			failed++
		}
	}
	if failed != 3 {
		t.Errorf("%d failed orders reported for the failing server, want 3", failed)
	}
	if !p.GivenUp("s001", 2) || p.GivenUp("s000", 2) {
		t.Error("want the failing server, and only that one, to be given up")
	}
	if f.servers[0].Current != 2 || f.servers[2].Current != 2 {
		t.Error("healthy servers must run the new version")
	}
}

// Guards against a server that never loads a new version because its memory is full of old ones, and against unloading
// the version that it runs.
func TestPlanUnloadsOldVersionFirst(t *testing.T) {
	f := newSimulatedFleet(1)
	f.servers[0].Current = 2
	f.servers[0].Loaded = []api.WeightVersion{1, 2}
	p := NewPlanner(PlannerOptions{})
	targets := map[string]Target{"m": {Newest: 3}}
	var kinds []OrderKind
	for round := range 5 {
		for _, o := range p.Plan(time.Duration(round)*time.Second, f.servers, targets) {
			kinds = append(kinds, o.Kind)
			f.apply([]Order{o})
		}
	}
	want := []OrderKind{OrderUnload, OrderLoad, OrderSwitch}
	if fmt.Sprint(kinds) != fmt.Sprint(want) {
		t.Errorf("got orders %v, want %v", kinds, want)
	}
}

// Guards against a weight update that leaves no server for a row whose version range ends below the newest version.
func TestPlanKeepsServersForPinnedVersion(t *testing.T) {
	rows := table.NewSnapshot(1, map[api.RowName]table.Row{
		"live":   {Name: "live", Model: "m"},
		"pinned": {Name: "pinned", Model: "m", Weights: table.WeightVersionRange{Max: 1}},
	})
	target := TargetForModel("m", 2, rows)
	f := newSimulatedFleet(8)
	p := NewPlanner(PlannerOptions{})
	for round := range 20 {
		f.apply(p.Plan(time.Duration(round)*100*time.Millisecond, f.servers, map[string]Target{"m": target}))
	}
	versions := map[api.WeightVersion]int{}
	for _, s := range f.servers {
		versions[s.Current]++
	}
	if versions[1] != 1 || versions[2] != 7 {
		t.Errorf("servers by version %v, want 1 on version 1 and 7 on version 2", versions)
	}
}

// Guards against a publication that has to wait for loads from the rate-limited weight store: a staged version must be
// loaded ahead, so that its publication needs only one switch on each server.
func TestPlanLoadsStagedVersionAhead(t *testing.T) {
	f := newSimulatedFleet(8)
	p := NewPlanner(PlannerOptions{MaxConcurrentLoads: 2})
	for round := range 10 {
		f.apply(p.Plan(time.Duration(round)*100*time.Millisecond, f.servers, map[string]Target{"m": {Newest: 1, Staged: 2}}))
	}
	for _, s := range f.servers {
		if s.Current != 1 || !s.hasLoaded(2) {
			t.Fatalf("server %s runs %d with %v loaded, want version 1 running and version 2 loaded", s.ID, s.Current, s.Loaded)
		}
	}
	for round := 10; round < 13; round++ {
		orders := p.Plan(time.Duration(round)*100*time.Millisecond, f.servers, map[string]Target{"m": {Newest: 2}})
		if n := len(orders) - countOrders(orders, OrderSwitch); n > 0 {
			t.Fatalf("got %d orders other than switches after the publication: %v", n, orders)
		}
		f.apply(orders)
	}
	for _, s := range f.servers {
		if s.Current != 2 {
			t.Errorf("server %s runs version %d, want 2", s.ID, s.Current)
		}
	}
}
