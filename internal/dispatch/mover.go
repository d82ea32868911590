package dispatch

import (
	"sync"
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

	mu      sync.Mutex
	timer   *time.Timer
	next    *lease
	begun   time.Time
	started time.Time // of the first token
	tokens  int
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
	m.timer = time.AfterFunc(after, m.stalled)
	return m
}

// progress notes a piece and starts the wait for the next.
func (m *mover) progress(tokens int) {
	if m.timer == nil || tokens == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started.IsZero() {
		m.started = time.Now()
	}
	m.tokens += tokens
	if !m.stopped && m.next == nil {
		m.timer.Reset(m.patience())
	}
}

// patience is how long the stream may pause.
func (m *mover) patience() time.Duration {
	if m.started.IsZero() || m.tokens < gapTokens {
		return earlyStall
	}
	mean := time.Since(m.started) / time.Duration(m.tokens)
	return max(stallGaps*mean, minStall)
}

// stalled moves the stream if another server has a slot.
func (m *mover) stalled() {
	next := m.second.tryPlace()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || next == nil {
		if next != nil {
			go next.release()
		}
		if !m.stopped {
			m.timer.Reset(m.patience())
		}
		return
	}
	m.next = next
	m.lease.measured(m.measurement())
	m.cancel()
}

// measurement counts the stall as part of the server's speed.
func (m *mover) measurement() policy.Measurement {
	if m.started.IsZero() {
		return policy.Measurement{FirstToken: time.Since(m.begun)}
	}
	return policy.Measurement{Speed: speed(m.tokens, time.Since(m.started))}
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
