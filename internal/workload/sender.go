// Package workload simulates the callers and trainers of the demo, the scenarios and the soak and restart runs, and
// checks what they received against the logs of the stand-ins. It is not part of the product.
package workload

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"filbertledge/internal/standin"
	"filbertledge/internal/standin/engine"
)

// Sender sends requests through the entry VMs that a balancer picks, and records them in Log.
type Sender struct {
	Balancer *Balancer
	Log      RequestLog
	client   *http.Client
}

// NewSender returns a sender. Each request uses its own connection, as behind the load balancer of the platform.
func NewSender(b *Balancer) *Sender {
	return &Sender{Balancer: b, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Values of Request.Kind.
const (
	KindChat    = "chat"
	KindStream  = "stream"
	KindBooking = "booking" // a call that must run at most once
)

// ChatRequest returns a chat request of a row. WantText is the answer that the stand-in engine gives to it.
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

// Duplicate returns a copy of the request without its attempts, for a concurrent resend with the same key and content.
// It may be called while r is being sent.
func (r *Request) Duplicate() *Request {
	return &Request{
		Kind: r.Kind, Row: r.Row, ID: r.ID, Digest: r.Digest, WantText: r.WantText, Method: r.Method, Path: r.Path,
		Body: r.Body, IdempotencyKey: r.IdempotencyKey, Deadline: r.Deadline,
	}
}

// NewID returns a new UUID of version 7.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// MustJSON encodes v as JSON. It panics if v cannot be encoded.
func MustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
