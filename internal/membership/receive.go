package membership

import (
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Receive merges a gossip message from another VM, replies to it and relays it if necessary.
func (r *Registry) Receive(data []byte) error {
	if len(data) > maxMessageBytes {
		return errs.New(errs.PayloadTooLarge, "check the version of the sender", "gossip message of %d bytes exceeds %d", len(data), maxMessageBytes)
	}
	var m message
	if err := decodeMode.Unmarshal(data, &m); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "check the version of the sender", "gossip message is malformed")
	}
	now := r.opts.Now()
	vms := r.knownVMs()
	r.mu.Lock()
	out := r.receive(&m, now, vms)
	r.mu.Unlock()
	r.send(out)
	return nil
}

// receive merges a message and returns the messages to send in response. r.mu must be held.
func (r *Registry) receive(m *message, now time.Duration, vms []api.VM) []outgoing {
	from, known := findVM(vms, m.From)
	reply := message{From: r.opts.VM}
	relay := m.Hop == hopRelay
	r.mergeRecords(m, now, &reply)
	for _, c := range m.CrashReports {
		c.Confirmed = true // earlier builds do not send it
		r.suspects.Merge(c, now)
	}
	r.mergeUseReports(m, now)
	r.addWantedRecords(m, now, &reply)
	r.addLateRecords(m, now, &reply)
	var out []outgoing
	if !reply.empty() && known {
		out = append(out, outgoing{from.Address, reply})
	}
	if relay {
		out = append(out, r.relayToOwnDomain(m, vms)...)
	}
	return out
}

// relayToOwnDomain sends the crash reports of a message from another failure domain to the VMs of this one immediately.
// It queues the use reports for the next gossip round, which combines the reports of several senders.
func (r *Registry) relayToOwnDomain(m *message, vms []api.VM) []outgoing {
	for _, u := range m.UseReports {
		r.gossip.relayedUseReports[remoteUseKey{u.Server, u.VM}] = u.InFlight
	}
	if len(m.CrashReports) == 0 {
		return nil
	}
	return r.messagesToOwnDomain(message{From: m.From, CrashReports: m.CrashReports}, vms)
}

func (r *Registry) mergeRecords(m *message, now time.Duration, reply *message) {
	for _, f := range m.FullRecords {
		r.mergeAndQueue(m, f.Announcement, now-time.Duration(f.AgeMS)*time.Millisecond, staticDigest(&f.Announcement))
	}
	for _, update := range m.Renewals {
		s := r.byKey[update.Static]
		if s == nil || s.rec.Load().staticDigest != update.Static {
			if len(reply.WantedDigests) < maxWantedDigests {
				reply.WantedDigests = append(reply.WantedDigests, update.Static)
			}
			continue // the reply will have the full record, and anti-entropy messages pass it on
		}
		a := s.rec.Load().announcement
		a.Sequence = update.Sequence
		a.Load = api.Load{Running: update.Running, Waiting: update.Waiting, TokensPerSecond: float64(update.Speed)}
		r.mergeAndQueue(m, a, now-time.Duration(update.AgeMS)*time.Millisecond, update.Static)
	}
}

// mergeAndQueue merges a record and, if the message is to be relayed, queues it for the own failure domain. If a
// server of this failure domain announced itself to a VM of another one, the record is also considered for
// messages to all other failure domains, because they learn of a server from VMs of the server's own failure domain.
func (r *Registry) mergeAndQueue(m *message, a api.Announcement, renewed time.Duration, digest uint64) {
	changed, staticChanged := r.merge(a, renewed, digest)
	if !changed || m.Hop != hopRelay {
		return
	}
	r.gossip.relayed[a.ID] = staticChanged || r.gossip.relayed[a.ID]
	if a.Domain == r.opts.Domain {
		r.gossip.announcedHere[a.ID] = true
	}
}

func (r *Registry) addWantedRecords(m *message, now time.Duration, reply *message) {
	for _, digest := range m.WantedDigests {
		if s := r.byKey[digest]; s != nil && len(reply.FullRecords) < maxFullRecords {
			reply.FullRecords = append(reply.FullRecords, newFullRecord(s.rec.Load(), now))
		}
	}
}

func (r *Registry) mergeUseReports(m *message, now time.Duration) {
	for _, u := range m.UseReports {
		s := r.byKey[u.Server]
		if s == nil || u.VM == r.opts.VM {
			continue
		}
		r.setRemoteUse(s, remoteUseKey{u.Server, u.VM}, max(exclusiveUse, u.InFlight), now)
	}
}

// localUse returns the number of this VM's requests in flight on the server, or exclusiveUse.
func (s *Server) localUse() int {
	if s.exclusive.Load() {
		return exclusiveUse
	}
	return int(s.inFlight.Load())
}

// setRemoteUse replaces what another VM reported about its use of a server. r.mu must be held.
func (r *Registry) setRemoteUse(s *Server, key remoteUseKey, n int, now time.Duration) {
	s.addRemoteUse(r.remoteUses[key].inFlight, -1)
	s.addRemoteUse(n, 1)
	if n == 0 {
		delete(r.remoteUses, key)
		return
	}
	r.remoteUses[key] = remoteUse{inFlight: n, receivedAt: now}
}

// addRemoteUse adds the report of one VM to the totals of the server, or subtracts it if sign is -1. Exclusive use
// counts as one request in flight.
func (s *Server) addRemoteUse(n int, sign int64) {
	if n == 0 {
		return
	}
	s.remoteVMs.Add(sign)
	if n == exclusiveUse {
		s.remoteClaims.Add(sign)
		n = 1
	}
	s.remoteInFlight.Add(sign * int64(n))
}

func (r *Registry) expireRemoteUses(now time.Duration) {
	for key, u := range r.remoteUses {
		s := r.byKey[key.server]
		if s == nil {
			delete(r.remoteUses, key)
			continue
		}
		if now-u.receivedAt >= remoteUseTTL {
			r.setRemoteUse(s, key, 0, now)
		}
	}
}
