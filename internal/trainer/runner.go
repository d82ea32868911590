package trainer

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

// Limits of what one VM generates at the same time.
const (
	defaultRowInFlight = 256  // for a row without max_in_flight
	maxVMInFlight      = 1024 // runs on engines, over all rows
	stragglerDivisor   = 10   // stragglers get a second run once at most 1/10 of their step's members is unfinished
	maxGroupsPerClaim  = 16   // small, so that the groups of a lost VM spread over the other VMs
)

// job is one attempt to generate a member on this VM. A job can have several runs: retries after failures, and a
// second run next to a straggler.
type job struct {
	id              control.SampleID
	attempt         uint64
	prompt          []byte
	predictedTokens int
	deadline        time.Time
	notBefore       time.Time // earliest start of the next run
	failures        int       // how often all runs that were active at a time have failed

	// The fields below are guarded by runner.mu.
	ctx            context.Context
	cancel         context.CancelFunc
	activeRuns     int // goroutines in executeRun
	generatingRuns int // those of activeRuns that are on an engine
	startedAt      time.Time
	duplicated     bool
	done           bool
}

// stepProgress counts the members of a step that this VM owns or owned.
type stepProgress struct {
	groups         map[string]bool
	total          int
	finished       int
	generationTime time.Duration // sum over the finished members
	// endedAttempts holds the newest attempt of each member whose outcome is in the ledger. It keeps a list of pending
	// members that was read before that outcome from starting the attempt again.
	endedAttempts map[control.SampleID]uint64
}

// runner queues the members that this VM owns and decides when they run. mu guards its state, except for the fields
// of claims, and is never held during a call to another VM or an engine.
type runner struct {
	service   *Service
	predictor *predictor

	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	runs     sync.WaitGroup
	queues   map[api.RowName]*rowQueue
	rowOrder []*rowQueue // queues in the order of the deficit round robin
	nextRow  int         // index into rowOrder of the row whose turn it is
	jobs     map[control.SampleID]*job
	steps    map[control.StepID]*stepProgress
	inFlight int
	draining bool

	claimMu         sync.Mutex
	claimSince      uint64    // Result.Revision of the last claim, which the next claim sends as Since
	claimedRevision uint64    // value of claimRevision that the last successful claim covers
	claimPending    bool      // claim even if claimRevision has not changed
	lastClaimAt     time.Time // start of the last claim, successful or not
}

func newRunner(s *Service) *runner {
	return &runner{
		service: s, predictor: newPredictor(), queues: map[api.RowName]*rowQueue{},
		jobs: map[control.SampleID]*job{}, steps: map[control.StepID]*stepProgress{}, claimPending: true,
	}
}

func (r *runner) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx, r.cancel = context.WithCancel(ctx)
}

func (r *runner) stop() {
	r.drain()
	r.runs.Wait()
}

// drain cancels all runs and starts no more.
func (r *runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.cancel != nil {
		r.cancel()
	}
}

// addGroups queues the pending members of groups that this VM owns. It does not restart members that are already
// queued or running under the same attempt.
func (r *runner) addGroups(groups []control.Group) {
	r.mu.Lock()
	for _, g := range groups {
		r.addGroup(g)
	}
	r.mu.Unlock()
	r.schedule()
}

func (r *runner) addGroup(g control.Group) {
	progress, ok := r.steps[g.Step]
	if !ok {
		progress = &stepProgress{groups: map[string]bool{}, endedAttempts: map[control.SampleID]uint64{}}
		r.steps[g.Step] = progress
	}
	if !progress.groups[g.ID] {
		progress.groups[g.ID] = true
		progress.total += len(g.Pending)
	}
	predicted := r.predictor.predict(g.Step.Row, g.Prompt)
	for _, p := range g.Pending {
		id := control.SampleID{Step: g.Step, Group: g.ID, Member: p.Member}
		if p.Attempt <= progress.endedAttempts[id] {
			continue
		}
		if old, ok := r.jobs[id]; ok {
			if old.attempt >= p.Attempt {
				continue
			}
			r.endJob(old)
		}
		j := &job{id: id, attempt: p.Attempt, prompt: g.Prompt, predictedTokens: predicted, deadline: g.Deadline}
		j.notBefore = r.service.opts.Now().Add(attemptDelay(p.Attempt))
		r.jobs[id] = j
		r.queueFor(g.Step.Row).addDelayed(j)
	}
}

