// Package scheduling decides which waiting item of a batch runs next and at which engine. It is pure: state in,
// decision out. It answers the load of trainers' steps: a few hundred items at once every few seconds, in groups
// that share a prompt, on a few dozen engines that slow down as they fill, of which some are slower for a while.
package scheduling

import "cmp"

const (
	// homeBonus is how many running requests more than the emptiest engine the engine that has read a group's
	// prompt may have and still be preferred. Reading a prompt again costs a few milliseconds, as does each
	// request that shares the batch.
	homeBonus = 3
	// slowRatio is how many times slower than the median an engine must be to be avoided while others are free.
	slowRatio = 1.8
	// MoveRatio is how many times slower than the median an engine must be for its items to move away.
	MoveRatio = 2.2
)

// Engine is a candidate for an item.
type Engine struct {
	ID      string
	Slots   int     // requests that it runs at once
	Running int     // requests that run or are on their way
	Pace    float64 // recent time between events in milliseconds; 0 if unknown
	Home    bool    // has read the item's prompt for the same weights
	Avoid   bool    // the item failed here before, or the engine answers nothing at present
}

// Choose returns the index of the engine that should run the next item, or -1 if all are full.
func Choose(engines []Engine) int {
	median := MedianPace(engines)
	best := -1
	for i := range engines {
		if engines[i].Running >= engines[i].Slots {
			continue
		}
		if best < 0 || compare(&engines[i], &engines[best], median) < 0 {
			best = i
		}
	}
	return best
}

// compare orders engines, the best first: those that answer, those that are not slow, then the emptiest.
func compare(a, b *Engine, median float64) int {
	return cmp.Or(
		compareBool(a.Avoid, b.Avoid),
		compareBool(a.slow(median), b.slow(median)),
		cmp.Compare(a.load(), b.load()),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (e *Engine) slow(median float64) bool { return median > 0 && e.Pace > slowRatio*median }

// load is the share of its slots that an engine uses, less the bonus for a prompt that it has read.
func (e *Engine) load() float64 {
	running := float64(e.Running)
	if e.Home {
		running -= homeBonus
	}
	return running / float64(max(e.Slots, 1))
}

// MedianPace returns the median pace of the engines whose pace is known, or 0.
func MedianPace(engines []Engine) float64 {
	var known []float64
	for i := range engines {
		if engines[i].Pace > 0 {
			known = append(known, engines[i].Pace)
		}
	}
	if len(known) == 0 {
		return 0
	}
	return median(known)
}
