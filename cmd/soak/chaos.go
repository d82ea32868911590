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
	minGap       = 300 * time.Millisecond // between two faults
	gapSpan      = 1500 * time.Millisecond
	minDown      = 500 * time.Millisecond // until the fault is healed
	downSpan     = 4 * time.Second
	restartLimit = 45 * time.Second // above the 30 s that a drain may take with the rows' deadlines
	// settleTime lets a restarted control replica catch up before it counts as healthy.
	settleTime = 2 * time.Second
	slowFactor = 4
	cutTokens  = 5
)

// chaos injects faults by a seed. A target has at most one fault at a time.
type chaos struct {
	deployment *harness.Deployment
	rng        *rand.Rand
	heals      sync.WaitGroup

	mu       sync.Mutex
	busy     map[string]bool
	down     map[string]int // number of targets that are down, by kind
	departed []departure
	drains   []departure // of entry VMs
	counts   map[string]int
	errs     []error
}

// departure is the time from which a target announces that it is leaving until it is started again.
type departure struct {
	name  string
	from  time.Time
	until time.Time
	code  int
}

// Kinds of targets, and how many of a kind may be down at once. There are 5 control replicas, of which 2 are a
// minority.
const (
	kindReplica = "replica"
	kindVM      = "vm"
	kindEngine  = "engine"
	kindService = "service"
)

var maxDown = map[string]int{kindReplica: 2, kindVM: 1, kindEngine: 3, kindService: 2}

func newChaos(d *harness.Deployment, seed uint64) *chaos {
	return &chaos{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 6)),
		busy: map[string]bool{}, down: map[string]int{}, counts: map[string]int{},
	}
}

// fault is one planned fault. All its choices are drawn before it is known whether its target is free, so that
// the sequence depends on the seed alone.
type fault struct {
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

func (c *chaos) next() fault {
	f := fault{down: minDown + time.Duration(c.rng.Int64N(int64(downSpan)))}
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

// run injects faults until loadCtx ends, and returns when all of them are healed.
func (c *chaos) run(ctx, loadCtx context.Context) error {
	for loadCtx.Err() == nil {
		f := c.next()
		gap := minGap + time.Duration(c.rng.Int64N(int64(gapSpan)))
		if c.take(f) {
			c.heals.Go(func() { c.perform(ctx, f) })
		}
		workload.Pause(loadCtx, gap)
	}
	c.heals.Wait()
	return errors.Join(c.errs...)
}

func (c *chaos) take(f fault) bool {
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

func (c *chaos) perform(ctx context.Context, f fault) {
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	var err error
	if f.vm != nil {
		err = c.onVM(ctx, f)
	} else {
		err = c.onBackend(ctx, f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[f.name] = false
	c.down[f.kind]--
	if err != nil {
		c.errs = append(c.errs, fmt.Errorf("%s %s: %w", f.action, f.name, err))
	}
}

func (c *chaos) onVM(ctx context.Context, f fault) error {
	defer workload.Pause(ctx, settleTime)
	switch f.action {
	case "freeze":
		return freeze(ctx, f.vm.Process, f.down)
	case "kill":
		if err := f.vm.Kill(); err != nil {
			return err
		}
	default:
		if err := c.drain(ctx, f.vm.Process, f.name, &c.drains); err != nil {
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

// drain shuts a process down gracefully and notes the time.
func (c *chaos) drain(ctx context.Context, p *harness.Process, name string, list *[]departure) error {
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

func (c *chaos) onBackend(ctx context.Context, f fault) error {
	switch f.action {
	case "freeze":
		return freeze(ctx, f.backend.Process, f.down)
	case "kill":
		if err := f.backend.Kill(); err != nil {
			return err
		}
	case "drain":
		if err := c.drain(ctx, f.backend.Process, f.name, &c.departed); err != nil {
			return err
		}
	default:
		return c.inject(ctx, f)
	}
	workload.Pause(ctx, f.down)
	return f.backend.Restart(ctx)
}

func (c *chaos) inject(ctx context.Context, f fault) error {
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
