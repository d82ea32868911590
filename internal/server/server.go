// Package server wires one VM of the system: its settings, its connections to the other VMs, its control
// replica if it has one, and its HTTP API.
package server

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/caller"
	"filbertledge/internal/config"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/front"
	"filbertledge/internal/membership"
	"filbertledge/internal/metrics"
	"filbertledge/internal/pki"
	"filbertledge/internal/trainer"
	"filbertledge/internal/transport"
)

const (
	// trainerDrainTimeout bounds the wait for the control leader while a VM gives its groups away.
	trainerDrainTimeout  = 5 * time.Second
	metricsHeaderTimeout = 5 * time.Second
)

// VM is one running VM of the system.
type VM struct {
	cfg     *config.Config
	self    api.VM
	started time.Time

	events     *events.Recorder
	metrics    *metrics.Metrics
	identity   *pki.TLSSource
	counters   *transport.Counters
	internal   *transport.Server
	client     *transport.Client
	control    *control.RemoteClient
	registry   *membership.Registry
	backend    *backend.Client
	dispatcher *dispatch.Dispatcher
	caller     *caller.Handler
	trainer    *trainer.Service
	front      *front.Server
	replica    *replicaNode // nil without a control replica

	hasTable  atomic.Bool
	drainOnce sync.Once
	draining  chan struct{} // closed when a graceful shutdown is asked for
	stopOnce  sync.Once
	stopped   chan struct{} // closed when the process has to end without waiting
}

// Serve runs a VM until ctx ends, then shuts it down gracefully. It returns early if the VM cannot start, or
// after an operator drained it.
func Serve(ctx context.Context, cfg *config.Config) error {
	vm, err := newVM(cfg)
	if err != nil {
		return err
	}
	return vm.run(ctx)
}

func newVM(cfg *config.Config) (*VM, error) {
	started := time.Now()
	vm := &VM{
		cfg:      cfg,
		started:  started,
		draining: make(chan struct{}),
		stopped:  make(chan struct{}),
		counters: transport.NewCounters(),
		self: api.VM{
			ID: cfg.VM.Name, Domain: cfg.VM.FailureDomain, Address: cfg.Listen.Internal, HTTPAddress: cfg.Listen.HTTP,
			Incarnation: uint64(started.UnixNano()),
		},
	}
	for _, step := range []func() error{vm.openObservability, vm.openTransport, vm.openControl, vm.openServing} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return vm, nil
}

func (vm *VM) openObservability() error {
	vm.events = events.NewRecorder(vm.self.ID, os.Stderr)
	level, err := logrus.ParseLevel(vm.cfg.Log.Level)
	if err != nil {
		return errs.Wrap(err, errs.ConfigInvalid, "use debug, info, warn or error", "%s: log.level", vm.cfg.File)
	}
	vm.events.SetLevel(level)
	vm.metrics, err = metrics.New(vm.self.ID)
	return errs.Wrap(err, errs.Internal, "report this error", "metrics cannot be set up")
}

func (vm *VM) openTransport() error {
	var err error
	vm.identity, err = pki.NewTLSSource(vm.cfg.TLS.Files(), pki.TLSSourceOptions{
		OnReload: func(id pki.Identity) {
			vm.events.Record(events.Event{Name: events.CertificateLoaded, Detail: id.Name})
		},
		OnError: func(err error) { vm.events.Log().WithError(err).Error("changed certificate files are not used") },
		OnRefused: func(address string, err error) {
			vm.events.Record(events.Event{Name: events.CredentialRefused, Detail: address + ": " + err.Error()})
		},
	})
	if err != nil {
		return err
	}
	vm.internal, err = transport.NewServer(transport.ServerOptions{
		Address: vm.cfg.Listen.Internal, Identity: vm.identity, Counters: vm.counters,
		OnPermissionDenied: func(peer transport.Peer, method string) {
			vm.events.Record(events.Event{
				Name: events.CredentialRefused, Peer: api.VMID(peer.Name), Detail: "method " + method + " is not allowed for its role",
			})
		},
	})
	if err != nil {
		return err
	}
	vm.client, err = transport.NewClient(transport.ClientOptions{Identity: vm.identity, Counters: vm.counters})
	return err
}

