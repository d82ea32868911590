package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a refused minute that is counted once per refused request instead of once per minute and row.
func TestRefusedMinutesCountEachMinuteOnce(t *testing.T) {
	m, err := New("vm-1")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1_700_000_040, 0) // the start of a minute
	for _, offset := range []time.Duration{0, time.Second, 59 * time.Second, time.Minute, 61 * time.Second} {
		m.RequestRefused("booking", "overloaded", start.Add(offset))
	}
	m.RequestRefused("chat", "overloaded", start)
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	if got := counterValue(body, "filbertledge_refused_minutes_total", `row="booking"`); got != "2" {
		t.Errorf("refused minutes of booking = %q, want 2\n%s", got, body)
	}
	if got := counterValue(body, "filbertledge_refused_minutes_total", `row="chat"`); got != "1" {
		t.Errorf("refused minutes of chat = %q, want 1", got)
	}
}

func counterValue(body, name, label string) string {
	for line := range strings.Lines(body) {
		if strings.HasPrefix(line, name+"{") && strings.Contains(line, label) {
			fields := strings.Fields(line)
			return fields[len(fields)-1]
		}
	}
	return ""
}
