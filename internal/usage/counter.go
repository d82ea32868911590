package usage

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxUndated bounds the requests that are counted before the agreed time is known.
	maxUndated = 1024
	// maxCounts bounds the counters that wait for a delta, and maxUnacknowledged the deltas that wait for an answer. The
	// oldest windows give way: they are closed after some seconds without a leader.
	maxCounts         = 4096
	maxUnacknowledged = 64
	// watermarkMargin is kept between the agreed time and the watermark, so that a correction of the agreed time by some
	// milliseconds does not move a count before the watermark.
	watermarkMargin = 100 * time.Millisecond
)

// Counter counts the requests of an entry VM. It is safe for concurrent use.
type Counter struct {
	instance uint64
	changed  chan struct{}

	mu          sync.Mutex
	length      time.Duration // of a window; 0 until the leader has named it
	offset      int64         // agreed time minus boot time, in nanoseconds
	offsetKnown bool
	sequence    uint64
	counts      map[key]int64 // not in a delta yet
	sent        []Delta       // not acknowledged yet
	undecided   map[*Request]bool
	undated     []*Request
	// floor is the first window that the watermark has not passed. No count falls into an earlier one.
	floor   int64
	dropped int64
}

// NewCounter returns the counter of a process with the given instance number, which must be random and not 0.
func NewCounter(instance uint64) *Counter {
	return &Counter{instance: instance, changed: make(chan struct{}, 1), counts: map[key]int64{}, undecided: map[*Request]bool{}}
}

// Instance returns the instance number.
func (c *Counter) Instance() uint64 { return c.instance }

// Changed returns a channel that receives a value after counts were added that are in no delta yet.
func (c *Counter) Changed() <-chan struct{} { return c.changed }

// Wake makes Changed receive a value.
func (c *Counter) Wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// SetTime sets the length of a window and the agreed time minus the boot time in nanoseconds, as the leader states them.
// Requests that were counted before are assigned to their windows. A length of 0 changes nothing: the leader is of an
// earlier build or wants no counts.
func (c *Counter) SetTime(length time.Duration, offset int64, known bool) {
	if length <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.length != length {
		c.changeLength(length)
	}
	if !known {
		return
	}
	c.offset, c.offsetKnown = offset, true
	undated := c.undated
	c.undated = nil
	for _, r := range undated {
		r.undated = false
		if r.counted {
			r.window = c.windowOf(r.countedAt)
			c.add(r.window, r.workspace, 1)
		}
	}
}

// changeLength drops the counts by windows of the former length. The caller holds the mutex.
func (c *Counter) changeLength(length time.Duration) {
	for _, n := range c.counts {
		c.dropped += max(n, 0)
	}
	clear(c.counts)
	for _, d := range c.sent {
		for _, n := range d.Counts {
			c.dropped += max(n.Requests, 0)
		}
	}
	c.sent, c.length, c.floor = nil, length, 0
	for r := range c.undecided {
		if r.counted && !r.undated {
			r.lost = true
		}
	}
}

// windowOf returns the window of a count at a boot time. The caller holds the mutex.
func (c *Counter) windowOf(at time.Duration) int64 {
	return max(WindowOf(c.offset+int64(at), c.length), c.floor)
}

// add changes a counter. The caller holds the mutex.
func (c *Counter) add(window int64, workspace string, n int64) {
	k := key{window, workspace}
	if _, exists := c.counts[k]; !exists && len(c.counts) >= maxCounts {
		c.dropOldestWindow()
	}
	if c.counts[k] += n; c.counts[k] == 0 {
		delete(c.counts, k)
	}
	c.Wake()
}

func (c *Counter) dropOldestWindow() {
	oldest := int64(0)
	for k := range c.counts {
		if oldest == 0 || k.window < oldest {
			oldest = k.window
		}
	}
	for k, n := range c.counts {
		if k.window == oldest {
			c.dropped += max(n, 0)
			delete(c.counts, k)
		}
	}
}

// TakeDropped returns the number of requests whose counts were dropped since the last call, because no leader took them.
func (c *Counter) TakeDropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	c.dropped = 0
	return n
}

// Deltas puts the counts since the last call into a delta and returns all deltas that are not acknowledged, the oldest
// first. The first one is always included in later calls, so that the ledger gets the deltas in their order.
func (c *Counter) Deltas() []Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) > 0 && len(c.sent) < maxUnacknowledged {
		c.sequence++
		c.sent = append(c.sent, Delta{Instance: c.instance, Sequence: c.sequence, Counts: sortedCounts(c.counts)})
		clear(c.counts)
	}
	return slices.Clone(c.sent)
}

