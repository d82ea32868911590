package control

import (
	"context"
	"time"

	"filbertledge/internal/errs"
)

// forwardingDelay is the maximum delay until the leader learns of a poll that another replica received.
const forwardingDelay = 2 * presenceInterval

// pendingPropagation is an accepted edit that some VMs may not have applied yet. Its propagation time is measured.
type pendingPropagation struct {
	version uint64
	since   time.Duration
}

// maxPendingPropagations is the maximum number of edits that are measured at the same time.
const maxPendingPropagations = 256

// Propagation returns the VMs that may still use a table older than version; version 0 means the newest one. Only the
// leader can answer; other replicas return an error of kind errs.NotLeader.
func (s *Server) Propagation(_ context.Context, version uint64) (PropagationResponse, error) {
	if !s.opts.Replica.IsLeader() {
		return PropagationResponse{}, errs.New(errs.NotLeader, "ask the leader", "this replica is not the leader")
	}
	if version == 0 {
		version = s.opts.Machine.Table().Version()
	}
	now := s.opts.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.propagationLocked(version, now), nil
}

func (s *Server) propagationLocked(version uint64, now time.Duration) PropagationResponse {
	a := PropagationResponse{Version: version, VMs: s.presence.recentVMs(now, vmExpiry, false), Settled: s.presence.settled(now)}
	for _, vm := range a.VMs {
		if vm.TableVersion < version && vm.SinceLastSeen < TableLeaseDuration+forwardingDelay {
			a.Waiting = append(a.Waiting, vm)
		}
	}
	return a
}

func (s *Server) trackPropagation(version uint64) {
	now := s.opts.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Metrics != nil && len(s.pendingPropagations) < maxPendingPropagations {
		s.pendingPropagations = append(s.pendingPropagations, pendingPropagation{version, now})
	}
}

// recordCompletedPropagations records the propagation time of the edits that are in force on all VMs. Edits accepted
// before this replica knew all VMs are dropped unmeasured.
func (s *Server) recordCompletedPropagations(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []pendingPropagation
	for _, r := range s.pendingPropagations {
		switch {
		case !s.presence.settled(now):
		case len(s.propagationLocked(r.version, now).Waiting) > 0:
			left = append(left, r)
		default:
			s.opts.Metrics.EditReach(now - r.since)
		}
	}
	s.pendingPropagations = left
}
