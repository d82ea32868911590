package coordinator

import (
	"context"
	"fmt"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/link"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
)

// PermissionRequest asks the leader for a permission to send a request to one of several limited servers.
type PermissionRequest struct {
	VM      string            `cbor:"1,keyasint"`
	Servers []string          `cbor:"2,keyasint"` // the most preferred first
	Limits  []ratelimit.Limit `cbor:"3,keyasint,omitempty"`
	MaxWait time.Duration     `cbor:"4,keyasint,omitempty"` // how long the request may wait
	// SinceContact is the time since the VM sent its last call that a leader answered.
	SinceContact time.Duration `cbor:"5,keyasint,omitempty"`
}

// PermissionReply holds the permission.
type PermissionReply struct {
	Grant   ratelimit.Grant `cbor:"1,keyasint"`
	Members int             `cbor:"2,keyasint,omitempty"` // as in FollowReply
}

// LimitsReport tells the leader the limits that a VM learned from responses.
type LimitsReport struct {
	VM     string            `cbor:"1,keyasint"`
	Limits []ratelimit.Limit `cbor:"2,keyasint,omitempty"`
}

// RequestPermission asks the leader at address for a permission.
func RequestPermission(ctx context.Context, c *link.Client, address string, q PermissionRequest) (PermissionReply, error) {
	return link.Call[PermissionRequest, PermissionReply](ctx, c, address, MethodPermission, q)
}

// ReportLimits tells the leader at address the limits of servers.
func ReportLimits(ctx context.Context, c *link.Client, address string, q LimitsReport) error {
	_, err := link.Call[LimitsReport, Empty](ctx, c, address, MethodLimits, q)
	return err
}

// permission answers a PermissionRequest. The lease is checked last, so that no former leader gives permissions.
func (s *session) permission(_ context.Context, q PermissionRequest) (PermissionReply, error) {
	now := boottime.Now()
	s.mergeLimits(q.VM, q.Limits, now)
	s.limits.Contact(q.VM, q.SinceContact, 0, now)
	r := PermissionReply{Grant: s.limits.Reserve(q.Servers, q.MaxWait, now), Members: s.limits.Members(now)}
	return r, s.checkLeadership()
}

func (s *session) reportLimits(_ context.Context, q LimitsReport) (Empty, error) {
	s.mergeLimits(q.VM, q.Limits, boottime.Now())
	return Empty{}, s.checkLeadership()
}

// mergeLimits takes over what another VM knows of the limits. The changes reach all VMs with the next replies to their
// follow calls.
func (s *session) mergeLimits(vm string, list []ratelimit.Limit, now time.Duration) {
	changed := s.node.limits.Merge(list, now)
	for _, server := range changed {
		event := events.Event{Name: events.LimitWithdrawn, Server: api.ServerID(server), Peer: api.VMID(vm), Detail: "reported by another VM"}
		if perSecond, limited := s.node.limits.Get(server); limited {
			event.Name, event.Detail = events.LimitNamed, fmt.Sprintf("%g requests a second from all VMs, reported by another VM", perSecond)
		}
		s.record(event)
	}
	if len(changed) > 0 {
		s.spreadLimits(changed)
	}
}

// spreadLimits makes all VMs learn the limits of the servers, now and after a change of the leader.
func (s *session) spreadLimits(servers []string) {
	s.signalServers()
	now, timeOfDay := boottime.Now(), time.Now()
	var c rollout.Command
	for _, server := range servers {
		if l, known := s.node.limits.Lookup(server, now); known {
			c.Limits = append(c.Limits, rollout.ServerLimit{Server: server, Withdrawn: l.Withdrawn, PerSecond: l.PerSecond, At: timeOfDay.Add(-l.Age).UnixMilli()})
		}
	}
	if len(c.Limits) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		defer cancel()
		if _, err := s.node.propose(ctx, c); err != nil {
			s.node.opts.Events.Log().WithError(err).Info("cannot store the limits of servers; a new leader learns them from the responses of the servers")
		}
	}()
}

// loadLimits takes over the limits that earlier leaders stored.
func (s *session) loadLimits() {
	timeOfDay := time.Now()
	var list []ratelimit.Limit
	for _, l := range s.node.state.Limits() {
		list = append(list, ratelimit.Limit{Server: l.Server, PerSecond: l.PerSecond, Age: timeOfDay.Sub(time.UnixMilli(l.At))})
	}
	s.node.limits.Merge(list, boottime.Now())
}

// nodeLimiter implements forward.Limiter for the requests of a leader.
type nodeLimiter struct{ node *Node }

// Observe implements forward.Limiter.
func (l nodeLimiter) Observe(server string, statement ratelimit.Statement, sentAt time.Duration) bool {
	changed := l.node.limits.Observe(server, statement, sentAt, boottime.Now())
	if s := l.node.session.Load(); s != nil && changed {
		s.spreadLimits([]string{server})
	}
	return changed
}

// Limit implements forward.Limiter.
func (l nodeLimiter) Limit(server string) (float64, bool) { return l.node.limits.Get(server) }

// Reserve implements forward.Limiter. A VM that no longer leads gets no permission.
func (l nodeLimiter) Reserve(_ context.Context, servers []string, maxWait time.Duration) ratelimit.Grant {
	s, err := l.node.currentSession()
	if err != nil {
		return ratelimit.Grant{Wait: callTimeout}
	}
	return s.limits.Reserve(servers, maxWait, boottime.Now())
}
