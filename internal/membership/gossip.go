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
	"filbertledge/internal/suspects"
)

// GossipMethod is the transport method of gossip messages.
const GossipMethod = "membership.gossip"

// Timing of gossip.
const (
	roundInterval       = 100 * time.Millisecond
	antiEntropyInterval = time.Second
	// completeUseReportInterval is the shortest time between two reports of all counts other than zero.
	completeUseReportInterval = time.Second
	// Renewals and relayed counts, which change all the time, are sent in batches. The time between batches is
	// batchIntervalPerVM for each other VM of the failure domain, but at most maxBatchInterval. With a fixed interval,
	// the messages within a failure domain would grow with the square of its VMs.
	batchIntervalPerVM = 35 * time.Millisecond
	maxBatchInterval   = 900 * time.Millisecond
	// lateAfter is the age at which a renewal counts as missed, probably because a message was lost. Another VM is then
	// asked for it every repairInterval until the record is no longer usable.
	lateAfter      = 1300 * time.Millisecond
	repairInterval = 200 * time.Millisecond
	// One in anyVMOdds repair requests, on average, may go to a VM of any failure domain.
	anyVMOdds        = 4
	maxRepairDomains = 4               // failure domains that are asked at a time
	remoteUseTTL     = 3 * time.Second // lifetime of another VM's count of requests in flight, unless it is repeated
)

// Bounds of messages and of what they contain. A full record takes about 200 bytes and a renewal about 25 bytes, so a
// sent message stays below 16 KiB.
const (
	maxFullRecords = 32
	maxRenewals    = 300
	// maxAntiEntropyRecords is the number of records in an anti-entropy message. If each of 27 VMs sends one message a
	// second, a VM receives each of 161 records about every 20 s.
	maxAntiEntropyRecords = 8
	maxCrashReports       = 64
	maxUseReports         = 128
	maxWantedDigests      = 256
	maxLateServers        = 256
	maxMessageBytes       = 64 << 10
	maxDecodedElements    = 4096
	maxNestingLevels      = 8
)

// Values of message.Hop. They prevent forwarding loops: a receiver relays only messages with hopRelay, and relays them
// with hopFinal.
const (
	hopFinal = 0
	hopRelay = 1
)

// fullRecord is a complete announcement and the age of its renewal.
type fullRecord struct {
	Announcement api.Announcement `cbor:"1,keyasint"`
	AgeMS        uint32           `cbor:"2,keyasint"`
}

// renewal renews a record whose static fields the receiver knows. Static is the digest of those fields.
type renewal struct {
	_        struct{} `cbor:",toarray"`
	Static   uint64
	Sequence uint64
	AgeMS    uint32
	Running  int
	Waiting  int
	Speed    uint32 // tokens per second
}

// exclusiveUse, in place of a number of requests in flight, claims a server for one suspect request.
const exclusiveUse = -1

// useReport is the number of requests that a VM has in flight on a server, or exclusiveUse. Server is the key of the
// server.
type useReport struct {
	_        struct{} `cbor:",toarray"`
	Server   uint64
	VM       api.VMID
	InFlight int
}

// message is a gossip message.
type message struct {
	From          api.VMID          `cbor:"1,keyasint"` // the receiver looks up its address and failure domain
	Hop           uint8             `cbor:"4,keyasint"`
	FullRecords   []fullRecord      `cbor:"5,keyasint,omitempty"`
	Renewals      []renewal         `cbor:"6,keyasint,omitempty"`
	CrashReports  []suspects.Report `cbor:"7,keyasint,omitempty"`
	UseReports    []useReport       `cbor:"8,keyasint,omitempty"`
	WantedDigests []uint64          `cbor:"9,keyasint,omitempty"` // static digests that the sender does not know
	// LateServers lists the keys of the servers whose renewals the sender missed.
	LateServers []uint64 `cbor:"11,keyasint,omitempty"`
	// AntiEntropy marks a message that repeats records of the sender to repair gaps. Receivers treat it like any other.
	AntiEntropy bool `cbor:"10,keyasint,omitempty"`
}

func (m *message) empty() bool {
	return len(m.FullRecords)+len(m.Renewals)+len(m.CrashReports)+len(m.UseReports)+len(m.WantedDigests)+len(m.LateServers) == 0
}

