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

// Limits of concurrent work of one VM.
const (
	defaultRowInFlight = 256 // of a row without max_in_flight
	maxInFlight        = 1024
	duplicateDivisor   = 10 // the last tenth of a step's members is duplicated
	claimedAtOnce      = 16 // groups; small, so that the groups of a lost VM spread over the others
)

// job is one member that this VM produces under one attempt number.
type job struct {
	id        control.SampleID
	attempt   uint64
	prompt    []byte
	predicted int // tokens
	deadline  time.Time
	notBefore time.Time
	failures  int

	// The fields below are guarded by runner.mu.
	ctx        context.Context
	cancel     context.CancelFunc
	runs       int // goroutines that produce the member
	generating int // of them, on an engine
	started    time.Time
	duplicated bool
	done       bool
}

// stepWork counts the members of a step that this VM was given.
type stepWork struct {
	groups   map[string]bool
	total    int
	finished int
	spent    time.Duration // generation time of the finished members
	// settled holds the newest attempt of each member whose end the ledger knows. A list of pending members that
	// was read before that end must not start the attempt again.
	settled map[control.SampleID]uint64
}

// runner decides which member runs when. One mutex guards all of its state; no call to another VM or engine
// is made under it.
type runner struct {
	s       *Service
	lengths *predictor

	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	rows     map[api.RowName]*rowQueue
	ring     []*rowQueue // deficit round robin
	turn     int
	jobs     map[control.SampleID]*job
	steps    map[control.StepID]*stepWork
	inFlight int
	draining bool

	claimMu      sync.Mutex
	since        uint64 // Revision of the last claim
	claimed      uint64 // claim revision that the last complete claim covers
	claimPending bool
	claimedAt    time.Time // of the last attempt
}

func newRunner(s *Service) *runner {
	return &runner{
		s: s, lengths: newPredictor(), rows: map[api.RowName]*rowQueue{},
		jobs: map[control.SampleID]*job{}, steps: map[control.StepID]*stepWork{}, claimPending: true,
	}
}

func (r *runner) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx, r.cancel = context.WithCancel(ctx)
}

func (r *runner) stop() {
	r.drain()
	r.work.Wait()
}

// drain cancels all work and starts no more.
func (r *runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	if r.cancel != nil {
		r.cancel()
	}
}

// adopt takes over the pending members of groups that this VM owns. Members that are under way stay so.
func (r *runner) adopt(groups []control.Group) {
	r.mu.Lock()
	for _, g := range groups {
		r.adoptGroup(g)
	}
	r.mu.Unlock()
	r.schedule()
}

func (r *runner) adoptGroup(g control.Group) {
	st, ok := r.steps[g.Step]
	if !ok {
		st = &stepWork{groups: map[string]bool{}, settled: map[control.SampleID]uint64{}}
		r.steps[g.Step] = st
	}
	if !st.groups[g.ID] {
		st.groups[g.ID] = true
		st.total += len(g.Pending)
	}
	predicted := r.lengths.predict(g.Step.Row, g.Prompt)
	for _, p := range g.Pending {
		id := control.SampleID{Step: g.Step, Group: g.ID, Member: p.Member}
		if p.Attempt <= st.settled[id] {
			continue
		}
		if old, ok := r.jobs[id]; ok {
			if old.attempt >= p.Attempt {
				continue
			}
			r.end(old)
		}
		j := &job{id: id, attempt: p.Attempt, prompt: g.Prompt, predicted: predicted, deadline: g.Deadline}
		j.notBefore = r.s.o.Now().Add(attemptPause(p.Attempt))
		r.jobs[id] = j
		r.queue(g.Step.Row).push(j)
	}
}

// attemptPause slows down a member that is reset again and again, for example because all engines of the pool
// are behind the row's staleness bound.
func attemptPause(attempt uint64) time.Duration {
	const freeAttempts = 3
	if attempt <= freeAttempts {
		return 0
	}
	return backoff(int(attempt - freeAttempts))
}

// backoff grows from 100 ms to 10 s.
func backoff(failures int) time.Duration {
	const first, last = 100 * time.Millisecond, 10 * time.Second
	return min(first<<min(max(failures-1, 0), 10), last)
}

func (r *runner) queue(row api.RowName) *rowQueue {
	q, ok := r.rows[row]
	if !ok {
		q = &rowQueue{row: row}
		r.rows[row] = q
		r.ring = append(r.ring, q)
	}
	return q
}

// end makes a job final: its remaining runs are surplus and are cancelled. The caller holds r.mu.
func (r *runner) end(j *job) {
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
			r.end(j)
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

// schedule starts as much work as the limits allow. Without a valid table lease it starts nothing, because a newer
// table could forbid the weights.
func (r *runner) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.ctx == nil || !r.s.o.Client.TableLeaseValid() {
		return
	}
	t, now := r.s.o.Client.Table(), r.s.o.Now()
	skipped := 0
	for r.inFlight < maxInFlight && skipped < len(r.ring) {
		r.turn %= len(r.ring)
		q := r.ring[r.turn]
		row, ok := t.Row(q.row)
		q.ready(now)
		if !ok || row.Kind != table.KindRollout || len(q.heap) == 0 || q.inFlight >= r.rowLimit(row) {
			q.skip()
			r.turn++
			skipped++
			continue
		}
		skipped = 0
		if j := q.next(); j != nil {
			r.launch(q, row, j)
		} else {
			r.turn++
		}
	}
	r.duplicate(t, now)
}

