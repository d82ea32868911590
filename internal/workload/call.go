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

// Bounds of one request over all its resends.
const (
	RequestTimeout = 20 * time.Second
	resendAfter    = 100 * time.Millisecond
	maxAnswer      = 4 << 20
)

// Attempt is what one resend of a request brought.
type Attempt struct {
	VM      *harness.VM
	Sent    time.Time
	Ended   time.Time
	Err     error // the connection broke or the answer was not whole
	Status  int
	Outcome api.Outcome
	NotRun  bool // Filbertledge-Attempt: not-run
	Code    string
	Body    []byte // of a whole answer that is not a stream
	Text    string // of a whole stream
}

// OK reports whether the attempt brought a whole answer.
func (a *Attempt) OK() bool { return a.Err == nil && a.Status == http.StatusOK }

// Request is one request of a caller with all its attempts.
type Request struct {
	Kind           string // chat, stream or booking
	Row            string
	ID             string // Filbertledge-Request-Id, or the idempotency key of a booking
	Digest         string // as the stand-ins log it
	WantText       string // the expected text, or empty
	Method         string
	Path           string
	Body           []byte
	IdempotencyKey string        // Idempotency-Key; none if empty
	FirstVM        *harness.VM   // through which it is sent first; nil for any
	Deadline       time.Duration // zero for the row's
	Attempts       []Attempt
}

// LastAttempt returns the last attempt.
func (r *Request) LastAttempt() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// RequestLog keeps all finished requests.
type RequestLog struct {
	mu       sync.Mutex
	requests []*Request
}

// Add keeps a request.
func (b *RequestLog) Add(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// Requests returns the requests in order of their first send. They may be read when their senders have ended.
func (b *RequestLog) Requests() []*Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requests)
}

// Send sends r through changing entry VMs until it is answered or its limit has passed.
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
		a := s.once(ctx, vm, r)
		r.Attempts = append(r.Attempts, a)
		if a.OK() || final(r, &a) || ctx.Err() != nil {
			return
		}
		Pause(ctx, resendAfter)
	}
}

// unknownResends is the number of equal answers after which a caller believes that the outcome stays unknown.
const unknownResends = 3

// final reports whether a resend cannot bring another answer.
func final(r *Request, a *Attempt) bool {
	if a.Err != nil {
		return false
	}
	if r.Deadline > 0 {
		return true // the caller has no time for a resend
	}
	if a.Status < 500 && a.Status != http.StatusTooManyRequests {
		return true
	}
	n := 0
	for _, old := range r.Attempts {
		if old.Code == "outcome_unknown" {
			n++
		}
	}
	return a.Code == "outcome_unknown" && n >= unknownResends
}

func (s *Sender) once(ctx context.Context, vm *harness.VM, r *Request) Attempt {
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
		a.takeStreamError()
	} else {
		a.Body, a.Err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	}
	a.Ended = time.Now()
	return a
}

// streamError is an error that the service sent in a stream that had begun.
type streamError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// Error returns the message.
func (e *streamError) Error() string { return "the stream ended with an error: " + e.Message }

// takeStreamError makes an error in the stream a refusal with its code. The status of the response was sent
// before the error was known.
func (a *Attempt) takeStreamError() {
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
	// Without this, the client would resend a request with an idempotency key by itself, unseen by the checks.
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

var errNoEndMark = errors.New("the stream ended without its end mark")

// readStream returns the text of a stream that has its end mark.
func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxAnswer)
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
			return "", fmt.Errorf("decode a chunk: %w", err)
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
	return "", errNoEndMark
}

// answerText returns the text of a whole chat answer.
func answerText(a *Attempt) (string, error) {
	if a.Body == nil {
		return a.Text, nil
	}
	var c chatChunk
	if err := json.Unmarshal(a.Body, &c); err != nil {
		return "", fmt.Errorf("decode the answer: %w", err)
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("the answer has %d choices", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}
