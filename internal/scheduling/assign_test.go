package scheduling

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func engineIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("e%03d", i)
	}
	return out
}

// TestDivideEnginesFollowsWork guards against a model with too few engines for its work, or with none, and against an
// engine without a model.
func TestDivideEnginesFollowsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var models []ModelWork
		total := 0.0
		for i := range rapid.IntRange(2, 9).Draw(t, "models") {
			work := rapid.Float64Range(500, 1500).Draw(t, "work")
			models = append(models, ModelWork{Model: fmt.Sprintf("m%d", i), Work: work})
			total += work
		}
		engines := engineIDs(rapid.IntRange(len(models), 100).Draw(t, "engines"))
		serving := map[string]float64{} // engines by model, a shared engine in equal parts
		for i, list := range DivideEngines(engines, models) {
			if len(list) == 0 {
				t.Fatalf("engine %s serves no model", engines[i])
			}
			for _, m := range list {
				serving[m] += 1 / float64(len(list))
			}
		}
		for _, m := range models {
			// The parts of a shared engine are unequal, and parts below minEngineShare are left out, at both borders.
			want := m.Work / total * float64(len(engines))
			if got := serving[m.Model]; got == 0 || math.Abs(got-want) > 1+2*minEngineShare {
				t.Fatalf("model %s gets %.2f of %d engines, its work is worth %.2f", m.Model, got, len(engines), want)
			}
		}
	})
}

// TestDivideEnginesIsStable guards against engines that change their model, and so load its weights, without need: when
// the arguments come in another order, or when one engine is lost.
func TestDivideEnginesIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var models []ModelWork
		for i := range rapid.IntRange(2, 9).Draw(t, "models") {
			models = append(models, ModelWork{Model: fmt.Sprintf("m%d", i), Work: rapid.Float64Range(500, 1500).Draw(t, "work")})
		}
		engines := engineIDs(rapid.IntRange(2*len(models), 100).Draw(t, "engines"))
		before := DivideEngines(engines, models)
		reversed := slices.Clone(models)
		slices.Reverse(reversed)
		if again := DivideEngines(engines, reversed); !slices.EqualFunc(before, again, slices.Equal) {
			t.Fatalf("another order of the models changes the division from %v to %v", before, again)
		}
		lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
		after := DivideEngines(slices.Delete(slices.Clone(engines), lost, lost+1), models)
		loads := 0
		for i, list := range after {
			was := before[i]
			if i >= lost {
				was = before[i+1]
			}
			for _, m := range list {
				if !slices.Contains(was, m) {
					loads++
				}
			}
		}
		// At each border between two models, at most one engine on either side takes over the other model.
		if limit := 2 * len(models); loads > limit {
			t.Fatalf("the loss of one of %d engines makes %d others load a model, want at most %d", len(engines), loads, limit)
		}
	})
}

// TestDivideEnginesReturnsNilWithoutNeed guards against a model without any engine when there are fewer engines than
// models, and against a division with a single model.
func TestDivideEnginesReturnsNilWithoutNeed(t *testing.T) {
	if got := DivideEngines(engineIDs(1), []ModelWork{{"x", 1}, {"y", 1}}); got != nil {
		t.Errorf("fewer engines than models: got %v, want nil", got)
	}
	if got := DivideEngines(engineIDs(3), []ModelWork{{"x", 1}}); got != nil {
		t.Errorf("one model: got %v, want nil", got)
	}
}

// TestWorkHasShifted guards against a new division for the ordinary variation of the steps, and against one that is
// kept although a trainer's work has doubled or another trainer has come.
func TestWorkHasShifted(t *testing.T) {
	divided := []ModelWork{{"x", 1000}, {"y", 0}, {"z", 1000}}
	for name, tc := range map[string]struct {
		current []ModelWork
		want    bool
	}{
		"same":               {divided, false},
		"ordinary variation": {[]ModelWork{{"x", 1100}, {"y", 0}, {"z", 950}}, false},
		"all work doubles":   {[]ModelWork{{"x", 2000}, {"y", 0}, {"z", 2000}}, false},
		"one doubles":        {[]ModelWork{{"x", 2000}, {"y", 0}, {"z", 1000}}, true},
		"one becomes known":  {[]ModelWork{{"x", 1000}, {"y", 500}, {"z", 1000}}, true},
		"another model":      {[]ModelWork{{"x", 1000}, {"y", 0}, {"z", 1000}, {"w", 0}}, true},
	} {
		if got := WorkHasShifted(divided, tc.current); got != tc.want {
			t.Errorf("%s: got %t, want %t", name, got, tc.want)
		}
	}
}
