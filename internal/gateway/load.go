package gateway

import (
	"time"

	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/events"
)

// loadReporter exchanges the load of the servers with the leader.
type loadReporter struct {
	tracker *balance.Tracker
	events  *events.Recorder
	// current is true while the leader's sums are in use.
	current bool
}

func newLoadReporter(o Options) *loadReporter {
	return &loadReporter{tracker: balance.NewTracker(o.Name, o.FailureDomain, o.BalancesLoad), events: o.Events}
}

// report returns what the next call to the leader of the term tells it, or nil.
func (l *loadReporter) report(term uint64, now time.Duration) *balance.Report {
	l.note(l.tracker.Current(now))
	return l.tracker.Report(term, now)
}

// apply takes over what the leader tells.
func (l *loadReporter) apply(r *coordinator.FollowReply) {
	now := boottime.Now()
	if err := l.tracker.Apply(r.Load, r.Term, now); err != nil {
		l.events.Log().WithError(err).Warn("the load of the servers from the leader is ignored")
	}
	l.note(l.tracker.Current(now))
}

// note records whether choices use the leader's sums, when that changes.
func (l *loadReporter) note(current bool) {
	if current == l.current {
		return
	}
	l.current = current
	event := events.Event{Name: events.LoadKnown, Detail: "servers are chosen by the requests of all VMs"}
	if !current {
		event = events.Event{Name: events.LoadUnknown, Detail: "servers are chosen by the requests of this VM alone"}
	}
	l.events.Record(event)
}
