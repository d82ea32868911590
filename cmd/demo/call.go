package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
)

// Bounds of one request over all its resends.
const (
	requestLimit = 20 * time.Second
	resendAfter  = 100 * time.Millisecond
	maxAnswer    = 4 << 20
)

// attempt is what one resend of a request brought.
type attempt struct {
	vm      *harness.VM
	sent    time.Time
	ended   time.Time
	err     error // the connection broke or the answer was not whole
	status  int
	outcome api.Outcome
	notRun  bool // Filbertledge-Attempt: not-run
	code    string
	body    []byte // of a whole answer that is not a stream
	text    string // of a whole stream
}

// ok reports whether the attempt brought a whole answer.
func (a *attempt) ok() bool { return a.err == nil && a.status == http.StatusOK }

// request is one request of a caller with all its attempts.
type request struct {
	kind     string // chat, stream or booking
	row      string
	id       string // Filbertledge-Request-Id, or the idempotency key of a booking
	digest   string // as the stand-ins log it
	want     string // the expected text, or empty
	method   string
	path     string
	body     []byte
	key      string        // Idempotency-Key; none if empty
	first    *harness.VM   // through which it is sent first; nil for any
	deadline time.Duration // zero for the row's
	attempts []attempt
}

// last returns the last attempt.
func (r *request) last() *attempt { return &r.attempts[len(r.attempts)-1] }

// book keeps all finished requests.
type book struct {
	mu       sync.Mutex
	requests []*request
}

func (b *book) add(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// send sends r through changing entry VMs until it is answered or its limit has passed.
func (d *demo) send(ctx context.Context, r *request) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	if len(r.attempts) == 0 {
		d.book.add(r)
	}
	vm := r.first
	for {
		if vm == nil || len(r.attempts) > 0 {
			vm = d.balancer.pick(vm)
		}
		a := d.once(ctx, vm, r)
		r.attempts = append(r.attempts, a)
		if a.ok() || final(r, &a) || ctx.Err() != nil {
			return
		}
		pause(ctx, resendAfter)
	}
}

// unknownResends is the number of equal answers after which a caller believes that the outcome stays unknown.
const unknownResends = 3

// final reports whether a resend cannot bring another answer.
func final(r *request, a *attempt) bool {
	if a.err != nil {
		return false
	}
	if r.deadline > 0 {
		return true // the caller has no time for a resend
	}
	if a.status < 500 && a.status != http.StatusTooManyRequests {
		return true
	}
	n := 0
	for _, old := range r.attempts {
		if old.code == "outcome_unknown" {
			n++
		}
	}
	return a.code == "outcome_unknown" && n >= unknownResends
}

func (d *demo) once(ctx context.Context, vm *harness.VM, r *request) attempt {
	a := attempt{vm: vm, sent: time.Now()}
	resp, err := d.do(ctx, vm, r)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	a.notRun = resp.Header.Get(api.HeaderAttempt) == string(api.OutcomeNotRun)
	a.code = resp.Header.Get(api.HeaderError)
	if r.kind == "stream" && a.status == http.StatusOK {
		a.text, a.err = readStream(resp.Body)
		a.takeStreamError()
	} else {
		a.body, a.err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	}
	a.ended = time.Now()
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
func (a *attempt) takeStreamError() {
	var e *streamError
	if !errors.As(a.err, &e) {
		return
	}
	a.err, a.code, a.status = nil, e.Code, http.StatusBadGateway
}

func (d *demo) do(ctx context.Context, vm *harness.VM, r *request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+vm.HTTP+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	// Without this, the client would resend a request with an idempotency key by itself, unseen by the checks.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+harness.Token(r.row))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(api.HeaderRow, r.row)
	req.Header.Set(api.HeaderRequestID, r.id)
	if r.deadline > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	if r.key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, r.key)
	}
	return d.client.Do(req)
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
func answerText(a *attempt) (string, error) {
	if a.body == nil {
		return a.text, nil
	}
	var c chatChunk
	if err := json.Unmarshal(a.body, &c); err != nil {
		return "", fmt.Errorf("decode the answer: %w", err)
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("the answer has %d choices", len(c.Choices))
	}
	return c.Choices[0].Message.Content, nil
}
