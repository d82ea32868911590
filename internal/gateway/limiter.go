package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/ratelimit"
)

const (
	// permissionCallTimeout limits a call to the leader for a permission. A call takes two to five milliseconds.
	permissionCallTimeout = 150 * time.Millisecond
	// leaderFailurePause is how long no permission is asked for after a call failed, so that requests do not wait for a
	// leader that does not answer.
	leaderFailurePause = 250 * time.Millisecond
	// limitReportTimeout limits a call that reports limits.
	limitReportTimeout = 500 * time.Millisecond
)

// limiter implements forward.Limiter with the permissions of the leader. While this VM has no contact with the leader,
// it uses its own share of each limit.
type limiter struct {
	vm     string
	client *link.Client
	leader func() string // address of the leader, or an empty string
	events *events.Recorder
	table  *ratelimit.Table
	// changed wakes reportLoop. It holds at most one element.
	changed chan struct{}

	mu          sync.Mutex
	contactAt   time.Duration            // boot time at which the last answered call to a leader was sent
	members     int                      // VMs that share the limits without a leader, as the leader told
	askAfter    time.Duration            // no permission is asked for before, because the last call failed
	deniedUntil map[string]time.Duration // servers that have no permission until then
	spare       map[string]sparePermissions
	shares      *ratelimit.Shares
}

// sparePermissions are permissions for a server that this VM may use without a call.
type sparePermissions struct {
	count int
	until time.Duration
}

func newLimiter(vm string, client *link.Client, leader func() string, recorder *events.Recorder) *limiter {
	return &limiter{
		vm: vm, client: client, leader: leader, events: recorder, table: ratelimit.NewTable(), changed: make(chan struct{}, 1),
		contactAt: boottime.Now(), deniedUntil: map[string]time.Duration{}, spare: map[string]sparePermissions{}, shares: ratelimit.NewShares(),
	}
}

// Observe implements forward.Limiter.
func (l *limiter) Observe(server string, s ratelimit.Statement, sentAt time.Duration) bool {
	if !l.table.Observe(server, s, sentAt, boottime.Now()) {
		return false
	}
	l.wakeReports()
	return true
}

func (l *limiter) wakeReports() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Limit implements forward.Limiter.
func (l *limiter) Limit(server string) (float64, bool) { return l.table.Get(server) }

// Reserve implements forward.Limiter.
func (l *limiter) Reserve(ctx context.Context, servers []string, maxWait time.Duration) ratelimit.Grant {
	now := boottime.Now()
	l.mu.Lock()
	if server := l.takeSpare(servers, now); server != "" {
		l.mu.Unlock()
		return ratelimit.Grant{Server: server}
	}
	servers = slices.DeleteFunc(slices.Clone(servers), func(id string) bool { return l.deniedUntil[id] > now+max(maxWait, 0) })
	askAfter := l.askAfter
	l.mu.Unlock()
	if len(servers) == 0 {
		return ratelimit.Grant{Wait: l.nextPermission(now)}
	}
	leader := l.leader()
	if leader == "" || askAfter > now {
		return l.useOwnShare(servers, now)
	}
	grant, err := l.ask(ctx, leader, servers, maxWait, now)
	if err != nil && ctx.Err() != nil {
		return ratelimit.Grant{Wait: retryAfter} // the request has ended, which says nothing about the leader
	}
	if err != nil {
		l.events.Log().WithError(err).WithField("leader", leader).Info("cannot get a permission to send a request to a limited server")
		l.mu.Lock()
		l.askAfter = now + leaderFailurePause
		l.mu.Unlock()
		return l.useOwnShare(servers, now)
	}
	return grant
}

// takeSpare uses a spare permission for one of the servers and returns its ID, or an empty string. The caller holds the
// mutex.
func (l *limiter) takeSpare(servers []string, now time.Duration) string {
	for _, id := range servers {
		switch s, ok := l.spare[id]; {
		case !ok:
		case s.count == 0 || s.until < now:
			delete(l.spare, id)
		default:
			s.count--
			l.spare[id] = s
			return id
		}
	}
	return ""
}

