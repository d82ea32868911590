package scenarios

import (
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/workload"
)

// expect EXPECTATION ... fails the script unless the expectation holds.
func expect(s *scenario, ts *testscript.TestScript, args arguments) {
	list := map[string]command{
		"answered": expectAnswered, "outcome": expectOutcome, "runs": expectRuns, "cut-runs": expectCutRuns, "quick": expectQuick,
		"in-time": expectInTime, "version": expectVersion, "failed-swaps": expectFailedSwaps, "promises": expectPromises,
	}
	check, ok := list[args.positional(0)]
	if !ok {
		ts.Fatalf("expectation %q does not exist", args.positional(0))
	}
	args.positionals = args.positionals[1:]
	check(s, ts, args)
}

// expect answered JOB...: each request received a complete, successful answer.
func expectAnswered(s *scenario, ts *testscript.TestScript, args arguments) {
	for _, name := range args.positionals {
		for _, r := range s.job(ts, name).requests {
			if !r.BestAttempt().OK() {
				ts.Fatalf("%s %s has no complete answer: %s", r.Kind, r.ID, r.DescribeAttempts())
			}
		}
	}
}

// expect outcome JOB OUTCOME: the last attempt of each request had the given outcome.
func expectOutcome(s *scenario, ts *testscript.TestScript, args arguments) {
	for _, r := range s.job(ts, args.positional(0)).requests {
		if a := r.LastAttempt(); string(a.Outcome) != args.positional(1) {
			ts.Fatalf("%s %s has the outcome %q: %s", r.Kind, r.ID, a.Outcome, r.DescribeAttempts())
		}
	}
}

// expect runs JOB N: the backend servers executed each request exactly N times.
func expectRuns(s *scenario, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.positional(1))
	ts.Check(err)
	seen, err := s.deployment.ReadLogs()
	ts.Check(err)
	runs := map[string]int{}
	for _, r := range seen.Requests {
		runs[r.Digest]++
	}
	for _, r := range s.job(ts, args.positional(0)).requests {
		if runs[r.Digest] != want {
			ts.Fatalf("%s %s ran %d times, want %d: %s", r.Kind, r.ID, runs[r.Digest], want, r.DescribeAttempts())
		}
	}
}

// expect cut-runs N: injected faults aborted exactly N executions. This confirms that the faults took effect.
func expectCutRuns(s *scenario, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.positional(0))
	ts.Check(err)
	seen, err := s.deployment.ReadLogs()
	ts.Check(err)
	n := 0
	for _, r := range seen.Requests {
		if r.State == standin.RequestAborted {
			n++
		}
	}
	if n != want {
		ts.Fatalf("%d runs were cut, want %d", n, want)
	}
}

// slowRequest is the latency above which the attempts of a request are logged.
const slowRequest = 2 * time.Second

// expect quick JOB percent=N within=DURATION: at least that percentage of the requests finished within the duration.
func expectQuick(s *scenario, ts *testscript.TestScript, args arguments) {
	var times []time.Duration
	for _, r := range s.job(ts, args.positional(0)).requests {
		times = append(times, r.LastAttempt().Ended.Sub(r.Attempts[0].Sent))
		if times[len(times)-1] > slowRequest {
			ts.Logf("%s %s: %s", r.Kind, r.ID, r.DescribeAttempts())
		}
	}
	slices.Sort(times)
	percent, within := args.number("percent", 95), args.duration("within", time.Second)
	took := times[min(len(times)*percent/100, len(times)-1)]
	ts.Logf("%d requests: median %v, %d%% within %v, slowest %v", len(times), times[len(times)/2], percent, took, times[len(times)-1])
	if took > within {
		ts.Fatalf("%d%% of the requests took up to %v, want %v", percent, took, within)
	}
}

// expect in-time JOB: the trainer step completed before its deadline.
func expectInTime(s *scenario, ts *testscript.TestScript, args arguments) {
	j := s.job(ts, args.positional(0))
	ts.Logf("the step took %v of %v", j.took.took, j.took.deadline)
	if j.took.took > j.took.deadline {
		ts.Fatalf("the step took %v, its deadline is %v", j.took.took, j.took.deadline)
	}
}

// expect version ROW VERSION [percent=N]: at least that percentage (default 1) of the samples of the row's last step
// were generated entirely with that weight version or a newer one.
func expectVersion(s *scenario, ts *testscript.TestScript, args arguments) {
	version, err := strconv.ParseUint(args.positional(1), 10, 64)
	ts.Check(err)
	t := s.trainers[args.positional(0)]
	newest := 0
	samples := t.Reports[len(t.Reports)-1].Samples
	for _, sample := range samples {
		if slices.Min(sample.Versions) >= api.WeightVersion(version) {
			newest++
		}
	}
	ts.Logf("%d of %d samples are of version %d", newest, len(samples), version)
	if percent := args.number("percent", 1); len(samples) == 0 || newest*100 < percent*len(samples) {
		ts.Fatalf("%d of %d samples are of version %d, want %d%%", newest, len(samples), version, percent)
	}
}

// expect failed-swaps N: at least N orders to switch weights failed. This confirms that the faults took effect.
func expectFailedSwaps(s *scenario, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.positional(0))
	ts.Check(err)
	seen, err := s.deployment.ReadLogs()
	ts.Check(err)
	n := 0
	for _, o := range seen.Orders {
		if o.Kind == "switch" && !slices.Contains([]string{"accepted", "refused", "done"}, o.Result) {
			n++
		}
	}
	if n < want {
		ts.Fatalf("%d switch orders failed, want %d", n, want)
	}
}

// expect promises: the checks of promises P1 to P6 of the design page find no violation. All jobs must have ended.
func expectPromises(s *scenario, ts *testscript.TestScript, _ arguments) {
	seen, err := s.deployment.ReadLogs()
	ts.Check(err)
	index := workload.NewLogIndex(seen)
	requests := s.sender.Log.Requests()
	var runs []*workload.TrainerRun
	var overdue []string
	for name, t := range s.trainers {
		runs = append(runs, t)
		bound := api.WeightVersion(s.rolloutRow(ts, name).MaxStalenessVersions)
		overdue = append(overdue, workload.CheckStalenessByTime(t, bound, s.published).Violations...)
	}
	labels, once, whole := index.CheckLabels(runs), workload.CheckExactlyOnce(runs), workload.CheckCompleteAnswers(requests)
	notRun, atMostOnce := index.CheckNotRun(requests), index.CheckAtMostOnce(requests)
	ts.Logf("%d samples, by versions behind %v; %d whole answers, %d bookings with %d resends, %d unknown, %d not run",
		once.Checked, workload.CountVersionsBehind(runs), whole.Checked, atMostOnce.Checked, atMostOnce.Resent, atMostOnce.Unknown, notRun.Checked)
	bad := slices.Concat(labels.Violations, workload.CheckStaleness(runs).Violations, overdue, once.Violations, whole.Violations, notRun.Violations, atMostOnce.Violations)
	for _, line := range bad {
		ts.Logf("%s", line)
	}
	if len(bad) > 0 {
		ts.Fatalf("%d violations", len(bad))
	}
}
