// Package ratelimit keeps the requests that all VMs together send to a backend server within the rate that the server
// states in its responses. It decides without network and clock: callers pass the time since boot.
//
// It is designed for servers that state a limit when they are in need, while the load of their service goes on: the rest
// of the load goes to servers without a limit, waits for a fraction of a second, or is refused at once.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StatementKind tells what a response says about the limit of its server.
type StatementKind int

// Kinds of statements.
const (
	// NoStatement means that the response says nothing that can be relied on, for example because it came from another
	// server.
	NoStatement StatementKind = iota
	// Limited means that the server states a limit.
	Limited
	// Unlimited means that the server states no limit, which withdraws an earlier one.
	Unlimited
	// Malformed means that the stated limit cannot be read. It changes nothing.
	Malformed
)

// Statement is what one response of a server says about the rate of requests that the server accepts from all VMs
// together.
type Statement struct {
	Kind      StatementKind
	PerSecond float64 // of a Limited statement
}

// ParseStatement reads the values of the header in which a server states its limit, as decimal numbers of requests a
// second. Of several values the lowest holds. Without a value the statement is Unlimited.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{Kind: Unlimited}
	}
	lowest := math.Inf(1)
	for _, value := range values {
		perSecond, ok := parseDecimal(strings.TrimSpace(value))
		if !ok {
			return Statement{Kind: Malformed}
		}
		lowest = min(lowest, perSecond)
	}
	return Statement{Kind: Limited, PerSecond: lowest}
}

// maxPerSecond is the highest limit that is kept; no VM sends requests at such a rate.
const maxPerSecond = 1e6

// parseDecimal accepts digits with at most one decimal point. strconv.ParseFloat also reads infinities, exponents and
// hexadecimal numbers.
func parseDecimal(value string) (float64, bool) {
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(perSecond, 1) {
		return 0, false
	}
	return min(perSecond, maxPerSecond), true
}

// Limit is the newest known statement of a server, as VMs tell it to each other.
type Limit struct {
	Server    string        `cbor:"1,keyasint"`
	Withdrawn bool          `cbor:"2,keyasint,omitempty"`
	PerSecond float64       `cbor:"3,keyasint,omitempty"` // requests a second, unless the limit is withdrawn
	Age       time.Duration `cbor:"4,keyasint,omitempty"` // time since the response with the statement was received
}

// belief is the newest known statement of a server.
type belief struct {
	limited   bool
	perSecond float64
	asOf      time.Duration // boot time at which the response with the statement was received
}

// stricterThan reports whether b allows fewer requests than other.
func (b belief) stricterThan(other belief) bool {
	return b.limited && (!other.limited || b.perSecond < other.perSecond)
}

func (b belief) sameLimit(other belief) bool {
	return b.limited == other.limited && b.perSecond == other.perSecond
}

// Table holds the limits of all servers that have ever stated one. It is safe for concurrent use. A restart of a server
// under its ID does not clear its limit; its next response does, unless it states the limit again.
type Table struct {
	mu       sync.Mutex
	byServer map[string]belief
	revision uint64
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{byServer: map[string]belief{}} }

// Observe records the statement in a response to a request that was sent at boot time sentAt, and reports whether it
// changed the limit of the server. Responses of overlapping requests may arrive in another order than they were made:
// between them the stricter statement holds.
func (t *Table) Observe(server string, s Statement, sentAt, now time.Duration) bool {
	if s.Kind != Limited && s.Kind != Unlimited {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.byServer[server]
	if !known && s.Kind == Unlimited {
		return false
	}
	b := belief{limited: s.Kind == Limited, perSecond: s.PerSecond, asOf: now}
	if known && sentAt < old.asOf && !b.stricterThan(old) {
		return false
	}
	return t.set(server, b)
}

// set stores a belief and reports whether it changes the limit. The caller holds the mutex.
func (t *Table) set(server string, b belief) bool {
	old, known := t.byServer[server]
	t.byServer[server] = b
	if known && old.sameLimit(b) {
		return false
	}
	t.revision++
	return true
}

// Merge adds what another VM knows. Per server the newer statement holds. It returns the servers whose limit changed.
func (t *Table) Merge(list []Limit, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []string
	for _, l := range list {
		b := belief{limited: !l.Withdrawn, perSecond: l.PerSecond, asOf: now - max(l.Age, 0)}
		if old, known := t.byServer[l.Server]; known && b.asOf <= old.asOf {
			continue
		}
		if t.set(l.Server, b) {
			changed = append(changed, l.Server)
		}
	}
	return changed
}

// Get returns the limit of a server in requests a second, and whether it has one.
func (t *Table) Get(server string) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.byServer[server]
	return b.perSecond, b.limited
}

// Lookup returns what another VM is told about a server, and whether the server has ever stated a limit.
func (t *Table) Lookup(server string, now time.Duration) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, known := t.byServer[server]
	return b.limit(server, now), known
}

func (b belief) limit(server string, now time.Duration) Limit {
	return Limit{Server: server, Withdrawn: !b.limited, PerSecond: b.perSecond, Age: now - b.asOf}
}

// List returns the newest statements of all servers that have ever stated a limit, ordered by server, and the revision
// of the table.
func (t *Table) List(now time.Duration) ([]Limit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Limit, 0, len(t.byServer))
	for server, b := range t.byServer {
		out = append(out, b.limit(server, now))
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Server, b.Server) })
	return out, t.revision
}

// Revision returns a counter that grows with each change of a limit.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Retain drops the servers for which present returns false.
func (t *Table) Retain(present func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.byServer {
		if !present(server) {
			delete(t.byServer, server)
		}
	}
}
