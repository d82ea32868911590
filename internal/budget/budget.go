// Package budget accounts for what a process holds for its callers: memory and connections. Memory is reserved before it is
// allocated and given back at every end. If it is used up, the connections that have made the least progress for the longest
// time are dropped. The package does no input or output.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase int32

// Phases of a connection. A connection is not dropped while its request runs: its outcome would be unknown.
const (
	Idle      Phase = iota // waits for the next request
	Receiving              // receives a request
	Running                // its request runs
	Answering              // an answer is being sent
	dropped                // the connection was dropped
)

// Reason tells why a connection was dropped or refused.
type Reason string

// Reasons.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
)

const (
	// DefaultStall is how long a connection must have made no progress before another request may take its memory. A caller
	// that sends without a pause makes progress within a round trip.
	DefaultStall = 250 * time.Millisecond
	// ProgressBytes is what must be received or sent to count as progress, so that single bytes do not keep a connection.
	ProgressBytes = 4 << 10
	// bulkShare is the share of the memory that reservations above SmallBytes may take together. The rest is for ordinary
	// requests.
	bulkShare = 0.75
	// SmallBytes is the size up to which a reservation may use the whole budget.
	SmallBytes = 64 << 10
)

// Options configures a Budget.
type Options struct {
	Bytes           int64         // memory in bytes; 0 means no limit
	LargestBytes    int64         // a connection may hold this much in reservations above SmallBytes, beyond Bytes, if no other has any
	Connections     int           // number of connections; 0 means no limit
	ConnectionBytes int64         // memory that every connection holds
	Stall           time.Duration // zero means DefaultStall
	Now             func() time.Duration
	// Collect, if not nil, makes the memory of ended reservations above SmallBytes available again. Until it has been called they
	// count as used: with a garbage collector, what is not referred to any more still takes memory. It may be called from any
	// goroutine, one at a time.
	Collect func()
}

// Stats are the counters of a Budget.
type Stats struct {
	Bytes, LimitBytes int64
	Connections       int
	Refused           map[Reason]int64 // reservations and connections that got no room
	Dropped           map[Reason]int64 // connections that were dropped
}

// Budget is what a process may hold for its callers.
type Budget struct {
	opts   Options
	bulk   int64  // limit of the reservations above SmallBytes
	common *Share // of the connections that belong to no other share

	mu       sync.Mutex
	used     int64
	bulkUsed int64
	garbage  int64 // the part of both that has ended and waits for Options.Collect
	collects bool  // Options.Collect is running
	holders  map[*Holder]struct{}
	changed  chan struct{} // closed when room is given back; nil without waiters
	refused  map[Reason]int64
	dropped  map[Reason]int64
}

// New returns an unused budget.
func New(o Options) *Budget {
	if o.Stall == 0 {
		o.Stall = DefaultStall
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	b := &Budget{
		opts: o, bulk: int64(bulkShare * float64(o.Bytes)), holders: map[*Holder]struct{}{}, refused: map[Reason]int64{}, dropped: map[Reason]int64{},
	}
	b.common = &Share{budget: b, connections: o.Connections}
	return b
}

// Share is the part of the connections that one listener has for itself, so that the connections of another one cannot take its
// place.
type Share struct {
	budget      *Budget
	connections int  // limit; 0 means none
	setAside    bool // the memory of all connections was reserved when the share was created

	// Guarded by budget.mu.
	open    int
	closing int // connections that were dropped and are not closed yet
}

// Open adds a connection to the common share.
func (b *Budget) Open(drop func(Reason)) *Holder { return b.common.Open(drop) }

// Common returns the share of the connections that Options.Connections limits.
func (b *Budget) Common() *Share { return b.common }

// NewShare returns a share of the given number of further connections.
func (b *Budget) NewShare(connections int) *Share { return &Share{budget: b, connections: connections} }

// NewReservedShare is NewShare, but the memory of the connections is reserved at once, so that a new one never waits for it.
func (b *Budget) NewReservedShare(connections int) *Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += int64(connections) * b.opts.ConnectionBytes
	return &Share{budget: b, connections: connections, setAside: true}
}

// Holder is the part of the budget that one connection holds.
type Holder struct {
	budget   *Budget
	share    *Share // nil for Borrow
	drop     func(Reason)
	phase    atomic.Int32
	progress atomic.Int64 // time of the last progress, in nanoseconds
	served   atomic.Bool  // a request has run on it
	partial  atomic.Int64 // bytes since then

	// Guarded by budget.mu.
	bytes, bulkBytes int64
	closed           bool
	waiting          bool // in Reserve
}

