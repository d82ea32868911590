package backend

import (
	"sync"
	"time"

	"filbertledge/internal/errs"
)

// giveWayTime is how long a response waits for the memory of another one that gave way.
const giveWayTime = 100 * time.Millisecond

// buffers counts what the responses that are being read hold in memory. If the limit is reached, the one that holds most gives
// way: a server that sends bytes without end must not keep out the answers of the others.
type buffers struct {
	limit int64 // bytes; 0 means no limit

	mu      sync.Mutex
	changed sync.Cond // signals that a response gave back what it held
	total   int64
	holders map[*exchange]*buffered
	leaving int // responses that gave way and still hold memory
}

// buffered is what one response holds.
type buffered struct {
	bytes    int64
	complete bool // the response was read to its end; it does not give way
	gaveWay  bool
}

func newBuffers(limit int64) *buffers {
	b := &buffers{limit: limit, holders: map[*exchange]*buffered{}}
	b.changed.L = &b.mu
	return b
}

// reserve counts n more bytes of a response. If there is no room, it makes the response that holds most give way and waits for its
// memory; it fails if that is ex itself.
func (b *buffers) reserve(ex *exchange, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.holders[ex]
	if own == nil {
		own = &buffered{}
		b.holders[ex] = own
	}
	own.bytes += n
	b.total += n
	tooLong := false
	for b.limit > 0 && b.total > b.limit && !own.gaveWay {
		if b.leaving == 0 || tooLong {
			largest, held := b.largest(ex, own)
			held.gaveWay = true
			b.leaving++
			b.changed.Broadcast()
			if largest == ex {
				break
			}
			largest.conn.abort()
		}
		tooLong = b.wait()
	}
	if own.gaveWay {
		return b.limitError()
	}
	return nil
}

// wait waits until a response has given back what it held. It reports whether that takes too long, as when the reader of a stream
// is busy with an event. The caller holds the mutex.
func (b *buffers) wait() (tooLong bool) {
	began := time.Now()
	timer := time.AfterFunc(giveWayTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changed.Broadcast()
	})
	defer timer.Stop()
	b.changed.Wait()
	return time.Since(began) >= giveWayTime
}

// largest returns the response that holds most, and ex on a tie.
func (b *buffers) largest(ex *exchange, held *buffered) (*exchange, *buffered) {
	for other, h := range b.holders {
		if !h.complete && !h.gaveWay && h.bytes > held.bytes {
			ex, held = other, h
		}
	}
	return ex, held
}

// finish marks a response that was read to its end, and fails if it had to give way before.
func (b *buffers) finish(ex *exchange) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[ex]
	if h == nil {
		return nil
	}
	if h.gaveWay {
		return b.limitError()
	}
	h.complete = true
	return nil
}

// release gives back what a response holds.
func (b *buffers) release(ex *exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[ex]
	if h == nil {
		return
	}
	b.total -= h.bytes
	if h.gaveWay {
		b.leaving--
	}
	delete(b.holders, ex)
	b.changed.Broadcast()
}

// hasGivenWay reports whether a response gave way to others.
func (b *buffers) hasGivenWay(ex *exchange) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[ex]
	return h != nil && h.gaveWay
}

func (b *buffers) limitError() error {
	return errs.New(errs.BackendFailed, "request fewer or shorter responses at once", "responses in progress exceed %d bytes, and none holds more than this one", b.limit)
}
