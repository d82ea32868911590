package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/front"
	"filbertledge/internal/membership"
	"filbertledge/internal/table"
)

const testToken = "s3cret"

// fakeControl keeps call records in memory, with the rules of the replicated state machine.
type fakeControl struct {
	mu           sync.Mutex
	rows         *table.Snapshot
	calls        map[uuid.UUID]*control.CallRecord
	leaseExpired atomic.Bool
	unavailable  atomic.Bool // Do returns Unavailable
	loseAnswers  atomic.Bool // Do applies commands and returns the error of a lost answer
	vms          []api.VM
}

func newFakeControl(rows ...table.Row) *fakeControl {
	m := map[api.RowName]table.Row{}
	sum := sha256.Sum256([]byte(testToken))
	for _, r := range rows {
		r.TokenSHA256 = hex.EncodeToString(sum[:])
		m[r.Name] = r
	}
	return &fakeControl{rows: table.NewSnapshot(1, m), calls: map[uuid.UUID]*control.CallRecord{}}
}

func (f *fakeControl) Do(_ context.Context, cmd control.Command) (control.Result, error) {
	if f.unavailable.Load() {
		return control.Result{}, errs.New(errs.Unavailable, "wait", "no quorum")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var res control.Result
	switch {
	case cmd.BeginCall != nil:
		res = f.begin(cmd.BeginCall)
	case cmd.FinishCall != nil:
		res = f.finish(cmd.FinishCall)
	}
	if f.loseAnswers.Load() {
		return control.Result{}, errs.New(errs.OutcomeUnknown, "resend the command", "answer was lost")
	}
	return res, nil
}

// states returns the states of all call records.
func (f *fakeControl) states() []control.CallState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []control.CallState
	for _, rec := range f.calls {
		out = append(out, rec.State)
	}
	return out
}

func (f *fakeControl) begin(b *control.BeginCall) control.Result {
	rec := f.calls[b.Key]
	if rec == nil || rec.State == control.CallNotRun {
		f.calls[b.Key] = &control.CallRecord{State: control.CallInProgress, Digest: b.Digest, Attempt: b.Attempt, VM: b.VM}
		granted := *f.calls[b.Key]
		granted.State = control.CallGranted
		return control.Result{Call: &granted}
	}
	if rec.Digest != b.Digest {
		return control.Result{ErrorKind: string(errs.KeyReused), Error: "key was used for another call"}
	}
	rec.Contested = rec.Contested || rec.Attempt != b.Attempt
	copied := *rec
	return control.Result{Call: &copied}
}

func (f *fakeControl) finish(c *control.FinishCall) control.Result {
	rec := f.calls[c.Key]
	if rec == nil {
		return control.Result{}
	}
	if rec.Attempt == c.Attempt && rec.State == control.CallInProgress {
		rec.State, rec.Answer = c.State, c.Answer
	}
	copied := *rec
	return control.Result{Call: &copied}
}

// loseVM marks the calls in progress as unknown, as the state machine does when their VM is lost.
func (f *fakeControl) loseVM() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rec := range f.calls {
		if rec.State == control.CallInProgress {
			rec.State = control.CallUnknown
		}
	}
}

func (f *fakeControl) Table() *table.Snapshot              { return f.rows }
func (f *fakeControl) TableLeaseValid() bool               { return !f.leaseExpired.Load() }
func (f *fakeControl) Weights(string) control.ModelWeights { return control.ModelWeights{} }
func (f *fakeControl) VMs() []api.VM                       { return f.vms }
func (f *fakeControl) Step(context.Context, control.StepID) (control.StepView, error) {
	return control.StepView{}, nil
}

// vm is an entry VM under test.
type vm struct {
	url      string
	registry *membership.Registry
	handler  *Handler
	server   *front.Server
}

func newVM(t testing.TB, ctl *fakeControl) *vm {
	t.Helper()
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	reg := membership.New(membership.Options{VM: "vm", Domain: "d", Now: now, Seed: 1})
	client := backend.New(backend.Options{})
	d := dispatch.New(dispatch.Options{FailureDomain: "d", Registry: reg, Backend: client, Control: ctl, Seed: 1})
	h := New(Options{VM: "vm", Incarnation: 1, Control: ctl, Dispatcher: d})
	s := front.New(front.Options{Handlers: []front.Handler{h.Handle}, InFlight: h.InFlight, AcceptGracePeriod: time.Second})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { cancel(); ln.Close(); client.Close() })
	return &vm{url: "http://" + ln.Addr().String(), registry: reg, handler: h, server: s}
}