// Open adds a connection. If there is no room, it drops the connection that has made no progress for the longest time; without room
// in the share, only one of the share. drop must close the connection without blocking; it may be called from any goroutine, at most
// once. Open returns nil if there is no room.
func (s *Share) Open(drop func(Reason)) *Holder {
	b := s.budget
	h := &Holder{budget: b, share: s, drop: drop}
	h.progress.Store(int64(b.opts.Now()))
	b.mu.Lock()
	if !s.setAside && !b.fits(h, b.opts.ConnectionBytes) {
		b.collect()
	}
	var victim *Holder
	var reason Reason
	switch {
	case s.connections > 0 && s.open-s.closing >= s.connections:
		reason = Connections
		victim = b.dropOldest(0, reason, func(h *Holder) bool { return h.share == s })
	case !s.setAside && !b.fits(h, b.opts.ConnectionBytes):
		reason = Memory
		victim = b.dropOldest(0, reason, (*Holder).holdsMemory)
	}
	if reason != "" && victim == nil {
		b.refused[reason]++
		b.mu.Unlock()
		return nil
	}
	b.holders[h] = struct{}{}
	s.open++
	if !s.setAside {
		h.bytes = b.opts.ConnectionBytes
		b.used += h.bytes
	}
	b.mu.Unlock()
	if victim != nil {
		victim.drop(reason)
	}
	return h
}

// holdsMemory reports whether the end of the connection gives memory back. budget.mu must be held.
func (h *Holder) holdsMemory() bool { return h.bytes > 0 }

// holdsLargeMemory reports whether the connection holds a reservation above SmallBytes. budget.mu must be held.
func (h *Holder) holdsLargeMemory() bool { return h.bulkBytes > 0 }

// Borrow reserves n bytes for something that is no connection, such as a request that another VM handed over. The returned
// function gives them back; it may be called more than once.
func (b *Budget) Borrow(n int64) (release func(), ok bool) {
	h := &Holder{budget: b}
	h.phase.Store(int32(Running))
	if !h.Reserve(n, 0) {
		return func() {}, false
	}
	return h.Close, true
}

// dropOldest marks a connection as dropped: of those that qualify and made no progress for at least stall, the one with the lowest
// dropRank, and among these the one that made its last progress first. Those that wait for memory are left out. It returns nil if
// there is none. The caller must call the connection's drop function without b.mu, which must be held.
func (b *Budget) dropOldest(stall time.Duration, reason Reason, qualifies func(*Holder) bool) *Holder {
	now := int64(b.opts.Now())
	var best *Holder
	var bestPhase Phase
	var bestRank int
	var bestProgress int64
	for h := range b.holders {
		phase, progress := h.Phase(), h.progress.Load()
		if h.waiting || !qualifies(h) || phase == Running || phase == dropped || now-progress < int64(stall) {
			continue
		}
		if rank := h.dropRank(phase); best == nil || rank < bestRank || (rank == bestRank && progress < bestProgress) {
			best, bestPhase, bestRank, bestProgress = h, phase, rank, progress
		}
	}
	if best == nil || !best.phase.CompareAndSwap(int32(bestPhase), int32(dropped)) {
		return nil // or it has just made progress
	}
	best.share.closing++
	b.dropped[reason]++
	return best
}

// dropRank orders connections that may be dropped. Those on which no request has run go first, as nothing is known of their callers;
// then those in the middle of a request or an answer, which hold more, before idle ones.
func (h *Holder) dropRank(phase Phase) int {
	rank := 0
	if h.served.Load() {
		rank = 2
	}
	if phase == Idle {
		rank++
	}
	return rank
}

// Fits reports whether n bytes could be reserved if nothing else were held.
func (b *Budget) Fits(n int64) bool {
	return b.opts.Bytes == 0 || n <= max(b.bulk, b.opts.LargestBytes) || n <= min(SmallBytes, b.opts.Bytes)
}

// Limited reports whether the memory is bounded.
func (b *Budget) Limited() bool { return b.opts.Bytes > 0 }

