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

// LogIndex finds what the stand-ins saw by content, key and text.
type LogIndex struct {
	byDigest map[string][]standin.RequestRecord
	byKey    map[string][]standin.RequestRecord
	byText   map[string][]standin.RequestRecord
}

// NewLogIndex returns the index of what the stand-ins saw.
func NewLogIndex(seen standin.LogContent) *LogIndex {
	c := &LogIndex{
		byDigest: map[string][]standin.RequestRecord{},
		byKey:    map[string][]standin.RequestRecord{},
		byText:   map[string][]standin.RequestRecord{},
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

// CheckResult is the outcome of one check.
type CheckResult struct {
	Checked    int      // of what was checked
	Duplicated int      // runs, samples or answers that came more than once
	Lost       int      // samples or answers that never came whole
	Violations []string // violations
}

func eachSample(trainers []*TrainerRun, f func(t *TrainerRun, s trainer.Sample)) {
	for _, t := range trainers {
		for _, report := range t.Reports {
			for _, s := range report.Samples {
				f(t, s)
			}
		}
	}
}

// CheckLabels checks that each sample's label is what an engine reported for exactly this text (P1).
func (c *LogIndex) CheckLabels(trainers []*TrainerRun) CheckResult {
	var v CheckResult
	eachSample(trainers, func(t *TrainerRun, s trainer.Sample) {
		v.Checked++
		if !c.labelIsTrue(s) {
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

// CheckStaleness checks the bound of the row at the hand-over of each sample (P2).
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

// CountVersionsBehind counts the samples by versions behind the newest at their delivery, from zero.
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

// CheckExactlyOnce checks that each sample reached its trainer once (P3).
func CheckExactlyOnce(trainers []*TrainerRun) CheckResult {
	var v CheckResult
	for _, t := range trainers {
		got := 0
		for _, r := range t.Reports {
			got += len(r.Samples)
			for _, id := range r.Duplicated {
				v.Duplicated++
				v.Violations = append(v.Violations, fmt.Sprintf("%s %v was delivered again after its acknowledgement", t.Row, id))
			}
		}
		v.Checked += got
		if got != t.WantSamples {
			v.Lost += t.WantSamples - got
			v.Violations = append(v.Violations, fmt.Sprintf("%s: %d of %d samples: %v", t.Row, got, t.WantSamples, t.Err))
		}
	}
	return v
}

// CheckCompleteAnswers checks each answered chat request against the text that its prompt and seed determine (P4).
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
			v.Violations = append(v.Violations, fmt.Sprintf("%s %s through %s: %d bytes, want %d; %v", r.Kind, r.ID, a.VM.Name, len(text), len(r.WantText), err))
		}
	}
	return v
}

// CheckNotRun checks each answer that says "not run" against the logs (P5). Earlier attempts of a booking count,
// because they have the same key; a chat request has no key.
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
					v.Violations = append(v.Violations, fmt.Sprintf("%s %s was run on %s", r.Kind, r.ID, run.Server))
				}
			}
		}
	}
	return v
}

// BookingResult is the outcome of AtMostOnce.
type BookingResult struct {
	CheckResult
	Resent  int
	Unknown int
}

// CheckAtMostOnce checks that no key ran twice and that all answers under a key are the same (P6).
func (c *LogIndex) CheckAtMostOnce(requests []*Request) BookingResult {
	var v BookingResult
	first := map[string][]byte{}
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
		v.Violations = append(v.Violations, c.bookingAnswers(r, first)...)
	}
	return v
}

// bookingAnswers checks the answers of a booking. The map holds the first answer of each key, because a resend
// beside the first request is a request of its own.
func (c *LogIndex) bookingAnswers(r *Request, answers map[string][]byte) []string {
	var bad []string
	for _, a := range r.Attempts {
		if !a.OK() {
			continue
		}
		var reply service.Reply
		if err := json.Unmarshal(a.Body, &reply); err != nil || reply.IdempotencyKey != r.ID || reply.Digest != r.Digest {
			bad = append(bad, fmt.Sprintf("booking %s got the answer %s: %v", r.ID, a.Body, err))
		}
		first, answered := answers[r.ID]
		if answered && !bytes.Equal(first, a.Body) {
			bad = append(bad, fmt.Sprintf("booking %s got two answers: %s and %s", r.ID, first, a.Body))
		}
		answers[r.ID] = a.Body
		if len(c.byKey[r.ID]) == 0 {
			bad = append(bad, fmt.Sprintf("booking %s was answered but no service ran it", r.ID))
		}
	}
	return bad
}

func (c *LogIndex) labelIsTrue(s trainer.Sample) bool {
	runs := c.byText[standin.TextDigest(s.Text)]
	return slices.ContainsFunc(runs, func(r standin.RequestRecord) bool {
		return r.State == standin.RunCompleted && c.coversLabels(r, merge(s.Labels))
	})
}

// coversLabels reports whether a run, and for a resumed run the earlier runs of its prompt, gave these labels.
func (c *LogIndex) coversLabels(r standin.RequestRecord, labels []api.PieceLabel) bool {
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

// DescribeAttempts lists the attempts of a request.
func (r *Request) DescribeAttempts() string {
	var b strings.Builder
	for _, a := range r.Attempts {
		fmt.Fprintf(&b, "[%s, %.3f s: %d %s %v]", a.VM.Name, a.Ended.Sub(a.Sent).Seconds(), a.Status, a.Code, a.Err)
	}
	return b.String()
}

// BestAttempt returns the attempt that was answered, or the last one.
func (r *Request) BestAttempt() *Attempt {
	for i := range r.Attempts {
		if r.Attempts[i].OK() {
			return &r.Attempts[i]
		}
	}
	return r.LastAttempt()
}

// Publication is one new weight version. At is the time at which the report to the service was answered.
type Publication struct {
	Version api.WeightVersion
	At      time.Time
}

// handOverLag is the time after which each entry VM that hands samples over knows a published version: its table
// lease of 3 s has been renewed since. One more second covers the way of the answer on a busy machine.
const handOverLag = 4 * time.Second

// CheckStalenessByTime checks each delivery against the publications, without trusting the newest version that the service
// names (P2).
func CheckStalenessByTime(t *TrainerRun, bound api.WeightVersion, published []Publication) CheckResult {
	var v CheckResult
	for _, d := range t.Delivered {
		v.Checked++
		var newest api.WeightVersion
		for _, p := range published {
			if d.At.Sub(p.At) > handOverLag {
				newest = max(newest, p.Version)
			}
		}
		if len(d.Versions) == 0 || slices.Min(d.Versions)+bound < newest {
			v.Violations = append(v.Violations, fmt.Sprintf("%s %v came from weights %v when %d was published", t.Row, d.ID, d.Versions, newest))
		}
	}
	return v
}
