package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
)

// Guards against a report that omits refusals, truncated streams or long requests, and against non-idempotent calls
// without an idempotency key.
func TestCustomersReportFailedAnswersAndLongRequests(t *testing.T) {
	var n, keyed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(api.HeaderIdempotencyKey) != "" {
			keyed.Add(1)
		}
		switch n.Add(1) {
		case 1:
			w.Header().Set(api.HeaderError, "overloaded")
			w.WriteHeader(http.StatusTooManyRequests)
		case 2:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: {}\n\n"))
		default:
			_, _ = w.Write([]byte("{}"))
		}
	}))
	defer server.Close()
	l := &load{opts: options{chatRate: 200, callRate: 200, seed: 1}, entries: []string{strings.TrimPrefix(server.URL, "http://")}}
	arrivals, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	chat := newCustomers(l, harness.RowSpec{Name: "chat", Kind: "chat", Model: "m"}, 1)
	chat.run(arrivals, context.Background())
	if chat.failed["429 overloaded"] != 1 || chat.failed["stream without end mark"] != 1 || len(chat.refusedMinutes) != 1 {
		t.Errorf("failed %v, refused minutes %v", chat.failed, chat.refusedMinutes)
	}
	answered := int(chat.short.TotalCount() + chat.long.TotalCount())
	if answered != chat.sent-2 || chat.long.TotalCount() == 0 || keyed.Load() != 0 {
		t.Errorf("%d of %d answered, %d of them long, %d with a key", answered, chat.sent, chat.long.TotalCount(), keyed.Load())
	}
	arrivals, stop = context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	booking := newCustomers(l, harness.RowSpec{Name: "booking", Kind: "service", NonIdempotent: true}, 2)
	booking.run(arrivals, context.Background())
	if keyed.Load() != int64(booking.sent) || booking.sent == 0 {
		t.Errorf("%d of %d bookings had a key", keyed.Load(), booking.sent)
	}
}
