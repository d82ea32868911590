package membership

import (
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/suspects"
)

// SuspicionDuration is how long a request remains suspected of crashing backend servers.
const SuspicionDuration = 10 * time.Minute

// MarkSuspects records that the connection to a server was lost while requests with the given digests were in flight on
// it. It informs other VMs at once, because the caller may resend the request through one of them.
func (r *Registry) MarkSuspects(server api.ServerID, requestDigests []uint64) {
	vms := r.knownVMs()
	r.mu.Lock()
	out := r.addSuspects(server, requestDigests, r.opts.Now(), vms)
	r.mu.Unlock()
	r.send(out)
}

// addSuspects adds the crash reports and returns the messages that tell other VMs. r.mu must be held.
func (r *Registry) addSuspects(server api.ServerID, requestDigests []uint64, now time.Duration, vms []api.VM) []outgoing {
	var incarnation uint64
	if s := r.servers[server]; s != nil {
		incarnation = s.Announcement().Incarnation
	}
	m := message{From: r.opts.VM}
	for _, d := range requestDigests {
		c := suspects.Report{Request: d, Server: server, Incarnation: incarnation, Confirmed: true}
		if r.suspects.Merge(c, now) && len(m.CrashReports) < maxCrashReports {
			m.CrashReports = append(m.CrashReports, c)
		}
	}
	if m.empty() {
		return nil
	}
	out := r.messagesToOwnDomain(m, vms)
	for _, relay := range r.chooseRelays(vms) {
		out = append(out, outgoing{relay.Address, message{From: m.From, Hop: hopRelay, CrashReports: m.CrashReports}})
	}
	return out
}

// ClearSuspect clears the crash reports of a request that has finished.
func (r *Registry) ClearSuspect(requestDigest uint64) {
	r.suspects.Clear(requestDigest, r.opts.Now())
}

// CrashCount returns the number of servers to which the connection was lost while a request with the given digest was in
// flight.
func (r *Registry) CrashCount(requestDigest uint64) int {
	count, _ := r.suspects.Crashes(requestDigest, r.opts.Now())
	return count
}
