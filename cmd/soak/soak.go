package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

const (
	chatCallers       = 6
	bookingCallers    = 4
	stepGroups        = 4
	groupSize         = 4
	rolloutTokens     = 40
	longRolloutTokens = 300 // for the first group of a step
	stepDeadline      = 60 * time.Second
	stepPause         = time.Second
	publishInterval   = 12 * time.Second
	publishTimeout    = 20 * time.Second
	crashBeforeAck    = 3 // each trainer crashes once before this acknowledgement
)

// soak runs load and random faults on one deployment, and records what its callers and trainers received.
type soak struct {
	deployment      *harness.Deployment
	seed            uint64
	callers         workload.Callers
	trainers        []*workload.TrainerRun
	stalenessBounds []api.WeightVersion // in weight versions, one for each trainer's row
	publisher       *trainer.Trainer
	published       []workload.Publication
	faults          *faultInjector
}

func newSoak(d *harness.Deployment, seed uint64) *soak {
	s := &soak{deployment: d, seed: seed, faults: newFaultInjector(d, seed), callers: workload.Callers{
		Sender: workload.NewSender(workload.NewBalancer(d, seed)), Seed: seed, Model: d.Layout.Model,
		ChatRow: "reply-chat", BookingRow: "booking", BookingPath: "/bookings",
	}}
	entries := s.callers.Sender.Balancer.ReadyAddresses
	for i, row := range d.Layout.Rows {
		if row.Kind == "rollout" {
			s.trainers = append(s.trainers, workload.NewTrainerRun(d, entries, row, seed+uint64(i), crashBeforeAck))
			s.stalenessBounds = append(s.stalenessBounds, api.WeightVersion(row.MaxStalenessVersions))
		}
	}
	row := harness.RowSpec{Name: s.trainers[0].Row}
	s.publisher = workload.NewTrainerRun(d, entries, row, seed+99, 0).Trainer
	return s
}

// runLoadAndFaults runs load and faults for the given time, waits for all targets to recover, and returns when all
// callers and trainers have finished.
func (s *soak) runLoadAndFaults(ctx context.Context, duration time.Duration) error {
	probeCtx, stopProbes := context.WithCancel(ctx)
	loadCtx, stopLoad := context.WithTimeout(ctx, duration)
	defer stopProbes()
	defer stopLoad()
	var probes, load sync.WaitGroup
	probes.Go(func() { s.callers.Sender.Balancer.Run(probeCtx) })
	for i := range chatCallers {
		load.Go(func() { s.callers.RunChat(loadCtx, i) })
	}
	for i := range bookingCallers {
		load.Go(func() { s.callers.RunBookings(loadCtx, i) })
	}
	for i, t := range s.trainers {
		load.Go(func() { s.runTrainer(ctx, loadCtx, t, s.seed+uint64(i)) })
	}
	load.Go(func() { s.publish(ctx, loadCtx) })
	err := s.faults.run(ctx, loadCtx)
	load.Wait()
	stopProbes()
	probes.Wait()
	return err
}

// runTrainer runs trainer steps until the load ends. The last step is finished.
func (s *soak) runTrainer(ctx, loadCtx context.Context, t *workload.TrainerRun, seed uint64) {
	for step := uint64(1); loadCtx.Err() == nil; step++ {
		if t.RunStep(ctx, step, stepDeadline, stepDeadline, s.groups(t.Row, step, seed)) != nil {
			return
		}
		workload.Pause(loadCtx, stepPause)
	}
}

func (s *soak) groups(row string, step, seed uint64) []trainer.Group {
	rng := rand.New(rand.NewPCG(seed, step))
	groups := make([]trainer.Group, stepGroups)
	for i := range groups {
		tokens := rolloutTokens + rng.IntN(rolloutTokens)
		if i == 0 {
			tokens = longRolloutTokens
		}
		groups[i] = trainer.Group{ID: fmt.Sprintf("g%d", i), Size: groupSize, Request: workload.MustJSON(engine.Request{
			Model: s.deployment.Layout.Model, MaxTokens: tokens,
			Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Draft for %s, step %d, conversation %d.", row, step, i)}},
		})}
	}
	return groups
}

// publish publishes a new weight version at a fixed interval. A version that could not be published or reported is
// not retried; the next one follows after the interval.
func (s *soak) publish(ctx, loadCtx context.Context) {
	for v := api.WeightVersion(2); ; v++ {
		workload.Pause(loadCtx, publishInterval)
		if loadCtx.Err() != nil {
			return
		}
		if err := s.publishOne(ctx, v); err != nil {
			fmt.Println("publish weights:", err)
		}
	}
}

func (s *soak) publishOne(ctx context.Context, v api.WeightVersion) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := s.deployment.PublishWeights(ctx, v); err != nil {
		return err
	}
	if _, err := s.publisher.PublishWeights(ctx, v); err != nil {
		return err
	}
	s.published = append(s.published, workload.Publication{Version: v, At: time.Now()})
	return nil
}
