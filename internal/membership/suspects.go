package membership

import (
	"time"

	"filbertledge/internal/api"
)

// SuspicionDuration is how long a request stays suspected of crashing backend servers.
const SuspicionDuration = 10 * time.Minute

// crash tells that a server's connection was lost while a request with this digest was in flight on it.
// Crashes merge as a set; cleared wins over not cleared.
type crash struct {
	Digest      uint64       `cbor:"1,keyasint"`
	Server      api.ServerID `cbor:"2,keyasint"`
	Incarnation uint64       `cbor:"3,keyasint"`
	Cleared     bool         `cbor:"4,keyasint,omitempty"`
	AgeMS       uint32       `cbor:"5,keyasint"`

	since time.Duration
	dirty bool
}

type crashKey struct {
	digest      uint64
	server      api.ServerID
	incarnation uint64
}

// MarkSuspects records that the connection to a server was lost while requests with these digests were in
// flight on it. Other VMs are told at once: the caller may resend the request through one of them.
func (r *Registry) MarkSuspects(server api.ServerID, digests []uint64) {
	vms := r.vms()
	r.mu.Lock()
	out := r.mark(server, digests, r.opts.Now(), vms)
	r.mu.Unlock()
	r.send(out)
}

func (r *Registry) mark(server api.ServerID, digests []uint64, now time.Duration, vms []api.VM) []outgoing {
	var incarnation uint64
	if s := r.servers[server]; s != nil {
		incarnation = s.Announcement().Incarnation
	}
	m := message{From: r.opts.VM}
	for _, d := range digests {
		c := crash{Digest: d, Server: server, Incarnation: incarnation}
		if r.mergeCrash(c, now) && len(m.Crashes) < maxCrashes {
			m.Crashes = append(m.Crashes, c)
		}
	}
	if m.empty() {
		return nil
	}
	out := r.spread(m, vms)
	for _, vm := range r.relays(vms) {
		out = append(out, outgoing{vm.Address, message{From: m.From, Hop: hopRelay, Crashes: m.Crashes}})
	}
	return out
}

// mergeCrash merges one crash; r.mu must be held. It reports whether it was news.
func (r *Registry) mergeCrash(c crash, since time.Duration) bool {
	key := crashKey{c.Digest, c.Server, c.Incarnation}
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

// ClearSuspect removes the suspicion from a request that finished.
func (r *Registry) ClearSuspect(digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, c := range r.suspects {
		if key.digest == digest && !c.Cleared {
			c.Cleared, c.dirty = true, true
		}
	}
}

// CrashCount returns the number of different servers that were lost while a request with this digest was in
// flight on them.
func (r *Registry) CrashCount(digest uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.suspects) == 0 {
		return 0
	}
	seen := map[api.ServerID]bool{}
	for key, c := range r.suspects {
		if key.digest == digest && !c.Cleared {
			seen[key.server] = true
		}
	}
	return len(seen)
}

func (r *Registry) expireSuspects(now time.Duration) {
	for key, c := range r.suspects {
		if now-c.since >= SuspicionDuration {
			delete(r.suspects, key)
		}
	}
}
