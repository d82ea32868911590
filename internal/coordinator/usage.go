package coordinator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/link"
	"filbertledge/internal/rollout"
	"filbertledge/internal/usage"
)

const (
	// usageGatherInterval is the time in which the leader gathers deltas into one command.
	usageGatherInterval = 100 * time.Millisecond
	// usageCloseShare is the share of Options.Duties.UsageDeadline after which a window is closed at the latest. The rest
	// is left for a change of the leader and for the report.
	usageCloseShare = 0.65
	// usageContactTime is how long a window waits for the watermark of an entry VM that is no longer in contact.
	usageContactTime = time.Minute
	// usageRetryDelay and maxUsageRetryDelay bound the time between two reports of a window.
	usageRetryDelay    = 200 * time.Millisecond
	maxUsageRetryDelay = time.Second
	// usageCatchUpTime is how long no window is closed after the counts could be committed for the first time: the entry VMs
	// have kept theirs, and repeat them once a second at least.
	usageCatchUpTime = 2 * time.Second
	// maxGatheredDeltas bounds the deltas of one command.
	maxGatheredDeltas = 8192
)

// UsageRequest reports the requests that an entry VM counted.
type UsageRequest struct {
	VM string `cbor:"1,keyasint"`
	// Length is the length of the windows by which the VM counts.
	Length time.Duration `cbor:"2,keyasint"`
	Deltas []usage.Delta `cbor:"3,keyasint,omitempty"`
	// Instance identifies the process. Watermark is the agreed time before which it has no counts that are not in the
	// replicated state, in nanoseconds since the start of 1970; 0 if it is unknown.
	Instance  uint64 `cbor:"4,keyasint"`
	Watermark int64  `cbor:"5,keyasint,omitempty"`
}

// ReportUsage sends counts to the leader at address. It returns nil once they are in the replicated state.
func ReportUsage(ctx context.Context, c *link.Client, address string, q UsageRequest) error {
	_, err := link.Call[UsageRequest, Empty](ctx, c, address, methodUsage, q)
	return err
}

// usageDuty is what the leader holds for the usage reports besides the replicated state.
type usageDuty struct {
	length   time.Duration // of a window
	deadline time.Duration
	// startedAt is the boot time at which the leadership began.
	startedAt time.Duration
	// withheldAt is the boot time at which the counts could last not be committed. Only usageLoop uses it.
	withheldAt time.Duration

	mu       sync.Mutex
	clock    *usage.GroupClock
	marks    map[uint64]usageMark // by instance
	gathered []usage.Delta
	waiting  []chan error // callers that wait for the commit of gathered
}

// usageMark is the last watermark of an entry VM.
type usageMark struct {
	time int64
	at   time.Duration // boot time
}

func newUsageDuty(o DutyOptions) *usageDuty {
	if !o.ReportsUsage || o.UsageWindow <= 0 {
		return nil
	}
	now, deadline := boottime.Now(), o.UsageDeadline
	if deadline <= 0 {
		deadline = 2 * o.UsageWindow
	}
	return &usageDuty{length: o.UsageWindow, deadline: deadline, startedAt: now, clock: usage.NewGroupClock(now), marks: map[uint64]usageMark{}}
}

// recordUsageContact records the time of day and the watermark of a VM that follows the leader.
func (s *session) recordUsageContact(q *FollowRequest, now time.Duration) {
	if s.usage == nil {
		return
	}
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	s.usage.clock.Record(q.VM, q.TimeOfDay, now)
	s.usage.recordMark(q.UsageInstance, q.UsageWatermark, now)
}

// recordMark records a watermark. The caller holds the mutex.
func (u *usageDuty) recordMark(instance uint64, watermark int64, now time.Duration) {
	if instance != 0 {
		u.marks[instance] = usageMark{max(watermark, u.marks[instance].time), now}
	}
}

// addAgreedTime adds the length of the windows and the agreed time to the reply to a follow request that arrived at the
// boot time arrived.
func (s *session) addAgreedTime(r *FollowReply, arrived time.Duration) {
	if s.usage == nil {
		return
	}
	r.UsageWindow = s.usage.length
	now := boottime.Now()
	if agreed := s.agreedTime(now); agreed > 0 {
		r.AgreedTime = agreed - int64(now-arrived-r.Held)
	}
}

// agreedTime returns the agreed time at the boot time now, or 0 if it is unknown.
func (s *session) agreedTime(now time.Duration) int64 {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	s.usage.clock.Record(s.node.opts.Name, time.Now().UnixNano(), now)
	agreed, known := s.usage.clock.Time(now)
	if !known {
		return 0
	}
	return agreed
}

