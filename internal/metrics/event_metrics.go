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
	servers   metric.Int64Gauge
	orders    metric.Int64Counter
	refusals  metric.Int64Counter
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
		refusals:  b.counter("filbertledge.keys.refused", "Calls refused for their key, by reason."),
		durations: b.seconds("filbertledge.event.duration", "Time that what ended with the event took, by name."),
		servers:   b.gauge("filbertledge.capacity.servers", "Servers by service, zone, kind and state: wanted or announced. 0 on VMs that do not lead."),
		orders:    b.counter("filbertledge.capacity.orders", "Orders of servers by service, zone, kind and result."),
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

// CapacityServers sets the number of servers of a kind in a zone. state is "wanted" or "announced".
func (p *EventMetrics) CapacityServers(service, zone, kind, state string, servers int) {
	p.servers.Record(context.Background(), int64(servers), metric.WithAttributes(
		attribute.String("service", service), attribute.String("zone", zone), attribute.String("kind", kind), attribute.String("state", state)))
}

// CapacityOrder counts an order of servers. result is "ok" or an errs.Kind.
func (p *EventMetrics) CapacityOrder(service, zone, kind, result string) {
	p.orders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("zone", zone), attribute.String("kind", kind), attribute.String("result", result)))
}

// KeyRefused counts a call that was refused for its key.
func (p *EventMetrics) KeyRefused(reason string) {
	p.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
