package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/service"
	"filbertledge/internal/standin/trainer"
	"filbertledge/internal/workload"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// recordedRun holds the records of a run in which all promises were kept.
type recordedRun struct {
	demo *demo
	seen standin.LogContent
}

func newRecordedRun() *recordedRun {
	text := strings.Repeat("w1 ", 3)
	labels := []api.PieceLabel{{Version: 1, Cached: true}, {Version: 1, Tokens: 2}, {Version: 2, Tokens: 1}}
	drained, other := &harness.VM{}, &harness.VM{}
	ok := func(vm *harness.VM, sent float64, body []byte) workload.Attempt {
		return workload.Attempt{VM: vm, Sent: at(sent), Ended: at(sent + 0.5), Status: http.StatusOK, Outcome: api.OutcomeRan, Body: body}
	}
	answer := workload.MustJSON(service.Reply{IdempotencyKey: "k", Digest: "db", Run: 1})
	d := &demo{drainedVM: drained, drainedAt: at(10), leaving: &harness.Backend{BackendSpec: harness.BackendSpec{ID: "e2"}}, leftAt: at(10)}
	d.sender = &workload.Sender{}
	for _, r := range []*workload.Request{
		{Kind: "chat", ID: "c", Digest: "dc", WantText: text, Attempts: []workload.Attempt{ok(drained, 11, []byte(`{"choices":[{"message":{"content":"`+text+`"}}]}`))}},
		{Kind: "booking", ID: "k", Digest: "db", Attempts: []workload.Attempt{ok(other, 1, answer), ok(drained, 2, answer)}},
		{Kind: "chat", ID: "n", Digest: "dn", Attempts: []workload.Attempt{{VM: other, Sent: at(1), Ended: at(2), Status: 429, Outcome: api.OutcomeNotRun}}},
	} {
		d.sender.Log.Add(r)
	}
	report := trainer.Report{}
	s := &recordedRun{demo: d}
	for i := range trainerSteps * stepGroups * groupSize {
		sample := trainer.Sample{ID: trainer.SampleID{Member: i}, Text: fmt.Sprintf("%s%d ", text, i), Labels: labels}
		report.Samples = append(report.Samples, sample)
		s.seen.Requests = append(s.seen.Requests, standin.RequestRecord{
			Server: "e1", State: standin.RequestCompleted, Pieces: labels, TextDigest: standin.TextDigest(sample.Text), Start: at(1),
		})
	}
	d.trainers = []*workload.TrainerRun{{Row: "r", Reports: []trainer.Report{report}}}
	s.seen.Requests = append(
		s.seen.Requests,
		standin.RequestRecord{Server: "s1", IdempotencyKey: "k", Digest: "db", Start: at(1.1)},
		standin.RequestRecord{Server: "e2", Digest: "dc", Start: at(12.9)},
		standin.RequestRecord{Server: "e1", Digest: "dn", Start: at(2.5)},
	)
	d.edits.accepted = []edit{{row: "r", version: 2}}
	return s
}

