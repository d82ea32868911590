package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
	"filbertledge/internal/workload"
)

const (
	minGap       = 300 * time.Millisecond // minimum time between the starts of two faults
	gapJitter    = 1500 * time.Millisecond
	minDownTime  = 500 * time.Millisecond // minimum time until the fault is reverted or the target is restarted
	downJitter   = 4 * time.Second
	faultTimeout = 45 * time.Second // exceeds the 30 s that a drain may take because of the rows' deadlines
	// catchUpTime is the time for a restarted control replica to catch up with the leader, before it counts as healthy
	// and another replica may get a fault.
	catchUpTime = 2 * time.Second
	slowFactor  = 4
	cutTokens   = 5
)

// faultInjector injects random faults that depend on a seed. A target has at most one fault at a time.
type faultInjector struct {
	deployment *harness.Deployment
	rng        *rand.Rand
	recoveries sync.WaitGroup

	mu                sync.Mutex
	busy              map[string]bool
	down              map[string]int // number of targets with a fault, by kind
	backendDepartures []departure
	vmDepartures      []departure // all drains of entry VMs
	counts            map[string]int
	errs              []error
}

// departure is a graceful shutdown of a target, from the announcement that it is leaving until its process has
// exited.
type departure struct {
	name     string
	from     time.Time
	exited   time.Time
	exitCode int
}

// Kinds of targets. maxDown limits how many targets of a kind may have a fault at once: of the 5 control replicas, 2
// are a minority.
const (
	kindReplica = "replica"
	kindVM      = "vm"
	kindEngine  = "engine"
	kindService = "service"
)

var maxDown = map[string]int{kindReplica: 2, kindVM: 1, kindEngine: 3, kindService: 2}

func newFaultInjector(d *harness.Deployment, seed uint64) *faultInjector {
	return &faultInjector{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 6)),
		busy: map[string]bool{}, down: map[string]int{}, counts: map[string]int{},
	}
}

// plannedFault is a fault with all its random choices. They are drawn before the injector checks whether the target
// is free, so that the sequence of choices depends on the seed alone.
type plannedFault struct {
	kind, name string
	action     string
	vm         *harness.VM
	backend    *harness.Backend
	down       time.Duration
}

var (
	vmActions      = []string{"kill", "freeze", "drain"}
	engineActions  = []string{"kill", "freeze", "drain", "slow", "cut", "fail swaps", "exchange answers"}
	serviceActions = []string{"kill", "freeze", "drain", "slow", "break before run", "break before reply", "break inside reply"}
)

func (c *faultInjector) draw() plannedFault {
	f := plannedFault{down: minDownTime + time.Duration(c.rng.Int64N(int64(downJitter)))}
	d := c.deployment
	var actions []string
	switch c.rng.IntN(3) {
	case 0:
		f.vm = d.VMs[c.rng.IntN(len(d.VMs))]
		f.kind, f.name, actions = kindVM, f.vm.Name, vmActions
		if f.vm.Replica {
			f.kind = kindReplica
		}
	case 1:
		f.backend = d.Engines[c.rng.IntN(len(d.Engines))]
		f.kind, f.name, actions = kindEngine, f.backend.ID, engineActions
	default:
		f.backend = d.Services[c.rng.IntN(len(d.Services))]
		f.kind, f.name, actions = kindService, f.backend.ID, serviceActions
	}
	f.action = actions[c.rng.IntN(len(actions))]
	return f
}

// run injects faults until loadCtx ends, and returns when all targets have recovered.
func (c *faultInjector) run(ctx, loadCtx context.Context) error {
	for loadCtx.Err() == nil {
		f := c.draw()
		gap := minGap + time.Duration(c.rng.Int64N(int64(gapJitter)))
		if c.reserve(f) {
			c.recoveries.Go(func() { c.perform(ctx, f) })
		}
		workload.Pause(loadCtx, gap)
	}
	c.recoveries.Wait()
	return errors.Join(c.errs...)
}

func (c *faultInjector) reserve(f plannedFault) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[f.name] || c.down[f.kind] >= maxDown[f.kind] {
		return false
	}
	c.busy[f.name] = true
	c.down[f.kind]++
	c.counts[f.kind+" "+f.action]++
	return true
}

func (c *faultInjector) perform(ctx context.Context, f plannedFault) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	var err error
	if f.vm != nil {
		err = c.faultVM(ctx, f)
	} else {
		err = c.faultBackend(ctx, f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[f.name] = false
	c.down[f.kind]--
	if err != nil {
		c.errs = append(c.errs, fmt.Errorf("%s %s: %w", f.action, f.name, err))
	}
}

func (c *faultInjector) faultVM(ctx context.Context, f plannedFault) error {
	defer workload.Pause(ctx, catchUpTime)
	switch f.action {
	case "freeze":
		return freeze(ctx, f.vm.Process, f.down)
	case "kill":
		if err := f.vm.Kill(); err != nil {
			return err
		}
	default:
		if err := c.drain(ctx, f.vm.Process, f.name, &c.vmDepartures); err != nil {
			return err
		}
	}
	workload.Pause(ctx, f.down)
	return c.deployment.RestartVM(ctx, f.vm)
}

func freeze(ctx context.Context, p *harness.Process, d time.Duration) error {
	if err := p.Freeze(); err != nil {
		return errors.Join(err, p.Resume())
	}
	workload.Pause(ctx, d)
	return p.Resume()
}

// drain shuts a process down gracefully and appends the departure to list.
func (c *faultInjector) drain(ctx context.Context, p *harness.Process, name string, list *[]departure) error {
	from := time.Now()
	if err := p.Drain(); err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, departure{name, from, time.Now(), p.ExitCode()})
	return nil
}

func (c *faultInjector) faultBackend(ctx context.Context, f plannedFault) error {
	switch f.action {
	case "freeze":
		return freeze(ctx, f.backend.Process, f.down)
	case "kill":
		if err := f.backend.Kill(); err != nil {
			return err
		}
	case "drain":
		if err := c.drain(ctx, f.backend.Process, f.name, &c.backendDepartures); err != nil {
			return err
		}
	default:
		return c.inject(ctx, f)
	}
	workload.Pause(ctx, f.down)
	return f.backend.Restart(ctx)
}

func (c *faultInjector) inject(ctx context.Context, f plannedFault) error {
	cut, slow, normal := cutTokens, float64(slowFactor), 1.0
	faults := map[string]standin.Faults{
		"slow": {SlowFactor: &slow}, "cut": {CutAfterTokens: &cut}, "fail swaps": {FailSwitchOrders: 2}, "exchange answers": {ExchangeAnswers: 1},
		"break before run": {BreakBeforeRun: 2}, "break before reply": {BreakBeforeReply: 2}, "break inside reply": {BreakAfterByte: 2},
	}
	if err := c.deployment.InjectFaults(ctx, f.backend, faults[f.action]); err != nil || f.action != "slow" {
		return err
	}
	workload.Pause(ctx, f.down)
	return c.deployment.InjectFaults(ctx, f.backend, standin.Faults{SlowFactor: &normal})
}
