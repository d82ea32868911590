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

type samplesResponse struct {
	Samples     []sampleJSON      `json:"samples"`
	Outstanding int               `json:"outstanding"` // samples neither acknowledged nor in this response
	Newest      api.WeightVersion `json:"newest_version"`
	State       string            `json:"state"` // open, or closed once the deadline has passed
}

// Interval between reads of the ledger while a trainer waits for samples. It doubles from the minimum.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = 250 * time.Millisecond
)

// getSamples answers with finished groups as soon as there are any, or without samples when the requested wait is
// over.
func (s *Service) getSamples(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	wait, limit, err := parseSampleQuery(ctx.QueryArgs())
	if err != nil {
		return nil, err
	}
	start := time.Now()
	resp, err := s.waitForSamples(start.Add(wait), id, limit)
	if s.opts.Metrics != nil {
		s.opts.Metrics.TrainerIdle(id.Row, time.Since(start))
	}
	return resp, err
}

func parseSampleQuery(query *fasthttp.Args) (time.Duration, int, error) {
	wait, err := parseIntParameter(query, "wait_ms", 0, int(maxSampleWait/time.Millisecond), 0)
	if err != nil {
		return 0, 0, err
	}
	limit, err := parseIntParameter(query, "max", 1, maxSampleLimit, defaultSampleLimit)
	return time.Duration(wait) * time.Millisecond, limit, err
}

