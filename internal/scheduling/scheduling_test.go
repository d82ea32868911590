package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestChoose(t *testing.T) {
	for name, tc := range map[string]struct {
		engines []Engine
		want    int
	}{
		"none":                     {nil, -1},
		"all full":                 {[]Engine{{ID: "a", Slots: 1, Running: 1}}, -1},
		"emptiest":                 {[]Engine{{ID: "a", Slots: 8, Running: 3}, {ID: "b", Slots: 8, Running: 2}}, 1},
		"share of slots":           {[]Engine{{ID: "a", Slots: 16, Running: 4}, {ID: "b", Slots: 4, Running: 2}}, 0},
		"home":                     {[]Engine{{ID: "a", Slots: 8}, {ID: "b", Slots: 8, Running: 2, PromptCached: true}}, 1},
		"home but much fuller":     {[]Engine{{ID: "a", Slots: 8}, {ID: "b", Slots: 8, Running: 5, PromptCached: true}}, 0},
		"slow":                     {[]Engine{{ID: "a", Slots: 8, RecentInterval: 200}, {ID: "b", Slots: 8, Running: 7, RecentInterval: 40}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 40}}, 1},
		"slow rather than none":    {[]Engine{{ID: "a", Slots: 8, RecentInterval: 200}, {ID: "b", Slots: 8, Running: 8, RecentInterval: 40}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 40}}, 0},
		"avoided":                  {[]Engine{{ID: "a", Slots: 8, Avoid: true}, {ID: "b", Slots: 8, Running: 7}}, 1},
		"avoided rather than none": {[]Engine{{ID: "a", Slots: 8, Avoid: true}}, 0},
	} {
		if got := ComputeMedianIntervals(tc.engines).ChooseEngine(tc.engines, ItemTraits{}); got != tc.want {
			t.Errorf("%s: got %d, want %d", name, got, tc.want)
		}
	}
}

func TestOrderStartsLongItemsFirst(t *testing.T) {
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
		t.Fatalf("order %v", items)
	}
}

// TestLongestFirstEndsSooner plays a step on engines with few slots: the time at which all groups are whole must be
// near the longest item, not behind the sum of what was started before it.
func TestLongestFirstEndsSooner(t *testing.T) {
	const slots = 24
	var list []WaitingItem
	for g := range 9 {
		for m := range 8 {
			length := 10
			if m == 7 {
				length = 160
			}
			list = append(list, WaitingItem{GroupIndex: g, ItemIndex: g*8 + m, ExpectedTokens: length})
		}
	}
	SortWaiting(list)
	free := make([]int, slots) // when each slot is free, in events
	end := 0
	for _, w := range list {
		slices.Sort(free)
		free[0] += w.ExpectedTokens
		end = max(end, free[0])
	}
	if end > 160 {
		t.Fatalf("the step ends after %d events, the longest item has 160", end)
	}
}

func TestAssignIsEvenAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"x", "y", "z"}[:rapid.IntRange(2, 3).Draw(t, "models")]
		var engines []AssignableEngine
		for i := range rapid.IntRange(len(models), 14).Draw(t, "engines") {
			engines = append(engines, AssignableEngine{ID: fmt.Sprintf("e%02d", i), Model: rapid.SampledFrom([]string{"", "x", "y", "z", "gone"}).Draw(t, "model")})
		}
		first := AssignModels(engines, models)
		count := map[string]int{}
		for i := range engines {
			count[first[i]]++
			engines[i].Model = first[i]
		}
		for _, m := range models {
			if count[m] < len(engines)/len(models) || count[m] > len(engines)/len(models)+1 {
				t.Fatalf("uneven: %v", count)
			}
		}
		if again := AssignModels(engines, models); !slices.Equal(first, again) {
			t.Fatalf("a second look moves engines: %v, then %v", first, again)
		}
	})
}

func TestAssignNeedsEnoughEngines(t *testing.T) {
	if got := AssignModels([]AssignableEngine{{ID: "a"}}, []string{"x", "y"}); got != nil {
		t.Fatalf("got %v", got)
	}
	if got := AssignModels([]AssignableEngine{{ID: "a"}}, []string{"x"}); got != nil {
		t.Fatalf("one model needs no division: %v", got)
	}
}