// attemptDelay slows down the attempts of a member that is reset repeatedly, for example because all engines of the
// pool have weights older than the row's staleness bound allows.
func attemptDelay(attempt uint64) time.Duration {
	const attemptsWithoutDelay = 3
	if attempt <= attemptsWithoutDelay {
		return 0
	}
	return backoff(int(attempt - attemptsWithoutDelay))
}

// backoff returns the pause after the given number of failures. It doubles from 100 ms to at most 10 s.
func backoff(failures int) time.Duration {
	const first, longest = 100 * time.Millisecond, 10 * time.Second
	const maxDoublings = 10 // enough to reach longest, and the shift does not overflow
	return min(first<<min(max(failures-1, 0), maxDoublings), longest)
}

func (r *runner) queueFor(row api.RowName) *rowQueue {
	q, ok := r.queues[row]
	if !ok {
		q = &rowQueue{row: row}
		r.queues[row] = q
		r.rowOrder = append(r.rowOrder, q)
	}
	return q
}

// endJob marks a job as done and cancels its remaining runs, whose results are no longer needed. The caller of this
// function holds r.mu.
func (r *runner) endJob(j *job) {
	j.done = true
	if j.cancel != nil {
		j.cancel()
	}
	if r.jobs[j.id] == j {
		delete(r.jobs, j.id)
	}
}

func (r *runner) dropStep(id control.StepID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if j.id.Step == id {
			r.endJob(j)
		}
	}
	delete(r.steps, id)
}

func (r *runner) stepIDs() []control.StepID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []control.StepID
	for id := range r.steps {
		out = append(out, id)
	}
	return out
}

// schedule starts as many runs as the limits allow, taking turns between the rows. Without a valid table lease it
// starts none, because a newer table could forbid the weights.
func (r *runner) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.ctx == nil || !r.service.opts.Client.TableLeaseValid() {
		return
	}
	snapshot, now := r.service.opts.Client.Table(), r.service.opts.Now()
	skipped := 0
	for r.inFlight < maxVMInFlight && skipped < len(r.rowOrder) {
		r.nextRow %= len(r.rowOrder)
		q := r.rowOrder[r.nextRow]
		row, ok := snapshot.Row(q.row)
		q.promoteReady(now)
		if !ok || row.Kind != table.KindRollout || len(q.heap) == 0 || q.inFlight >= r.rowInFlightLimit(row) {
			q.resetDeficit()
			r.nextRow++
			skipped++
			continue
		}
		skipped = 0
		if j := q.popNext(); j != nil {
			r.startRun(q, row, j)
		} else {
			r.nextRow++
		}
	}
	r.duplicateStragglers(snapshot, now)
}

// rowInFlightLimit returns how many runs of a row this VM may have on engines.
func (r *runner) rowInFlightLimit(row table.Row) int {
	if row.MaxInFlight > 0 {
		return r.service.opts.InFlightShare(row)
	}
	return defaultRowInFlight
}

// WaitingMembers returns the number of members of each row that wait to be passed to the Generator. It leaves out
// members that wait for the end of a backoff.
func (s *Service) WaitingMembers() map[api.RowName]int {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	out := map[api.RowName]int{}
	for _, q := range s.runner.rowOrder {
		if len(q.heap) > 0 {
			out[q.row] = len(q.heap)
		}
	}
	return out
}

