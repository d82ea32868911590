package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/trainer"
)

const (
	chatCallers    = 6
	bookingCallers = 4
	chatPause      = 40 * time.Millisecond
	bookingPause   = 60 * time.Millisecond
	shortTokens    = 20
	longTokens     = 300 // of one chat request in ten
	// resendShare is the share of answered bookings whose key is sent again through another entry VM.
	resendShare    = 3
	impatientPause = 150 * time.Millisecond
	maxImpatience  = 60 // milliseconds
	wrongBookings  = 20
	wrongPause     = 500 * time.Millisecond
	drainedStreams = 6
	drainedTokens  = 800
	streamLead     = 300 * time.Millisecond // from the start of the long streams to the shutdown
	lateSpacing    = 600 * time.Millisecond // between the short requests; the last comes 3 s after the shutdown began
)

// chatCaller sends chat requests, one after the other, whole and as streams in turn.
func (d *demo) chatCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(100+n)))
	for i := 0; ctx.Err() == nil; i++ {
		d.send(context.WithoutCancel(ctx), d.chatRequest(rng, n, i))
		pause(ctx, chatPause)
	}
}

func (d *demo) chatRequest(rng *rand.Rand, caller, i int) *request {
	tokens := shortTokens + rng.IntN(shortTokens)
	if rng.IntN(10) == 0 {
		tokens = longTokens
	}
	return d.chatRequestOf(rng, caller, i, tokens)
}

// chatRequestOf returns a chat request for an answer of so many tokens; odd numbers are streams.
func (d *demo) chatRequestOf(rng *rand.Rand, caller, i, tokens int) *request {
	seed := rng.Uint64N(1 << 32)
	body := engine.Request{
		Model: d.deployment.Layout.Model, MaxTokens: tokens, Seed: &seed, Stream: i%2 == 1,
		Messages: []engine.Message{
			{Role: "system", Content: "You draft replies of a dove booking service to venues, planners and funeral homes. Answer briefly."},
			{Role: "user", Content: fmt.Sprintf("Request %d of caller %d: are two doves free on Saturday?", i, caller)},
		},
	}
	r := &request{
		kind: "chat", row: "reply-chat", id: newID(), method: http.MethodPost, path: "/v1/chat/completions",
		body: mustJSON(body), want: engine.FullText(&body), digest: standin.ContentDigest(body.PromptText()),
	}
	if body.Stream {
		r.kind = "stream"
	}
	return r
}

// impatientCaller sends chat requests and bookings with deadlines that many of them cannot meet, so that there
// are refusals to check.
func (d *demo) impatientCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.seed, 300))
	for i := 0; ctx.Err() == nil; i++ {
		r := d.bookingRequest(bookingCallers, i)
		if i%2 == 1 {
			r = d.chatRequest(rng, chatCallers, i/2)
		}
		r.deadline = time.Duration(1+rng.IntN(maxImpatience)) * time.Millisecond
		d.send(context.WithoutCancel(ctx), r)
		pause(ctx, impatientPause)
	}
}

// wrongCaller sends bookings that must be refused without a run: without a key, and with a key that is too old.
func (d *demo) wrongCaller(ctx context.Context) {
	for i := 0; ctx.Err() == nil && i < wrongBookings; i++ {
		r := d.bookingRequest(bookingCallers+1, i)
		r.key = ""
		if i%2 == 1 {
			r.key = oldKey()
		}
		d.send(context.WithoutCancel(ctx), r)
		pause(ctx, wrongPause)
	}
}

// oldKey returns a UUID version 7 whose time is two days ago, longer than records are kept.
func oldKey() string {
	id := uuid.Must(uuid.NewV7())
	milliseconds := uint64(time.Now().Add(-48 * time.Hour).UnixMilli())
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], milliseconds<<16)
	copy(id[:6], b[:6])
	return id.String()
}

// drainStreams sends long streams and then, while it shuts down, short requests through one entry VM. It
// returns when the streams have begun.
func (d *demo) drainStreams(ctx context.Context, vm *harness.VM, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(d.seed, 400))
	for i := range drainedStreams {
		long := d.chatRequestOf(rng, chatCallers+1, 2*i+1, drainedTokens)
		late := d.chatRequestOf(rng, chatCallers+1, 2*i, shortTokens)
		long.first, late.first = vm, vm
		wg.Go(func() { d.send(context.WithoutCancel(ctx), long) })
		wg.Go(func() {
			pause(ctx, streamLead+time.Duration(i)*lateSpacing)
			d.send(context.WithoutCancel(ctx), late)
		})
	}
	pause(ctx, streamLead)
}

