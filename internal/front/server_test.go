package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

func start(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(o)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return s, "http://" + ln.Addr().String()
}

func get(t *testing.T, url string) (*http.Response, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Guards against traffic for a VM that cannot serve, and against a restart of one that is only not ready.
func TestReadiness(t *testing.T) {
	var ready atomic.Bool
	s, url := start(t, Options{Ready: ready.Load, AcceptGracePeriod: time.Second})
	check := func(path string, want int) {
		t.Helper()
		if resp, _ := get(t, url+path); resp.StatusCode != want {
			t.Fatalf("%s answered %d, want %d", path, resp.StatusCode, want)
		}
	}
	check(PathReady, http.StatusServiceUnavailable)
	check(PathLive, http.StatusOK)
	ready.Store(true)
	check(PathReady, http.StatusOK)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	for !s.Draining() {
		time.Sleep(time.Millisecond)
	}
	check(PathReady, http.StatusServiceUnavailable) // still accepted, but not ready
	check(PathLive, http.StatusOK)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// Guards against a drain that never ends or that hides requests that it cut off.
func TestDrainLimit(t *testing.T) {
	s, _ := start(t, Options{InFlight: func() int { return 1 }, AcceptGracePeriod: time.Millisecond, DrainLimit: 50 * time.Millisecond})
	if err := s.Drain(context.Background()); !errs.Is(err, errs.DeadlineExceeded) {
		t.Fatalf("drain with a request in flight ended with %v", err)
	}
}

// Guards against a handler's panic that ends the process or looks like a request that did not run.
func TestPanicIsAnswered(t *testing.T) {
	_, url := start(t, Options{Handlers: []Handler{func(*fasthttp.RequestCtx) bool { panic("fault") }}})
	resp, body := get(t, url+"/x")
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeUnknown) ||
		resp.Header.Get(api.HeaderAttempt) != "" {
		t.Fatalf("status %d, headers %v, body %q", resp.StatusCode, resp.Header, body)
	}
}

// Guards against error bodies that clients cannot read or that show internal addresses.
func TestErrorBody(t *testing.T) {
	err := errs.Wrap(errors.New("dial tcp 10.1.2.3:80"), errs.Unavailable, "resend the request", "no server")
	var body errorBody
	if jsonErr := json.Unmarshal(ErrorBody(err), &body); jsonErr != nil {
		t.Fatal(jsonErr)
	}
	e := body.Error
	if e.Message != "no server; resend the request" || e.Code != "unavailable" || e.Type != "server_error" {
		t.Fatalf("error body %+v", e)
	}
	if got := string(ErrorBody(errors.New("10.1.2.3"))); strings.Contains(got, "10.1.2.3") {
		t.Fatalf("untyped error is shown: %s", got)
	}
}
