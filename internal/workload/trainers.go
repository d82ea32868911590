package workload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin/trainer"
)

// TrainerRun runs the steps of one trainer and records what it received.
type TrainerRun struct {
	Row         string
	Trainer     *trainer.Trainer
	Reports     []trainer.Report
	WantSamples int // expected number of samples over all steps
	Err         error
	// Delivered lists the samples in the order in which they were received. It must not be read during a step.
	Delivered []Delivery

	opts       trainer.Options
	crashAtAck int
	acks       int // acknowledgements so far
}

// Delivery is one received sample. It is recorded before the sample is acknowledged.
type Delivery struct {
	At       time.Time
	ID       trainer.SampleID
	Versions []api.WeightVersion
}

// NewTrainerRun returns a trainer of a row. It drops the answer to every second acknowledgement and sends that
// acknowledgement again. It crashes once, before acknowledgement number crashAtAck (counted from 1; zero for never).
func NewTrainerRun(d *harness.Deployment, entries func() []string, row harness.RowSpec, seed uint64, crashAtAck int) *TrainerRun {
	t := &TrainerRun{Row: row.Name, crashAtAck: crashAtAck, opts: trainer.Options{
		Entries: entries, Row: row.Name, Model: d.Layout.Model, Token: harness.Token(row.Name),
		Seed: seed, MaxStaleness: uint64(row.MaxStalenessVersions), Scored: row.Scored, LoseEveryNthAck: 2,
	}}
	t.opts.BeforeAck = t.beforeAck
	t.Trainer = trainer.New(t.opts)
	return t
}

// errTrainerCrashed simulates a crash of the trainer between the receipt of samples and their acknowledgement.
var errTrainerCrashed = errors.New("simulated crash of the trainer")

// beforeAck records the received samples, and fails with errTrainerCrashed at acknowledgement number crashAtAck.
func (t *TrainerRun) beforeAck() error {
	if err := t.recordDeliveries(); err != nil {
		return err
	}
	t.acks++
	if t.acks == t.crashAtAck {
		return errTrainerCrashed
	}
	return nil
}

// recordDeliveries appends the samples that were received but not yet acknowledged to Delivered.
func (t *TrainerRun) recordDeliveries() error {
	data, err := t.Trainer.Checkpoint()
	if err != nil {
		return err
	}
	var state struct {
		Samples []trainer.Sample   `json:"samples"`
		Acked   []trainer.SampleID `json:"acked"`
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("decode the checkpoint of row %s: %w", t.Row, err)
	}
	now := time.Now()
	for _, s := range state.Samples {
		if !slices.Contains(state.Acked, s.ID) {
			t.Delivered = append(t.Delivered, Delivery{At: now, ID: s.ID, Versions: s.Versions})
		}
	}
	return nil
}

// RunStep runs one step, limited to the given time, and appends its report to Reports.
func (t *TrainerRun) RunStep(ctx context.Context, step uint64, deadline, limit time.Duration, groups []trainer.Group) error {
	for _, g := range groups {
		t.WantSamples += g.Size
	}
	stepCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := t.step(stepCtx, step, deadline, groups)
	t.Reports = append(t.Reports, report)
	if err != nil {
		t.Err = fmt.Errorf("row %s, step %d: %w", t.Row, step, err)
	}
	return t.Err
}

// step runs one step. After a simulated crash, it restores the trainer from its checkpoint and runs the step again.
func (t *TrainerRun) step(ctx context.Context, step uint64, deadline time.Duration, groups []trainer.Group) (trainer.Report, error) {
	report, err := t.Trainer.RunStep(ctx, step, deadline, groups)
	if !errors.Is(err, errTrainerCrashed) {
		return report, err
	}
	data, err := t.Trainer.Checkpoint()
	if err != nil {
		return report, err
	}
	if t.Trainer, err = trainer.Restore(t.opts, data); err != nil {
		return report, err
	}
	again, err := t.Trainer.RunStep(ctx, step, deadline, groups)
	again.Duplicated = append(report.Duplicated, again.Duplicated...)
	again.Stale = append(report.Stale, again.Stale...)
	again.Problems = append(report.Problems, again.Problems...)
	again.Staleness = append(report.Staleness, again.Staleness...)
	return again, err
}
