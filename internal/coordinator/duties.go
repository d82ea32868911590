package coordinator

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/replica"
	"filbertledge/internal/rollout"
)

// DutyCall identifies the leader in a call that only one VM may make at a time.
type DutyCall struct {
	Holder       string
	FencingToken uint64
	// Permitted must be asked immediately before the call is written. If it returns false, the call must not be sent.
	Permitted func() bool
}

// UsageReport holds the requests of each workspace that servers began to run in a window.
type UsageReport struct {
	Window int64 // number of the window, counted from the start of 1970
	Counts map[string]int64
}

// CapacityOrder orders a number of servers of a service in a failure domain. Spot and other servers are ordered separately.
type CapacityOrder struct {
	Service       string
	FailureDomain string
	Servers       int
	Spot          bool
}

// Provider is the API of the provider for the duties of the leader. A call that fails with another kind of error than the
// ones named may still be carried out at any later time.
type Provider interface {
	// ReportUsage fails with errs.FencingTokenTooOld if the provider has seen a higher fencing token, and with
	// errs.Overloaded if it accepts no more calls at the moment.
	ReportUsage(ctx context.Context, call DutyCall, r UsageReport) error
	// OrderServers fails with errs.Unavailable if the failure domain has no such servers at the moment or the provider has seen
	// a higher fencing token, which the provider does not tell apart, and with errs.Overloaded as ReportUsage does.
	OrderServers(ctx context.Context, call DutyCall, o CapacityOrder) error
}

// DutyOptions configure the duties of the leader.
type DutyOptions struct {
	Provider Provider // nil if there are no duties
	// CallsPerSecond is the number of calls that the provider accepts from all VMs together; 0 means no limit.
	CallsPerSecond float64
	OrdersServers  bool
	Metrics        CapacityMetrics // may be nil
	ReportsUsage   bool
	UsageWindow    time.Duration
	// UsageDeadline is the time after the end of a window at which its report is due.
	UsageDeadline time.Duration
}

const (
	// dutyCallTimeout limits one call to the provider.
	dutyCallTimeout = 2 * time.Second
	// dutyRateShare is the share of CallsPerSecond that one leader uses, so that calls of its predecessor that are carried
	// out late do not exceed the limit.
	dutyRateShare = 0.5
)

// newDutyLimiter returns the limiter of the calls to the provider.
func newDutyLimiter(o DutyOptions) *rate.Limiter {
	if o.CallsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	perSecond := dutyRateShare * o.CallsPerSecond
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// callProvider makes one call to the provider as the holder of the leader's duties. It waits until no call of a former leader can
// arrive any more and until the rate allows the call. The call is aborted with the lease at the latest, so that the next
// leader, which counts its delay from then on, is not overtaken.
func (s *session) callProvider(call func(context.Context, DutyCall) error) error {
	if err := s.waitForHandover(); err != nil {
		return err
	}
	if err := s.dutyLimiter.Wait(s.ctx); err != nil {
		return errs.Wrap(err, errs.Canceled, "leave the duty to the next leader", "the leadership ended before the call")
	}
	if err := s.checkLeadership(); err != nil {
		return err
	}
	ctx, cancel := s.whileLeased(s.ctx, dutyCallTimeout)
	defer cancel()
	return call(ctx, DutyCall{Holder: s.node.opts.Name, FencingToken: s.term, Permitted: s.permitted})
}

// withinLease returns a context that ends after the timeout or with the leader's lease, whichever comes first.
func (s *session) withinLease(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(timeout, s.node.replica.LeaseLeft()))
}

