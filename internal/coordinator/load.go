package coordinator

import (
	"sync"
	"time"

	"filbertledge/internal/balance"
)

const (
	// ownLoadInterval is the time between two counts of the items that the leader runs.
	ownLoadInterval = 100 * time.Millisecond
	// fleetInterval is the shortest time between two lists of the servers of which VMs share the load. Each list makes the
	// leader choose again the servers of each VM. A new server counts as loaded like the others until then.
	fleetInterval = 2 * time.Second
)

// loadState holds what the leader knows of the load of the servers.
type loadState struct {
	collector *balance.Collector

	mu       sync.Mutex
	fleet    *balance.Fleet
	fleetAt  time.Duration // when fleet was made
	revision uint64        // of the registry, for fleet
	countAt  time.Duration // when the items of the leader are counted again
}

// recordLoad takes over what a VM tells of the load of the servers.
func (s *session) recordLoad(q FollowRequest, now time.Duration) {
	c := s.load.collector
	c.Contact(q.VM, q.ProcessorShare, now)
	if q.Load == nil || !c.Enabled() {
		return
	}
	if err := c.Record(q.VM, q.Load, s.balancedFleet(now)); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("vm", q.VM).Warn("the load of servers that a VM reports is ignored")
	}
}

// addLoad adds the load of the servers to a reply, if VMs share it.
func (s *session) addLoad(r *FollowReply, q FollowRequest, now time.Duration) {
	if q.Forwards && s.load.collector.Enabled() {
		s.countItems(now)
		r.Load = s.load.collector.Reply(q.VM, q.FailureDomain, s.balancedFleet(now), now)
	}
}

// balancedFleet returns the servers, for the collector.
func (s *session) balancedFleet(now time.Duration) *balance.Fleet {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	revision := s.node.registry.Revision()
	if s.load.fleet == nil || s.load.revision != revision && now-s.load.fleetAt >= fleetInterval {
		var members []balance.Member
		for _, v := range s.node.registry.List("", now) {
			members = append(members, balance.Member{ID: v.ID, Service: v.Service, FailureDomain: v.FailureDomain, Slots: v.Slots})
		}
		s.load.fleet, s.load.fleetAt, s.load.revision = balance.NewFleet(members), now, revision
	}
	return s.load.fleet
}

// countItems counts the items that the leader runs on each server, which are part of the load.
func (s *session) countItems(now time.Duration) {
	s.load.mu.Lock()
	due := now >= s.load.countAt
	if due {
		s.load.countAt = now + ownLoadInterval
	}
	s.load.mu.Unlock()
	if !due {
		return
	}
	own := map[uint32]int{}
	s.mu.Lock()
	for id, e := range s.engines {
		if e.running > 0 {
			own[balance.Key(id)] = e.running
		}
	}
	s.mu.Unlock()
	s.load.collector.SetOwn(own)
}
