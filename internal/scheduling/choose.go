// Package scheduling decides which waiting item of a batch runs next, and on which engine. Its functions have no side
// effects. They are designed for the load of training steps: a few hundred items at once every few seconds, in groups
// that share a prompt, on a few dozen engines that produce output more slowly the more requests they run. Some engines
// are permanently a third slower, some are several times slower for a while. Nearly every group has an item that runs
// several times longer than the others and determines when the group is complete.
package scheduling

import (
	"cmp"
	"time"
)

const (
	// promptCacheBonus is the number of requests by which the load of an engine counts as lower if the engine has the
	// group's prompt in its cache. Processing a prompt again costs a few milliseconds, as does each further request
	// that the engine runs at the same time.
	promptCacheBonus = 3
	// longItemExtraLoad is the number of additional running requests that a long item counts as. A step ends with its
	// long items, and each request beside them slows them down by 2 to 3 percent; short items finish within a second on
	// any engine.
	longItemExtraLoad = 1
	// slotDivisorBesideLong is the divisor of the number of slots that gives the limit up to which an engine with long
	// items accepts short ones. The limit counts all running requests, long and short.
	slotDivisorBesideLong = 2
	// recentSlowdownToAvoid is the ratio of an engine's recent interval to the median above which new items go to it only
	// if no other engine has room.
	recentSlowdownToAvoid = 1.8
	// unevenInterval is the ratio of an engine's kind interval to the median above which the engine counts as one of a
	// slower kind, and unevenShare the share of such engines from which a fleet counts as uneven. In fleets of several
	// generations a third of the engines is 2.4 times slower. In others the slowest are a third slower, and a fault slows
	// down a fifth of them at most.
	unevenInterval = 1.8
	unevenShare    = 0.25
	// RecentSlowdownToMove is the ratio of an engine's recent interval to the median above which its running items move
	// to other engines.
	RecentSlowdownToMove = 2.2
	// BaselineSlowdownToMove is the ratio of an engine's baseline interval to the median above which its long items move
	// to other engines.
	BaselineSlowdownToMove = 1.15
	// transientSlowdownRatio is the ratio of one interval between events to its expected value above which the engine
	// counts as transiently slow. The transient slowdowns that the engines are specified with make an engine 2.5 times
	// slower for 600 ms; without one, intervals vary by about ten percent.
	transientSlowdownRatio = 1.9
	// TransientSlowdown is how long an engine may be transiently slow, with the delay until its recent interval shows it.
	TransientSlowdown = 900 * time.Millisecond
	// fullLoadSlowdown is the relative increase of the interval between events from one running request to all slots in
	// use. By the engines' specifications, a full engine is 1.16 to 1.5 times slower.
	fullLoadSlowdown = 0.25
	// LongItemRatio is the ratio of an item's length hint to the mean of its batch above which the item counts as long.
	// One item in twelve is five times as long as the others, and the hints are off by half.
	LongItemRatio = 2
)

// Engine is a candidate for running an item. An interval is the time between two output events of one request.
type Engine struct {
	ID               string
	Slots            int     // requests that the engine runs concurrently
	Running          int     // requests that are running or have been sent
	RunningLong      int     // long items among the running requests
	RecentInterval   float64 // recent interval between events, in milliseconds; 0 if unknown
	BaselineInterval float64 // typical interval with a single running request, in milliseconds; 0 if unknown
	KindInterval     float64 // lowest BaselineInterval since the engine started, which faults do not raise; 0 if unknown
	PromptCached     bool    // the engine has processed the item's prompt with the same weights
	AtLimit          bool    // the engine limits its requests and has no permission for another one now
	Scarce           bool    // the engine limits its requests to fewer than its slots can run
	KeptForOther     bool    // another item runs alone here, or will
	OtherSoftware    bool    // the item has a text that other software began
	Avoid            bool    // the item failed here before, or the engine does not answer at present
	MeasuredLongAgo  bool    // the engine has been idle for so long that its intervals may have changed
}

// MedianIntervals holds the medians over all engines, with which each engine is compared, in milliseconds; 0 if
// unknown.
type MedianIntervals struct {
	Recent, Baseline float64
	// Kind is the median of the kind intervals. Uneven is true if the fleet has a slower kind of engine.
	Kind   float64
	Uneven bool
}

