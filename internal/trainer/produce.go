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

// doTimeout bounds one attempt to reach the control leader.
const doTimeout = 3 * time.Second

// errStepGone means that the sample's step has left the ledger.
var errStepGone = errors.New("the step has left the ledger")

// produce is one run of a job: generate, check, score, record in the ledger.
func (r *runner) produce(q *rowQueue, j *job, rollout dispatch.Rollout) {
	g, err := r.s.o.Generator.Generate(j.ctx, rollout)
	r.releaseSlot(q, j)
	if err == nil {
		r.lengths.observe(q.row, j.prompt, g.Tokens)
		err = r.conclude(j, g)
	}
	r.finishRun(q, j, err)
	r.schedule()
}

func (r *runner) releaseSlot(q *rowQueue, j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.generating--
	q.inFlight--
	r.inFlight--
}

// conclude checks, scores and records a generated answer. A nil error means that the job has ended.
func (r *runner) conclude(j *job, g dispatch.RolloutResult) error {
	versions := versionsOf(g.Labels)
	if reason := r.s.refusal(j.id.Step, versions); reason != "" {
		r.s.record(events.SampleStale, j.id, reason)
		r.s.count(j.id.Step.Row, "stale")
		return errs.New(errs.BackendFailed, "the member is produced anew", "%s", reason)
	}
	if !utf8.ValidString(g.Text) {
		return errs.New(errs.BackendFailed, "the member is produced anew", "the answer is not valid UTF-8")
	}
	b := body{Text: g.Text, Tokens: g.Tokens, Labels: mergeLabels(g.Labels), Queued: g.QueuedFor, Generated: g.RanFor}
	if err := r.score(j, &b); err != nil {
		return err
	}
	data, err := control.Encode(b)
	if err != nil {
		return err
	}
	key := bodyKey{ID: j.id, Attempt: j.attempt, Digest: xxhash.Sum64(data)}
	r.s.bodies.put(key, data) // before the ledger names this VM as the holder
	accepted, err := r.recordSample(j, control.FinishSample{
		ID: j.id, Attempt: j.attempt, VM: r.s.o.VM.ID, Incarnation: r.s.o.VM.Incarnation, Digest: key.Digest, Versions: versions,
	})
	if err != nil {
		return err // the body stays: the command may be applied
	}
	r.settle(j, key, accepted, g.RanFor)
	return nil
}

// refusal checks versions against the newest table and weights known here.
func (s *Service) refusal(step control.StepID, versions []api.WeightVersion) string {
	row, ok := s.o.Client.Table().Row(step.Row)
	if !ok {
		return "the row does not exist"
	}
	return refuse(row, s.o.Client.Weights(row.Model), versions, s.o.Now())
}

// score asks the scoring service until it answers. The sample is not finished before it has its score.
func (r *runner) score(j *job, b *body) error {
	for failures := 1; ; failures++ {
		row, ok := r.s.o.Client.Table().Row(j.id.Step.Row)
		if !ok || row.Scoring == "" {
			return j.ctx.Err()
		}
		score, err := r.s.o.Scorer.Score(j.ctx, row.Scoring, scoringRequest(row, j, b))
		if err == nil {
			b.Score = &score
			return nil
		}
		r.s.o.Events.Log().WithError(err).WithField("row", row.Name).Warn("a sample could not be scored")
		if !sleep(j.ctx, backoff(failures)) {
			return j.ctx.Err()
		}
	}
}

func scoringRequest(row table.Row, j *job, b *body) scoring.Request {
	return scoring.Request{
		Row: row.Name, Step: j.id.Step.Step, Group: j.id.Group, Member: j.id.Member,
		Prompt: promptText(j.prompt), Completion: b.Text,
	}
}

// promptText returns the contents of the messages of a chat request, one a line; the request itself if a
// content is not plain text.
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

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordSample resends FinishSample until its outcome is known. The command is idempotent.
func (r *runner) recordSample(j *job, f control.FinishSample) (bool, error) {
	for failures := 1; ; failures++ {
		ctx, cancel := context.WithTimeout(r.ctx, doTimeout)
		res, err := r.s.o.Client.Do(ctx, control.Command{FinishSample: &f})
		cancel()
		switch {
		case err == nil:
			return res.Accepted, nil
		case errs.Is(err, errs.NotFound):
			return false, errStepGone
		case errs.Is(err, errs.InvalidArgument):
			return false, err
		}
		if !sleep(r.ctx, backoff(failures)) {
			return false, r.ctx.Err()
		}
	}
}

func (r *runner) settle(j *job, key bodyKey, accepted bool, ran time.Duration) {
	r.mu.Lock()
	if st, ok := r.steps[j.id.Step]; ok {
		st.settle(j, accepted, ran)
	}
	r.end(j)
	r.mu.Unlock()
	if !accepted {
		r.s.bodies.drop(key)
		r.s.record(events.SampleDuplicate, j.id, "")
		r.s.count(j.id.Step.Row, "duplicate")
		return
	}
	r.s.record(events.SampleFinished, j.id, "")
	r.s.count(j.id.Step.Row, "finished")
	r.s.finished.wake()
}

func (st *stepWork) settle(j *job, accepted bool, ran time.Duration) {
	st.settled[j.id] = max(st.settled[j.id], j.attempt)
	if accepted {
		st.finished++
		st.spent += ran
	}
}

// finishRun ends a run. A job whose last run failed waits for its next turn.
func (r *runner) finishRun(q *rowQueue, j *job, err error) {
	if errors.Is(err, errStepGone) {
		r.dropStep(j.id.Step)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j.runs--
	if j.runs > 0 || j.done {
		return
	}
	now := r.s.o.Now()
	if r.ctx.Err() != nil || j.ended(now) {
		r.end(j)
		return
	}
	j.failures++
	j.duplicated = false
	j.notBefore = now.Add(backoff(j.failures))
	j.cancel()
	j.ctx, j.cancel = nil, nil
	r.s.o.Events.Log().WithError(err).WithField("sample", sampleName(j.id)).Warn("a sample is produced again")
	q.push(j)
}
