package control

import (
	"context"
	"time"

	"filbertledge/internal/errs"
)

// reachSlack covers the delay with which polls to other replicas become known to the leader.
const reachSlack = 2 * presenceInterval

// reach is an accepted edit whose spread is measured.
type reach struct {
	version uint64
	since   time.Duration
}

// maxReaches bounds the edits that are measured at the same time.
const maxReaches = 256

// Propagation tells which VMs may still use a table older than version; zero means the newest. Only the leader
// knows; the error is of kind errs.NotLeader elsewhere.
func (s *Server) Propagation(_ context.Context, version uint64) (PropagationResponse, error) {
	if !s.o.Replica.IsLeader() {
		return PropagationResponse{}, errs.New(errs.NotLeader, "ask the leader", "this replica is not the leader")
	}
	if version == 0 {
		version = s.o.Machine.Table().Version()
	}
	now := s.o.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachLocked(version, now), nil
}

func (s *Server) reachLocked(version uint64, now time.Duration) PropagationResponse {
	a := PropagationResponse{Version: version, VMs: s.presence.recent(now, vmExpiry, false), Settled: s.presence.settled(now)}
	for _, vm := range a.VMs {
		if vm.TableVersion < version && vm.SinceLastSeen < TableLeaseDuration+reachSlack {
			a.Waiting = append(a.Waiting, vm)
		}
	}
	return a
}

func (s *Server) startReach(version uint64) {
	now := s.o.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.Metrics != nil && len(s.reaches) < maxReaches {
		s.reaches = append(s.reaches, reach{version, now})
	}
}

// checkReaches reports the edits that are in force everywhere. Edits of the time before this replica knew all
// VMs are dropped.
func (s *Server) checkReaches(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []reach
	for _, r := range s.reaches {
		switch {
		case !s.presence.settled(now):
		case len(s.reachLocked(r.version, now).Waiting) > 0:
			left = append(left, r)
		default:
			s.o.Metrics.EditReach(now - r.since)
		}
	}
	s.reaches = left
}