// remoteUseKey identifies the use of a server, given by its key, by another VM.
type remoteUseKey struct {
	server uint64
	vm     api.VMID
}

// remoteUse is what another VM last reported about its use of a server: the requests in flight, or exclusiveUse.
type remoteUse struct {
	inFlight   int
	receivedAt time.Duration
}

// gossipState holds what changed since the last round, and the schedule of periodic messages.
type gossipState struct {
	// dirty holds the servers whose new records came from the servers themselves, and relayed those whose new records
	// came from other failure domains. True means that the full record is sent: its static fields were new to this VM,
	// so they probably are to others.
	dirty                  map[api.ServerID]bool
	relayed                map[api.ServerID]bool
	relayedUseReports      map[remoteUseKey]int
	reportedUses           map[api.ServerID]int // what this VM last reported of each server
	lastAntiEntropy        time.Duration
	lastRepair             time.Duration
	lastBatch              time.Duration
	batchInterval          time.Duration // time between batches
	lastUseReports         time.Duration
	lastCompleteUseReports time.Duration
	announcedHere          map[api.ServerID]bool // servers to consider for messages to other failure domains
	rankBuffer             []rankedServer        // reused by sampleFor
	crashRevision          uint64                // of the crash reports that were sent
	antiEntropyCursor      int                   // position in the sorted IDs of listed servers
}

func (g *gossipState) reset() {
	g.dirty = map[api.ServerID]bool{}
	g.reportedUses = map[api.ServerID]int{}
	g.relayed = map[api.ServerID]bool{}
	g.announcedHere = map[api.ServerID]bool{}
	g.relayedUseReports = map[remoteUseKey]int{}
}

// decodeMode bounds what a malformed message can make the decoder allocate.
var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxDecodedElements, MaxMapPairs: maxDecodedElements, MaxNestedLevels: maxNestingLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func serverKey(id api.ServerID) uint64 { return xxhash.Sum64String(string(id)) }

// staticDigest returns a digest of all fields of an announcement except the sequence, the load and the cache events.
func staticDigest(a *api.Announcement) uint64 {
	c := *a
	c.Sequence, c.Load, c.CacheEvents = 0, api.Load{}, nil
	data, err := cbor.Marshal(&c)
	if err != nil {
		return serverKey(a.ID)
	}
	return xxhash.Sum64(data)
}

// Run runs gossip rounds until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
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

// outgoing is a message and the transport address of the VM that receives it.
type outgoing struct {
	addr string
	msg  message
}

// Tick expires old state and runs one gossip round. The round sends what changed since the last one and, at longer
// intervals, anti-entropy messages and repair requests.
func (r *Registry) Tick() {
	now := r.opts.Now()
	vms := r.knownVMs()
	r.mu.Lock()
	r.expire(now)
	r.suspects.Expire(now)
	r.expireRemoteUses(now)
	out := r.buildRound(now, vms)
	r.mu.Unlock()
	r.send(out)
}

