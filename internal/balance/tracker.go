package balance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sumsLifetime is how long after the leader's last reply the counts of other VMs are used. The leader replies at least
	// every second.
	sumsLifetime = 2 * time.Second
	// serviceWeight is the weight of a new measurement in a server's mean service time, and failureWeight that of a new
	// result in its share of failed attempts.
	serviceWeight = 0.15
	failureWeight = 0.25
	// failureMemory is the time in which the share of failed attempts falls to 37 %. A server that failed is thus tried
	// again although it is the only one that does not look idle.
	failureMemory = 5 * time.Second
	// maxTracked is the number of servers at which those without requests in flight are dropped.
	maxTracked = 4096
)

// Candidate is a server to which a request may be sent.
type Candidate struct {
	ID            string
	FailureDomain string
	Slots         int
}

// Knowledge tells what a choice was based on.
type Knowledge struct {
	Age     time.Duration // of the counts of other VMs
	Counted int           // candidates with such counts; 0 if only the own requests were known
}

// tracked is what a VM knows of one server.
type tracked struct {
	key      uint32
	rank     uint64
	own      int
	service  time.Duration
	measured bool
	failures float64
	failedAt time.Duration
	reported Entry // that the leader has
	slots    float64
}

// counted is what the leader told of a server.
type counted struct {
	others  int           // requests in flight from other VMs
	at      time.Duration // boot time at which they were counted, on average
	current time.Duration // boot time of the last reply according to which they are current
	service time.Duration // 0 if it is unknown
}

// Tracker holds what a VM knows of the load of the servers. It is safe for concurrent use.
type Tracker struct {
	vm, domain string

	enabled atomic.Bool

	mu        sync.Mutex
	services  int // with more than one server
	servers   map[string]*tracked
	byKey     map[uint32]*tracked
	counts    map[uint32]counted // from the leader, by key
	sent      []Entry            // in the report that has not been answered
	revision  uint64             // of the last sums
	term      uint64
	appliedAt time.Duration // boot time of the last sums
}

// NewTracker returns a tracker of a VM. Without enabled, it chooses only once the leader asks for it.
func NewTracker(vm, domain string, enabled bool) *Tracker {
	t := &Tracker{vm: vm, domain: domain, services: 1, servers: map[string]*tracked{}, byKey: map[uint32]*tracked{}, counts: map[uint32]counted{}}
	t.enabled.Store(enabled)
	return t
}

// Enabled reports whether the tracker chooses servers.
func (t *Tracker) Enabled() bool { return t != nil && t.enabled.Load() }

func (t *Tracker) server(id string) *tracked {
	s := t.servers[id]
	if s == nil {
		if len(t.servers) >= maxTracked {
			for other, v := range t.servers {
				if v.own == 0 {
					delete(t.servers, other)
					delete(t.byKey, v.key)
				}
			}
		}
		s = &tracked{key: Key(id), rank: rank(xxhash.Sum64String(t.vm), xxhash.Sum64String(id)), slots: 1}
		t.servers[id], t.byKey[s.key] = s, s
	}
	return s
}

// Choose returns the index of the server for a request, and what the choice was based on.
func (t *Tracker) Choose(candidates []Candidate, now time.Duration, random func() float64) (int, Knowledge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make([]*tracked, len(candidates))
	for i := range candidates {
		servers[i] = t.server(candidates[i].ID)
		servers[i].slots = float64(max(candidates[i].Slots, 1))
	}
	chosen := subset(len(candidates), SubsetSize(t.services), func(i int) uint64 { return servers[i].rank }, func(i int) bool { return candidates[i].FailureDomain != t.domain })
	list := make([]estimate, len(chosen))
	var k Knowledge
	for i, index := range chosen {
		s := servers[index]
		e := estimate{slots: s.slots, own: s.own, service: s.service, domain: candidates[index].FailureDomain, remote: candidates[index].FailureDomain != t.domain}
		c, found := t.counts[s.key]
		if c.service > 0 {
			e.service = c.service // measured by several VMs
		}
		e.failures = s.failures * math.Exp(-(now-s.failedAt).Seconds()/failureMemory.Seconds())
		if e.age = now - c.at; found && now-c.current <= sumsLifetime {
			e.others, e.known = float64(c.others), true
			k.Counted++
			k.Age = max(k.Age, e.age)
		}
		list[i] = e
	}
	best := choose(list, random)
	if best < 0 {
		return -1, k
	}
	return chosen[best], k
}

// Start records that a request is sent to a server.
func (t *Tracker) Start(id string) {
	if !t.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.server(id).own++
}

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	Answered Result = iota
	Failed          // no answer, or a failure of the server
	Refused         // the server did not run the request, because it has too many
	Canceled        // ended by this VM
)

