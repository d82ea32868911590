package metrics

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"filbertledge/internal/api"
)

// EventMetrics holds the metrics of a process that has no rows: a counter for each kind of event, and how long what ended
// with an event took.
type EventMetrics struct {
	events  metric.Int64Counter
	seconds metric.Float64Histogram
	handler http.Handler
}

// NewEventMetrics returns the metrics of a process on vm.
func NewEventMetrics(vm api.VMID) (*EventMetrics, error) {
	meter, handler, err := newMeter(vm)
	if err != nil {
		return nil, err
	}
	b := builder{meter: meter}
	p := &EventMetrics{
		events:  b.counter("filbertledge.events", "Events of the log by name; names of failures are counted like the others."),
		seconds: b.seconds("filbertledge.event.duration", "Time that what ended with the event took, by name."),
		handler: handler,
	}
	return p, b.err
}

// Handler serves the metrics in the text format of Prometheus.
func (p *EventMetrics) Handler() http.Handler { return p.handler }

// Event counts an event. took is zero if the event ends nothing.
func (p *EventMetrics) Event(name string, took time.Duration) {
	which := metric.WithAttributes(attribute.String("event", name))
	p.events.Add(context.Background(), 1, which)
	if took > 0 {
		p.seconds.Record(context.Background(), took.Seconds(), which)
	}
}
