package trainer

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

type sampleJSON struct {
	ID       sampleIDJSON        `json:"id"`
	Attempt  uint64              `json:"attempt"`
	Text     string              `json:"text"`
	Tokens   int                 `json:"tokens"`
	Labels   []api.PieceLabel    `json:"labels"`
	Versions []api.WeightVersion `json:"versions"`
	Score    *float64            `json:"score,omitempty"`
	Timing   timingJSON          `json:"timing"`
}

type sampleIDJSON struct {
	Step   uint64 `json:"step"`
	Group  string `json:"group"`
	Member int    `json:"member"`
}

type timingJSON struct {
	QueuedMS    int64 `json:"queued_ms"`
	GeneratedMS int64 `json:"generated_ms"`
}

type samplesAnswer struct {
	Samples     []sampleJSON      `json:"samples"`
	Outstanding int               `json:"outstanding"` // samples of the step that are not acknowledged and not in this answer
	Newest      api.WeightVersion `json:"newest_version"`
	State       string            `json:"state"` // open, or closed once the deadline has passed
}

// Pauses between looks at the ledger while a trainer waits.
const (
	firstLook = 50 * time.Millisecond
	lastLook  = 250 * time.Millisecond
)

// samples answers with whole groups, or with none once the wait is over.
func (s *Service) samples(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	wait, limit, err := fetchArguments(ctx.QueryArgs())
	if err != nil {
		return nil, err
	}
	start := time.Now()
	a, err := s.waitForSamples(start.Add(wait), id, limit)
	if s.o.Metrics != nil {
		s.o.Metrics.TrainerIdle(id.Row, time.Since(start))
	}
	return a, err
}

func fetchArguments(q *fasthttp.Args) (time.Duration, int, error) {
	wait, err := intArgument(q, "wait_ms", 0, int(maxWait/time.Millisecond), 0)
	if err != nil {
		return 0, 0, err
	}
	limit, err := intArgument(q, "max", 1, maxSamples, defaultMax)
	return time.Duration(wait) * time.Millisecond, limit, err
}

func intArgument(q *fasthttp.Args, name string, low, high, missing int) (int, error) {
	if !q.Has(name) {
		return missing, nil
	}
	n, err := strconv.Atoi(string(q.Peek(name)))
	if err != nil || n < low || n > high {
		return 0, errs.New(errs.InvalidArgument, "use "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%s %.40q is out of range", name, q.Peek(name))
	}
	return n, nil
}

func (s *Service) waitForSamples(end time.Time, id control.StepID, limit int) (samplesAnswer, error) {
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(requestLimit))
	defer cancel()
	pause := firstLook
	for {
		woken := s.finished.wait()
		a, err := s.handOver(ctx, id, limit)
		left := time.Until(end)
		if err != nil || len(a.Samples) > 0 || a.Outstanding == 0 || left <= 0 {
			return a, err
		}
		look := time.After(min(pause, left))
		pause = min(pause*2, lastLook)
		select {
		case <-woken:
			<-time.After(min(firstLook, left)) // gathers the members that finish together
		case <-look:
		}
	}
}

// handOver collects whole groups that the row's bounds admit now.
func (s *Service) handOver(ctx context.Context, id control.StepID, limit int) (samplesAnswer, error) {
	if err := s.checkFresh(); err != nil {
		return samplesAnswer{}, err
	}
	v, err := s.o.Client.Step(ctx, id)
	if err != nil {
		return samplesAnswer{}, err
	}
	groups := s.admitted(ctx, pickGroups(v.Finished, limit))
	found := s.fetch(ctx, flatten(groups))
	a := samplesAnswer{Samples: []sampleJSON{}, State: "open"}
	if !v.Open {
		a.State = "closed"
	}
	size := 0
	for _, g := range groups {
		list, bytes := s.assemble(ctx, g, found)
		if len(a.Samples) > 0 && size+bytes > maxBodiesBytes {
			break
		}
		size += bytes
		a.Samples = append(a.Samples, list...)
	}
	return s.recheck(ctx, a, v)
}

// recheck checks everything again after the bodies were fetched: weights may have been published and the lease
// may have ended meanwhile.
func (s *Service) recheck(ctx context.Context, a samplesAnswer, v control.StepView) (samplesAnswer, error) {
	a.Samples = s.stillAdmitted(ctx, a.Samples, v.ID)
	if err := s.checkFresh(); err != nil {
		return samplesAnswer{}, err
	}
	row, _ := s.o.Client.Table().Row(v.ID.Row)
	a.Newest = s.o.Client.Weights(row.Model).Newest
	a.Outstanding = max(0, v.Groups*v.Size-v.Acked-len(a.Samples))
	for _, sample := range a.Samples {
		s.delivered(row, v.ID, sample, a.Newest)
	}
	return a, nil
}

func (s *Service) checkFresh() error {
	if s.o.Client.TableLeaseValid() {
		return nil
	}
	return errs.New(errs.StaleTable, "send the request to another VM", "the table of this VM may be old")
}

