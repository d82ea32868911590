package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/usage"
)

const (
	// usageInterval is the time from the first count that is not reported to its report, per usageVMs entry VMs, so that the
	// leader gets about a thousand reports a second at most. The counts of one interval are lost with a killed VM.
	usageInterval = 50 * time.Millisecond
	usageVMs      = 54
	// usageReportTimeout limits a report. A commit takes some milliseconds, and the leader gathers reports for 100 ms.
	usageReportTimeout = time.Second
	// maxUsageReports is the number of reports in progress. Each one holds all counts that are not acknowledged.
	maxUsageReports = 8
	// usageRetryDelay is the longest delay before the next report after one failed.
	usageRetryDelay = 500 * time.Millisecond
)

// usageReporter counts the requests of workspaces and reports the counts to the leader. It implements forward.Usage.
type usageReporter struct {
	vm      string
	client  *link.Client
	leader  func() string // address of the leader, or an empty string
	events  *events.Recorder
	counter *usage.Counter
	running chan struct{} // holds an element for each report in progress
	members atomic.Int64  // entry VMs, as the leader told
	failing atomic.Bool   // the last report failed

	mu    sync.Mutex
	clock usage.MemberClock
}

func newUsageReporter(o Options, client *link.Client, leader func() string) *usageReporter {
	return &usageReporter{
		vm: o.Name, client: client, leader: leader, events: o.Events,
		counter: usage.NewCounter(max(rand.Uint64(), 1)), running: make(chan struct{}, maxUsageReports),
	}
}

// Count implements forward.Usage.
func (r *usageReporter) Count(workspace string) forward.UsageCount {
	return r.counter.NewRequest(workspace)
}

// addTo adds what the leader needs for the agreed time and for closing windows to a follow request.
func (r *usageReporter) addTo(q *coordinator.FollowRequest) {
	r.mu.Lock()
	q.Delay = r.clock.Delay()
	r.mu.Unlock()
	q.UsageInstance, q.UsageWatermark = r.counter.Instance(), r.counter.Watermark(boottime.Now())
}

// applyFollowReply takes over the length of the windows and the agreed time.
func (r *usageReporter) applyFollowReply(reply *coordinator.FollowReply, sentAt, receivedAt time.Duration) {
	r.members.Store(int64(reply.Members))
	if reply.UsageWindow <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Record(reply.AgreedTime, sentAt, receivedAt, reply.Held)
	offset, known := r.clock.Offset()
	r.counter.SetTime(reply.UsageWindow, offset, known)
}

// interval returns the time from the first count that is not reported to its report.
func (r *usageReporter) interval() time.Duration {
	return time.Duration(float64(usageInterval) * max(float64(r.members.Load())/usageVMs, 1))
}

// loop reports the counts until ctx ends.
func (r *usageReporter) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.counter.Changed():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.interval()):
		}
		if n := r.counter.TakeDropped(); n > 0 {
			r.events.Log().WithField("requests", n).Error("counts of requests are dropped, because no leader took them for too long; the usage of their workspaces is too low")
		}
		if r.failing.Load() && len(r.running) > 0 {
			continue // one report at a time tries again, and its end wakes the loop
		}
		select {
		case r.running <- struct{}{}:
			go r.report(ctx)
		default: // the end of a report in progress wakes the loop
		}
	}
}

// report sends all counts that are not acknowledged. A repeated report does no harm: the replicated state knows the sequence
// number of the last delta.
func (r *usageReporter) report(ctx context.Context) {
	err := r.send(ctx)
	if err != nil && r.failing.CompareAndSwap(false, true) {
		r.events.Log().WithError(err).Info("cannot report the usage of workspaces to the leader; trying again")
	}
	if err != nil {
		forward.SleepWithJitter(ctx, usageRetryDelay)
	} else if r.failing.CompareAndSwap(true, false) {
		r.events.Log().Info("the usage of workspaces is reported to the leader again")
	}
	<-r.running
	if err != nil || r.counter.Pending() {
		r.counter.Wake()
	}
}

func (r *usageReporter) send(ctx context.Context) error {
	deltas := r.counter.Deltas()
	if len(deltas) == 0 {
		return nil
	}
	leader := r.leader()
	if leader == "" {
		return errs.New(errs.Unavailable, "check the VMs that hold the state", "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	q := coordinator.UsageRequest{VM: r.vm, Length: r.counter.Length(), Deltas: deltas, Instance: r.counter.Instance(), Watermark: r.counter.Watermark(boottime.Now())}
	if err := coordinator.ReportUsage(ctx, r.client, leader, q); err != nil {
		return err
	}
	r.counter.Acknowledge(deltas[len(deltas)-1].Sequence)
	return nil
}

// finish reports what is left before the process ends, until ctx ends. Then the leader no longer waits for this VM.
func (r *usageReporter) finish(ctx context.Context) {
	if r.counter.Length() == 0 {
		return // the leader wants no counts
	}
	for ctx.Err() == nil {
		err := r.send(ctx)
		if err == nil && !r.counter.Pending() {
			q := coordinator.UsageRequest{VM: r.vm, Length: r.counter.Length(), Instance: r.counter.Instance(), Watermark: math.MaxInt64}
			if err = coordinator.ReportUsage(ctx, r.client, r.leader(), q); err == nil {
				return
			}
		}
		if err != nil {
			r.events.Log().WithError(err).Info("cannot report the last usage of workspaces to the leader; trying again")
			forward.SleepWithJitter(ctx, leaderRetryDelay)
		}
	}
	r.events.Log().Warn("the usage of workspaces may lack the last requests of this VM")
}

// usageFinishTimeout limits FinishUsage.
const usageFinishTimeout = 500 * time.Millisecond

// FinishUsage reports the last counts of requests before the process ends.
func (g *Gateway) FinishUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), usageFinishTimeout)
	defer cancel()
	g.usage.finish(ctx)
}