func TestChooseForALongItem(t *testing.T) {
	for name, tc := range map[string]struct {
		engines []Engine
		want    int
	}{
		"a fast one before an empty slow one":  {[]Engine{{ID: "a", Slots: 8, RecentInterval: 66, BaselineInterval: 62}, {ID: "b", Slots: 8, Running: 6, RecentInterval: 51, BaselineInterval: 44}, {ID: "c", Slots: 8, Running: 8, BaselineInterval: 44}}, 1},
		"the emptiest of the fast ones":        {[]Engine{{ID: "a", Slots: 8, Running: 5, BaselineInterval: 44}, {ID: "b", Slots: 8, Running: 2, BaselineInterval: 44}, {ID: "c", Slots: 8, BaselineInterval: 62}}, 1},
		"an unknown one counts as typical":     {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 62}, {ID: "b", Slots: 8}, {ID: "c", Slots: 8, Running: 8, BaselineInterval: 44}, {ID: "d", Slots: 8, Running: 8, BaselineInterval: 44}}, 1},
		"a slow one if nothing else is free":   {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 62}, {ID: "b", Slots: 8, Running: 8, BaselineInterval: 44}}, 0},
		"not one that is slow at the moment":   {[]Engine{{ID: "a", Slots: 8, RecentInterval: 150, BaselineInterval: 44}, {ID: "b", Slots: 8, RecentInterval: 66, BaselineInterval: 62}, {ID: "c", Slots: 8, Running: 8, RecentInterval: 51, BaselineInterval: 44}}, 1},
		"not one that it failed on or that is": {[]Engine{{ID: "a", Slots: 8, BaselineInterval: 44, Avoid: true}, {ID: "b", Slots: 8, BaselineInterval: 62}}, 1},
	} {
		if got := ComputeMedianIntervals(tc.engines).ChooseEngine(tc.engines, ItemTraits{Long: true}); got != tc.want {
			t.Errorf("%s: got %d, want %d", name, got, tc.want)
		}
	}
}

// TestStepOnEnginesOfUnequalSpeed plays the start of a step of 20 groups of 8 items on 11 engines of which every third
// is 1.3 times slower, with hints that are off by half: nine groups in ten must be whole within 1.05 times the time
// that the longest item of the best nine tenths takes on a fast engine with all slots in use.
func TestStepOnEnginesOfUnequalSpeed(t *testing.T) {
	const groups, members, engineCount, slots, fast = 20, 8, 11, 8, 44.0
	rng := rand.New(rand.NewPCG(1, 2))
	for seed := range 20 {
		var list []WaitingItem
		lengths := make([]float64, groups*members)
		for i := range lengths {
			lengths[i] = min(123, 2+10*rng.ExpFloat64())
			if rng.Float64() < 0.08 {
				lengths[i] = min(123, 5*lengths[i]+20)
			}
			hint := lengths[i] * math.Exp(0.5*rng.NormFloat64())
			list = append(list, WaitingItem{GroupIndex: i / members, ItemIndex: i, ExpectedTokens: int(hint)})
		}
		SortWaiting(list)
		engines := make([]Engine, engineCount)
		free := make([][]float64, engineCount) // ends of what runs
		for i := range engines {
			engines[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: slots, BaselineInterval: fast}
			if i%3 == 2 {
				engines[i].BaselineInterval = 1.3 * fast
			}
			engines[i].RecentInterval = engines[i].BaselineInterval
		}
		mean := 0
		for _, w := range list {
			mean += w.ExpectedTokens / len(list)
		}
		whole := make([]float64, groups)
		now := 0.0
		for _, w := range list {
			i := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{Long: w.ExpectedTokens > LongItemRatio*mean})
			for i < 0 {
				next := math.Inf(1)
				for _, ends := range free {
					for _, end := range ends {
						next = min(next, end)
					}
				}
				now = next
				for k := range free {
					free[k] = slices.DeleteFunc(free[k], func(end float64) bool { return end <= now })
					engines[k].Running = len(free[k])
				}
				i = ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{Long: w.ExpectedTokens > LongItemRatio*mean})
			}
			end := now + lengths[w.ItemIndex]*engines[i].BaselineInterval*LoadSlowdown(slots, slots)
			free[i] = append(free[i], end)
			engines[i].Running++
			whole[w.GroupIndex] = max(whole[w.GroupIndex], end)
		}
		longest := make([]float64, groups)
		for i, l := range lengths {
			longest[i/members] = max(longest[i/members], l*fast*LoadSlowdown(slots, slots))
		}
		slices.Sort(whole)
		slices.Sort(longest)
		wanted := groups*9/10 - 1
		if whole[wanted] > 1.05*longest[wanted] {
			t.Errorf("seed %d: nine groups in ten are whole after %.0f ms, the longest item takes %.0f ms", seed, whole[wanted], longest[wanted])
		}
	}
}

// virtualStep plays steps of a trainer on engines in virtual time and returns, for each step, when nine groups in ten were
// whole, in milliseconds after it was asked. The engines slow down as they fill.
type virtualStep struct {
	engines []Engine
	items   []*virtualItem // waiting or running
	now     float64
}

type virtualItem struct {
	step, group  int
	asked        float64
	length, done float64 // events
	hint         int
	long         bool
	engine       int // -1 while it waits
}

const (
	virtualGroups  = 20
	virtualMembers = 8
	virtualTick    = 10.0 // ms
)

// ask draws the items of a step: one in twelve is five times as long, and the hints are off by half.
func (v *virtualStep) ask(rng *rand.Rand, step int) (longest float64) {
	var members []float64
	for g := range virtualGroups {
		most := 0.0
		for range virtualMembers {
			length := min(123, 11.3*math.Exp(0.9*rng.NormFloat64()))
			if rng.Float64() < 0.08 {
				length = min(123, 5*length)
			}
			most = max(most, length)
			hint := int(length * math.Exp(0.5*rng.NormFloat64()))
			v.items = append(v.items, &virtualItem{step: step, group: g, asked: v.now, length: length, hint: hint, engine: -1})
		}
		members = append(members, most)
	}
	slices.Sort(members)
	return members[virtualGroups*9/10-1]
}

