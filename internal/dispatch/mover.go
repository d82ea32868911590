package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/policy"
)

const (
	// minStallTimeout is the shortest pause that counts as a stall. Shorter pauses are normal, for example while an
	// engine switches weights.
	minStallTimeout = 500 * time.Millisecond
	// stallGapFactor is how many times its mean gap between tokens a stream may pause.
	stallGapFactor = 20
	// minGapTokens is the number of tokens below which the mean gap is not used.
	minGapTokens = 8
	// earlyStallTimeout is the pause that counts as a stall below minGapTokens.
	earlyStallTimeout = 2 * time.Second
	// firstTokenTimeoutQuantile of the row's times to first token, times firstTokenTimeoutFactor, is how long the first
	// token of a short customer request may take before the stream is moved.
	firstTokenTimeoutQuantile = 0.95
	firstTokenTimeoutFactor   = 2
	// defaultFirstTokenTimeout applies to all other streams. It is long, because without history only a lost connection
	// should end the wait for the first token.
	defaultFirstTokenTimeout = earlyStallTimeout * 100
)

// streamMover moves a stalled stream to another server. When no token arrives in time, it takes a slot on another
// server, within the retry budget, and cancels the current attempt; the stream is then resumed on the other server. If
// no slot is free, the stream stays where it is.
type streamMover struct {
	concurrentRun *run // places the stream on another server while the current attempt still runs
	lease         *lease
	cancel        func()

	startedAt   time.Time
	tokens      atomic.Int64
	lastTokenAt atomic.Int64 // time of the last token, in nanoseconds since startedAt

	mu           sync.Mutex
	timer        *time.Timer
	next         *lease        // slot to which the stream moves
	firstTokenAt time.Duration // time of the first token, since startedAt
	stopped      bool
}

func newStreamMover(r *run, l *lease, cancel func()) *streamMover {
	m := &streamMover{concurrentRun: r.concurrentRun(l), lease: l, cancel: cancel, startedAt: time.Now()}
	if r.request.NonIdempotent || r.isolated {
		return m
	}
	after := defaultFirstTokenTimeout
	if p95, ok := r.d.firstTokenQuantile(r.request.Row.Name, len(r.request.Body), firstTokenTimeoutQuantile); ok && r.class == policy.Customer && r.isShort() {
		after = max(firstTokenTimeoutFactor*p95, minStallTimeout)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(after, m.moveIfStalled)
	return m
}

// recordTokens records that tokens arrived. It is called for each token, so it does not reset the timer: moveIfStalled
// reads the time of the last token and waits for the remaining time.
func (m *streamMover) recordTokens(tokens int) {
	if m.timer == nil || tokens == 0 {
		return
	}
	m.lastTokenAt.Store(int64(time.Since(m.startedAt)))
	if m.tokens.Add(int64(tokens)) == int64(tokens) {
		m.onFirstToken()
	}
}

// onFirstToken replaces the time-out for the first token by the one for the next token.
func (m *streamMover) onFirstToken() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstTokenAt = time.Duration(m.lastTokenAt.Load())
	if !m.stopped && m.next == nil {
		m.timer.Reset(earlyStallTimeout)
	}
}

// stallTimeout returns how long the stream may pause before it counts as stalled.
func (m *streamMover) stallTimeout() time.Duration {
	tokens := m.tokens.Load()
	if tokens < minGapTokens {
		return earlyStallTimeout
	}
	mean := (time.Duration(m.lastTokenAt.Load()) - m.firstTokenAt) / time.Duration(tokens)
	return max(stallGapFactor*mean, minStallTimeout)
}

// timeSinceLastToken returns the time since the last token. Before the first token, it is longer than any stall
// time-out.
func (m *streamMover) timeSinceLastToken() time.Duration {
	if m.tokens.Load() == 0 {
		return math.MaxInt64
	}
	return time.Since(m.startedAt) - time.Duration(m.lastTokenAt.Load())
}

// moveIfStalled moves the stream if it is stalled and another server has a free slot.
func (m *streamMover) moveIfStalled() {
	m.mu.Lock()
	remaining := m.stallTimeout() - m.timeSinceLastToken()
	if m.stopped || remaining > 0 {
		m.resetTimer(remaining)
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	next := m.concurrentRun.tryPlace()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || next == nil {
		next.releaseUnused()
		m.resetTimer(m.stallTimeout())
		return
	}
	m.next = next
	m.lease.addMeasurement(m.measurement())
	m.cancel()
}

func (m *streamMover) resetTimer(after time.Duration) {
	if !m.stopped {
		m.timer.Reset(after)
	}
}

// measurement returns the measurement of the stalled attempt. The stall counts as generation time.
func (m *streamMover) measurement() policy.Measurement {
	tokens := int(m.tokens.Load())
	if tokens == 0 {
		return policy.Measurement{TimeToFirstToken: time.Since(m.startedAt)}
	}
	return policy.Measurement{DecodeSpeed: tokensPerSecond(tokens, time.Since(m.startedAt)-m.firstTokenAt)}
}

// stop ends the watching and returns the slot to which the stream moves, or nil.
func (m *streamMover) stop() *lease {
	if m.timer == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	return m.next
}
