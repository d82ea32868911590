package fleet

import "time"

// maxWaiting bounds the servers whose service is not configured. Above it the one that has been silent longest is
// dropped; a server that still runs is added again by its next announcement.
const maxWaiting = 4096

// waitingKey tells servers apart that were announced under one ID for different services.
type waitingKey struct{ id, service string }

// ConfigureServices sets the function that reports whether the configuration names a service, and drops the servers that
// wait. Without the function, every service counts as configured.
//
// A server whose service is not configured waits: it is not listed, and does not affect the server that has the same ID or
// address, because nothing shows that its announcement is genuine. A listed server whose service is dropped from the
// configuration stays listed.
func (r *Registry) ConfigureServices(isConfigured func(service string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isConfigured = isConfigured
	clear(r.waiting)
}

// MustWait reports whether a server waits for the configuration of its service.
func (r *Registry) MustWait(s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mustWait(s)
}

func (r *Registry) mustWait(s Server) bool {
	e := r.byID[s.ID]
	return !r.serves(s) && (e == nil || e.server.Service != s.Service)
}

// serves reports whether the service of a server is configured.
func (r *Registry) serves(s Server) bool { return r.isConfigured == nil || r.isConfigured(s.Service) }

// outranks reports whether a, but not b, belongs to a configured service. Then a keeps an ID or an address that both claim,
// whichever of them is the newer incarnation.
func (r *Registry) outranks(a, b Server) bool { return r.serves(a) && !r.serves(b) }

// announceWaiting is Announce for a server that waits. The caller holds the mutex.
func (r *Registry) announceWaiting(s Server, now time.Duration) Change {
	key := waitingKey{s.ID, s.Service}
	e := r.waiting[key]
	if e != nil && isOlder(s, e.server) {
		return StillWaiting
	}
	change := StillWaiting
	if e == nil || e.server.Incarnation != s.Incarnation {
		change = StartedWaiting
	} else {
		s.Leaving = s.Leaving || e.server.Leaving
	}
	if e == nil && len(r.waiting) >= maxWaiting {
		r.dropLongestSilent()
	}
	r.waiting[key] = &entry{server: s, lastAnnounced: now}
	return change
}

// FindStart returns the newest incarnation that a server has announced, whether it is listed or waits.
func (r *Registry) FindStart(id string) (incarnation int64, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		return e.server.Incarnation, true
	}
	for key, e := range r.waiting {
		if key.id == id {
			incarnation, found = max(incarnation, e.server.Incarnation), true
		}
	}
	return incarnation, found
}

// MarkWaitingLeaving marks a server that waits as leaving, unless its incarnation is higher than the given one. It reports
// whether such a server waits.
func (r *Registry) MarkWaitingLeaving(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for key, e := range r.waiting {
		if key.id == id && e.server.Incarnation <= incarnation {
			e.server.Leaving, found = true, true
		}
	}
	return found
}

func (r *Registry) dropLongestSilent() {
	var oldest waitingKey
	var lastAnnounced time.Duration
	found := false
	for key, e := range r.waiting {
		if !found || e.lastAnnounced < lastAnnounced {
			oldest, lastAnnounced, found = key, e.lastAnnounced, true
		}
	}
	delete(r.waiting, oldest)
}

// ListConfigured lists the servers that waited and whose service is configured now, and returns those that changed the
// registry. hasLeft reports whether a server was said to leave meanwhile. A server does not replace one with its ID or
// address that has announced itself more recently.
func (r *Registry) ListConfigured(hasLeft func(Server) bool) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var listed []Server
	for key, e := range r.waiting {
		if !r.serves(e.server) {
			continue
		}
		delete(r.waiting, key)
		if r.isDisputed(e) {
			continue
		}
		s := e.server
		s.Leaving = s.Leaving || hasLeft(s)
		if r.announce(s, e.lastAnnounced) == NewIncarnation {
			listed = append(listed, s)
		}
	}
	return listed
}

// isDisputed reports whether another listed server of a configured service has announced the same ID or address since.
func (r *Registry) isDisputed(waiting *entry) bool {
	for id, other := range r.byID {
		same := id == waiting.server.ID || other.server.Address == waiting.server.Address
		if same && r.serves(other.server) && other.lastAnnounced >= waiting.lastAnnounced {
			return true
		}
	}
	return false
}
