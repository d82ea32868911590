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

// presence tracks which entry VMs are alive. Each replica knows the VMs that poll it; the leader also knows those that
// poll other replicas.
type presence struct {
	sightings  map[api.VMID]vmSighting
	vmList     []api.VM // latest list published by the leader, ordered by id
	vmListHash uint64   // hash of the identities in vmList
	// leaderSince and lastTick are on the local monotonic clock; leaderSince is valid only while leading is true.
	leading      bool
	leaderSince  time.Duration
	lastTick     time.Duration
	unseenOwners map[vmIncarnation]time.Duration // owners without a sighting, and since when
}

type vmSighting struct {
	vm     api.VM
	at     time.Duration
	direct bool // the VM polled this replica; false if another replica reported it
}

// sightingRetention is how long a VM that no longer polls, and its last report of shares, are remembered.
const sightingRetention = time.Minute

// maxTickGap is the longest interval between two presence rounds after which a leader still trusts what it knows of
// the VMs. A longer one means that the process was suspended.
const maxTickGap = 2 * time.Second

// vmLostTimeout is the timeout for proposing that one VM is lost.
const vmLostTimeout = time.Second

func newPresence() presence {
	return presence{sightings: map[api.VMID]vmSighting{}, unseenOwners: map[vmIncarnation]time.Duration{}}
}

// recordPoll records a poll by a VM at time at. Polls of older incarnations and older polls change nothing.
func (p *presence) recordPoll(vm api.VM, at time.Duration) {
	p.merge(vmSighting{vm: vm, at: at, direct: true})
}

func (p *presence) merge(h vmSighting) {
	old, ok := p.sightings[h.vm.ID]
	if ok && old.vm.Incarnation > h.vm.Incarnation {
		return
	}
	if ok && old.vm.Incarnation == h.vm.Incarnation {
		h.vm.TableVersion = max(h.vm.TableVersion, old.vm.TableVersion)
		if old.at > h.at {
			h.at, h.direct = old.at, old.direct
		}
	}
	p.sightings[h.vm.ID] = h
}

// recentVMs returns the VMs that polled within the limit, ordered by id, with the age of their last poll. With
// directOnly, it returns only the VMs that poll this replica.
func (p *presence) recentVMs(now, limit time.Duration, directOnly bool) []api.VM {
	var out []api.VM
	for _, h := range p.sightings {
		if now-h.at >= limit || directOnly && !h.direct {
			continue
		}
		vm := h.vm
		vm.SinceLastSeen = now - h.at
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b api.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (p *presence) dropExpired(now time.Duration) {
	for id, h := range p.sightings {
		if now-h.at > sightingRetention {
			delete(p.sightings, id)
		}
	}
}

func (p *presence) setVMList(list []api.VM, hash uint64) {
	p.vmList, p.vmListHash = list, hash
}

// hashVMList hashes the identities of the VMs. Ages and table versions change constantly and are left out, because
// each change of the hash makes the replicas send the whole list to every VM.
func hashVMList(list []api.VM) uint64 {
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

// updateLeadership records whether this replica is the leader. A new leader starts from the last known list, so that
// VMs do not disappear from it before they poll again.
func (p *presence) updateLeadership(leader bool, now time.Duration) {
	suspended := now-p.lastTick > maxTickGap
	p.lastTick = now
	if leader && p.leading && !suspended {
		return
	}
	p.leading = leader
	if !leader {
		return
	}
	p.leaderSince = now
	clear(p.unseenOwners)
	for _, vm := range p.vmList {
		p.merge(vmSighting{vm: vm, at: now})
	}
}

// settled reports whether this replica has been leader for long enough to have heard from every live VM.
func (p *presence) settled(now time.Duration) bool {
	return p.leading && now-p.leaderSince >= vmExpiry
}

// lostOwners returns the owners that have restarted or have not been heard from for vmExpiry.
func (p *presence) lostOwners(owners map[vmIncarnation]bool, now time.Duration) []vmIncarnation {
	for owner := range p.unseenOwners {
		if !owners[owner] {
			delete(p.unseenOwners, owner)
		}
	}
	if !p.settled(now) {
		return nil
	}
	var out []vmIncarnation
	for owner := range owners {
		if p.isLost(owner, now) {
			out = append(out, owner)
		}
	}
	return out
}

func (p *presence) isLost(owner vmIncarnation, now time.Duration) bool {
	h, ok := p.sightings[owner.VM]
	if ok && h.vm.Incarnation > owner.Number {
		return true
	}
	if ok && h.vm.Incarnation == owner.Number {
		return now-h.at >= vmExpiry
	}
	since, ok := p.unseenOwners[owner]
	if !ok {
		p.unseenOwners[owner] = now
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
	leader, now := s.opts.Replica.IsLeader(), s.opts.Clock()
	s.mu.Lock()
	s.presence.updateLeadership(leader, now)
	s.presence.dropExpired(now)
	s.mu.Unlock()
	if leader {
		s.leaderRound(ctx, now)
		return
	}
	if err := s.forwardPresence(ctx, now); err != nil {
		s.opts.Events.Log().WithError(err).Debug("forwarding VM presence to the leader failed")
	}
}

func (s *Server) leaderRound(ctx context.Context, now time.Duration) {
	owners := s.opts.Machine.activeOwners()
	s.mu.Lock()
	list := s.presence.recentVMs(now, vmExpiry, false)
	s.presence.setVMList(list, hashVMList(list))
	lost := s.presence.lostOwners(owners, now)
	s.mu.Unlock()
	s.recordCompletedPropagations(now)
	s.shareRound(ctx, now)
	for _, owner := range lost {
		ctx, cancel := context.WithTimeout(ctx, vmLostTimeout)
		s.proposeVMLost(ctx, owner.VM, owner.Number)
		cancel()
	}
}

func (s *Server) forwardPresence(ctx context.Context, now time.Duration) error {
	addr := s.opts.Replica.LeaderAddress()
	if addr == "" {
		return errs.New(errs.Unavailable, "wait for an election", "no leader is known")
	}
	s.mu.Lock()
	q := PresenceRequest{VMs: s.presence.recentVMs(now, vmExpiry, true), VMListHash: s.presence.vmListHash}
	q.ShareReports = s.reports.byRow(q.VMs)
	s.mu.Unlock()
	request, err := Encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, presenceInterval)
	defer cancel()
	data, err := s.opts.SendRPC(ctx, addr, MethodPresence, request)
	if err != nil {
		return err
	}
	var a PresenceResponse
	if _, err := decodeResponse(data, &a); err != nil {
		return err
	}
	if a.VMListHash != q.VMListHash {
		s.mu.Lock()
		s.presence.setVMList(a.VMs, a.VMListHash)
		s.mu.Unlock()
	}
	return nil
}

func (s *Server) handlePresence(_ context.Context, request []byte) ([]byte, error) {
	var q PresenceRequest
	if err := Decode(request, &q); err != nil {
		return encodeResponse(nil, err, "")
	}
	if !s.opts.Replica.IsLeader() {
		err := errs.New(errs.NotLeader, "send the request to the leader", "this replica is not the leader")
		return encodeResponse(nil, err, s.opts.Replica.LeaderAddress())
	}
	now := s.opts.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range q.VMs {
		s.presence.merge(vmSighting{vm: vm, at: now - max(vm.SinceLastSeen, 0)})
	}
	s.reports.observeForwarded(q, now)
	a := PresenceResponse{VMListHash: s.presence.vmListHash}
	if a.VMListHash != q.VMListHash {
		a.VMs = s.presence.vmList
	}
	return encodeResponse(a, nil, "")
}
