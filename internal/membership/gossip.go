package membership

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/api"
)

// GossipMethod is the transport method of gossip messages.
const GossipMethod = "membership.gossip"

// Timing of gossip.
const (
	roundEvery  = 100 * time.Millisecond
	digestEvery = time.Second
	// Renewals and counts that change all the time wait for a batch, batchPerVM for each VM of the failure
	// domain and at most maxBatch, so that the messages a VM sends do not grow with the square of the VMs.
	batchPerVM = 35 * time.Millisecond
	maxBatch   = 900 * time.Millisecond
	// askAfter is the age at which a record should have been renewed; a lost message is the likely cause, so
	// another VM is asked every askEvery until the record is no longer usable.
	askAfter   = 1300 * time.Millisecond
	askEvery   = 200 * time.Millisecond
	askDomains = 4               // failure domains that one round asks about
	useFor     = 3 * time.Second // a count of requests in flight that is not repeated for so long is dropped
)

// Bounds of one message. A full record takes about 200 bytes and a renewal about 25, so a message stays under
// 16 KiB.
const (
	maxFull      = 32
	maxRenewals  = 300
	maxDigest    = 8 // each of 27 VMs sends one a second, so that 161 records are repeated every 20 s or so
	maxCrashes   = 64
	maxUses      = 128
	maxWants     = 256
	maxSuspects  = 4096
	maxReceived  = 64 << 10
	maxDecodeLen = 4096
)

// Hops of a message. They prevent loops: only messages with hopRelay are passed on, with hopFinal.
const (
	hopFinal = 0
	hopRelay = 1
)

// fullRecord is a whole announcement.
type fullRecord struct {
	Announcement api.Announcement `cbor:"1,keyasint"`
	AgeMS        uint32           `cbor:"2,keyasint"`
}

// renewal renews a record whose seldom changing fields the receiver knows by their digest.
type renewal struct {
	_        struct{} `cbor:",toarray"`
	Static   uint64
	Sequence uint64
	AgeMS    uint32
	Running  int
	Waiting  int
	Speed    uint32 // tokens a second
}

// exclusiveUse as the number of requests in flight claims a server for one suspect request.
const exclusiveUse = -1

// useReport is the number of requests that a VM has in flight on a server, or exclusiveUse.
type useReport struct {
	_        struct{} `cbor:",toarray"`
	Server   uint64
	VM       api.VMID
	InFlight int
}

type message struct {
	From     api.VMID     `cbor:"1,keyasint"` // the receiver looks up its address and failure domain
	Hop      uint8        `cbor:"4,keyasint"`
	Full     []fullRecord `cbor:"5,keyasint,omitempty"`
	Renewals []renewal    `cbor:"6,keyasint,omitempty"`
	Crashes  []crash      `cbor:"7,keyasint,omitempty"`
	Uses     []useReport  `cbor:"8,keyasint,omitempty"`
	Wants    []uint64     `cbor:"9,keyasint,omitempty"` // static digests that the sender does not know
	// Late lists the keys of servers whose renewal the sender missed.
	Late []uint64 `cbor:"11,keyasint,omitempty"`
	// Digest marks a message that repeats the sender's records to repair gaps.
	Digest bool `cbor:"10,keyasint,omitempty"`
}

func (m *message) empty() bool {
	return len(m.Full)+len(m.Renewals)+len(m.Crashes)+len(m.Uses)+len(m.Wants)+len(m.Late) == 0
}

type useKey struct {
	server uint64
	vm     api.VMID
}

type use struct {
	inFlight int
	at       time.Duration
}

// gossipState is what changed since the last round, and the cursors of the digests.
type gossipState struct {
	// dirty and relayed hold the servers whose records came from the server itself and from other failure
	// domains. True means that the record goes in full: its static fields were new here, so probably to others.
	dirty       map[api.ServerID]bool
	relayed     map[api.ServerID]bool
	relayedUses map[useKey]int
	reported    map[api.ServerID]int
	lastDigest  time.Duration
	lastAsk     time.Duration
	lastBatch   time.Duration
	batch       time.Duration // time between batches
	lastUses    time.Duration
	lastAllUses time.Duration
	announced   map[api.ServerID]bool // announced themselves here since the last round
	ranked      []rankedServer        // reused by sample
	cursor      int
}