// bookingCaller sends bookings that must run at most once, and sends some keys again after the answer.
func (d *demo) bookingCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(200+n)))
	for i := 0; ctx.Err() == nil; i++ {
		r := d.bookingRequest(n, i)
		d.send(context.WithoutCancel(ctx), r)
		if r.last().ok() && rng.IntN(resendShare) == 0 {
			d.send(context.WithoutCancel(ctx), r)
		}
		pause(ctx, bookingPause)
	}
}

func (d *demo) bookingRequest(caller, i int) *request {
	const path = "/bookings"
	body := mustJSON(struct {
		Slot   string `json:"slot"`
		Caller int    `json:"caller"`
	}{fmt.Sprintf("slot-%d", i), caller})
	id := newID()
	return &request{
		kind: "booking", row: "booking", id: id, key: id, method: http.MethodPost, path: "/services/booking" + path,
		body: body, digest: standin.ContentDigest(http.MethodPost, path, string(body)),
	}
}

// newID returns a UUID version 7.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// mustJSON encodes a value of a type that always can be encoded.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

const (
	trainerSteps  = 4
	stepGroups    = 4
	groupSize     = 4
	stepDeadline  = 60 * time.Second
	stepPause     = 2 * time.Second // time of the optimizer step
	stepLimit     = 40 * time.Second
	rolloutTokens = 40
	dyingAck      = 3 // before which each trainer dies once
)

// trainerRun is what one trainer did.
type trainerRun struct {
	row     string
	opts    trainer.Options
	trainer *trainer.Trainer
	acks    int
	reports []trainer.Report
	err     error
}

func (d *demo) newTrainer(row string, n int, staleness uint64) *trainerRun {
	t := &trainerRun{row: row, opts: trainer.Options{
		Entries: d.balancer.entries, Row: row, Model: d.deployment.Layout.Model, Token: token(row),
		Seed: d.seed + uint64(n), MaxStaleness: staleness, Scored: true, LoseAck: 2,
	}}
	t.opts.BeforeAck = t.dieOnce
	t.trainer = trainer.New(t.opts)
	return t
}

// errTrainerDied ends a trainer after it has received samples and before it acknowledges them.
var errTrainerDied = errors.New("the trainer died")

func (t *trainerRun) dieOnce() error {
	t.acks++
	if t.acks == dyingAck {
		return errTrainerDied
	}
	return nil
}

// run runs the steps of one trainer.
func (t *trainerRun) run(ctx context.Context, seed uint64) {
	for step := uint64(1); step <= trainerSteps; step++ {
		short, cancel := context.WithTimeout(ctx, stepLimit)
		report, err := t.step(short, step, stepGroupsOf(t.row, step, seed))
		cancel()
		t.reports = append(t.reports, report)
		if err != nil {
			t.err = fmt.Errorf("row %s, step %d: %w", t.row, step, err)
			return
		}
		pause(ctx, stepPause)
	}
}

// step runs one step. A trainer that died goes on from its checkpoint and runs the step again.
func (t *trainerRun) step(ctx context.Context, step uint64, groups []trainer.Group) (trainer.Report, error) {
	report, err := t.trainer.RunStep(ctx, step, stepDeadline, groups)
	if !errors.Is(err, errTrainerDied) {
		return report, err
	}
	data, err := t.trainer.Checkpoint()
	if err != nil {
		return report, err
	}
	if t.trainer, err = trainer.Restore(t.opts, data); err != nil {
		return report, err
	}
	again, err := t.trainer.RunStep(ctx, step, stepDeadline, groups)
	again.Duplicated = append(report.Duplicated, again.Duplicated...)
	again.Stale = append(report.Stale, again.Stale...)
	again.Problems = append(report.Problems, again.Problems...)
	again.Staleness = append(report.Staleness, again.Staleness...)
	return again, err
}

func stepGroupsOf(row string, step, seed uint64) []trainer.Group {
	rng := rand.New(rand.NewPCG(seed, step))
	groups := make([]trainer.Group, stepGroups)
	for i := range groups {
		tokens := rolloutTokens + rng.IntN(rolloutTokens)
		if i == 0 {
			tokens = longTokens
		}
		groups[i] = trainer.Group{ID: fmt.Sprintf("g%d", i), Size: groupSize, Request: mustJSON(engine.Request{
			Model: "drafter", MaxTokens: tokens,
			Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Draft a reply for %s, step %d, conversation %d.", row, step, i)}},
		})}
	}
	return groups
}
