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

// Guards against a score that the service did not return, such as zero for a truncated or failed response, and against
// retries beyond the limits of attempts and rate.
func TestScoreAcceptsOnlyValidAnswersAndBoundsRetries(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		burst   int // retries that the rate limiter admits
		calls   int64
		want    float64
		wantErr bool
	}{
		{"score", 200, `{"score":0.5}`, 9, 1, 0.5, false},
		{"zero is a score", 200, `{"score":0}`, 9, 1, 0, false},
		{"no score", 200, `{}`, 9, 3, 0, true},
		{"truncated JSON", 200, `{"score":0.`, 9, 3, 0, true},
		{"failure", 503, `{"score":0.5}`, 9, 3, 0, true},
		{"failure with one retry left", 503, "", 1, 2, 0, true},
		{"too large", 200, string(make([]byte, maxAnswerBytes+1)), 9, 3, 0, true},
	}
	for _, tt := range tests {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(tt.status)
			_, _ = w.Write([]byte(tt.body))
		}))
		c := NewClient(Options{InitialBackoff: time.Millisecond, MaxAttempts: 3, RetryRate: rate.Limit(tt.burst)})
		c.retryLimiter.SetLimit(0) // the limiter regains no retries while the test runs
		got, err := c.Score(context.Background(), server.URL, Request{})
		server.Close()
		if got != tt.want || (err != nil) != tt.wantErr || err != nil && !errs.Is(err, errs.BackendFailed) || calls.Load() != tt.calls {
			t.Errorf("%s: %v, %v after %d calls; want %v after %d", tt.name, got, err, calls.Load(), tt.want, tt.calls)
		}
	}
}
