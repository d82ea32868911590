package replica

import (
	"context"
	"time"

	"filbertledge/internal/raft"
)

const (
	// membershipCheck is the time between looks at whether a leader is known.
	membershipCheck = 300 * time.Millisecond
	// leaderless is how long a replica is without a leader before it asks whether it is still a member.
	leaderless = time.Second
)

// SetPeers replaces the replicas of the settings, of which a joining replica asks for its group.
func (r *Replica) SetPeers(peers []raft.Member) {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	r.opts.Peers = peers
}

// configuredPeers returns the other replicas of the settings.
func (r *Replica) configuredPeers() []raft.Member {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	return r.opts.peers()
}

// watchMembership lets a replica that was replaced while it was away join again. It keeps its instance number,
// because it still has its disk.
func (r *Replica) watchMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipCheck)
	defer ticker.Stop()
	var since time.Time
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
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > leaderless {
			r.rejoin(ctx)
		}
	}
}

// rejoin asks the other replicas for the membership and requests a place if this replica has none.
func (r *Replica) rejoin(ctx context.Context) {
	for _, reply := range r.askPeers(ctx) {
		if len(reply.Members) > 0 && reply.Leader != "" && !r.listed(reply.Members) {
			r.requestJoin(ctx, reply)
			return
		}
	}
}
