package control

import (
	"context"
	"time"

	"filbertledge/internal/errs"
)

// handleWatch answers a long poll once a read index has confirmed the state. That read index must have started after
// the poll arrived.
func (s *Server) handleWatch(ctx context.Context, request []byte) ([]byte, error) {
	var q WatchRequest
	if err := Decode(request, &q); err != nil {
		return encodeResponse(nil, err, "")
	}
	if q.VM.ID == "" {
		return encodeResponse(nil, errs.New(errs.InvalidArgument, "name the VM", "the poll has no VM"), "")
	}
	s.recordPoll(q)
	if err := s.waitConfirmed(ctx, func() bool { return q.NoWait || s.hasChanges(q) }); err != nil {
		return encodeResponse(nil, err, s.opts.Replica.LeaderAddress())
	}
	return encodeResponse(s.watchResponse(q), nil, "")
}

func (s *Server) recordPoll(q WatchRequest) {
	vm := q.VM
	vm.TableVersion = q.TableVersion
	vm.SinceLastSeen = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	s.presence.recordPoll(vm, now)
	s.reports.observe(vm.ID, receivedReport{incarnation: vm.Incarnation, at: now, rows: q.ShareReports})
}

func (s *Server) hasChanges(q WatchRequest) bool {
	s.mu.Lock()
	hash := s.presence.vmListHash
	s.mu.Unlock()
	m := s.opts.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.state.watchedVersions()
	if m.state.sharesVersionOf(q.VM.ID, q.VM.Incarnation) > q.SharesVersion {
		return true
	}
	return w.table > q.TableVersion || w.weights > q.WeightsVersion || w.claim > q.ClaimRevision || hash != q.VMListHash
}

// waitConfirmed waits for the next round of confirmLoop, and triggers one at once if urgent returns true. It calls
// urgent after the waiter is registered, so that a change in between is not missed.
func (s *Server) waitConfirmed(ctx context.Context, urgent func() bool) error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.waiters = append(s.waiters, done)
	s.mu.Unlock()
	if urgent() {
		select {
		case s.confirmNow <- struct{}{}:
		default:
		}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Unavailable, "poll again", "the poll ended before a read was confirmed")
	}
}

// confirmLoop shares one read index between all waiting long polls. It runs a round every watchWait, after each
// change, and when the data of a poll is out of date.
func (s *Server) confirmLoop(ctx context.Context) {
	tick := time.NewTicker(watchWait)
	defer tick.Stop()
	changed := s.opts.Machine.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.confirmNow:
		case <-changed:
		}
		changed = s.opts.Machine.Changed() // fetched before the round: a change during the round triggers another one
		s.confirmRound(ctx)
	}
}

func (s *Server) confirmRound(ctx context.Context) {
	s.mu.Lock()
	waiters := s.waiters
	s.waiters = nil
	s.mu.Unlock()
	if len(waiters) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	err := s.readIndex(ctx)
	for _, w := range waiters {
		w <- err
	}
}

func (s *Server) watchResponse(q WatchRequest) WatchResponse {
	s.mu.Lock()
	hash, list := s.presence.vmListHash, s.presence.vmList
	s.mu.Unlock()
	a := WatchResponse{VMListHash: hash, Leader: s.opts.Replica.LeaderAddress()}
	if hash != q.VMListHash {
		a.VMs = list
	}
	m := s.opts.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	a.TableVersion, a.Rows = m.state.table.Version(), m.state.rowsChangedSince(q.TableVersion)
	a.WeightsVersion, a.Models = m.state.weightsVersion, m.state.weightsChangedSince(q.WeightsVersion)
	a.ClaimRevision = m.state.ledger.claimRevision
	if a.SharesVersion = m.state.sharesVersionOf(q.VM.ID, q.VM.Incarnation); a.SharesVersion > q.SharesVersion {
		_, a.Shares = m.state.sharesOf(q.VM.ID, q.VM.Incarnation)
	}
	return a
}
