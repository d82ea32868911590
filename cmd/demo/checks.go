package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/service"
	"filbertledge/internal/standin/trainer"
)

// maxShown bounds the violations that are printed for each promise.
const maxShown = 5

// leaveBound is the time after which a leaving backend server must receive no new work.
const leaveBound = 3 * time.Second

// acceptBound is the time for which an entry VM that shuts down goes on accepting requests, because the
// platform's balancer learns late that it is not ready.
const acceptBound = 5 * time.Second

// totals are the numbers of the last line.
type totals struct {
	requests, answered, refused, duplicated, lost int
	samples, mislabeled, stale, edits, reverted   int
}

// checker compares what the stand-ins saw with what the callers got.
type checker struct {
	demo     *demo
	seen     standin.LogContent
	byDigest map[string][]standin.RequestRecord
	byKey    map[string][]standin.RequestRecord
	byText   map[string][]standin.RequestRecord
	out      io.Writer
	totals   totals
	broken   int
}

// report prints one line for each promise and the totals, and reports whether all promises were kept.
func (d *demo) report() (bool, error) {
	seen, err := d.deployment.Seen()
	if err != nil {
		return false, err
	}
	return newChecker(d, seen, os.Stdout).check(), nil
}

func newChecker(d *demo, seen standin.LogContent, out io.Writer) *checker {
	c := &checker{
		demo: d, seen: seen, out: out, byDigest: map[string][]standin.RequestRecord{},
		byKey: map[string][]standin.RequestRecord{}, byText: map[string][]standin.RequestRecord{},
	}
	for _, r := range seen.Requests {
		c.byDigest[r.Digest] = append(c.byDigest[r.Digest], r)
		c.byText[r.TextDigest] = append(c.byText[r.TextDigest], r)
		if r.IdempotencyKey != "" {
			c.byKey[r.IdempotencyKey] = append(c.byKey[r.IdempotencyKey], r)
		}
	}
	return c
}

func (c *checker) check() bool {
	for _, step := range []func(){
		c.count, c.labels, c.staleness, c.exactlyOnce, c.wholeAnswers, c.notRun, c.atMostOnce, c.leaving, c.shutdown, c.editsInForce,
	} {
		step()
	}
	t := c.totals
	fmt.Fprintf(c.out, "demo: requests=%d answered=%d refused=%d duplicated=%d lost=%d samples=%d mislabelled=%d stale=%d edits=%d reverted=%d\n",
		t.requests, t.answered, t.refused, t.duplicated, t.lost, t.samples, t.mislabeled, t.stale, t.edits, t.reverted)
	return c.broken == 0
}

// line prints the verdict on one promise.
func (c *checker) line(promise, what string, violations []string) {
	if len(violations) == 0 {
		fmt.Fprintf(c.out, "%s kept: %s\n", promise, what)
		return
	}
	c.broken++
	fmt.Fprintf(c.out, "%s BROKEN: %s; %d violations\n", promise, what, len(violations))
	for _, v := range violations[:min(len(violations), maxShown)] {
		fmt.Fprintf(c.out, "    %s\n", v)
	}
}

func (c *checker) count() {
	for _, r := range c.demo.book.requests {
		c.totals.requests++
		switch a := r.best(); {
		case a.ok():
			c.totals.answered++
		case a.err == nil:
			c.totals.refused++
		default:
			c.totals.lost++
		}
	}
	c.refusals()
}

// refusals prints the final refusals by code, so that a reader sees why callers were refused.
func (c *checker) refusals() {
	codes := map[string]int{}
	for _, r := range c.demo.book.requests {
		if a := r.best(); a.err == nil && !a.ok() {
			patience := "within the row's deadline"
			if r.deadline > 0 {
				patience = "with a deadline of at most " + fmt.Sprint(maxImpatience*time.Millisecond)
			}
			codes[fmt.Sprintf("%s %s: %d %s", r.kind, patience, a.status, a.code)]++
		}
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(c.out, "refused: %s: %d\n", code, codes[code])
	}
}

