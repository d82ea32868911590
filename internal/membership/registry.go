// Package membership is the registry of backend servers of one VM, and the gossip of it between VMs.
//
// Times are readings of a monotonic clock that the options inject, so that tests run in virtual time.
package membership

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
)

// Bounds on the age of a backend server's last renewal.
const (
	// UsableFor leaves 0.5 s for the delay of gossip within the 3 s after which a server that is leaving must
	// receive no new work.
	UsableFor = 2500 * time.Millisecond
	// ExpireAfter removes a server from the lists.
	ExpireAfter = 10 * time.Second
	// forgetAfter is how long the last (incarnation, sequence) of a dropped server is remembered, so that a
	// delayed message does not bring the server back.
	forgetAfter = 60 * time.Second
)

// Options configures a Registry. VMs and Send may be nil if the VM gossips with no others.
type Options struct {
	VM     api.VMID
	Domain api.FailureDomain
	// Now is a monotonic clock.
	Now func() time.Duration
	// VMs returns the known entry VMs, this one included.
	VMs func() []api.VM
	// Send sends a one-way message to a VM's transport address. It may drop, delay, duplicate and reorder.
	Send func(addr, method string, data []byte)
	// Events may be nil.
	Events *events.Recorder
	Seed   uint64
}

// record is an immutable copy of what is known of a server.
type record struct {
	announcement api.Announcement
	static       uint64        // digest of the fields that seldom change
	renewed      time.Duration // local time of the renewal, less the age that gossip carried
}

// Server is one backend server in the registry. Its methods are safe for concurrent use.
type Server struct {
	id        api.ServerID
	key       uint64
	rec       atomic.Pointer[record]
	suspended atomic.Bool
	others    atomic.Int64 // requests in flight from other VMs, as last heard
	users     atomic.Int64 // other VMs with requests in flight
	inFlight  atomic.Int64 // requests of this VM in flight
	exclusive atomic.Bool  // this VM runs a suspect request on it alone
	claims    atomic.Int64 // other VMs that do

	// DispatchState is what the dispatcher knows of the server, guarded by the dispatcher's lock. It spares a map
	// access for each server that a decision looks at.
	DispatchState any
}

// ID returns the server's id.
func (s *Server) ID() api.ServerID { return s.id }

// Announcement returns the newest announcement. The caller must not change what it points to.
func (s *Server) Announcement() *api.Announcement { return &s.rec.Load().announcement }

// Age returns the time since the last renewal.
func (s *Server) Age(now time.Duration) time.Duration { return now - s.rec.Load().renewed }

// Usable reports whether the server may receive new work.
func (s *Server) Usable(now time.Duration) bool {
	r := s.rec.Load()
	return r.announcement.State == api.ServerServing && now-r.renewed < UsableFor && !s.suspended.Load()
}

// Suspended reports whether a connection was refused since the last renewal.
func (s *Server) Suspended() bool { return s.suspended.Load() }

// AddInFlight changes the number of this VM's requests in flight and returns the new number.
func (s *Server) AddInFlight(n int64) int64 { return s.inFlight.Add(n) }

// InFlight returns the number of this VM's requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// RemoteInFlight returns the requests in flight from other VMs, and the number of those VMs, as last heard.
func (s *Server) RemoteInFlight() (inFlight, vms int64) { return s.others.Load(), s.users.Load() }

// Registry holds the backend servers that a VM knows. It is safe for concurrent use.
type Registry struct {
	opts Options

	// pools is replaced as a whole when a server enters or leaves a pool; renewals change only the records.
	pools atomic.Pointer[map[api.Pool][]*Server]

	mu       sync.Mutex
	rng      *rand.Rand
	servers  map[api.ServerID]*Server
	byKey    map[uint64]*Server // by key and by static digest
	listed   map[api.ServerID]api.Pool
	suspects map[crashKey]*crash
	use      map[useKey]use
	gossip   gossipState
}

// New returns an empty registry.
func New(opts Options) *Registry {
	r := &Registry{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(string(opts.VM)))),
		servers:  map[api.ServerID]*Server{},
		byKey:    map[uint64]*Server{},
		listed:   map[api.ServerID]api.Pool{},
		suspects: map[crashKey]*crash{},
		use:      map[useKey]use{},
	}
	r.gossip.reset()
	r.pools.Store(&map[api.Pool][]*Server{})
	return r
}

// Servers returns the servers of a pool in no order. The slice is shared and must not be changed. Servers in
// it may be unusable.
func (r *Registry) Servers(pool api.Pool) []*Server { return (*r.pools.Load())[pool] }

// AllServers returns all listed servers in no order.
func (r *Registry) AllServers() []*Server {
	var out []*Server
	for _, list := range *r.pools.Load() {
		out = append(out, list...)
	}
	return out
}

// Server returns a listed server.
func (r *Registry) Server(id api.ServerID) (*Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.listed[id]; !ok {
		return nil, false
	}
	return r.servers[id], true
}

// Announce merges an announcement that a server sent to this VM. It reports whether it was news.
func (r *Registry) Announce(a api.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news, full := r.merge(a, r.opts.Now(), staticDigest(&a))
	if news {
		r.gossip.announced[a.ID] = true
		r.gossip.dirty[a.ID] = full || r.gossip.dirty[a.ID]
	}
	return news
}