func (g *gossipState) reset() {
	g.dirty = map[api.ServerID]bool{}
	g.reported = map[api.ServerID]int{}
	g.relayed = map[api.ServerID]bool{}
	g.announced = map[api.ServerID]bool{}
	g.relayedUses = map[useKey]int{}
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxDecodeLen, MaxMapPairs: maxDecodeLen, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func keyOf(id api.ServerID) uint64 { return xxhash.Sum64String(string(id)) }

// staticDigest covers every field of an announcement but the sequence, the load and the cache events.
func staticDigest(a *api.Announcement) uint64 {
	c := *a
	c.Sequence, c.Load, c.CacheEvents = 0, api.Load{}, nil
	data, err := cbor.Marshal(&c)
	if err != nil {
		return keyOf(a.ID)
	}
	return xxhash.Sum64(data)
}

// Run gossips until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Tick()
		}
	}
}

// outgoing is a message for one VM.
type outgoing struct {
	addr string
	msg  message
}

// Tick runs one round of gossip: it sends what changed since the last round, and once a second a digest.
func (r *Registry) Tick() {
	now := r.opts.Now()
	vms := r.vms()
	r.mu.Lock()
	r.expire(now)
	r.expireSuspects(now)
	r.expireUses(now)
	out := r.round(now, vms)
	r.mu.Unlock()
	r.send(out)
}

func (r *Registry) vms() []api.VM {
	if r.opts.VMs == nil {
		return nil
	}
	return r.opts.VMs()
}

func (r *Registry) send(out []outgoing) {
	if r.opts.Send == nil {
		return
	}
	for i := range out {
		data, err := cbor.Marshal(&out[i].msg)
		if err == nil {
			r.opts.Send(out[i].addr, GossipMethod, data)
		}
	}
}

func (r *Registry) round(now time.Duration, vms []api.VM) []outgoing {
	batch := r.batchDue(now, vms)
	delta := message{From: r.opts.VM}
	r.addDelta(&delta, now, batch, r.receivers(vms))
	near := delta
	r.addRelayed(&near, now, batch)
	out := r.spread(near, vms)
	out = append(out, r.spreadFar(now, delta, vms)...)
	if now-r.gossip.lastDigest >= digestEvery {
		r.gossip.lastDigest = now
		out = append(out, r.digests(now, vms)...)
	}
	if now-r.gossip.lastAsk >= askEvery {
		r.gossip.lastAsk = now
		out = append(out, r.ask(now, vms)...)
	}
	return out
}

// ask sends the records that miss a renewal to one other VM, which answers with those that it has fresh. VMs of a
// server's own failure domain know it best, so each is asked about its own.
func (r *Registry) ask(now time.Duration, vms []api.VM) []outgoing {
	late := map[api.FailureDomain][]uint64{}
	for _, s := range r.servers {
		rec := s.rec.Load()
		age := now - rec.renewed
		if age >= askAfter+r.gossip.batch && age < UsableFor && rec.announcement.State == api.ServerServing {
			domain := rec.announcement.Domain
			late[domain] = append(late[domain], s.key)
		}
	}
	domains := slices.Sorted(maps.Keys(late))
	r.rng.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	var out []outgoing
	for _, domain := range domains[:min(len(domains), askDomains)] {
		if to, ok := r.someVM(domain, vms); ok {
			keys := late[domain]
			out = append(out, outgoing{to.Address, message{From: r.opts.VM, Late: keys[:min(len(keys), maxWants)]}})
		}
	}
	return out
}