// place starts waiting items.
func (v *virtualStep) place() {
	var list []WaitingItem
	mean := 0.0
	for i, it := range v.items {
		mean += float64(it.hint) / float64(len(v.items))
		if it.engine < 0 {
			list = append(list, WaitingItem{BatchIndex: it.step, GroupIndex: it.group, ItemIndex: i, ExpectedTokens: it.hint})
		}
	}
	SortWaiting(list)
	typical := ComputeMedianIntervals(v.engines)
	for _, w := range list {
		it := v.items[w.ItemIndex]
		it.long = float64(it.hint) > LongItemRatio*mean
		i := typical.ChooseEngine(v.engines, ItemTraits{Long: it.long, Urgent: v.now-it.asked > 2000})
		if i < 0 {
			continue
		}
		it.engine = i
		v.engines[i].Running++
		if it.long {
			v.engines[i].RunningLong++
		}
	}
}

// tick advances the time and calls whole for each item that ends.
func (v *virtualStep) tick(ended func(*virtualItem)) {
	v.now += virtualTick
	v.items = slices.DeleteFunc(v.items, func(it *virtualItem) bool {
		if it.engine < 0 {
			return false
		}
		e := &v.engines[it.engine]
		it.done += virtualTick / (e.BaselineInterval * LoadSlowdown(e.Running, e.Slots))
		if it.done < it.length {
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

// TestStepsOnEnginesOfUnequalSpeed plays ten steps of 20 groups of 8 items, one each 4 s, on 11 engines of which every
// third is 1.3 times slower. The mean time until nine groups in ten are whole must stay below the time that their
// longest item takes on a fast engine that is full.
func TestStepsOnEnginesOfUnequalSpeed(t *testing.T) {
	const steps, fast = 10, 44.0
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2))
		v := &virtualStep{engines: make([]Engine, 11)}
		for i := range v.engines {
			v.engines[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: 8, BaselineInterval: fast}
			if i%3 == 2 {
				v.engines[i].BaselineInterval = 1.3 * fast
			}
			v.engines[i].RecentInterval = v.engines[i].BaselineInterval
		}
		missing, whole := map[[2]int]int{}, make([][]float64, steps)
		took, alone, asked := 0.0, 0.0, 0
		for v.now < 4000*steps+20000 {
			if asked < steps && v.now >= 4000*float64(asked) {
				alone += fast * v.ask(rng, asked)
				asked++
			}
			v.place()
			v.tick(func(it *virtualItem) {
				key := [2]int{it.step, it.group}
				missing[key]++
				if missing[key] == virtualMembers {
					whole[it.step] = append(whole[it.step], v.now-it.asked)
				}
			})
		}
		for step := range whole {
			took += whole[step][virtualGroups*9/10-1]
		}
		t.Logf("seed %d: %.3f times the longest item alone", seed, took/alone)
		if took > LoadSlowdown(8, 8)*alone {
			t.Errorf("seed %d: steps take %.0f ms, their longest items alone %.0f ms: %.3f times", seed, took/steps, alone/steps, took/alone)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	engines := make([]Engine, 2000)
	for i := range engines {
		engines[i] = Engine{ID: fmt.Sprint(i), Slots: 8, Running: i % 8, RecentInterval: float64(30 + i%20)}
	}
	typical := ComputeMedianIntervals(engines)
	for b.Loop() {
		typical.ChooseEngine(engines, ItemTraits{Long: true})
	}
}

func TestShortItemsLeaveLongOnesAlone(t *testing.T) {
	engines := []Engine{
		{ID: "a", Slots: 8, Running: 2, RunningLong: 2},
		{ID: "b", Slots: 8, Running: 3},
	}
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != 1 {
		t.Errorf("a short item goes to engine %d, beside two long ones", got)
	}
	engines[1].Running = 8
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != 0 {
		t.Errorf("a short item goes to engine %d, though there is room beside the long ones", got)
	}
	engines[0].Running = 4
	if got := ComputeMedianIntervals(engines).ChooseEngine(engines, ItemTraits{}); got != -1 {
		t.Errorf("a short item takes a slot beside the long ones, of which half are in use: engine %d", got)
	}
	for _, d := range []ItemTraits{{Long: true}, {Urgent: true}} {
		if got := ComputeMedianIntervals(engines).ChooseEngine(engines, d); got != 0 {
			t.Errorf("%+v waits though a slot is free", d)
		}
	}
}

func TestHindered(t *testing.T) {
	for name, tc := range map[string]struct {
		gap, steady float64
		running     int
		want        bool
	}{
		"an ordinary event":             {51, 44, 8, false},
		"one that wavers":               {70, 44, 8, false},
		"an engine slow for a moment":   {127, 44, 8, true},
		"the same on an idle engine":    {110, 44, 1, true},
		"an engine that is not known":   {500, 0, 1, false},
		"a slow engine as it always is": {66, 57, 8, false},
	} {
		if got := IsTransientSlowdown(tc.gap, tc.steady, tc.running, 8); got != tc.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
}
