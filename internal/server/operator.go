package server

import (
	"context"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/operator"
)

func (vm *VM) registerOperator() {
	operator.Register(vm.internal, operator.Options{
		VM: vm.self.ID, Control: vm.control, Events: vm.events, Peers: vm.client,
		Servers: vm.serverViews, Status: vm.status, Propagation: vm.reach, Drain: vm.startDrain, Shutdown: vm.stop,
		Records: vm.control,
	})
}

func (vm *VM) startDrain() { vm.drainOnce.Do(func() { close(vm.draining) }) }

func (vm *VM) stop() { vm.stopOnce.Do(func() { close(vm.stopped) }) }

func (vm *VM) reach(ctx context.Context, version uint64) ([]api.VM, error) {
	answer, err := vm.control.Propagation(ctx, version)
	if err == nil && !answer.Settled {
		err = errs.New(errs.Unavailable, "ask again in a few seconds", "the control leader is new and does not know all VMs yet")
	}
	return answer.Waiting, err
}

func (vm *VM) serverViews() []operator.ServerView {
	now := vm.clock()
	var out []operator.ServerView
	for _, s := range vm.registry.AllServers() {
		a := s.Announcement()
		out = append(out, operator.ServerView{
			ID: a.ID, Pool: a.Pool, Domain: a.Domain, Address: a.Address, State: a.State, Usable: s.Usable(now),
			Model: a.Model, CurrentVersion: a.Current, LoadedVersions: a.Loaded, Capacity: a.Capacity, InFlight: int(s.InFlight()),
			Load: a.Load, SinceRenewalMS: s.Age(now).Milliseconds(), Fencing: a.Fencing,
		})
	}
	return out
}

func (vm *VM) status() operator.Status {
	s := operator.Status{
		VM: vm.self, Started: vm.started, Ready: vm.hasTable.Load() && !vm.front.Draining(), Draining: vm.front.Draining(),
		Running: vm.dispatcher.InFlight(), TableLeaseValid: vm.control.TableLeaseValid(), TableVersion: vm.control.Table().Version(),
		VMs: vm.control.VMs(), CertificateExpires: vm.identity.Identity().NotAfter, Traffic: vm.counters.Snapshot(),
		Servers: vm.usableServers(),
	}
	for _, w := range vm.cfg.Warnings() {
		s.Warnings = append(s.Warnings, w.String())
	}
	if vm.replica != nil {
		s.Replica = vm.replica.view()
		for _, p := range vm.replica.replica.Status().PlacementProblems {
			s.Warnings = append(s.Warnings, p.Text)
		}
	}
	return s
}

func (vm *VM) usableServers() int {
	now := vm.clock()
	n := 0
	for _, s := range vm.registry.AllServers() {
		if s.Usable(now) {
			n++
		}
	}
	return n
}

func (n *replicaNode) view() *operator.ReplicaStatus {
	s := n.replica.Status()
	view := &operator.ReplicaStatus{Role: string(s.Role), Leader: s.LeaderName, Term: s.Term, Applied: s.Applied, Commit: s.Commit}
	for _, m := range s.Members {
		view.Members = append(view.Members, operator.MemberView{
			ID: m.ID, VM: api.VMID(m.Name), Domain: api.FailureDomain(m.FailureDomain), Voter: m.Voter, Applied: m.MatchIndex,
		})
	}
	return view
}
