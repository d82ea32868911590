package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

// Between failure domains only a sample of the servers is known: passing on every renewal of 2,000 servers cost
// a VM 320 kB/s. The sample is what a failure domain can spill over to when its own servers do not suffice.
const (
	// sampledOverall is the number of servers of each pool that a failure domain knows of all others together.
	// With a few failure domains that is every server.
	sampledOverall = 28
	minSampled     = 2 // of each other failure domain
)

// farMessages collects what goes to other failure domains, by domain.
type farMessages map[api.FailureDomain]*message

func (f farMessages) to(domain api.FailureDomain, header message) *message {
	m := f[domain]
	if m == nil {
		m = &message{From: header.From, Hop: hopRelay}
		f[domain] = m
	}
	return m
}

// spreadFar addresses what other failure domains need from this VM: crashes, counts, servers that are leaving,
// servers that announced themselves away from their own failure domain, and renewals of sampled servers. Each
// message goes to one VM, chosen at random so that a lost one costs one message at most.
func (r *Registry) spreadFar(now time.Duration, near message, vms []api.VM) []outgoing {
	gateways := r.relays(vms)
	far := farMessages{}
	for _, vm := range gateways {
		addUrgent(far, near, vm.Domain)
		if len(r.gossip.announced) > 0 {
			r.addAnnounced(far, near, vm.Domain, len(gateways), now)
		}
	}
	clear(r.gossip.announced)
	var out []outgoing
	for _, vm := range gateways {
		if m := far[vm.Domain]; m != nil && !m.empty() {
			out = append(out, outgoing{vm.Address, *m})
		}
	}
	return out
}

// addAnnounced adds the servers that announced themselves to this VM since the last round and that the failure
// domain has to know.
func (r *Registry) addAnnounced(far farMessages, near message, domain api.FailureDomain, domains int, now time.Duration) {
	sample := r.sample(domain, domains, now)
	for _, id := range sortedKeys(r.gossip.announced) {
		s := r.servers[id]
		if s == nil {
			continue
		}
		rec := s.rec.Load()
		switch {
		case rec.announcement.State == api.ServerLeaving, rec.announcement.Domain == domain:
			m := far.to(domain, near)
			m.Full = append(m.Full, fullOf(rec, now))
		case sample[s]:
			m := far.to(domain, near)
			m.Renewals = append(m.Renewals, renewalOf(rec, now))
		}
	}
}

func addUrgent(far farMessages, near message, domain api.FailureDomain) {
	if len(near.Crashes) > 0 {
		far.to(domain, near).Crashes = near.Crashes
	}
	if len(near.Uses) > 0 {
		far.to(domain, near).Uses = near.Uses
	}
}

// Counts of requests in flight are shared as often as usesBudget allows: at a few VMs several times a second. A
// failure domain of 27 VMs and 133 servers would need 127 kB for each VM and round, so it shares only claims and
// works with the servers' own load reports.
const (
	usesBudget   = 4096 // bytes a second
	useBytes     = 24
	maxUsesEvery = 2 * time.Second // later, a count says nothing
)

// usesInterval returns the time between messages with counts of n servers, and whether counts are shared at all.
func usesInterval(n, receivers int) (time.Duration, bool) {
	every := time.Duration(n*useBytes*receivers) * time.Second / usesBudget
	return every, every <= maxUsesEvery
}

// receivers returns how many VMs a delta goes to.
func (r *Registry) receivers(vms []api.VM) int {
	domains := map[api.FailureDomain]bool{}
	n := 0
	for _, vm := range vms {
		switch {
		case vm.ID == r.opts.VM:
		case vm.Domain == r.opts.Domain:
			n++
		case !domains[vm.Domain]:
			domains[vm.Domain] = true
			n++
		}
	}
	return n
}

// sample returns the servers of the own failure domain that another one knows. All VMs of the own failure domain
// that know the same servers choose the same ones, and choose others for another failure domain.
func (r *Registry) sample(to api.FailureDomain, domains int, now time.Duration) map[*Server]bool {
	n := max(minSampled, sampledOverall/domains)
	seed := xxhash.Sum64String(string(to))
	out := make(map[*Server]bool, n)
	for _, pool := range *r.pools.Load() {
		ranked := r.gossip.ranked[:0]
		for _, s := range pool {
			if s.rec.Load().announcement.Domain == r.opts.Domain && s.Usable(now) {
				ranked = append(ranked, rankedServer{mix(s.key ^ seed), s})
			}
		}
		if len(ranked) > n {
			slices.SortFunc(ranked, func(a, b rankedServer) int { return cmp.Compare(a.rank, b.rank) })
		}
		for _, e := range ranked[:min(n, len(ranked))] {
			out[e.server] = true
		}
		r.gossip.ranked = ranked[:0]
	}
	return out
}

type rankedServer struct {
	rank   uint64
	server *Server
}

// mix is the finalizer of SplitMix64. It gives each failure domain its own order of the servers.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
