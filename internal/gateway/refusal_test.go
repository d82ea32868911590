package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/routes"
)

// Guards against a refusal whose log line does not tell which configuration decided it: it reads the line of a call
// that found no route.
func TestRecordRefusalLogsConfigurationVersion(t *testing.T) {
	var log bytes.Buffer
	g := New(Options{Name: "e", Events: events.NewLogRecorder(api.VMID("e"), &log)})
	g.configuration.Store(&routes.Configuration{Version: 7})
	_, err := g.MatchRoute("a.example", "/x")
	if err == nil {
		t.Fatal("a route was found")
	}
	g.RecordRefusal("r1", err)
	for _, part := range []string{`"request.refused"`, `"request":"r1"`, "configuration 7", "confirm"} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("the log line lacks %s: %s", part, log.String())
		}
	}
}

// Guards against a caller that is told that a route does not exist because this VM has an old configuration.
func TestMatchRouteReportsNotFoundOnlyWhenConfirmed(t *testing.T) {
	g := New(Options{Name: "vm", Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)})
	g.configuration.Store(&routes.Configuration{Version: 1, Routes: []routes.Route{{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Idempotent}}})
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("an unconfirmed configuration: %v", err)
	}
	g.confirmedAt.Store(int64(boottime.Now()))
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.NotFound) {
		t.Fatalf("a confirmed configuration: %v", err)
	}
	g.confirmedAt.Store(int64(boottime.Now() - confirmationTTL))
	if _, err := g.MatchRoute("h", "/none/"); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("a configuration that was confirmed long ago: %v", err)
	}
	if r, err := g.MatchRoute("h", "/safe/x"); err != nil || r.Name != "safe" {
		t.Fatalf("a known route: %v, %v", r, err)
	}
	g.configuration.Store(nil)
	if _, err := g.MatchRoute("h", "/safe/x"); !errs.Is(err, errs.Unavailable) || g.Ready() {
		t.Fatalf("without a configuration: %v", err)
	}
}

// Guards against callers that are told to come back, instead of that there is no such route, because the confirmation of
// the configuration counts from the start of a follow call that the leader held for a second; and against one that
// counts from the future.
func TestConfirmationTime(t *testing.T) {
	const sent, received = 10 * time.Second, 11 * time.Second
	for _, tc := range []struct{ held, want time.Duration }{
		{0, sent},
		{990 * time.Millisecond, sent + 990*time.Millisecond},
		{5 * time.Second, received},
		{-time.Second, sent},
	} {
		if got := confirmationTime(sent, received, tc.held); got != tc.want {
			t.Errorf("held for %s: got %s, want %s", tc.held, got, tc.want)
		}
	}
}
