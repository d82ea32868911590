package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/trainer"
)

const stepDeadline = time.Minute

// trainerLoad runs the steps of one trainer with a pause for the optimizer step between them, and sums up the
// reports.
type trainerLoad struct {
	row            harness.RowSpec
	opts           options
	rng            *rand.Rand
	trainer        *trainer.Trainer
	steps          int
	samples        int
	totalTime      time.Duration
	idleTime       time.Duration
	longestStep    time.Duration
	versionsBehind []uint64
	stale          int
	duplicated     int
	err            error
}

func newTrainerLoad(l *load, row harness.RowSpec, n uint64) *trainerLoad {
	return &trainerLoad{row: row, opts: l.opts, rng: rand.New(rand.NewPCG(l.opts.seed, n)), trainer: trainer.New(l.trainerOptions(row, n))}
}

func (l *load) trainerOptions(row harness.RowSpec, n uint64) trainer.Options {
	return trainer.Options{
		Entries: func() []string { return l.entries }, Row: row.Name, Model: row.Model, Token: harness.Token(row.Name),
		Seed: l.opts.seed + n, MaxStaleness: uint64(row.MaxStalenessVersions), Scored: row.Scored,
	}
}

// run starts steps until arrivals ends. The last step is finished.
func (t *trainerLoad) run(arrivals, ctx context.Context) {
	for step := uint64(1); arrivals.Err() == nil; step++ {
		report, err := t.trainer.RunStep(ctx, step, stepDeadline, t.groups(step))
		if err != nil {
			t.err = err
			return
		}
		t.add(report)
		select {
		case <-arrivals.Done():
		case <-time.After(t.opts.optimizerTime):
		}
	}
}

func (t *trainerLoad) add(r trainer.Report) {
	t.steps++
	t.samples += len(r.Samples)
	t.totalTime += r.Duration
	t.idleTime += r.FetchTime
	t.longestStep = max(t.longestStep, r.Duration)
	t.versionsBehind = append(t.versionsBehind, r.Staleness...)
	t.stale += len(r.Stale)
	t.duplicated += len(r.Duplicated)
}

func (t *trainerLoad) groups(step uint64) []trainer.Group {
	groups := make([]trainer.Group, t.opts.groups)
	for i := range groups {
		tokens := shortTokens
		if t.rng.IntN(longOneIn) == 0 {
			tokens *= longTokenFactor
		}
		// The error is always nil: a value of this type can always be encoded.
		body, _ := json.Marshal(engine.Request{Model: t.row.Model, MaxTokens: tokens, Messages: []engine.Message{
			{Role: "user", Content: fmt.Sprintf("%s, step %d, group %d", t.row.Name, step, i)},
		}})
		groups[i] = trainer.Group{ID: fmt.Sprint("g", i), Size: t.opts.groupSize, Request: body}
	}
	return groups
}

// publish publishes new weights at a fixed interval.
func (l *load) publish(ctx context.Context) {
	row := l.trainers[0].row
	publisher := trainer.New(l.trainerOptions(row, uint64(len(l.layout.Rows))))
	for v := api.WeightVersion(2); ; v++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.opts.weightsInterval):
		}
		err := l.deployment.PublishWeights(ctx, v)
		if err == nil {
			_, err = publisher.PublishWeights(ctx, v)
		}
		if err != nil && ctx.Err() == nil {
			fmt.Printf("publish version %d: %v\n", v, err)
		}
	}
}