// SuspendServer suspends a server until its next renewal, because a connection to it was refused.
func (r *Registry) SuspendServer(id api.ServerID) {
	r.mu.Lock()
	s := r.servers[id]
	r.mu.Unlock()
	if s != nil && !s.suspended.Swap(true) {
		r.event(events.ServerSuspended, id, "connection refused")
	}
}

// merge takes a record that was renewed at the given local time. It reports whether the record is news, and
// whether its static fields, whose digest is static, are new here. r.mu must be held.
func (r *Registry) merge(a api.Announcement, renewed time.Duration, static uint64) (news, full bool) {
	s := r.servers[a.ID]
	if s == nil {
		added := r.add(a, renewed, static)
		return added, added
	}
	old := s.rec.Load()
	if !newer(&a, &old.announcement) {
		return false, false
	}
	if renewed < old.renewed {
		renewed = old.renewed
	}
	r.store(s, a, renewed, static)
	return true, static != old.static
}

// newer reports whether a replaces old. A server that was leaving stays so for its incarnation.
func newer(a, old *api.Announcement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	if old.State == api.ServerLeaving {
		return a.State == api.ServerLeaving && a.Sequence > old.Sequence
	}
	return a.Sequence > old.Sequence || a.State == api.ServerLeaving
}

func (r *Registry) add(a api.Announcement, renewed time.Duration, static uint64) bool {
	if r.opts.Now()-renewed >= ExpireAfter {
		return false
	}
	s := &Server{id: a.ID, key: keyOf(a.ID)}
	r.servers[a.ID] = s
	r.byKey[s.key] = s
	r.store(s, a, renewed, static)
	r.event(events.ServerAnnounced, a.ID, "pool "+string(a.Pool)+" at "+a.Address)
	return true
}

// store sets a server's record and lists it under its pool.
func (r *Registry) store(s *Server, a api.Announcement, renewed time.Duration, static uint64) {
	old := s.rec.Load()
	rec := &record{announcement: a, static: static, renewed: renewed}
	if old == nil || old.static != rec.static {
		r.reindex(s, old, rec)
	}
	s.rec.Store(rec)
	s.suspended.Store(false)
	if pool, ok := r.listed[a.ID]; !ok || pool != a.Pool {
		r.list(s, a.Pool)
	}
	if a.State == api.ServerLeaving && (old == nil || old.announcement.State != api.ServerLeaving) {
		r.event(events.ServerLeaving, a.ID, "")
	}
}

func (r *Registry) reindex(s *Server, old, rec *record) {
	if old != nil {
		delete(r.byKey, old.static)
	}
	r.byKey[rec.static] = s
}

// list moves a server to a pool's list; an empty pool removes it from all lists.
func (r *Registry) list(s *Server, pool api.Pool) {
	old, was := r.listed[s.id]
	next := make(map[api.Pool][]*Server, len(*r.pools.Load())+1)
	for p, list := range *r.pools.Load() {
		next[p] = list
	}
	if was {
		next[old] = without(next[old], s)
		delete(r.listed, s.id)
	}
	if pool != "" {
		next[pool] = append(append(make([]*Server, 0, len(next[pool])+1), next[pool]...), s)
		r.listed[s.id] = pool
	}
	r.pools.Store(&next)
}

func without(list []*Server, s *Server) []*Server {
	out := make([]*Server, 0, len(list))
	for _, other := range list {
		if other != s {
			out = append(out, other)
		}
	}
	return out
}

// expire drops servers that are not renewed, and forgets them later.
func (r *Registry) expire(now time.Duration) {
	for id, s := range r.servers {
		age := now - s.rec.Load().renewed
		if age < ExpireAfter {
			continue
		}
		if _, ok := r.listed[id]; ok {
			r.list(s, "")
			r.event(events.ServerExpired, id, "")
		}
		if age >= forgetAfter {
			delete(r.servers, id)
			delete(r.byKey, s.key)
			delete(r.byKey, s.rec.Load().static)
			delete(r.gossip.reported, id)
		}
	}
}

func (r *Registry) event(name events.Name, id api.ServerID, detail string) {
	if r.opts.Events != nil {
		r.opts.Events.Record(events.Event{Name: name, Server: id, Detail: detail})
	}
}

// Addresses returns at most max HTTP addresses of entry VMs, those of domain first. Backend servers announce
// themselves to them next.
func (r *Registry) Addresses(domain api.FailureDomain, max int) []string {
	if r.opts.VMs == nil {
		return []string{}
	}
	near, far := []string{}, []string{}
	for _, vm := range r.opts.VMs() {
		if vm.HTTPAddress == "" {
			continue
		}
		if vm.Domain == domain {
			near = append(near, vm.HTTPAddress)
		} else {
			far = append(far, vm.HTTPAddress)
		}
	}
	r.shuffle(near)
	r.shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), max)]
}

func (r *Registry) shuffle(list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Now reads the registry's clock.
func (r *Registry) Now() time.Duration { return r.opts.Now() }

// SetExclusive claims the server for one request of this VM, or ends the claim. Other VMs hear of it by gossip
// and send no new work meanwhile.
func (s *Server) SetExclusive(on bool) { s.exclusive.Store(on) }

// Exclusive reports whether this VM or another claims the server for one request.
func (s *Server) Exclusive() bool { return s.exclusive.Load() || s.ClaimedByOtherVM() }

// ClaimedByOtherVM reports whether another VM claims the server for one request.
func (s *Server) ClaimedByOtherVM() bool { return s.claims.Load() > 0 }
