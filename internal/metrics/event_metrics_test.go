package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/budget"
)

// Guards against an event that is not counted, and against a duration recorded for an event that has none: it would
// distort the histogram with zeros.
func TestEventMetricsCountEventsAndDurations(t *testing.T) {
	p, err := NewEventMetrics("vm-1")
	if err != nil {
		t.Fatal(err)
	}
	b := budget.New(budget.Options{Bytes: 1, ConnectionBytes: 2})
	b.Open(nil)
	if err := p.ObserveBudget(b); err != nil {
		t.Fatal(err)
	}
	p.Event("request.refused", 0)
	p.Event("request.finished", 30*time.Millisecond)
	p.Event("request.finished", 40*time.Millisecond)
	p.CapacityServers("llm", "a", "spot", "wanted", 3)
	p.CapacityOrder("llm", "a", "spot", "ok")
	p.KeyRefused("no_key")
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got := w.Body.String()
	for _, want := range []string{`event="request.refused"`, `event="request.finished"`, `filbertledge_keys_refused_total{`, `reason="no_key"`, "filbertledge_event_duration_seconds_bucket", `filbertledge_capacity_servers{`, `state="wanted"`, "filbertledge_capacity_orders_total{", "filbertledge_callers_refused_total", `reason="memory"`} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in the metrics", want)
		}
	}
	if !strings.Contains(got, "filbertledge_events_total") || strings.Contains(got, `filbertledge_event_duration_seconds_count{event="request.refused"`) {
		t.Errorf("unexpected metrics:\n%s", got)
	}
}
