// Package membership keeps the registry of the backend servers that a VM knows, and shares it between VMs by gossip.
//
// Times are readings of a monotonic clock that Options provides, so that tests can run in virtual time.
package membership

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/suspects"
)

// Bounds on the age of a backend server's last renewal.
const (
	// UsableFor is the age at which a server no longer receives new work. A leaving server must receive none after 3 s;
	// the difference of 0.5 s covers the delay of gossip.
	UsableFor = 2500 * time.Millisecond
	// ExpireAfter is the age at which a server is removed from the lists.
	ExpireAfter = 10 * time.Second
	// forgetAfter is the age at which the last incarnation and sequence of an expired server are forgotten. Until then,
	// a delayed message does not add the server again.
	forgetAfter = 60 * time.Second
)

// Options configures a Registry. VMs and Send may be nil if the VM does not gossip with others.
type Options struct {
	VM     api.VMID
	Domain api.FailureDomain
	// Now reads a monotonic clock.
	Now func() time.Duration
	// VMs returns the known entry VMs, this one included.
	VMs func() []api.VM
	// Send sends a one-way message to the transport address of a VM. The message may be lost, delayed, duplicated or
	// reordered.
	Send func(addr, method string, data []byte)
	// Events may be nil.
	Events *events.Recorder
	Seed   uint64
}

// record is what is known of a server. It is immutable.
type record struct {
	announcement api.Announcement
	staticDigest uint64        // digest of the fields that rarely change
	renewed      time.Duration // time of the renewal by the local clock, estimated from the age in the gossip message
}

// Server is one backend server in the registry. Its methods are safe for concurrent use.
type Server struct {
	id             api.ServerID
	key            uint64 // hash of id, which identifies the server in gossip messages
	rec            atomic.Pointer[record]
	suspended      atomic.Bool
	remoteInFlight atomic.Int64 // requests in flight from other VMs, as last reported
	remoteVMs      atomic.Int64 // number of other VMs with requests in flight
	inFlight       atomic.Int64 // requests in flight from this VM
	exclusive      atomic.Bool  // this VM claims the server for a suspect request
	remoteClaims   atomic.Int64 // number of other VMs that claim the server

	// DispatchState is the dispatcher's state of the server, guarded by the dispatcher's lock. Storing it here saves a
	// map access for each server that a dispatch decision considers.
	DispatchState any
}

// ID returns the ID of the server.
func (s *Server) ID() api.ServerID { return s.id }

// Announcement returns the newest announcement. It is shared and must not be modified.
func (s *Server) Announcement() *api.Announcement { return &s.rec.Load().announcement }

// Age returns the time since the last renewal.
func (s *Server) Age(now time.Duration) time.Duration { return now - s.rec.Load().renewed }

// Usable reports whether the server may receive new work.
func (s *Server) Usable(now time.Duration) bool {
	r := s.rec.Load()
	return r.announcement.State == api.ServerServing && now-r.renewed < UsableFor && !s.suspended.Load()
}

// Suspended reports whether a connection to the server was refused since its last renewal.
func (s *Server) Suspended() bool { return s.suspended.Load() }

// AddInFlight adds n to the number of this VM's requests in flight and returns the new number.
func (s *Server) AddInFlight(n int64) int64 { return s.inFlight.Add(n) }

// InFlight returns the number of this VM's requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// RemoteInFlight returns the number of requests in flight from other VMs, and the number of those VMs, as last
// reported.
func (s *Server) RemoteInFlight() (inFlight, vms int64) {
	return s.remoteInFlight.Load(), s.remoteVMs.Load()
}

// Registry holds the backend servers that a VM knows. It is safe for concurrent use.
type Registry struct {
	opts Options

	// pools is replaced as a whole when a server joins or leaves a pool. Renewals change only the records of servers.
	pools atomic.Pointer[map[api.Pool][]*Server]

	mu         sync.Mutex
	rng        *rand.Rand
	servers    map[api.ServerID]*Server
	byKey      map[uint64]*Server        // by server key and by static digest
	listed     map[api.ServerID]api.Pool // pools of the servers that are not expired
	suspects   *suspects.Table
	remoteUses map[remoteUseKey]remoteUse
	gossip     gossipState
}

