package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"filbertledge/internal/standin/engine"
)

func testOptions() options {
	return options{duration: 300 * time.Millisecond, concurrency: 2, tokens: 5, seed: 1}
}

// Guards against a measurement that counts truncated answers as complete, or sends requests at a different rate than
// requested.
func TestLoopsCountAnswersAtTheGivenRate(t *testing.T) {
	e, err := engine.Start(engine.Options{NoTokenDelay: true, NoLog: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	o := testOptions()
	target := newTarget("direct", e.Address(), o)
	for _, stream := range []bool{false, true} {
		closed := target.closedLoop(o, stream)
		if closed.failed > 0 || closed.answers == 0 || closed.tokens != 5*closed.answers || closed.latency.TotalCount() == 0 {
			t.Errorf("stream %v: %+v, %v", stream, closed, target.firstError())
		}
		// The arrivals depend only on the seed, so their number is the same on every machine.
		first, second := target.openLoop(o, stream, 100), target.openLoop(o, stream, 100)
		if first.failed > 0 || first.answers != second.answers || first.answers < 10 || first.answers > 60 {
			t.Errorf("stream %v: %d and %d answers in 300 ms at 100 a second, %d failed", stream, first.answers, second.answers, first.failed)
		}
	}
}

// Guards against counting failed and truncated answers as answered requests.
func TestClosedLoopCountsTruncatedAnswersAsFailed(t *testing.T) {
	for _, body := range []string{"", "data: {}\n\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write([]byte(body))
		}))
		o := testOptions()
		target := newTarget("broken", strings.TrimPrefix(server.URL, "http://"), o)
		r := target.closedLoop(o, true)
		if r.answers != 0 || r.failed == 0 || target.firstError() == nil {
			t.Errorf("body %q: %d answers, %d failed", body, r.answers, r.failed)
		}
		server.Close()
	}
}

func ownCPU(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against reporting no processor time for a measurement that used some.
func TestWithCPUMeasuresProcessorTime(t *testing.T) {
	r, err := withCPU(os.Getpid(), func() result {
		for start := ownCPU(t); ownCPU(t)-start < 100*time.Millisecond; {
			_ = strings.Repeat("x", 1000)
		}
		return result{}
	})
	// /proc counts processor time in ticks of 10 ms.
	if err != nil || r.vmCPU < 80*time.Millisecond {
		t.Errorf("processor time %v: %v", r.vmCPU, err)
	}
}
