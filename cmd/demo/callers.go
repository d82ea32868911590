package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/harness"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

const (
	chatCallers    = 6
	bookingCallers = 4
	chatPause      = 40 * time.Millisecond
	bookingPause   = 60 * time.Millisecond
	shortTokens    = 20
	longTokens     = 300 // answer length of one chat request in ten, and of the first group of a trainer step
	// One in resendOneIn answered bookings is sent again with the same idempotency key, through another entry VM.
	resendOneIn         = 3
	shortDeadlinePause  = 150 * time.Millisecond
	maxShortDeadlineMS  = 60 // deadlines are drawn from 1 ms to this
	invalidKeyBookings  = 20
	invalidKeyPause     = 500 * time.Millisecond
	drainedStreams      = 6
	drainedTokens       = 800
	streamLead          = 300 * time.Millisecond // from the start of the long streams until the entry VM shuts down
	lateRequestInterval = 600 * time.Millisecond // between the short requests; the last is sent 3 s after the shutdown began
)

// chatCaller sends chat requests sequentially, alternately without and with streaming.
func (d *demo) chatCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(100+n)))
	for i := 0; ctx.Err() == nil; i++ {
		d.sender.Send(context.WithoutCancel(ctx), d.chatRequest(rng, n, i))
		workload.Pause(ctx, chatPause)
	}
}

func (d *demo) chatRequest(rng *rand.Rand, caller, i int) *workload.Request {
	tokens := shortTokens + rng.IntN(shortTokens)
	if rng.IntN(10) == 0 {
		tokens = longTokens
	}
	return d.chatRequestWithTokens(rng, caller, i, tokens)
}

// chatRequestWithTokens returns a chat request for an answer with the given number of tokens. It streams if i is odd.
func (d *demo) chatRequestWithTokens(rng *rand.Rand, caller, i, tokens int) *workload.Request {
	seed := rng.Uint64N(1 << 32)
	body := engine.Request{
		Model: d.deployment.Layout.Model, MaxTokens: tokens, Seed: &seed, Stream: i%2 == 1,
		Messages: []engine.Message{
			{Role: "system", Content: "You draft replies of a dove booking service to venues, planners and funeral homes. Answer briefly."},
			{Role: "user", Content: fmt.Sprintf("Request %d of caller %d: are two doves free on Saturday?", i, caller)},
		},
	}
	return workload.ChatRequest("reply-chat", body)
}

// shortDeadlineCaller sends chat requests and bookings with deadlines that many of them cannot meet, to produce
// refusals for the check of promise P5.
func (d *demo) shortDeadlineCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.seed, 300))
	for i := 0; ctx.Err() == nil; i++ {
		r := d.bookingRequest(bookingCallers, i)
		if i%2 == 1 {
			r = d.chatRequest(rng, chatCallers, i/2)
		}
		r.Deadline = time.Duration(1+rng.IntN(maxShortDeadlineMS)) * time.Millisecond
		d.sender.Send(context.WithoutCancel(ctx), r)
		workload.Pause(ctx, shortDeadlinePause)
	}
}

// invalidKeyCaller sends bookings that must be refused without being run: without an idempotency key, and with an
// expired one.
func (d *demo) invalidKeyCaller(ctx context.Context) {
	for i := 0; ctx.Err() == nil && i < invalidKeyBookings; i++ {
		r := d.bookingRequest(bookingCallers+1, i)
		r.IdempotencyKey = ""
		if i%2 == 1 {
			r.IdempotencyKey = expiredKey()
		}
		d.sender.Send(context.WithoutCancel(ctx), r)
		workload.Pause(ctx, invalidKeyPause)
	}
}

// expiredKey returns a UUID version 7 whose timestamp is two days old, which exceeds the retention of idempotency
// records.
func expiredKey() string {
	id := uuid.Must(uuid.NewV7())
	milliseconds := uint64(time.Now().Add(-48 * time.Hour).UnixMilli())
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], milliseconds<<16)
	copy(id[:6], b[:6])
	return id.String()
}

// drainStreams sends long streams through one entry VM and, while that VM shuts down, short requests. It returns after
// streamLead, when the streams have begun, and leaves the requests running.
func (d *demo) drainStreams(ctx context.Context, vm *harness.VM, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(d.seed, 400))
	for i := range drainedStreams {
		long := d.chatRequestWithTokens(rng, chatCallers+1, 2*i+1, drainedTokens)
		late := d.chatRequestWithTokens(rng, chatCallers+1, 2*i, shortTokens)
		long.FirstVM, late.FirstVM = vm, vm
		wg.Go(func() { d.sender.Send(context.WithoutCancel(ctx), long) })
		wg.Go(func() {
			workload.Pause(ctx, streamLead+time.Duration(i)*lateRequestInterval)
			d.sender.Send(context.WithoutCancel(ctx), late)
		})
	}
	workload.Pause(ctx, streamLead)
}

// bookingCaller sends bookings, which must run at most once, and sends some of them again after the answer.
func (d *demo) bookingCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(200+n)))
	for i := 0; ctx.Err() == nil; i++ {
		r := d.bookingRequest(n, i)
		d.sender.Send(context.WithoutCancel(ctx), r)
		if r.LastAttempt().OK() && rng.IntN(resendOneIn) == 0 {
			d.sender.Send(context.WithoutCancel(ctx), r)
		}
		workload.Pause(ctx, bookingPause)
	}
}

func (d *demo) bookingRequest(caller, i int) *workload.Request {
	return workload.BookingRequest("booking", "/bookings", caller, i)
}

const (
	trainerSteps   = 4
	stepGroups     = 4
	groupSize      = 4
	stepDeadline   = 60 * time.Second
	stepPause      = 2 * time.Second // simulates the optimizer step
	stepTimeout    = 40 * time.Second
	rolloutTokens  = 40
	crashBeforeAck = 3 // each trainer crashes once before this acknowledgement
)

// newTrainer returns the trainer of a row. It crashes once, before acknowledgement crashBeforeAck.
func (d *demo) newTrainer(row harness.RowSpec, n int) *workload.TrainerRun {
	return workload.NewTrainerRun(d.deployment, d.sender.Balancer.ReadyAddresses, row, d.seed+uint64(n), crashBeforeAck)
}

// runTrainer runs the steps of one trainer, and stops at the first one that fails.
func runTrainer(ctx context.Context, t *workload.TrainerRun, seed uint64) {
	for step := uint64(1); step <= trainerSteps; step++ {
		if t.RunStep(ctx, step, stepDeadline, stepTimeout, groupsOfStep(t.Row, step, seed)) != nil {
			return
		}
		workload.Pause(ctx, stepPause)
	}
}

func groupsOfStep(row string, step, seed uint64) []trainer.Group {
	rng := rand.New(rand.NewPCG(seed, step))
	groups := make([]trainer.Group, stepGroups)
	for i := range groups {
		tokens := rolloutTokens + rng.IntN(rolloutTokens)
		if i == 0 {
			tokens = longTokens
		}
		groups[i] = trainer.Group{ID: fmt.Sprintf("g%d", i), Size: groupSize, Request: workload.MustJSON(engine.Request{
			Model: "drafter", MaxTokens: tokens,
			Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Draft a reply for %s, step %d, conversation %d.", row, step, i)}},
		})}
	}
	return groups
}
