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

func startServer(t *testing.T, o Options) (*Server, string) {
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

// Guards against a VM that is reported as ready before it can serve or while it drains, and against a failing liveness
// probe on a VM that is only not ready, which would make the platform restart it.
func TestReadinessFollowsStateAndDrain(t *testing.T) {
	var ready atomic.Bool
	s, url := startServer(t, Options{Ready: ready.Load, AcceptGracePeriod: time.Second})
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
	check(PathReady, http.StatusServiceUnavailable) // connections are still accepted
	check(PathLive, http.StatusOK)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// Guards against a drain that waits without limit for a request in flight, or that reports success although it cut the
// request off.
func TestDrainFailsAtLimitWithRequestsInFlight(t *testing.T) {
	s, _ := startServer(t, Options{InFlight: func() int { return 1 }, AcceptGracePeriod: time.Millisecond, DrainLimit: 50 * time.Millisecond})
	if err := s.Drain(context.Background()); !errs.Is(err, errs.DeadlineExceeded) {
		t.Fatalf("drain with a request in flight ended with %v", err)
	}
}

// Guards against a panic in a handler that ends the process, or whose response states that the request did not run.
func TestPanicAnswersUnknownOutcome(t *testing.T) {
	_, url := startServer(t, Options{Handlers: []Handler{func(*fasthttp.RequestCtx) bool { panic("fault") }}})
	resp, body := get(t, url+"/x")
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeUnknown) ||
		resp.Header.Get(api.HeaderAttempt) != "" {
		t.Fatalf("status %d, headers %v, body %q", resp.StatusCode, resp.Header, body)
	}
}

// Guards against error bodies that OpenAI clients cannot parse or that disclose internal addresses.
func TestErrorBodyShowsOnlyTypedErrors(t *testing.T) {
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
