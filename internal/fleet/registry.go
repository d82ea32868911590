// Package fleet is the registry of backend servers. It is soft state: servers announce themselves, and every VM
// orders what it hears by the incarnation of the server and the number of its announcement.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// silentIntervals is the number of missed announcements after which a server counts as silent.
	silentIntervals = 4
	// forgetAfter drops a server that has not been heard of; announcements can be delayed by a partition for
	// some seconds, and requests may reach a server that cannot announce itself.
	forgetAfter = 60 * time.Second
)

// LoadedModel is the state of one model on a server.
type LoadedModel struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Server is one incarnation of a backend server.
type Server struct {
	ID            string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"` // IP:port
	FailureDomain string `cbor:"4,keyasint"` // its failure domain
	// Incarnation orders the incarnations that share an ID or an address: Unix milliseconds of its start.
	Incarnation int64         `cbor:"5,keyasint"`
	Sequence    uint64        `cbor:"6,keyasint"` // of the announcement within the incarnation
	Slots       int           `cbor:"7,keyasint"` // requests that it runs at once
	Leaving     bool          `cbor:"8,keyasint,omitempty"`
	Models      []LoadedModel `cbor:"9,keyasint,omitempty"`
	// Silent is set in lists: the server has missed several announcements.
	Silent bool `cbor:"10,keyasint,omitempty"`
}

// Version returns the version of a model that the server announced, or zero.
func (s *Server) Version(model string) uint64 {
	for _, m := range s.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

type entry struct {
	server Server
	heard  time.Duration
}

// Registry is safe for concurrent use. Times are of one steady clock.
type Registry struct {
	interval time.Duration // between announcements

	mu       sync.Mutex
	byID     map[string]*entry
	revision uint64
}

// NewRegistry returns an empty registry. interval is the time between the announcements of a server.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, byID: map[string]*entry{}}
}

// Change tells what an announcement changed.
type Change int

// Changes of a server.
const (
	NoChange Change = iota
	StaleAnnouncement
	NewIncarnation
	StartedLeaving
)

// Announce takes an announcement. Older ones than what is known of the server or its address change nothing.
func (r *Registry) Announce(s Server, now time.Duration) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[s.ID]
	if e != nil && older(s, e.server) {
		return StaleAnnouncement
	}
	for id, other := range r.byID {
		if id == s.ID || other.server.Address != s.Address {
			continue
		}
		if other.server.Incarnation > s.Incarnation {
			return StaleAnnouncement // the address belongs to a newer incarnation
		}
		delete(r.byID, id)
		r.revision++
	}
	change := NoChange
	switch {
	case e == nil || e.server.Incarnation != s.Incarnation:
		change = NewIncarnation
	case s.Leaving && !e.server.Leaving:
		change = StartedLeaving
	case e.server.Leaving:
		s.Leaving = true // a server that leaves does not come back in the same incarnation
	}
	if change != NoChange || e != nil && e.silent(now, r.interval) {
		r.revision++
	}
	r.byID[s.ID] = &entry{server: s, heard: now}
	return change
}

// older reports whether s was said before known.
func older(s, known Server) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation < known.Incarnation
	}
	return s.Sequence < known.Sequence
}

// MarkLeaving marks a server as leaving. born limits it to incarnations up to that one; zero means the known one.
func (r *Registry) MarkLeaving(id string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil || e.server.Leaving || born != 0 && e.server.Incarnation > born {
		return
	}
	e.server.Leaving = true
	r.revision++
}

// Merge takes what another VM knows. It never brings back an older incarnation or a server that left.
func (r *Registry) Merge(list []Server, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range list {
		e := r.byID[s.ID]
		if e != nil && older(s, e.server) {
			// Another VM may have heard fewer announcements and yet know that the server leaves.
			e.server.Leaving = e.server.Leaving || s.Leaving && s.Incarnation == e.server.Incarnation
			continue
		}
		s.Leaving = s.Leaving || e != nil && e.server.Incarnation == s.Incarnation && e.server.Leaving
		heard := now
		if s.Silent {
			heard = now - silentIntervals*r.interval
		}
		s.Silent = false
		r.byID[s.ID] = &entry{server: s, heard: heard}
	}
	r.revision++
}

// Replace takes the list of the leading VM as the whole truth but for servers that this VM knows to be newer.
func (r *Registry) Replace(list []Server, now time.Duration) {
	r.mu.Lock()
	kept := make(map[string]*entry, len(list))
	for _, s := range list {
		if e := r.byID[s.ID]; e != nil {
			kept[s.ID] = e
		}
	}
	r.byID = kept
	r.mu.Unlock()
	r.Merge(list, now)
}

// Get returns a server.
func (r *Registry) Get(id string) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// List returns the servers of a service, or of all services if it is empty, ordered by ID.
func (r *Registry) List(service string, now time.Duration) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Server
	for _, e := range r.byID {
		if service != "" && e.server.Service != service {
			continue
		}
		s := e.server
		s.Silent = e.silent(now, r.interval)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (e *entry) silent(now, interval time.Duration) bool {
	return now-e.heard > silentIntervals*interval
}

// Expire forgets servers that have been silent for long and returns them. It also counts a new revision when a
// server has just become silent since the last call.
func (r *Registry) Expire(now, sinceLast time.Duration) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []Server
	for id, e := range r.byID {
		switch {
		case now-e.heard > forgetAfter:
			delete(r.byID, id)
			gone = append(gone, e.server)
			r.revision++
		case e.silent(now, r.interval) && !e.silent(now-sinceLast, r.interval):
			r.revision++
		}
	}
	return gone
}

// Revision grows with every change that matters for the choice of a server.
func (r *Registry) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}
