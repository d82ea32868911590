package control

import (
	"context"
	"time"

	"filbertledge/internal/errs"
)

// handleWatch answers a long poll after a read index that started after the poll arrived.
func (s *Server) handleWatch(ctx context.Context, request []byte) ([]byte, error) {
	var q WatchRequest
	if err := Decode(request, &q); err != nil {
		return encodeAnswer(nil, err, "")
	}
	if q.VM.ID == "" {
		return encodeAnswer(nil, errs.New(errs.InvalidArgument, "name the VM", "the poll has no VM"), "")
	}
	s.observePoll(q)
	if err := s.confirmed(ctx, func() bool { return q.NoWait || s.hasNews(q) }); err != nil {
		return encodeAnswer(nil, err, s.o.Replica.LeaderAddress())
	}
	return encodeAnswer(s.watchAnswer(q), nil, "")
}

func (s *Server) observePoll(q WatchRequest) {
	vm := q.VM
	vm.TableVersion = q.TableVersion
	vm.SinceLastSeen = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock()
	s.presence.observePoll(vm, now)
	s.reports.note(vm.ID, heardReport{incarnation: vm.Incarnation, at: now, rows: q.ShareReports})
}

func (s *Server) hasNews(q WatchRequest) bool {
	s.mu.Lock()
	hash := s.presence.listHash
	s.mu.Unlock()
	m := s.o.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.state.watched()
	if m.state.sharesVersionOf(q.VM.ID, q.VM.Incarnation) > q.SharesVersion {
		return true
	}
	return w.table > q.TableVersion || w.weights > q.WeightsVersion || w.claim > q.ClaimRevision || hash != q.VMListHash
}

// confirmed waits for the next round of confirmLoop, and asks for one at once if urgent says so. It asks after
// the watcher is registered, so that a change in between is not missed.
func (s *Server) confirmed(ctx context.Context, urgent func() bool) error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.waiters = append(s.waiters, done)
	s.mu.Unlock()
	if urgent() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Unavailable, "poll again", "the poll ended")
	}
}

// confirmLoop shares one read index between all watchers that wait: every 500 ms, at a change, and when a
// watcher is behind.
func (s *Server) confirmLoop(ctx context.Context) {
	tick := time.NewTicker(watchWait)
	defer tick.Stop()
	changed := s.o.Machine.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.wake:
		case <-changed:
		}
		changed = s.o.Machine.Changed() // before the round, which may miss a change that follows
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

func (s *Server) watchAnswer(q WatchRequest) WatchResponse {
	s.mu.Lock()
	hash, list := s.presence.listHash, s.presence.list
	s.mu.Unlock()
	a := WatchResponse{VMListHash: hash, Leader: s.o.Replica.LeaderAddress()}
	if hash != q.VMListHash {
		a.VMs = list
	}
	m := s.o.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	a.TableVersion, a.Rows = m.state.table.Version(), m.state.rowsSince(q.TableVersion)
	a.WeightsVersion, a.Models = m.state.weightsVersion, m.state.weightsSince(q.WeightsVersion)
	a.ClaimRevision = m.state.ledger.claimRevision
	if a.SharesVersion = m.state.sharesVersionOf(q.VM.ID, q.VM.Incarnation); a.SharesVersion > q.SharesVersion {
		_, a.Shares = m.state.sharesOf(q.VM.ID, q.VM.Incarnation)
	}
	return a
}
