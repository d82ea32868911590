package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/weightstore"
)

const waitTimeout = 10 * time.Second

func startEngine(t *testing.T, o Options) *Engine {
	t.Helper()
	o.ID, o.Pool = "e1", "drafter-llm"
	e, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

type extension struct {
	AttemptID string           `json:"attempt_id"`
	Offset    int              `json:"offset"`
	Pieces    []api.PieceLabel `json:"pieces"`
}

type completion struct {
	Choices []struct {
		Message      Message `json:"message"`
		Delta        Message `json:"delta"`
		Text         string  `json:"text"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage     *struct{ CompletionTokens int } `json:"usage"`
	Extension extension                       `json:"filbertledge"`
}

func post(t *testing.T, ctx context.Context, e *Engine, path, attempt, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderAttemptID, attempt)
	return http.DefaultClient.Do(req)
}

func mustPost(t *testing.T, e *Engine, path, attempt, body string) (int, []byte) {
	t.Helper()
	resp, err := post(t, context.Background(), e, path, attempt, body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, b
}

// readStream returns the text and the labels of a stream, and whether its [DONE] marker arrived. It reports a gap
// between chunks as an error.
func readStream(t *testing.T, resp *http.Response, attempt string) (text string, pieces []api.PieceLabel, whole bool) {
	t.Helper()
	defer resp.Body.Close()
	offset := -1
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, pieces, true
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		if c.Extension.AttemptID != attempt {
			t.Errorf("chunk of attempt %q in the answer to attempt %q", c.Extension.AttemptID, attempt)
		}
		if offset >= 0 && c.Extension.Offset != offset {
			t.Errorf("offset %d, want %d", c.Extension.Offset, offset)
		}
		offset = c.Extension.Offset
		for _, p := range c.Extension.Pieces {
			offset += p.Tokens
		}
		pieces = append(pieces, c.Extension.Pieces...)
		text += c.Choices[0].Delta.Content + c.Choices[0].Text
	}
	return text, pieces, false
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}

const chatPath = "/v1/chat/completions"

// Guards against answers that differ from the text that tests compute with FullText, with and without token delay.
func TestAnswersMatchExpectedText(t *testing.T) {
	for _, fast := range []bool{false, true} {
		e := startEngine(t, Options{NoTokenDelay: fast})
		request := `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":20,"seed":3`
		r, err := ParseRequest([]byte(request + "}"))
		if err != nil {
			t.Fatal(err)
		}
		status, body := mustPost(t, e, chatPath, "a1", request+"}")
		var c completion
		if err := json.Unmarshal(body, &c); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, body %s: %v", status, body, err)
		}
		if got := c.Choices[0].Message.Content; got != FullText(r) || c.Choices[0].FinishReason != "length" {
			t.Errorf("fast %v: whole answer %q, want %q", fast, got, FullText(r))
		}
		resp, err := post(t, context.Background(), e, chatPath, "a2", request+`,"stream":true}`)
		if err != nil {
			t.Fatal(err)
		}
		text, _, whole := readStream(t, resp, "a2")
		if text != FullText(r) || !whole {
			t.Errorf("fast %v: stream %q whole %v, want %q", fast, text, whole, FullText(r))
		}
		for _, rec := range e.Log().Requests {
			if rec.State != standin.RequestCompleted || rec.TextDigest != standin.TextDigest(FullText(r)) || rec.Tokens != 20 {
				t.Errorf("fast %v: log record %+v", fast, rec)
			}
		}
	}
}

// Guards against an answer resumed with continue_from that skips or repeats tokens.
func TestResumedAnswerHasNoGapOrRepetition(t *testing.T) {
	e := startEngine(t, Options{})
	r := &Request{Prompt: "p", MaxTokens: 10}
	body := fmt.Sprintf(`{"prompt":"p","max_tokens":10,"stream":true,"filbertledge":{"continue_from":{"text":%q,"tokens":4}}}`, ExpectedText(r, 4))
	resp, err := post(t, context.Background(), e, "/v1/completions", "a", body)
	if err != nil {
		t.Fatal(err)
	}
	text, _, whole := readStream(t, resp, "a")
	if ExpectedText(r, 4)+text != FullText(r) || !whole {
		t.Errorf("resumed with %q", text)
	}
	rec := e.Log().Requests[0]
	if rec.ResumedAt != 4 || rec.ResumeMismatch || rec.TextDigest != standin.TextDigest(FullText(r)) {
		t.Errorf("log record %+v", rec)
	}
}

