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

// expect WHAT ... fails the script unless the expectation holds.
func expect(s *scene, ts *testscript.TestScript, args arguments) {
	list := map[string]command{
		"answered": expectAnswered, "outcome": expectOutcome, "runs": expectRuns, "cut-runs": expectCutRuns, "quick": expectQuick,
		"in-time": expectInTime, "version": expectVersion, "failed-swaps": expectFailedSwaps, "promises": expectPromises,
	}
	what, ok := list[args.word(0)]
	if !ok {
		ts.Fatalf("expectation %q does not exist", args.word(0))
	}
	args.words = args.words[1:]
	what(s, ts, args)
}

// expect answered JOB...: each request was answered whole.
func expectAnswered(s *scene, ts *testscript.TestScript, args arguments) {
	for _, name := range args.words {
		for _, r := range s.job(ts, name).requests {
			if !r.Best().OK() {
				ts.Fatalf("%s %s was not answered: %s", r.Kind, r.ID, r.Story())
			}
		}
	}
}

// expect outcome JOB OUTCOME: each request ended with the outcome.
func expectOutcome(s *scene, ts *testscript.TestScript, args arguments) {
	for _, r := range s.job(ts, args.word(0)).requests {
		if a := r.Last(); string(a.Outcome) != args.word(1) {
			ts.Fatalf("%s %s has the outcome %q: %s", r.Kind, r.ID, a.Outcome, r.Story())
		}
	}
}

// expect runs JOB N: each request was run exactly N times.
func expectRuns(s *scene, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.word(1))
	ts.Check(err)
	seen, err := s.deployment.Seen()
	ts.Check(err)
	runs := map[string]int{}
	for _, r := range seen.Requests {
		runs[r.Digest]++
	}
	for _, r := range s.job(ts, args.word(0)).requests {
		if runs[r.Digest] != want {
			ts.Fatalf("%s %s ran %d times, want %d: %s", r.Kind, r.ID, runs[r.Digest], want, r.Story())
		}
	}
}

// expect cut-runs N: N runs were cut by injected faults, so the script tests what it says.
func expectCutRuns(s *scene, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.word(0))
	ts.Check(err)
	seen, err := s.deployment.Seen()
	ts.Check(err)
	n := 0
	for _, r := range seen.Requests {
		if r.State == standin.RunCut {
			n++
		}
	}
	if n != want {
		ts.Fatalf("%d runs were cut, want %d", n, want)
	}
}

// outlier is the time from which the attempts of a request are logged.
const outlier = 2 * time.Second

// expect quick JOB percent=N within=DURATION: that share of the requests was answered in time.
func expectQuick(s *scene, ts *testscript.TestScript, args arguments) {
	var times []time.Duration
	for _, r := range s.job(ts, args.word(0)).requests {
		times = append(times, r.Last().Ended.Sub(r.Attempts[0].Sent))
		if times[len(times)-1] > outlier {
			ts.Logf("%s %s: %s", r.Kind, r.ID, r.Story())
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

// expect in-time JOB: the step was whole before its deadline.
func expectInTime(s *scene, ts *testscript.TestScript, args arguments) {
	j := s.job(ts, args.word(0))
	ts.Logf("the step took %v of %v", j.took.took, j.took.deadline)
	if j.took.took > j.took.deadline {
		ts.Fatalf("the step took %v, its deadline is %v", j.took.took, j.took.deadline)
	}
}

// expect version ROW VERSION: the last step of the row has a sample of only that version or a newer one.
func expectVersion(s *scene, ts *testscript.TestScript, args arguments) {
	version, err := strconv.ParseUint(args.word(1), 10, 64)
	ts.Check(err)
	t := s.trainers[args.word(0)]
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

// expect failed-swaps N: at least N switch orders failed, so the script tests what it says.
func expectFailedSwaps(s *scene, ts *testscript.TestScript, args arguments) {
	want, err := strconv.Atoi(args.word(0))
	ts.Check(err)
	seen, err := s.deployment.Seen()
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

// expect promises: no check of the promises P1 to P6 finds a violation. All jobs must have ended.
func expectPromises(s *scene, ts *testscript.TestScript, _ arguments) {
	seen, err := s.deployment.Seen()
	ts.Check(err)
	index := workload.NewIndex(seen)
	requests := s.sender.Book.Requests()
	var runs []*workload.TrainerRun
	var overdue []string
	for name, t := range s.trainers {
		runs = append(runs, t)
		bound := api.WeightVersion(s.rolloutRow(ts, name).MaxStalenessVersions)
		overdue = append(overdue, workload.Overdue(t, bound, s.published).Bad...)
	}
	labels, once, whole := index.Labels(runs), workload.ExactlyOnce(runs), workload.WholeAnswers(requests)
	notRun, atMostOnce := index.NotRun(requests), index.AtMostOnce(requests)
	ts.Logf("%d samples, by versions behind %v; %d whole answers, %d bookings with %d resends, %d unknown, %d not run",
		once.Count, workload.Behind(runs), whole.Count, atMostOnce.Count, atMostOnce.Resent, atMostOnce.Unknown, notRun.Count)
	bad := slices.Concat(labels.Bad, workload.Staleness(runs).Bad, overdue, once.Bad, whole.Bad, notRun.Bad, atMostOnce.Bad)
	for _, line := range bad {
		ts.Logf("%s", line)
	}
	if len(bad) > 0 {
		ts.Fatalf("%d violations", len(bad))
	}
}
