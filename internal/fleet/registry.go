// Package fleet implements the registry of backend servers. It is soft state: servers announce themselves
// periodically, and each VM orders the announcements that it receives by the server's incarnation and the
// announcement's sequence number.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// silentIntervals is the number of announcement intervals without an announcement after which a server counts
	// as silent.
	silentIntervals = 4
	// expireAfter is the time without an announcement after which a server is removed. It is much longer than the
	// limit for silence, because a partition can delay announcements for some seconds, and requests may reach a
	// server that cannot announce itself.
	expireAfter = 60 * time.Second
)

// LoadedModel is a model and the version of its weights that a server has loaded.
type LoadedModel struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Server is one incarnation of a backend server, that is, one run of its process.
type Server struct {
	ID            string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"` // IP:port
	FailureDomain string `cbor:"4,keyasint"`
	// Incarnation is the start time of the server process in Unix milliseconds. It orders servers that use the same
	// ID or address one after another.
	Incarnation int64         `cbor:"5,keyasint"`
	Sequence    uint64        `cbor:"6,keyasint"` // number of the announcement within the incarnation
	Slots       int           `cbor:"7,keyasint"` // maximum number of concurrent requests
	Leaving     bool          `cbor:"8,keyasint,omitempty"`
	Models      []LoadedModel `cbor:"9,keyasint,omitempty"`
	// Silent is set by List and means that the server has missed several announcements. Merge derives from it how
	// long ago the last announcement was received.
	Silent bool `cbor:"10,keyasint,omitempty"`
	// Software is the version of the server's software, not of its weights. Servers of several versions may serve side by
	// side in one service.
	Software string `cbor:"11,keyasint,omitempty"`
	// Spot is true if the provider may reclaim the server at any time.
	Spot bool `cbor:"12,keyasint,omitempty"`
	// LeavesIn is the time from the announcement until a leaving server is gone; 0 means unknown.
	LeavesIn time.Duration `cbor:"13,keyasint,omitempty"`
	// KindInterval is the lowest time between two output events of an engine that its leader has measured, in milliseconds.
	// It is set in the replicated state only, for the next leader; 0 means unknown.
	KindInterval float64 `cbor:"14,keyasint,omitempty"`
	// Returns is how often a leading VM has ended the leaving mark of this incarnation, because the server did not leave. Marks
	// with fewer returns are out of date. Older builds do not send it, and keep a mark for the whole incarnation.
	Returns uint64 `cbor:"15,keyasint,omitempty"`
}

// Version returns the announced version of a model, or 0 if the server has not loaded it.
func (s *Server) Version(model string) uint64 {
	for _, m := range s.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// entry is a server and the time at which its last announcement was received.
type entry struct {
	server        Server
	lastAnnounced time.Duration
}

// Registry holds the servers known to one VM. It is safe for concurrent use. All times passed to its methods must
// be readings of the same monotonic clock.
type Registry struct {
	interval time.Duration // time between two announcements of a server

	mu           sync.Mutex
	byID         map[string]*entry
	revision     uint64
	isConfigured func(service string) bool // nil if every service counts as configured
	waiting      map[waitingKey]*entry     // servers of services that are not configured
}

// NewRegistry returns an empty registry. interval is the time between two announcements of a server.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, byID: map[string]*entry{}, waiting: map[waitingKey]*entry{}}
}

// Change is the effect of an announcement on the registry.
type Change int

// Effects of an announcement.
const (
	NoChange Change = iota
	StaleAnnouncement
	NewIncarnation
	StartedLeaving
	// StartedWaiting and StillWaiting mean that the server's service is not configured; see ConfigureServices.
	StartedWaiting
	StillWaiting
)

// Announce adds or updates a server from its announcement. An announcement that is older than the known state of
// the server, or than the server that now uses its address, is ignored. A server whose service is not configured
// changes no other server.
func (r *Registry) Announce(s Server, now time.Duration) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mustWait(s) {
		return r.announceWaiting(s, now)
	}
	return r.announce(s, now)
}

// announce is Announce for a server that need not wait. The caller holds the mutex.
func (r *Registry) announce(s Server, now time.Duration) Change {
	e := r.byID[s.ID]
	if e != nil && isOlder(s, e.server) && !r.outranks(s, e.server) {
		return StaleAnnouncement
	}
	for id, other := range r.byID {
		if id == s.ID || other.server.Address != s.Address || r.outranks(other.server, s) {
			continue
		}
		if other.server.Incarnation > s.Incarnation && !r.outranks(s, other.server) {
			return StaleAnnouncement // a newer incarnation uses the address
		}
		delete(r.byID, id)
		r.revision++
	}
	change := NoChange
	switch {
	case e == nil || e.server.Incarnation != s.Incarnation || e.server.Service != s.Service:
		change = NewIncarnation
	case s.Leaving && !e.server.Leaving:
		change = StartedLeaving
	case e.server.Leaving:
		s.Leaving = true // announcements do not end the mark; see Return
	}
	if change != NewIncarnation {
		s.Returns = e.server.Returns
	}
	if change != NoChange || e != nil && e.isSilent(now, r.interval) {
		r.revision++
	}
	r.byID[s.ID] = &entry{server: s, lastAnnounced: now}
	return change
}

