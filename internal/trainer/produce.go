package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/scoring"
	"filbertledge/internal/table"
)

// commandTimeout bounds one attempt to apply a command through the control leader.
const commandTimeout = 3 * time.Second

// errStepRemoved means that the ledger no longer has the sample's step.
var errStepRemoved = errors.New("the step was removed from the sample ledger")

// executeRun is one run of a job: it generates the sample, checks and scores it, and records it in the ledger.
func (r *runner) executeRun(q *rowQueue, j *job, rollout dispatch.Rollout) {
	result, err := r.service.opts.Generator.Generate(j.ctx, rollout)
	r.releaseSlot(q, j)
	if err == nil {
		r.predictor.observe(q.row, j.prompt, result.Tokens)
		err = r.finishSample(j, result)
	}
	r.finishRun(q, j, err)
	r.schedule()
}

// releaseSlot frees the run's place in the in-flight limits, which count only runs on an engine.
func (r *runner) releaseSlot(q *rowQueue, j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.generatingRuns--
	q.inFlight--
	r.inFlight--
}

// finishSample checks, scores and records a generated answer. After a nil error, the job has ended.
func (r *runner) finishSample(j *job, result dispatch.RolloutResult) error {
	versions := distinctVersions(result.Labels)
	if reason := r.service.rejectionReason(j.id.Step, versions); reason != "" {
		r.service.recordEvent(events.SampleStale, j.id, reason)
		r.service.countSample(j.id.Step.Row, "stale")
		return errs.New(errs.BackendFailed, "the member is generated again", "%s", reason)
	}
	if !utf8.ValidString(result.Text) {
		return errs.New(errs.BackendFailed, "the member is generated again", "the answer is not valid UTF-8")
	}
	b := sampleBody{Text: result.Text, Tokens: result.Tokens, Labels: mergeLabels(result.Labels), Queued: result.QueuedFor, Generated: result.RanFor}
	if err := r.score(j, &b); err != nil {
		return err
	}
	data, err := control.Encode(b)
	if err != nil {
		return err
	}
	key := bodyKey{ID: j.id, Attempt: j.attempt, Digest: xxhash.Sum64(data)}
	r.service.bodies.put(key, data) // before the ledger names this VM as the holder, which others then ask for the body
	accepted, err := r.recordSample(j, control.FinishSample{
		ID: j.id, Attempt: j.attempt, VM: r.service.opts.VM.ID, Incarnation: r.service.opts.VM.Incarnation, Digest: key.Digest, Versions: versions,
	})
	if err != nil {
		return err // keep the body, because the command may still be applied
	}
	r.endAttempt(j, key, accepted, result.RanFor)
	return nil
}

// rejectionReason returns why the row does not allow a sample with these versions, or an empty string. It uses the
// newest table and weights that this VM knows.
func (s *Service) rejectionReason(step control.StepID, versions []api.WeightVersion) string {
	row, ok := s.opts.Client.Table().Row(step.Row)
	if !ok {
		return "the row does not exist"
	}
	return rejectionReason(row, s.opts.Client.Weights(row.Model), versions, s.opts.Now())
}

// score asks the scoring service for the sample's score until it gets one or the job ends. A sample whose row has a
// scoring service is not recorded as finished without a score.
func (r *runner) score(j *job, b *sampleBody) error {
	for failures := 1; ; failures++ {
		row, ok := r.service.opts.Client.Table().Row(j.id.Step.Row)
		if !ok || row.Scoring == "" {
			return j.ctx.Err()
		}
		score, err := r.service.opts.Scorer.Score(j.ctx, row.Scoring, scoringRequest(row, j, b))
		if err == nil {
			b.Score = &score
			return nil
		}
		r.service.opts.Events.Log().WithError(err).WithField("row", row.Name).Warn("failed to score a sample; retrying")
		if !sleepContext(j.ctx, backoff(failures)) {
			return j.ctx.Err()
		}
	}
}

func scoringRequest(row table.Row, j *job, b *sampleBody) scoring.Request {
	return scoring.Request{
		Row: row.Name, Step: j.id.Step.Step, Group: j.id.Group, Member: j.id.Member,
		Prompt: promptText(j.prompt), Completion: b.Text,
	}
}

// promptText returns the contents of the messages of a chat request, joined by newlines. If a content is not a
// string, it returns the request itself.
func promptText(prompt []byte) string {
	var request struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(prompt, &request); err != nil || len(request.Messages) == 0 {
		return string(prompt)
	}
	var lines []string
	for _, m := range request.Messages {
		lines = append(lines, m.Content)
	}
	return strings.Join(lines, "\n")
}

// sleepContext waits for d and reports true, or reports false as soon as ctx ends.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordSample sends FinishSample, which is idempotent, until its outcome is known. It reports whether this run's
// result is the one that counts.
func (r *runner) recordSample(j *job, finish control.FinishSample) (bool, error) {
	for failures := 1; ; failures++ {
		ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
		res, err := r.service.opts.Client.Do(ctx, control.Command{FinishSample: &finish})
		cancel()
		switch {
		case err == nil:
			return res.Accepted, nil
		case errs.Is(err, errs.NotFound):
			return false, errStepRemoved
		case errs.Is(err, errs.InvalidArgument):
			return false, err
		}
		if !sleepContext(r.ctx, backoff(failures)) {
			return false, r.ctx.Err()
		}
	}
}

// endAttempt ends a job whose outcome is in the ledger. If another run's result was accepted, the body is dropped.
func (r *runner) endAttempt(j *job, key bodyKey, accepted bool, runTime time.Duration) {
	r.mu.Lock()
	if progress, ok := r.steps[j.id.Step]; ok {
		progress.recordEnd(j, accepted, runTime)
	}
	r.endJob(j)
	r.mu.Unlock()
	if !accepted {
		r.service.bodies.drop(key)
		r.service.recordEvent(events.SampleDuplicate, j.id, "")
		r.service.countSample(j.id.Step.Row, "duplicate")
		return
	}
	r.service.recordEvent(events.SampleFinished, j.id, "")
	r.service.countSample(j.id.Step.Row, "finished")
	r.service.sampleFinished.wakeAll()
}

// recordEnd records that the outcome of a job is in the ledger.
func (p *stepProgress) recordEnd(j *job, accepted bool, runTime time.Duration) {
	p.endedAttempts[j.id] = max(p.endedAttempts[j.id], j.attempt)
	if accepted {
		p.finished++
		p.generationTime += runTime
	}
}

// finishRun ends a run. If it was the last active run of a job that is not done, the job is queued again after a
// backoff, or ended if its deadline has passed or this VM stops.
func (r *runner) finishRun(q *rowQueue, j *job, err error) {
	if errors.Is(err, errStepRemoved) {
		r.dropStep(j.id.Step)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j.activeRuns--
	if j.activeRuns > 0 || j.done {
		return
	}
	now := r.service.opts.Now()
	if r.ctx.Err() != nil || j.hasEnded(now) {
		r.endJob(j)
		return
	}
	j.failures++
	j.duplicated = false
	j.notBefore = now.Add(backoff(j.failures))
	j.cancel()
	j.ctx, j.cancel = nil, nil
	r.service.opts.Events.Log().WithError(err).WithField("sample", sampleName(j.id)).Warn("failed to generate a sample; it will be generated again")
	q.addDelayed(j)
}
