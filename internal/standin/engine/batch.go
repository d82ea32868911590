package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// token is one generated token with the version that produced it.
type token struct {
	version api.WeightVersion
	index   int
}

// run is one request inside the engine.
type run struct {
	attempt  string
	request  *Request
	prompt   string
	source   tokenSource
	start    int // index of the first token to generate
	end      int // index after the last token
	reused   []api.WeightVersion
	admitted time.Time
	readyAt  time.Time // end of the prompt's computation
	notify   chan struct{}
	crossed  atomic.Pointer[run] // the run whose tokens go to this caller, by an injected fault
	gone     func() bool         // reports whether the caller has left

	mu        sync.Mutex
	next      int
	tokens    []token // generated and not taken yet
	finished  bool
	cancelled bool
}

func newRun(attempt string, r *Request) *run {
	from := r.continueFrom()
	prompt := r.PromptText()
	return &run{
		attempt: attempt,
		request: r,
		prompt:  prompt,
		source:  newTokenSource(prompt, r.EffectiveSeed()),
		start:   from.Tokens,
		next:    from.Tokens,
		end:     max(r.AnswerTokens(), from.Tokens),
		notify:  make(chan struct{}, 1),
		gone:    func() bool { return false },
	}
}

// emit generates one token and reports whether the run has ended.
func (r *run) emit(v api.WeightVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return true
	}
	if r.next < r.end {
		r.tokens = append(r.tokens, token{version: v, index: r.next})
		r.next++
	}
	r.finished = r.next >= r.end
	r.signal()
	return r.finished
}

func (r *run) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finished {
		r.cancelled = true
	}
	r.signal()
}

// signal wakes the reader of r and, if answers were exchanged, the reader of the other run.
func (r *run) signal() {
	wake(r.notify)
	if other := r.crossed.Load(); other != nil {
		wake(other.notify)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// exchange makes the caller of each run receive the tokens of the other.
func exchange(a, b *run) {
	a.crossed.Store(b)
	b.crossed.Store(a)
	wake(a.notify)
	wake(b.notify)
}

// delivered returns the run whose tokens go to the caller of r.
func (r *run) delivered() *run {
	if other := r.crossed.Load(); other != nil {
		return other
	}
	return r
}

// take returns the tokens since the last call. done is true when no more will come.
func (r *run) take() (tokens []token, done, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens, r.tokens = r.tokens, nil
	return tokens, r.finished || r.cancelled, r.cancelled
}

// batch is the continuous batch of one engine: in each round, each running request gets one token.
type batch struct {
	capacity  int
	base      time.Duration
	slope     time.Duration
	faults    *standin.FaultState
	version   func() api.WeightVersion
	admit     func(*run) // looks up the prefix cache
	generated atomic.Int64
	rounds    int // of the loop

	mu      sync.Mutex
	running []*run
	waiting []*run
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

func (b *batch) start() {
	b.wake = make(chan struct{}, 1)
	b.done = make(chan struct{})
	go b.loop()
}

func (b *batch) stop() {
	b.mu.Lock()
	b.closed = true
	all := append(slices.Clone(b.running), b.waiting...)
	b.mu.Unlock()
	for _, r := range all {
		r.cancel()
	}
	b.signal()
	<-b.done
}

func (b *batch) signal() { wake(b.wake) }

func (b *batch) add(r *run) {
	b.mu.Lock()
	b.waiting = append(b.waiting, r)
	b.mu.Unlock()
	b.signal()
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// find returns the runs of an attempt id.
func (b *batch) find(attempt string) []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*run
	for _, r := range append(slices.Clone(b.running), b.waiting...) {
		if r.attempt == attempt {
			found = append(found, r)
		}
	}
	return found
}

// loop paces the rounds on an absolute schedule, so that a late timer does not add up.
func (b *batch) loop() {
	defer close(b.done)
	next := time.Now()
	for {
		active, open := b.fill()
		if !open {
			return
		}
		if len(active) == 0 {
			<-b.wake
			next = time.Now()
			continue
		}
		next = next.Add(b.roundTime(len(active)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		} else if wait < -100*time.Millisecond {
			next = time.Now()
		}
		b.round(active)
	}
}

func (b *batch) roundTime(n int) time.Duration {
	d := b.base + time.Duration(n)*b.slope
	return time.Duration(float64(d) * b.faults.SlowFactor())
}

// fill admits waiting requests in order of arrival and returns the running ones.
func (b *batch) fill() (active []*run, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && len(b.running) < b.capacity {
		r := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		r.admitted = time.Now()
		b.admit(r)
		b.running = append(b.running, r)
	}
	return slices.Clone(b.running), !b.closed
}

// peerCheckRounds is the number of rounds between checks whether the callers are still there.
const peerCheckRounds = 8

func (b *batch) round(active []*run) {
	now := time.Now()
	version := b.version()
	n := int64(0)
	ended := make(map[*run]bool)
	for _, r := range active {
		if now.Before(r.readyAt) {
			continue
		}
		if (r.next-r.start)%peerCheckRounds == 0 && r.gone() {
			r.cancel()
		}
		if r.emit(version) {
			ended[r] = true
		}
		n++
	}
	b.generated.Add(n)
	b.rounds++
	if b.rounds%peerCheckRounds == 0 {
		b.dropGone()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(r *run) bool { return ended[r] })
}

// dropGone removes waiting requests whose callers have left or cancelled.
func (b *batch) dropGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(r *run) bool {
		if r.gone() {
			r.cancel()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.cancelled
	})
}
