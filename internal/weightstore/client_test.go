package weightstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

// Guards against a store that refuses a request or returns malformed JSON, and is then treated like an empty store.
func TestVersionsReportsRefusedAndMalformedAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   errs.Kind
	}{
		{"ok", http.StatusOK, `[{"version":3,"size_bytes":10}]`, ""},
		{"rate limited", http.StatusTooManyRequests, ``, errs.BackendFailed},
		{"malformed", http.StatusOK, `[{`, errs.BackendFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			got, err := New(s.URL).Versions(context.Background(), "m")
			if c.want == "" && (err != nil || len(got) != 1 || got[0].Version != 3) {
				t.Fatalf("got %v, %v", got, err)
			}
			if c.want != "" && !errs.Is(err, c.want) {
				t.Fatalf("got error %v, want kind %s", err, c.want)
			}
		})
	}
}

// Guards against loads that share the store's rate among so many engines that none ends within its time, and against a
// result of zero, which would stop all loads.
func TestMaxConcurrentLoads(t *testing.T) {
	l := Limits{BytesPerSecond: 100}
	for _, c := range []struct {
		size int64
		want int
	}{{0, 1}, {1000, 1}, {100, 10}, {50, 20}} {
		if got := MaxConcurrentLoads(l, c.size, 10*time.Second); got != c.want {
			t.Errorf("ConcurrentLoads(size %d) = %d, want %d", c.size, got, c.want)
		}
	}
}