// ComputeMedianIntervals returns the medians over the engines whose intervals are known.
func ComputeMedianIntervals(engines []Engine) MedianIntervals {
	var recent, baseline, kind []float64
	for i := range engines {
		if engines[i].RecentInterval > 0 {
			recent = append(recent, engines[i].RecentInterval)
		}
		if engines[i].BaselineInterval > 0 {
			baseline = append(baseline, engines[i].BaselineInterval)
		}
		if engines[i].KindInterval > 0 {
			kind = append(kind, engines[i].KindInterval)
		}
	}
	m := MedianIntervals{Recent: median(recent), Baseline: median(baseline), Kind: median(kind)}
	slower := 0
	for _, k := range kind {
		if k > unevenInterval*m.Kind {
			slower++
		}
	}
	m.Uneven = slower > 0 && float64(slower) >= unevenShare*float64(len(kind))
	return m
}

// ItemTraits holds the properties of an item that decide its placement.
type ItemTraits struct {
	// Long items go to the engine where they finish first; other items leave room for the long ones.
	Long bool
	// Urgent items take any free slot.
	Urgent bool
	// Alone items run on an engine without other runs.
	Alone bool
	// Begun items have a text that the engine continues.
	Begun bool
}

// ChooseEngine returns the index of the engine that should run the next item, or -1 if the item should wait.
func (m MedianIntervals) ChooseEngine(engines []Engine, item ItemTraits) int {
	best := -1
	for i := range engines {
		if !engines[i].hasRoomFor(item) {
			continue
		}
		if best < 0 || m.compare(&engines[i], &engines[best], item) < 0 {
			best = i
		}
	}
	return best
}

// hasRoomFor reports whether the engine has a free slot for the item. An engine with long items accepts short ones only
// while fewer than half of its slots are in use: short items finish within a second and can wait that long, while the
// step ends with its long items.
func (e *Engine) hasRoomFor(item ItemTraits) bool {
	if e.AtLimit || e.OtherSoftware || e.KeptForOther || item.Alone && e.Running > 0 {
		return false
	}
	if item.Long || item.Urgent || e.RunningLong == 0 {
		return e.Running < e.Slots
	}
	return e.Running < max(e.Slots/slotDivisorBesideLong, 1)
}

// compare orders engines, the best first: engines that need not be avoided, then engines that are not slow, then for a
// long item the engine with the shortest expected interval, then the least loaded engine. The few requests of an engine
// with scarce requests go to long items that begin, which use them best.
func (m MedianIntervals) compare(a, b *Engine, item ItemTraits) int {
	order := cmp.Or(compareBool(a.Avoid, b.Avoid), compareBool(m.isSlow(a), m.isSlow(b)))
	if item.Long && !item.Begun {
		order = cmp.Or(order, compareBool(b.Scarce, a.Scarce))
	} else {
		order = cmp.Or(order, compareBool(a.Scarce, b.Scarce))
	}
	if item.Long {
		order = cmp.Or(order, cmp.Compare(m.ExpectedInterval(a), m.ExpectedInterval(b)))
	}
	return cmp.Or(order, cmp.Compare(a.effectiveLoad(), b.effectiveLoad()), cmp.Compare(a.ID, b.ID))
}

// compareBool orders false before true.
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

// isSlow reports whether an engine gets items only if no other one has room. An engine of a slower kind stays slow while it
// is idle: each step would otherwise send a part of its items to all of them. One item at a time finds out whether an engine
// that was not measured lately is still slow.
func (m MedianIntervals) isSlow(e *Engine) bool {
	if m.Recent > 0 && e.RecentInterval > recentSlowdownToAvoid*m.Recent {
		return true
	}
	return m.Uneven && e.KindInterval > unevenInterval*m.Kind && (e.Running > 0 || !e.MeasuredLongAgo)
}

// Speed returns the speed of an engine of a kind relative to the median. Engines of a fleet with one kind, and engines that
// have not been measured, count as equal.
func (m MedianIntervals) Speed(kindInterval float64) float64 {
	if !m.Uneven || kindInterval < unevenInterval*m.Kind {
		return 1
	}
	return m.Kind / kindInterval
}

