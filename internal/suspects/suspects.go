// Package suspects keeps which requests were in flight on backend servers when the servers ended. A request that crashes
// the server that runs it comes again, through any VM; a few crashes tell it from a request that was only in flight beside
// it. The package decides without network and clock: callers pass the time since boot.
//
// It is designed for servers that end with all their slots taken: each end makes as many sound requests suspect as the
// server had slots. A sound request is answered by the next server, which clears it.
package suspects

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

const (
	// MaxReports is the number of reports that a table keeps. A cleared report gives way first, then the oldest.
	MaxReports = 4096
	// UnconfirmedLifetime is how long a report counts without a confirmation that the server ended. It exceeds the time
	// in which a server that runs announces itself several times.
	UnconfirmedLifetime = 10 * time.Second
)

// Report states that the connection to a server was lost while a request was in flight on it. Reports merge as a set in
// which Cleared prevails.
type Report struct {
	Request     uint64       `cbor:"1,keyasint"` // digest of the request's content
	Server      api.ServerID `cbor:"2,keyasint"`
	Incarnation uint64       `cbor:"3,keyasint"` // of the server that was lost
	// Cleared is true if the request was answered later, or if the server did not end.
	Cleared bool   `cbor:"4,keyasint,omitempty"`
	AgeMS   uint32 `cbor:"5,keyasint"` // time since the connection was lost, in milliseconds
	// Confirmed is true if the server is known to have ended.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
}

// Age returns the time since the connection was lost.
func (r Report) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

type key struct {
	request     uint64
	server      api.ServerID
	incarnation uint64
}

func (r Report) key() key { return key{r.Request, r.Server, r.Incarnation} }

type entry struct {
	Report
	at      time.Duration // boot time at which the connection was lost
	changed uint64        // revision of the table
}

func (e *entry) report(now time.Duration) Report {
	r := e.Report
	r.AgeMS = uint32(max(0, (now - e.at).Milliseconds()))
	return r
}

// Table holds the reports that one VM knows. It is safe for concurrent use.
type Table struct {
	lifetime time.Duration // of a report

	mu        sync.Mutex
	byRequest map[uint64]map[key]*entry
	size      int
	revision  uint64
}

// NewTable returns a table without reports. Reports are forgotten once the newest one of their request is older than
// lifetime.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, byRequest: map[uint64]map[key]*entry{}}
}

// Merge adds a report, clears it or confirms it, and reports whether that changed anything.
func (t *Table) Merge(r Report, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now - r.Age()
	if now-at >= t.lifetime {
		return false
	}
	e := t.byRequest[r.Request][r.key()]
	switch {
	case e == nil:
		t.add(r, at)
		return true
	case e.Cleared || r.Cleared == e.Cleared && (e.Confirmed || !r.Confirmed):
		return false
	}
	e.Cleared, e.Confirmed = r.Cleared, e.Confirmed || r.Confirmed
	t.revision++
	e.changed = t.revision
	return true
}

// add adds a new report. The caller holds the mutex.
func (t *Table) add(r Report, at time.Duration) {
	if t.size >= MaxReports {
		t.evict()
	}
	if t.byRequest[r.Request] == nil {
		t.byRequest[r.Request] = map[key]*entry{}
	}
	t.revision++
	t.byRequest[r.Request][r.key()] = &entry{Report: r, at: at, changed: t.revision}
	t.size++
}

// evict removes one report. The caller holds the mutex.
func (t *Table) evict() {
	var victim *entry
	for _, reports := range t.byRequest {
		for _, e := range reports {
			if victim == nil || e.Cleared && !victim.Cleared || e.Cleared == victim.Cleared && e.at < victim.at {
				victim = e
			}
		}
	}
	if victim != nil {
		t.remove(victim)
	}
}

// remove removes a report. The caller holds the mutex.
func (t *Table) remove(e *entry) {
	delete(t.byRequest[e.Request], e.key())
	if len(t.byRequest[e.Request]) == 0 {
		delete(t.byRequest, e.Request)
	}
	t.size--
}

// Clear clears the reports of a request that a server has answered. It returns the reports that changed.
func (t *Table) Clear(request uint64, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, e := range t.byRequest[request] {
		if !e.Cleared {
			t.revision++
			e.Cleared, e.changed = true, t.revision
			out = append(out, e.report(now))
		}
	}
	return out
}

// Crashes returns the number of servers that ended, or may have, while they ran a request, and the time since the last
// of them did. Each start of a server counts.
func (t *Table) Crashes(request uint64, now time.Duration) (count int, sinceLast time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.byRequest[request] {
		age := now - e.at
		if e.Cleared || !e.Confirmed && age >= UnconfirmedLifetime {
			continue
		}
		if count++; count == 1 || age < sinceLast {
			sinceLast = age
		}
	}
	return count, sinceLast
}

// Unconfirmed returns the reports that still count and wait for a confirmation.
func (t *Table) Unconfirmed(now time.Duration) []Report {
	return t.list(now, MaxReports, func(e *entry) bool {
		return !e.Cleared && !e.Confirmed && now-e.at < UnconfirmedLifetime
	})
}

// List returns up to most reports.
func (t *Table) List(most int, now time.Duration) []Report {
	return t.list(now, most, func(*entry) bool { return true })
}

func (t *Table) list(now time.Duration, most int, include func(*entry) bool) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, reports := range t.byRequest {
		for _, e := range reports {
			if len(out) < most && include(e) {
				out = append(out, e.report(now))
			}
		}
	}
	return out
}

// ChangedSince returns up to most reports that changed after a revision, the earliest change first, and the revision of
// the last of them.
func (t *Table) ChangedSince(revision uint64, most int, now time.Duration) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision >= t.revision {
		return nil, t.revision
	}
	var changed []*entry
	for _, reports := range t.byRequest {
		for _, e := range reports {
			if e.changed > revision {
				changed = append(changed, e)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	if len(changed) <= most {
		revision = t.revision
	} else {
		changed = changed[:most]
		revision = changed[most-1].changed
	}
	out := make([]Report, 0, len(changed))
	for _, e := range changed {
		out = append(out, e.report(now))
	}
	return out, revision
}

// Revision returns a counter that grows with each change.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Expire forgets the requests whose newest report is older than the lifetime of the table.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reports := range t.byRequest {
		newest := time.Duration(0)
		for _, e := range reports {
			newest = max(newest, e.at)
		}
		if now-newest < t.lifetime {
			continue
		}
		for _, e := range reports {
			t.remove(e)
		}
	}
}

// Digest returns a hash of what makes two requests the same, in order, such as the host, the method, the path and the
// body. It does not depend on the attempt.
func Digest(body []byte, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
