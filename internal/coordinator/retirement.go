package coordinator

import (
	"context"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/rollout"
)

// Retire starts to remove a VM from the replication group. Errors are of the kinds errs.NotFound and errs.Conflict. A request that is
// held up on its way to the leader retires nothing: the caller was told that it failed. So that the leader can tell, the VM first asks
// it for its term and its clock, and returns both with the request.
func (n *Node) Retire(ctx context.Context, vm string) error {
	askItself := func(s *session, ctx context.Context, q Empty) (LeaderReply, error) {
		return s.node.handleLeader(ctx, q)
	}
	leader, err := callLeader(ctx, n, methodLeader, askItself, Empty{})
	if err == nil && !leader.IsLeader {
		err = errs.New(errs.Unavailable, "send the request again", "the leader that %s knows does not lead any more", n.opts.Name)
	}
	if err != nil {
		return err
	}
	_, err = callLeader(ctx, n, methodRetire, (*session).retire, RetireRequest{VM: vm, Term: leader.Term, LeaderTime: leader.Time})
	return err
}

// Retired reports whether a retired VM has left the replication group, so that it can be taken away without loss of
// state.
func (n *Node) Retired(ctx context.Context, vm string) (bool, error) {
	r, err := callLeader(ctx, n, methodRetired, (*session).retired, RetireRequest{VM: vm})
	return r.Done, err
}

// RefuseAbandoned records that a call is not carried out, because its caller no longer waits for the answer.
func (n *Node) RefuseAbandoned(call string) error {
	err := errs.New(errs.Canceled, "keep the connection open until the answer", "the caller of %q does not wait for the answer", call)
	n.opts.Events.Record(events.Event{Name: events.RequestCanceled, Detail: err.Error()})
	return err
}

func (s *session) retire(ctx context.Context, q RetireRequest) (Empty, error) {
	// The term is 0 in a request of an older build, whose age is not known.
	if late := boottime.Now() - q.LeaderTime; q.Term != 0 && (q.Term != s.term || late > callTimeout) {
		err := errs.New(errs.Unavailable, "send the request again", "the request to retire %q arrived %s after the leader of term %d was asked, in term %d", q.VM, late.Round(time.Millisecond), q.Term, s.term)
		s.record(events.Event{Name: events.RequestRefused, Detail: err.Error()})
		return Empty{}, err
	}
	status := s.node.replica.Status()
	retired := s.node.state.Retired()
	remaining, known := 0, false
	for _, m := range status.Members {
		known = known || m.Name == q.VM
		if m.Name != q.VM && !retired[m.Name] && (m.Voter || m.Learner) {
			remaining++
		}
	}
	for _, vm := range status.Standby {
		known = known || vm == q.VM
		if vm != q.VM && !retired[vm] {
			remaining++ // it joins when a member is retired
		}
	}
	if retired[q.VM] {
		return Empty{}, s.checkLeadership()
	}
	if !known {
		return Empty{}, errs.New(errs.NotFound, "check the VM's name", "VM %q holds no replicated state", q.VM)
	}
	// FaultTolerance losses must leave a majority of the remaining VMs.
	if remaining < 2*s.node.opts.FaultTolerance+1 {
		return Empty{}, errs.New(errs.Conflict, "add a VM first", "only %d VMs with replicated state would remain", remaining)
	}
	if _, err := s.node.propose(ctx, rollout.Command{Retire: &rollout.Retirement{VM: q.VM}}); err != nil {
		return Empty{}, err
	}
	s.record(events.Event{Name: events.RetirementStarted, Detail: q.VM})
	return Empty{}, nil
}

// retired reports whether a VM has left the membership, so that nothing depends on its disk.
func (s *session) retired(_ context.Context, q RetireRequest) (RetireReply, error) {
	status := s.node.replica.Status()
	for _, m := range status.Members {
		if m.Name == q.VM {
			return RetireReply{}, s.checkLeadership()
		}
	}
	if !s.node.state.Retired()[q.VM] {
		return RetireReply{}, errs.New(errs.NotFound, "retire the VM first", "VM %q is not being retired", q.VM)
	}
	return RetireReply{Done: true}, s.checkLeadership()
}
