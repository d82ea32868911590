package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

// demo runs load and planned faults on one deployment, and records the answers that the callers received.
type demo struct {
	deployment      *harness.Deployment
	seed            uint64
	sender          *workload.Sender
	trainers        []*workload.TrainerRun
	publisher       *trainer.Trainer
	edits           editTracker
	drainedRequests sync.WaitGroup // requests in flight through the drained entry VM

	published []weightPublication
	killedVM  *harness.VM
	drainedVM *harness.VM
	drainedAt time.Time
	drainErr  error // set if the drained entry VM did not exit, or not with code 0
	leaving   *harness.Backend
	leftAt    time.Time
}

// weightPublication is the publication of one new weight version.
type weightPublication struct {
	version api.WeightVersion
	at      time.Time
}

// trainerRuns returns the trainers, with the number of samples that each should have received.
func (d *demo) trainerRuns() []*workload.TrainerRun {
	for _, t := range d.trainers {
		t.WantSamples = trainerSteps * stepGroups * groupSize
	}
	return d.trainers
}

func newDemo(d *harness.Deployment, seed uint64) *demo {
	m := &demo{
		deployment: d, seed: seed, sender: workload.NewSender(workload.NewBalancer(d, seed)),
	}
	for i, row := range d.Layout.Rows {
		if row.Kind == "rollout" {
			m.trainers = append(m.trainers, m.newTrainer(row, i))
		}
	}
	m.publisher = m.newTrainer(harness.RowSpec{Name: m.trainers[0].Row}, len(d.Layout.Rows)).Trainer
	m.edits.deployment = d
	return m
}

// plannedEvent is one scheduled action of the demo.
type plannedEvent struct {
	at   time.Duration // since the start of the load
	what string
	do   func(context.Context) error
}

func (d *demo) plan() []plannedEvent {
	return []plannedEvent{
		{1 * time.Second, "publish weights 2", func(ctx context.Context) error { return d.publish(ctx, 2) }},
		{2 * time.Second, "edit the table", func(ctx context.Context) error {
			return d.edits.set(ctx, "venue-replies", "max_in_flight", "24")
		}},
		{3 * time.Second, "exchange two answers, cut a stream, slow an engine down", d.injectFaults},
		{4 * time.Second, "kill an entry VM that is not the only replica of its failure domain", d.killVM},
		{6 * time.Second, "kill an engine", func(context.Context) error { return d.deployment.Engines[2].Kill() }},
		{7 * time.Second, "an engine announces that it is leaving", d.announceLeaving},
		{8 * time.Second, "drain an entry VM", d.drainVM},
		{10 * time.Second, "edit the table again", func(ctx context.Context) error {
			return d.edits.set(ctx, "reply-chat", "priority", "20")
		}},
		{11 * time.Second, "publish weights 3", func(ctx context.Context) error { return d.publish(ctx, 3) }},
	}
}

// minLoadDuration is the minimum time for which the callers send requests.
const minLoadDuration = 18 * time.Second

// runLoadAndPlan runs the load and the planned events, and returns when all callers have finished.
func (d *demo) runLoadAndPlan(ctx context.Context) error {
	watchCtx, stopWatch := context.WithCancel(ctx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	defer stopWatch()
	var watchers, callers, trainers sync.WaitGroup
	watchers.Go(func() { d.sender.Balancer.Run(watchCtx) })
	watchers.Go(func() { d.edits.watch(watchCtx) })
	for i := range chatCallers {
		callers.Go(func() { d.chatCaller(loadCtx, i) })
	}
	for i := range bookingCallers {
		callers.Go(func() { d.bookingCaller(loadCtx, i) })
	}
	callers.Go(func() { d.shortDeadlineCaller(loadCtx) })
	callers.Go(func() { d.invalidKeyCaller(loadCtx) })
	for i, t := range d.trainers {
		trainers.Go(func() { runTrainer(ctx, t, d.seed+uint64(i)) })
	}
	err := d.runPlan(ctx)
	trainers.Wait()
	stopLoad()
	callers.Wait()
	d.drainedRequests.Wait()
	if err == nil {
		d.awaitDrained(ctx)
		err = d.edits.settle(ctx)
	}
	stopWatch()
	watchers.Wait()
	return err
}

func (d *demo) runPlan(ctx context.Context) error {
	start := time.Now()
	for _, e := range d.plan() {
		workload.Pause(ctx, time.Until(start.Add(e.at)))
		fmt.Printf("%5.1f s: %s\n", time.Since(start).Seconds(), e.what)
		if err := e.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", e.what, err)
		}
	}
	workload.Pause(ctx, time.Until(start.Add(minLoadDuration)))
	return ctx.Err()
}

func (d *demo) publish(ctx context.Context, v api.WeightVersion) error {
	d.published = append(d.published, weightPublication{v, time.Now()})
	if err := d.deployment.PublishWeights(ctx, v); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, workload.RequestTimeout)
	defer cancel()
	_, err := d.publisher.PublishWeights(ctx, v)
	return err
}

func (d *demo) injectFaults(ctx context.Context) error {
	cut, slow := 5, 4.0
	faults := []standin.Faults{{ExchangeAnswers: 2}, {CutAfterTokens: &cut}, 6: {SlowFactor: &slow}}
	for i, f := range faults {
		if f == (standin.Faults{}) {
			continue
		}
		if err := d.deployment.InjectFaults(ctx, d.deployment.Engines[i], f); err != nil {
			return err
		}
	}
	return nil
}

// killVM kills the second replica of the first failure domain.
func (d *demo) killVM(context.Context) error {
	d.killedVM = d.vm("szeged-a-2")
	d.edits.exclude(d.killedVM)
	return d.killedVM.Kill()
}

func (d *demo) vm(name string) *harness.VM {
	for _, vm := range d.deployment.VMs {
		if vm.Name == name {
			return vm
		}
	}
	return nil
}

// drainVM tells an entry VM to shut down while it serves long streams.
func (d *demo) drainVM(ctx context.Context) error {
	d.drainedVM = d.vm("bekes-a-2")
	d.drainStreams(ctx, d.drainedVM, &d.drainedRequests)
	d.edits.exclude(d.drainedVM)
	d.drainedAt = time.Now()
	return d.drainedVM.Drain()
}

// drainTimeout bounds the wait for the exit of the drained entry VM after the load has ended.
const drainTimeout = 15 * time.Second

func (d *demo) awaitDrained(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if d.drainErr = d.drainedVM.Wait(ctx); d.drainErr != nil {
		return
	}
	if code := d.drainedVM.ExitCode(); code != 0 {
		d.drainErr = fmt.Errorf("%s ended with exit code %d", d.drainedVM.Name, code)
	}
}

func (d *demo) announceLeaving(ctx context.Context) error {
	d.leaving = d.deployment.Engines[5]
	if err := d.deployment.AnnounceLeaving(ctx, d.leaving); err != nil {
		return err
	}
	d.leftAt = time.Now()
	return nil
}
