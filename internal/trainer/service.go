// Package trainer serves the HTTP API for trainers on a VM. A trainer opens steps, submits groups of samples to
// generate, gets finished groups and acknowledges their samples. The package generates the members of the groups that
// this VM owns, stores the bodies of the samples until they are acknowledged, and delivers only whole groups.
//
// The members of a group are the samples to generate from its prompt. The holder of a finished sample is the VM that
// generated it and stores its body.
package trainer

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
	"filbertledge/internal/scoring"
	"filbertledge/internal/table"
)

// Options configure a Service.
type Options struct {
	VM        api.VM // this VM
	Client    control.Client
	Generator dispatch.Generator
	Scorer    *scoring.Client // nil: a client with default options
	// CallVM calls an RPC method of another VM.
	CallVM control.RPCFunc
	// InFlightShare returns how many members of a row with MaxInFlight may be in flight on this VM. Nil means
	// MaxInFlight.
	InFlightShare func(row table.Row) int
	Events        *events.Recorder
	Metrics       *metrics.Metrics
	Now           func() time.Time // nil: time.Now
}

// Service serves trainers on one VM and generates the samples of the groups that the VM owns.
type Service struct {
	opts   Options
	runner *runner
	bodies *bodyStore
	// sampleFinished wakes the requests that wait for samples.
	sampleFinished broadcast
}

// New returns a service. It generates samples only while Run runs.
func New(opts Options) *Service {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.InFlightShare == nil {
		opts.InFlightShare = func(row table.Row) int { return row.MaxInFlight }
	}
	if opts.Scorer == nil {
		opts.Scorer = scoring.NewClient(scoring.Options{})
	}
	s := &Service{opts: opts, bodies: newBodyStore(), sampleFinished: broadcast{c: make(chan struct{})}}
	s.runner = newRunner(s)
	return s
}

// RPCHandlers returns the handlers of calls from other VMs by method name.
func (s *Service) RPCHandlers() map[string]control.Handler {
	return map[string]control.Handler{
		MethodFetchBodies:   s.handleFetchBodies,
		MethodReleaseBodies: s.handleReleaseBodies,
	}
}

// Intervals of the background work.
const (
	scheduleInterval = 200 * time.Millisecond // also bounds how late the runner notices a renewed table lease
	claimInterval    = time.Second            // at least, between claims for another reason than a changed claim revision
	cleanupInterval  = 30 * time.Second
)

// Run generates samples until ctx ends. It returns when all runs have ended.
func (s *Service) Run(ctx context.Context) {
	s.runner.start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, scheduleInterval, s.runner.schedule) })
	wg.Go(func() { every(ctx, scheduleInterval, func() { s.runner.claimGroups(ctx) }) })
	wg.Go(func() { every(ctx, cleanupInterval, func() { s.dropEndedSteps(ctx) }) })
	wg.Wait()
	s.runner.stop()
}

// every calls f at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// Drain stops generating samples and gives the groups of this VM to other VMs, which generate its unacknowledged
// samples again.
func (s *Service) Drain(ctx context.Context) error {
	s.runner.drain()
	_, err := s.opts.Client.Do(ctx, control.Command{VMLost: &control.VMLost{VM: s.opts.VM.ID, Incarnation: s.opts.VM.Incarnation}})
	return err
}

// HandleHTTP answers a request whose path starts with /trainer/v1/. It reports false for other paths.
func (s *Service) HandleHTTP(ctx *fasthttp.RequestCtx) bool {
	return s.route(ctx)
}

// broadcast wakes all goroutines that wait on its channel.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// waitChannel returns a channel that the next wakeAll closes.
func (b *broadcast) waitChannel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *broadcast) wakeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}

func (s *Service) recordEvent(name events.Name, id control.SampleID, detail string) {
	s.opts.Events.Record(events.Event{Name: name, Row: id.Step.Row, Request: sampleName(id), Detail: detail})
}

func (s *Service) countSample(row api.RowName, event string) {
	if s.opts.Metrics != nil {
		s.opts.Metrics.Sample(row, event)
	}
}
