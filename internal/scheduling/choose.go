// Package scheduling decides which waiting item of a batch runs next and at which engine. It is pure: state in,
// decision out. It answers the load of trainers' steps: a few hundred items at once every few seconds, in groups
// that share a prompt, on a few dozen engines that slow down as they fill. Some engines are a third slower for good,
// some several times for a while, and nearly every group has an item that runs several times longer than the others
// and decides when the group is whole.
package scheduling

import "cmp"

const (
	// homeBonus is how many running requests more than the emptiest engine the engine that has read a group's
	// prompt may have and still be preferred. Reading a prompt again costs a few milliseconds, as does each
	// request that shares the batch.
	homeBonus = 3
	// longWeight is how many running requests a long item counts as besides itself. A step ends with its long items,
	// and each request beside them costs them 2 to 3 percent; the short ones are over in a second anywhere.
	longWeight = 1
	// slowRatio is how many times slower than the median an engine must be to be avoided while others are free.
	slowRatio = 1.8
	// RecentSlowdownToMove is how many times slower than the median an engine must be for its items to move away.
	RecentSlowdownToMove = 2.2
	// BaselineSlowdownToMove is how many times slower than the median an engine must be for good for long items to leave it.
	BaselineSlowdownToMove = 1.15
	// hinderedRatio is how many times its usual time an event must take to show a short slowdown: those of the sheets
	// make an engine 2.5 times slower for 600 ms, and other events waver by some ten percent.
	hinderedRatio = 1.9
	// crowding is how much slower an engine produces events with all slots in use than with one: 1.16 to 1.5 times
	// by the sheets of the engines.
	crowding = 0.25
	// LongItemRatio is how many times longer than its batch's mean an item must be to count as long. One item in twelve
	// is five times as long as the others, and the hints are off by half.
	LongItemRatio = 2
)

// Engine is a candidate for an item.
type Engine struct {
	ID               string
	Slots            int     // requests that it runs at once
	Running          int     // requests that run or are on their way
	RunningLong      int     // long items among them
	RecentInterval   float64 // recent time between events in milliseconds; 0 if unknown
	BaselineInterval float64 // typical time between events without its own load, in milliseconds; 0 if unknown
	PromptCached     bool    // has read the item's prompt for the same weights
	Avoid            bool    // the item failed here before, or the engine answers nothing at present
}

// MedianIntervals holds the medians over all engines that an engine is compared with, in milliseconds; 0 if unknown.
type MedianIntervals struct{ Recent, Baseline float64 }

// ComputeMedianIntervals returns the medians of the engines whose paces are known.
func ComputeMedianIntervals(engines []Engine) MedianIntervals {
	var paces, steady []float64
	for i := range engines {
		if engines[i].RecentInterval > 0 {
			paces = append(paces, engines[i].RecentInterval)
		}
		if engines[i].BaselineInterval > 0 {
			steady = append(steady, engines[i].BaselineInterval)
		}
	}
	return MedianIntervals{Recent: median(paces), Baseline: median(steady)}
}

// ItemTraits is what matters of an item for its place.
type ItemTraits struct {
	// Long items go where they end first, the others where they leave the long ones room.
	Long bool
	// Urgent items take any free slot.
	Urgent bool
}

// ChooseEngine returns the index of the engine that should run the next item, or -1 if it should wait.
func (t MedianIntervals) ChooseEngine(engines []Engine, d ItemTraits) int {
	best := -1
	for i := range engines {
		if !engines[i].takes(d) {
			continue
		}
		if best < 0 || t.compare(&engines[i], &engines[best], d.Long) < 0 {
			best = i
		}
	}
	return best
}

// takes reports whether an engine has room. Beside long items short ones use half of the slots only: they are over in
// a second and can wait as long, while the step ends with its long items.
func (e *Engine) takes(d ItemTraits) bool {
	if d.Long || d.Urgent || e.RunningLong == 0 {
		return e.Running < e.Slots
	}
	return e.Running < max(e.Slots/2, 1)
}

// compare orders engines, the best first: those that answer, those that are not slow, then for a long item the one
// that will produce its events the soonest, else the emptiest.
func (t MedianIntervals) compare(a, b *Engine, long bool) int {
	order := cmp.Or(compareBool(a.Avoid, b.Avoid), compareBool(t.slow(a), t.slow(b)))
	if long {
		order = cmp.Or(order, cmp.Compare(t.ExpectedInterval(a), t.ExpectedInterval(b)))
	}
	return cmp.Or(order, cmp.Compare(a.load(), b.load()), cmp.Compare(a.ID, b.ID))
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

func (t MedianIntervals) slow(e *Engine) bool {
	return t.Recent > 0 && e.RecentInterval > slowRatio*t.Recent
}

// ExpectedInterval returns the time between events that one more item would see on an engine, in milliseconds.
func (t MedianIntervals) ExpectedInterval(e *Engine) float64 {
	return cmp.Or(e.BaselineInterval, t.Baseline) * LoadSlowdown(e.Running+1, e.Slots)
}

// IsTransientSlowdown reports whether the time between two events of a run shows that its engine is slower for a moment than it
// mostly is, with running requests in its slots.
func IsTransientSlowdown(gap, steady float64, running, slots int) bool {
	return steady > 0 && gap > hinderedRatio*steady*LoadSlowdown(running, slots)
}

// LoadSlowdown returns how many times slower than alone an engine produces events with running requests in its slots.
func LoadSlowdown(running, slots int) float64 {
	return 1 + crowding*float64(max(running-1, 0))/float64(max(slots, 1))
}

// load is the share of its slots that an engine uses, less the bonus for a prompt that it has read. Long items count
// more, so that short ones leave them alone while others have room.
func (e *Engine) load() float64 {
	running := float64(e.Running + longWeight*e.RunningLong)
	if e.PromptCached {
		running -= homeBonus
	}
	return running / float64(max(e.Slots, 1))
}
