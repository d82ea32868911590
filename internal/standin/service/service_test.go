package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

func call(t *testing.T, s *Service, key string) (Reply, *http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/slots?x=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderAttemptID, "a")
	req.Header.Set(api.HeaderIdempotencyKey, key)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return Reply{}, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	var r Reply
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	return r, resp, err
}

// Guards against calls that are run but missing from the log, and against injected faults that leave the connection
// intact. A connection that breaks before the call is run must leave no log entry.
func TestLogAndRepliesWithBrokenConnections(t *testing.T) {
	s, err := Start(Options{ID: "s1", Pool: "api"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	r, resp, err := call(t, s, "k1")
	if err != nil || r.Run != 1 || r.IdempotencyKey != "k1" || resp.Header.Get(api.HeaderAttemptID) != "a" {
		t.Errorf("reply %+v: %v", r, err)
	}
	if r.Digest != standin.ContentDigest("POST", "/slots?x=1", "body") {
		t.Errorf("digest %s", r.Digest)
	}
	s.faults.Apply(standin.Faults{BreakBeforeRun: 1, BreakBeforeReply: 1, BreakAfterByte: 1})
	for range 3 {
		if r, _, err := call(t, s, "k2"); err == nil {
			t.Errorf("no error on a broken connection: %+v", r)
		}
	}
	states := []standin.RequestState{standin.RequestCompleted, standin.RequestAborted, standin.RequestAborted}
	log := s.Log().Requests
	if len(log) != len(states) {
		t.Fatalf("the log has %d requests, want %d", len(log), len(states))
	}
	for i, want := range states {
		if log[i].State != want || log[i].Run != i+1 {
			t.Errorf("run %d: %+v, want state %s", i+1, log[i], want)
		}
	}
}
