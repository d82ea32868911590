package membership

import (
	"time"

	"filbertledge/internal/api"
)

// SuspicionDuration is how long a request remains suspected of crashing backend servers.
const SuspicionDuration = 10 * time.Minute

// crashReport states that the connection to a server was lost while the request with RequestDigest was in flight on it.
// Reports merge as a set in which Cleared prevails.
type crashReport struct {
	RequestDigest uint64       `cbor:"1,keyasint"`
	Server        api.ServerID `cbor:"2,keyasint"`
	Incarnation   uint64       `cbor:"3,keyasint"`
	Cleared       bool         `cbor:"4,keyasint,omitempty"`
	AgeMS         uint32       `cbor:"5,keyasint"`

	since time.Duration // time of the connection loss by the local clock
	dirty bool          // changed and not yet sent to other VMs
}

type crashReportKey struct {
	requestDigest uint64
	server        api.ServerID
	incarnation   uint64
}

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
		c := crashReport{RequestDigest: d, Server: server, Incarnation: incarnation}
		if r.mergeCrashReport(c, now) && len(m.CrashReports) < maxCrashReports {
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

// mergeCrashReport adds or clears a crash report and reports whether that changed anything. r.mu must be held.
func (r *Registry) mergeCrashReport(c crashReport, since time.Duration) bool {
	key := crashReportKey{c.RequestDigest, c.Server, c.Incarnation}
	old := r.suspects[key]
	if old != nil && (old.Cleared || !c.Cleared) {
		return false
	}
	if old == nil && len(r.suspects) >= maxSuspects {
		return false
	}
	c.since, c.dirty = since, true
	r.suspects[key] = &c
	return true
}

// ClearSuspect clears the crash reports of a request that has finished.
func (r *Registry) ClearSuspect(requestDigest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, c := range r.suspects {
		if key.requestDigest == requestDigest && !c.Cleared {
			c.Cleared, c.dirty = true, true
		}
	}
}

// CrashCount returns the number of different servers to which the connection was lost while a request with the given
// digest was in flight.
func (r *Registry) CrashCount(requestDigest uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.suspects) == 0 {
		return 0
	}
	servers := map[api.ServerID]bool{}
	for key, c := range r.suspects {
		if key.requestDigest == requestDigest && !c.Cleared {
			servers[key.server] = true
		}
	}
	return len(servers)
}

func (r *Registry) expireSuspects(now time.Duration) {
	for key, c := range r.suspects {
		if now-c.since >= SuspicionDuration {
			delete(r.suspects, key)
		}
	}
}