// New returns an empty registry.
func New(opts Options) *Registry {
	r := &Registry{
		opts:       opts,
		rng:        rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(string(opts.VM)))),
		servers:    map[api.ServerID]*Server{},
		byKey:      map[uint64]*Server{},
		listed:     map[api.ServerID]api.Pool{},
		suspects:   suspects.NewTable(SuspicionDuration),
		remoteUses: map[remoteUseKey]remoteUse{},
	}
	r.gossip.reset()
	r.pools.Store(&map[api.Pool][]*Server{})
	return r
}

// Servers returns the servers of a pool in no particular order, including those that are not usable. The slice is
// shared and must not be modified.
func (r *Registry) Servers(pool api.Pool) []*Server { return (*r.pools.Load())[pool] }

// AllServers returns the servers of all pools in no particular order.
func (r *Registry) AllServers() []*Server {
	var out []*Server
	for _, list := range *r.pools.Load() {
		out = append(out, list...)
	}
	return out
}

// Server returns the server with the given ID unless it is expired.
func (r *Registry) Server(id api.ServerID) (*Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.listed[id]; !ok {
		return nil, false
	}
	return r.servers[id], true
}

// Announce merges an announcement that a server sent to this VM. It reports whether the announcement changed the
// registry.
func (r *Registry) Announce(a api.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, staticChanged := r.merge(a, r.opts.Now(), staticDigest(&a))
	if changed {
		r.gossip.announcedHere[a.ID] = true
		r.gossip.dirty[a.ID] = staticChanged || r.gossip.dirty[a.ID]
	}
	return changed
}

// SuspendServer makes a server unusable until its next renewal, after a connection to it was refused.
func (r *Registry) SuspendServer(id api.ServerID) {
	r.mu.Lock()
	s := r.servers[id]
	r.mu.Unlock()
	if s != nil && !s.suspended.Swap(true) {
		r.recordEvent(events.ServerSuspended, id, "connection refused")
	}
}

// merge merges an announcement with the given static digest that was renewed at the given local time. It reports
// whether the announcement is newer than the record, and whether its static fields differ from it. r.mu must be held.
func (r *Registry) merge(a api.Announcement, renewed time.Duration, digest uint64) (changed, staticChanged bool) {
	s := r.servers[a.ID]
	if s == nil {
		added := r.add(a, renewed, digest)
		return added, added
	}
	old := s.rec.Load()
	if !supersedes(&a, &old.announcement) {
		return false, false
	}
	if renewed < old.renewed {
		renewed = old.renewed
	}
	r.store(s, a, renewed, digest)
	return true, digest != old.staticDigest
}

// supersedes reports whether a replaces old. A server that is leaving does not return to another state within an
// incarnation.
func supersedes(a, old *api.Announcement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	if old.State == api.ServerLeaving {
		return a.State == api.ServerLeaving && a.Sequence > old.Sequence
	}
	return a.Sequence > old.Sequence || a.State == api.ServerLeaving
}

func (r *Registry) add(a api.Announcement, renewed time.Duration, digest uint64) bool {
	if r.opts.Now()-renewed >= ExpireAfter {
		return false
	}
	s := &Server{id: a.ID, key: serverKey(a.ID)}
	r.servers[a.ID] = s
	r.byKey[s.key] = s
	r.store(s, a, renewed, digest)
	r.recordEvent(events.ServerAnnounced, a.ID, "pool "+string(a.Pool)+" at "+a.Address)
	return true
}

