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
	Entries func() []string // returns the IP:port of the entry VMs that can be called now
	Row     string
	Model   string
	Token   string
	Seed    uint64
	// MaxStaleness is the staleness limit of the row, in weight versions behind the newest.
	MaxStaleness uint64
	// Scored tells that each sample must have the score that package scoring computes for its text.
	Scored bool
	// LoseEveryNthAck makes the trainer discard the response to every nth acknowledgement and resend it; zero disables
	// this.
	LoseEveryNthAck int
	// BeforeAck is called after samples were recorded and before they are acknowledged. An error ends the step as if
	// the trainer had crashed.
	BeforeAck func() error
}

// Report is the result of one step.
type Report struct {
	Samples    []Sample
	Duplicated []SampleID // delivered twice in one response, or again after a successful acknowledgement
	Stale      []SampleID // staler than MaxStaleness on delivery
	Mislabeled []SampleID // with labels that contradict the text or the versions
	Problems   []string
	Duration   time.Duration // from opening the step to its last sample
	FetchTime  time.Duration // spent in fetch calls, in which the trainer is idle
	Staleness  []uint64      // versions behind the newest on delivery, for each sample
}

// Trainer is one simulated trainer. Its methods must not be called concurrently.
type Trainer struct {
	opts   Options
	client *entryClient

	mu    sync.Mutex
	state checkpoint
	acks  int
}

// checkpoint is the state of a trainer that survives a restart.
type checkpoint struct {
	Samples []Sample   `json:"samples"` // received in the current step
	Acked   []SampleID `json:"acked"`   // in all steps
}

// New returns a trainer.
func New(opts Options) *Trainer {
	return &Trainer{
		opts: opts,
		client: &entryClient{
			entries: opts.Entries, token: opts.Token,
			client: &http.Client{Timeout: callTimeout},
			rng:    rand.New(rand.NewPCG(opts.Seed, 3)),
		},
	}
}

// Restore returns a trainer that continues from a checkpoint.
func Restore(opts Options, data []byte) (*Trainer, error) {
	t := New(opts)
	if err := json.Unmarshal(data, &t.state); err != nil {
		return nil, fmt.Errorf("decode the checkpoint: %w", err)
	}
	return t, nil
}

// Checkpoint returns the encoded state of the trainer, for Restore.
func (t *Trainer) Checkpoint() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, err := json.Marshal(t.state)
	if err != nil {
		return nil, fmt.Errorf("encode the checkpoint: %w", err)
	}
	return b, nil
}

// Resent returns the number of resent calls and the error that caused the last one.
func (t *Trainer) Resent() (int, error) {
	t.client.mu.Lock()
	defer t.client.mu.Unlock()
	return t.client.resent, t.client.lastErr
}

// PublishWeights reports a new weight version of the model and returns the newest known version.
func (t *Trainer) PublishWeights(ctx context.Context, v api.WeightVersion) (api.WeightVersion, error) {
	var answer struct {
		NewestVersion api.WeightVersion `json:"newest_version"`
	}
	body := weightsBody{Row: t.opts.Row, Model: t.opts.Model, Version: v}
	err := t.client.callWithRetry(ctx, http.MethodPost, "/trainer/v1/weights", body, &answer)
	return answer.NewestVersion, err
}

// RunStep opens a step, submits its groups, and fetches and acknowledges samples until all have arrived. All calls
// are idempotent: an interrupted step is continued by another RunStep with the same arguments.
func (t *Trainer) RunStep(ctx context.Context, step uint64, deadline time.Duration, groups []Group) (Report, error) {
	var report Report
	start := time.Now()
	size := groups[0].Size
	open := openBody{Row: t.opts.Row, Step: step, DeadlineMS: deadline.Milliseconds(), Groups: len(groups), GroupSize: size}
	if err := t.client.callWithRetry(ctx, http.MethodPost, "/trainer/v1/steps", open, nil); err != nil {
		return report, err
	}
	if err := t.client.callWithRetry(ctx, http.MethodPost, t.path(step, "groups"), groupsBody{groups}, nil); err != nil {
		return report, err
	}
	t.beginStep(step)
	want := len(groups) * size
	for t.ackedCount(step) < want {
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

// beginStep drops the samples of other steps. It keeps those of this step, which was interrupted if there are any.
func (t *Trainer) beginStep(step uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Samples = slices.DeleteFunc(t.state.Samples, func(s Sample) bool { return s.ID.Step != step })
}

func (t *Trainer) ackedCount(step uint64) int {
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
	var answer fetchResponse
	path := t.path(step, fmt.Sprintf("samples?wait_ms=%d&max=%d", fetchWait.Milliseconds(), fetchMaxSamples))
	start := time.Now()
	if err := t.client.callWithRetry(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	report.FetchTime += time.Since(start)
	fresh := t.recordSamples(step, answer, report)
	for _, s := range fresh {
		t.checkSample(s, groups, answer.NewestVersion, report)
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

// recordSamples stores the samples that are not yet acknowledged and returns them.
func (t *Trainer) recordSamples(step uint64, answer fetchResponse, report *Report) []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Sample
	for _, s := range answer.Samples {
		switch {
		case s.ID.Step != step:
			report.Problems = append(report.Problems, fmt.Sprintf("received a sample of step %d in step %d", s.ID.Step, step))
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

// checkSample checks the identity, labels, score and staleness of a sample and reports what is wrong.
func (t *Trainer) checkSample(s Sample, groups []Group, newest api.WeightVersion, report *Report) {
	i := slices.IndexFunc(groups, func(g Group) bool { return g.ID == s.ID.Group })
	if i < 0 || s.ID.Member < 0 || s.ID.Member >= groups[i].Size {
		report.Problems = append(report.Problems, fmt.Sprintf("sample %v was not requested", s.ID))
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

// labelProblem checks that the labels cover the whole text and name the same versions as the sample. It returns an
// empty string if they do.
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
		return "it has no labels"
	case tokens != s.Tokens || tokens != strings.Count(s.Text, " "):
		return fmt.Sprintf("token counts differ: labels %d, text %d, tokens field %d", tokens, strings.Count(s.Text, " "), s.Tokens)
	case !slices.Equal(versions, s.Versions):
		return fmt.Sprintf("versions differ: sample %v, labels %v", s.Versions, versions)
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
		// Discards the response, also an error; the call below repeats the acknowledgement and must succeed.
		_, _ = t.client.callOnce(ctx, http.MethodPost, t.path(step, "ack"), body, nil)
	}
	var answer struct {
		Acknowledged int `json:"acknowledged"`
	}
	if err := t.client.callWithRetry(ctx, http.MethodPost, t.path(step, "ack"), body, &answer); err != nil {
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
