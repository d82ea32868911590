package server

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/backend"
	"filbertledge/internal/config"
	"filbertledge/internal/control"
	"filbertledge/internal/events"
	"filbertledge/internal/pki"
	"filbertledge/internal/raft"
	"filbertledge/internal/replica"
	"filbertledge/internal/transport"
	"filbertledge/internal/weights"
)

const (
	methodRaft      = "raft.message"
	methodBootstrap = "raft.bootstrap"
	methodJoin      = "raft.join"
	// loadTarget is the time within which a load should end; it bounds how many engines load at once.
	loadTarget = 30 * time.Second
)

// replicaNode is the control replica of a VM with what runs only beside one.
type replicaNode struct {
	replica *replica.Replica
	server  *control.Server
	orders  *weights.Controller
	staged  *stagedVersions
}

func openReplica(vm *VM) (*replicaNode, error) {
	machine := control.NewStateMachine()
	n := &replicaNode{staged: newStagedVersions(vm)}
	var err error
	n.replica, err = replica.Open(replica.Options{
		Folder: vm.cfg.VM.DataDir, Self: self(vm.cfg), Peers: peers(vm.cfg), StateMachine: machine,
		Sender: sender{vm.client, n},
		Bootstrap: func(ctx context.Context, addr string, q replica.BootstrapRequest) (replica.BootstrapReply, error) {
			return transport.Call[replica.BootstrapRequest, replica.BootstrapReply](ctx, vm.client, addr, methodBootstrap, q)
		},
		Join: func(ctx context.Context, addr string, q replica.JoinRequest) (replica.JoinReply, error) {
			return transport.Call[replica.JoinRequest, replica.JoinReply](ctx, vm.client, addr, methodJoin, q)
		},
		Events: vm.events,
	})
	if err != nil {
		return nil, err
	}
	n.server = control.NewServer(control.ServerOptions{
		Machine: machine, Replica: agreement{n.replica}, SendRPC: vm.client.Call, Clock: vm.clock,
		Events: vm.events, Metrics: vm.metrics,
	})
	n.orders = weights.NewController(weights.ControllerOptions{
		EngineClient: engines{vm}, Leadership: leadership{vm, n.replica}, Servers: vm.orderedServers, Targets: func() map[string]weights.Target { return vm.targets(n.staged) },
		MaxConcurrentLoads: vm.maxLoads, LeaseDuration: raft.DefaultLeaderLease, Events: vm.events, Metrics: vm.metrics,
	})
	return n, nil
}

func (n *replicaNode) handle(vm *VM) {
	vm.internal.Handle(methodRaft, pki.RoleVM, func(_ context.Context, _ transport.Peer, message []byte) ([]byte, error) {
		n.replica.Receive(message)
		return nil, nil
	})
	transport.Handle(vm.internal, methodBootstrap, pki.RoleVM,
		func(ctx context.Context, _ transport.Peer, q replica.BootstrapRequest) (replica.BootstrapReply, error) {
			return n.replica.HandleBootstrap(ctx, q)
		})
	transport.Handle(vm.internal, methodJoin, pki.RoleVM,
		func(ctx context.Context, _ transport.Peer, q replica.JoinRequest) (replica.JoinReply, error) {
			return n.replica.HandleJoin(ctx, q)
		})
	vm.handleAll(n.server.Handlers())
}

func (n *replicaNode) start(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	wg.Go(func() { report(failed, n.replica.Run(ctx)) })
	wg.Go(func() { n.server.Run(ctx) })
	wg.Go(func() { n.orders.Run(ctx) })
	wg.Go(func() { n.staged.run(ctx, n.replica.HoldsLease) })
}

func (n *replicaNode) close(r *events.Recorder) {
	if err := n.replica.Close(); err != nil {
		r.Log().WithError(err).Error("control replica was not closed cleanly")
	}
}

func memberOf(r config.Replica) raft.Member {
	return raft.Member{Name: string(r.Name), FailureDomain: string(r.FailureDomain), Address: r.Address}
}

func self(cfg *config.Config) raft.Member {
	own, _ := cfg.OwnReplica() // openReplica is called only on VMs in the list
	return memberOf(own)
}

func peers(cfg *config.Config) []raft.Member {
	list := make([]raft.Member, 0, len(cfg.Control.Replicas))
	for _, r := range cfg.Control.Replicas {
		list = append(list, memberOf(r))
	}
	return list
}

// sender sends Raft messages as one-way messages of the transport.
type sender struct {
	client *transport.Client
	node   *replicaNode
}

// Send implements replica.Sender.
func (s sender) Send(to uint64, data []byte) {
	if addr := s.node.replica.AddressOf(to); addr != "" {
		s.client.Send(addr, methodRaft, data)
	}
}

// agreement is the replica as package control sees it.
type agreement struct{ *replica.Replica }

// LeaderAddress implements control.Replica.
func (a agreement) LeaderAddress() string { return a.Status().LeaderAddress }

// IsLeader implements control.Replica.
func (a agreement) IsLeader() bool { return a.HoldsLease() }

// leadership is the replica as package weights sees it.
type leadership struct {
	vm *VM
	*replica.Replica
}

// AcquireFencingToken implements weights.Leadership.
func (l leadership) AcquireFencingToken(ctx context.Context) (uint64, error) {
	cmd := control.Command{IssueFencingToken: &control.IssueFencingToken{Replica: l.ID(), Term: l.Status().Term}}
	result, err := l.vm.control.Do(ctx, cmd)
	return result.FencingToken, err
}

// engines sends orders through the client of the engines.
type engines struct{ vm *VM }

// Order implements weights.Engines.
func (e engines) Order(ctx context.Context, address string, o weights.EngineOrder) error {
	return e.vm.backend.SendOrder(ctx, address, backend.Order{
		OrderID: o.ID.String(), Kind: backend.OrderKind(o.Kind), Model: o.Model, Version: o.Version, FencingToken: o.FencingToken,
	})
}

// State implements weights.Engines.
func (e engines) State(ctx context.Context, address string) (weights.EngineState, error) {
	s, err := e.vm.backend.FetchEngineState(ctx, address)
	return weights.EngineState{Current: s.CurrentVersion, Loaded: s.LoadedVersions}, err
}

// orderedServers returns the engines that may get orders.
func (vm *VM) orderedServers() []weights.Server {
	var out []weights.Server
	now := vm.clock()
	for _, s := range vm.registry.AllServers() {
		a := s.Announcement()
		if !a.Engine || !s.Usable(now) {
			continue
		}
		out = append(out, weights.Server{
			ID: a.ID, Address: a.Address, Pool: a.Pool, Model: a.Model, Current: a.Current, Loaded: a.Loaded, Fencing: a.Fencing,
		})
	}
	return out
}
