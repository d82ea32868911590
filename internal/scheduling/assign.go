package scheduling

import (
	"cmp"
	"slices"
)

// AssignableEngine is an engine that can hold the weights of several models.
type AssignableEngine struct {
	ID    string
	Model string // that it is assigned to now; empty if none
}

// AssignModels divides engines among models, so that each new version has to be loaded by a part of the engines only. It
// keeps what is assigned as far as the shares stay equal, and returns the model of each engine in their order. With
// fewer engines than models every engine serves all models, and AssignModels returns nil.
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
	// The first models get one engine more where the division leaves a rest, unless others hold it already.
	base, rest := len(engines)/len(models), len(engines)%len(models)
	for _, i := range order {
		m := engines[i].Model
		if !slices.Contains(models, m) {
			continue
		}
		if count[m] < base || count[m] == base && rest > 0 {
			if count[m] == base {
				rest--
			}
			count[m]++
			out[i] = m
		}
	}
	for _, i := range order {
		if out[i] == "" {
			out[i] = emptiest(models, count)
			count[out[i]]++
		}
	}
	return out
}

func emptiest(models []string, count map[string]int) string {
	best := models[0]
	for _, m := range models[1:] {
		if count[m] < count[best] {
			best = m
		}
	}
	return best
}