func (vm *VM) openControl() error {
	replicas := make([]control.ReplicaAddress, 0, len(vm.cfg.Control.Replicas))
	for _, r := range vm.cfg.Control.Replicas {
		replicas = append(replicas, control.ReplicaAddress{Address: r.Address, Domain: r.FailureDomain})
	}
	vm.control = control.NewRemoteClient(control.RemoteClientOptions{
		VM: vm.self, Replicas: replicas, SendRPC: vm.client.Call, Clock: vm.clock, Events: vm.events,
		Loads: vm.loads,
	})
	if _, ok := vm.cfg.OwnReplica(); !ok {
		return nil
	}
	var err error
	vm.replica, err = openReplica(vm)
	return err
}

// clock is the monotonic clock of all leases. It goes on while the process is stopped by a signal.
func (vm *VM) clock() time.Duration { return time.Since(vm.started) }

func (vm *VM) openServing() error {
	vm.registry = membership.New(membership.Options{
		VM: vm.self.ID, Domain: vm.self.Domain, Now: vm.clock, VMs: vm.control.VMs, Send: vm.client.Send,
		Events: vm.events, Seed: vm.self.Incarnation,
	})
	vm.backend = backend.New(backend.Options{})
	vm.dispatcher = dispatch.New(dispatch.Options{
		FailureDomain: vm.self.Domain, Registry: vm.registry, Backend: vm.backend, Control: vm.control,
		InFlightShare: vm.share, Metrics: vm.metrics, Events: vm.events, Seed: vm.self.Incarnation,
	})
	vm.caller = caller.New(caller.Options{
		VM: vm.self.ID, Incarnation: vm.self.Incarnation, Control: vm.control, Dispatcher: vm.dispatcher,
		Metrics: vm.metrics, Events: vm.events,
	})
	vm.trainer = trainer.New(trainer.Options{
		VM: vm.self, Client: vm.control, Generator: vm.dispatcher, CallVM: vm.client.Call, InFlightShare: vm.share, Events: vm.events, Metrics: vm.metrics,
	})
	tokens := make(map[api.Pool]string, len(vm.cfg.Pools))
	for _, p := range vm.cfg.Pools {
		tokens[p.Name] = p.TokenSHA256
	}
	vm.front = front.New(front.Options{
		Handlers: []front.Handler{
			vm.caller.Handle,
			vm.trainer.HandleHTTP,
			backend.AnnounceHandler(backend.AnnounceOptions{Registry: vm.registry, TokenDigests: tokens, Events: vm.events}),
		},
		Ready: vm.hasTable.Load, InFlight: vm.caller.InFlight, DrainLimit: time.Duration(vm.cfg.Limits.Drain),
		Metrics: vm.metrics, Events: vm.events,
	})
	vm.handleInternal()
	return nil
}

// handleInternal registers the methods that other VMs and operators call.
func (vm *VM) handleInternal() {
	vm.internal.Handle(membership.GossipMethod, pki.RoleVM, func(_ context.Context, _ transport.Peer, message []byte) ([]byte, error) {
		vm.registry.Receive(message)
		return nil, nil
	})
	vm.handleAll(vm.trainer.RPCHandlers())
	if vm.replica != nil {
		vm.replica.handle(vm)
	}
	vm.registerOperator()
}

func (vm *VM) handleAll(handlers map[string]control.Handler) {
	for method, h := range handlers {
		vm.internal.Handle(method, pki.RoleVM, func(ctx context.Context, _ transport.Peer, request []byte) ([]byte, error) {
			return h(ctx, request)
		})
	}
}