// store sets the record of a server and moves the server to the pool that it announces.
func (r *Registry) store(s *Server, a api.Announcement, renewed time.Duration, digest uint64) {
	old := s.rec.Load()
	next := &record{announcement: a, staticDigest: digest, renewed: renewed}
	if old == nil || old.staticDigest != next.staticDigest {
		r.reindex(s, old, next)
	}
	s.rec.Store(next)
	s.suspended.Store(false)
	if pool, ok := r.listed[a.ID]; !ok || pool != a.Pool {
		r.moveToPool(s, a.Pool)
	}
	if a.State == api.ServerLeaving && (old == nil || old.announcement.State != api.ServerLeaving) {
		r.recordEvent(events.ServerLeaving, a.ID, "")
	}
}

func (r *Registry) reindex(s *Server, old, rec *record) {
	if old != nil {
		delete(r.byKey, old.staticDigest)
	}
	r.byKey[rec.staticDigest] = s
}

// moveToPool moves a server to the list of a pool, or removes it from all lists if pool is empty.
func (r *Registry) moveToPool(s *Server, pool api.Pool) {
	old, wasListed := r.listed[s.id]
	next := make(map[api.Pool][]*Server, len(*r.pools.Load())+1)
	for p, list := range *r.pools.Load() {
		next[p] = list
	}
	if wasListed {
		next[old] = withoutServer(next[old], s)
		delete(r.listed, s.id)
	}
	if pool != "" {
		next[pool] = append(append(make([]*Server, 0, len(next[pool])+1), next[pool]...), s)
		r.listed[s.id] = pool
	}
	r.pools.Store(&next)
}

func withoutServer(list []*Server, s *Server) []*Server {
	out := make([]*Server, 0, len(list))
	for _, other := range list {
		if other != s {
			out = append(out, other)
		}
	}
	return out
}

// expire removes servers that were not renewed from the lists, and forgets them later.
func (r *Registry) expire(now time.Duration) {
	for id, s := range r.servers {
		age := now - s.rec.Load().renewed
		if age < ExpireAfter {
			continue
		}
		if _, ok := r.listed[id]; ok {
			r.moveToPool(s, "")
			r.recordEvent(events.ServerExpired, id, "")
		}
		if age >= forgetAfter {
			delete(r.servers, id)
			delete(r.byKey, s.key)
			delete(r.byKey, s.rec.Load().staticDigest)
			delete(r.gossip.reportedUses, id)
		}
	}
}

func (r *Registry) recordEvent(name events.Name, id api.ServerID, detail string) {
	if r.opts.Events != nil {
		r.opts.Events.Record(events.Event{Name: name, Server: id, Detail: detail})
	}
}

// Addresses returns at most limit HTTP addresses of entry VMs, to which backend servers send their next announcements.
// Those of the given failure domain come first.
func (r *Registry) Addresses(domain api.FailureDomain, limit int) []string {
	if r.opts.VMs == nil {
		return []string{}
	}
	sameDomain, otherDomains := []string{}, []string{}
	for _, vm := range r.opts.VMs() {
		if vm.HTTPAddress == "" {
			continue
		}
		if vm.Domain == domain {
			sameDomain = append(sameDomain, vm.HTTPAddress)
		} else {
			otherDomains = append(otherDomains, vm.HTTPAddress)
		}
	}
	r.shuffle(sameDomain)
	r.shuffle(otherDomains)
	all := append(sameDomain, otherDomains...)
	return all[:min(len(all), limit)]
}

func (r *Registry) shuffle(list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Now reads the registry's clock.
func (r *Registry) Now() time.Duration { return r.opts.Now() }

// SetExclusive claims the server for one request of this VM, or ends the claim. Other VMs learn of the claim by gossip
// and send the server no new work until it ends.
func (s *Server) SetExclusive(on bool) { s.exclusive.Store(on) }

// Exclusive reports whether this VM or another one claims the server for one request.
func (s *Server) Exclusive() bool { return s.exclusive.Load() || s.ClaimedByOtherVM() }

// ClaimedByOtherVM reports whether another VM claims the server for one request.
func (s *Server) ClaimedByOtherVM() bool { return s.remoteClaims.Load() > 0 }
