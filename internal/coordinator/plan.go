package coordinator

import (
	"time"

	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
	"filbertledge/internal/scheduling"
)

const (
	// planInterval is the time between two plans of a batch. A plan looks at all items of the batch.
	planInterval = 200 * time.Millisecond
	// minPlannedTime is the shortest time that a plan looks ahead. After a step is due, its groups are worth less, but
	// still something until the trainer gives up.
	minPlannedTime = 2 * time.Second
	// runTimeWeight is the weight of a new measurement in the averages of runTimes.
	runTimeWeight = 0.02
	// minRunSeconds is the run time of an item that is assumed before the first has completed.
	minRunSeconds = 0.5
	// minRemainingShare is the smallest share of its hinted length that an item is expected to have left.
	minRemainingShare = 0.2
)

// runTimes holds moving averages over the completed runs of items. All are 0 before the first.
type runTimes struct {
	hint    float64 // in tokens
	events  float64
	seconds float64
}

func (r *runTimes) record(hint, events int, took time.Duration) {
	if hint <= 0 {
		return
	}
	if r.hint == 0 {
		*r = runTimes{hint: float64(hint), events: float64(events), seconds: took.Seconds()}
		return
	}
	r.hint += runTimeWeight * (float64(hint) - r.hint)
	r.events += runTimeWeight * (float64(events) - r.events)
	r.seconds += runTimeWeight * (took.Seconds() - r.seconds)
}

// remaining returns the expected run time of what is left of an item, in seconds.
func (r *runTimes) remaining(item *rollout.Item, events int) float64 {
	if r.hint == 0 || r.events == 0 {
		return 0
	}
	hint := float64(max(item.LengthHint, 1))
	left := max(hint-float64(events)*r.hint/r.events, minRemainingShare*hint)
	return left * r.seconds / r.hint
}

// remainingOfLong returns remaining, but at least the time for half of the events that the item has produced: an item that
// has outlived its hint is a long one, which has about that many left.
func (r *runTimes) remainingOfLong(item *rollout.Item, events int) float64 {
	if r.events == 0 {
		return 0
	}
	return max(r.remaining(item, events), float64(events)/producedPerRemaining*r.seconds/r.events)
}

// planBatch plans the groups of a batch again if its plan is old. The caller holds the mutex.
func (s *session) planBatch(b *batch, c *routes.Configuration, now time.Duration) {
	if b.plannedAt != 0 && now-b.plannedAt < planInterval {
		return
	}
	b.plannedAt = now
	b.plan = scheduling.StepPlan{}
	route := c.Match(b.Host, b.Path)
	if route == nil || route.CompletionTarget <= 0 || s.runTimes.hint == 0 {
		return
	}
	groups := make([]scheduling.GroupWork, len(b.groups))
	for _, t := range b.tasks {
		if t.state != taskWaiting && t.state != taskRunning {
			continue
		}
		g := &groups[t.group.index]
		g.CarriedOver = t.group.carriedOver
		left := s.runTimes.remaining(&b.Items[t.item], t.events)
		g.Work += left
		g.Longest = max(g.Longest, left)
	}
	timeLeft := max(route.CompletionTarget-time.Since(time.UnixMilli(b.Submitted)), minPlannedTime)
	b.plan = scheduling.PlanStep(groups, s.slotsFor(b), timeLeft.Seconds())
}

// slotsFor returns the slots of the engines that can run a batch. Engines that models share count in part. The caller
// holds the mutex.
func (s *session) slotsFor(b *batch) float64 {
	total := 0.0
	for id, e := range s.engines {
		v, ok := s.node.registry.Get(id)
		if ok && !v.Leaving && e.failures < unreachableFailures && e.serves(b.Model) && e.versions[b.Model] >= b.MinVersion {
			total += float64(max(v.Slots, 1)) / float64(max(len(e.models), 1))
		}
	}
	return total
}

// groupRank returns the rank of a group in the plan of its batch.
func (b *batch) groupRank(g *group) int {
	if g.index >= len(b.plan.Rank) {
		return 0
	}
	return b.plan.Rank[g.index]
}
