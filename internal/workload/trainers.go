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

// TrainerRun is what one trainer did.
type TrainerRun struct {
	Row         string
	Trainer     *trainer.Trainer
	Reports     []trainer.Report
	WantSamples int // samples over all steps
	Err         error
	// Delivered lists the samples in the order in which they were received. It may be read when the step has ended.
	Delivered []Delivery

	opts     trainer.Options
	dyingAck int
	acks     int
}

// Delivery is one sample as it was received, before its acknowledgement.
type Delivery struct {
	At       time.Time
	ID       trainer.SampleID
	Versions []api.WeightVersion
}

// NewTrainerRun returns a trainer of a row. It loses the answer of every other acknowledgement, and dies once
// before the acknowledgement of number dyingAck; zero never.
func NewTrainerRun(d *harness.Deployment, entries func() []string, row harness.RowSpec, seed uint64, dyingAck int) *TrainerRun {
	t := &TrainerRun{Row: row.Name, dyingAck: dyingAck, opts: trainer.Options{
		Entries: entries, Row: row.Name, Model: d.Layout.Model, Token: harness.Token(row.Name),
		Seed: seed, MaxStaleness: uint64(row.MaxStalenessVersions), Scored: row.Scored, LoseAck: 2,
	}}
	t.opts.BeforeAck = t.beforeAck
	t.Trainer = trainer.New(t.opts)
	return t
}

// errTrainerDied ends a trainer after it has received samples and before it acknowledges them.
var errTrainerDied = errors.New("the trainer died")

// beforeAck notes what was received, and dies before one of the acknowledgements.
func (t *TrainerRun) beforeAck() error {
	if err := t.noteDeliveries(); err != nil {
		return err
	}
	t.acks++
	if t.acks == t.dyingAck {
		return errTrainerDied
	}
	return nil
}

func (t *TrainerRun) noteDeliveries() error {
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

// RunStep runs one step within limit and keeps its report.
func (t *TrainerRun) RunStep(ctx context.Context, step uint64, deadline, limit time.Duration, groups []trainer.Group) error {
	for _, g := range groups {
		t.WantSamples += g.Size
	}
	short, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := t.step(short, step, deadline, groups)
	t.Reports = append(t.Reports, report)
	if err != nil {
		t.Err = fmt.Errorf("row %s, step %d: %w", t.Row, step, err)
	}
	return t.Err
}

// step runs one step. A trainer that died goes on from its checkpoint and runs the step again.
func (t *TrainerRun) step(ctx context.Context, step uint64, deadline time.Duration, groups []trainer.Group) (trainer.Report, error) {
	report, err := t.Trainer.RunStep(ctx, step, deadline, groups)
	if !errors.Is(err, errTrainerDied) {
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
