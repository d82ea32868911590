package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin/scoring"
)

// Options configures a trainer.
type Options struct {
	Entries func() []string // IP:port of the entry VMs that may be called now
	Row     string
	Model   string
	Token   string
	Seed    uint64
	// MaxStaleness is the row's bound in versions.
	MaxStaleness uint64
	// Scored tells that the samples carry the score of the scoring stand-in.
	Scored bool
	// LoseEveryNthAck makes the trainer drop the answer of each nth acknowledgement and resend it; zero never.
	LoseEveryNthAck int
	// BeforeAck runs after the samples were recorded and before they are acknowledged. An error ends the step
	// as the death of the trainer would.
	BeforeAck func() error
}

// Report tells what one step brought.
type Report struct {
	Samples    []Sample
	Duplicated []SampleID // delivered again after their acknowledgement was answered
	Stale      []SampleID // older than the bound when they were delivered
	Mislabeled []SampleID // with labels that do not add up
	Problems   []string
	Duration   time.Duration // from opening the step to its last sample
	FetchTime  time.Duration // in fetches, when the trainer had nothing to do
	Staleness  []uint64      // versions behind the newest, for each sample
}

// Trainer is a stand-in for one trainer. Its methods must not be called concurrently.
type Trainer struct {
	opts   Options
	caller *caller

	mu    sync.Mutex
	state checkpoint
	acks  int
}

// checkpoint is what a trainer keeps over a restart.
type checkpoint struct {
	Samples []Sample   `json:"samples"` // of the current step, received
	Acked   []SampleID `json:"acked"`   // over all steps
}

// New returns a trainer.
func New(opts Options) *Trainer {
	return &Trainer{
		opts: opts,
		caller: &caller{
			entries: opts.Entries, token: opts.Token,
			client: &http.Client{Timeout: callTimeout},
			rng:    rand.New(rand.NewPCG(opts.Seed, 3)),
		},
	}
}

// Restore returns a trainer that goes on from a checkpoint.
func Restore(opts Options, data []byte) (*Trainer, error) {
	t := New(opts)
	if err := json.Unmarshal(data, &t.state); err != nil {
		return nil, fmt.Errorf("decode the checkpoint: %w", err)
	}
	return t, nil
}

// Checkpoint returns the state of the trainer for Restore.
func (t *Trainer) Checkpoint() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, err := json.Marshal(t.state)
	if err != nil {
		return nil, fmt.Errorf("encode the checkpoint: %w", err)
	}
	return b, nil
}

// Resent returns the number of calls that were resent, and the last error behind a resend.
func (t *Trainer) Resent() (int, error) {
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	return t.caller.resent, t.caller.lastErr
}

// PublishWeights reports a new version of the model and returns the newest one.
func (t *Trainer) PublishWeights(ctx context.Context, v api.WeightVersion) (api.WeightVersion, error) {
	var answer struct {
		NewestVersion api.WeightVersion `json:"newest_version"`
	}
	body := weightsBody{Row: t.opts.Row, Model: t.opts.Model, Version: v}
	err := t.caller.call(ctx, http.MethodPost, "/trainer/v1/weights", body, &answer)
	return answer.NewestVersion, err
}

// RunStep opens a step, submits its groups, and fetches and acknowledges until all samples are there. Every call
// may be repeated, so a step that was broken off is run again with equal arguments.
func (t *Trainer) RunStep(ctx context.Context, step uint64, deadline time.Duration, groups []Group) (Report, error) {
	var report Report
	start := time.Now()
	size := groups[0].Size
	open := openBody{Row: t.opts.Row, Step: step, DeadlineMS: deadline.Milliseconds(), Groups: len(groups), GroupSize: size}
	if err := t.caller.call(ctx, http.MethodPost, "/trainer/v1/steps", open, nil); err != nil {
		return report, err
	}
	if err := t.caller.call(ctx, http.MethodPost, t.path(step, "groups"), groupsBody{groups}, nil); err != nil {
		return report, err
	}
	t.beginStep(step)
	want := len(groups) * size
	for t.ackedOf(step) < want {
		if err := t.fetch(ctx, step, groups, &report); err != nil {
			return report, err
		}
	}
	report.Duration = time.Since(start)
	t.mu.Lock()
	report.Samples = slices.Clone(t.state.Samples)
	t.mu.Unlock()
	return report, nil
}

func (t *Trainer) path(step uint64, rest string) string {
	return fmt.Sprintf("/trainer/v1/steps/%s/%d/%s", t.opts.Row, step, rest)
}

// beginStep drops the samples of earlier steps. Those of this step are kept: the step was broken off.
func (t *Trainer) beginStep(step uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Samples = slices.DeleteFunc(t.state.Samples, func(s Sample) bool { return s.ID.Step != step })
}