// run serves until the VM is drained, stopped or fails.
func (vm *VM) run(ctx context.Context) error {
	httpListener, err := listen("listen.http", vm.cfg.Listen.HTTP)
	if err != nil {
		return err
	}
	metricsListener, err := listen("listen.metrics", vm.cfg.Listen.Metrics)
	if err != nil {
		return err
	}
	// The background work goes on while requests are drained, so it does not end with ctx.
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failed := make(chan error, 3)
	var wg sync.WaitGroup
	vm.startWork(work, &wg, failed)
	wg.Go(func() { vm.serveMetrics(work, metricsListener) })
	wg.Go(func() { report(failed, vm.front.Serve(httpListener)) })
	vm.events.Record(events.Event{Name: events.VMStarted, Detail: vm.cfg.File})

	err = vm.wait(ctx, failed)
	// After a failure or a stop without waiting, nothing else ends the HTTP server.
	_ = httpListener.Close()
	stopWork()
	wg.Wait()
	vm.close()
	vm.events.Record(events.Event{Name: events.VMStopped})
	return err
}

func (vm *VM) startWork(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	wg.Go(func() { report(failed, vm.internal.Serve(ctx)) })
	wg.Go(func() { vm.identity.Run(ctx) })
	wg.Go(func() { vm.control.Run(ctx) })
	wg.Go(func() { vm.registry.Run(ctx) })
	wg.Go(func() { vm.dispatcher.Run(ctx) })
	wg.Go(func() { vm.trainer.Run(ctx) })
	wg.Go(func() { vm.awaitTable(ctx) })
	if vm.replica != nil {
		vm.replica.start(ctx, wg, failed)
	}
}

// awaitTable makes the VM ready once it has confirmed a table. It stays ready when it is cut off later, because
// it goes on serving what an old table allows.
func (vm *VM) awaitTable(ctx context.Context) {
	if vm.control.WaitForTableLease(ctx) == nil {
		vm.hasTable.Store(true)
		vm.events.Record(events.Event{Name: events.VMReady})
	}
}

// wait blocks until the VM has to end, and drains it unless it failed or has to stop at once.
func (vm *VM) wait(ctx context.Context, failed <-chan error) error {
	select {
	case err := <-failed:
		return err
	case <-vm.stopped:
		return nil
	case <-vm.draining:
	case <-ctx.Done():
	}
	return vm.drain()
}

// drain ends the VM's requests without cutting any off. Rollouts are given to other VMs at the end, so that
// trainers can fetch finished samples from here for as long as customers' requests run.
func (vm *VM) drain() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-vm.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := vm.front.Drain(ctx)
	bounded, cancelBounded := context.WithTimeout(ctx, trainerDrainTimeout)
	defer cancelBounded()
	if drainErr := vm.trainer.Drain(bounded); drainErr != nil {
		vm.events.Log().WithError(drainErr).Warn("groups were not given away; other VMs adopt them once this VM counts as lost")
	}
	if releaseErr := vm.control.ReleaseShares(bounded, vm.awaitIdle); releaseErr != nil {
		vm.events.Log().WithError(releaseErr).Warn("shares were not given back; they are free once this VM has started again or is removed")
	}
	return err
}

func (vm *VM) close() {
	vm.backend.Close()
	if err := vm.client.Close(); err != nil {
		vm.events.Log().WithError(err).Debug("transport client")
	}
	if vm.replica != nil {
		vm.replica.close(vm.events)
	}
}

func (vm *VM) serveMetrics(ctx context.Context, ln net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", vm.metrics.Handler())
	s := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	_ = s.Serve(ln) // ends with http.ErrServerClosed
}

func listen(key, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	return ln, errs.Wrap(err, errs.ConfigInvalid, "use a free address of this VM", "%s = %q cannot be listened on", key, address)
}

// report hands a failure to run; a nil error is a normal end.
func report(failed chan<- error, err error) {
	if err == nil {
		return
	}
	select {
	case failed <- err:
	default:
	}
}