// someVM returns another VM, mostly of the given failure domain.
func (r *Registry) someVM(domain api.FailureDomain, vms []api.VM) (api.VM, bool) {
	var near, all []api.VM
	for _, vm := range vms {
		if vm.ID == r.opts.VM {
			continue
		}
		all = append(all, vm)
		if vm.Domain == domain {
			near = append(near, vm)
		}
	}
	if len(near) == 0 || r.rng.IntN(4) == 0 {
		near = all
	}
	if len(near) == 0 {
		return api.VM{}, false
	}
	return near[r.rng.IntN(len(near))], true
}

// answerLate renews the records that the sender missed and that are fresh here. A server that is leaving is
// sent in full.
func (r *Registry) answerLate(m *message, now time.Duration, reply *message) {
	for _, key := range m.Late {
		s := r.byKey[key]
		if s == nil {
			continue
		}
		rec := s.rec.Load()
		switch {
		case rec.announcement.State == api.ServerLeaving && len(reply.Full) < maxFull:
			reply.Full = append(reply.Full, fullOf(rec, now))
		case now-rec.renewed < askAfter+r.gossip.batch && len(reply.Renewals) < maxRenewals:
			reply.Renewals = append(reply.Renewals, renewalOf(rec, now))
		}
	}
}

func lookUp(vms []api.VM, id api.VMID) (api.VM, bool) {
	for _, vm := range vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return api.VM{}, false
}

// spread addresses a message to all VMs of the own failure domain.
func (r *Registry) spread(m message, vms []api.VM) []outgoing {
	if m.empty() {
		return nil
	}
	m.Hop = hopFinal
	var out []outgoing
	for _, addr := range r.neighbours(vms) {
		out = append(out, outgoing{addr, m})
	}
	return out
}

func (r *Registry) neighbours(vms []api.VM) []string {
	var out []string
	for _, vm := range vms {
		if vm.Domain == r.opts.Domain && vm.ID != r.opts.VM {
			out = append(out, vm.Address)
		}
	}
	return out
}

// relays chooses one VM at random in each other failure domain, so that a lost one costs one round at most.
func (r *Registry) relays(vms []api.VM) []api.VM {
	chosen := map[api.FailureDomain]api.VM{}
	seen := map[api.FailureDomain]int{}
	for _, vm := range vms {
		if vm.Domain == r.opts.Domain || vm.ID == r.opts.VM {
			continue
		}
		seen[vm.Domain]++
		if r.rng.IntN(seen[vm.Domain]) == 0 {
			chosen[vm.Domain] = vm
		}
	}
	out := make([]api.VM, 0, len(chosen))
	for _, vm := range chosen {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain < out[j].Domain })
	return out
}

// batchDue reports whether this round sends what may wait for a batch.
func (r *Registry) batchDue(now time.Duration, vms []api.VM) bool {
	r.gossip.batch = min(time.Duration(len(r.neighbours(vms)))*batchPerVM, maxBatch)
	if now-r.gossip.lastBatch < r.gossip.batch {
		return false
	}
	r.gossip.lastBatch = now
	return true
}

// addDelta adds what changed at this VM since the last round, up to the bounds of a message. Without batch it
// leaves out renewals and counts, but not servers that are new, leaving or claimed.
func (r *Registry) addDelta(m *message, now time.Duration, batch bool, receivers int) {
	r.addRecords(m, r.gossip.dirty, now, batch)
	for _, c := range r.suspects {
		if c.dirty && len(m.Crashes) < maxCrashes {
			c.dirty = false
			m.Crashes = append(m.Crashes, aged(*c, now))
		}
	}
	r.addUses(m, now, receivers)
}

// addRelayed adds what VMs of other failure domains sent for this one. Records are sent as they are now, so that
// their age counts the time that they waited here.
func (r *Registry) addRelayed(m *message, now time.Duration, batch bool) {
	r.addRecords(m, r.gossip.relayed, now, batch)
	for key, n := range r.gossip.relayedUses {
		if (batch || n == exclusiveUse || r.use[key].inFlight == exclusiveUse) && len(m.Uses) < maxUses {
			m.Uses = append(m.Uses, useReport{Server: key.server, VM: key.vm, InFlight: n})
			delete(r.gossip.relayedUses, key)
		}
	}
}

