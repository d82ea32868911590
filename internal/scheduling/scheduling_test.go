package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated load and engines. Lengths are in events, times in milliseconds.
const (
	maxItemEvents      = 123   // length limit of an item
	longItemShare      = 0.08  // of all items: one in twelve
	longItemFactor     = 5     // how many times longer those are
	hintSigma          = 0.5   // of the log-normal error of the length hints: they are off by half
	fastIntervalMS     = 44.0  // between events on a fast engine that runs one request
	slowEngineFactor   = 1.3   // interval of a slow engine relative to a fast one
	slowEnginePeriod   = 3     // every third engine is slow
	stepIntervalMS     = 4000  // between the starts of two steps
	urgentAfterMS      = 2000  // waiting time after which an item is urgent
	drainTimeMS        = 20000 // simulated after the last step interval, so that all steps end
	simulatedGroups    = 20
	simulatedGroupSize = 8
	simulatedEngines   = 11
	simulatedSlots     = 8
	simulationTickMS   = 10.0
	// requiredGroupIndex is the index of the group, in the order of completion, with which nine in ten are complete.
	requiredGroupIndex = simulatedGroups*9/10 - 1
)

// TestChooseEngineForShortItem guards against short items that go to a slow, failed or fuller engine while a better one
// has room, and against items that wait although an engine has room.
func TestChooseEngineForShortItem(t *testing.T) {
	for name, tc := range map[string]struct {
		engines []Engine
		want    int
	}{
		"no engine":                            {nil, -1},
		"no free slot":                         {[]Engine{{ID: "a", Slots: 1, Running: 1}}, -1},
		"fewest running requests":              {[]Engine{{ID: "a", Slots: 8, Running: 3}, {ID: "b", Slots: 8, Running: 2}}, 1},
		"smallest share of slots in use":       {[]Engine{{ID: "a", Slots: 16, Running: 4}, {ID: "b", Slots: 4, Running: 2}}, 0},
		"prompt cached":                        {[]Engine{{ID: "a", Slots: 8}, {ID: "b", Slots: 8, Running: 2, PromptCached: true}}, 1},
		"prompt cached but much fuller":        {[]Engine{{ID: "a", Slots: 8}, {ID: "b", Slots: 8, Running: 5, PromptCached: true}}, 0},
		"slow engine is avoided":               {[]Engine{{ID: "a", Slots: 8, RecentInterval: 200}, {ID: "b", Slots: 8, Running: 7, RecentInterval: 40}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 40}}, 1},
		"slow engine if no other has room":     {[]Engine{{ID: "a", Slots: 8, RecentInterval: 200}, {ID: "b", Slots: 8, Running: 8, RecentInterval: 40}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 40}}, 0},
		"engine to avoid":                      {[]Engine{{ID: "a", Slots: 8, Avoid: true}, {ID: "b", Slots: 8, Running: 7}}, 1},
		"engine to avoid if there is no other": {[]Engine{{ID: "a", Slots: 8, Avoid: true}}, 0},
	} {
		if got := ComputeMedianIntervals(tc.engines).ChooseEngine(tc.engines, ItemTraits{}); got != tc.want {
			t.Errorf("%s: got engine %d, want %d", name, got, tc.want)
		}
	}
}

// Guards against the few requests of a limited engine that go to short items while another engine has room for those,
// and against an engine that gets requests beyond its limit.
func TestChooseEngineSavesScarceRequests(t *testing.T) {
	scarce := Engine{ID: "a", Slots: 16, Scarce: true}
	atLimit := Engine{ID: "b", Slots: 16, Scarce: true, AtLimit: true}
	plain := Engine{ID: "c", Slots: 16, Running: 4}
	full := Engine{ID: "d", Slots: 4, Running: 4}
	for name, tc := range map[string]struct {
		engines []Engine
		item    ItemTraits
		want    int
	}{
		"short":                        {[]Engine{scarce, plain}, ItemTraits{}, 1},
		"long":                         {[]Engine{plain, scarce}, ItemTraits{Long: true}, 1},
		"long, goes on":                {[]Engine{scarce, plain}, ItemTraits{Long: true, Begun: true}, 1},
		"short, the others are full":   {[]Engine{full, scarce}, ItemTraits{}, 1},
		"all permissions are used":     {[]Engine{atLimit, full}, ItemTraits{Urgent: true}, -1},
		"long, no permission is there": {[]Engine{atLimit, plain}, ItemTraits{Long: true}, 1},
	} {
		if got := (MedianIntervals{}).ChooseEngine(tc.engines, tc.item); got != tc.want {
			t.Errorf("%s: engine %d, want %d", name, got, tc.want)
		}
	}
}