// isOlder reports whether s was announced before known.
func isOlder(s, known Server) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation < known.Incarnation
	}
	return s.Sequence < known.Sequence
}

// MarkLeaving marks a server as leaving, unless its incarnation is higher than the given one. It reports whether that
// changed anything.
func (r *Registry) MarkLeaving(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil || e.server.Leaving || e.server.Incarnation > incarnation {
		return false
	}
	e.server.Leaving = true
	r.revision++
	return true
}

// Return ends the leaving mark of a server's incarnation, unless it is known to have been ended as often already. It reports
// whether that changed anything.
func (r *Registry) Return(s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[s.ID]
	if e == nil || e.server.Incarnation != s.Incarnation || e.server.Returns >= s.Returns {
		return false
	}
	e.server.Leaving, e.server.Returns = false, s.Returns
	r.revision++
	return true
}

// mergeMark takes over the leaving mark of the same incarnation as another VM knows it.
func (s *Server) mergeMark(other Server) {
	switch {
	case other.Returns > s.Returns:
		s.Leaving, s.Returns = other.Leaving, other.Returns
	case other.Returns == s.Returns:
		s.Leaving = s.Leaving || other.Leaving
	}
}

// Merge adds the servers known to another VM. It never replaces an incarnation by an older one, and clears the
// leaving mark of an incarnation only if the other VM knows of its return. Servers that cannot be used, which a VM of an
// older build may list, are left out; it returns why.
func (r *Registry) Merge(list []Server, now time.Duration) (rejected []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range list {
		if err := s.Validate(); err != nil {
			rejected = append(rejected, err)
			continue
		}
		e := r.byID[s.ID]
		if e != nil && isOlder(s, e.server) {
			// The other VM may have received fewer announcements of the server but already know that it is leaving.
			if s.Incarnation == e.server.Incarnation {
				e.server.mergeMark(s)
			}
			continue
		}
		if e != nil && e.server.Incarnation == s.Incarnation {
			s.mergeMark(e.server)
		}
		lastAnnounced := now
		if s.Silent {
			lastAnnounced = now - SilentAfter(r.interval)
		}
		s.Silent = false
		r.byID[s.ID] = &entry{server: s, lastAnnounced: lastAnnounced}
	}
	r.revision++
	return rejected
}

// Replace sets the registry to the list of the leader VM. Servers that are not in the list are removed. For a
// server in the list, newer state of this VM is kept as in Merge, whose result it returns.
func (r *Registry) Replace(list []Server, now time.Duration) (rejected []error) {
	r.mu.Lock()
	kept := make(map[string]*entry, len(list))
	for _, s := range list {
		if e := r.byID[s.ID]; e != nil {
			kept[s.ID] = e
		}
	}
	r.byID = kept
	r.mu.Unlock()
	return r.Merge(list, now)
}

// Get returns the server with the given ID.
func (r *Registry) Get(id string) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// Lookup returns the server with the given ID as List does.
func (r *Registry) Lookup(id string, now time.Duration) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return Server{}, false
	}
	s := e.server
	s.Silent = e.isSilent(now, r.interval)
	return s, true
}

// List returns the servers of a service, ordered by ID. With an empty service it returns all servers.
func (r *Registry) List(service string, now time.Duration) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Server
	for _, e := range r.byID {
		if service != "" && e.server.Service != service {
			continue
		}
		s := e.server
		s.Silent = e.isSilent(now, r.interval)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SilentAfter returns the time without an announcement after which a server counts as silent, if it announces itself at the
// given interval.
func SilentAfter(interval time.Duration) time.Duration { return silentIntervals * interval }

func (e *entry) isSilent(now, interval time.Duration) bool {
	return now-e.lastAnnounced > SilentAfter(interval)
}

// Expire removes and returns the servers that have sent no announcement for expireAfter. It also increments the
// revision if a server has become silent within sinceLast, the time since the previous call.
func (r *Registry) Expire(now, sinceLast time.Duration) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []Server
	for key, e := range r.waiting {
		if now-e.lastAnnounced > expireAfter {
			delete(r.waiting, key)
		}
	}
	for id, e := range r.byID {
		switch {
		case now-e.lastAnnounced > expireAfter:
			delete(r.byID, id)
			expired = append(expired, e.server)
			r.revision++
		case e.isSilent(now, r.interval) && !e.isSilent(now-sinceLast, r.interval):
			r.revision++
		}
	}
	return expired
}

// Revision returns a counter that is incremented on each change that can affect the choice of a server.
func (r *Registry) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}
