// Package server assembles one VM of the service from its settings: the connections to other VMs, the control replica
// if the VM has one, and the HTTP API.
package server

import (
	"context"
	"math"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/budget"
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
	// releaseTimeout bounds the wait for the control leader while a draining VM releases its groups and its shares of the
	// rows' in-flight limits.
	releaseTimeout = 5 * time.Second
	// heapPerCallerMemory is the memory limit of the Go runtime in relation to limits.caller_memory, and minHeap its lower bound.
	// The limit makes the garbage collector run before the heap has doubled while callers hold all that they may.
	heapPerCallerMemory = 2
	minHeap             = 96 << 20
	// bufferedBodiesShare is the part of limits.caller_memory, as a divisor, that responses of engines and services may hold
	// while they are read.
	bufferedBodiesShare = 2
	// maxFailures is the number of background tasks that report to run: the transport server, the HTTP server and the
	// control replica.
	maxFailures = 3
)

// VM is one running VM of the service.
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
	callers    *budget.Budget // of all listeners for HTTP
	control    *control.RemoteClient
	registry   *membership.Registry
	backend    *backend.Client
	dispatcher *dispatch.Dispatcher
	caller     *caller.Handler
	trainer    *trainer.Service
	front      *front.Server
	replica    *replicaNode // nil without a control replica

	hasTable          atomic.Bool
	drainOnce         sync.Once
	drainRequested    chan struct{} // closed when an operator requests a drain
	shutdownOnce      sync.Once
	shutdownRequested chan struct{} // closed when an operator requests a shutdown without waiting for requests
}

// Serve runs a VM until ctx ends, and then drains it. It returns earlier if the VM cannot start or fails, or after an
// operator drained it or shut it down.
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
		cfg:               cfg,
		started:           started,
		drainRequested:    make(chan struct{}),
		shutdownRequested: make(chan struct{}),
		counters:          transport.NewCounters(),
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
		OnError: func(err error) { vm.events.Log().WithError(err).Error("changed certificate files were not loaded") },
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
		Loads: vm.rowLoads,
	})
	if _, ok := vm.cfg.OwnReplica(); !ok {
		return nil
	}
	var err error
	vm.replica, err = openReplica(vm)
	return err
}

// clock is the monotonic clock of all leases. It also advances while a signal has suspended the process.
func (vm *VM) clock() time.Duration { return time.Since(vm.started) }

// openServing creates the components that serve requests.
func (vm *VM) openServing() error {
	vm.registry = membership.New(membership.Options{
		VM: vm.self.ID, Domain: vm.self.Domain, Now: vm.clock, VMs: vm.control.VMs, Send: vm.client.Send,
		Events: vm.events, Seed: vm.self.Incarnation,
	})
	vm.backend = backend.New(backend.Options{MaxBufferedBytes: int64(vm.cfg.Limits.CallerMemory) / bufferedBodiesShare})
	vm.dispatcher = dispatch.New(dispatch.Options{
		FailureDomain: vm.self.Domain, Registry: vm.registry, Backend: vm.backend, Control: vm.control,
		InFlightShare: vm.inFlightShare, Metrics: vm.metrics, Events: vm.events, Seed: vm.self.Incarnation,
	})
	vm.caller = caller.New(caller.Options{
		VM: vm.self.ID, Incarnation: vm.self.Incarnation, Control: vm.control, Dispatcher: vm.dispatcher,
		Metrics: vm.metrics, Events: vm.events,
	})
	vm.trainer = trainer.New(trainer.Options{
		VM: vm.self, Client: vm.control, Generator: vm.dispatcher, CallVM: vm.client.Call, InFlightShare: vm.inFlightShare, Events: vm.events, Metrics: vm.metrics,
	})
	tokens := make(map[api.Pool]string, len(vm.cfg.Pools))
	for _, p := range vm.cfg.Pools {
		tokens[p.Name] = p.TokenSHA256
	}
	if debug.SetMemoryLimit(-1) == math.MaxInt64 { // GOMEMLIMIT is not set
		debug.SetMemoryLimit(max(heapPerCallerMemory*int64(vm.cfg.Limits.CallerMemory), minHeap))
	}
	vm.callers = front.NewBudget(int64(vm.cfg.Limits.CallerMemory), 0)
	if err := vm.metrics.ObserveBudget(vm.callers); err != nil {
		return errs.Wrap(err, errs.Internal, "report this error", "metrics cannot be set up")
	}
	vm.front = front.New(front.Options{
		Handlers: []front.Handler{
			vm.caller.Handle,
			vm.trainer.HandleHTTP,
			backend.AnnounceHandler(backend.AnnounceOptions{Registry: vm.registry, TokenDigests: tokens, Events: vm.events}),
		},
		Ready: vm.hasTable.Load, InFlight: vm.caller.InFlight, DrainLimit: time.Duration(vm.cfg.Limits.Drain),
		Budget: vm.callers, Metrics: vm.metrics, Events: vm.events,
	})
	vm.registerInternalMethods()
	return nil
}

