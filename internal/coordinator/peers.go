package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peersPerKind is the number of VMs of its own failure domain, and of the others, that a VM learns.
	peersPerKind = 4
	// peerLifetime is how long after its last follow call a VM is named to others.
	peerLifetime = 3 * time.Second
)

// Peer is an entry VM that sends requests for others that are cut off from the servers.
type Peer struct {
	VM            string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"` // of its link
	FailureDomain string `cbor:"3,keyasint,omitempty"`
}

// peerTable holds the entry VMs that follow the leader. It decides without network and clock.
type peerTable struct {
	byVM map[string]peerState
}

type peerState struct {
	Peer
	accepts bool
	seenAt  time.Duration // boot time
}

func newPeerTable() *peerTable { return &peerTable{byVM: map[string]peerState{}} }

// record records what a VM says of itself.
func (t *peerTable) record(p Peer, accepts bool, now time.Duration) {
	if p.Address != "" {
		t.byVM[p.VM] = peerState{p, accepts, now}
	}
}

// choose returns the peers of a VM, in a stable order that differs between VMs, so that those that are cut off together
// use different peers.
func (t *peerTable) choose(vm, domain string, now time.Duration) []Peer {
	type ranked struct {
		Peer
		rank uint64
	}
	var same, other []ranked
	for name, s := range t.byVM {
		switch {
		case now-s.seenAt > peerLifetime:
			delete(t.byVM, name)
		case !s.accepts || name == vm:
		case s.FailureDomain == domain:
			same = append(same, ranked{s.Peer, xxhash.Sum64String(vm + "/" + name)})
		default:
			other = append(other, ranked{s.Peer, xxhash.Sum64String(vm + "/" + name)})
		}
	}
	var out []Peer
	for _, list := range [][]ranked{same, other} {
		slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.VM, b.VM)) })
		for _, p := range list[:min(len(list), peersPerKind)] {
			out = append(out, p.Peer)
		}
	}
	return out
}

// peersDigest identifies a list of peers, so that it is sent only when it has changed.
func peersDigest(peers []Peer) uint64 {
	h := xxhash.New()
	for _, p := range peers {
		_, _ = h.WriteString(p.VM + "/" + p.Address + "/")
	}
	return h.Sum64()
}

// addPeers adds the peers of a VM to a reply if they have changed.
func (s *session) addPeers(r *FollowReply, q FollowRequest, now time.Duration) {
	if !q.Forwards {
		return
	}
	s.mu.Lock()
	peers := s.peers.choose(q.VM, q.FailureDomain, now)
	s.mu.Unlock()
	if r.PeersDigest = peersDigest(peers); q.Term != s.term || r.PeersDigest != q.PeersDigest {
		r.PeersSent, r.Peers = true, peers
	}
}