// decidingShare is the share of the longest expected run time among the unfinished items of a step from which an item may
// decide when the step is complete. Length hints are off by half.
const decidingShare = 0.5

// MayDecideStep reports whether an item with the given expected run time left can be one of the last of its step, whose
// longest item has longest left. Moving another one completes no step earlier, and costs a connection and the processing of
// its prompt.
func MayDecideStep(left, longest float64) bool { return left >= decidingShare*longest }

// ExpectedInterval returns the interval between events that one more item would see on the engine, in milliseconds.
func (m MedianIntervals) ExpectedInterval(e *Engine) float64 {
	return cmp.Or(e.BaselineInterval, m.Baseline) * LoadSlowdown(e.Running+1, e.Slots)
}

// IsTransientSlowdown reports whether one interval between two events of a request shows that its engine is slower than
// its baseline at the moment, given the number of running requests in its slots. Intervals are in milliseconds.
func IsTransientSlowdown(interval, baseline float64, running, slots int) bool {
	return baseline > 0 && interval > transientSlowdownRatio*baseline*LoadSlowdown(running, slots)
}

const (
	// maxSlowShare is the share of intervals that look like a transient slowdown above which the observer, and not the
	// engines, is slow. Engines are transiently slow for one or two percent of the time.
	maxSlowShare = 0.08
	// slowEnginesToMove is the number of engines that may be slow at once, which on a small fleet is a larger share.
	slowEnginesToMove = 1.5
)

// SlowShareAllowsMoves reports whether items may be moved for transient slowdowns, given the share of the recent intervals
// of all engines that look like one. It is designed for a leader that reads thousands of events a second on half a core:
// when it falls behind, all engines seem to be slow by turns, and each move would cost it another run.
func SlowShareAllowsMoves(slowShare float64, engines int) bool {
	return slowShare <= max(maxSlowShare, slowEnginesToMove/float64(max(engines, 1)))
}

// LoadSlowdown returns how many times slower an engine produces events with the given number of running requests than
// with a single one.
func LoadSlowdown(running, slots int) float64 {
	return 1 + fullLoadSlowdown*float64(max(running-1, 0))/float64(max(slots, 1))
}

// effectiveLoad returns the share of the engine's slots in use, less promptCacheBonus requests if the prompt is cached.
// Long items count more, so that short ones go to engines without them while those have room.
func (e *Engine) effectiveLoad() float64 {
	running := float64(e.Running + longItemExtraLoad*e.RunningLong)
	if e.PromptCached {
		running -= promptCacheBonus
	}
	return running / float64(max(e.Slots, 1))
}

const (
	// minTextWait and maxTextWait bound how long an item waits for an engine with the software that began its text.
	minTextWait = 200 * time.Millisecond
	maxTextWait = 2 * time.Second
	// assumedInterval is the time between two events while no engine has been measured, in milliseconds.
	assumedInterval = 50
)

// KeepText reports whether an item that has waited for the given time should go on waiting for an engine with the
// software that began its text, rather than begin again on any engine. It waits as long as it takes to make its events
// again, at the given interval in milliseconds; 0 means that the interval is unknown. This is designed for releases, in
// which half of the engines are of each version, and for the last engines of a version, which are busy.
func KeepText(waited time.Duration, events int, interval float64) bool {
	again := time.Duration(float64(events) * cmp.Or(interval, assumedInterval) * float64(time.Millisecond))
	return waited <= min(max(again, minTextWait), maxTextWait)
}

// AloneAfterCrashes is the number of runs in a row that broke before their first event after which an item runs alone.
// Bursts of crashes hit a sound item two or three times.
const AloneAfterCrashes = 3

const (
	crashPause    = 250 * time.Millisecond
	maxCrashPause = 4 * time.Second
)

// CrashPause returns how long an item waits after the given number of runs in a row that broke before their first event:
// not at all before it runs alone, and then twice as long after each further one.
func CrashPause(crashes int) time.Duration {
	pause := time.Duration(0)
	for n := AloneAfterCrashes; n <= crashes && pause < maxCrashPause; n++ {
		pause = max(crashPause, 2*pause)
	}
	return min(pause, maxCrashPause)
}