// whileLeased returns a context that ends after the timeout, or when the leader's lease ends without having been renewed. The
// provider may take longer than a lease lasts: with withinLease, a call to it would never get its answer.
func (s *session) whileLeased(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	go func() {
		for s.permitted() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.node.replica.LeaseLeft()):
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// permitted reports whether this VM still leads. It is asked when a call of a duty or an order is written.
func (s *session) permitted() bool { return s.checkLeadership() == nil }

// handOver waits until servers and the provider no longer receive calls of the former leader, and then closes
// s.handedOver. If they enforce fencing, a former leader that was killed, suspended or cut off can send no more calls that
// they accept. A VM that regains its lease in the same term waits only once: a term has one leader, so no other VM has sent
// anything since. A slow disk can cost the lease several times in a row.
func (s *session) handOver() {
	delay := s.handOverDelay()
	s.record(events.Event{Name: events.OrderHandover, Detail: "orders begin after " + delay.Round(time.Millisecond).String()})
	sleep(s.ctx, delay)
	if s.ctx.Err() != nil {
		return
	}
	s.node.handedOverTerm.Store(s.term)
	close(s.handedOver)
}

func (s *session) handOverDelay() time.Duration {
	if s.node.handedOverTerm.Load() == s.term {
		return 0
	}
	if s.node.opts.EnginesEnforceFencing {
		return s.formerLeaderDelay()
	}
	// A leader that transfers its leadership may hold its lease, and have a call in flight, for up to leaderLease.
	return s.node.opts.OrderHandoverDelay + leaderLease
}

// waitForHandover waits until handOver has ended.
func (s *session) waitForHandover() error {
	select {
	case <-s.handedOver:
		return nil
	case <-s.ctx.Done():
		return s.leadershipLostError()
	}
}

// formerLeaderDelay asks the other VMs when they last were the leader, and returns how long to wait until none of their
// calls can still arrive.
func (s *session) formerLeaderDelay() time.Duration {
	ctx, cancel := context.WithTimeout(s.ctx, formerLeaderTimeout)
	defer cancel()
	var others []string
	for _, a := range s.node.replicas() {
		if a != s.node.opts.Address {
			others = append(others, a)
		}
	}
	delays := make(chan time.Duration, len(others))
	for _, address := range others {
		go func() {
			r, err := QueryLeader(ctx, s.node.client, address)
			if err != nil || !r.WasLeader {
				delays <- 0 // calls of a former leader that does not answer are not accepted
				return
			}
			delays <- s.node.opts.OrderHandoverDelay - r.SinceLeader
		}()
	}
	var longest time.Duration
	for range others {
		longest = max(longest, <-delays)
	}
	return longest
}

const (
	// memberVersionInterval is the time between two rounds in which the leader asks the members which version of the state
	// they understand.
	memberVersionInterval = time.Second
	// settledVersionInterval is the same if usage is not reported and all members understand the version of this build. A VM
	// may go back to an earlier build.
	settledVersionInterval = 5 * time.Second
)

// memberVersionLoop keeps the record of the versions that the members understand up to date until the leadership ends.
func (s *session) memberVersionLoop() {
	for s.ctx.Err() == nil {
		s.askMemberVersions()
		s.updateStateVersion()
		interval := memberVersionInterval
		if !s.node.opts.Duties.ReportsUsage && s.recordedStateVersion() >= rollout.StateVersion {
			interval = settledVersionInterval
		}
		sleep(s.ctx, interval)
	}
}

// askMemberVersions asks the members of the group and records what has changed. A member that does not answer keeps its
// record: the build of a VM changes only with its process.
func (s *session) askMemberVersions() {
	status := s.node.replica.Status()
	type answer struct {
		member, version uint64
		err             error
	}
	answers := make(chan answer, len(status.Members))
	ctx, cancel := context.WithTimeout(s.ctx, formerLeaderTimeout)
	defer cancel()
	for _, m := range status.Members {
		address := s.node.replica.AddressOf(m.ID)
		go func() {
			r, err := QueryLeader(ctx, s.node.client, address)
			answers <- answer{m.ID, r.StateVersion, err}
		}()
	}
	for range status.Members {
		a := <-answers
		if a.err != nil {
			continue
		}
		if version, known := s.node.state.MemberVersion(a.member); known && version == a.version {
			continue
		}
		if err := s.recordMemberVersion(rollout.MemberVersion{Member: a.member, Version: a.version}); err != nil {
			s.node.opts.Events.Log().WithError(err).Info("cannot record the version of the state that a member understands; trying again")
		}
	}
}

func (s *session) recordMemberVersion(v rollout.MemberVersion) error {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	_, err := s.node.propose(ctx, rollout.Command{MemberVersion: &v})
	return err
}

// updateStateVersion sets the version of the state that commands may require now.
func (s *session) updateStateVersion() {
	members := s.node.replica.Status().Members
	version := s.recordedStateVersion()
	if before := s.stateVersion.Swap(version); before == version {
		return
	}
	name := events.StateVersionInForce
	if version < rollout.StateVersion {
		name = events.StateVersionWithheld
	}
	s.record(events.Event{Name: name, Detail: fmt.Sprintf("%s: commands may require version %d of the state, this build understands %d, members %d", s.describe(), version, rollout.StateVersion, len(members))})
}

// stateVersionOf returns the highest version of the state that all members understand. A member of which nothing is known
// counts as one of a build that understands version 0.
func stateVersionOf(members []replica.MemberStatus, lookup func(member uint64) (uint64, bool)) uint64 {
	if len(members) == 0 {
		return 0
	}
	lowest := uint64(rollout.StateVersion)
	for _, m := range members {
		version, known := lookup(m.ID)
		if !known {
			return 0
		}
		lowest = min(lowest, version)
	}
	return lowest
}
