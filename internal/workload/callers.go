package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"filbertledge/internal/standin/engine"
)

// Callers are customers of one chat row and of one row whose calls must run at most once.
type Callers struct {
	Sender      *Sender
	Seed        uint64
	Model       string
	ChatRow     string // row
	BookingRow  string // row
	BookingPath string // of the calls of Book
}

const (
	callerPause = 50 * time.Millisecond
	shortTokens = 20
	longTokens  = 300 // of one chat request in ten
	longShare   = 10
	resendShare = 3 // one call in three is sent again with its key
)

// RunChat sends chat requests, one after the other, whole and as streams in turn, until ctx ends. The last one
// is sent to its end.
func (c *Callers) RunChat(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(100+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		tokens := shortTokens + rng.IntN(shortTokens)
		if rng.IntN(longShare) == 0 {
			tokens = longTokens
		}
		c.Sender.Send(context.WithoutCancel(ctx), c.ChatRequest(rng, caller, i, tokens))
		Pause(ctx, callerPause)
	}
}

// ChatRequest returns request number i of a caller for an answer of so many tokens; odd numbers are streams.
func (c *Callers) ChatRequest(rng *rand.Rand, caller, i, tokens int) *Request {
	seed := rng.Uint64N(1 << 32)
	return ChatRequest(c.ChatRow, engine.Request{
		Model: c.Model, MaxTokens: tokens, Seed: &seed, Stream: i%2 == 1,
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Request %d of caller %d: is Saturday free?", i, caller)}},
	})
}

// RunBookings sends calls that must run at most once until ctx ends, and sends some keys again: beside the first
// request or after its end.
func (c *Callers) RunBookings(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(200+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		r := BookingRequest(c.BookingRow, c.BookingPath, caller, i)
		beside, after := rng.IntN(resendShare) == 0, rng.IntN(resendShare) == 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			if beside {
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
