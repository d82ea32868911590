package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/service"
	"filbertledge/internal/standin/trainer"
)

// LogIndex finds logged requests of the stand-ins by content digest, idempotency key and answer text.
type LogIndex struct {
	byDigest map[string][]standin.RequestRecord
	byKey    map[string][]standin.RequestRecord
	byText   map[string][]standin.RequestRecord
}

// NewLogIndex returns an index of the stand-ins' logs.
func NewLogIndex(logs standin.LogContent) *LogIndex {
	c := &LogIndex{
		byDigest: map[string][]standin.RequestRecord{},
		byKey:    map[string][]standin.RequestRecord{},
		byText:   map[string][]standin.RequestRecord{},
	}
	for _, r := range logs.Requests {
		c.byDigest[r.Digest] = append(c.byDigest[r.Digest], r)
		c.byText[r.TextDigest] = append(c.byText[r.TextDigest], r)
		if r.IdempotencyKey != "" {
			c.byKey[r.IdempotencyKey] = append(c.byKey[r.IdempotencyKey], r)
		}
	}
	return c
}

// CheckResult is the result of one check.
type CheckResult struct {
	Checked    int      // number of checked samples, answers, calls or deliveries
	Duplicated int      // calls that ran, or samples that were delivered, more than once
	Lost       int      // samples or answers that never arrived or arrived incomplete
	Violations []string // one description per violation
}

func forEachSample(trainers []*TrainerRun, f func(t *TrainerRun, s trainer.Sample)) {
	for _, t := range trainers {
		for _, report := range t.Reports {
			for _, s := range report.Samples {
				f(t, s)
			}
		}
	}
}

// CheckLabels checks that the weight version labels of each sample match what an engine logged for the same text
// (promise P1).
func (c *LogIndex) CheckLabels(trainers []*TrainerRun) CheckResult {
	var v CheckResult
	forEachSample(trainers, func(t *TrainerRun, s trainer.Sample) {
		v.Checked++
		if !c.labelsMatchRun(s) {
			v.Violations = append(v.Violations, fmt.Sprintf("%s %v: labels %v", t.Row, s.ID, s.Labels))
		}
	})
	for _, t := range trainers {
		for _, r := range t.Reports {
			v.Violations = append(v.Violations, r.Problems...)
		}
	}
	return v
}

// CheckStaleness reports the samples that exceeded the staleness bound of their row at delivery (promise P2).
func CheckStaleness(trainers []*TrainerRun) CheckResult {
	var v CheckResult
	for _, t := range trainers {
		for _, r := range t.Reports {
			for _, id := range r.Stale {
				v.Violations = append(v.Violations, fmt.Sprintf("%s %v", t.Row, id))
			}
		}
	}
	return v
}

