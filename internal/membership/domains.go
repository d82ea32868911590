package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

// A failure domain knows only a sample of the servers of other failure domains, because relaying every renewal of 2,000
// servers cost a VM 320 kB/s. The sampled servers get the requests for which the failure domain's own servers do not
// suffice.
const (
	// totalSampleSize is the number of servers of each pool that a failure domain knows of all other failure domains
	// together. If the other failure domains have only a few servers, these are all of them.
	totalSampleSize    = 28
	minSamplePerDomain = 2 // least number of servers of each pool that it knows of one other failure domain
)

// messagesByDomain holds the messages to other failure domains, by receiving failure domain.
type messagesByDomain map[api.FailureDomain]*message

// forDomain returns the message to the given failure domain, and adds an empty one if there is none.
func (messages messagesByDomain) forDomain(domain api.FailureDomain, delta message) *message {
	m := messages[domain]
	if m == nil {
		m = &message{From: delta.From, Hop: hopRelay}
		messages[domain] = m
	}
	return m
}

// messagesToOtherDomains returns the messages of a round to other failure domains: crash reports, use reports (counts
// of requests in flight and claims of servers), servers that are leaving, servers that announced themselves here
// although they belong to another failure domain, and renewals of sampled servers. Each message goes to one randomly
// chosen VM of a failure domain, so that a VM that is down costs at most one message.
func (r *Registry) messagesToOtherDomains(now time.Duration, delta message, vms []api.VM) []outgoing {
	relays := r.chooseRelays(vms)
	messages := messagesByDomain{}
	for _, vm := range relays {
		addCrashAndUseReports(messages, delta, vm.Domain)
		if len(r.gossip.announcedHere) > 0 {
			r.addAnnouncedServers(messages, delta, vm.Domain, len(relays), now)
		}
	}
	clear(r.gossip.announcedHere)
	var out []outgoing
	for _, vm := range relays {
		if m := messages[vm.Domain]; m != nil && !m.empty() {
			out = append(out, outgoing{vm.Address, *m})
		}
	}
	return out
}

// addAnnouncedServers adds the servers that announced themselves to this VM since the last round and that the receiving
// failure domain has to know: leaving servers, servers of that failure domain, and sampled servers.
func (r *Registry) addAnnouncedServers(messages messagesByDomain, delta message, domain api.FailureDomain, domainCount int, now time.Duration) {
	sample := r.sampleFor(domain, domainCount, now)
	for _, id := range sortedKeys(r.gossip.announcedHere) {
		s := r.servers[id]
		if s == nil {
			continue
		}
		rec := s.rec.Load()
		switch {
		case rec.announcement.State == api.ServerLeaving, rec.announcement.Domain == domain:
			m := messages.forDomain(domain, delta)
			m.FullRecords = append(m.FullRecords, newFullRecord(rec, now))
		case sample[s]:
			m := messages.forDomain(domain, delta)
			m.Renewals = append(m.Renewals, newRenewal(rec, now))
		}
	}
}

// addCrashAndUseReports adds the crash and use reports of delta, which all failure domains receive.
func addCrashAndUseReports(messages messagesByDomain, delta message, domain api.FailureDomain) {
	if len(delta.CrashReports) > 0 {
		messages.forDomain(domain, delta).CrashReports = delta.CrashReports
	}
	if len(delta.UseReports) > 0 {
		messages.forDomain(domain, delta).UseReports = delta.UseReports
	}
}

// VMs report their requests in flight to each other as often as useReportBytesPerSecond allows, which is several times
// a second between a few VMs. In a failure domain of 27 VMs and 133 servers, a report of all counts would take 127 kB
// for each VM and round. Such a failure domain reports only claims, by which a VM reserves a server for a request that
// is suspected of crashing servers, and otherwise relies on the load that the servers announce.
const (
	useReportBytesPerSecond = 4096            // bandwidth of a VM for use reports
	useReportBytes          = 24              // encoded size of a use report
	maxUseReportInterval    = 2 * time.Second // older counts are too outdated to be useful
)

// useReportInterval returns the time between two messages with the counts of the given number of servers, and whether
// counts are reported at all.
func useReportInterval(servers, receivers int) (time.Duration, bool) {
	interval := time.Duration(servers*useReportBytes*receivers) * time.Second / useReportBytesPerSecond
	return interval, interval <= maxUseReportInterval
}

// receiverCount returns how many VMs receive a delta: the other VMs of the own failure domain, and one VM of each other
// failure domain.
func (r *Registry) receiverCount(vms []api.VM) int {
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

// sampleFor returns the usable servers of the own failure domain that another failure domain learns about. VMs of the
// own failure domain that know the same servers choose the same sample, and each receiving failure domain gets a
// different one.
func (r *Registry) sampleFor(receiver api.FailureDomain, domainCount int, now time.Duration) map[*Server]bool {
	n := max(minSamplePerDomain, totalSampleSize/domainCount)
	seed := xxhash.Sum64String(string(receiver))
	out := make(map[*Server]bool, n)
	for _, pool := range *r.pools.Load() {
		ranked := r.gossip.rankBuffer[:0]
		for _, s := range pool {
			if s.rec.Load().announcement.Domain == r.opts.Domain && s.Usable(now) {
				ranked = append(ranked, rankedServer{splitMix64(s.key ^ seed), s})
			}
		}
		if len(ranked) > n {
			slices.SortFunc(ranked, func(a, b rankedServer) int { return cmp.Compare(a.rank, b.rank) })
		}
		for _, e := range ranked[:min(n, len(ranked))] {
			out[e.server] = true
		}
		r.gossip.rankBuffer = ranked[:0]
	}
	return out
}

// rankedServer is a server and its rank in the order that decides who belongs to a sample.
type rankedServer struct {
	rank   uint64
	server *Server
}

// splitMix64 is the finalizer of the SplitMix64 generator. It gives each failure domain its own order of the servers.
func splitMix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
