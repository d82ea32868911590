package membership

import (
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Receive merges a gossip message of another VM.
func (r *Registry) Receive(data []byte) error {
	if len(data) > maxReceived {
		return errs.New(errs.PayloadTooLarge, "check the version of the sender", "gossip message of %d bytes exceeds %d", len(data), maxReceived)
	}
	var m message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "check the version of the sender", "gossip message is malformed")
	}
	now := r.opts.Now()
	vms := r.vms()
	r.mu.Lock()
	out := r.receive(&m, now, vms)
	r.mu.Unlock()
	r.send(out)
	return nil
}

func (r *Registry) receive(m *message, now time.Duration, vms []api.VM) []outgoing {
	from, known := lookUp(vms, m.From)
	reply := message{From: r.opts.VM}
	relay := m.Hop == hopRelay
	r.mergeRecords(m, now, &reply)
	for _, c := range m.Crashes {
		if since := now - time.Duration(c.AgeMS)*time.Millisecond; now-since < SuspicionDuration {
			r.mergeCrash(c, since)
		}
	}
	r.mergeUses(m, now)
	r.answerWants(m, now, &reply)
	r.answerLate(m, now, &reply)
	var out []outgoing
	if !reply.empty() && known {
		out = append(out, outgoing{from.Address, reply})
	}
	if relay {
		out = append(out, r.passOn(m, vms)...)
	}
	return out
}

// passOn sends crashes of a message of another failure domain to the VMs of this one at once. The rest goes with
// the next round, merged with what others send.
func (r *Registry) passOn(m *message, vms []api.VM) []outgoing {
	for _, u := range m.Uses {
		r.gossip.relayedUses[useKey{u.Server, u.VM}] = u.InFlight
	}
	if len(m.Crashes) == 0 {
		return nil
	}
	return r.spread(message{From: m.From, Crashes: m.Crashes}, vms)
}

func (r *Registry) mergeRecords(m *message, now time.Duration, reply *message) {
	for _, f := range m.Full {
		r.mergeRelayed(m, f.Announcement, now-time.Duration(f.AgeMS)*time.Millisecond, staticDigest(&f.Announcement))
	}
	for _, w := range m.Renewals {
		s := r.byKey[w.Static]
		if s == nil || s.rec.Load().static != w.Static {
			if len(reply.Wants) < maxWants {
				reply.Wants = append(reply.Wants, w.Static)
			}
			continue // the answer comes in full, and is passed on by the digest
		}
		a := s.rec.Load().announcement
		a.Sequence = w.Sequence
		a.Load = api.Load{Running: w.Running, Waiting: w.Waiting, TokensPerSecond: float64(w.Speed)}
		r.mergeRelayed(m, a, now-time.Duration(w.AgeMS)*time.Millisecond, w.Static)
	}
}

// mergeRelayed merges a record and notes that it is to be passed on. A server that announced itself in another
// failure domain is reported to all others by its own one.
func (r *Registry) mergeRelayed(m *message, a api.Announcement, renewed time.Duration, static uint64) {
	news, full := r.merge(a, renewed, static)
	if !news || m.Hop != hopRelay {
		return
	}
	r.gossip.relayed[a.ID] = full || r.gossip.relayed[a.ID]
	if a.Domain == r.opts.Domain {
		r.gossip.announced[a.ID] = true
	}
}

func (r *Registry) answerWants(m *message, now time.Duration, reply *message) {
	for _, static := range m.Wants {
		if s := r.byKey[static]; s != nil && len(reply.Full) < maxFull {
			reply.Full = append(reply.Full, fullOf(s.rec.Load(), now))
		}
	}
}

func (r *Registry) mergeUses(m *message, now time.Duration) {
	for _, u := range m.Uses {
		s := r.byKey[u.Server]
		if s == nil || u.VM == r.opts.VM {
			continue
		}
		r.setUse(s, useKey{u.Server, u.VM}, max(exclusiveUse, u.InFlight), now)
	}
}

func (s *Server) ownUse() int {
	if s.exclusive.Load() {
		return exclusiveUse
	}
	return int(s.inFlight.Load())
}

// setUse replaces what another VM reported of a server.
func (r *Registry) setUse(s *Server, key useKey, n int, now time.Duration) {
	s.countUse(r.use[key].inFlight, -1)
	s.countUse(n, 1)
	if n == 0 {
		delete(r.use, key)
		return
	}
	r.use[key] = use{inFlight: n, at: now}
}

// countUse adds or subtracts one VM's report.
func (s *Server) countUse(n int, sign int64) {
	if n == 0 {
		return
	}
	s.users.Add(sign)
	if n == exclusiveUse {
		s.claims.Add(sign)
		n = 1
	}
	s.others.Add(sign * int64(n))
}

func (r *Registry) expireUses(now time.Duration) {
	for key, u := range r.use {
		s := r.byKey[key.server]
		if s == nil {
			delete(r.use, key)
			continue
		}
		if now-u.at >= useFor {
			r.setUse(s, key, 0, now)
		}
	}
}
