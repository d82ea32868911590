package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// token is a generated token with the weight version that produced it.
type token struct {
	version api.WeightVersion
	index   int
}

// generation is the state of one request while the engine generates its answer.
type generation struct {
	attempt       string
	request       *Request
	prompt        string
	source        tokenSource
	start         int                 // index of the first token to generate
	end           int                 // index after the last token
	reused        []api.WeightVersion // versions of the reused blocks of the prefix cache
	admitted      time.Time
	readyAt       time.Time                  // time at which the prompt is computed
	notify        chan struct{}              // wakes the handler that reads the tokens
	exchangedWith atomic.Pointer[generation] // set by the fault ExchangeAnswers: its tokens go to this caller
	callerGone    func() bool                // reports whether the caller has disconnected

	mu        sync.Mutex
	next      int
	tokens    []token // generated, not yet returned by takeTokens
	finished  bool
	cancelled bool
}

func newGeneration(attempt string, r *Request) *generation {
	from := r.continueFrom()
	prompt := r.PromptText()
	return &generation{
		attempt:    attempt,
		request:    r,
		prompt:     prompt,
		source:     newTokenSource(prompt, r.EffectiveSeed()),
		start:      from.Tokens,
		next:       from.Tokens,
		end:        max(r.AnswerTokens(), from.Tokens),
		notify:     make(chan struct{}, 1),
		callerGone: func() bool { return false },
	}
}

// emitToken generates one token and reports whether the generation has ended.
func (r *generation) emitToken(v api.WeightVersion) bool {
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
	r.notifyReaders()
	return r.finished
}

func (r *generation) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finished {
		r.cancelled = true
	}
	r.notifyReaders()
}

// notifyReaders wakes the handler that reads the tokens of r: its own and, if answers were exchanged, that of the
// other request.
func (r *generation) notifyReaders() {
	wake(r.notify)
	if other := r.exchangedWith.Load(); other != nil {
		wake(other.notify)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// exchangeAnswers sends the tokens of each generation to the caller of the other.
func exchangeAnswers(a, b *generation) {
	a.exchangedWith.Store(b)
	b.exchangedWith.Store(a)
	wake(a.notify)
	wake(b.notify)
}

// deliveredGeneration returns the generation whose tokens are sent to the caller of r: r itself or, after an
// exchange, the other.
func (r *generation) deliveredGeneration() *generation {
	if other := r.exchangedWith.Load(); other != nil {
		return other
	}
	return r
}

// takeTokens returns the tokens generated since the last call. done is true if no more will follow.
func (r *generation) takeTokens() (tokens []token, done, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens, r.tokens = r.tokens, nil
	return tokens, r.finished || r.cancelled, r.cancelled
}

// batch simulates continuous batching: in each round, every running request whose prompt is computed
// generates one token.
type batch struct {
	capacity            int
	baseRoundTime       time.Duration
	roundTimePerRequest time.Duration
	faults              *standin.FaultState
	version             func() api.WeightVersion
	admit               func(*generation) // called for each request that enters the batch
	generated           atomic.Int64      // tokens so far
	rounds              int               // rounds run so far; used only by loop

	mu      sync.Mutex
	running []*generation
	waiting []*generation
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

func (b *batch) add(r *generation) {
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

// findAttempt returns the running and waiting generations of an attempt ID.
func (b *batch) findAttempt(attempt string) []*generation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*generation
	for _, r := range append(slices.Clone(b.running), b.waiting...) {
		if r.attempt == attempt {
			found = append(found, r)
		}
	}
	return found
}

// loop runs the rounds on an absolute schedule, so that late timers do not accumulate. If it is more than 100 ms
// behind, it restarts the schedule instead of catching up.
func (b *batch) loop() {
	defer close(b.done)
	next := time.Now()
	for {
		active, open := b.admitWaiting()
		if !open {
			return
		}
		if len(active) == 0 {
			<-b.wake
			next = time.Now()
			continue
		}
		next = next.Add(b.roundDuration(len(active)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		} else if wait < -100*time.Millisecond {
			next = time.Now()
		}
		b.runRound(active)
	}
}

func (b *batch) roundDuration(n int) time.Duration {
	d := b.baseRoundTime + time.Duration(n)*b.roundTimePerRequest
	return time.Duration(float64(d) * b.faults.SlowFactor())
}

// admitWaiting moves waiting requests in order of arrival into the batch, up to its capacity, and returns the running
// ones. open is false after stop.
func (b *batch) admitWaiting() (active []*generation, open bool) {
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

// peerCheckRounds is the number of rounds between two checks whether the callers are still connected.
const peerCheckRounds = 8

func (b *batch) runRound(active []*generation) {
	now := time.Now()
	version := b.version()
	n := int64(0)
	ended := make(map[*generation]bool)
	for _, r := range active {
		if now.Before(r.readyAt) {
			continue
		}
		if (r.next-r.start)%peerCheckRounds == 0 && r.callerGone() {
			r.cancel()
		}
		if r.emitToken(version) {
			ended[r] = true
		}
		n++
	}
	b.generated.Add(n)
	b.rounds++
	if b.rounds%peerCheckRounds == 0 {
		b.dropAbandoned()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(r *generation) bool { return ended[r] })
}

// dropAbandoned removes waiting requests that were cancelled or whose callers have disconnected.
func (b *batch) dropAbandoned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(r *generation) bool {
		if r.callerGone() {
			r.cancel()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.cancelled
	})
}
