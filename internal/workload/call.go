package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
)

// Limits of one request, including its resends.
const (
	RequestTimeout = 20 * time.Second
	resendDelay    = 100 * time.Millisecond
	maxAnswerBytes = 4 << 20
)

// Attempt is the result of sending a request once.
type Attempt struct {
	VM      *harness.VM
	Sent    time.Time
	Ended   time.Time
	Err     error // the connection broke or the answer was incomplete
	Status  int
	Outcome api.Outcome
	NotRun  bool   // the answer has the header Filbertledge-Attempt: not-run
	Code    string // of the error in the answer
	Body    []byte // of an answer that is not a stream
	Text    string // of a complete stream
}

// OK reports whether the attempt received a complete answer with status 200.
func (a *Attempt) OK() bool { return a.Err == nil && a.Status == http.StatusOK }

// Request is one request of a caller with all its attempts.
type Request struct {
	Kind           string // chat, stream or booking
	Row            string
	ID             string // Filbertledge-Request-Id, or the idempotency key of a booking
	Digest         string // content digest under which the stand-ins log the request
	WantText       string // the expected text; empty if the answer is not checked
	Method         string
	Path           string
	Body           []byte
	IdempotencyKey string        // not sent if empty
	FirstVM        *harness.VM   // entry VM of the first attempt; nil lets the balancer pick
	Deadline       time.Duration // zero for the deadline of the row
	Attempts       []Attempt
}

// LastAttempt returns the most recent attempt.
func (r *Request) LastAttempt() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// RequestLog holds all requests that were sent. It is safe for concurrent use.
type RequestLog struct {
	mu       sync.Mutex
	requests []*Request
}

// Add appends a request.
func (b *RequestLog) Add(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// Requests returns the requests in the order of their first attempt. A request must not be read while it is being sent.
func (b *RequestLog) Requests() []*Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requests)
}

// Send sends r, each time through another entry VM, until it is answered, its answer is final or RequestTimeout has
// passed.
func (s *Sender) Send(ctx context.Context, r *Request) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	if len(r.Attempts) == 0 {
		s.Log.Add(r)
	}
	vm := r.FirstVM
	for {
		if vm == nil || len(r.Attempts) > 0 {
			vm = s.Balancer.Pick(vm)
		}
		a := s.sendOnce(ctx, vm, r)
		r.Attempts = append(r.Attempts, a)
		if a.OK() || isFinal(r, &a) || ctx.Err() != nil {
			return
		}
		Pause(ctx, resendDelay)
	}
}

// maxUnknownAnswers is the number of attempts answered with outcome_unknown after which a caller stops resending.
const maxUnknownAnswers = 3

// isFinal reports whether the request must not be sent again after attempt a.
func isFinal(r *Request, a *Attempt) bool {
	if a.Err != nil {
		return false
	}
	if r.Deadline > 0 {
		return true // a caller with its own short deadline has no time for a resend
	}
	if a.Status < 500 && a.Status != http.StatusTooManyRequests {
		return true
	}
	n := 0
	for _, attempt := range r.Attempts {
		if attempt.Code == "outcome_unknown" {
			n++
		}
	}
	return a.Code == "outcome_unknown" && n >= maxUnknownAnswers
}

func (s *Sender) sendOnce(ctx context.Context, vm *harness.VM, r *Request) Attempt {
	a := Attempt{VM: vm, Sent: time.Now()}
	resp, err := s.do(ctx, vm, r)
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	a.NotRun = resp.Header.Get(api.HeaderAttempt) == string(api.OutcomeNotRun)
	a.Code = resp.Header.Get(api.HeaderError)
	if r.Kind == "stream" && a.Status == http.StatusOK {
		a.Text, a.Err = readStream(resp.Body)
		a.applyStreamError()
	} else {
		a.Body, a.Err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	}
	a.Ended = time.Now()
	return a
}

// streamError is an error that the service sent inside a stream after the status line.
type streamError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

func (e *streamError) Error() string { return "stream ended with an error: " + e.Message }

// applyStreamError records an error from inside the stream as a complete answer with the error's code and status 502,
// because the service had already sent status 200 when the error occurred.
func (a *Attempt) applyStreamError() {
	var e *streamError
	if !errors.As(a.Err, &e) {
		return
	}
	a.Err, a.Code, a.Status = nil, e.Code, http.StatusBadGateway
}

func (s *Sender) do(ctx context.Context, vm *harness.VM, r *Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+vm.HTTP+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, net/http would resend a request with an idempotency key by itself, and the checks would miss it.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+harness.Token(r.Row))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(api.HeaderRow, r.Row)
	req.Header.Set(api.HeaderRequestID, r.ID)
	if r.Deadline > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	return s.client.Do(req)
}

// chatChunk is one event of a chat stream (Delta), or a complete chat answer (Message).
type chatChunk struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *streamError `json:"error"`
}

var errMissingDone = errors.New("stream ended without [DONE]")

// readStream returns the text of a stream. It fails if the stream does not end with [DONE].
func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxAnswerBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", fmt.Errorf("decode a stream chunk: %w", err)
		}
		if c.Error != nil {
			return "", c.Error
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := sc.Err(); err != nil {
		return "", err
	}
	return "", errMissingDone
}

// answerText returns the text of a complete chat answer, streamed or not.
func answerText(a *Attempt) (string, error) {
	if a.Body == nil {
		return a.Text, nil
	}
	var c chatChunk
	if err := json.Unmarshal(a.Body, &c); err != nil {
		return "", fmt.Errorf("decode the chat answer: %w", err)
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("chat answer has %d choices, want 1", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}