// reportUsage takes the counts of an entry VM and returns once they are committed.
func (s *session) reportUsage(ctx context.Context, q UsageRequest) (Empty, error) {
	if s.usage == nil || q.Length != s.usage.length {
		return Empty{}, errs.New(errs.Unavailable, "report again once the leader's reply states these windows", "requests are not counted in windows of %s", q.Length)
	}
	if err := s.checkUsageVersion(); err != nil {
		return Empty{}, err
	}
	done := make(chan error, 1)
	s.usage.mu.Lock()
	if len(s.usage.gathered)+len(q.Deltas) > maxGatheredDeltas {
		s.usage.mu.Unlock()
		return Empty{}, errs.New(errs.Overloaded, "report again", "%d deltas wait for a commit", maxGatheredDeltas)
	}
	s.usage.gathered = append(s.usage.gathered, q.Deltas...)
	s.usage.waiting = append(s.usage.waiting, done)
	s.usage.recordMark(q.Instance, q.Watermark, boottime.Now())
	s.usage.mu.Unlock()
	select {
	case err := <-done:
		return Empty{}, err
	case <-ctx.Done():
		return Empty{}, errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "report again", "the counts were not committed in time")
	case <-s.ctx.Done():
		return Empty{}, s.leadershipLostError()
	}
}

// checkUsageVersion returns an error while a member of the group does not understand the commands of the counts.
func (s *session) checkUsageVersion() error {
	if s.stateVersion.Load() < usageStateVersion {
		return errs.New(errs.Unavailable, "report again after the upgrade of all VMs", "a VM that holds the state runs a build that does not count requests, or has not been asked yet")
	}
	return nil
}

// usageStateVersion is the version of the state that the commands of the counts require.
const usageStateVersion = 1

// proposeUsage commits a change of the counts and records what it dropped.
func (s *session) proposeUsage(c rollout.UsageChange) error {
	if err := s.checkUsageVersion(); err != nil {
		return err
	}
	c.Length = s.usage.length
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	o, err := s.node.propose(ctx, rollout.Command{Usage: &c, Requires: usageStateVersion})
	if err != nil {
		return err
	}
	for _, late := range o.LateUsage {
		s.record(events.Event{Name: events.UsageLate, Detail: fmt.Sprintf("window %d, workspace %s, %d requests: the window is closed, its report is fixed", late.Window, late.Workspace, late.Requests)})
	}
	return nil
}

// usageLoop commits the gathered deltas and closes windows until the leadership ends.
func (s *session) usageLoop() {
	ticker := time.NewTicker(usageGatherInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.commitDeltas()
		s.closeWindows(boottime.Now())
	}
}

// commitDeltas commits the gathered deltas. If that fails, the entry VMs repeat them.
func (s *session) commitDeltas() {
	s.usage.mu.Lock()
	deltas, waiting := s.usage.gathered, s.usage.waiting
	s.usage.gathered, s.usage.waiting = nil, nil
	s.usage.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	var err error
	if len(deltas) > 0 {
		err = s.proposeUsage(rollout.UsageChange{Deltas: deltas})
	}
	for _, done := range waiting {
		done <- err
	}
}

// closeWindows closes the windows whose counts are complete, or that must be closed for their report to be in time.
func (s *session) closeWindows(now time.Duration) {
	agreed := s.agreedTime(now)
	if s.checkUsageVersion() != nil {
		s.usage.withheldAt = now
		return
	}
	if agreed == 0 || now-s.usage.withheldAt < usageCatchUpTime {
		return
	}
	view := s.node.state.Usage(int64(usageContactTime / s.usage.length))
	if view.Length != s.usage.length {
		view.ClosedThrough, view.OldestOpen = 0, 0
	}
	mark, all := s.usage.lowestMark(view.Reporting, now)
	through, reason := s.usage.closable(agreed, mark, all)
	if through <= view.ClosedThrough || view.ClosedThrough == 0 && through < s.usage.firstWindow(agreed, now, view.OldestOpen) {
		return
	}
	if err := s.proposeUsage(rollout.UsageChange{CloseThrough: through}); err != nil {
		s.node.opts.Events.Log().WithError(err).Info("cannot close a window of the usage; trying again")
		return
	}
	for _, w := range s.node.state.Usage(0).Closed {
		if w.Window > view.ClosedThrough && w.Length == s.usage.length {
			s.record(events.Event{Name: events.UsageClosed, Detail: fmt.Sprintf("window %d, ended %s ago, %s: %s", w.Window, time.Duration(agreed-w.End()).Round(time.Millisecond), reason, describeCounts(w.Counts))})
		}
	}
}

