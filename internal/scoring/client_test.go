package scoring

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"filbertledge/internal/errs"
)

// TestScore guards against scores that the service did not give, and against retries without bound.
func TestScore(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		budget  int // retries
		calls   int64
		want    float64
		refused bool
	}{
		{"score", 200, `{"score":0.5}`, 9, 1, 0.5, false},
		{"zero is a score", 200, `{"score":0}`, 9, 1, 0, false},
		{"no score", 200, `{}`, 9, 3, 0, true},
		{"cut off", 200, `{"score":0.`, 9, 3, 0, true},
		{"failure", 503, `{"score":0.5}`, 9, 3, 0, true},
		{"failure without budget", 503, "", 1, 2, 0, true},
		{"too large", 200, string(make([]byte, maxAnswerBytes+1)), 9, 3, 0, true},
	}
	for _, tt := range tests {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(tt.status)
			_, _ = w.Write([]byte(tt.body))
		}))
		c := NewClient(Options{InitialBackoff: time.Millisecond, MaxAttempts: 3, RetryRate: rate.Limit(tt.budget)})
		c.retries.SetLimit(0) // no retry comes back while the test runs
		got, err := c.Score(context.Background(), server.URL, Request{})
		server.Close()
		if got != tt.want || (err != nil) != tt.refused || err != nil && !errs.Is(err, errs.BackendFailed) || calls.Load() != tt.calls {
			t.Errorf("%s: %v, %v after %d calls; want %v after %d", tt.name, got, err, calls.Load(), tt.want, tt.calls)
		}
	}
}
