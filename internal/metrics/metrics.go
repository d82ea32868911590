// Package metrics defines the OpenTelemetry instruments of a VM and serves them in the Prometheus text format.
package metrics

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

const meterName = "filbertledge"

// secondsBuckets are the histogram buckets of durations. They cover 1 ms to 33 minutes, the longest training step.
var secondsBuckets = []float64{
	.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600, 1200, 1980,
}

// versionBuckets are the histogram buckets of staleness, in weight versions.
var versionBuckets = []float64{0, 1, 2, 3, 4, 6, 8, 12, 16}

// Metrics holds the instruments of one VM. Its methods are safe for concurrent use.
type Metrics struct {
	meter   metric.Meter
	handler http.Handler

	requests       metric.Int64Counter
	refused        metric.Int64Counter
	refusedMinutes metric.Int64Counter
	attempts       metric.Int64Counter
	samples        metric.Int64Counter
	edits          metric.Int64Counter
	orders         metric.Int64Counter
	latency        metric.Float64Histogram
	firstToken     metric.Float64Histogram
	queueWait      metric.Float64Histogram
	staleness      metric.Int64Histogram
	trainerIdle    metric.Float64Histogram
	editReach      metric.Float64Histogram

	minutes refusalMinutes
}

// New returns the instruments of vm.
func New(vm api.VMID) (*Metrics, error) {
	meter, handler, err := newMeter(vm)
	if err != nil {
		return nil, err
	}
	b := instrumentBuilder{meter: meter}
	m := &Metrics{
		meter:          meter,
		handler:        handler,
		requests:       b.counter("filbertledge.requests", "customer requests by row and outcome"),
		refused:        b.counter("filbertledge.refused", "refused customer requests by row and error kind"),
		refusedMinutes: b.counter("filbertledge.refused_minutes", "minutes in which at least one customer request of the row was refused by this VM"),
		attempts:       b.counter("filbertledge.attempts", "attempts on backend servers by row and result"),
		samples:        b.counter("filbertledge.samples", "samples by row and what happened to them"),
		edits:          b.counter("filbertledge.edits", "table edits by result"),
		orders:         b.counter("filbertledge.orders", "orders to engines by kind and result"),
		latency:        b.seconds("filbertledge.request.duration", "time from arrival to the end of the answer"),
		firstToken:     b.seconds("filbertledge.request.first_token", "time from arrival to the first piece of the answer"),
		queueWait:      b.seconds("filbertledge.request.queue_wait", "time from arrival to dispatch; head-of-line blocking shows here"),
		staleness:      b.versions("filbertledge.sample.staleness", "newest version less the oldest version of a sample at hand-over"),
		trainerIdle:    b.seconds("filbertledge.trainer.idle", "time that a trainer waited for samples in one fetch"),
		editReach:      b.seconds("filbertledge.edit.reach", "time from acceptance of an edit until it is in force everywhere"),
		minutes:        refusalMinutes{last: map[api.RowName]int64{}},
	}
	return m, b.err
}

// newMeter returns a meter whose metrics carry the label vm, and the HTTP handler that serves these metrics.
func newMeter(vm api.VMID) (metric.Meter, http.Handler, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter(meterName, metric.WithInstrumentationAttributes(attribute.String("vm", string(vm))))
	return meter, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// instrumentBuilder creates instruments and keeps the first error.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (b *instrumentBuilder) keepFirstError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *instrumentBuilder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.keepFirstError(err)
	return c
}

func (b *instrumentBuilder) gauge(name, help string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(name, metric.WithDescription(help))
	b.keepFirstError(err)
	return g
}

func (b *instrumentBuilder) seconds(name, help string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBuckets...))
	b.keepFirstError(err)
	return h
}

func (b *instrumentBuilder) versions(name, help string) metric.Int64Histogram {
	h, err := b.meter.Int64Histogram(name, metric.WithDescription(help),
		metric.WithExplicitBucketBoundaries(versionBuckets...))
	b.keepFirstError(err)
	return h
}

func rowAttr(row api.RowName) attribute.KeyValue { return attribute.String("row", string(row)) }

func add(c metric.Int64Counter, attrs ...attribute.KeyValue) {
	c.Add(context.Background(), 1, metric.WithAttributes(attrs...))
}

func observe(h metric.Float64Histogram, d time.Duration, attrs ...attribute.KeyValue) {
	h.Record(context.Background(), d.Seconds(), metric.WithAttributes(attrs...))
}

// RequestFinished counts a caller's request that ended with the given outcome, and records its duration d.
func (m *Metrics) RequestFinished(row api.RowName, kind table.Kind, outcome api.Outcome, d time.Duration) {
	add(m.requests, rowAttr(row), attribute.String("outcome", string(outcome)))
	observe(m.latency, d, rowAttr(row), attribute.String("kind", string(kind)))
}

// RequestRefused counts a refused request of a caller. It also counts the minute, if this is the first refusal of the
// row in it. errorKind is an errs.Kind.
func (m *Metrics) RequestRefused(row api.RowName, errorKind string, now time.Time) {
	add(m.refused, rowAttr(row), attribute.String("error", errorKind))
	if m.minutes.markRefused(row, now) {
		add(m.refusedMinutes, rowAttr(row))
	}
}

// FirstToken records the time from arrival of a request to the first piece of its answer.
func (m *Metrics) FirstToken(row api.RowName, d time.Duration) {
	observe(m.firstToken, d, rowAttr(row))
}

// QueueWait records the time from arrival of a request to its dispatch to a backend server.
func (m *Metrics) QueueWait(row api.RowName, d time.Duration) { observe(m.queueWait, d, rowAttr(row)) }

// Attempt counts an attempt to run a request on a backend server. result is "ok" or an errs.Kind.
func (m *Metrics) Attempt(row api.RowName, result string) {
	add(m.attempts, rowAttr(row), attribute.String("result", result))
}

// Sample counts an event of a sample: finished, duplicate, stale, delivered, acknowledged or reset.
func (m *Metrics) Sample(row api.RowName, event string) {
	add(m.samples, rowAttr(row), attribute.String("event", event))
}

// SampleStaleness records how many weight versions a sample was behind the newest one when it was delivered to the
// trainer.
func (m *Metrics) SampleStaleness(row api.RowName, versions uint64) {
	m.staleness.Record(context.Background(), int64(versions), metric.WithAttributes(rowAttr(row)))
}

// TrainerIdle records how long a trainer waited for samples in one fetch.
func (m *Metrics) TrainerIdle(row api.RowName, d time.Duration) {
	observe(m.trainerIdle, d, rowAttr(row))
}

// Edit counts a table edit by result: accepted, conflict, replayed or rejected.
func (m *Metrics) Edit(result string) { add(m.edits, attribute.String("result", result)) }

// EditReach records the propagation time of a table edit: from its acceptance until every VM applies it or has lost its
// table lease.
func (m *Metrics) EditReach(d time.Duration) { observe(m.editReach, d) }

// Order counts an order sent to an engine, by its kind and result.
func (m *Metrics) Order(kind, result string) {
	add(m.orders, attribute.String("kind", kind), attribute.String("result", result))
}

// refusalMinutes holds, for each row, the last minute in which a request was refused.
type refusalMinutes struct {
	mu   sync.Mutex
	last map[api.RowName]int64 // minutes since the Unix epoch
}

// markRefused records a refusal at the time now. It reports whether this is the first refusal of the row in that
// minute.
func (s *refusalMinutes) markRefused(row api.RowName, now time.Time) bool {
	minute := now.Unix() / 60
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.last[row]; ok && last == minute {
		return false
	}
	s.last[row] = minute
	return true
}
