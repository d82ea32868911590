package metrics

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"filbertledge/internal/budget"
)

// ObserveBudget adds the metrics of what callers hold, which are read when the metrics are collected.
func (p *EventMetrics) ObserveBudget(b *budget.Budget) error { return observeBudget(p.meter, b) }

// ObserveBudget adds the metrics of what callers hold, which are read when the metrics are collected.
func (m *Metrics) ObserveBudget(b *budget.Budget) error { return observeBudget(m.meter, b) }

func observeBudget(meter metric.Meter, b *budget.Budget) error {
	used, err1 := meter.Int64ObservableGauge("filbertledge.callers.memory", metric.WithDescription("Memory that callers hold."), metric.WithUnit("By"))
	limit, err2 := meter.Int64ObservableGauge("filbertledge.callers.memory.limit", metric.WithDescription("Memory that callers may hold; 0 means no limit."), metric.WithUnit("By"))
	connections, err3 := meter.Int64ObservableGauge("filbertledge.callers.connections", metric.WithDescription("Open connections of callers."))
	refused, err4 := meter.Int64ObservableCounter("filbertledge.callers.refused", metric.WithDescription("Requests and connections that were refused, by reason."))
	dropped, err5 := meter.Int64ObservableCounter("filbertledge.callers.dropped", metric.WithDescription("Connections that were dropped, by reason."))
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := b.Stats()
		o.ObserveInt64(used, s.Bytes)
		o.ObserveInt64(limit, s.LimitBytes)
		o.ObserveInt64(connections, int64(s.Connections))
		for reason, n := range s.Refused {
			o.ObserveInt64(refused, n, metric.WithAttributes(attribute.String("reason", string(reason))))
		}
		for reason, n := range s.Dropped {
			o.ObserveInt64(dropped, n, metric.WithAttributes(attribute.String("reason", string(reason))))
		}
		return nil
	}, used, limit, connections, refused, dropped)
	return err
}
