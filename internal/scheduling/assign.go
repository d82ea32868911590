package scheduling

import (
	"cmp"
	"math"
	"slices"
)

// ModelWork is the work that the steps of one trainer bring.
type ModelWork struct {
	Model string
	Work  float64 // of one step; the unit is the same for all models
}

const (
	// minEngineShare is the smallest share of an engine that a model gets. For less, the engine would load each version
	// of the model and hardly run its items.
	minEngineShare = 0.2
	// minModelShare is the smallest share of the engines that a model gets, relative to an equal one. A step that is
	// larger than the last one must not wait for a load before it can start at all.
	minModelShare = 0.25
	// workChangeToDivide is the relative change of a model's share of the work from which the engines are divided again.
	// The work of a trainer's steps varies by some ten percent, and an engine that changes its model has to load it.
	workChangeToDivide = 0.25
)

// DivideEngines divides engines among models in proportion to the work of their steps, so that all trainers' steps take
// about the same time and only a part of the engines loads each new version. It is designed for trainers that send a
// step every few seconds, each with a model of its own, on some ten to a hundred engines that are up to nine tenths
// busy: with equal counts, the trainer with the largest steps, or with one engine less, would fall behind step by step
// while others wait.
//
// It returns the models of each engine, in the order of engines: one, or several for engines that models share. The
// models follow one another along the engines in the order of their IDs. Thus the result depends only on the arguments,
// and if an engine is added or lost, only engines at the borders between models change. It returns nil if every engine
// should serve all models: with fewer than two models, or fewer engines than models.
func DivideEngines(engines []string, models []ModelWork) [][]string {
	if len(models) < 2 || len(engines) < len(models) {
		return nil
	}
	models = slices.SortedFunc(slices.Values(models), func(a, b ModelWork) int { return cmp.Compare(a.Model, b.Model) })
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(engines[a], engines[b]) })
	out := make([][]string, len(engines))
	from := 0.0 // position along the engines, in engines
	for k, share := range engineShares(len(engines), models) {
		to := from + share
		if k == len(models)-1 {
			to = float64(len(engines))
		}
		for i := int(from); i < len(engines) && float64(i) < to; i++ {
			part := min(to, float64(i+1)) - max(from, float64(i))
			if part >= minEngineShare || share < 2*minEngineShare {
				out[order[i]] = append(out[order[i]], models[k].Model)
			}
		}
		from = to
	}
	for i, j := range order {
		if len(out[j]) == 0 { // its parts were all too small
			out[j] = out[order[max(i-1, 0)]][:1]
		}
	}
	return out
}

// engineShares returns the number of engines for each model, which may be fractions. Models whose work is unknown get
// an equal share.
func engineShares(engines int, models []ModelWork) []float64 {
	known, total := 0, 0.0
	for _, m := range models {
		if m.Work > 0 {
			known++
			total += m.Work
		}
	}
	mean := 1.0
	if known > 0 {
		mean = total / float64(known)
	}
	shares := make([]float64, len(models))
	sum := 0.0
	for i, m := range models {
		shares[i] = mean
		if m.Work > 0 {
			shares[i] = max(m.Work, minModelShare*mean)
		}
		sum += shares[i]
	}
	for i := range shares {
		shares[i] *= float64(engines) / sum
	}
	return shares
}

// WorkHasShifted reports whether the work of models has changed so much since the engines were divided that they should
// be divided again.
func WorkHasShifted(divided, current []ModelWork) bool {
	before := map[string]float64{}
	for i, share := range engineShares(1, divided) {
		before[divided[i].Model] = share
	}
	if len(before) != len(current) {
		return true
	}
	for i, share := range engineShares(1, current) {
		if old, known := before[current[i].Model]; !known || math.Abs(share-old) > workChangeToDivide*old {
			return true
		}
	}
	return false
}