// story lists the attempts of a request.
func (r *request) story() string {
	var b strings.Builder
	for _, a := range r.attempts {
		fmt.Fprintf(&b, "[%s, %.3f s: %d %s %v]", a.vm.Name, a.ended.Sub(a.sent).Seconds(), a.status, a.code, a.err)
	}
	return b.String()
}

// best returns the attempt that was answered, or the last one.
func (r *request) best() *attempt {
	for i := range r.attempts {
		if r.attempts[i].ok() {
			return &r.attempts[i]
		}
	}
	return r.last()
}

func (c *checker) samples(f func(t *trainerRun, s trainer.Sample)) {
	for _, t := range c.demo.trainers {
		for _, report := range t.reports {
			for _, s := range report.Samples {
				f(t, s)
			}
		}
	}
}

// labels checks that each sample's label is what an engine reported for exactly this text (P1).
func (c *checker) labels() {
	var bad []string
	c.samples(func(t *trainerRun, s trainer.Sample) {
		c.totals.samples++
		if !c.labelIsTrue(s) {
			bad = append(bad, fmt.Sprintf("%s %v: labels %v", t.row, s.ID, s.Labels))
		}
	})
	for _, t := range c.demo.trainers {
		for _, r := range t.reports {
			bad = append(bad, r.Problems...)
		}
	}
	c.totals.mislabeled = len(bad)
	c.line("P1", fmt.Sprintf("%d samples carry the labels that the engines reported for their text", c.totals.samples), bad)
}

func (c *checker) labelIsTrue(s trainer.Sample) bool {
	runs := c.byText[standin.TextDigest(s.Text)]
	return slices.ContainsFunc(runs, func(r standin.RequestRecord) bool {
		return r.State == standin.RunCompleted && c.coversLabels(r, merge(s.Labels))
	})
}

// coversLabels reports whether a run, and for a resumed run the earlier runs of its prompt, gave these labels.
func (c *checker) coversLabels(r standin.RequestRecord, labels []api.PieceLabel) bool {
	tail := merge(r.Pieces)
	if r.ResumedAt == 0 {
		return slices.Equal(labels, tail)
	}
	versions := map[api.WeightVersion]bool{}
	for _, earlier := range c.byDigest[r.Digest] {
		for _, p := range earlier.Pieces {
			versions[p.Version] = true
		}
	}
	tokens := 0
	for _, l := range labels {
		tokens += l.Tokens
		if !versions[l.Version] {
			return false
		}
	}
	for _, p := range tail {
		same := func(l api.PieceLabel) bool {
			return l.Version == p.Version && l.Cached == p.Cached && l.Tokens >= p.Tokens
		}
		if !slices.ContainsFunc(labels, same) {
			return false
		}
	}
	return tokens == r.ResumedAt+r.Tokens
}

// merge joins neighboring pieces of equal version.
func merge(pieces []api.PieceLabel) []api.PieceLabel {
	var out []api.PieceLabel
	for _, p := range pieces {
		last := len(out) - 1
		if last >= 0 && out[last].Version == p.Version && out[last].Cached == p.Cached {
			out[last].Tokens += p.Tokens
			continue
		}
		out = append(out, p)
	}
	return out
}

// staleness checks the bound of the row at the hand-over of each sample (P2).
func (c *checker) staleness() {
	var bad []string
	for _, t := range c.demo.trainers {
		for _, r := range t.reports {
			for _, id := range r.Stale {
				bad = append(bad, fmt.Sprintf("%s %v", t.row, id))
			}
		}
	}
	c.totals.stale = len(bad)
	c.line("P2", fmt.Sprintf("no sample was older than its row's bound when it was delivered; deliveries by versions behind: %v", c.behind()), bad)
	c.rollOut()
}

