package gateway

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/suspects"
)

const (
	// suspectsReportTimeout limits a call that reports lost servers. The leader connects to each of them.
	suspectsReportTimeout = time.Second
	// maxUnreported bounds the reports that wait for a leader. The oldest give way.
	maxUnreported = 1024
)

// suspectReporter tells the leader the servers that this VM lost while they ran requests, which spreads them to all VMs.
type suspectReporter struct {
	vm       string
	client   *link.Client
	leader   func() string // address of the leader, or an empty string
	events   *events.Recorder
	suspects *forward.Suspects
	// changed wakes loop. It holds at most one element.
	changed chan struct{}

	mu         sync.Mutex
	unreported []suspects.Report
}

func newSuspectReporter(o Options, client *link.Client, leader func() string) *suspectReporter {
	r := &suspectReporter{vm: o.Name, client: client, leader: leader, events: o.Events, changed: make(chan struct{}, 1)}
	r.suspects = forward.NewSuspects(forward.SuspectsOptions{Prober: o.Prober, Events: o.Events, Clock: boottime.Now, Changed: r.queue})
	return r
}

// queue queues reports for the leader.
func (r *suspectReporter) queue(reports []suspects.Report) {
	r.mu.Lock()
	r.unreported = append(r.unreported, reports...)
	if excess := len(r.unreported) - maxUnreported; excess > 0 {
		r.events.Log().WithField("dropped", excess).Warn("too many reports of lost servers wait for a leader; the oldest are dropped")
		r.unreported = r.unreported[excess:]
	}
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// loop reports to the leader until ctx ends. A report whose answer is lost is sent again: the leader keeps a set.
func (r *suspectReporter) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		}
		r.mu.Lock()
		reports := r.unreported
		r.unreported = nil
		r.mu.Unlock()
		if err := r.report(ctx, reports); err != nil {
			r.events.Log().WithError(err).Info("cannot report lost servers to the leader; trying again")
			forward.SleepWithJitter(ctx, leaderRetryDelay)
			r.queue(reports)
		}
	}
}

func (r *suspectReporter) report(ctx context.Context, reports []suspects.Report) error {
	if len(reports) == 0 {
		return nil
	}
	leader := r.leader()
	if leader == "" {
		return errs.New(errs.Unavailable, "check the VMs that hold the state", "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, suspectsReportTimeout)
	defer cancel()
	reply, err := coordinator.ReportSuspects(ctx, r.client, leader, coordinator.SuspectsReport{VM: r.vm, Reports: reports})
	if err != nil {
		return err
	}
	r.merge(reply.Reports)
	return nil
}

// merge takes over what the leader knows.
func (r *suspectReporter) merge(reports []suspects.Report) {
	now := boottime.Now()
	for _, report := range reports {
		r.suspects.Table().Merge(report, now)
	}
	r.suspects.Table().Expire(now)
}