// TestSortWaitingPutsLongItemsFirst guards against a step that ends late because its long items start last or a later
// step's items start first.
func TestSortWaitingPutsLongItemsFirst(t *testing.T) {
	list := []WaitingItem{
		{BatchIndex: 1, ExpectedTokens: 900, ItemIndex: 0},
		{BatchIndex: 0, GroupIndex: 0, ExpectedTokens: 100, ItemIndex: 1},
		{BatchIndex: 0, GroupIndex: 3, ExpectedTokens: 900, ItemIndex: 2},
		{BatchIndex: 0, GroupIndex: 2, ExpectedTokens: 50, ItemIndex: 3, CarriedOver: true},
	}
	SortWaiting(list)
	var items []int
	for _, w := range list {
		items = append(items, w.ItemIndex)
	}
	if !slices.Equal(items, []int{3, 2, 1, 0}) {
		t.Fatalf("got order of items %v, want [3 2 1 0]", items)
	}
}

// TestSortWaitingMinimizesStepDuration guards against a long item that starts only after the short ones before it: the
// step would then take as long as all of these together. With few slots, it must take no longer than its longest item.
func TestSortWaitingMinimizesStepDuration(t *testing.T) {
	const slots, shortLength, longLength = 24, 10, 160
	var list []WaitingItem
	for g := range 9 {
		for m := range 8 {
			length := shortLength
			if m == 7 {
				length = longLength
			}
			list = append(list, WaitingItem{GroupIndex: g, ItemIndex: g*8 + m, ExpectedTokens: length})
		}
	}
	SortWaiting(list)
	freeAt := make([]int, slots) // when each slot becomes free, in events
	end := 0
	for _, w := range list {
		slices.Sort(freeAt)
		freeAt[0] += w.ExpectedTokens
		end = max(end, freeAt[0])
	}
	if end > longLength {
		t.Fatalf("the step ends after %d events, the longest item has %d", end, longLength)
	}
}

// TestSlowShareAllowsMoves guards against a leader that falls behind, takes its own delay for slow engines and moves half
// of the items, and against one that never moves an item on a small fleet, where one slow engine is a large share.
func TestSlowShareAllowsMoves(t *testing.T) {
	for _, tc := range []struct {
		share   float64
		engines int
		want    bool
	}{{0.02, 97, true}, {0.12, 97, false}, {0.12, 45, false}, {0.12, 8, true}, {0.3, 8, false}, {0, 0, true}} {
		if got := SlowShareAllowsMoves(tc.share, tc.engines); got != tc.want {
			t.Errorf("share %.2f on %d engines: got %t, want %t", tc.share, tc.engines, got, tc.want)
		}
	}
}

// TestChooseEngineForLongItem guards against long items that run on a slow engine while a faster one has room.
func TestChooseEngineForLongItem(t *testing.T) {
	for name, tc := range map[string]struct {
		engines []Engine
		want    int
	}{
		"fast engine rather than an empty slow one":     {[]Engine{{ID: "a", Slots: 8, RecentInterval: 66, BaselineInterval: 62}, {ID: "b", Slots: 8, Running: 6, RecentInterval: 51, BaselineInterval: 44}, {ID: "c", Slots: 8, Running: 8, BaselineInterval: 44}}, 1},
		"emptiest of the fast engines":                  {[]Engine{{ID: "a", Slots: 8, Running: 5, BaselineInterval: 44}, {ID: "b", Slots: 8, Running: 2, BaselineInterval: 44}, {ID: "c", Slots: 8, BaselineInterval: 62}}, 1},
		"engine with unknown interval counts as median": {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 62}, {ID: "b", Slots: 8}, {ID: "c", Slots: 8, Running: 8, BaselineInterval: 44}, {ID: "d", Slots: 8, Running: 8, BaselineInterval: 44}}, 1},
		"slow engine if no other has room":              {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 62}, {ID: "b", Slots: 8, Running: 8, BaselineInterval: 44}}, 0},
		"not a recently slow engine":                    {[]Engine{{ID: "a", Slots: 8, RecentInterval: 150, BaselineInterval: 44}, {ID: "b", Slots: 8, RecentInterval: 66, BaselineInterval: 62}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 51, BaselineInterval: 44}}, 1},
		"not an engine to avoid":                        {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 44, Avoid: true}, {ID: "b", Slots: 8, BaselineInterval: 62}}, 1},
	} {
		if got := ComputeMedianIntervals(tc.engines).ChooseEngine(tc.engines, ItemTraits{Long: true}); got != tc.want {
			t.Errorf("%s: got engine %d, want %d", name, got, tc.want)
		}
	}
}

