package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"filbertledge/internal/standin"
	"filbertledge/internal/workload"
)

const (
	// leaveGracePeriod is the time after its announcement from which a leaving backend server must receive no new
	// requests.
	leaveGracePeriod = 3 * time.Second
	// drainAcceptPeriod is the time for which an entry VM that shuts down still accepts requests.
	drainAcceptPeriod  = 5 * time.Second
	maxViolationsShown = 5
)

// report prints the number of faults, the verdict on each promise and the totals, and reports whether all promises
// were kept.
func (s *soak) report(out io.Writer) (bool, error) {
	seen, err := s.deployment.ReadLogs()
	if err != nil {
		return false, err
	}
	for _, name := range slices.Sorted(maps.Keys(s.faults.counts)) {
		fmt.Fprintf(out, "fault: %s: %d\n", name, s.faults.counts[name])
	}
	index := workload.NewLogIndex(seen)
	requests := s.callers.Sender.Log.Requests()
	labels, once, whole := index.CheckLabels(s.trainers), workload.CheckExactlyOnce(s.trainers), workload.CheckCompleteAnswers(requests)
	notRun, atMostOnce, stale := index.CheckNotRun(requests), index.CheckAtMostOnce(requests), s.staleSamples()
	kept := true
	for _, p := range []struct {
		promise string
		bad     []string
	}{
		{"P1", labels.Violations},
		{"P2", stale},
		{"P3", once.Violations},
		{"P4", whole.Violations},
		{"P5", notRun.Violations},
		{"P6", atMostOnce.Violations},
		{"P7", s.requestsAfterLeaving(seen)},
		{"P8", s.requestsCutByDrain(requests)},
	} {
		kept = printVerdict(out, p.promise, p.bad) && kept
	}
	fmt.Fprintf(out, "soak: requests=%d doubled=%d lost=%d false-not-run=%d samples=%d doubled=%d lost=%d mislabelled=%d stale=%d refused-minutes=%d\n",
		len(requests), atMostOnce.Duplicated, len(whole.Violations), len(notRun.Violations), once.Checked, once.Duplicated, once.Lost,
		len(labels.Violations), len(stale), refusedMinutes(requests))
	return kept, nil
}

func printVerdict(out io.Writer, promise string, bad []string) bool {
	if len(bad) == 0 {
		fmt.Fprintf(out, "%s kept\n", promise)
		return true
	}
	fmt.Fprintf(out, "%s BROKEN: %d violations\n", promise, len(bad))
	for _, v := range bad[:min(len(bad), maxViolationsShown)] {
		fmt.Fprintf(out, "    %s\n", v)
	}
	return false
}

func (s *soak) staleSamples() []string {
	bad := workload.CheckStaleness(s.trainers).Violations
	for i, t := range s.trainers {
		bad = append(bad, workload.CheckStalenessByTime(t, s.stalenessBounds[i], s.published).Violations...)
	}
	return bad
}

// requestsAfterLeaving lists the requests that a leaving backend server received after leaveGracePeriod (P7).
func (s *soak) requestsAfterLeaving(seen standin.LogContent) []string {
	var bad []string
	for _, d := range s.faults.backendDepartures {
		for _, r := range seen.Requests {
			if string(r.Server) == d.name && r.Start.After(d.from.Add(leaveGracePeriod)) && r.Start.Before(d.exited) {
				bad = append(bad, fmt.Sprintf("%s received a request %.1f s after it announced that it was leaving", d.name, r.Start.Sub(d.from).Seconds()))
			}
		}
	}
	return bad
}

// requestsCutByDrain lists the requests that failed at an entry VM while it shut down, and the VMs with a nonzero
// exit code (P8). Requests that were sent after drainAcceptPeriod may be refused and are not listed.
func (s *soak) requestsCutByDrain(requests []*workload.Request) []string {
	var bad []string
	for _, d := range s.faults.vmDepartures {
		if d.exitCode != 0 {
			bad = append(bad, fmt.Sprintf("%s ended with exit code %d", d.name, d.exitCode))
		}
		for _, r := range requests {
			for _, a := range r.Attempts {
				during := a.VM.Name == d.name && a.Ended.After(d.from) && a.Ended.Before(d.exited.Add(time.Second)) && a.Sent.Before(d.from.Add(drainAcceptPeriod))
				if during && a.Err != nil {
					bad = append(bad, fmt.Sprintf("%s drained at %s: %s", d.name, d.from.Format(time.TimeOnly), r.DescribeAttempts()))
				}
			}
		}
	}
	return bad
}

// refusedMinutes counts, for each row, the minutes in which a customer's request was refused, and returns the sum
// over all rows.
func refusedMinutes(requests []*workload.Request) int {
	type minute struct {
		row string
		at  time.Time
	}
	minutes := map[minute]bool{}
	for _, r := range requests {
		for _, a := range r.Attempts {
			if a.Err == nil && a.Status != http.StatusOK {
				minutes[minute{r.Row, a.Ended.Truncate(time.Minute)}] = true
			}
		}
	}
	return len(minutes)
}