func (s *Service) delivered(row table.Row, step control.StepID, sample sampleJSON, newest api.WeightVersion) {
	id := control.SampleID{Step: step, Group: sample.ID.Group, Member: sample.ID.Member}
	s.record(events.SampleDelivered, id, "attempt "+strconv.FormatUint(sample.Attempt, 10))
	s.count(row.Name, "delivered")
	if s.o.Metrics != nil && newest >= sample.Versions[0] {
		s.o.Metrics.SampleStaleness(row.Name, uint64(newest-sample.Versions[0]))
	}
}

// pickGroups returns the first groups with about limit samples in all; at least one group.
func pickGroups(finished []control.SampleView, limit int) [][]control.SampleView {
	var out [][]control.SampleView
	taken := 0
	for len(finished) > 0 {
		n := 1
		for n < len(finished) && finished[n].ID.Group == finished[0].ID.Group {
			n++
		}
		if len(out) > 0 && taken+n > limit {
			break
		}
		out = append(out, finished[:n])
		taken += n
		finished = finished[n:]
	}
	return out
}

func flatten(groups [][]control.SampleView) []control.SampleView {
	var out []control.SampleView
	for _, g := range groups {
		out = append(out, g...)
	}
	return out
}

// admitted resets the stale samples and returns the groups without any.
func (s *Service) admitted(ctx context.Context, groups [][]control.SampleView) [][]control.SampleView {
	var out [][]control.SampleView
	var resets []func()
	for _, g := range groups {
		whole := true
		for _, v := range g {
			if reason := s.refusal(v.ID.Step, v.Versions); reason != "" {
				resets = append(resets, func() { s.reset(ctx, v.ID, v.Attempt, events.SampleStale, reason) })
				whole = false
			}
		}
		if whole {
			out = append(out, g)
		}
	}
	inParallel(resets)
	return out
}

const resetsAtOnce = 32

// inParallel runs resets: after new weights, all samples of a fetch can be stale at once.
func inParallel(list []func()) {
	var g errgroup.Group
	g.SetLimit(resetsAtOnce)
	for _, f := range list {
		g.Go(func() error {
			f()
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}

// stillAdmitted repeats the check of admitted on samples that are ready to go out.
func (s *Service) stillAdmitted(ctx context.Context, list []sampleJSON, step control.StepID) []sampleJSON {
	broken := map[string]bool{}
	for _, sample := range list {
		if reason := s.refusal(step, sample.Versions); reason != "" {
			id := control.SampleID{Step: step, Group: sample.ID.Group, Member: sample.ID.Member}
			s.reset(ctx, id, sample.Attempt, events.SampleStale, reason)
			broken[sample.ID.Group] = true
		}
	}
	out := list[:0]
	for _, sample := range list {
		if !broken[sample.ID.Group] {
			out = append(out, sample)
		}
	}
	return out
}

// assemble returns the samples of a group with their bodies, or none if one is missing. Samples whose body is
// lost are reset.
func (s *Service) assemble(ctx context.Context, group []control.SampleView, found map[control.SampleID]fetched) ([]sampleJSON, int) {
	var out []sampleJSON
	size, whole := 0, true
	for _, v := range group {
		f, ok := found[v.ID]
		var b body
		lost := ok && (f.lost || control.Decode(f.data, &b) != nil)
		if lost {
			s.reset(ctx, v.ID, v.Attempt, events.SampleReset, "the body is lost")
		}
		whole = whole && ok && !lost
		size += len(f.data)
		out = append(out, sampleOf(v, b))
	}
	if !whole {
		return nil, 0
	}
	return out, size
}

func sampleOf(v control.SampleView, b body) sampleJSON {
	return sampleJSON{
		ID:      sampleIDJSON{Step: v.ID.Step.Step, Group: v.ID.Group, Member: v.ID.Member},
		Attempt: v.Attempt, Text: b.Text, Tokens: b.Tokens, Labels: b.Labels, Versions: versionsOf(b.Labels), Score: b.Score,
		Timing: timingJSON{QueuedMS: b.Queued.Milliseconds(), GeneratedMS: b.Generated.Milliseconds()},
	}
}

// reset makes a sample pending again. If the command fails, the next fetch finds the sample in the same state.
func (s *Service) reset(ctx context.Context, id control.SampleID, attempt uint64, name events.Name, reason string) {
	ctx, cancel := context.WithTimeout(ctx, doTimeout)
	defer cancel()
	_, err := s.o.Client.Do(ctx, control.Command{ResetSample: &control.ResetSample{ID: id, Attempt: attempt, Reason: reason}})
	if err != nil {
		s.o.Events.Log().WithError(err).WithField("sample", sampleName(id)).Warn("a sample could not be reset")
		return
	}
	s.record(name, id, reason)
	if name == events.SampleStale {
		s.count(id.Step.Row, "stale")
	}
	s.count(id.Step.Row, "reset")
	s.run.claimSoon()
}