// Pending reports whether there are counts that are in no delta yet.
func (c *Counter) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.counts) > 0
}

// Acknowledge records that the deltas up to a sequence number are in the replicated state.
func (c *Counter) Acknowledge(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = slices.DeleteFunc(slices.Clone(c.sent), func(d Delta) bool { return d.Sequence <= sequence })
}

// Length returns the length of the windows by which the counter counts, 0 if it is unknown.
func (c *Counter) Length() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length
}

// Watermark returns an agreed time, in nanoseconds since the start of 1970, at the boot time now: all counts of windows that
// end by then are final and in the replicated state, and none will be added. 0 means that nothing is known.
func (c *Counter) Watermark(now time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.length <= 0 || !c.offsetKnown {
		return 0
	}
	mark := c.offset + int64(now-watermarkMargin)
	lower := func(window int64) { mark = min(mark, window*int64(c.length)) }
	for k := range c.counts {
		lower(k.window)
	}
	for _, d := range c.sent {
		for _, n := range d.Counts {
			lower(n.Window)
		}
	}
	for r := range c.undecided {
		if r.counted && !r.lost {
			lower(r.window)
		}
	}
	c.floor = max(c.floor, WindowOf(mark, c.length))
	return mark
}

// Request is a request of a workspace. It counts once, in the window in which the first server began to run it, not
// counting servers that state that they did not run it.
type Request struct {
	counter   *Counter
	workspace string

	// The counter's mutex guards the following fields.
	begun     map[int]time.Duration // boot time of the begin by attempt
	counted   bool
	countedAt time.Duration
	window    int64
	undated   bool // the request is in Counter.undated
	lost      bool // its count was dropped
	done      bool
}

// NewRequest returns a request of a workspace that no server has begun to run.
func (c *Counter) NewRequest(workspace string) *Request {
	return &Request{counter: c, workspace: workspace, begun: map[int]time.Duration{}}
}

// Begin records that a server began to run the request at the boot time at.
func (r *Request) Begin(attempt int, at time.Duration) {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.begun[attempt] = at
	r.update()
}

// NotRun records that the server of an attempt did not run the request and never will.
func (r *Request) NotRun(attempt int) {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	delete(r.begun, attempt)
	r.update()
}

// Done records that the outcome of all attempts is known, or will not become known: the count is final, apart from a NotRun
// that still arrives. It returns a description of the count for the log.
func (r *Request) Done() string {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.done = true
	delete(r.counter.undecided, r)
	switch {
	case !r.counted:
		return "does not count for workspace " + r.workspace
	case r.lost:
		return "the count for workspace " + r.workspace + " was dropped"
	case r.undated:
		return "counts for workspace " + r.workspace + ", in a window that is not known yet"
	}
	return fmt.Sprintf("counts for workspace %s in window %d", r.workspace, r.window)
}

// update makes the count agree with the attempts. The caller holds the mutex.
func (r *Request) update() {
	c := r.counter
	at, counts := earliest(r.begun)
	switch {
	case r.lost, counts == r.counted && at == r.countedAt:
		return
	case r.undated: // SetTime counts what is left then
		r.counted, r.countedAt = counts, at
		return
	}
	window, dated := int64(0), c.length > 0 && c.offsetKnown
	if counts && dated {
		window = c.windowOf(at)
	}
	if !dated {
		c.addUndated(r)
	} else if counts != r.counted || window != r.window {
		if r.counted {
			c.add(r.window, r.workspace, -1)
		}
		if counts {
			c.add(window, r.workspace, 1)
		}
	}
	r.counted, r.countedAt, r.window = counts, at, window
	if counts && !r.done {
		c.undecided[r] = true
	}
}

// addUndated keeps a request until the agreed time is known. The caller holds the mutex.
func (c *Counter) addUndated(r *Request) {
	if len(c.undated) >= maxUndated {
		const half = maxUndated / 2 // at once, so that each drop is cheap on a VM whose leader wants no counts
		for _, old := range c.undated[:half] {
			old.lost, old.undated = true, false
		}
		c.undated = slices.Clone(c.undated[half:])
		if c.length > 0 {
			c.dropped += half
		}
	}
	r.undated = true
	c.undated = append(c.undated, r)
}

// earliest returns the first begin.
func earliest(begun map[int]time.Duration) (at time.Duration, any bool) {
	if len(begun) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Values(begun))), true
}
