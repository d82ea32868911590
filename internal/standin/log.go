package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

// RequestState is the state of a logged request.
type RequestState string

// States of a logged request.
const (
	RequestRunning   RequestState = "running"
	RequestCompleted RequestState = "completed"
	RequestCancelled RequestState = "cancelled" // by the caller, or by loss of the connection
	RequestRefused   RequestState = "refused"   // rejected with an error before it was run
	RequestAborted   RequestState = "cut"       // ended by an injected fault
)

// RequestRecord describes one request that a stand-in received.
type RequestRecord struct {
	Sequence       uint64           `json:"sequence"`
	Server         api.ServerID     `json:"server"`
	AttemptID      string           `json:"attempt_id"`
	IdempotencyKey string           `json:"idempotency_key,omitempty"`
	Method         string           `json:"method"`
	Path           string           `json:"path"`
	Digest         string           `json:"digest"` // ContentDigest of the request
	Start          time.Time        `json:"start"`
	End            time.Time        `json:"end,omitzero"`
	State          RequestState     `json:"state"`
	Stream         bool             `json:"stream,omitempty"`
	Seed           uint64           `json:"seed,omitempty"`
	ResumedAt      int              `json:"resumed_at,omitempty"` // number of tokens in continue_from
	ResumeMismatch bool             `json:"resume_mismatch,omitempty"`
	Tokens         int              `json:"tokens"` // tokens generated for this request, without those of continue_from
	Pieces         []api.PieceLabel `json:"pieces,omitempty"`
	TextDigest     string           `json:"text_digest,omitempty"` // TextDigest of the whole answer, continue_from included
	Run            int              `json:"run,omitempty"`         // number of the call in a plain service, from 1
}

// OrderRecord describes one order that an engine received.
type OrderRecord struct {
	Sequence     uint64            `json:"sequence"`
	Server       api.ServerID      `json:"server"`
	OrderID      string            `json:"order_id"`
	Kind         string            `json:"kind"`
	Model        string            `json:"model"`
	Version      api.WeightVersion `json:"version"`
	FencingToken uint64            `json:"fencing_token"`
	At           time.Time         `json:"at"`
	Ended        time.Time         `json:"ended,omitzero"`
	Result       string            `json:"result"` // accepted, refused, done or an error message
}

// LogContent is the response body of GET /standin/v1/log.
type LogContent struct {
	Requests []RequestRecord `json:"requests"`
	Orders   []OrderRecord   `json:"orders"`
}

// logLine is one line of the log file. A later line with the same sequence replaces an earlier one.
type logLine struct {
	Request *RequestRecord `json:"request,omitempty"`
	Order   *OrderRecord   `json:"order,omitempty"`
}

// Log records the requests and orders that a stand-in received. If it has a file, each record is written to it before
// the stand-in continues, so that the log survives a killed process.
type Log struct {
	mu       sync.Mutex
	disabled bool
	file     *os.File
	requests []RequestRecord
	orders   []OrderRecord
}

// NewLog returns a log. With an empty path, records stay in memory only; a disabled log writes no file and drops
// requests, and keeps only orders.
func NewLog(path string, disabled bool) (*Log, error) {
	l := &Log{disabled: disabled}
	if path == "" || disabled {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the stand-in log: %w", err)
	}
	l.file = f
	return l, nil
}

// BeginRequest records the start of a request and returns its sequence number. The first is 1; a disabled log returns
// 0.
func (l *Log) BeginRequest(r RequestRecord) uint64 {
	if l.disabled {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Sequence = uint64(len(l.requests) + 1)
	l.requests = append(l.requests, r)
	l.write(logLine{Request: &r})
	return r.Sequence
}

// UpdateRequest changes a recorded request. It does nothing in a disabled log.
func (l *Log) UpdateRequest(sequence uint64, change func(*RequestRecord)) {
	if l.disabled || sequence == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.requests[sequence-1]
	change(r)
	l.write(logLine{Request: r})
}

// RecordOrder records an order and returns its sequence number. The first is 1.
func (l *Log) RecordOrder(o OrderRecord) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Sequence = uint64(len(l.orders) + 1)
	l.orders = append(l.orders, o)
	l.write(logLine{Order: &o})
	return o.Sequence
}

// SetOrderResult sets the result and the end time of a recorded order.
func (l *Log) SetOrderResult(sequence uint64, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.orders[sequence-1]
	o.Result, o.Ended = result, time.Now()
	l.write(logLine{Order: o})
}

// Content returns a copy of the log.
func (l *Log) Content() LogContent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogContent{
		Requests: append([]RequestRecord{}, l.requests...),
		Orders:   append([]OrderRecord{}, l.orders...),
	}
}

func (l *Log) write(line logLine) {
	if l.file == nil {
		return
	}
	b, err := json.Marshal(line)
	if err == nil {
		_, err = l.file.Write(append(b, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "write the stand-in log file:", err)
	}
}

// ReadLogFile reads the log file of a stand-in, also after its process has ended. An incomplete last line, as a
// killed process leaves it, is ignored.
func ReadLogFile(path string) (LogContent, error) {
	f, err := os.Open(path)
	if err != nil {
		return LogContent{}, fmt.Errorf("open the stand-in log: %w", err)
	}
	defer f.Close()
	return readLog(f)
}

func readLog(r io.Reader) (LogContent, error) {
	var c LogContent
	dec := json.NewDecoder(r)
	for {
		var line logLine
		err := dec.Decode(&line)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return c, nil
		}
		if err != nil {
			return c, fmt.Errorf("read the stand-in log: %w", err)
		}
		if line.Request != nil {
			c.Requests = storeRecord(c.Requests, line.Request.Sequence, *line.Request)
		}
		if line.Order != nil {
			c.Orders = storeRecord(c.Orders, line.Order.Sequence, *line.Order)
		}
	}
}

// storeRecord appends v to list, or replaces the earlier record with the same sequence number.
func storeRecord[T any](list []T, sequence uint64, v T) []T {
	if sequence == uint64(len(list)+1) {
		return append(list, v)
	}
	list[sequence-1] = v
	return list
}

// ContentDigest returns the digest of the parts of a request that the caller chose. Each part is hashed with its
// length, so that the same bytes split differently give different digests.
func ContentDigest(parts ...string) string {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.WriteString(p)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// TextDigest returns the digest of generated text.
func TextDigest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }
