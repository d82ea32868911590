package scheduling

import (
	"cmp"
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
	// minSupply is the ratio of the engines that a model has to its share of them below which it gets another one. Work
	// and engines change all the time, and an engine that changes its model has to load it.
	minSupply = 0.8
	// minGain is the least by which a moved engine must raise the lowest ratio of a model's engines to its share. Between
	// models that would only change places, an engine went back and forth with each call and loaded weights each time. It
	// is far below the effect of an engine and above the rounding of the sums.
	minGain = 1e-9
)

// AssignableEngine is an engine that can hold the weights of several models.
type AssignableEngine struct {
	ID     string
	Models []string // that it serves now; empty if it has not been assigned
	// Speed is how much of an engine of the faster kind it counts as; 0 counts as 1. With equal counts, a model with many
	// engines of a slower kind would fall behind.
	Speed float64
}

// DivideEngines divides engines among models in proportion to the work of their steps, so that all trainers' steps take
// about the same time and only a part of the engines loads each new version. It is designed for trainers that send a
// step every few seconds, each with a model of its own, on some ten to a hundred engines that are up to nine tenths
// busy: with equal counts, the trainer with the largest steps, or with one engine less, would fall behind step by step
// while others wait.
//
// It returns the models of each engine, in the order of engines: one, or several for engines that models share. Engines
// keep their models as long as each model has minSupply of its share. It returns nil if every engine should serve all
// models: with fewer than two models, or fewer engines than models.
func DivideEngines(engines []AssignableEngine, models []ModelWork) [][]string {
	if len(models) < 2 || len(engines) < len(models) {
		return nil
	}
	models = slices.SortedFunc(slices.Values(models), func(a, b ModelWork) int { return cmp.Compare(a.Model, b.Model) })
	d := newDivision(engines, models)
	if !d.anyAssigned() {
		d.divideAnew()
	}
	d.assignUnassigned()
	d.supplyModels()
	return d.serving
}

// division is a division of engines that is being changed. Engines and models are referred to by their indexes.
type division struct {
	order   []int // the engines, by ID
	models  []ModelWork
	shares  []float64  // number of engines for each model, which may be a fraction
	serving [][]string // models of each engine
	supply  []float64  // engines that serve each model, by their speed; one that models share counts in equal parts
	speeds  []float64
}

func newDivision(engines []AssignableEngine, models []ModelWork) *division {
	d := &division{models: models, serving: make([][]string, len(engines)), supply: make([]float64, len(models))}
	total := 0.0
	for i := range engines {
		speed := cmp.Or(engines[i].Speed, 1)
		d.speeds = append(d.speeds, speed)
		total += speed
	}
	d.shares = engineShares(total, models)
	for i := range engines {
		d.order = append(d.order, i)
		var known []string
		for _, m := range engines[i].Models {
			if d.indexOf(m) >= 0 {
				known = append(known, m)
			}
		}
		d.serve(i, known)
	}
	slices.SortFunc(d.order, func(a, b int) int { return cmp.Compare(engines[a].ID, engines[b].ID) })
	return d
}

func (d *division) indexOf(model string) int {
	return slices.IndexFunc(d.models, func(m ModelWork) bool { return m.Model == model })
}

// serve sets the models of an engine.
func (d *division) serve(engine int, models []string) {
	for _, m := range d.serving[engine] {
		d.supply[d.indexOf(m)] -= d.speeds[engine] / float64(len(d.serving[engine]))
	}
	d.serving[engine] = models
	for _, m := range models {
		d.supply[d.indexOf(m)] += d.speeds[engine] / float64(len(models))
	}
}

func (d *division) anyAssigned() bool {
	return slices.ContainsFunc(d.serving, func(models []string) bool { return len(models) > 0 })
}

// divideAnew gives each model a stretch of the engines in the order of their IDs. Engines at the border between two
// stretches serve both models.
func (d *division) divideAnew() {
	begins := make([]float64, len(d.order)+1) // positions of the engines along all of them
	for p, i := range d.order {
		begins[p+1] = begins[p] + d.speeds[i]
	}
	from := 0.0
	for k, share := range d.shares {
		to := from + share
		for p, i := range d.order {
			part := (min(to, begins[p+1]) - max(from, begins[p])) / d.speeds[i]
			if part > 0 && (part >= minEngineShare || share < 2*minEngineShare) {
				d.serve(i, append(slices.Clone(d.serving[i]), d.models[k].Model))
			}
		}
		from = to
	}
}

// assignUnassigned gives each engine without a model the model that needs it most.
func (d *division) assignUnassigned() {
	for _, i := range d.order {
		if len(d.serving[i]) == 0 {
			d.serve(i, []string{d.models[d.neediest()].Model})
		}
	}
}

// supplyModels moves engines from models with many to those with less than minSupply of their share.
func (d *division) supplyModels() {
	for range d.serving {
		needy, rich := d.neediest(), d.richestAfterGiving()
		engine := d.engineToGive(rich)
		if d.supplyRatio(needy) >= minSupply || engine < 0 || d.supply[rich] <= d.speeds[engine] || d.ratioAfterGiving(rich) < d.supplyRatio(needy)+minGain {
			return
		}
		d.serve(engine, []string{d.models[needy].Model})
	}
}

// engineToGive returns the fastest engine of a model, the first by ID among equals, or -1 if it has none.
func (d *division) engineToGive(model int) int {
	best := -1
	for _, i := range d.order {
		if slices.Contains(d.serving[i], d.models[model].Model) && (best < 0 || d.speeds[i] > d.speeds[best]) {
			best = i
		}
	}
	return best
}

func (d *division) supplyRatio(model int) float64 { return d.supply[model] / d.shares[model] }

func (d *division) neediest() int {
	needy := 0
	for k := range d.models {
		if d.supplyRatio(k) < d.supplyRatio(needy) {
			needy = k
		}
	}
	return needy
}

// ratioAfterGiving returns the supply ratio of a model once it has given up an engine.
func (d *division) ratioAfterGiving(model int) float64 {
	speed := 1.0
	if engine := d.engineToGive(model); engine >= 0 {
		speed = d.speeds[engine]
	}
	return (d.supply[model] - speed) / d.shares[model]
}

// richestAfterGiving returns the model that can best give up an engine. A model of little work with a single engine may
// have the highest ratio, but nothing to give.
func (d *division) richestAfterGiving() int {
	rich := 0
	for k := range d.models {
		if d.ratioAfterGiving(k) > d.ratioAfterGiving(rich) {
			rich = k
		}
	}
	return rich
}

// engineShares divides the engines among the models. Shares may be fractions. Models whose work is unknown get an equal
// share.
func engineShares(engines float64, models []ModelWork) []float64 {
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
		shares[i] *= engines / sum
	}
	return shares
}
