package transport

import (
	"maps"
	"strings"
	"sync"
)

// Traffic counts messages and bytes of one class since the start of the process.
type Traffic struct {
	MessagesIn   uint64 `json:"messages_in" cbor:"1,keyasint"`
	MessagesOut  uint64 `json:"messages_out" cbor:"2,keyasint"`
	BytesIn      uint64 `json:"bytes_in" cbor:"3,keyasint"`
	BytesOut     uint64 `json:"bytes_out" cbor:"4,keyasint"`
	Dropped      uint64 `json:"dropped" cbor:"5,keyasint"`  // one-way messages that were not sent
	PeerTimeouts uint64 `json:"given_up" cbor:"6,keyasint"` // outgoing connections closed because the peer was silent
}

// Classes of Counters.Snapshot that count UDP payload bytes, including handshakes, acknowledgements and
// retransmissions. Their messages are UDP packets. All other classes are the part of a method name before the
// first dot, such as control, and count envelopes.
const (
	ClassWireVM       = "wire.vm"
	ClassWireOperator = "wire.operator"
)

// Counters counts the traffic of a process by class. One value can be shared by a Server and a Client. It is
// safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	classes map[string]Traffic
	open    map[*wireCounter]struct{}
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{classes: map[string]Traffic{}, open: map[*wireCounter]struct{}{}}
}

// Snapshot returns the counters by class.
func (c *Counters) Snapshot() map[string]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.open {
		c.collect(w)
	}
	return maps.Clone(c.classes)
}

func classOf(method string) string {
	class, _, _ := strings.Cut(method, ".")
	return class
}

func (c *Counters) in(method string, size int) {
	c.add(classOf(method), Traffic{MessagesIn: 1, BytesIn: uint64(size)})
}

func (c *Counters) out(method string, size int) {
	c.add(classOf(method), Traffic{MessagesOut: 1, BytesOut: uint64(size)})
}

func (c *Counters) dropped(method string) { c.add(classOf(method), Traffic{Dropped: 1}) }

func (c *Counters) add(class string, t Traffic) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(class, t)
}

func (c *Counters) addLocked(class string, t Traffic) {
	sum := c.classes[class]
	sum.MessagesIn += t.MessagesIn
	sum.MessagesOut += t.MessagesOut
	sum.BytesIn += t.BytesIn
	sum.BytesOut += t.BytesOut
	sum.Dropped += t.Dropped
	sum.PeerTimeouts += t.PeerTimeouts
	c.classes[class] = sum
}

// wireCounter reads the totals of one connection; seen is what the class already holds of it.
type wireCounter struct {
	class string
	read  func() Traffic
	seen  Traffic
}

func (c *Counters) openWire(class string, read func() Traffic) *wireCounter {
	w := &wireCounter{class: class, read: read}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[w] = struct{}{}
	return w
}

func (c *Counters) closeWire(w *wireCounter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collect(w)
	delete(c.open, w)
}

// collect adds what the connection counted since the last call. c.mu must be held.
func (c *Counters) collect(w *wireCounter) {
	now := w.read()
	c.addLocked(w.class, Traffic{
		MessagesIn:  now.MessagesIn - w.seen.MessagesIn,
		MessagesOut: now.MessagesOut - w.seen.MessagesOut,
		BytesIn:     now.BytesIn - w.seen.BytesIn,
		BytesOut:    now.BytesOut - w.seen.BytesOut,
	})
	w.seen = now
}