// TestSingleStepOnEnginesOfUnequalSpeed guards against long items that start late or on slow engines and so delay their
// step. It simulates one step of 20 groups of 8 items on 11 engines, of which every third is 1.3 times slower, with
// length hints that are off by half. Nine groups in ten must be complete within 1.05 times the time that the longest
// item of the shortest nine tenths of the groups takes on a fast engine with all slots in use.
func TestSingleStepOnEnginesOfUnequalSpeed(t *testing.T) {
	const groups, members, engineCount, slots, fast = simulatedGroups, simulatedGroupSize, simulatedEngines, simulatedSlots, fastIntervalMS
	const maxSlowdown = 1.05 // relative to the longest item
	rng := rand.New(rand.NewPCG(1, 2))
	for seed := range 20 {
		var list []WaitingItem
		lengths := make([]float64, groups*members)
		for i := range lengths {
			lengths[i] = min(maxItemEvents, 2+10*rng.ExpFloat64())
			if rng.Float64() < longItemShare {
				lengths[i] = min(maxItemEvents, longItemFactor*lengths[i]+20)
			}
			hint := lengths[i] * math.Exp(hintSigma*rng.NormFloat64())
			list = append(list, WaitingItem{GroupIndex: i / members, ItemIndex: i, ExpectedTokens: int(hint)})
		}
		SortWaiting(list)
		engines := make([]Engine, engineCount)
		runEnds := make([][]float64, engineCount) // when the running items of each engine end
		for i := range engines {
			engines[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: slots, BaselineInterval: fast}
			if i%slowEnginePeriod == slowEnginePeriod-1 {
				engines[i].BaselineInterval = slowEngineFactor * fast
			}
			engines[i].RecentInterval = engines[i].BaselineInterval
		}
		mean := 0
		for _, w := range list {
			mean += w.ExpectedTokens / len(list)
		}
		completedAt := make([]float64, groups)
		now := 0.0
		for _, w := range list {
			i := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{Long: w.ExpectedTokens > LongItemRatio*mean})
			for i < 0 {
				next := math.Inf(1)
				for _, ends := range runEnds {
					for _, end := range ends {
						next = min(next, end)
					}
				}
				now = next
				for k := range runEnds {
					runEnds[k] = slices.DeleteFunc(runEnds[k], func(end float64) bool { return end <= now })
					engines[k].Running = len(runEnds[k])
				}
				i = ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{Long: w.ExpectedTokens > LongItemRatio*mean})
			}
			end := now + lengths[w.ItemIndex]*engines[i].BaselineInterval*LoadSlowdown(slots, slots)
			runEnds[i] = append(runEnds[i], end)
			engines[i].Running++
			completedAt[w.GroupIndex] = max(completedAt[w.GroupIndex], end)
		}
		longest := make([]float64, groups)
		for i, l := range lengths {
			longest[i/members] = max(longest[i/members], l*fast*LoadSlowdown(slots, slots))
		}
		slices.Sort(completedAt)
		slices.Sort(longest)
		if completedAt[requiredGroupIndex] > maxSlowdown*longest[requiredGroupIndex] {
			t.Errorf("seed %d: nine groups in ten are complete after %.0f ms, their longest item takes %.0f ms",
				seed, completedAt[requiredGroupIndex], longest[requiredGroupIndex])
		}
	}
}

// simulation runs the steps of a trainer on engines in virtual time. The engines slow down as they fill.
type simulation struct {
	engines []Engine
	items   []*simulatedItem // waiting or running
	now     float64          // in milliseconds
}

type simulatedItem struct {
	stepIndex, groupIndex  int
	requestedAt            float64
	events, producedEvents float64
	lengthHint             int
	long                   bool
	engineIndex            int // -1 while the item waits
}

// addStep adds the items of a step, with random lengths and length hints. It returns the length of the longest item of
// the shortest nine tenths of the groups.
func (v *simulation) addStep(rng *rand.Rand, step int) (longest float64) {
	var longestByGroup []float64
	for g := range simulatedGroups {
		most := 0.0
		for range simulatedGroupSize {
			length := min(maxItemEvents, 11.3*math.Exp(0.9*rng.NormFloat64())) // log-normal
			if rng.Float64() < longItemShare {
				length = min(maxItemEvents, longItemFactor*length)
			}
			most = max(most, length)
			hint := int(length * math.Exp(hintSigma*rng.NormFloat64()))
			v.items = append(v.items, &simulatedItem{stepIndex: step, groupIndex: g, requestedAt: v.now, events: length, lengthHint: hint, engineIndex: -1})
		}
		longestByGroup = append(longestByGroup, most)
	}
	slices.Sort(longestByGroup)
	return longestByGroup[requiredGroupIndex]
}

