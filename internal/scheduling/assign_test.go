package scheduling

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func unassignedEngines(n int) []AssignableEngine {
	out := make([]AssignableEngine, n)
	for i := range out {
		out[i].ID = fmt.Sprintf("e%03d", i)
	}
	return out
}

func drawModels(t *rapid.T) (models []ModelWork, total float64) {
	for i := range rapid.IntRange(2, 9).Draw(t, "models") {
		work := rapid.Float64Range(500, 1500).Draw(t, "work")
		models = append(models, ModelWork{Model: fmt.Sprintf("m%d", i), Work: work})
		total += work
	}
	return models, total
}

// supplyOf returns the number of engines that serve each model, a shared engine in equal parts.
func supplyOf(t *rapid.T, serving [][]string) map[string]float64 {
	supply := map[string]float64{}
	for i, list := range serving {
		if len(list) == 0 {
			t.Fatalf("engine %d serves no model", i)
		}
		for _, m := range list {
			supply[m] += 1 / float64(len(list))
		}
	}
	return supply
}

// TestDivideEnginesFollowsWork guards against a model with too few engines for its work, or with none, and against an
// engine without a model.
func TestDivideEnginesFollowsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models, total := drawModels(t)
		engines := unassignedEngines(rapid.IntRange(len(models), 100).Draw(t, "engines"))
		supply := supplyOf(t, DivideEngines(engines, models))
		for _, m := range models {
			// The parts of a shared engine are unequal, and parts below minEngineShare are left out, at both borders.
			want := m.Work / total * float64(len(engines))
			if got := supply[m.Model]; got == 0 || math.Abs(got-want) > 1+2*minEngineShare {
				t.Fatalf("model %s gets %.2f of %d engines, its work is worth %.2f", m.Model, got, len(engines), want)
			}
		}
	})
}

// TestDivideEnginesIsStable guards against engines that change their model, and so load its weights, without need: when
// nothing changes, when the arguments come in another order, or when engines are lost and come back one after the other,
// as in a partition.
func TestDivideEnginesIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models, total := drawModels(t)
		engines := unassignedEngines(rapid.IntRange(3*len(models), 100).Draw(t, "engines"))
		reversed := slices.Clone(models)
		slices.Reverse(reversed)
		first := DivideEngines(engines, models)
		if again := DivideEngines(engines, reversed); !slices.EqualFunc(first, again, slices.Equal) {
			t.Fatalf("another order of the models changes the division from %v to %v", first, again)
		}
		loads := 0
		divide := func(usable []int) {
			list := make([]AssignableEngine, len(usable))
			for i, e := range usable {
				list[i] = engines[e]
			}
			serving := DivideEngines(list, models)
			supply := supplyOf(t, serving)
			for i, e := range usable {
				for _, m := range serving[i] {
					if len(engines[e].Models) > 0 && !slices.Contains(engines[e].Models, m) {
						loads++
					}
				}
				engines[e].Models = serving[i]
			}
			for _, m := range models {
				// One engine more or less is the finest that can be reached.
				want := m.Work / total * float64(len(usable))
				if supply[m.Model] < minSupply*want-1 || supply[m.Model] == 0 {
					t.Fatalf("with %d engines model %s has %.2f, its work is worth %.2f", len(usable), m.Model, supply[m.Model], want)
				}
			}
		}
		var all []int
		for i := range engines {
			all = append(all, i)
		}
		divide(all)
		divide(all)
		if loads > 0 {
			t.Fatalf("a second call with the same input makes %d engines load a model", loads)
		}
		lost := rapid.IntRange(1, len(engines)/3).Draw(t, "lost")
		for n := 1; n <= lost; n++ {
			divide(all[n:])
		}
		for n := lost - 1; n >= 0; n-- {
			divide(all[n:])
		}
		if loads > 2*lost+len(models) {
			t.Fatalf("%d engines were lost and came back; %d loads of other models", lost, loads)
		}
	})
}

