package transport

import (
	"maps"
	"strings"
	"sync"
)

// Traffic holds the message and byte counts of one traffic class since the start of the process.
type Traffic struct {
	MessagesIn   uint64 `json:"messages_in" cbor:"1,keyasint"`
	MessagesOut  uint64 `json:"messages_out" cbor:"2,keyasint"`
	BytesIn      uint64 `json:"bytes_in" cbor:"3,keyasint"`
	BytesOut     uint64 `json:"bytes_out" cbor:"4,keyasint"`
	Dropped      uint64 `json:"dropped" cbor:"5,keyasint"`  // one-way messages dropped before they were sent
	PeerTimeouts uint64 `json:"given_up" cbor:"6,keyasint"` // outgoing connections closed because of PeerTimeout
}

// Traffic classes that count UDP packets as messages and UDP payload as bytes, including handshakes, acknowledgements
// and retransmissions. All other classes in Counters.Snapshot count envelopes; such a class is named after the part of
// the method name before the first dot, for example control.
const (
	ClassWireVM       = "wire.vm"
	ClassWireOperator = "wire.operator"
)

// Counters counts the traffic of a process by class. A Server and a Client can share one Counters. It is safe for
// concurrent use.
type Counters struct {
	mu      sync.Mutex
	classes map[string]Traffic
	conns   map[*connCounter]struct{}
}

func NewCounters() *Counters {
	return &Counters{classes: map[string]Traffic{}, conns: map[*connCounter]struct{}{}}
}

// Snapshot returns the current counts by class.
func (c *Counters) Snapshot() map[string]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.conns {
		c.collect(w)
	}
	return maps.Clone(c.classes)
}

func classOf(method string) string {
	class, _, _ := strings.Cut(method, ".")
	return class
}

func (c *Counters) countReceived(method string, size int) {
	c.add(classOf(method), Traffic{MessagesIn: 1, BytesIn: uint64(size)})
}

func (c *Counters) countSent(method string, size int) {
	c.add(classOf(method), Traffic{MessagesOut: 1, BytesOut: uint64(size)})
}

func (c *Counters) countDropped(method string) { c.add(classOf(method), Traffic{Dropped: 1}) }

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

// connCounter counts the traffic of one connection. readTotals returns the totals of the connection; collected is the
// part of them that was already added to the class.
type connCounter struct {
	class      string
	readTotals func() Traffic
	collected  Traffic
}

func (c *Counters) addConn(class string, read func() Traffic) *connCounter {
	w := &connCounter{class: class, readTotals: read}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[w] = struct{}{}
	return w
}

func (c *Counters) removeConn(w *connCounter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collect(w)
	delete(c.conns, w)
}

// collect adds the connection's traffic since the last call to the totals of its class. c.mu must be held.
func (c *Counters) collect(w *connCounter) {
	now := w.readTotals()
	c.addLocked(w.class, Traffic{
		MessagesIn:  now.MessagesIn - w.collected.MessagesIn,
		MessagesOut: now.MessagesOut - w.collected.MessagesOut,
		BytesIn:     now.BytesIn - w.collected.BytesIn,
		BytesOut:    now.BytesOut - w.collected.BytesOut,
	})
	w.collected = now
}