func (t *Trainer) ackedOf(step uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, id := range t.state.Acked {
		if id.Step == step {
			n++
		}
	}
	return n
}

func (t *Trainer) fetch(ctx context.Context, step uint64, groups []Group, report *Report) error {
	var answer fetchAnswer
	path := t.path(step, fmt.Sprintf("samples?wait_ms=%d&max=%d", fetchWait.Milliseconds(), fetchMax))
	start := time.Now()
	if err := t.caller.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	report.FetchTime += time.Since(start)
	fresh := t.record(step, answer, report)
	for _, s := range fresh {
		t.check(s, groups, answer.NewestVersion, report)
	}
	if len(fresh) == 0 {
		return ctx.Err()
	}
	if t.opts.BeforeAck != nil {
		if err := t.opts.BeforeAck(); err != nil {
			return err
		}
	}
	return t.acknowledge(ctx, step, fresh)
}

// record keeps the samples that are not acknowledged yet and returns them.
func (t *Trainer) record(step uint64, answer fetchAnswer, report *Report) []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Sample
	for _, s := range answer.Samples {
		switch {
		case s.ID.Step != step:
			report.Problems = append(report.Problems, fmt.Sprintf("a sample of step %d came in step %d", s.ID.Step, step))
			continue
		case slices.Contains(t.state.Acked, s.ID):
			report.Duplicated = append(report.Duplicated, s.ID)
			continue
		}
		same := func(o Sample) bool { return o.ID == s.ID }
		if slices.ContainsFunc(fresh, same) {
			report.Duplicated = append(report.Duplicated, s.ID)
			continue
		}
		t.state.Samples = append(slices.DeleteFunc(t.state.Samples, same), s)
		fresh = append(fresh, s)
	}
	return fresh
}

// check verifies what a sample says about itself.
func (t *Trainer) check(s Sample, groups []Group, newest api.WeightVersion, report *Report) {
	i := slices.IndexFunc(groups, func(g Group) bool { return g.ID == s.ID.Group })
	if i < 0 || s.ID.Member < 0 || s.ID.Member >= groups[i].Size {
		report.Problems = append(report.Problems, fmt.Sprintf("sample %v was not asked for", s.ID))
	}
	if problem := labelProblem(s); problem != "" {
		report.Mislabeled = append(report.Mislabeled, s.ID)
		report.Problems = append(report.Problems, fmt.Sprintf("sample %v: %s", s.ID, problem))
	}
	if t.opts.Scored && s.Score != scoring.Score(s.Text) {
		report.Problems = append(report.Problems, fmt.Sprintf("sample %v has score %v, want %v", s.ID, s.Score, scoring.Score(s.Text)))
	}
	if len(s.Versions) == 0 {
		return
	}
	behind := uint64(max(newest, s.Versions[0]) - s.Versions[0])
	report.Staleness = append(report.Staleness, behind)
	if behind > t.opts.MaxStaleness {
		report.Stale = append(report.Stale, s.ID)
	}
}

// labelProblem checks that the labels cover the text and that the versions are those of the labels.
func labelProblem(s Sample) string {
	tokens := 0
	var versions []api.WeightVersion
	for _, l := range s.Labels {
		tokens += l.Tokens
		versions = append(versions, l.Version)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	switch {
	case len(versions) == 0:
		return "it has no label"
	case tokens != s.Tokens || tokens != strings.Count(s.Text, " "):
		return fmt.Sprintf("its labels cover %d tokens, its text has %d and it says %d", tokens, strings.Count(s.Text, " "), s.Tokens)
	case !slices.Equal(versions, s.Versions):
		return fmt.Sprintf("its versions are %v, those of its labels %v", s.Versions, versions)
	}
	return ""
}

func (t *Trainer) acknowledge(ctx context.Context, step uint64, samples []Sample) error {
	body := ackBody{}
	for _, s := range samples {
		body.Samples = append(body.Samples, ackItem{s.ID.Group, s.ID.Member, s.Attempt})
	}
	t.acks++
	if t.opts.LoseEveryNthAck > 0 && t.acks%t.opts.LoseEveryNthAck == 0 {
		// The answer is lost, whatever it was; the resend below must have the same effect.
		_, _ = t.caller.once(ctx, http.MethodPost, t.path(step, "ack"), body, nil)
	}
	var answer struct {
		Acknowledged int `json:"acknowledged"`
	}
	if err := t.caller.call(ctx, http.MethodPost, t.path(step, "ack"), body, &answer); err != nil {
		return err
	}
	if answer.Acknowledged != len(samples) {
		return fmt.Errorf("step %d: %d of %d samples were acknowledged", step, answer.Acknowledged, len(samples))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range samples {
		t.state.Acked = append(t.state.Acked, s.ID)
	}
	return nil
}
