package scenarios

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

// seed is the random seed of all callers.
const seed = 1

const (
	scriptTimeout = 60 * time.Second
	pollInterval  = 10 * time.Millisecond
)

// scenario is the state of one running script.
type scenario struct {
	ctx        context.Context
	cancel     context.CancelFunc
	deployment *harness.Deployment
	sender     *workload.Sender
	probes     sync.WaitGroup
	jobs       map[string]*job
	trainers   map[string]*workload.TrainerRun
	publisher  *trainer.Trainer
	published  []workload.Publication
	rng        *rand.Rand
}

// job is the background work that a script command has started.
type job struct {
	done     sync.WaitGroup
	requests []*workload.Request
	took     stepDuration
}

type scenarioKey struct{}

func setUpScenario(env *testscript.Env) error {
	s := &scenario{
		jobs: map[string]*job{}, trainers: map[string]*workload.TrainerRun{},
		rng: rand.New(rand.NewPCG(seed, 7)),
	}
	s.ctx, s.cancel = context.WithTimeout(context.Background(), scriptTimeout)
	env.Values[scenarioKey{}] = s
	env.Defer(s.close)
	return nil
}

func (s *scenario) close() {
	s.cancel()
	for _, j := range s.jobs {
		j.done.Wait()
	}
	s.probes.Wait()
	if s.deployment != nil {
		_ = s.deployment.Close()
	}
}

type command func(s *scenario, ts *testscript.TestScript, args arguments)

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]command{
		"deploy": deploy, "chat": chat, "book": book, "resend": resend, "train": train, "publish": publish,
		"crash": crash, "freeze": freeze, "resume": resume, "drain": drain, "restart": restart, "slow": slow,
		"fault": fault, "join": join, "pause": pause, "await-run": awaitRun, "await-weights": awaitWeights,
		"expect": expect,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range list {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s := ts.Value(scenarioKey{}).(*scenario)
			if s.deployment == nil && name != "deploy" {
				ts.Fatalf("%s needs a deployment", name)
			}
			c(s, ts, parseArguments(ts, args))
		}
	}
	return out
}

// arguments holds the positional arguments of a script command and its options of the form name=value.
type arguments struct {
	ts          *testscript.TestScript
	positionals []string
	options     map[string]string
}

func parseArguments(ts *testscript.TestScript, args []string) arguments {
	a := arguments{ts: ts, options: map[string]string{}}
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, "="); ok {
			a.options[name] = value
		} else {
			a.positionals = append(a.positionals, arg)
		}
	}
	return a
}

func (a arguments) positional(i int) string {
	if i >= len(a.positionals) {
		a.ts.Fatalf("argument %d is missing", i+1)
	}
	return a.positionals[i]
}

func (a arguments) number(name string, fallback int) int {
	text, ok := a.options[name]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	a.ts.Check(err)
	return n
}

func (a arguments) duration(name string, fallback time.Duration) time.Duration {
	text, ok := a.options[name]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	a.ts.Check(err)
	return d
}

// deploy LAYOUT [call-time=DURATION] starts a deployment.
func deploy(s *scenario, ts *testscript.TestScript, args arguments) {
	layouts := map[string]harness.Layout{"Galambkert": harness.Galambkert(), "Noelasilm": harness.Noelasilm()}
	layout, ok := layouts[args.positional(0)]
	if !ok {
		ts.Fatalf("layout %q does not exist", args.positional(0))
	}
	opts := harness.Options{Layout: layout, Filbertledge: binDir + "/filbertledge", Standin: binDir + "/standin", ReadyWithin: scriptTimeout / 2}
	if callTime := args.duration("call-time", 0); callTime > 0 {
		opts.ServiceArgs = []string{"--call-time", callTime.String()}
	}
	var err error
	s.deployment, err = harness.Start(s.ctx, opts)
	ts.Check(err)
	ts.Check(s.deployment.WaitForServers(s.ctx))
	balancer := workload.NewBalancer(s.deployment, seed)
	s.probes.Go(func() { balancer.Run(s.ctx) })
	s.sender = workload.NewSender(balancer)
	s.publisher = s.newTrainer(s.rolloutRow(ts, ""), 99).Trainer
}

func (s *scenario) newTrainer(row harness.RowSpec, n int) *workload.TrainerRun {
	return workload.NewTrainerRun(s.deployment, s.sender.Balancer.ReadyAddresses, row, uint64(seed+n), 0)
}

