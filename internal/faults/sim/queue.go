// Package sim runs raft nodes in virtual time over a simulated network and simulated disks, and checks the safety
// properties of Raft and of the leader lease after every event. Runs with the same options and seed are identical.
package sim

import (
	"container/heap"
	"time"
)

// event is a function to run at a point in virtual time. Events with equal times run in the order of their creation.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// At schedules f for virtual time t, or for the current time if t has passed.
func (c *Cluster) At(t time.Duration, f func()) {
	c.eventCount++
	heap.Push(&c.events, event{at: max(t, c.now), sequence: c.eventCount, run: f})
}

// After schedules f after the virtual duration d.
func (c *Cluster) After(d time.Duration, f func()) { c.At(c.now+d, f) }

// Run processes events until virtual time t.
func (c *Cluster) Run(t time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= t {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
		c.checkLeases()
	}
	c.now = t
}

// RunUntil processes events until done returns true. It returns false if the virtual duration limit passes before
// that.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) bool {
	end := c.now + limit
	for !done() {
		if len(c.events) == 0 || c.events[0].at > end {
			c.now = end
			return false
		}
		c.Run(c.events[0].at)
	}
	return true
}
