package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
)

// Guards against invalid input that gets an untyped error or a false outcome, or that makes the VM stop serving.
func TestInvalidInputIsRefused(t *testing.T) {
	ctl := newFakeControl(chatRow, onceRow, bookingRow, lookupRow)
	v := newVM(t, ctl)
	v.joinServer(t, "e1", startServer(t, (&fakeEngine{words: 2}).ServeHTTP), "llm", true)
	oldKey := uuid.New().String() // version 4
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		status             int
		kind               string
		outcome            api.Outcome
	}{
		"malformed JSON":             {"POST", pathChat, `{"model":`, nil, 400, "invalid_argument", api.OutcomeNotRun},
		"not an object":              {"POST", pathChat, `[]`, nil, 400, "invalid_argument", api.OutcomeNotRun},
		"no row":                     {"POST", pathChat, `{}`, nil, 400, "invalid_argument", api.OutcomeNotRun},
		"unknown row":                {"POST", pathChat, `{"model":"x"}`, nil, 404, "not_found", api.OutcomeNotRun},
		"service as chat":            {"POST", pathChat, `{"model":"lookup"}`, nil, 404, "not_found", api.OutcomeNotRun},
		"unknown service":            {"GET", "/services/x/y", "", nil, 404, "not_found", api.OutcomeNotRun},
		"empty row":                  {"GET", "/services//y", "", nil, 400, "invalid_argument", api.OutcomeNotRun},
		"method":                     {"GET", pathChat, "", nil, 400, "invalid_argument", api.OutcomeNotRun},
		"bad deadline":               {"POST", pathChat, `{"model":"chat"}`, []string{api.HeaderDeadline, "soon"}, 400, "invalid_argument", api.OutcomeNotRun},
		"long deadline":              {"POST", pathChat, `{"model":"chat"}`, []string{api.HeaderDeadline, "600001"}, 400, "invalid_argument", api.OutcomeNotRun},
		"bad flag":                   {"POST", pathChat, `{"model":"chat"}`, []string{api.HeaderNonIdempotent, "yes"}, 400, "invalid_argument", api.OutcomeNotRun},
		"bad id":                     {"POST", pathChat, `{"model":"chat"}`, []string{api.HeaderRequestID, "a b"}, 400, "invalid_argument", api.OutcomeNotRun},
		"no key":                     {"POST", pathChat, `{"model":"once"}`, nil, 400, "invalid_argument", api.OutcomeNotRun},
		"key of UUID version 4":      {"POST", pathChat, `{"model":"once"}`, []string{api.HeaderIdempotencyKey, oldKey}, 400, "invalid_argument", api.OutcomeUnknown},
		"key with malformed body":    {"POST", pathChat, `{`, []string{api.HeaderIdempotencyKey, newKey()}, 400, "invalid_argument", api.OutcomeUnknown},
		"non-idempotent without key": {"POST", pathChat, `{"model":"chat"}`, []string{api.HeaderNonIdempotent, "true"}, 400, "invalid_argument", api.OutcomeNotRun},
		"choices":                    {"POST", pathChat, `{"model":"chat","stream":true,"n":2}`, nil, 400, "invalid_argument", api.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := send(t, c.method, v.url+c.path, c.body, c.headers...)
			expectResponse(t, resp, c.status, c.outcome, c.kind)
			var e struct {
				Error struct{ Message, Type, Code string }
			}
			if err := json.Unmarshal([]byte(body), &e); err != nil || e.Error.Code != c.kind || !strings.Contains(e.Error.Message, "; ") || e.Error.Type == "" {
				t.Fatalf("error body %q", body)
			}
		})
	}
	resp, _ := send(t, "POST", v.url+pathChat, `{"model":"chat"}`)
	expectResponse(t, resp, http.StatusOK, api.OutcomeRan, "")
}

