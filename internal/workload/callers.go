package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"filbertledge/internal/standin/engine"
)

// Callers generates load on one chat row and on one row whose calls must run at most once.
type Callers struct {
	Sender      *Sender
	Seed        uint64
	Model       string
	ChatRow     string
	BookingRow  string // row of the calls that must run at most once
	BookingPath string // path of these calls
}

const (
	callerPause      = 50 * time.Millisecond
	shortTokens      = 20
	longTokens       = 300 // used by one chat request in longRequestEvery
	longRequestEvery = 10
	resendEvery      = 3 // one booking call in three is resent with its idempotency key
)

// RunChat sends chat requests one after another until ctx ends, alternating between plain and streamed answers. The
// request in flight when ctx ends is completed.
func (c *Callers) RunChat(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(100+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		tokens := shortTokens + rng.IntN(shortTokens)
		if rng.IntN(longRequestEvery) == 0 {
			tokens = longTokens
		}
		c.Sender.Send(context.WithoutCancel(ctx), c.ChatRequest(rng, caller, i, tokens))
		Pause(ctx, callerPause)
	}
}

// ChatRequest returns request number i of a caller, for at most the given number of tokens. Odd i ask for a stream.
func (c *Callers) ChatRequest(rng *rand.Rand, caller, i, tokens int) *Request {
	seed := rng.Uint64N(1 << 32)
	return ChatRequest(c.ChatRow, engine.Request{
		Model: c.Model, MaxTokens: tokens, Seed: &seed, Stream: i%2 == 1,
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Request %d of caller %d: is Saturday free?", i, caller)}},
	})
}

// RunBookings sends calls that must run at most once until ctx ends. It resends some of them with the same idempotency
// key, concurrently with the first request or after its end.
func (c *Callers) RunBookings(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(200+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		r := BookingRequest(c.BookingRow, c.BookingPath, caller, i)
		concurrent, after := rng.IntN(resendEvery) == 0, rng.IntN(resendEvery) == 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			if concurrent {
				c.Sender.Send(context.WithoutCancel(ctx), r.Duplicate())
			}
		}()
		c.Sender.Send(context.WithoutCancel(ctx), r)
		<-done
		if after {
			c.Sender.Send(context.WithoutCancel(ctx), r.Duplicate())
		}
		Pause(ctx, callerPause)
	}
}