func (r *runner) rowLimit(row table.Row) int {
	if row.MaxInFlight > 0 {
		return r.s.o.InFlightShare(row)
	}
	return defaultRowInFlight
}

// WaitingMembers returns the members of each row that have not been handed to the Generator.
func (s *Service) WaitingMembers() map[api.RowName]int {
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	out := map[api.RowName]int{}
	for _, q := range s.run.ring {
		if len(q.heap) > 0 {
			out[q.row] = len(q.heap)
		}
	}
	return out
}

// launch starts one run of a job. The caller holds r.mu.
func (r *runner) launch(q *rowQueue, row table.Row, j *job) {
	if j.ctx == nil {
		if j.deadline.IsZero() {
			j.ctx, j.cancel = context.WithCancel(r.ctx)
		} else {
			j.ctx, j.cancel = context.WithDeadline(r.ctx, j.deadline)
		}
		j.started = r.s.o.Now()
	}
	run := j.runs
	j.runs++
	j.generating++
	q.inFlight++
	r.inFlight++
	rollout := dispatch.Rollout{
		Row: row, Body: j.prompt, Seed: seedOf(j, run),
		MinVersion: oldestAllowed(row, r.s.o.Client.Weights(row.Model), r.s.o.Now()),
	}
	r.work.Go(func() { r.produce(q, j, rollout) })
}

// duplicate starts second runs of the last members of each step, if nothing else waits. Only members that took
// longer than the average of their step so far are stragglers. The caller holds r.mu.
func (r *runner) duplicate(t *table.Snapshot, now time.Time) {
	for _, q := range r.ring {
		if len(q.heap) > 0 {
			return
		}
	}
	left := map[control.StepID]int{}
	for _, j := range r.jobs {
		left[j.id.Step]++
	}
	for _, j := range r.jobs {
		st := r.steps[j.id.Step]
		row, ok := t.Row(j.id.Step.Row)
		q := r.queue(j.id.Step.Row)
		if st == nil || !ok || r.inFlight >= maxInFlight || q.inFlight >= r.rowLimit(row) {
			continue
		}
		if left[j.id.Step] <= max(1, st.total/duplicateDivisor) && st.isStraggler(j, now) {
			j.duplicated = true
			r.launch(q, row, j)
		}
	}
}

func (st *stepWork) isStraggler(j *job, now time.Time) bool {
	if j.duplicated || j.generating != 1 || j.runs != 1 || st.finished == 0 {
		return false
	}
	return now.Sub(j.started) > st.spent/time.Duration(st.finished)
}

// claim asks, if there is a reason to, for groups without a live owner and for members of own groups that became
// pending again.
func (r *runner) claim(ctx context.Context) {
	r.claimMu.Lock()
	defer r.claimMu.Unlock()
	revision, known := r.claimRevision()
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	changed := known && revision != r.claimed
	due := (r.claimPending || !known) && time.Since(r.claimedAt) >= claimInterval
	if draining || !r.s.o.Client.TableLeaseValid() || !changed && !due {
		return
	}
	r.claimedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, doTimeout)
	defer cancel()
	for more := true; more; {
		res, err := r.claimOnce(ctx)
		if err != nil {
			return
		}
		r.claimed, r.claimPending = revision, len(res.Groups) > 0
		more = r.claimPending && res.Count == 0 // new groups wait, so that other VMs get some as well
	}
}

func (r *runner) claimOnce(ctx context.Context) (control.Result, error) {
	vm := r.s.o.VM
	res, err := r.s.o.Client.Do(ctx, control.Command{ClaimGroups: &control.ClaimGroups{
		VM: vm.ID, Incarnation: vm.Incarnation, Max: claimedAtOnce, Since: r.since,
	}})
	if err != nil {
		return res, err
	}
	r.since = res.Revision
	for _, g := range res.Groups {
		r.s.o.Events.Record(events.Event{Name: events.GroupClaimed, Row: g.Step.Row, Request: groupName(g.Step, g.ID)})
	}
	r.adopt(res.Groups)
	return res, nil
}

// claimRevision returns the revision at which a claim could last return something new, if the client knows it.
func (r *runner) claimRevision() (uint64, bool) {
	c, ok := r.s.o.Client.(interface{ ClaimRevision() uint64 })
	if !ok {
		return 0, false
	}
	return c.ClaimRevision(), true
}

// claimSoon makes the next claim ask even if nothing is known to have changed.
func (r *runner) claimSoon() {
	r.claimMu.Lock()
	defer r.claimMu.Unlock()
	r.claimPending = true
}