// TestDivideEnginesDoesNotSwap guards against an engine that goes back and forth between models of the same supply, with a
// load of weights at each call.
func TestDivideEnginesDoesNotSwap(t *testing.T) {
	for _, tc := range []struct {
		engines  int
		assigned bool // in turn
		work     []float64
	}{{13, true, []float64{1, 1, 1, 1, 1}}, {15, false, []float64{768.25, 681.5, 1500, 500, 500}}} {
		engines := unassignedEngines(tc.engines)
		var models []ModelWork
		for i, w := range tc.work {
			models = append(models, ModelWork{Model: fmt.Sprintf("m%d", i), Work: w})
		}
		for i := range engines {
			if tc.assigned {
				engines[i].Models = []string{models[i%len(models)].Model}
			}
		}
		for i, served := range DivideEngines(engines, models) {
			engines[i].Models = served
		}
		for i, served := range DivideEngines(engines, models) {
			if !slices.Equal(served, engines[i].Models) {
				t.Errorf("work %v: engine %d goes from %v to %v", tc.work, i, engines[i].Models, served)
			}
		}
	}
}

// TestDivideEnginesReturnsNilWithoutNeed guards against a model without any engine when there are fewer engines than
// models, and against a division with a single model.
func TestDivideEnginesReturnsNilWithoutNeed(t *testing.T) {
	if got := DivideEngines(unassignedEngines(1), []ModelWork{{"x", 1}, {"y", 1}}); got != nil {
		t.Errorf("fewer engines than models: got %v, want nil", got)
	}
	if got := DivideEngines(unassignedEngines(3), []ModelWork{{"x", 1}}); got != nil {
		t.Errorf("one model: got %v, want nil", got)
	}
}

// TestDivideEnginesFollowsChangedWork guards against a trainer that keeps too few engines after its steps have grown,
// and against engines that change their models for the ordinary variation of the steps.
func TestDivideEnginesFollowsChangedWork(t *testing.T) {
	engines := unassignedEngines(40)
	even := []ModelWork{{"x", 1000}, {"y", 1000}, {"z", 1000}, {"w", 1000}}
	for i, models := range DivideEngines(engines, even) {
		engines[i].Models = models
	}
	count := func(work []ModelWork) (changed int, supply map[string]int) {
		supply = map[string]int{}
		for i, models := range DivideEngines(engines, work) {
			if !slices.Equal(models, engines[i].Models) {
				changed++
			}
			supply[models[0]]++
		}
		return changed, supply
	}
	if changed, _ := count([]ModelWork{{"x", 1100}, {"y", 950}, {"z", 1000}, {"w", 900}}); changed > 0 {
		t.Errorf("ordinary variation changes the models of %d engines", changed)
	}
	if changed, supply := count([]ModelWork{{"x", 3000}, {"y", 1000}, {"z", 1000}, {"w", 1000}}); supply["x"] < 16 || changed > 10 {
		t.Errorf("with three times the work, x has %d of 40 engines after %d changes, want at least 16 with at most 10", supply["x"], changed)
	}
}

// TestDivideEnginesTakesFromModelsThatCanGive guards against a model that keeps too few engines because the model with
// the most engines for its work has a single one.
func TestDivideEnginesTakesFromModelsThatCanGive(t *testing.T) {
	models := []ModelWork{{"large", 240}, {"small", 70}, {"x", 245}, {"y", 245}}
	engines := unassignedEngines(8)
	for i, model := range []string{"large", "small", "x", "x", "x", "y", "y", "y"} {
		engines[i].Models = []string{model}
	}
	count := map[string]int{}
	for _, serving := range DivideEngines(engines, models) {
		count[serving[0]]++
	}
	if count["large"] != 2 || count["small"] != 1 {
		t.Fatalf("engines by model: %v, want two for the largest and one for the smallest", count)
	}
}