var announceSequence atomic.Uint64

// joinServer announces a backend server to the VM and renews the announcement until the test ends.
func (v *vm) joinServer(t testing.TB, id, addr string, pool api.Pool, engine bool) {
	t.Helper()
	renew := func() {
		v.registry.Announce(api.Announcement{
			ID: api.ServerID(id), Incarnation: 1, Sequence: announceSequence.Add(1), Address: addr, Domain: "d", Pool: pool,
			Engine: engine, Current: 7, Capacity: 8, State: api.ServerServing,
		})
	}
	renew()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
				renew()
			}
		}
	}()
}

// startServer serves handler as a backend server and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// fakeEngine answers with the given number of words, w0 w1 and so on, one per token. If breakAfter is positive, it
// breaks the connection of the first stream after that many tokens.
type fakeEngine struct {
	words      int
	breakAfter atomic.Int64
	runs       atomic.Int64
	canceled   atomic.Int64
	attempt    string        // attempt ID to answer with; empty: that of the request
	delay      time.Duration // before each token
	omitDone   bool          // leaves out the end marker of streams
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e.runs.Add(1)
	var body struct {
		Stream    bool `json:"stream"`
		Extension struct {
			ContinueFrom struct {
				Text   string `json:"text"`
				Tokens int    `json:"tokens"`
			} `json:"continue_from"`
		} `json:"filbertledge"`
	}
	data, _ := io.ReadAll(req.Body)
	_ = json.Unmarshal(data, &body)
	attempt := req.Header.Get(api.HeaderAttemptID)
	if e.attempt != "" {
		attempt = e.attempt
	}
	if body.Stream {
		e.stream(w, req, attempt, body.Extension.ContinueFrom.Tokens)
		return
	}
	e.unary(w, req, attempt)
}

func (e *fakeEngine) unary(w http.ResponseWriter, req *http.Request, attempt string) {
	select {
	case <-time.After(e.delay):
	case <-req.Context().Done():
		e.canceled.Add(1)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":"c","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":1},"filbertledge":{"attempt_id":%q,"offset":0,"pieces":[{"version":7,"tokens":%d}]}}`,
		wordsOf(0, e.words), e.words, attempt, e.words)
}

func (e *fakeEngine) stream(w http.ResponseWriter, req *http.Request, attempt string, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	breakAt := e.breakAfter.Swap(0)
	for i := from; i < e.words; i++ {
		if breakAt > 0 && int64(i) == breakAt {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(e.delay):
		case <-req.Context().Done():
			e.canceled.Add(1)
			return
		}
		fmt.Fprintf(w, "data: "+`{"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":%q}}],"filbertledge":{"attempt_id":%q,"offset":%d,"pieces":[{"version":7,"tokens":1}]}}`+"\n\n",
			wordsOf(i, i+1), attempt, i)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "data: "+`{"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":1},"filbertledge":{"attempt_id":%q,"offset":%d,"pieces":[]}}`+"\n\n",
		e.words, attempt, e.words)
	if !e.omitDone {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// wordsOf returns the words from index from up to but not including index to.
func wordsOf(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// send sends a request with the test token and returns the response and its body.
func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	resp, data, err := trySend(method, url, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

func trySend(method, url, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(bufio.NewReader(resp.Body))
	return resp, string(data), err
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

var (
	chatRow    = table.Row{Name: "chat", Version: 1, Kind: table.KindChat, Pool: "llm", Deadline: 5 * time.Second}
	onceRow    = table.Row{Name: "once", Version: 1, Kind: table.KindChat, Pool: "llm", NonIdempotent: true, Deadline: 5 * time.Second}
	bookingRow = table.Row{Name: "booking", Version: 1, Kind: table.KindService, Pool: "api", NonIdempotent: true, Deadline: 5 * time.Second}
	lookupRow  = table.Row{Name: "lookup", Version: 1, Kind: table.KindService, Pool: "api", Deadline: 5 * time.Second}
)