func parseIntParameter(query *fasthttp.Args, name string, low, high, defaultValue int) (int, error) {
	if !query.Has(name) {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(string(query.Peek(name)))
	if err != nil || n < low || n > high {
		return 0, errs.New(errs.InvalidArgument, "use "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%s %.40q is out of range", name, query.Peek(name))
	}
	return n, nil
}

// waitForSamples collects samples until there are some, none are outstanding, or the time is end.
func (s *Service) waitForSamples(end time.Time, id control.StepID, limit int) (samplesResponse, error) {
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(requestTimeout))
	defer cancel()
	interval := minPollInterval
	for {
		woken := s.sampleFinished.waitChannel()
		resp, err := s.collectSamples(ctx, id, limit)
		left := time.Until(end)
		if err != nil || len(resp.Samples) > 0 || resp.Outstanding == 0 || left <= 0 {
			return resp, err
		}
		nextPoll := time.After(min(interval, left))
		interval = min(interval*2, maxPollInterval)
		select {
		case <-woken:
			<-time.After(min(minPollInterval, left)) // collects samples that finish at about the same time
		case <-nextPoll:
		}
	}
}

// collectSamples returns finished groups, at most about limit samples, whose versions the row allows now.
func (s *Service) collectSamples(ctx context.Context, id control.StepID, limit int) (samplesResponse, error) {
	if err := s.checkTableLease(); err != nil {
		return samplesResponse{}, err
	}
	view, err := s.opts.Client.Step(ctx, id)
	if err != nil {
		return samplesResponse{}, err
	}
	groups := s.dropStaleGroups(ctx, selectGroups(view.Finished, limit))
	bodies := s.fetchBodies(ctx, flattenGroups(groups))
	resp := samplesResponse{Samples: []sampleJSON{}, State: "open"}
	if !view.Open {
		resp.State = "closed"
	}
	size := 0
	for _, g := range groups {
		list, bytes := s.assembleGroup(ctx, g, bodies)
		if len(resp.Samples) > 0 && size+bytes > maxBodiesBytes {
			break
		}
		size += bytes
		resp.Samples = append(resp.Samples, list...)
	}
	return s.recheckResponse(ctx, resp, view)
}

// recheckResponse repeats the checks after the bodies were fetched, because new weights may have been published or the
// table lease may have expired in the meantime. It then fills in the rest of the response.
func (s *Service) recheckResponse(ctx context.Context, resp samplesResponse, view control.StepView) (samplesResponse, error) {
	resp.Samples = s.dropNewlyStaleGroups(ctx, resp.Samples, view.ID)
	if err := s.checkTableLease(); err != nil {
		return samplesResponse{}, err
	}
	row, _ := s.opts.Client.Table().Row(view.ID.Row)
	resp.Newest = s.opts.Client.Weights(row.Model).Newest
	resp.Outstanding = max(0, view.Groups*view.Size-view.Acked-len(resp.Samples))
	for _, sample := range resp.Samples {
		s.recordDelivery(row, view.ID, sample, resp.Newest)
	}
	return resp, nil
}

func (s *Service) checkTableLease() error {
	if s.opts.Client.TableLeaseValid() {
		return nil
	}
	return errs.New(errs.StaleTable, "send the request to another VM", "the table lease of this VM has expired, so its table may be outdated")
}

// recordDelivery records the event and the metrics of a delivered sample.
func (s *Service) recordDelivery(row table.Row, step control.StepID, sample sampleJSON, newest api.WeightVersion) {
	id := control.SampleID{Step: step, Group: sample.ID.Group, Member: sample.ID.Member}
	s.recordEvent(events.SampleDelivered, id, "attempt "+strconv.FormatUint(sample.Attempt, 10))
	s.countSample(row.Name, "delivered")
	if s.opts.Metrics != nil && newest >= sample.Versions[0] {
		s.opts.Metrics.SampleStaleness(row.Name, uint64(newest-sample.Versions[0]))
	}
}

// selectGroups splits samples into their groups and returns as many of the first groups as have at most limit samples
// in total, but at least one group.
func selectGroups(finished []control.SampleView, limit int) [][]control.SampleView {
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

func flattenGroups(groups [][]control.SampleView) []control.SampleView {
	var out []control.SampleView
	for _, g := range groups {
		out = append(out, g...)
	}
	return out
}

// dropStaleGroups resets the samples whose versions the row does not allow and returns the groups without such
// samples.
func (s *Service) dropStaleGroups(ctx context.Context, groups [][]control.SampleView) [][]control.SampleView {
	var out [][]control.SampleView
	var resets []func()
	for _, g := range groups {
		whole := true
		for _, v := range g {
			if reason := s.rejectionReason(v.ID.Step, v.Versions); reason != "" {
				resets = append(resets, func() { s.resetSample(ctx, v.ID, v.Attempt, events.SampleStale, reason) })
				whole = false
			}
		}
		if whole {
			out = append(out, g)
		}
	}
	runParallel(resets)
	return out
}

const maxConcurrentResets = 32

// runParallel runs resets in parallel, because all samples of a request can become stale at once when weights are
// published.
func runParallel(list []func()) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentResets)
	for _, f := range list {
		g.Go(func() error {
			f()
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}

// dropNewlyStaleGroups repeats the check of dropStaleGroups on samples that are ready to be delivered.
func (s *Service) dropNewlyStaleGroups(ctx context.Context, list []sampleJSON, step control.StepID) []sampleJSON {
	staleGroups := map[string]bool{}
	for _, sample := range list {
		if reason := s.rejectionReason(step, sample.Versions); reason != "" {
			id := control.SampleID{Step: step, Group: sample.ID.Group, Member: sample.ID.Member}
			s.resetSample(ctx, id, sample.Attempt, events.SampleStale, reason)
			staleGroups[sample.ID.Group] = true
		}
	}
	out := list[:0]
	for _, sample := range list {
		if !staleGroups[sample.ID.Group] {
			out = append(out, sample)
		}
	}
	return out
}

// assembleGroup returns the samples of a group with their bodies, and the total size of the bodies. It returns none if
// a body is missing, and resets samples whose body is lost.
func (s *Service) assembleGroup(ctx context.Context, group []control.SampleView, bodies map[control.SampleID]fetchResult) ([]sampleJSON, int) {
	var out []sampleJSON
	size, whole := 0, true
	for _, v := range group {
		fetched, ok := bodies[v.ID]
		var b sampleBody
		lost := ok && (fetched.lost || control.Decode(fetched.data, &b) != nil)
		if lost {
			s.resetSample(ctx, v.ID, v.Attempt, events.SampleReset, "the body is lost")
		}
		whole = whole && ok && !lost
		size += len(fetched.data)
		out = append(out, newSampleJSON(v, b))
	}
	if !whole {
		return nil, 0
	}
	return out, size
}

func newSampleJSON(v control.SampleView, b sampleBody) sampleJSON {
	return sampleJSON{
		ID:      sampleIDJSON{Step: v.ID.Step.Step, Group: v.ID.Group, Member: v.ID.Member},
		Attempt: v.Attempt, Text: b.Text, Tokens: b.Tokens, Labels: b.Labels, Versions: distinctVersions(b.Labels), Score: b.Score,
		Timing: timingJSON{QueuedMS: b.Queued.Milliseconds(), GeneratedMS: b.Generated.Milliseconds()},
	}
}

// resetSample makes a finished sample pending again under a new attempt. If the command fails, the next request for
// samples finds the sample unchanged and tries again.
func (s *Service) resetSample(ctx context.Context, id control.SampleID, attempt uint64, name events.Name, reason string) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := s.opts.Client.Do(ctx, control.Command{ResetSample: &control.ResetSample{ID: id, Attempt: attempt, Reason: reason}})
	if err != nil {
		s.opts.Events.Log().WithError(err).WithField("sample", sampleName(id)).Warn("failed to reset a sample; the next request for samples tries again")
		return
	}
	s.recordEvent(name, id, reason)
	if name == events.SampleStale {
		s.countSample(id.Step.Row, "stale")
	}
	s.countSample(id.Step.Row, "reset")
	s.runner.requestClaim()
}
