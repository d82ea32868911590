package main

import (
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
	"filbertledge/internal/workload"
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
	demo   *demo
	seen   standin.LogContent
	index  *workload.LogIndex
	out    io.Writer
	totals totals
	broken int
}

// report prints one line for each promise and the totals, and reports whether all promises were kept.
func (d *demo) report() (bool, error) {
	seen, err := d.deployment.ReadLogs()
	if err != nil {
		return false, err
	}
	return newChecker(d, seen, os.Stdout).check(), nil
}

func newChecker(d *demo, seen standin.LogContent, out io.Writer) *checker {
	return &checker{demo: d, seen: seen, index: workload.NewLogIndex(seen), out: out}
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
	for _, r := range c.demo.sender.Log.Requests() {
		c.totals.requests++
		switch a := r.BestAttempt(); {
		case a.OK():
			c.totals.answered++
		case a.Err == nil:
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
	for _, r := range c.demo.sender.Log.Requests() {
		if a := r.BestAttempt(); a.Err == nil && !a.OK() {
			patience := "within the row's deadline"
			if r.Deadline > 0 {
				patience = "with a deadline of at most " + fmt.Sprint(maxImpatience*time.Millisecond)
			}
			codes[fmt.Sprintf("%s %s: %d %s", r.Kind, patience, a.Status, a.Code)]++
		}
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(c.out, "refused: %s: %d\n", code, codes[code])
	}
}

// labels checks that each sample's label is what an engine reported for exactly this text (P1).
func (c *checker) labels() {
	v := c.index.CheckLabels(c.demo.runs())
	c.totals.samples, c.totals.mislabeled = v.Checked, len(v.Violations)
	c.line("P1", fmt.Sprintf("%d samples carry the labels that the engines reported for their text", v.Checked), v.Violations)
}

// staleness checks the bound of the row at the hand-over of each sample (P2).
func (c *checker) staleness() {
	runs := c.demo.runs()
	v := workload.CheckStaleness(runs)
	c.totals.stale = len(v.Violations)
	c.line("P2", fmt.Sprintf("no sample was older than its row's bound when it was delivered; deliveries by versions behind: %v", workload.CountVersionsBehind(runs)), v.Violations)
	c.rollOut()
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
	v := workload.CheckExactlyOnce(c.demo.runs())
	c.totals.duplicated += v.Duplicated
	c.totals.lost += v.Lost
	c.line("P3", fmt.Sprintf("%d samples were delivered exactly once in %d steps, in which each trainer died once before an acknowledgement", v.Checked, trainerSteps*len(c.demo.trainers)), v.Violations)
}

// wholeAnswers checks each answered chat request against the text that its prompt and seed determine (P4).
func (c *checker) wholeAnswers() {
	v := workload.CheckCompleteAnswers(c.demo.sender.Log.Requests())
	c.totals.lost += v.Lost
	c.totals.answered -= v.Lost
	c.line("P4", fmt.Sprintf("%d chat answers are whole and belong to their requests", v.Checked), v.Violations)
}

// notRun checks each answer that says "not run" against the logs (P5).
func (c *checker) notRun() {
	v := c.index.CheckNotRun(c.demo.sender.Log.Requests())
	c.line("P5", fmt.Sprintf("%d refusals that say \"not run\" are true", v.Checked), v.Violations)
}

// atMostOnce checks that no key ran twice and that all answers under a key are the same (P6).
func (c *checker) atMostOnce() {
	v := c.index.CheckAtMostOnce(c.demo.sender.Log.Requests())
	c.totals.duplicated += v.Duplicated
	what := fmt.Sprintf("%d bookings ran at most once, with %d resends; %d have an unknown outcome", v.Checked, v.Resent, v.Unknown)
	c.line("P6", what, v.Violations)
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
	for _, r := range c.demo.sender.Log.Requests() {
		for _, a := range r.Attempts {
			if a.VM != c.demo.drainedVM || a.Ended.Before(c.demo.drainedAt) {
				continue
			}
			n++
			late := a.Err != nil && a.Sent.Sub(c.demo.drainedAt) > acceptBound && strings.Contains(a.Err.Error(), "connection refused")
			if a.Err != nil && !late {
				bad = append(bad, fmt.Sprintf("%s %s, sent %.1f s after the drain began: %v", r.Kind, r.ID, a.Sent.Sub(c.demo.drainedAt).Seconds(), a.Err))
			}
			if a.Status == http.StatusServiceUnavailable {
				bad = append(bad, fmt.Sprintf("%s %s was refused during the drain: %s", r.Kind, r.ID, a.Code))
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