// nextPermission returns the time until the first of the servers that denied a permission has one.
func (l *limiter) nextPermission(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := now + retryAfter
	for _, until := range l.deniedUntil {
		if until > now {
			next = min(next, until)
		}
	}
	return next - now
}

// ask asks the leader for a permission.
func (l *limiter) ask(ctx context.Context, leader string, servers []string, maxWait, now time.Duration) (ratelimit.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, permissionCallTimeout)
	defer cancel()
	q := coordinator.PermissionRequest{VM: l.vm, Servers: servers, MaxWait: maxWait}
	q.SinceContact, _ = l.contact(now)
	for _, id := range servers {
		if limit, known := l.table.Lookup(id, now); known {
			q.Limits = append(q.Limits, limit)
		}
	}
	r, err := coordinator.RequestPermission(ctx, l.client, leader, q)
	if err != nil {
		return ratelimit.Grant{}, err
	}
	l.recordContact(now, r.Members)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Grant.Server == "":
		for _, id := range servers {
			l.deniedUntil[id] = now + r.Grant.Wait
		}
	case r.Grant.Spare > 0:
		l.spare[r.Grant.Server] = sparePermissions{r.Grant.Spare, now + ratelimit.PermissionLifetime}
	}
	return r.Grant, nil
}

// useOwnShare gives a permission of this VM's share, if it has had no contact with the leader for long enough.
func (l *limiter) useOwnShare(servers []string, now time.Duration) ratelimit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == 0 || now-l.contactAt < ratelimit.OwnShareAfter {
		return ratelimit.Grant{Wait: retryAfter}
	}
	for _, id := range servers {
		if perSecond, limited := l.table.Get(id); !limited || l.shares.Take(id, perSecond, l.members, now) {
			return ratelimit.Grant{Server: id}
		}
	}
	return ratelimit.Grant{Wait: retryAfter}
}

// recordContact records that a leader answered a call that was sent at boot time sentAt, and the number of VMs that
// share the limits.
func (l *limiter) recordContact(sentAt time.Duration, members int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contactAt = max(l.contactAt, sentAt)
	l.members = members
}

// contact returns the time since the last contact with a leader and the number of VMs that it told.
func (l *limiter) contact(now time.Duration) (since time.Duration, members int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now - l.contactAt, l.members
}

// applyFollowReply takes over what the leader knows of the limits and drops those of servers that are gone.
func (l *limiter) applyFollowReply(r *coordinator.FollowReply, sentAt time.Duration, present func(server string) bool) {
	l.recordContact(sentAt, r.Members)
	if r.LimitsSent {
		l.table.Merge(r.Limits, boottime.Now())
	}
	if r.ServersSent {
		l.table.Retain(present)
		l.mu.Lock()
		defer l.mu.Unlock()
		maps.DeleteFunc(l.deniedUntil, func(server string, _ time.Duration) bool { return !present(server) })
		maps.DeleteFunc(l.spare, func(server string, _ sparePermissions) bool { return !present(server) })
	}
}

// reportLoop tells the leader the limits that this VM learned from responses, until ctx ends. An answer that is lost
// does no harm: the leader keeps the newest statement of each server.
func (l *limiter) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		}
		if err := l.report(ctx); err != nil {
			l.events.Log().WithError(err).Info("cannot report the limits of servers to the leader; trying again")
			forward.SleepWithJitter(ctx, leaderRetryDelay)
			l.wakeReports()
		}
	}
}

func (l *limiter) report(ctx context.Context) error {
	list, _ := l.table.List(boottime.Now())
	if len(list) == 0 {
		return nil
	}
	leader := l.leader()
	if leader == "" {
		return errs.New(errs.Unavailable, "check the VMs that hold the state", "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, limitReportTimeout)
	defer cancel()
	return coordinator.ReportLimits(ctx, l.client, leader, coordinator.LimitsReport{VM: l.vm, Limits: list})
}
