package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/policy"
)

const (
	// minStall keeps short pauses of an engine, such as a weight switch, from moving its streams.
	minStall = 500 * time.Millisecond
	// stallGaps is how many times its own mean gap between tokens a stream may pause.
	stallGaps = 20
	// gapTokens are needed before the mean gap is used.
	gapTokens = 8
	// earlyStall is used before that.
	earlyStall = 2 * time.Second
)

// mover watches the progress of a stream. When the server stalls, it takes a slot on another server, within the
// retry budget, and cancels the attempt; the stream is then resumed there. Without a free slot the stream stays.
type mover struct {
	second *run
	lease  *lease
	cancel func()

	begun  time.Time
	tokens atomic.Int64
	last   atomic.Int64 // time of the last token since begun, in nanoseconds

	mu      sync.Mutex
	timer   *time.Timer
	next    *lease
	started time.Duration // time of the first token since begun
	stopped bool
}

func newMover(r *run, l *lease, cancel func()) *mover {
	m := &mover{second: r.second(l), lease: l, cancel: cancel, begun: time.Now()}
	if r.work.NonIdempotent || r.isolated {
		return m
	}
	after := earlyStall * 100 // without history only a lost connection ends the wait for the first token
	if p95, ok := r.d.firstTokenQuantile(r.work.Row.Name, len(r.work.Body), hedgeQuantile); ok && r.class == policy.Customer && r.short() {
		after = max(2*p95, minStall)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(after, m.stalled)
	return m
}

// progress notes a piece. It is called for each token, so it leaves the timer alone: stalled looks at the last
// time and waits for the rest.
func (m *mover) progress(tokens int) {
	if m.timer == nil || tokens == 0 {
		return
	}
	m.last.Store(int64(time.Since(m.begun)))
	if m.tokens.Add(int64(tokens)) == int64(tokens) {
		m.first()
	}
}

// first replaces the wait for the first token by that for the next.
func (m *mover) first() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started = time.Duration(m.last.Load())
	if !m.stopped && m.next == nil {
		m.timer.Reset(earlyStall)
	}
}

// patience is how long the stream may pause.
func (m *mover) patience() time.Duration {
	tokens := m.tokens.Load()
	if tokens < gapTokens {
		return earlyStall
	}
	mean := (time.Duration(m.last.Load()) - m.started) / time.Duration(tokens)
	return max(stallGaps*mean, minStall)
}

// pause is how long ago the last token came; without one, it is longer than any patience.
func (m *mover) pause() time.Duration {
	if m.tokens.Load() == 0 {
		return math.MaxInt64
	}
	return time.Since(m.begun) - time.Duration(m.last.Load())
}

// stalled moves the stream if it has paused too long and another server has a slot.
func (m *mover) stalled() {
	m.mu.Lock()
	rest := m.patience() - m.pause()
	if m.stopped || rest > 0 {
		m.rearm(rest)
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	next := m.second.tryPlace()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || next == nil {
		next.discard()
		m.rearm(m.patience())
		return
	}
	m.next = next
	m.lease.measured(m.measurement())
	m.cancel()
}

func (m *mover) rearm(after time.Duration) {
	if !m.stopped {
		m.timer.Reset(after)
	}
}

// measurement counts the stall as part of the server's speed.
func (m *mover) measurement() policy.Measurement {
	tokens := int(m.tokens.Load())
	if tokens == 0 {
		return policy.Measurement{TimeToFirstToken: time.Since(m.begun)}
	}
	return policy.Measurement{DecodeSpeed: speed(tokens, time.Since(m.begun)-m.started)}
}

// stop ends the watch and returns the slot to which the stream moves, if any.
func (m *mover) stop() *lease {
	if m.timer == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	return m.next
}
