// Package workload holds the callers and trainers that the demo, the scenarios and the long runs share, and the
// checks that compare what they got with what the stand-ins saw. It is not part of the product.
package workload

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"filbertledge/internal/standin"
	"filbertledge/internal/standin/engine"
)

// Sender sends requests through the entry VMs that a balancer picks, and keeps them in its book.
type Sender struct {
	Balancer *Balancer
	Log      RequestLog
	client   *http.Client
}

// NewSender returns a sender. Each request has its own connection, as through the platform's balancer.
func NewSender(b *Balancer) *Sender {
	return &Sender{Balancer: b, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Kinds of requests.
const (
	KindChat    = "chat"
	KindStream  = "stream"
	KindBooking = "booking" // a call that must run at most once
)

// ChatRequest returns a chat request of a row whose answer the checks can compute.
func ChatRequest(row string, body engine.Request) *Request {
	r := &Request{
		Kind: KindChat, Row: row, ID: NewID(), Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: MustJSON(body), WantText: engine.FullText(&body), Digest: standin.ContentDigest(body.PromptText()),
	}
	if body.Stream {
		r.Kind = KindStream
	}
	return r
}

// BookingRequest returns a call of a plain service's row that must run at most once.
func BookingRequest(row, path string, caller, i int) *Request {
	body := MustJSON(struct {
		Slot   string `json:"slot"`
		Caller int    `json:"caller"`
	}{fmt.Sprintf("slot-%d", i), caller})
	id := NewID()
	return &Request{
		Kind: KindBooking, Row: row, ID: id, IdempotencyKey: id, Method: http.MethodPost, Path: "/services/" + row + path,
		Body: body, Digest: standin.ContentDigest(http.MethodPost, path, string(body)),
	}
}

// Duplicate returns a request with the same key and content, for a resend beside the first. It may be called while r
// is being sent.
func (r *Request) Duplicate() *Request {
	return &Request{
		Kind: r.Kind, Row: r.Row, ID: r.ID, Digest: r.Digest, WantText: r.WantText, Method: r.Method, Path: r.Path,
		Body: r.Body, IdempotencyKey: r.IdempotencyKey, Deadline: r.Deadline,
	}
}

// NewID returns a UUID version 7.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// MustJSON encodes a value of a type that always can be encoded.
func MustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