// addRecords adds the records of a set and removes them from it.
func (r *Registry) addRecords(m *message, set map[api.ServerID]bool, now time.Duration, batch bool) {
	for _, id := range sortedKeys(set) {
		s, full := r.servers[id], set[id]
		switch {
		case s == nil:
		case full && len(m.Full) < maxFull:
			m.Full = append(m.Full, fullOf(s.rec.Load(), now))
		case !full && batch && len(m.Renewals) < maxRenewals:
			m.Renewals = append(m.Renewals, renewalOf(s.rec.Load(), now))
		default:
			continue
		}
		delete(set, id)
	}
}

func renewalOf(rec *record, now time.Duration) renewal {
	a := &rec.announcement
	return renewal{
		Static: rec.static, Sequence: a.Sequence, AgeMS: ageMS(now - rec.renewed),
		Running: a.Load.Running, Waiting: a.Load.Waiting, Speed: uint32(max(0, a.Load.TokensPerSecond)),
	}
}

func fullOf(rec *record, now time.Duration) fullRecord {
	a := rec.announcement
	a.CacheEvents = nil
	return fullRecord{Announcement: a, AgeMS: ageMS(now - rec.renewed)}
}

func ageMS(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func aged(c crash, now time.Duration) crash {
	c.AgeMS = ageMS(now - c.since)
	return c
}

// addUses adds this VM's requests in flight: claims at once, and the counts that changed as often as the budget
// allows, at least once a second all of them.
func (r *Registry) addUses(m *message, now time.Duration, receivers int) {
	every, shared := usesInterval(min(len(r.listed), maxUses), receivers)
	due := shared && now-r.gossip.lastUses >= every
	all := due && now-r.gossip.lastAllUses >= digestEvery
	if due {
		r.gossip.lastUses = now
	}
	if all {
		r.gossip.lastAllUses = now
	}
	for _, id := range sortedKeys(r.listed) {
		n := r.servers[id].ownUse()
		last := r.gossip.reported[id]
		if (n == last && (!all || n == 0)) || len(m.Uses) >= maxUses {
			continue
		}
		if !due && n != exclusiveUse && last != exclusiveUse {
			continue
		}
		r.gossip.reported[id] = n
		m.Uses = append(m.Uses, useReport{Server: r.servers[id].key, VM: r.opts.VM, InFlight: n})
	}
}

// digests repeats known records to one VM of the own failure domain, and crashes to one in another. The receiver
// asks for records that it does not know.
func (r *Registry) digests(now time.Duration, vms []api.VM) []outgoing {
	m := message{From: r.opts.VM, Digest: true}
	ids := sortedKeys(r.listed)
	for range min(len(ids), maxDigest) {
		r.gossip.cursor = (r.gossip.cursor + 1) % len(ids)
		m.Renewals = append(m.Renewals, renewalOf(r.servers[ids[r.gossip.cursor]].rec.Load(), now))
	}
	for _, c := range r.suspects {
		if len(m.Crashes) < maxCrashes {
			m.Crashes = append(m.Crashes, aged(*c, now))
		}
	}
	if m.empty() {
		return nil
	}
	var out []outgoing
	if near := r.neighbours(vms); len(near) > 0 {
		out = append(out, outgoing{near[r.rng.IntN(len(near))], m})
	}
	if far := r.relays(vms); len(far) > 0 && len(m.Crashes) > 0 {
		m.Renewals = nil
		out = append(out, outgoing{far[r.rng.IntN(len(far))].Address, m})
	}
	return out
}

func sortedKeys[V any](m map[api.ServerID]V) []api.ServerID {
	out := make([]api.ServerID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