// startRun starts one run of a job. The caller of this function holds r.mu.
func (r *runner) startRun(q *rowQueue, row table.Row, j *job) {
	if j.ctx == nil {
		if j.deadline.IsZero() {
			j.ctx, j.cancel = context.WithCancel(r.ctx)
		} else {
			j.ctx, j.cancel = context.WithDeadline(r.ctx, j.deadline)
		}
		j.startedAt = r.service.opts.Now()
	}
	run := j.activeRuns
	j.activeRuns++
	j.generatingRuns++
	q.inFlight++
	r.inFlight++
	rollout := dispatch.Rollout{
		Row: row, Body: j.prompt, Seed: samplingSeed(j, run),
		MinVersion: oldestAllowedVersion(row, r.service.opts.Client.Weights(row.Model), r.service.opts.Now()),
	}
	r.runs.Go(func() { r.executeRun(q, j, rollout) })
}

// duplicateStragglers starts a second run of stragglers among the last members of each step, if no member of any row
// waits. The caller of this function holds r.mu.
func (r *runner) duplicateStragglers(snapshot *table.Snapshot, now time.Time) {
	for _, q := range r.rowOrder {
		if len(q.heap) > 0 {
			return
		}
	}
	unfinished := map[control.StepID]int{}
	for _, j := range r.jobs {
		unfinished[j.id.Step]++
	}
	for _, j := range r.jobs {
		progress := r.steps[j.id.Step]
		row, ok := snapshot.Row(j.id.Step.Row)
		q := r.queueFor(j.id.Step.Row)
		if progress == nil || !ok || r.inFlight >= maxVMInFlight || q.inFlight >= r.rowInFlightLimit(row) {
			continue
		}
		if unfinished[j.id.Step] <= max(1, progress.total/stragglerDivisor) && progress.isStraggler(j, now) {
			j.duplicated = true
			r.startRun(q, row, j)
		}
	}
}

// isStraggler reports whether the only run of a job takes longer than the finished members of its step took on
// average.
func (p *stepProgress) isStraggler(j *job, now time.Time) bool {
	if j.duplicated || j.generatingRuns != 1 || j.activeRuns != 1 || p.finished == 0 {
		return false
	}
	return now.Sub(j.startedAt) > p.generationTime/time.Duration(p.finished)
}

// claimGroups asks for groups without a live owner, and for members of this VM's groups that became pending again. It
// sends the command only if claimRevision has changed, or if a claim is pending and the last one is long enough ago.
func (r *runner) claimGroups(ctx context.Context) {
	r.claimMu.Lock()
	defer r.claimMu.Unlock()
	revision, known := r.claimRevision()
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	changed := known && revision != r.claimedRevision
	due := (r.claimPending || !known) && time.Since(r.lastClaimAt) >= claimInterval
	if draining || !r.service.opts.Client.TableLeaseValid() || !changed && !due {
		return
	}
	r.lastClaimAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for more := true; more; {
		res, err := r.sendClaim(ctx)
		if err != nil {
			return
		}
		r.claimedRevision, r.claimPending = revision, len(res.Groups) > 0
		more = r.claimPending && res.Count == 0 // after it got groups without an owner, wait, so that other VMs get some too
	}
}

func (r *runner) sendClaim(ctx context.Context) (control.Result, error) {
	vm := r.service.opts.VM
	res, err := r.service.opts.Client.Do(ctx, control.Command{ClaimGroups: &control.ClaimGroups{
		VM: vm.ID, Incarnation: vm.Incarnation, Max: maxGroupsPerClaim, Since: r.claimSince,
	}})
	if err != nil {
		return res, err
	}
	r.claimSince = res.Revision
	for _, g := range res.Groups {
		r.service.opts.Events.Record(events.Event{Name: events.GroupClaimed, Row: g.Step.Row, Request: groupName(g.Step, g.ID)})
	}
	r.addGroups(res.Groups)
	return res, nil
}

// claimRevision returns the last revision at which something was added that a claim could return, if the client knows
// it.
func (r *runner) claimRevision() (uint64, bool) {
	client, ok := r.service.opts.Client.(interface{ ClaimRevision() uint64 })
	if !ok {
		return 0, false
	}
	return client.ClaimRevision(), true
}

// requestClaim makes the next call of claimGroups send a claim even if claimRevision has not changed.
func (r *runner) requestClaim() {
	r.claimMu.Lock()
	defer r.claimMu.Unlock()
	r.claimPending = true
}
