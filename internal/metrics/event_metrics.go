package metrics

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"filbertledge/internal/api"
)

// EventMetrics holds the metrics of a process that serves no table rows: for each event name, the
// number of events and the durations of the operations that ended with it.
type EventMetrics struct {
	meter     metric.Meter
	events    metric.Int64Counter
	durations metric.Float64Histogram
	handler   http.Handler
}

// NewEventMetrics returns the event metrics of a process on vm.
func NewEventMetrics(vm api.VMID) (*EventMetrics, error) {
	meter, handler, err := newMeter(vm)
	if err != nil {
		return nil, err
	}
	b := instrumentBuilder{meter: meter}
	p := &EventMetrics{
		meter:     meter,
		events:    b.counter("filbertledge.events", "Events of the log by name; names of failures are counted like the others."),
		durations: b.seconds("filbertledge.event.duration", "Time that what ended with the event took, by name."),
		handler:   handler,
	}
	return p, b.err
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (p *EventMetrics) Handler() http.Handler { return p.handler }

// Event counts an event. took is the duration of the operation that ended with the event; zero for any other event.
func (p *EventMetrics) Event(name string, took time.Duration) {
	attrs := metric.WithAttributes(attribute.String("event", name))
	p.events.Add(context.Background(), 1, attrs)
	if took > 0 {
		p.durations.Record(context.Background(), took.Seconds(), attrs)
	}
}
