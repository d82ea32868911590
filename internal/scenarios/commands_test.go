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

// seed is that of all callers' choices.
const seed = 1

const (
	scriptLimit = 60 * time.Second
	pollPause   = 10 * time.Millisecond
)

// scene is the state of one script.
type scene struct {
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

// job is what a command started in the background.
type job struct {
	done     sync.WaitGroup
	requests []*workload.Request
	took     stepTime
}

type sceneKey struct{}

func setUp(env *testscript.Env) error {
	s := &scene{
		jobs: map[string]*job{}, trainers: map[string]*workload.TrainerRun{},
		rng: rand.New(rand.NewPCG(seed, 7)),
	}
	s.ctx, s.cancel = context.WithTimeout(context.Background(), scriptLimit)
	env.Values[sceneKey{}] = s
	env.Defer(s.close)
	return nil
}

func (s *scene) close() {
	s.cancel()
	for _, j := range s.jobs {
		j.done.Wait()
	}
	s.probes.Wait()
	if s.deployment != nil {
		_ = s.deployment.Close()
	}
}

type command func(s *scene, ts *testscript.TestScript, args arguments)

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]command{
		"deploy": deploy, "chat": chat, "book": bookCall, "resend": resend, "train": train, "publish": publish,
		"crash": crash, "freeze": freeze, "resume": resume, "drain": drain, "restart": restart, "slow": slow,
		"fault": fault, "join": join, "pause": pauseFor, "await-run": awaitRun, "await-weights": awaitWeights,
		"expect": expect,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range list {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			s := ts.Value(sceneKey{}).(*scene)
			if s.deployment == nil && name != "deploy" {
				ts.Fatalf("%s needs a deployment", name)
			}
			c(s, ts, parse(ts, args))
		}
	}
	return out
}

// arguments are the words of a command and its options of the form name=value.
type arguments struct {
	ts      *testscript.TestScript
	words   []string
	options map[string]string
}

func parse(ts *testscript.TestScript, args []string) arguments {
	a := arguments{ts: ts, options: map[string]string{}}
	for _, arg := range args {
		if name, value, ok := strings.Cut(arg, "="); ok {
			a.options[name] = value
		} else {
			a.words = append(a.words, arg)
		}
	}
	return a
}

func (a arguments) word(i int) string {
	if i >= len(a.words) {
		a.ts.Fatalf("argument %d is missing", i+1)
	}
	return a.words[i]
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
func deploy(s *scene, ts *testscript.TestScript, args arguments) {
	layouts := map[string]harness.Layout{"Galambkert": harness.Galambkert(), "Noelasilm": harness.Noelasilm()}
	layout, ok := layouts[args.word(0)]
	if !ok {
		ts.Fatalf("layout %q does not exist", args.word(0))
	}
	opts := harness.Options{Layout: layout, Filbertledge: bin + "/filbertledge", Standin: bin + "/standin", ReadyWithin: scriptLimit / 2}
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

func (s *scene) newTrainer(row harness.RowSpec, n int) *workload.TrainerRun {
	return workload.NewTrainerRun(s.deployment, s.sender.Balancer.ReadyAddresses, row, uint64(seed+n), 0)
}

// rolloutRow returns the rollout row of that name, or the first one without a name.
func (s *scene) rolloutRow(ts *testscript.TestScript, name string) harness.RowSpec {
	for _, row := range s.deployment.Layout.Rows {
		if row.Kind == "rollout" && (name == "" || row.Name == name) {
			return row
		}
	}
	ts.Fatalf("rollout row %q does not exist", name)
	return harness.RowSpec{}
}

func (s *scene) vm(ts *testscript.TestScript, name string) *harness.VM {
	for _, vm := range s.deployment.VMs {
		if vm.Name == name {
			return vm
		}
	}
	ts.Fatalf("entry VM %q does not exist", name)
	return nil
}

func (s *scene) backend(ts *testscript.TestScript, id string) *harness.Backend {
	for _, b := range s.deployment.Backends() {
		if b.ID == id {
			return b
		}
	}
	ts.Fatalf("backend server %q does not exist", id)
	return nil
}

func (s *scene) process(ts *testscript.TestScript, name string) *harness.Process {
	for _, vm := range s.deployment.VMs {
		if vm.Name == name {
			return vm.Process
		}
	}
	return s.backend(ts, name).Process
}

// crash NAME ends a process at once. The name kill is taken by testscript.
func crash(s *scene, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.word(0)).Kill())
}

