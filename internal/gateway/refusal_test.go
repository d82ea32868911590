package gateway

import (
	"bytes"
	"strings"
	"testing"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/routes"
)

// TestARefusalNamesWhatDecidedIt reads the log line of a call that found no route.
func TestARefusalNamesWhatDecidedIt(t *testing.T) {
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
			t.Errorf("the line lacks %s: %s", part, log.String())
		}
	}
}