// End records the end of a request after the time took. If more requests are in flight than the server has slots, a part of
// that time was spent in its queue and is not part of the service time.
func (t *Tracker) End(id string, now, took time.Duration, result Result) {
	if !t.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(id)
	load := float64(s.own + t.counts[s.key].others)
	s.own = max(s.own-1, 0)
	switch result {
	case Answered:
		measured := time.Duration(float64(took) * s.slots / max(s.slots, load))
		if !s.measured {
			s.service, s.measured = measured, true
		}
		s.service += time.Duration(serviceWeight * float64(measured-s.service))
		s.failures *= 1 - failureWeight
	case Failed:
		recent := s.failures * math.Exp(-(now-s.failedAt).Seconds()/failureMemory.Seconds())
		s.failures, s.failedAt = recent+failureWeight*(1-recent), now
	case Refused, Canceled:
	}
}

// Report is what a VM tells the leader with a follow call.
type Report struct {
	Entries []byte `cbor:"1,keyasint,omitempty"` // at most MaxReportEntries, only those that changed; as Encode encodes them
	// Whole is true if the leader must forget earlier reports of this VM.
	Whole    bool   `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint,omitempty"` // of the last sums that the VM received
}

// Current reports whether the leader's sums are recent enough to be used.
func (t *Tracker) Current(now time.Duration) bool {
	if !t.Enabled() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term != 0 && now-t.appliedAt <= sumsLifetime
}

// Report returns the report for the next call to the leader of the term: the loads that changed since the last answered
// report, the largest changes first. It is nil unless the tracker is enabled.
func (t *Tracker) Report(term uint64, now time.Duration) *Report {
	if !t.Enabled() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = nil
	whole := term != t.term || now-t.appliedAt > sumsLifetime
	if whole {
		for _, s := range t.servers {
			s.reported = Entry{Key: s.key}
		}
	}
	type change struct {
		Entry
		size int
	}
	var changes []change
	for _, s := range t.servers {
		e := Entry{Key: s.key, Load: min(s.own, maxLoad)}
		if s.measured {
			e.Service = s.service.Round(serviceUnit)
		}
		size := max(e.Load-s.reported.Load, s.reported.Load-e.Load)
		if size > 0 || differs(int(e.Service), int(s.reported.Service)) {
			changes = append(changes, change{e, size})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.Key, b.Key)) })
	for _, c := range changes[:min(len(changes), MaxReportEntries)] {
		t.sent = append(t.sent, c.Entry)
	}
	return &Report{Entries: Encode(t.sent), Whole: whole, Revision: t.revision}
}

// differs reports whether a value changed by more than a fifth.
func differs(a, b int) bool { return 5*max(a-b, b-a) > max(a, b) }

// Sums is what the leader tells a VM with the reply to its follow call.
type Sums struct {
	Enabled bool `cbor:"1,keyasint,omitempty"` // the VMs share what they know
	// Entries are the loads from other VMs that changed by more than a fifth since the last reply.
	Entries []byte `cbor:"2,keyasint,omitempty"`
	// Complete is true if Entries contains all such changes, so that the counts that the VM holds are current.
	Complete bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"` // mean age of the reports in the sums
	Revision uint64        `cbor:"5,keyasint,omitempty"`
	Services int           `cbor:"6,keyasint,omitempty"` // number of services with more than one server
}

// Apply takes over the sums that the leader of the term made, received now; nil if it made none. It also records that the
// leader has the last report.
func (t *Tracker) Apply(sums *Sums, term uint64, now time.Duration) error {
	if sums == nil || !sums.Enabled {
		return nil
	}
	t.enabled.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.sent {
		if s := t.byKey[e.Key]; s != nil {
			s.reported = e
		}
	}
	t.sent = nil
	entries, err := Decode(sums.Entries, maxSubset)
	if err != nil {
		return err
	}
	at := now - min(max(sums.Age, 0), 2*sumsLifetime)
	revision := sums.Revision
	if term != t.term {
		clear(t.counts)
	} else if len(t.counts) > 2*maxSubset {
		clear(t.counts) // many are of servers that are gone
		revision = 0    // the leader sends the others again
	}
	if sums.Complete {
		for key, c := range t.counts {
			c.at, c.current = at, now
			t.counts[key] = c
		}
	}
	for _, e := range entries {
		t.counts[e.Key] = counted{others: e.Load, at: at, current: now, service: e.Service}
	}
	t.term, t.revision, t.appliedAt, t.services = term, revision, now, max(sums.Services, 1)
	return nil
}