// Guards against request smuggling, and against slow and half-closed connections that get wrong answers or make the VM
// stop serving.
func TestMalformedAndSlowConnections(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	v.joinServer(t, "e1", startServer(t, (&fakeEngine{words: 2, delay: 200 * time.Millisecond}).ServeHTTP), "llm", true)
	const auth = "Host: x\r\nAuthorization: Bearer " + testToken + "\r\n"
	for name, c := range map[string]struct {
		raw       string
		halfClose bool
		want      string
	}{
		"content length and chunked": {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, "HTTP/1.1 400"},
		"two content lengths":        {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", false, "HTTP/1.1 400"},
		"bad chunk":                  {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", false, "HTTP/1.1 400"},
		"space in header":            {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length : 2\r\n\r\n{}", false, "HTTP/1.1 400"},
		"not HTTP":                   {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", false, "HTTP/1.1 400"},
		"large body":                 {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 5000000\r\n\r\n", false, "HTTP/1.1 413"},
		"large header":               {("GET /v1/models HTTP/1.1\r\nX: " + strings.Repeat("x", 16<<10))[:16<<10], false, "HTTP/1.1 413"},
		"half-closed":                {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 16\r\n\r\n" + `{"model":"chat"}`, true, "HTTP/1.1 499"},
		"truncated body":             {"POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 99\r\n\r\n{", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(conn, c.raw); err != nil {
				t.Fatal(err)
			}
			if c.halfClose {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			got, _ := io.ReadAll(conn)
			if !bytes.HasPrefix(got, []byte(c.want)) || (c.want != "" && !bytes.Contains(got, []byte(api.HeaderError))) {
				t.Fatalf("answer %q", got)
			}
			if n := bytes.Count(got, []byte("Content-Length: ")); n > 1 {
				t.Fatalf("%d answers to one request", n)
			}
		})
	}
	slow, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	fmt.Fprint(slow, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-")
	resp, _ := send(t, "POST", v.url+pathChat, `{"model":"chat"}`)
	expectResponse(t, resp, http.StatusOK, api.OutcomeRan, "")
}

// Guards against wrong credentials that are accepted, and against secrets in recorded events.
func TestCredentials(t *testing.T) {
	ctl := newFakeControl(chatRow)
	v := newVM(t, ctl)
	var log bytes.Buffer
	recorder := events.NewRecorder("vm", &log)
	v.handler.opts.Events = recorder
	for _, header := range []string{"", "Bearer ", "Bearer wrong-secret", testToken, "Basic " + testToken} {
		resp, _ := send(t, "POST", v.url+pathChat, `{"model":"chat"}`, "Authorization", header)
		expectResponse(t, resp, http.StatusUnauthorized, api.OutcomeNotRun, "unauthenticated")
		resp, _ = send(t, "GET", v.url+pathModels, "", "Authorization", header)
		expectResponse(t, resp, http.StatusUnauthorized, api.OutcomeNotRun, "unauthenticated")
	}
	list := recorder.Query(events.Filter{})
	refused := 0
	for _, e := range list {
		if e.Name == events.CredentialRefused {
			refused++
		}
		if strings.Contains(fmt.Sprint(e), "wrong-secret") || strings.Contains(fmt.Sprint(e), testToken) {
			t.Fatalf("event contains the secret: %v", e)
		}
	}
	if refused != 10 {
		t.Fatalf("%d events of refused credentials, want 10", refused)
	}
}

// Guards against lost headers of requests to a plain service and its answers, and against the caller's token being
// passed on to the service.
func TestServiceRequestIsForwardedWithoutCredentials(t *testing.T) {
	v := newVM(t, newFakeControl(lookupRow))
	addr := startServer(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set(api.HeaderAttemptID, req.Header.Get(api.HeaderAttemptID))
		w.Header().Set("X-Answer", "yes")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %q auth=%q x=%q", req.Method, req.RequestURI, body, req.Header.Get("Authorization"), req.Header.Get("X-Ask"))
	})
	v.joinServer(t, "s1", addr, "api", false)
	resp, body := send(t, "PUT", v.url+"/services/lookup/a%2Fb/../c?q=1&r=%20", "in", "X-Ask", "please")
	if resp.StatusCode != http.StatusTeapot || resp.Header.Get("X-Answer") != "yes" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
	if want := `PUT /a%2Fb/../c?q=1&r=%20 "in" auth="" x="please"`; body != want {
		t.Fatalf("service saw %s, want %s", body, want)
	}
	// The answer to HEAD has a length but no body.
	resp, _ = send(t, "HEAD", v.url+"/services/lookup/x", "")
	if resp.StatusCode != http.StatusTeapot || resp.Header.Get("X-Answer") != "yes" {
		t.Fatalf("HEAD: status %d, headers %v", resp.StatusCode, resp.Header)
	}
}

// Guards against hiding the engine's reason for refusing a request, with and without streaming.
func TestEngineRefusalIsShown(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		fmt.Fprint(w, `{"error":{"message":"temperature is out of range"}}`)
	})
	v.joinServer(t, "e1", addr, "llm", true)
	for _, body := range []string{`{"model":"chat"}`, `{"model":"chat","stream":true}`} {
		resp, got := send(t, "POST", v.url+pathChat, body)
		if resp.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(got, "temperature") {
			t.Fatalf("status %d, body %q", resp.StatusCode, got)
		}
	}
}

// Guards against requests that are cut off by a graceful shutdown (P8 in docs/design.md).
func TestDrainFinishesRunningRequests(t *testing.T) {
	engine := &fakeEngine{words: 10, delay: 50 * time.Millisecond}
	v := newVM(t, newFakeControl(chatRow))
	v.joinServer(t, "e1", startServer(t, engine.ServeHTTP), "llm", true)
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 2)
	for _, body := range []string{`{"model":"chat","stream":true}`, `{"model":"chat"}`} {
		go func() {
			_, got, err := trySend("POST", v.url+pathChat, body)
			results <- result{got, err}
		}()
	}
	waitFor(t, func() bool { return engine.runs.Load() == 2 })
	drained := make(chan error, 1)
	go func() { drained <- v.server.Drain(context.Background()) }()
	waitFor(t, v.server.Draining)
	resp, _ := send(t, "GET", v.url+"/readyz", "")
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("readiness %d, close %v", resp.StatusCode, resp.Close)
	}
	for range 2 {
		if r := <-results; r.err != nil || !strings.Contains(r.body, "w9") {
			t.Fatalf("body %q, error %v", r.body, r.err)
		}
	}
	if err := <-drained; err != nil || v.handler.InFlight() != 0 {
		t.Fatalf("drain: %v, %d in flight", err, v.handler.InFlight())
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("1000", "true", newKey(), "/services/a/b?c=d")
	f.Add("-1", "", "0190b7c4-7f3e-4a00-8000-000000000000", "/services/%2f")
	f.Fuzz(func(t *testing.T, deadline, flag, key, uri string) {
		if d, err := parseDeadline(deadline, time.Second); err == nil && (d <= 0 || d > maxDeadline) {
			t.Fatalf("deadline %v", d)
		}
		_, _ = parseBool(flag)
		if k, err := parseKey(key); err == nil && (k.Version() != keyUUIDVersion || !strings.EqualFold(k.String(), key)) {
			t.Fatalf("key %q read as %v", key, k)
		}
		if _, path, err := splitServiceTarget(prefixServices + uri); err == nil {
			line := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line)))
			if err == nil && req.RequestURI != path {
				t.Fatalf("path %q was sent as %q", path, req.RequestURI)
			}
			if strings.ContainsAny(path, "\r\n ") {
				t.Fatalf("path %q breaks the request line", path)
			}
		}
	})
}
