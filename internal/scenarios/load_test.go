package scenarios

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

// chat JOB ROW [callers=N] [count=N] [tokens=N] [pause=DURATION] starts callers that each send a sequence of requests,
// alternately without and with streaming.
func chat(s *scenario, ts *testscript.TestScript, args arguments) {
	j := s.newJob(args.positional(0))
	row, tokens, gap := args.positional(1), args.number("tokens", 20), args.duration("pause", 20*time.Millisecond)
	for caller := range args.number("callers", 1) {
		var list []*workload.Request
		for i := range args.number("count", 1) {
			answerSeed := s.rng.Uint64N(1 << 32)
			list = append(list, workload.ChatRequest(row, engine.Request{
				Model: s.deployment.Layout.Model, MaxTokens: tokens, Seed: &answerSeed, Stream: i%2 == 1,
				Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Request %d of caller %d of %s: is this free on Saturday?", i, caller, args.positional(0))}},
			}))
		}
		j.requests = append(j.requests, list...)
		j.done.Go(func() {
			for _, r := range list {
				s.sender.Send(s.ctx, r)
				workload.Pause(s.ctx, gap)
			}
		})
	}
}

// book JOB ROW PATH [callers=N] [via=VM] starts non-idempotent calls, which must run at most once.
func book(s *scenario, ts *testscript.TestScript, args arguments) {
	j := s.newJob(args.positional(0))
	for i := range args.number("callers", 1) {
		r := workload.BookingRequest(args.positional(1), args.positional(2), len(s.jobs), i)
		s.start(ts, j, r, args)
	}
}

func (s *scenario) start(ts *testscript.TestScript, j *job, r *workload.Request, args arguments) {
	if via, ok := args.options["via"]; ok {
		r.FirstVM = s.vm(ts, via)
	}
	j.requests = append(j.requests, r)
	j.done.Go(func() { s.sender.Send(s.ctx, r) })
}

// resend JOB NEW [via=VM] starts job NEW, which sends the requests of JOB again with the same idempotency keys.
func resend(s *scenario, ts *testscript.TestScript, args arguments) {
	old := s.job(ts, args.positional(0))
	j := s.newJob(args.positional(1))
	for _, r := range old.requests {
		s.start(ts, j, r.Duplicate(), args)
	}
}

// await-run JOB waits until backend servers have started each request of a job.
func awaitRun(s *scenario, ts *testscript.TestScript, args arguments) {
	s.poll(ts, "await-run", func(seen standin.LogContent) bool {
		runs := map[string]bool{}
		for _, r := range seen.Requests {
			runs[r.Digest] = true
		}
		for _, r := range s.job(ts, args.positional(0)).requests {
			if !runs[r.Digest] {
				return false
			}
		}
		return true
	})
}

// stepDuration holds the time that a trainer step took, and its deadline.
type stepDuration struct {
	took     time.Duration
	deadline time.Duration
}

// train JOB ROW STEP [groups=N] [size=N] [tokens=N] [long=N] [long-tokens=N] [deadline=DURATION] starts a
// trainer step. The first groups, as many as long says, get answers of long-tokens tokens.
func train(s *scenario, ts *testscript.TestScript, args arguments) {
	name, row := args.positional(0), args.positional(1)
	step, err := strconv.ParseUint(args.positional(2), 10, 64)
	ts.Check(err)
	t, ok := s.trainers[row]
	if !ok {
		t = s.newTrainer(s.rolloutRow(ts, row), len(s.trainers))
		s.trainers[row] = t
	}
	groups := s.groups(row, step, args)
	deadline := args.duration("deadline", 30*time.Second)
	j := s.newJob(name)
	j.done.Go(func() {
		start := time.Now()
		// The timeout exceeds the deadline, so that a late step can be distinguished from a stalled one.
		_ = t.RunStep(s.ctx, step, deadline, 2*deadline, groups) // the error is in t.Err
		j.took = stepDuration{time.Since(start), deadline}
	})
}

func (s *scenario) groups(row string, step uint64, args arguments) []trainer.Group {
	groups := make([]trainer.Group, args.number("groups", 4))
	for i := range groups {
		tokens := args.number("tokens", 40)
		if i < args.number("long", 0) {
			tokens = args.number("long-tokens", 10*tokens)
		}
		groups[i] = trainer.Group{ID: fmt.Sprintf("g%d", i), Size: args.number("size", 4), Request: workload.MustJSON(engine.Request{
			Model: s.deployment.Layout.Model, MaxTokens: tokens,
			Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("Write for %s, step %d, conversation %d.", row, step, i)}},
		})}
	}
	return groups
}

// await-weights VERSION N waits until at least N engines have switched to a weight version.
func awaitWeights(s *scenario, ts *testscript.TestScript, args arguments) {
	version, err := strconv.ParseUint(args.positional(0), 10, 64)
	ts.Check(err)
	want, err := strconv.Atoi(args.positional(1))
	ts.Check(err)
	s.poll(ts, "await-weights", func(seen standin.LogContent) bool {
		switched := map[api.ServerID]bool{}
		for _, o := range seen.Orders {
			if o.Kind == "switch" && o.Version == api.WeightVersion(version) && o.Result == engine.OrderDone {
				switched[o.Server] = true
			}
		}
		return len(switched) >= want
	})
}
