// Package trainer is the HTTP API for trainers. It runs the members of the groups that this VM owns, holds
// their bodies until they are acknowledged, and hands whole groups over.
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
	Scorer    *scoring.Client // nil: one with default options
	// CallVM reaches the trainer methods of other VMs.
	CallVM control.RPCFunc
	// InFlightShare returns how many members of a row with MaxInFlight may be in flight here. Nil: MaxInFlight.
	InFlightShare func(row table.Row) int
	Events        *events.Recorder
	Metrics       *metrics.Metrics
	Now           func() time.Time // nil: time.Now
}

// Service is the trainer side of one VM.
type Service struct {
	o      Options
	run    *runner
	bodies *bodyStore
	// finished wakes fetches that wait for samples.
	finished broadcast
}

// New returns a service. Run must run for samples to be produced.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.InFlightShare == nil {
		o.InFlightShare = func(row table.Row) int { return row.MaxInFlight }
	}
	if o.Scorer == nil {
		o.Scorer = scoring.NewClient(scoring.Options{})
	}
	s := &Service{o: o, bodies: newBodyStore(), finished: broadcast{c: make(chan struct{})}}
	s.run = newRunner(s)
	return s
}

// RPCHandlers returns the handlers for other VMs by method.
func (s *Service) RPCHandlers() map[string]control.Handler {
	return map[string]control.Handler{
		MethodFetchBodies:   s.handleBody,
		MethodReleaseBodies: s.handleRelease,
	}
}

// Intervals of the background work.
const (
	scheduleInterval = 200 * time.Millisecond // bounds how late a renewed table lease is noticed
	claimInterval    = time.Second
	sweepInterval    = 30 * time.Second
)

// Run produces samples until ctx ends. It returns when all of its work has ended.
func (s *Service) Run(ctx context.Context) {
	s.run.start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, scheduleInterval, s.run.schedule) })
	wg.Go(func() { every(ctx, scheduleInterval, func() { s.run.claim(ctx) }) })
	wg.Go(func() { every(ctx, sweepInterval, func() { s.sweep(ctx) }) })
	wg.Wait()
	s.run.stop()
}

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

// Drain stops the production of samples and gives the groups of this VM to others. Bodies that are not
// acknowledged by then are produced anew elsewhere.
func (s *Service) Drain(ctx context.Context) error {
	s.run.drain()
	_, err := s.o.Client.Do(ctx, control.Command{VMLost: &control.VMLost{VM: s.o.VM.ID, Incarnation: s.o.VM.Incarnation}})
	return err
}

// HandleHTTP answers a request under /trainer/v1/ and reports whether the path is one of those.
func (s *Service) HandleHTTP(ctx *fasthttp.RequestCtx) bool {
	return s.route(ctx)
}

// broadcast wakes all waiters at once.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}

func (s *Service) record(name events.Name, id control.SampleID, detail string) {
	s.o.Events.Record(events.Event{Name: name, Row: id.Step.Row, Request: sampleName(id), Detail: detail})
}

func (s *Service) count(row api.RowName, what string) {
	if s.o.Metrics != nil {
		s.o.Metrics.Sample(row, what)
	}
}