// placeWaiting starts waiting items on engines with room.
func (v *simulation) placeWaiting() {
	var list []WaitingItem
	mean := 0.0
	for i, it := range v.items {
		mean += float64(it.lengthHint) / float64(len(v.items))
		if it.engineIndex < 0 {
			list = append(list, WaitingItem{BatchIndex: it.stepIndex, GroupIndex: it.groupIndex, ItemIndex: i, ExpectedTokens: it.lengthHint})
		}
	}
	SortWaiting(list)
	medians := ComputeMedianIntervals(v.engines)
	for _, w := range list {
		it := v.items[w.ItemIndex]
		it.long = float64(it.lengthHint) > LongItemRatio*mean
		i := medians.ChooseEngine(v.engines, ItemTraits{Long: it.long, Urgent: v.now-it.requestedAt > urgentAfterMS})
		if i < 0 {
			continue
		}
		it.engineIndex = i
		v.engines[i].Running++
		if it.long {
			v.engines[i].RunningLong++
		}
	}
}

// tick advances the time by one tick and calls ended for each item that ends.
func (v *simulation) tick(ended func(*simulatedItem)) {
	v.now += simulationTickMS
	v.items = slices.DeleteFunc(v.items, func(it *simulatedItem) bool {
		if it.engineIndex < 0 {
			return false
		}
		e := &v.engines[it.engineIndex]
		it.producedEvents += simulationTickMS / (e.BaselineInterval * LoadSlowdown(e.Running, e.Slots))
		if it.producedEvents < it.events {
			return false
		}
		e.Running--
		if it.long {
			e.RunningLong--
		}
		ended(it)
		return true
	})
}

// TestConsecutiveStepsOnEnginesOfUnequalSpeed guards against steps that delay each other because short items occupy the
// engines of long ones. It simulates ten steps of 20 groups of 8 items, one every 4 s, on 11 engines of which every
// third is 1.3 times slower. The mean time until nine groups in ten are complete must not exceed the time that their
// longest item takes on a fast engine that is full.
func TestConsecutiveStepsOnEnginesOfUnequalSpeed(t *testing.T) {
	const steps, fast = 10, fastIntervalMS
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2))
		v := &simulation{engines: make([]Engine, simulatedEngines)}
		for i := range v.engines {
			v.engines[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: simulatedSlots, BaselineInterval: fast}
			if i%slowEnginePeriod == slowEnginePeriod-1 {
				v.engines[i].BaselineInterval = slowEngineFactor * fast
			}
			v.engines[i].RecentInterval = v.engines[i].BaselineInterval
		}
		ended, durations := map[[2]int]int{}, make([][]float64, steps) // ended items by step and group; group durations by step
		took, longestAlone, started := 0.0, 0.0, 0
		for v.now < stepIntervalMS*steps+drainTimeMS {
			if started < steps && v.now >= stepIntervalMS*float64(started) {
				longestAlone += fast * v.addStep(rng, started)
				started++
			}
			v.placeWaiting()
			v.tick(func(it *simulatedItem) {
				key := [2]int{it.stepIndex, it.groupIndex}
				ended[key]++
				if ended[key] == simulatedGroupSize {
					durations[it.stepIndex] = append(durations[it.stepIndex], v.now-it.requestedAt)
				}
			})
		}
		for step := range durations {
			took += durations[step][requiredGroupIndex]
		}
		t.Logf("seed %d: steps take %.3f times as long as their longest items alone", seed, took/longestAlone)
		if took > LoadSlowdown(simulatedSlots, simulatedSlots)*longestAlone {
			t.Errorf("seed %d: steps take %.0f ms, their longest items alone %.0f ms: %.3f times", seed, took/steps, longestAlone/steps, took/longestAlone)
		}
	}
}

func BenchmarkChooseEngine(b *testing.B) {
	engines := make([]Engine, 2000)
	for i := range engines {
		engines[i] = Engine{ID: fmt.Sprint(i), Slots: 8, Running: i % 8, RecentInterval: float64(30 + i%20)}
	}
	medians := ComputeMedianIntervals(engines)
	for b.Loop() {
		medians.ChooseEngine(engines, ItemTraits{Long: true})
	}
}