// behind counts the samples by versions behind the newest at their delivery, from zero.
func (c *checker) behind() []int {
	counts := []int{0}
	for _, t := range c.demo.trainers {
		for _, r := range t.reports {
			for _, n := range r.Staleness {
				for len(counts) <= int(n) {
					counts = append(counts, 0)
				}
				counts[n]++
			}
		}
	}
	return counts
}

// rollOut prints when the last engine had switched to each published version.
func (c *checker) rollOut() {
	for _, p := range c.demo.published {
		var last time.Time
		switched := map[api.ServerID]bool{}
		for _, o := range c.seen.Orders {
			if o.Kind == "switch" && o.Version == p.version && o.Result == engine.OrderDone {
				switched[o.Server] = true
				if o.Ended.After(last) {
					last = o.Ended
				}
			}
		}
		fmt.Fprintf(c.out, "weights %d: %d engines switched, the last %.1f s after the publication\n", p.version, len(switched), max(last.Sub(p.at), 0).Seconds())
	}
}

// exactlyOnce checks that each sample reached its trainer once (P3).
func (c *checker) exactlyOnce() {
	var bad []string
	for _, t := range c.demo.trainers {
		got := 0
		for _, r := range t.reports {
			got += len(r.Samples)
			for _, id := range r.Duplicated {
				c.totals.duplicated++
				bad = append(bad, fmt.Sprintf("%s %v was delivered again after its acknowledgement", t.row, id))
			}
		}
		if want := trainerSteps * stepGroups * groupSize; got != want {
			c.totals.lost += want - got
			bad = append(bad, fmt.Sprintf("%s: %d of %d samples: %v", t.row, got, want, t.err))
		}
	}
	c.line("P3", fmt.Sprintf("%d samples were delivered exactly once in %d steps, in which each trainer died once before an acknowledgement", c.totals.samples, trainerSteps*len(c.demo.trainers)), bad)
}

// wholeAnswers checks each answered chat request against the text that its prompt and seed determine (P4).
func (c *checker) wholeAnswers() {
	var bad []string
	n := 0
	for _, r := range c.demo.book.requests {
		if r.want == "" {
			continue
		}
		a := r.best()
		if a.err != nil {
			bad = append(bad, fmt.Sprintf("%s %s was never answered: %s", r.kind, r.id, r.story()))
		}
		if !a.ok() {
			continue
		}
		n++
		if text, err := answerText(a); err != nil || text != r.want {
			c.totals.lost++
			c.totals.answered--
			bad = append(bad, fmt.Sprintf("%s %s through %s: %d bytes, want %d; %v", r.kind, r.id, a.vm.Name, len(text), len(r.want), err))
		}
	}
	c.line("P4", fmt.Sprintf("%d chat answers are whole and belong to their requests", n), bad)
}

// notRun checks each answer that says "not run" against the logs (P5). Earlier attempts of a booking count,
// because they have the same key; a chat request has no key.
func (c *checker) notRun() {
	var bad []string
	n := 0
	for _, r := range c.demo.book.requests {
		for _, a := range r.attempts {
			if a.outcome != api.OutcomeNotRun {
				continue
			}
			n++
			for _, run := range c.byDigest[r.digest] {
				since := a.sent
				if r.kind == "booking" {
					since = r.attempts[0].sent
				}
				if run.Start.After(since) && run.Start.Before(a.ended) {
					bad = append(bad, fmt.Sprintf("%s %s was run on %s", r.kind, r.id, run.Server))
				}
			}
		}
	}
	c.line("P5", fmt.Sprintf("%d refusals that say \"not run\" are true", n), bad)
}

