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

// maxViolationsShown bounds the violations that are printed for each promise.
const maxViolationsShown = 5

// leaveGracePeriod is the time after its announcement from which a leaving backend server must receive no new requests.
const leaveGracePeriod = 3 * time.Second

// drainAcceptPeriod is the time for which an entry VM that shuts down still accepts requests, because the platform's
// load balancer notices with a delay that the VM is not ready.
const drainAcceptPeriod = 5 * time.Second

// totals are the counts in the last line of the output.
type totals struct {
	requests, answered, refused, duplicated, lost int
	samples, mislabeled, stale, edits, reverted   int
}

// checker compares the logs of the stand-ins with the answers that the callers received.
type checker struct {
	demo   *demo
	seen   standin.LogContent
	index  *workload.LogIndex
	out    io.Writer
	totals totals
	broken int
}

// report prints the verdict on each promise and the totals, and reports whether all promises were kept.
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
		c.countRequests, c.labels, c.staleness, c.exactlyOnce, c.completeAnswers, c.notRun, c.atMostOnce, c.noWorkAfterLeaving, c.drainCutsNothing, c.editsInForce,
	} {
		step()
	}
	t := c.totals
	fmt.Fprintf(c.out, "demo: requests=%d answered=%d refused=%d duplicated=%d lost=%d samples=%d mislabelled=%d stale=%d edits=%d reverted=%d\n",
		t.requests, t.answered, t.refused, t.duplicated, t.lost, t.samples, t.mislabeled, t.stale, t.edits, t.reverted)
	return c.broken == 0
}

// printVerdict prints the verdict on one promise.
func (c *checker) printVerdict(promise, what string, violations []string) {
	if len(violations) == 0 {
		fmt.Fprintf(c.out, "%s kept: %s\n", promise, what)
		return
	}
	c.broken++
	fmt.Fprintf(c.out, "%s BROKEN: %s; %d violations\n", promise, what, len(violations))
	for _, v := range violations[:min(len(violations), maxViolationsShown)] {
		fmt.Fprintf(c.out, "    %s\n", v)
	}
}

func (c *checker) countRequests() {
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
	c.printRefusals()
}

// printRefusals prints the number of requests whose final answer was a refusal, by error code and by deadline.
func (c *checker) printRefusals() {
	codes := map[string]int{}
	for _, r := range c.demo.sender.Log.Requests() {
		if a := r.BestAttempt(); a.Err == nil && !a.OK() {
			deadline := "within the row's deadline"
			if r.Deadline > 0 {
				deadline = "with a deadline of at most " + fmt.Sprint(maxShortDeadlineMS*time.Millisecond)
			}
			codes[fmt.Sprintf("%s %s: %d %s", r.Kind, deadline, a.Status, a.Code)]++
		}
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(c.out, "refused: %s: %d\n", code, codes[code])
	}
}

// labels checks that each sample carries the weight versions that an engine reported for exactly this text (P1).
func (c *checker) labels() {
	v := c.index.CheckLabels(c.demo.trainerRuns())
	c.totals.samples, c.totals.mislabeled = v.Checked, len(v.Violations)
	c.printVerdict("P1", fmt.Sprintf("%d samples carry the labels that the engines reported for their text", v.Checked), v.Violations)
}

// staleness checks that no sample exceeded its row's staleness bound when it was delivered (P2).
func (c *checker) staleness() {
	runs := c.demo.trainerRuns()
	v := workload.CheckStaleness(runs)
	c.totals.stale = len(v.Violations)
	c.printVerdict("P2", fmt.Sprintf("no sample was older than its row's bound when it was delivered; deliveries by versions behind: %v", workload.CountVersionsBehind(runs)), v.Violations)
	c.printWeightRollout()
}

// printWeightRollout prints, for each published version, how many engines switched to it and when the last one did.
func (c *checker) printWeightRollout() {
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

// exactlyOnce checks that each sample was delivered to its trainer exactly once (P3).
func (c *checker) exactlyOnce() {
	v := workload.CheckExactlyOnce(c.demo.trainerRuns())
	c.totals.duplicated += v.Duplicated
	c.totals.lost += v.Lost
	c.printVerdict("P3", fmt.Sprintf("%d samples were delivered exactly once in %d steps, in which each trainer died once before an acknowledgement", v.Checked, trainerSteps*len(c.demo.trainers)), v.Violations)
}

// completeAnswers checks that each chat answer is the complete text that its prompt and seed determine (P4).
func (c *checker) completeAnswers() {
	v := workload.CheckCompleteAnswers(c.demo.sender.Log.Requests())
	c.totals.lost += v.Lost
	c.totals.answered -= v.Lost
	c.printVerdict("P4", fmt.Sprintf("%d chat answers are whole and belong to their requests", v.Checked), v.Violations)
}

// notRun checks, for each answer "not run", that no stand-in logged the request before that answer (P5).
func (c *checker) notRun() {
	v := c.index.CheckNotRun(c.demo.sender.Log.Requests())
	c.printVerdict("P5", fmt.Sprintf("%d refusals that say \"not run\" are true", v.Checked), v.Violations)
}

// atMostOnce checks that no idempotency key ran twice and that all answers to a key are identical (P6).
func (c *checker) atMostOnce() {
	v := c.index.CheckAtMostOnce(c.demo.sender.Log.Requests())
	c.totals.duplicated += v.Duplicated
	what := fmt.Sprintf("%d bookings ran at most once, with %d resends; %d have an unknown outcome", v.Checked, v.Resent, v.Unknown)
	c.printVerdict("P6", what, v.Violations)
}

// noWorkAfterLeaving checks that the leaving engine received no requests after leaveGracePeriod (P7).
func (c *checker) noWorkAfterLeaving() {
	var bad []string
	late := c.demo.leftAt.Add(leaveGracePeriod)
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
	c.printVerdict("P7", fmt.Sprintf("%s received nothing later than %v after it announced that it was leaving (%d requests before)", c.demo.leaving.ID, leaveGracePeriod, before), bad)
}

// drainCutsNothing checks that the drained entry VM neither cut off nor refused a request. Connections that it refuses
// after drainAcceptPeriod are allowed (P8).
func (c *checker) drainCutsNothing() {
	var bad []string
	n := 0
	for _, r := range c.demo.sender.Log.Requests() {
		for _, a := range r.Attempts {
			if a.VM != c.demo.drainedVM || a.Ended.Before(c.demo.drainedAt) {
				continue
			}
			n++
			late := a.Err != nil && a.Sent.Sub(c.demo.drainedAt) > drainAcceptPeriod && strings.Contains(a.Err.Error(), "connection refused")
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
	c.printVerdict("P8", fmt.Sprintf("the shutdown of %s cut off none of %d requests", c.demo.drainedVM.Name, n), bad)
}

// editsInForce checks that accepted edits took effect on all entry VMs and were not reverted (P9).
func (c *checker) editsInForce() {
	e := &c.demo.edits
	c.totals.edits, c.totals.reverted = len(e.accepted), len(e.reverted)
	var bad []string
	bad = append(bad, e.late...)
	bad = append(bad, e.reverted...)
	c.printVerdict("P9", fmt.Sprintf("%d edits were in force on all entry VMs after at most %.1f s and stayed", len(e.accepted), e.slowest.Seconds()), bad)
}