// registerInternalMethods registers the transport methods that other VMs and operators call.
func (vm *VM) registerInternalMethods() {
	vm.internal.Handle(membership.GossipMethod, pki.RoleVM, func(_ context.Context, _ transport.Peer, message []byte) ([]byte, error) {
		vm.registry.Receive(message)
		return nil, nil
	})
	vm.registerHandlers(vm.trainer.RPCHandlers())
	if vm.replica != nil {
		vm.replica.registerMethods(vm)
	}
	vm.registerOperatorMethods()
}

func (vm *VM) registerHandlers(handlers map[string]control.Handler) {
	for method, h := range handlers {
		vm.internal.Handle(method, pki.RoleVM, func(ctx context.Context, _ transport.Peer, request []byte) ([]byte, error) {
			return h(ctx, request)
		})
	}
}

// run serves until the VM is drained, shut down or fails.
func (vm *VM) run(ctx context.Context) error {
	httpListener, err := listen("listen.http", vm.cfg.Listen.HTTP)
	if err != nil {
		return err
	}
	metricsListener, err := listen("listen.metrics", vm.cfg.Listen.Metrics)
	if err != nil {
		return err
	}
	// Background tasks continue while requests are drained, so they do not end with ctx.
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, maxFailures)
	var wg sync.WaitGroup
	vm.startBackground(background, &wg, failed)
	wg.Go(func() { vm.serveMetrics(background, metricsListener) })
	wg.Go(func() { sendFailure(failed, vm.front.Serve(httpListener)) })
	vm.events.Record(events.Event{Name: events.VMStarted, Detail: vm.cfg.File})

	err = vm.waitAndDrain(ctx, failed)
	// After a failure or a shutdown without a drain, nothing else stops the HTTP server.
	_ = httpListener.Close()
	stopBackground()
	wg.Wait()
	vm.close()
	vm.events.Record(events.Event{Name: events.VMStopped})
	return err
}

func (vm *VM) startBackground(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	wg.Go(func() { sendFailure(failed, vm.internal.Serve(ctx)) })
	wg.Go(func() { vm.identity.Run(ctx) })
	wg.Go(func() { vm.control.Run(ctx) })
	wg.Go(func() { vm.registry.Run(ctx) })
	wg.Go(func() { vm.dispatcher.Run(ctx) })
	wg.Go(func() { vm.trainer.Run(ctx) })
	wg.Go(func() { vm.becomeReadyWithTable(ctx) })
	if vm.replica != nil {
		vm.replica.start(ctx, wg, failed)
	}
}

// becomeReadyWithTable makes the VM ready once it holds a table lease. The VM stays ready if it loses the connection to
// the control leader later, because it continues to serve what an old table allows.
func (vm *VM) becomeReadyWithTable(ctx context.Context) {
	if vm.control.WaitForTableLease(ctx) == nil {
		vm.hasTable.Store(true)
		vm.events.Record(events.Event{Name: events.VMReady})
	}
}

// waitAndDrain blocks until the VM fails, ctx ends, or an operator requests a drain or a shutdown. It drains the VM if
// ctx ended or a drain was requested.
func (vm *VM) waitAndDrain(ctx context.Context, failed <-chan error) error {
	select {
	case err := <-failed:
		return err
	case <-vm.shutdownRequested:
		return nil
	case <-vm.drainRequested:
	case <-ctx.Done():
	}
	return vm.drain()
}

// drain waits until the requests of callers are complete. It hands rollout groups to other VMs only afterwards, so that
// trainers can fetch finished samples from this VM until then.
func (vm *VM) drain() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-vm.shutdownRequested:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := vm.front.Drain(ctx)
	releaseCtx, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	if drainErr := vm.trainer.Drain(releaseCtx); drainErr != nil {
		vm.events.Log().WithError(drainErr).Warn("rollout groups were not handed over; other VMs adopt them once this VM counts as lost")
	}
	if releaseErr := vm.control.ReleaseShares(releaseCtx, vm.waitForNoInFlight); releaseErr != nil {
		vm.events.Log().WithError(releaseErr).Warn("shares of in-flight limits were not released; they become free once this VM has restarted or is removed")
	}
	return err
}

func (vm *VM) close() {
	vm.backend.Close()
	if err := vm.client.Close(); err != nil {
		vm.events.Log().WithError(err).Debug("closing the transport client failed")
	}
	if vm.replica != nil {
		vm.replica.close(vm.events)
	}
}

// serveMetrics serves the metrics until ctx ends.
func (vm *VM) serveMetrics(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // the listener is no longer used
	defer stop()
	if err := front.ServeMetrics(ln, "/metrics", vm.metrics.Handler(), vm.callers); err != nil && ctx.Err() == nil {
		vm.events.Log().WithError(err).Warn("metrics server failed; metrics are no longer served")
	}
}

func listen(key, address string) (net.Listener, error) {
	ln, err := front.Listen(address)
	return ln, errs.Wrap(err, errs.ConfigInvalid, "use a free address of this VM", "cannot listen on %s = %q", key, address)
}

// sendFailure reports the error of a background task to run. It ignores nil, with which a task ends normally.
func sendFailure(failed chan<- error, err error) {
	if err == nil {
		return
	}
	select {
	case failed <- err:
	default:
	}
}
