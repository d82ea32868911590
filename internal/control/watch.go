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
		return seal(nil, err, "")
	}
	if q.VM.ID == "" {
		return seal(nil, errs.New(errs.InvalidArgument, "name the VM", "the poll has no VM"), "")
	}
	s.heard(q)
	if err := s.confirmed(ctx, q.NoWait || s.hasNews(q)); err != nil {
		return seal(nil, err, s.o.Replica.LeaderAddress())
	}
	return seal(s.watchAnswer(q), nil, "")
}

func (s *Server) heard(q WatchRequest) {
	vm := q.VM
	vm.TableVersion = q.TableVersion
	vm.LastSeen = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.hear(vm, s.o.Clock())
}

func (s *Server) hasNews(q WatchRequest) bool {
	s.mu.Lock()
	hash := s.presence.listHash
	s.mu.Unlock()
	m := s.o.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.state.watched()
	return w.table > q.TableVersion || w.weights > q.WeightsVersion || w.claim > q.ClaimRevision || hash != q.ListHash
}

// confirmed waits for the next round of confirmLoop, and asks for one at once if now is set.
func (s *Server) confirmed(ctx context.Context, now bool) error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.waiters = append(s.waiters, done)
	s.mu.Unlock()
	if now {
		select {
		case s.kick <- struct{}{}:
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.kick:
		case <-s.o.Machine.Changed():
		}
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

func (s *Server) watchAnswer(q WatchRequest) WatchAnswer {
	s.mu.Lock()
	hash, list := s.presence.listHash, s.presence.list
	s.mu.Unlock()
	a := WatchAnswer{ListHash: hash, Leader: s.o.Replica.LeaderAddress()}
	if hash != q.ListHash {
		a.VMs = list
	}
	m := s.o.Machine
	m.mu.RLock()
	defer m.mu.RUnlock()
	a.TableVersion, a.Rows = m.state.table.Version(), m.state.rowsSince(q.TableVersion)
	a.WeightsVersion, a.Models = m.state.weightsVersion, m.state.weightsSince(q.WeightsVersion)
	a.ClaimRevision = m.state.ledger.claimRevision
	return a
}