func freeze(s *scene, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.word(0)).Freeze())
}

func resume(s *scene, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.word(0)).Resume())
}

func drain(s *scene, ts *testscript.TestScript, args arguments) {
	ts.Check(s.process(ts, args.word(0)).Drain())
}

// restart VM waits for the end of an entry VM and starts it again.
func restart(s *scene, ts *testscript.TestScript, args arguments) {
	vm := s.vm(ts, args.word(0))
	ts.Check(vm.Wait(s.ctx))
	ts.Check(s.deployment.RestartVM(s.ctx, vm))
}

// slow SERVER FACTOR multiplies the time of each token or call.
func slow(s *scene, ts *testscript.TestScript, args arguments) {
	factor, err := strconv.ParseFloat(args.word(1), 64)
	ts.Check(err)
	ts.Check(s.deployment.InjectFaults(s.ctx, s.backend(ts, args.word(0)), standin.Faults{SlowFactor: &factor}))
}

// fault SERVER... [before-run=N] [before-reply=N] [after-byte=N] [swaps=N] injects faults into each server.
func fault(s *scene, ts *testscript.TestScript, args arguments) {
	f := standin.Faults{
		BreakBeforeRun:   args.number("before-run", 0),
		BreakBeforeReply: args.number("before-reply", 0),
		BreakAfterByte:   args.number("after-byte", 0),
		FailSwitchOrders: args.number("swaps", 0),
	}
	for _, id := range args.words {
		ts.Check(s.deployment.InjectFaults(s.ctx, s.backend(ts, id), f))
	}
}

// publish VERSION puts weights into the store and reports them.
func publish(s *scene, ts *testscript.TestScript, args arguments) {
	n, err := strconv.ParseUint(args.word(0), 10, 64)
	ts.Check(err)
	version := api.WeightVersion(n)
	ts.Check(s.deployment.PublishWeights(s.ctx, version))
	_, err = s.publisher.PublishWeights(s.ctx, version)
	ts.Check(err)
	s.published = append(s.published, workload.Publication{Version: version, At: time.Now()})
}

// pause DURATION waits.
func pauseFor(s *scene, ts *testscript.TestScript, args arguments) {
	d, err := time.ParseDuration(args.word(0))
	ts.Check(err)
	workload.Pause(s.ctx, d)
}

// join JOB... waits until jobs have ended.
func join(s *scene, ts *testscript.TestScript, args arguments) {
	for _, name := range args.words {
		s.job(ts, name).done.Wait()
	}
}

func (s *scene) job(ts *testscript.TestScript, name string) *job {
	j, ok := s.jobs[name]
	if !ok {
		ts.Fatalf("job %q does not exist", name)
	}
	return j
}

func (s *scene) newJob(name string) *job {
	j := &job{}
	s.jobs[name] = j
	return j
}

// poll repeats a condition on what the stand-ins saw until it holds.
func (s *scene) poll(ts *testscript.TestScript, what string, holds func(standin.LogContent) bool) {
	for {
		seen, err := s.deployment.ReadLogs()
		ts.Check(err)
		if holds(seen) {
			return
		}
		if s.ctx.Err() != nil {
			ts.Fatalf("%s: %v", what, s.ctx.Err())
		}
		workload.Pause(s.ctx, pollPause)
	}
}
