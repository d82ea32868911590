package main

import (
	"fmt"
	"time"
)

const (
	// stepDeadline is how long the trainer waits for a step (deadline of the sheet's rollout requests).
	stepDeadline = 12 * time.Second
	// nowhere is how long an item may be at no server in steady state (rule LOST, batch jobs).
	nowhere = 5 * time.Second
)

// watchStep reads a step's results until all are listed or its time is up, and judges rule LOST: an item that no server has
// finished was at no server for 5 s of steady state, others of the step had begun, and the servers were under half full. calm is
// when the last impairment ended, servers are all that ran, and up those that run now.
func (d *deployment) watchStep(b *batch, begun, calm time.Time, servers, up []*server) int {
	listed := map[string]bool{}
	busy := begun // when the servers were last half full
	for after := 0; len(listed) < len(b.Items) && time.Since(begun) < stepDeadline; {
		status, results, next := d.read(d.entries[0], b.id, after)
		after = next
		for _, q := range results {
			listed[q.ID] = true
		}
		if len(results) > 0 || status != 200 {
			d.record.add("trainer: read %s: %d, %d of %d items are listed", b.id, status, len(listed), len(b.Items))
		}
		slots, running := 0, 0
		for _, s := range up {
			s.mu.Lock()
			slots, running = slots+s.slots, running+s.running
			s.mu.Unlock()
		}
		if 2*running >= slots {
			busy = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(listed) == len(b.Items) {
		d.record.add("step %s: all %d items are listed after %.1f s", b.id, len(b.Items), time.Since(begun).Seconds())
		return held
	}
	end := time.Now()
	steady := calm.Add(time.Duration(d.sheet.contactMS) * time.Millisecond)
	lost, started := 0, 0
	longest := time.Duration(0)
	for _, it := range b.Items {
		count, last, running := runsOf(servers, it.ID)
		if count > 0 {
			started++
		}
		if listed[it.ID] || running {
			continue
		}
		since := begun
		for _, t := range []time.Time{last, steady, busy} {
			if t.After(since) {
				since = t
			}
		}
		if d := end.Sub(since); d >= nowhere {
			lost++
			longest = max(longest, d)
		}
	}
	d.record.add("step %s ran out of time: %d of %d items listed, %d had begun, %d were at no server for 5 s of steady state or more (longest %.1f s) with the servers under half full", b.id, len(listed), len(b.Items), started, lost, longest.Seconds())
	if lost > 0 && started > 0 {
		d.record.add("rule LOST is broken")
		return broken
	}
	return held
}

// stepItems returns a step that two servers of 12 slots need about 5 s for.
func stepItems(id string) *batch { return newBatch(id, 0, 10, 6) }

// slowDown makes an item take 2 s.
func slowDown(servers []*server) {
	for _, s := range servers {
		s.events = 40
	}
}

func failed(r *record, err error) int {
	r.add("cannot run: %v", err)
	fmt.Println(err)
	return cannotRun
}