// lowestMark returns the lowest watermark of the entry VMs in contact and of those that reported lately. all is false if no
// entry VM is in contact or one of those that reported lately has not called this leader.
func (u *usageDuty) lowestMark(reporting []uint64, now time.Duration) (lowest int64, all bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	all = true
	for _, instance := range reporting {
		if _, known := u.marks[instance]; !known {
			all = false
		}
	}
	first := true
	for instance, m := range u.marks {
		if now-m.at > usageContactTime {
			delete(u.marks, instance)
			continue
		}
		if first || m.time < lowest {
			lowest, first = m.time, false
		}
	}
	return lowest, all && !first
}

// closable returns the newest window that may be closed at the agreed time, and why.
func (u *usageDuty) closable(agreed, mark int64, allKnown bool) (through int64, reason string) {
	latest := agreed - int64(usageCloseShare*float64(u.deadline))
	through, reason = usage.WindowOf(latest, u.length)-1, "not all entry VMs have reported"
	if complete := usage.WindowOf(min(mark, agreed), u.length) - 1; allKnown && mark > 0 && complete >= through {
		return complete, "all entry VMs have reported"
	}
	return through, reason
}

// firstWindow returns the first window that is reported at all: the one in which the leadership began, or an older one with
// counts.
func (u *usageDuty) firstWindow(agreed int64, now time.Duration, oldestOpen int64) int64 {
	first := usage.WindowOf(agreed-int64(now-u.startedAt), u.length)
	if oldestOpen > 0 {
		first = min(first, oldestOpen)
	}
	return first
}

func describeCounts(counts map[string]int64) string {
	var parts []string
	for workspace, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", workspace, n))
	}
	if len(parts) == 0 {
		return "no requests"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// usageReportLoop reports the closed windows, the oldest first, until the leadership ends or the provider has seen a newer
// holder.
func (s *session) usageReportLoop() {
	delay := usageRetryDelay
	for s.ctx.Err() == nil {
		closed := s.node.state.Usage(0).Closed
		if len(closed) == 0 {
			sleep(s.ctx, usageGatherInterval)
			continue
		}
		err := s.reportWindow(closed[0])
		switch {
		case err == nil:
			delay = usageRetryDelay
			continue
		case s.ctx.Err() != nil:
			return
		case errs.Is(err, errs.FencingTokenTooOld):
			s.record(events.Event{Name: events.DutyStopped, Detail: fmt.Sprintf("usage reports, %s: %s", s.describe(), err)})
			return
		case s.checkLeadership() == nil:
			s.record(events.Event{Name: events.UsageFailed, Detail: fmt.Sprintf("window %d, %s: %s", closed[0].Window, s.describe(), err)})
		}
		sleep(s.ctx, delay)
		delay = min(2*delay, maxUsageRetryDelay)
	}
}

// reportWindow reports a closed window and then removes it. Its counts come from the replicated state only: a report after
// a lost answer, also that of another leader, holds the same counts.
func (s *session) reportWindow(w usage.ClosedWindow) error {
	counts := map[string]int64{} // never nil, also for a window without requests
	maps.Copy(counts, w.Counts)
	err := s.callProvider(func(ctx context.Context, call DutyCall) error {
		return s.node.opts.Duties.Provider.ReportUsage(ctx, call, UsageReport{Window: w.Window, Counts: counts})
	})
	if err != nil {
		return err
	}
	e := events.Event{Name: events.UsageReported, Detail: fmt.Sprintf("window %d, %s: %s", w.Window, s.describe(), describeCounts(w.Counts))}
	if agreed := s.agreedTime(boottime.Now()); agreed > 0 {
		since := time.Duration(agreed - w.End())
		e.Took = max(since, 1)
		e.Detail += ", " + since.Round(time.Millisecond).String() + " after its end"
		if since > s.usage.deadline {
			s.record(events.Event{Name: events.UsageOverdue, Detail: e.Detail})
		}
	}
	s.record(e)
	for s.ctx.Err() == nil {
		if err := s.proposeUsage(rollout.UsageChange{Remove: w.Window, RemoveLength: w.Length}); err == nil {
			return nil
		}
		sleep(s.ctx, usageRetryDelay)
	}
	return s.leadershipLostError()
}
