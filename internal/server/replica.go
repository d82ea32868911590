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
	raftMessageMethod   = "raft.message"
	raftBootstrapMethod = "raft.bootstrap"
	raftJoinMethod      = "raft.join"
	// targetLoadDuration is the time in which an engine should finish loading weights. It determines how many engines
	// load from the weight store at once.
	targetLoadDuration = 30 * time.Second
)

// replicaNode is the control replica of a VM and the components that run only on VMs with a replica.
type replicaNode struct {
	replica    *replica.Replica
	server     *control.Server
	controller *weights.Controller
	staged     *stagedVersions
}

func openReplica(vm *VM) (*replicaNode, error) {
	machine := control.NewStateMachine()
	n := &replicaNode{staged: newStagedVersions(vm)}
	var err error
	n.replica, err = replica.Open(replica.Options{
		Folder: vm.cfg.VM.DataDir, Self: selfMember(vm.cfg), Peers: replicaMembers(vm.cfg), StateMachine: machine,
		Sender: raftSender{vm.client, n},
		Bootstrap: func(ctx context.Context, addr string, q replica.BootstrapRequest) (replica.BootstrapReply, error) {
			return transport.Call[replica.BootstrapRequest, replica.BootstrapReply](ctx, vm.client, addr, raftBootstrapMethod, q)
		},
		Join: func(ctx context.Context, addr string, q replica.JoinRequest) (replica.JoinReply, error) {
			return transport.Call[replica.JoinRequest, replica.JoinReply](ctx, vm.client, addr, raftJoinMethod, q)
		},
		Events: vm.events,
	})
	if err != nil {
		return nil, err
	}
	n.server = control.NewServer(control.ServerOptions{
		Machine: machine, Replica: controlReplica{n.replica}, SendRPC: vm.client.Call, Clock: vm.clock,
		Events: vm.events, Metrics: vm.metrics,
	})
	n.controller = weights.NewController(weights.ControllerOptions{
		EngineClient: engineClient{vm}, Leadership: leaseHolder{vm, n.replica}, Servers: vm.engineServers, Targets: func() map[string]weights.Target { return vm.weightTargets(n.staged) },
		MaxConcurrentLoads: vm.maxConcurrentLoads, LeaseDuration: raft.DefaultLeaderLease, Events: vm.events, Metrics: vm.metrics,
	})
	return n, nil
}

func (n *replicaNode) registerMethods(vm *VM) {
	vm.internal.Handle(raftMessageMethod, pki.RoleVM, func(_ context.Context, _ transport.Peer, message []byte) ([]byte, error) {
		n.replica.Receive(message)
		return nil, nil
	})
	transport.Handle(vm.internal, raftBootstrapMethod, pki.RoleVM,
		func(ctx context.Context, _ transport.Peer, q replica.BootstrapRequest) (replica.BootstrapReply, error) {
			return n.replica.HandleBootstrap(ctx, q)
		})
	transport.Handle(vm.internal, raftJoinMethod, pki.RoleVM,
		func(ctx context.Context, _ transport.Peer, q replica.JoinRequest) (replica.JoinReply, error) {
			return n.replica.HandleJoin(ctx, q)
		})
	vm.registerHandlers(n.server.Handlers())
}

func (n *replicaNode) start(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	wg.Go(func() { sendFailure(failed, n.replica.Run(ctx)) })
	wg.Go(func() { n.server.Run(ctx) })
	wg.Go(func() { n.controller.Run(ctx) })
	wg.Go(func() { n.staged.run(ctx, n.replica.HoldsLease) })
}

func (n *replicaNode) close(r *events.Recorder) {
	if err := n.replica.Close(); err != nil {
		r.Log().WithError(err).Error("control replica was not closed cleanly")
	}
}

func raftMember(r config.Replica) raft.Member {
	return raft.Member{Name: string(r.Name), FailureDomain: string(r.FailureDomain), Address: r.Address}
}

func selfMember(cfg *config.Config) raft.Member {
	own, _ := cfg.OwnReplica() // openReplica is called only on VMs that are listed as replicas
	return raftMember(own)
}

func replicaMembers(cfg *config.Config) []raft.Member {
	list := make([]raft.Member, 0, len(cfg.Control.Replicas))
	for _, r := range cfg.Control.Replicas {
		list = append(list, raftMember(r))
	}
	return list
}

// raftSender implements replica.Sender with one-way messages of the transport.
type raftSender struct {
	client *transport.Client
	node   *replicaNode
}

// Send implements replica.Sender.
func (s raftSender) Send(to uint64, data []byte) {
	if addr := s.node.replica.AddressOf(to); addr != "" {
		s.client.Send(addr, raftMessageMethod, data)
	}
}

// controlReplica adapts the replica to control.Replica.
type controlReplica struct{ *replica.Replica }

// LeaderAddress implements control.Replica.
func (a controlReplica) LeaderAddress() string { return a.Status().LeaderAddress }

// IsLeader implements control.Replica.
func (a controlReplica) IsLeader() bool { return a.HoldsLease() }

// leaseHolder adapts the replica to weights.Leadership.
type leaseHolder struct {
	vm *VM
	*replica.Replica
}

// AcquireFencingToken implements weights.Leadership.
func (l leaseHolder) AcquireFencingToken(ctx context.Context) (uint64, error) {
	cmd := control.Command{IssueFencingToken: &control.IssueFencingToken{Replica: l.ID(), Term: l.Status().Term}}
	result, err := l.vm.control.Do(ctx, cmd)
	return result.FencingToken, err
}

// engineClient adapts the backend client to weights.EngineClient.
type engineClient struct{ vm *VM }

// Order implements weights.EngineClient.
func (e engineClient) Order(ctx context.Context, address string, o weights.EngineOrder) error {
	return e.vm.backend.SendOrder(ctx, address, backend.Order{
		OrderID: o.ID.String(), Kind: backend.OrderKind(o.Kind), Model: o.Model, Version: o.Version, FencingToken: o.FencingToken,
	})
}

// State implements weights.EngineClient.
func (e engineClient) State(ctx context.Context, address string) (weights.EngineState, error) {
	s, err := e.vm.backend.FetchEngineState(ctx, address)
	return weights.EngineState{Current: s.CurrentVersion, Loaded: s.LoadedVersions}, err
}

// engineServers returns the usable engines, which may receive orders to load or switch weights.
func (vm *VM) engineServers() []weights.Server {
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