// atMostOnce checks that no key ran twice and that all answers under a key are the same (P6).
func (c *checker) atMostOnce() {
	var bad []string
	bookings, resent, unknown := 0, 0, 0
	for _, r := range c.demo.book.requests {
		if r.kind != "booking" {
			continue
		}
		bookings++
		resent += len(r.attempts) - 1
		if a := r.best(); !a.ok() && a.outcome == api.OutcomeUnknown {
			unknown++
		}
		if runs := c.byKey[r.id]; len(runs) > 1 || len(c.byDigest[r.digest]) > 1 {
			c.totals.duplicated++
			bad = append(bad, fmt.Sprintf("booking %s ran %d times", r.id, max(len(runs), len(c.byDigest[r.digest]))))
		}
		bad = append(bad, c.bookingAnswers(r)...)
	}
	what := fmt.Sprintf("%d bookings ran at most once, with %d resends; %d have an unknown outcome", bookings, resent, unknown)
	c.line("P6", what, bad)
}

func (c *checker) bookingAnswers(r *request) []string {
	var bad []string
	var first []byte
	for _, a := range r.attempts {
		if !a.ok() {
			continue
		}
		var reply service.Reply
		if err := json.Unmarshal(a.body, &reply); err != nil || reply.IdempotencyKey != r.id || reply.Digest != r.digest {
			bad = append(bad, fmt.Sprintf("booking %s got the answer %s: %v", r.id, a.body, err))
		}
		if first != nil && !bytes.Equal(first, a.body) {
			bad = append(bad, fmt.Sprintf("booking %s got two answers: %s and %s", r.id, first, a.body))
		}
		first = a.body
		if len(c.byKey[r.id]) == 0 {
			bad = append(bad, fmt.Sprintf("booking %s was answered but no service ran it", r.id))
		}
	}
	return bad
}

// leaving checks that the leaving engine received no new work after the bound (P7).
func (c *checker) leaving() {
	var bad []string
	late := c.demo.leftAt.Add(leaveBound)
	before := 0
	for _, r := range c.seen.Requests {
		if string(r.Server) != c.demo.leaving.ID {
			continue
		}
		if r.Start.After(late) {
			bad = append(bad, fmt.Sprintf("a request arrived %.1f s after the announcement", r.Start.Sub(c.demo.leftAt).Seconds()))
		} else {
			before++
		}
	}
	c.line("P7", fmt.Sprintf("%s received nothing later than %v after it announced that it was leaving (%d requests before)", c.demo.leaving.ID, leaveBound, before), bad)
}

// shutdown checks that the drained entry VM broke no request (P8).
func (c *checker) shutdown() {
	var bad []string
	n := 0
	for _, r := range c.demo.book.requests {
		for _, a := range r.attempts {
			if a.vm != c.demo.drainedVM || a.ended.Before(c.demo.drainedAt) {
				continue
			}
			n++
			late := a.err != nil && a.sent.Sub(c.demo.drainedAt) > acceptBound && strings.Contains(a.err.Error(), "connection refused")
			if a.err != nil && !late {
				bad = append(bad, fmt.Sprintf("%s %s, sent %.1f s after the drain began: %v", r.kind, r.id, a.sent.Sub(c.demo.drainedAt).Seconds(), a.err))
			}
			if a.status == http.StatusServiceUnavailable {
				bad = append(bad, fmt.Sprintf("%s %s was refused during the drain: %s", r.kind, r.id, a.code))
			}
		}
	}
	if c.demo.drainErr != nil {
		bad = append(bad, c.demo.drainErr.Error())
	}
	c.line("P8", fmt.Sprintf("the shutdown of %s cut off none of %d requests", c.demo.drainedVM.Name, n), bad)
}

// editsInForce checks that accepted edits reached all entry VMs and stayed (P9).
func (c *checker) editsInForce() {
	e := &c.demo.edits
	c.totals.edits, c.totals.reverted = len(e.accepted), len(e.reverted)
	var bad []string
	bad = append(bad, e.late...)
	bad = append(bad, e.reverted...)
	c.line("P9", fmt.Sprintf("%d edits were in force on all entry VMs after at most %.1f s and stayed", len(e.accepted), e.slowest.Seconds()), bad)
}