// TestChooseEngineReservesSlotsBesideLongItems guards against long items, and so steps, that are slowed down by short
// items on the same engine.
func TestChooseEngineReservesSlotsBesideLongItems(t *testing.T) {
	engines := []Engine{
		{ID: "a", Slots: 8, Running: 2, RunningLong: 2},
		{ID: "b", Slots: 8, Running: 3},
	}
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != 1 {
		t.Errorf("a short item goes to engine %d, want the engine without long items", got)
	}
	engines[1].Running = 8
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != 0 {
		t.Errorf("a short item goes to engine %d, though the engine with long items has room", got)
	}
	engines[0].Running = 4
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != -1 {
		t.Errorf("a short item goes to engine %d, of whose slots half are in use beside long items", got)
	}
	for _, d := range []ItemTraits{{Long: true}, {Urgent: true}} {
		if got := ComputeMedianIntervals(engines).ChooseEngine(engines, d); got != 0 {
			t.Errorf("%+v waits though a slot is free", d)
		}
	}
}

// TestIsTransientSlowdown guards against items that move away from an engine because of normal variation, its load or a
// permanently low speed, and against ones that stay on a transiently slow engine.
func TestIsTransientSlowdown(t *testing.T) {
	for name, tc := range map[string]struct {
		interval, baseline float64
		running            int
		want               bool
	}{
		"ordinary interval":                        {51, 44, 8, false},
		"interval within the normal variation":     {70, 44, 8, false},
		"transiently slow engine":                  {127, 44, 8, true},
		"transiently slow engine with one request": {110, 44, 1, true},
		"engine with unknown baseline":             {500, 0, 1, false},
		"slow engine at its baseline":              {66, 57, 8, false},
	} {
		if got := IsTransientSlowdown(tc.interval, tc.baseline, tc.running, 8); got != tc.want {
			t.Errorf("%s: got %t, want %t", name, got, tc.want)
		}
	}
}

// Guards against a text that is dropped although an engine of its software has a free slot a moment later, and against
// an item that waits for one longer than it takes to make the text again.
func TestKeepText(t *testing.T) {
	for _, tc := range []struct {
		waited   time.Duration
		events   int
		interval float64
		want     bool
	}{
		{0, 1, 50, true},
		{minTextWait, 1, 50, true},
		{minTextWait + time.Millisecond, 1, 50, false},
		{time.Second, 30, 50, true},
		{1600 * time.Millisecond, 30, 50, false},
		{time.Second, 30, 0, true},
		{maxTextWait + time.Millisecond, 1000, 50, false},
	} {
		if got := KeepText(tc.waited, tc.events, tc.interval); got != tc.want {
			t.Errorf("%+v: %t", tc, got)
		}
	}
	engines := []Engine{{ID: "a", Slots: 4, OtherSoftware: true}, {ID: "b", Slots: 4, Running: 3}}
	if got := (MedianIntervals{}).ChooseEngine(engines, ItemTraits{}); got != 1 {
		t.Errorf("a text goes on at engine %d, want the one with its software", got)
	}
}

// Guards against a sound item that waits after a burst of crashes, against pauses that do not grow, and against an item
// that runs alone beside others.
func TestCrashingItemsWaitAndRunAlone(t *testing.T) {
	want := []time.Duration{0, 0, 0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	for crashes, pause := range want {
		if got := CrashPause(crashes); got != pause {
			t.Errorf("%d crashes: pause of %s, want %s", crashes, got, pause)
		}
	}
	if got := CrashPause(1 << 30); got != maxCrashPause {
		t.Errorf("pause of %s after very many crashes", got)
	}
	busy, kept, free := Engine{ID: "a", Slots: 4, Running: 1}, Engine{ID: "b", Slots: 4, KeptForOther: true}, Engine{ID: "c", Slots: 4}
	if got := (MedianIntervals{}).ChooseEngine([]Engine{busy, kept, free}, ItemTraits{Alone: true}); got != 2 {
		t.Errorf("the item that must run alone goes to engine %d", got)
	}
	if got := (MedianIntervals{}).ChooseEngine([]Engine{busy, kept}, ItemTraits{Alone: true}); got != -1 {
		t.Errorf("the item that must run alone goes to engine %d beside others", got)
	}
	if got := (MedianIntervals{}).ChooseEngine([]Engine{kept, busy}, ItemTraits{Urgent: true}); got != 1 {
		t.Errorf("an item goes to engine %d, which another runs on alone", got)
	}
}