// Reserve reserves n bytes for the connection. It waits up to the given time while connections without progress are dropped, and
// reports whether there is room.
func (h *Holder) Reserve(n int64, wait time.Duration) bool {
	if n <= 0 {
		return true
	}
	b := h.budget
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		if h.closed || h.Dropped() {
			b.mu.Unlock()
			return false
		}
		if !b.fits(h, n) && b.collect() {
			b.mu.Unlock()
			continue // meanwhile the connection may have ended
		}
		if b.fits(h, n) {
			b.add(h, n)
			h.waiting = false
			b.mu.Unlock()
			return true
		}
		h.waiting = true
		qualifies := (*Holder).holdsMemory
		if n > SmallBytes && b.bulkUsed+n > b.bulk {
			qualifies = (*Holder).holdsLargeMemory
		}
		var victim *Holder
		if !b.collects {
			victim = b.dropOldest(b.opts.Stall, Memory, qualifies)
		}
		if wait <= 0 {
			h.waiting = false
			b.refused[Memory]++
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		if victim != nil {
			victim.drop(Memory)
		}
		if wait <= 0 {
			return false
		}
		if timeout == nil {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		again := time.NewTimer(b.opts.Stall / 4) // others may have stalled by then
		select {
		case <-changed:
		case <-again.C:
		case <-timeout:
			wait = 0
		}
		again.Stop()
	}
}

// fits reports whether h can reserve n more bytes. b.mu must be held.
func (b *Budget) fits(h *Holder, n int64) bool {
	if b.opts.Bytes == 0 {
		return true
	}
	small, bulk := b.used-b.bulkUsed, b.bulkUsed
	if n <= SmallBytes {
		small += n
	} else if bulk += n; bulk > b.bulk && (bulk > b.opts.LargestBytes || b.bulkUsed > h.bulkBytes) {
		return false
	}
	// What the largest request takes beyond the limit of large reservations is no part of Bytes.
	return small+min(bulk, b.bulk) <= b.opts.Bytes
}

// add charges n bytes to h. b.mu must be held.
func (b *Budget) add(h *Holder, n int64) {
	h.bytes += n
	b.used += n
	if n > SmallBytes {
		h.bulkBytes += n
		b.bulkUsed += n
	}
}

// Release gives back n bytes that one call of Reserve reserved.
func (h *Holder) Release(n int64) {
	if n <= 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return // Close has given back everything
	}
	h.bytes -= n
	if n > SmallBytes {
		h.bulkBytes -= n
		b.endBulk(n)
		n = 0
	}
	b.used -= n
	b.signal()
}

// endBulk ends reservations above SmallBytes. b.mu must be held.
func (b *Budget) endBulk(n int64) {
	if b.opts.Collect != nil && b.opts.Bytes > 0 {
		b.garbage += n
		return
	}
	b.used -= n
	b.bulkUsed -= n
}

// collect makes the memory of ended reservations available. It returns false if there is none, or if another call does so at the
// moment. b.mu must be held; it is released meanwhile.
func (b *Budget) collect() bool {
	if b.garbage == 0 || b.collects {
		return false
	}
	n := b.garbage
	b.collects = true
	b.mu.Unlock()
	b.opts.Collect()
	b.mu.Lock()
	b.collects = false
	b.garbage -= n
	b.used -= n
	b.bulkUsed -= n
	b.signal()
	return true
}

// signal wakes the waiting reservations. b.mu must be held.
func (b *Budget) signal() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Close gives back everything that the connection holds. It may be called more than once.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.share != nil {
		h.share.open--
		if h.Dropped() {
			h.share.closing--
		}
	}
	b.used -= h.bytes - h.bulkBytes
	b.endBulk(h.bulkBytes)
	delete(b.holders, h)
	b.signal()
}

// Dropped reports whether the connection was dropped.
func (h *Holder) Dropped() bool { return h.Phase() == dropped }

// SetPhase says what the connection does from now on. The begin of a request and of an answer count as progress. It reports
// whether the connection still exists.
func (h *Holder) SetPhase(p Phase) bool {
	if p == Receiving || p == Answering {
		h.progress.Store(int64(h.budget.opts.Now()))
	}
	for {
		old := h.phase.Load()
		if Phase(old) == dropped {
			return false
		}
		if h.phase.CompareAndSwap(old, int32(p)) {
			if p == Running && !h.served.Load() {
				h.served.Store(true)
			}
			return true
		}
	}
}

// Phase returns what the connection does.
func (h *Holder) Phase() Phase { return Phase(h.phase.Load()) }

// Transferred counts n bytes that were received or sent.
func (h *Holder) Transferred(n int) {
	if h.partial.Add(int64(n)) < ProgressBytes {
		return
	}
	h.partial.Store(0)
	h.progress.Store(int64(h.budget.opts.Now()))
}

// Drop drops the connection unless it was dropped already or its request runs.
func (h *Holder) Drop(r Reason) {
	b := h.budget
	b.mu.Lock()
	phase := h.phase.Load()
	ok := !h.closed && Phase(phase) != Running && Phase(phase) != dropped && h.phase.CompareAndSwap(phase, int32(dropped))
	if ok {
		h.share.closing++
		b.dropped[r]++
	}
	b.mu.Unlock()
	if ok {
		h.drop(r)
	}
}

// Stats returns the present counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Bytes: b.used - b.garbage, LimitBytes: b.opts.Bytes, Connections: len(b.holders), Refused: map[Reason]int64{}, Dropped: map[Reason]int64{}}
	for r, n := range b.refused {
		s.Refused[r] = n
	}
	for r, n := range b.dropped {
		s.Dropped[r] = n
	}
	return s
}
