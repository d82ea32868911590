package replica

import (
	"context"
	"time"

	"filbertledge/internal/raft"
)

const (
	// membershipCheckInterval is the time between checks whether a leader is known.
	membershipCheckInterval = 300 * time.Millisecond
	// leaderlessTimeout is the time without a known leader after which a replica asks whether it is still a member.
	leaderlessTimeout = time.Second
)

// SetPeers replaces Options.Peers, the replicas that are asked whether the group exists and who its members are.
func (r *Replica) SetPeers(peers []raft.Member) {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	r.opts.Peers = peers
}

// configuredPeers returns the other replicas in the settings.
func (r *Replica) configuredPeers() []raft.Member {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	return r.opts.peers()
}

// watchMembership makes a replica join again if it was replaced while it was unreachable. The replica keeps its
// instance number, because it still has its disk.
func (r *Replica) watchMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipCheckInterval)
	defer ticker.Stop()
	var leaderlessSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.stopped:
			return
		case <-ticker.C:
		}
		s := r.Status()
		if s.LeaderID != 0 || !s.Joined {
			leaderlessSince = time.Time{}
			continue
		}
		if leaderlessSince.IsZero() {
			leaderlessSince = time.Now()
		}
		if time.Since(leaderlessSince) > leaderlessTimeout {
			r.rejoin(ctx)
		}
	}
}

// rejoin asks the other replicas for the membership and requests to join if this replica is not a member.
func (r *Replica) rejoin(ctx context.Context) {
	for _, reply := range r.queryPeers(ctx) {
		if len(reply.Members) > 0 && reply.Leader != "" && !r.containsSelf(reply.Members) {
			r.requestJoin(ctx, reply)
			return
		}
	}
}
