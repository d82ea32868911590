package control

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// presence is what one replica knows of the entry VMs. The leader's presence covers all of them.
type presence struct {
	seen     map[api.VMID]seenVM
	list     []api.VM // last list of the leader, by id
	listHash uint64   // of the identities in list
	// leaderSince and lastTick are of the local monotonic clock; leading tells whether leaderSince counts.
	leading     bool
	leaderSince time.Duration
	lastTick    time.Duration
	missing     map[incarnation]time.Duration // owners that were never heard from, since when
}

type seenVM struct {
	vm   api.VM
	at   time.Duration
	here bool // by a poll to this replica, not through another one
}

// forgetAfter bounds the memory of VMs that are gone.
const forgetAfter = time.Minute

// maxTickGap is the longest pause of the presence loop after which a leader still trusts what it heard; a
// longer one means that the process was frozen.
const maxTickGap = 2 * time.Second

func newPresence() presence {
	return presence{seen: map[api.VMID]seenVM{}, missing: map[incarnation]time.Duration{}}
}

// observePoll notes that vm sent a poll at time at. Older incarnations and older polls change nothing.
func (p *presence) observePoll(vm api.VM, at time.Duration) {
	p.note(seenVM{vm: vm, at: at, here: true})
}

func (p *presence) note(h seenVM) {
	old, ok := p.seen[h.vm.ID]
	if ok && old.vm.Incarnation > h.vm.Incarnation {
		return
	}
	if ok && old.vm.Incarnation == h.vm.Incarnation {
		h.vm.TableVersion = max(h.vm.TableVersion, old.vm.TableVersion)
		if old.at > h.at {
			h.at, h.here = old.at, old.here
		}
	}
	p.seen[h.vm.ID] = h
}

// recent returns the VMs heard from within the limit, by id, with their ages. With here, only those that poll
// this replica.
func (p *presence) recent(now, limit time.Duration, here bool) []api.VM {
	var out []api.VM
	for _, h := range p.seen {
		if now-h.at >= limit || here && !h.here {
			continue
		}
		vm := h.vm
		vm.SinceLastSeen = now - h.at
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b api.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (p *presence) forget(now time.Duration) {
	for id, h := range p.seen {
		if now-h.at > forgetAfter {
			delete(p.seen, id)
		}
	}
}

func (p *presence) setList(list []api.VM, hash uint64) {
	p.list, p.listHash = list, hash
}

// hashList covers the identities of the VMs. Ages and table versions change all the time and are left out, as
// each change of the hash sends the whole list to every VM.
func hashList(list []api.VM) uint64 {
	h := xxhash.New()
	var number [8]byte
	for _, vm := range list {
		binary.LittleEndian.PutUint64(number[:], vm.Incarnation)
		_, _ = h.Write(number[:])
		for _, s := range []string{string(vm.ID), string(vm.Domain), vm.Address, vm.HTTPAddress} {
			binary.LittleEndian.PutUint64(number[:], uint64(len(s)))
			_, _ = h.Write(number[:])
			_, _ = h.WriteString(s)
		}
	}
	return h.Sum64()
}

// lead notes whether this replica is the leader. A new leader takes over the last list, so that VMs do not
// vanish from it before their polls arrive.
func (p *presence) lead(leader bool, now time.Duration) {
	frozen := now-p.lastTick > maxTickGap
	p.lastTick = now
	if leader && p.leading && !frozen {
		return
	}
	p.leading = leader
	if !leader {
		return
	}
	p.leaderSince = now
	clear(p.missing)
	for _, vm := range p.list {
		p.note(seenVM{vm: vm, at: now})
	}
}

// settled reports whether the leader has had the time to hear from every VM.
func (p *presence) settled(now time.Duration) bool {
	return p.leading && now-p.leaderSince >= vmExpiry
}

// lost returns the owners that have not been heard from for the expiry time, or that were restarted.
func (p *presence) lost(owners map[incarnation]bool, now time.Duration) []incarnation {
	for owner := range p.missing {
		if !owners[owner] {
			delete(p.missing, owner)
		}
	}
	if !p.settled(now) {
		return nil
	}
	var out []incarnation
	for owner := range owners {
		if p.isLost(owner, now) {
			out = append(out, owner)
		}
	}
	return out
}

func (p *presence) isLost(owner incarnation, now time.Duration) bool {
	h, ok := p.seen[owner.VM]
	if ok && h.vm.Incarnation > owner.Number {
		return true
	}
	if ok && h.vm.Incarnation == owner.Number {
		return now-h.at >= vmExpiry
	}
	since, ok := p.missing[owner]
	if !ok {
		p.missing[owner] = now
		return false
	}
	return now-since >= vmExpiry
}

func (s *Server) presenceLoop(ctx context.Context) {
	tick := time.NewTicker(presenceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.presenceRound(ctx)
		}
	}
}

func (s *Server) presenceRound(ctx context.Context) {
	leader, now := s.o.Replica.IsLeader(), s.o.Clock()
	s.mu.Lock()
	s.presence.lead(leader, now)
	s.presence.forget(now)
	s.mu.Unlock()
	if leader {
		s.leaderRound(ctx, now)
		return
	}
	if err := s.forwardPresence(ctx, now); err != nil {
		s.o.Events.Log().WithError(err).Debug("presence was not forwarded")
	}
}

func (s *Server) leaderRound(ctx context.Context, now time.Duration) {
	owners := s.o.Machine.owners()
	s.mu.Lock()
	list := s.presence.recent(now, vmExpiry, false)
	s.presence.setList(list, hashList(list))
	lost := s.presence.lost(owners, now)
	s.mu.Unlock()
	s.checkReaches(now)
	s.shareRound(ctx, now)
	for _, owner := range lost {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		s.vmLost(ctx, owner.VM, owner.Number)
		cancel()
	}
}

func (s *Server) forwardPresence(ctx context.Context, now time.Duration) error {
	addr := s.o.Replica.LeaderAddress()
	if addr == "" {
		return errs.New(errs.Unavailable, "wait for an election", "no leader is known")
	}
	s.mu.Lock()
	q := PresenceRequest{VMs: s.presence.recent(now, vmExpiry, true), VMListHash: s.presence.listHash}
	q.ShareReports = s.reports.byRow(q.VMs)
	s.mu.Unlock()
	request, err := Encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, presenceInterval)
	defer cancel()
	data, err := s.o.SendRPC(ctx, addr, MethodPresence, request)
	if err != nil {
		return err
	}
	var a PresenceResponse
	if _, err := decodeAnswer(data, &a); err != nil {
		return err
	}
	if a.VMListHash != q.VMListHash {
		s.mu.Lock()
		s.presence.setList(a.VMs, a.VMListHash)
		s.mu.Unlock()
	}
	return nil
}

func (s *Server) handlePresence(_ context.Context, request []byte) ([]byte, error) {
	var q PresenceRequest
	if err := Decode(request, &q); err != nil {
		return encodeAnswer(nil, err, "")
	}
	if !s.o.Replica.IsLeader() {
		err := errs.New(errs.NotLeader, "send it to the leader", "this replica is not the leader")
		return encodeAnswer(nil, err, s.o.Replica.LeaderAddress())
	}
	now := s.o.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range q.VMs {
		s.presence.note(seenVM{vm: vm, at: now - max(vm.SinceLastSeen, 0)})
	}
	s.reports.noteReports(q, now)
	a := PresenceResponse{VMListHash: s.presence.listHash}
	if a.VMListHash != q.VMListHash {
		a.VMs = s.presence.list
	}
	return encodeAnswer(a, nil, "")
}
