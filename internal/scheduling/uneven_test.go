package scheduling

import (
	"fmt"
	"testing"
)

const (
	unevenEngines  = 44
	unevenSlowdown = 1.7 / 0.7 // of every third engine
	unevenSeeds    = 4
)

// playUnevenFleet plays trainers on a fleet of which every third engine is slower or left out, and returns the mean duration
// of a step. An engine that is idle has no recent interval, as in the coordinator.
func playUnevenFleet(seed uint64, leaveOutSlow, useBaseline bool) float64 {
	f := newFleet(seed, unevenEngines, true, 0.4)
	for i := range f.engines {
		f.engines[i].BaselineInterval = fleetEventSeconds
		if i%3 == 2 {
			f.engines[i].BaselineInterval *= unevenSlowdown
			f.dark[i] = f.dark[i] || leaveOutSlow
		}
		f.engines[i].RecentInterval, f.engines[i].KindInterval = f.engines[i].BaselineInterval, f.engines[i].BaselineInterval
	}
	f.adjust = func(candidates []Engine, m *MedianIntervals) {
		for i := range candidates {
			if candidates[i].Running == 0 {
				candidates[i].RecentInterval = 0
			}
		}
		m.Uneven = m.Uneven && useBaseline
	}
	f.divideByWork()
	f.run()
	return f.stepTime / float64(f.steps)
}

// TestStepsAvoidSlowerKindOfEngine guards against steps that wait for items on engines of a slower kind while faster engines
// have room: after a short pause, idle slow engines were taken for fast ones and got a third of each step.
func TestStepsAvoidSlowerKindOfEngine(t *testing.T) {
	var with, without float64
	for seed := range uint64(unevenSeeds) {
		with += playUnevenFleet(seed, false, true) / unevenSeeds
		without += playUnevenFleet(seed, false, false) / unevenSeeds
	}
	if with >= without {
		t.Errorf("mean step %.2f s, want less than %.2f s as without the rule", with, without)
	}
}

// TestSlowerEnginesDoNotDelaySteps guards against slow engines that lengthen steps. They add capacity, so a step must not last
// longer with them than on the faster engines alone.
func TestSlowerEnginesDoNotDelaySteps(t *testing.T) {
	var with, fastOnly float64
	for seed := range uint64(unevenSeeds) {
		with += playUnevenFleet(seed, false, true) / unevenSeeds
		fastOnly += playUnevenFleet(seed, true, true) / unevenSeeds
	}
	if with > fastOnly {
		t.Errorf("mean step %.2f s, want at most %.2f s as on the faster engines alone", with, fastOnly)
	}
}

// TestUnevenFleet guards against a rule for fleets of several kinds of engines that acts where a fault slows down some
// engines, or for engines whose state is unknown.
func TestUnevenFleet(t *testing.T) {
	fleet := func(slow, all int) []Engine {
		list := make([]Engine, all)
		for i := range list {
			list[i] = Engine{Slots: 8, KindInterval: 40}
			if i < slow {
				list[i].KindInterval = 97
			}
		}
		return list
	}
	for _, tc := range []struct {
		name   string
		fleet  []Engine
		uneven bool
	}{{"a third", fleet(15, 44), true}, {"a fifth", fleet(9, 44), false}, {"none", fleet(0, 44), false}, {"no engines", nil, false}} {
		if got := ComputeMedianIntervals(tc.fleet); got.Uneven != tc.uneven {
			t.Errorf("%s slow: uneven %t", tc.name, got.Uneven)
		}
	}
	m := MedianIntervals{Recent: 40, Kind: 40, Uneven: true}
	for _, tc := range []struct {
		name   string
		engine Engine
		slow   bool
	}{
		{"idle, measured", Engine{KindInterval: 97}, true},
		{"idle, measured long ago", Engine{KindInterval: 97, MeasuredLongAgo: true}, false},
		{"runs one item that measures it", Engine{KindInterval: 97, MeasuredLongAgo: true, Running: 1}, true},
		{"fast", Engine{KindInterval: 44}, false},
		{"slowed down by a fault", Engine{BaselineInterval: 97, KindInterval: 40}, false},
		{"unknown", Engine{}, false},
	} {
		if got := m.isSlow(&tc.engine); got != tc.slow {
			t.Errorf("%s: slow %t", tc.name, got)
		}
	}
}

// TestMayDecideStep guards against moves of items that end before others of their step in any case.
func TestMayDecideStep(t *testing.T) {
	for _, tc := range []struct {
		left, longest float64
		want          bool
	}{{4, 4, true}, {2, 4, true}, {1, 4, false}, {0, 0, true}} {
		if got := MayDecideStep(tc.left, tc.longest); got != tc.want {
			t.Errorf("%g of %g s: %t", tc.left, tc.longest, got)
		}
	}
}

// TestDivideEnginesBySpeed guards against a model whose engines are mostly of a slower kind: its trainer falls behind step by
// step while the others wait.
func TestDivideEnginesBySpeed(t *testing.T) {
	const slowSpeed = 1 / unevenSlowdown
	models := []ModelWork{{"a", 10}, {"b", 10}, {"c", 10}, {"d", 10}}
	var engines []AssignableEngine
	total := 0.0
	for i := range unevenEngines {
		e := AssignableEngine{ID: fmt.Sprintf("e%02d", i), Models: []string{models[i/11].Model}, Speed: 1}
		if i < 8 || i >= 37 { // most engines of a, and many of d
			e.Speed = slowSpeed
		}
		total += e.Speed
		engines = append(engines, e)
	}
	supply := map[string]float64{}
	for i, served := range DivideEngines(engines, models) {
		for _, m := range served {
			supply[m] += engines[i].Speed / float64(len(served))
		}
	}
	for _, m := range models {
		if share := total / float64(len(models)); supply[m.Model] < minSupply*share {
			t.Errorf("model %s has engines worth %.1f, want at least %.1f", m.Model, supply[m.Model], minSupply*share)
		}
	}
}