// rolloutRow returns the rollout row with the given name, or the first rollout row if name is empty.
func (s *scenario) rolloutRow(ts *testscript.TestScript, name string) harness.RowSpec {
	for _, row := range s.deployment.Layout.Rows {
		if row.Kind == "rollout" && (name == "" || row.Name == name) {
			return row
		}
	}
	ts.Fatalf("rollout row %q does not exist", name)
	return harness.RowSpec{}
}

func (s *scenario) vm(ts *testscript.TestScript, name string) *harness.VM {
	for _, vm := range s.deployment.VMs {
		if vm.Name == name {
			return vm
		}
	}
	ts.Fatalf("entry VM %q does not exist", name)
	return nil
}

func (s *scenario) backend(ts *testscript.TestScript, id string) *harness.Backend {
	for _, b := range s.deployment.Backends() {
		if b.ID == id {
			return b
		}
	}
	ts.Fatalf("backend server %q does not exist", id)
	return nil
}

func (s *scenario) process(ts *testscript.TestScript, name string) *harness.Process {
	for _, vm := range s.deployment.VMs {
		if vm.Name == name {
			return vm.Process
		}
	}
	return s.backend(ts, name).Process
}

// crash NAME kills a process. testscript has a command of its own called kill.
func crash(s *scenario, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.positional(0)).Kill())
}

func freeze(s *scenario, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.positional(0)).Freeze())
}

func resume(s *scenario, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.positional(0)).Resume())
}

func drain(s *scenario, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.positional(0)).Drain())
}

// restart VM waits until an entry VM has exited, and starts it again.
func restart(s *scenario, ts *testscript.TestScript, args arguments) {
	vm := s.vm(ts, args.positional(0))
	ts.Check(vm.Wait(s.ctx))
	ts.Check(s.deployment.RestartVM(s.ctx, vm))
}

// slow SERVER FACTOR multiplies the time per token of an engine, or per call of a service.
func slow(s *scenario, ts *testscript.TestScript, args arguments) {
	factor, err := strconv.ParseFloat(args.positional(1), 64)
	ts.Check(err)
	ts.Check(s.deployment.InjectFaults(s.ctx, s.backend(ts, args.positional(0)), standin.Faults{SlowFactor: &factor}))
}

// fault SERVER... [before-run=N] [before-reply=N] [after-byte=N] [swaps=N] injects faults into each server.
func fault(s *scenario, ts *testscript.TestScript, args arguments) {
	f := standin.Faults{
		BreakBeforeRun:   args.number("before-run", 0),
		BreakBeforeReply: args.number("before-reply", 0),
		BreakAfterByte:   args.number("after-byte", 0),
		FailSwitchOrders: args.number("swaps", 0),
	}
	for _, id := range args.positionals {
		ts.Check(s.deployment.InjectFaults(s.ctx, s.backend(ts, id), f))
	}
}

// publish VERSION uploads weights to the weight store and reports the version to an entry VM.
func publish(s *scenario, ts *testscript.TestScript, args arguments) {
	n, err := strconv.ParseUint(args.positional(0), 10, 64)
	ts.Check(err)
	version := api.WeightVersion(n)
	ts.Check(s.deployment.PublishWeights(s.ctx, version))
	_, err = s.publisher.PublishWeights(s.ctx, version)
	ts.Check(err)
	s.published = append(s.published, workload.Publication{Version: version, At: time.Now()})
}

// pause DURATION delays the script.
func pause(s *scenario, ts *testscript.TestScript, args arguments) {
	d, err := time.ParseDuration(args.positional(0))
	ts.Check(err)
	workload.Pause(s.ctx, d)
}

// join JOB... waits until jobs have ended.
func join(s *scenario, ts *testscript.TestScript, args arguments) {
	for _, name := range args.positionals {
		s.job(ts, name).done.Wait()
	}
}

func (s *scenario) job(ts *testscript.TestScript, name string) *job {
	j, ok := s.jobs[name]
	if !ok {
		ts.Fatalf("job %q does not exist", name)
	}
	return j
}

func (s *scenario) newJob(name string) *job {
	j := &job{}
	s.jobs[name] = j
	return j
}

// poll reads the stand-ins' logs repeatedly until the condition holds for them.
func (s *scenario) poll(ts *testscript.TestScript, commandName string, holds func(standin.LogContent) bool) {
	for {
		seen, err := s.deployment.ReadLogs()
		ts.Check(err)
		if holds(seen) {
			return
		}
		if s.ctx.Err() != nil {
			ts.Fatalf("%s: %v", commandName, s.ctx.Err())
		}
		workload.Pause(s.ctx, pollInterval)
	}
}