// Guards against labels that name the ordered version instead of the one that generated the tokens. The version
// changes in the middle of a stream; a later request reuses a prefix that is cached under the old version and must
// report that version.
func TestSwitchInMidStreamAndCachedPrefix(t *testing.T) {
	store, err := weightstore.Start(weightstore.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Publish(weightstore.Version{Model: "drafter-llm", Version: 2})
	e := startEngine(t, Options{WeightStoreURL: "http://" + store.Address(), LoadTime: time.Millisecond, SwitchTime: time.Millisecond})
	prompt := strings.Repeat("x", 2*cacheBlockBytes)
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":400,"stream":true}`, prompt)
	resp, err := post(t, context.Background(), e, "/v1/completions", "a", body)
	if err != nil {
		t.Fatal(err)
	}
	postOrder(t, e, "load", 2, 1, http.StatusOK)
	waitFor(t, "version 2 is loaded", func() bool { return len(e.State().LoadedVersions) == 2 })
	postOrder(t, e, "switch", 2, 1, http.StatusOK)
	_, pieces, whole := readStream(t, resp, "a")
	seen := map[api.WeightVersion]int{}
	for _, p := range pieces {
		seen[p.Version] += p.Tokens
	}
	if !whole || seen[1] == 0 || seen[2] == 0 || seen[1]+seen[2] != 400 {
		t.Errorf("tokens by version: %v", seen)
	}
	resp, err = post(t, context.Background(), e, "/v1/completions", "b", `{"max_tokens":1,"stream":true,"prompt":"`+prompt+`"}`)
	if err != nil {
		t.Fatal(err)
	}
	_, pieces, _ = readStream(t, resp, "b")
	if len(pieces) == 0 || pieces[0] != (api.PieceLabel{Version: 1, Cached: true}) {
		t.Errorf("pieces %v, want first the cached prefix of version 1", pieces)
	}
}

func postOrder(t *testing.T, e *Engine, kind string, v, token, want int) {
	t.Helper()
	body := fmt.Sprintf(`{"order_id":"o","kind":%q,"model":"drafter-llm","version":%d,"fencing_token":%d}`, kind, v, token)
	if status, answer := mustPost(t, e, "/engine/v1/orders", "", body); status != want {
		t.Errorf("order %s: status %d, body %s, want %d", kind, status, answer, want)
	}
}

// Guards against an engine that accepts outdated fencing tokens, or reports a failed switch as done, and so hides
// such faults of the product from other tests.
func TestOrdersFencingAndFailedSwap(t *testing.T) {
	e := startEngine(t, Options{LoadTime: time.Millisecond, SwitchTime: time.Millisecond})
	e.faults.Apply(standin.Faults{FailSwitchOrders: 1})
	postOrder(t, e, "load", 2, 5, http.StatusOK)
	postOrder(t, e, "load", 3, 4, http.StatusConflict)
	waitFor(t, "version 2 is loaded", func() bool { return len(e.State().LoadedVersions) == 2 })
	postOrder(t, e, "switch", 2, 5, http.StatusOK)
	waitFor(t, "the switch failed", func() bool { return strings.Contains(e.Log().Orders[2].Result, "injected") })
	if e.Version() != 1 {
		t.Errorf("version %d after a failed switch, want 1", e.Version())
	}
	on := true
	e.faults.Apply(standin.Faults{IgnoreFencing: &on})
	postOrder(t, e, "switch", 2, 1, http.StatusOK)
	waitFor(t, "the order with an old token was run", func() bool { return e.Version() == 2 })
	status, _ := mustPost(t, e, chatPath, "a", `{"prompt":"p","filbertledge":{"min_version":3}}`)
	if status != http.StatusConflict {
		t.Errorf("status %d for weights older than min_version", status)
	}
}

// Guards against injected faults that have no effect: a stream cut after some tokens, two exchanged answers, and a
// crash on a marked request.
func TestCutCrossAndCrash(t *testing.T) {
	e := startEngine(t, Options{})
	n := 3
	e.faults.Apply(standin.Faults{CutAfterTokens: &n})
	resp, err := post(t, context.Background(), e, chatPath, "a", `{"prompt":"p","max_tokens":50,"stream":true}`)
	if err != nil {
		t.Fatal(err)
	}
	text, _, whole := readStream(t, resp, "a")
	// The reset can discard tokens that were sent before it.
	if whole || !strings.HasPrefix(ExpectedText(&Request{Prompt: "p"}, 3), text) {
		t.Errorf("cut stream: %q whole %v", text, whole)
	}
	e.faults.Apply(standin.Faults{ExchangeAnswers: 1})
	bodies := [2][]byte{}
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { _, bodies[i] = mustPost(t, e, chatPath, fmt.Sprint("x", i), `{"prompt":"p","max_tokens":60}`) })
	}
	wg.Wait()
	if !strings.Contains(string(bodies[0]), `"attempt_id":"x1"`) || !strings.Contains(string(bodies[1]), `"attempt_id":"x0"`) {
		t.Errorf("the answers were not exchanged: %s\n%s", bodies[0], bodies[1])
	}
	marker := "poison"
	e.faults.Apply(standin.Faults{CrashMarker: &marker})
	if resp, err := post(t, context.Background(), e, chatPath, "c", `{"prompt":"some poison"}`); err == nil {
		resp.Body.Close()
		t.Error("the engine answered a request on which it crashes")
	}
	waitFor(t, "the engine is down", func() bool {
		resp, err := http.Get("http://" + e.Address() + "/engine/v1/state")
		if err == nil {
			resp.Body.Close()
		}
		return err != nil
	})
}