// Guards against checks that always pass: each change to a correct run must violate exactly the promise of its case.
func TestCheckReportsExactlyTheViolatedPromise(t *testing.T) {
	cases := []struct {
		promise string
		change  func(s *recordedRun)
		total   string
	}{
		{"", func(*recordedRun) {}, "requests=3 answered=2 refused=1 duplicated=0 lost=0 samples=64 mislabelled=0 stale=0 edits=1 reverted=0"},
		{"P1", func(s *recordedRun) { s.seen.Requests[5].Pieces = []api.PieceLabel{{Version: 2, Tokens: 3}} }, "mislabelled=1"},
		{"P1", func(s *recordedRun) { s.seen.Requests[5].State = standin.RequestCancelled }, "mislabelled=1"},
		{"P2", func(s *recordedRun) { s.demo.trainers[0].Reports[0].Stale = make([]trainer.SampleID, 1) }, "stale=1"},
		{"P3", func(s *recordedRun) { s.demo.trainers[0].Reports[0].Duplicated = make([]trainer.SampleID, 1) }, "duplicated=1"},
		{"P3", func(s *recordedRun) {
			r := &s.demo.trainers[0].Reports[0]
			r.Samples = r.Samples[1:]
		}, "lost=1"},
		{"P4", func(s *recordedRun) { s.demo.sender.Log.Requests()[0].WantText += "w2 " }, "lost=1"},
		{"P4", func(s *recordedRun) {
			s.demo.sender.Log.Requests()[0].Attempts[0] = workload.Attempt{VM: &harness.VM{}, Err: errors.New("no end mark")}
		}, "lost=1"},
		{"P5", func(s *recordedRun) { s.seen.Requests[66].Start = at(1.5) }, "requests=3"},
		{"P6", func(s *recordedRun) { s.seen.Requests[66] = s.seen.Requests[64] }, "duplicated=1"},
		{"P6", func(s *recordedRun) {
			s.demo.sender.Log.Requests()[1].Attempts[1].Body = workload.MustJSON(service.Reply{IdempotencyKey: "k", Digest: "db", Run: 2})
		}, "requests=3"},
		{"P6", func(s *recordedRun) { s.seen.Requests[64].IdempotencyKey = "other" }, "requests=3"},
		{"P7", func(s *recordedRun) { s.seen.Requests[65].Start = at(13.1) }, "requests=3"},
		{"P8", func(s *recordedRun) {
			r := s.demo.sender.Log.Requests()[1]
			r.Attempts = append(r.Attempts, workload.Attempt{VM: s.demo.drainedVM, Ended: at(12), Err: errors.New("connection reset")})
		}, "requests=3"},
		{"P8", func(s *recordedRun) {
			r := s.demo.sender.Log.Requests()[1]
			r.Attempts = append(r.Attempts, workload.Attempt{VM: s.demo.drainedVM, Sent: at(14), Ended: at(14), Err: errors.New("connection refused")})
		}, "requests=3"},
		{"", func(s *recordedRun) {
			r := s.demo.sender.Log.Requests()[1]
			r.Attempts = append(r.Attempts, workload.Attempt{VM: s.demo.drainedVM, Sent: at(16), Ended: at(16), Err: errors.New("connection refused")})
		}, "requests=3"},
		{"P8", func(s *recordedRun) { s.demo.drainErr = errors.New("exit code 1") }, "requests=3"},
		{"P9", func(s *recordedRun) { s.demo.edits.reverted = []string{"x"} }, "reverted=1"},
		{"P9", func(s *recordedRun) { s.demo.edits.late = []string{"x"} }, "reverted=0"},
	}
	for i, c := range cases {
		s := newRecordedRun()
		c.change(s)
		var out strings.Builder
		kept := newChecker(s.demo, s.seen, &out).check()
		if kept != (c.promise == "") {
			t.Errorf("case %d: kept %v, want %q broken:\n%s", i, kept, c.promise, out.String())
		}
		if n := strings.Count(out.String(), " BROKEN: "); c.promise != "" && (n != 1 || !strings.Contains(out.String(), c.promise+" BROKEN: ")) {
			t.Errorf("case %d: %d promises broken, want only %s:\n%s", i, n, c.promise, out.String())
		}
		if last := out.String()[strings.LastIndex(out.String(), "demo: "):]; !strings.Contains(last, c.total) {
			t.Errorf("case %d: last line %q, want %q", i, last, c.total)
		}
	}
}

// Guards against overlooking an edit that one entry VM reverts, and an edit that never reaches an entry VM.
func TestEditTrackerReportsRevertedAndMissingEdits(t *testing.T) {
	a, b := &harness.VM{}, &harness.VM{}
	a.Name, b.Name = "a", "b"
	e := editTracker{deployment: &harness.Deployment{VMs: []*harness.VM{a, b}}, newest: map[*harness.VM]map[api.RowName]uint64{a: {}, b: {}}}
	e.accepted = []edit{{row: "r", version: 2, at: time.Now(), seen: map[*harness.VM]bool{}}}
	view := func(version uint64) tableView {
		var v tableView
		v.Rows = append(v.Rows, rowAt(version))
		return v
	}
	e.observe(a, view(2))
	e.observe(b, view(1))
	if missing, waiting := e.missing(); len(missing) != 1 || !waiting || !strings.HasPrefix(missing[0], "b ") {
		t.Errorf("missing %q, waiting %v", missing, waiting)
	}
	e.observe(a, view(1))
	if len(e.reverted) != 1 {
		t.Errorf("reverted %q, want one entry", e.reverted)
	}
	e.accepted[0].at = time.Now().Add(-2 * maxEditLatency)
	if missing, waiting := e.missing(); len(missing) != 1 || waiting {
		t.Errorf("missing %q, waiting %v after the bound", missing, waiting)
	}
}

func rowAt(version uint64) tableRow { return tableRow{Name: "r", Version: version} }
