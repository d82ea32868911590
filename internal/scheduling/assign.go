package scheduling

import (
	"cmp"
	"slices"
)

// AssignableEngine is an engine that can hold the weights of several models.
type AssignableEngine struct {
	ID    string
	Model string // current assignment; empty if none
}

// AssignModels divides engines among models, so that only a part of the engines has to load each new version. It keeps
// current assignments where the shares stay equal, and returns the model of each engine in the order of engines. It
// returns nil if every engine should serve all models: with fewer than two models, or fewer engines than models.
func AssignModels(engines []AssignableEngine, models []string) []string {
	if len(models) < 2 || len(engines) < len(models) {
		return nil
	}
	models = slices.Sorted(slices.Values(models))
	out := make([]string, len(engines))
	count := map[string]int{}
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(engines[a].ID, engines[b].ID) })
	// If the division leaves a remainder, that many models get one engine more: those that already have one more,
	// otherwise the first models by name.
	base, remainder := len(engines)/len(models), len(engines)%len(models)
	for _, i := range order {
		m := engines[i].Model
		if !slices.Contains(models, m) {
			continue
		}
		if count[m] < base || count[m] == base && remainder > 0 {
			if count[m] == base {
				remainder--
			}
			count[m]++
			out[i] = m
		}
	}
	for _, i := range order {
		if out[i] == "" {
			out[i] = modelWithFewestEngines(models, count)
			count[out[i]]++
		}
	}
	return out
}

func modelWithFewestEngines(models []string, count map[string]int) string {
	fewest := models[0]
	for _, m := range models[1:] {
		if count[m] < count[fewest] {
			fewest = m
		}
	}
	return fewest
}