// Guards against an engine that keeps generating after the caller has disconnected, for a streamed answer, for an
// answer in one body, and for a waiting request.
func TestCallerDepartureCancelsItsRequests(t *testing.T) {
	e := startEngine(t, Options{Capacity: 2})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, body := range []string{`{"prompt":"p","max_tokens":100000}`, `{"prompt":"p","max_tokens":100000,"stream":true}`, `{"prompt":"p"}`} {
		count := len(e.Log().Requests)
		wg.Go(func() {
			resp, err := post(t, ctx, e, chatPath, "a", body)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
		waitFor(t, "the request arrived", func() bool { return len(e.Log().Requests) > count })
	}
	waitFor(t, "one request waits", func() bool { s := e.State(); return s.Running == 2 && s.Waiting == 1 })
	cancel()
	wg.Wait()
	waitFor(t, "all were cancelled", func() bool {
		for _, r := range e.Log().Requests {
			if r.State != standin.RequestCancelled {
				return false
			}
		}
		return e.Idle()
	})
}

// Guards against an engine that stops generating after the caller of a request was answered while the request still
// runs: with exchanged answers of unequal length, the caller of the longer one is answered first.
func TestExchangedAnswersOfUnequalLength(t *testing.T) {
	e := startEngine(t, Options{})
	e.faults.Apply(standin.Faults{ExchangeAnswers: 1})
	client := &http.Client{Timeout: waitTimeout}
	var wg sync.WaitGroup
	for i, tokens := range []int{400, 20} {
		if i > 0 {
			waitFor(t, "the longer request runs", func() bool { return e.State().Running == 1 })
		}
		wg.Go(func() {
			resp, err := client.Post("http://"+e.Address()+chatPath, "application/json", strings.NewReader(fmt.Sprintf(`{"prompt":"p","max_tokens":%d}`, tokens)))
			if err != nil {
				t.Errorf("request with %d tokens: %v", tokens, err)
				return
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Errorf("request with %d tokens: %v", tokens, err)
			}
		})
	}
	wg.Wait()
}