func (r *Registry) knownVMs() []api.VM {
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

// buildRound returns the messages of a gossip round. r.mu must be held.
func (r *Registry) buildRound(now time.Duration, vms []api.VM) []outgoing {
	batch := r.batchDue(now, vms)
	delta := message{From: r.opts.VM}
	r.addDelta(&delta, now, batch, r.receiverCount(vms))
	local := delta
	r.addRelayed(&local, now, batch)
	out := r.messagesToOwnDomain(local, vms)
	out = append(out, r.messagesToOtherDomains(now, delta, vms)...)
	if now-r.gossip.lastAntiEntropy >= antiEntropyInterval {
		r.gossip.lastAntiEntropy = now
		out = append(out, r.antiEntropyMessages(now, vms)...)
	}
	if now-r.gossip.lastRepair >= repairInterval {
		r.gossip.lastRepair = now
		out = append(out, r.repairRequests(now, vms)...)
	}
	return out
}

// repairRequests returns messages that name the servers whose renewals this VM missed. The receivers reply with the
// renewals that they have. The VMs of a server's own failure domain know it best, so usually one of them is asked.
func (r *Registry) repairRequests(now time.Duration, vms []api.VM) []outgoing {
	late := map[api.FailureDomain][]uint64{}
	for _, s := range r.servers {
		rec := s.rec.Load()
		age := now - rec.renewed
		if age >= lateAfter+r.gossip.batchInterval && age < UsableFor && rec.announcement.State == api.ServerServing {
			domain := rec.announcement.Domain
			late[domain] = append(late[domain], s.key)
		}
	}
	domains := slices.Sorted(maps.Keys(late))
	r.rng.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	var out []outgoing
	for _, domain := range domains[:min(len(domains), maxRepairDomains)] {
		if to, ok := r.randomVM(domain, vms); ok {
			keys := late[domain]
			out = append(out, outgoing{to.Address, message{From: r.opts.VM, LateServers: keys[:min(len(keys), maxLateServers)]}})
		}
	}
	return out
}

// randomVM returns a random other VM, usually of the given failure domain. In one of anyVMOdds calls, on
// average, it chooses among the VMs of all failure domains.
func (r *Registry) randomVM(domain api.FailureDomain, vms []api.VM) (api.VM, bool) {
	var candidates, all []api.VM
	for _, vm := range vms {
		if vm.ID == r.opts.VM {
			continue
		}
		all = append(all, vm)
		if vm.Domain == domain {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 || r.rng.IntN(anyVMOdds) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		return api.VM{}, false
	}
	return candidates[r.rng.IntN(len(candidates))], true
}

// addLateRecords adds the renewals that the sender missed and that are fresh at this VM to the reply. A leaving server
// is added as a full record.
func (r *Registry) addLateRecords(m *message, now time.Duration, reply *message) {
	for _, key := range m.LateServers {
		s := r.byKey[key]
		if s == nil {
			continue
		}
		rec := s.rec.Load()
		switch {
		case rec.announcement.State == api.ServerLeaving && len(reply.FullRecords) < maxFullRecords:
			reply.FullRecords = append(reply.FullRecords, newFullRecord(rec, now))
		case now-rec.renewed < lateAfter+r.gossip.batchInterval && len(reply.Renewals) < maxRenewals:
			reply.Renewals = append(reply.Renewals, newRenewal(rec, now))
		}
	}
}

// findVM returns the VM with the given ID.
func findVM(vms []api.VM, id api.VMID) (api.VM, bool) {
	for _, vm := range vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return api.VM{}, false
}

// messagesToOwnDomain addresses a message to all other VMs of the own failure domain.
func (r *Registry) messagesToOwnDomain(m message, vms []api.VM) []outgoing {
	if m.empty() {
		return nil
	}
	m.Hop = hopFinal
	var out []outgoing
	for _, addr := range r.peerAddresses(vms) {
		out = append(out, outgoing{addr, m})
	}
	return out
}

// peerAddresses returns the addresses of the other VMs of the own failure domain.
func (r *Registry) peerAddresses(vms []api.VM) []string {
	var out []string
	for _, vm := range vms {
		if vm.Domain == r.opts.Domain && vm.ID != r.opts.VM {
			out = append(out, vm.Address)
		}
	}
	return out
}

// chooseRelays returns one randomly chosen VM of each other failure domain. The choice is repeated in each round, so
// that a VM that is down costs at most one round.
func (r *Registry) chooseRelays(vms []api.VM) []api.VM {
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

// batchDue sets the time between batches and reports whether this round sends a batch.
func (r *Registry) batchDue(now time.Duration, vms []api.VM) bool {
	r.gossip.batchInterval = min(time.Duration(len(r.peerAddresses(vms)))*batchIntervalPerVM, maxBatchInterval)
	if now-r.gossip.lastBatch < r.gossip.batchInterval {
		return false
	}
	r.gossip.lastBatch = now
	return true
}

// addDelta adds what changed at this VM since the last round, up to the bounds of a message. Without batch it omits
// renewals, but not the full records of servers that are new or leaving. Use reports have an interval of their own.
func (r *Registry) addDelta(m *message, now time.Duration, batch bool, receivers int) {
	r.addRecords(m, r.gossip.dirty, now, batch)
	m.CrashReports, r.gossip.crashRevision = r.suspects.ChangedSince(r.gossip.crashRevision, maxCrashReports, now)
	r.addUseReports(m, now, receivers)
}

// addRelayed adds what VMs of other failure domains sent for this one. Records are added with their present age, which
// includes the time that they waited at this VM.
func (r *Registry) addRelayed(m *message, now time.Duration, batch bool) {
	r.addRecords(m, r.gossip.relayed, now, batch)
	for key, n := range r.gossip.relayedUseReports {
		if (batch || n == exclusiveUse || r.remoteUses[key].inFlight == exclusiveUse) && len(m.UseReports) < maxUseReports {
			m.UseReports = append(m.UseReports, useReport{Server: key.server, VM: key.vm, InFlight: n})
			delete(r.gossip.relayedUseReports, key)
		}
	}
}

// addRecords adds the records of the servers in set to m and removes them from set. Records that exceed the bounds of a
// message, and renewals without batch, stay in set.
func (r *Registry) addRecords(m *message, set map[api.ServerID]bool, now time.Duration, batch bool) {
	for _, id := range sortedKeys(set) {
		s, full := r.servers[id], set[id]
		switch {
		case s == nil:
		case full && len(m.FullRecords) < maxFullRecords:
			m.FullRecords = append(m.FullRecords, newFullRecord(s.rec.Load(), now))
		case !full && batch && len(m.Renewals) < maxRenewals:
			m.Renewals = append(m.Renewals, newRenewal(s.rec.Load(), now))
		default:
			continue
		}
		delete(set, id)
	}
}

func newRenewal(rec *record, now time.Duration) renewal {
	a := &rec.announcement
	return renewal{
		Static: rec.staticDigest, Sequence: a.Sequence, AgeMS: ageMS(now - rec.renewed),
		Running: a.Load.Running, Waiting: a.Load.Waiting, Speed: uint32(max(0, a.Load.TokensPerSecond)),
	}
}

func newFullRecord(rec *record, now time.Duration) fullRecord {
	a := rec.announcement
	a.CacheEvents = nil
	return fullRecord{Announcement: a, AgeMS: ageMS(now - rec.renewed)}
}

func ageMS(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// addUseReports adds reports of this VM's requests in flight: changed claims at once, changed counts as often as
// useReportInterval allows, and all counts other than zero about once a second.
func (r *Registry) addUseReports(m *message, now time.Duration, receivers int) {
	interval, shared := useReportInterval(min(len(r.listed), maxUseReports), receivers)
	due := shared && now-r.gossip.lastUseReports >= interval
	complete := due && now-r.gossip.lastCompleteUseReports >= completeUseReportInterval
	if due {
		r.gossip.lastUseReports = now
	}
	if complete {
		r.gossip.lastCompleteUseReports = now
	}
	for _, id := range sortedKeys(r.listed) {
		n := r.servers[id].localUse()
		last := r.gossip.reportedUses[id]
		if (n == last && (!complete || n == 0)) || len(m.UseReports) >= maxUseReports {
			continue
		}
		if !due && n != exclusiveUse && last != exclusiveUse {
			continue
		}
		r.gossip.reportedUses[id] = n
		m.UseReports = append(m.UseReports, useReport{Server: r.servers[id].key, VM: r.opts.VM, InFlight: n})
	}
}

// antiEntropyMessages repeats some of the known records to one VM of the own failure domain, and crash reports also to
// one VM of another failure domain. The receiver asks for full records that it does not know.
func (r *Registry) antiEntropyMessages(now time.Duration, vms []api.VM) []outgoing {
	m := message{From: r.opts.VM, AntiEntropy: true}
	ids := sortedKeys(r.listed)
	for range min(len(ids), maxAntiEntropyRecords) {
		r.gossip.antiEntropyCursor = (r.gossip.antiEntropyCursor + 1) % len(ids)
		m.Renewals = append(m.Renewals, newRenewal(r.servers[ids[r.gossip.antiEntropyCursor]].rec.Load(), now))
	}
	m.CrashReports = r.suspects.List(maxCrashReports, now)
	if m.empty() {
		return nil
	}
	var out []outgoing
	if peers := r.peerAddresses(vms); len(peers) > 0 {
		out = append(out, outgoing{peers[r.rng.IntN(len(peers))], m})
	}
	if relays := r.chooseRelays(vms); len(relays) > 0 && len(m.CrashReports) > 0 {
		m.Renewals = nil
		out = append(out, outgoing{relays[r.rng.IntN(len(relays))].Address, m})
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