// CountVersionsBehind returns, at index n, the number of samples that were n versions behind the newest at delivery.
func CountVersionsBehind(trainers []*TrainerRun) []int {
	counts := []int{0}
	for _, t := range trainers {
		for _, r := range t.Reports {
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

// CheckExactlyOnce checks that each sample was delivered to its trainer exactly once (promise P3).
func CheckExactlyOnce(trainers []*TrainerRun) CheckResult {
	var v CheckResult
	for _, t := range trainers {
		received := 0
		for _, r := range t.Reports {
			received += len(r.Samples)
			for _, id := range r.Duplicated {
				v.Duplicated++
				v.Violations = append(v.Violations, fmt.Sprintf("%s %v was delivered again after its acknowledgement", t.Row, id))
			}
		}
		v.Checked += received
		if received != t.WantSamples {
			v.Lost += t.WantSamples - received
			v.Violations = append(v.Violations, fmt.Sprintf("%s: received %d of %d samples: %v", t.Row, received, t.WantSamples, t.Err))
		}
	}
	return v
}

// CheckCompleteAnswers checks each answered chat request against the text that its prompt and seed determine (promise
// P4).
func CheckCompleteAnswers(requests []*Request) CheckResult {
	var v CheckResult
	for _, r := range requests {
		if r.WantText == "" {
			continue
		}
		a := r.BestAttempt()
		if a.Err != nil {
			v.Violations = append(v.Violations, fmt.Sprintf("%s %s was never answered: %s", r.Kind, r.ID, r.DescribeAttempts()))
		}
		if !a.OK() {
			continue
		}
		v.Checked++
		if text, err := answerText(a); err != nil || text != r.WantText {
			v.Lost++
			v.Violations = append(v.Violations, fmt.Sprintf("%s %s through %s: got %d bytes, want %d; %v", r.Kind, r.ID, a.VM.Name, len(text), len(r.WantText), err))
		}
	}
	return v
}

// CheckNotRun checks each answer with the outcome "not run" against the logs (promise P5). For a booking, a run of an
// earlier attempt also violates it, because all attempts share a key. A chat request has no key.
func (c *LogIndex) CheckNotRun(requests []*Request) CheckResult {
	var v CheckResult
	for _, r := range requests {
		for _, a := range r.Attempts {
			if a.Outcome != api.OutcomeNotRun {
				continue
			}
			v.Checked++
			for _, run := range c.byDigest[r.Digest] {
				since := a.Sent
				if r.Kind == KindBooking {
					since = r.Attempts[0].Sent
				}
				if run.Start.After(since) && run.Start.Before(a.Ended) {
					v.Violations = append(v.Violations, fmt.Sprintf("%s %s was answered \"not run\" but ran on %s", r.Kind, r.ID, run.Server))
				}
			}
		}
	}
	return v
}

// BookingResult is the result of CheckAtMostOnce.
type BookingResult struct {
	CheckResult
	Resent  int // attempts beyond the first of each request
	Unknown int // requests whose outcome stayed unknown
}

// CheckAtMostOnce checks that no idempotency key ran twice and that all answers under a key are equal (promise P6).
func (c *LogIndex) CheckAtMostOnce(requests []*Request) BookingResult {
	var v BookingResult
	answers := map[string][]byte{}
	for _, r := range requests {
		if r.Kind != KindBooking {
			continue
		}
		v.Checked++
		v.Resent += len(r.Attempts) - 1
		if a := r.BestAttempt(); !a.OK() && a.Outcome == api.OutcomeUnknown {
			v.Unknown++
		}
		if runs := c.byKey[r.ID]; len(runs) > 1 || len(c.byDigest[r.Digest]) > 1 {
			v.Duplicated++
			v.Violations = append(v.Violations, fmt.Sprintf("booking %s ran %d times", r.ID, max(len(runs), len(c.byDigest[r.Digest]))))
		}
		v.Violations = append(v.Violations, c.checkBookingAnswers(r, answers)...)
	}
	return v
}

// checkBookingAnswers checks the answers of a booking. answers holds the last answer of each key over all
// requests, because a concurrent resend is a separate Request with the same key.
func (c *LogIndex) checkBookingAnswers(r *Request, answers map[string][]byte) []string {
	var bad []string
	for _, a := range r.Attempts {
		if !a.OK() {
			continue
		}
		var reply service.Reply
		if err := json.Unmarshal(a.Body, &reply); err != nil || reply.IdempotencyKey != r.ID || reply.Digest != r.Digest {
			bad = append(bad, fmt.Sprintf("booking %s got the answer %s: %v", r.ID, a.Body, err))
		}
		previous, answered := answers[r.ID]
		if answered && !bytes.Equal(previous, a.Body) {
			bad = append(bad, fmt.Sprintf("booking %s got two answers: %s and %s", r.ID, previous, a.Body))
		}
		answers[r.ID] = a.Body
		if len(c.byKey[r.ID]) == 0 {
			bad = append(bad, fmt.Sprintf("booking %s was answered but no service ran it", r.ID))
		}
	}
	return bad
}

// labelsMatchRun reports whether a completed run produced the text of s with its labels.
func (c *LogIndex) labelsMatchRun(s trainer.Sample) bool {
	runs := c.byText[standin.TextDigest(s.Text)]
	return slices.ContainsFunc(runs, func(r standin.RequestRecord) bool {
		return r.State == standin.RequestCompleted && c.runExplainsLabels(r, mergePieces(s.Labels))
	})
}

// runExplainsLabels reports whether a run produced these labels. The labels of a resumed run may also contain versions
// from earlier runs of the same prompt.
func (c *LogIndex) runExplainsLabels(r standin.RequestRecord, labels []api.PieceLabel) bool {
	tail := mergePieces(r.Pieces)
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

// mergePieces joins adjacent pieces that have the same version and the same cached flag.
func mergePieces(pieces []api.PieceLabel) []api.PieceLabel {
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

// DescribeAttempts returns the entry VM, duration, status and error of each attempt.
func (r *Request) DescribeAttempts() string {
	var b strings.Builder
	for _, a := range r.Attempts {
		fmt.Fprintf(&b, "[%s, %.3f s: %d %s %v]", a.VM.Name, a.Ended.Sub(a.Sent).Seconds(), a.Status, a.Code, a.Err)
	}
	return b.String()
}

// BestAttempt returns the first attempt that was answered, or the last attempt if none was.
func (r *Request) BestAttempt() *Attempt {
	for i := range r.Attempts {
		if r.Attempts[i].OK() {
			return &r.Attempts[i]
		}
	}
	return r.LastAttempt()
}

// Publication is a published weight version. At is the time at which the service answered the report of the version.
type Publication struct {
	Version api.WeightVersion
	At      time.Time
}

// versionPropagationTime is the time within which every entry VM that delivers samples learns a published version.
// It must renew its table lease of 3 s within that time; one more second covers the delay of the answer on a busy
// machine.
const versionPropagationTime = 4 * time.Second

// CheckStalenessByTime checks the staleness bound of each delivery against the publication times, independently of the
// newest version that the service reports (promise P2).
func CheckStalenessByTime(t *TrainerRun, bound api.WeightVersion, published []Publication) CheckResult {
	var v CheckResult
	for _, d := range t.Delivered {
		v.Checked++
		var newest api.WeightVersion
		for _, p := range published {
			if d.At.Sub(p.At) > versionPropagationTime {
				newest = max(newest, p.Version)
			}
		}
		if len(d.Versions) == 0 || slices.Min(d.Versions)+bound < newest {
			v.Violations = append(v.Violations, fmt.Sprintf("%s %v has weight versions %v, but version %d was already published", t.Row, d.ID, d.Versions, newest))
		}
	}
	return v
}
