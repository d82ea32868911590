package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/membership"
	"filbertledge/internal/policy"
	"filbertledge/internal/table"
)

const (
	// maxAffinities bounds the memory of prefixes; the map is cleared when it is full.
	maxAffinities = 4096
	// shortWindow is how long slots stay reserved after short work was seen.
	shortWindow = 10 * time.Second
	// shortPart of the mean predicted time makes a job short.
	shortPart = 0.5
	// maxQueue bounds the waiting work of a pool.
	maxQueue = 8192
	// judgeInterval is the time between comparisons of servers.
	judgeInterval = 100 * time.Millisecond
)

// serverState is what this VM knows of a server beyond the registry.
type serverState struct {
	stats    policy.ServerStats
	budget   policy.RetryBudget
	growth   policy.GrowthLimiter
	isolated bool
	flights  map[*lease]uint64 // content digests of the requests in flight
}

// pool queues the work for one pool of servers and places it.
type pool struct {
	d    *Dispatcher
	name api.Pool

	mu        sync.Mutex
	rng       *rand.Rand
	queue     policy.Queue
	servers   map[*membership.Server]*serverState
	affinity  map[uint64]*membership.Server
	suspects  int                         // waiting runs that need a server of their own
	emptying  map[*membership.Server]bool // servers that get no new work until a suspect runs there
	meanRun   float64                     // EWMA of predicted times in seconds
	shortSeen time.Duration
	lastJudge time.Duration
	slotSum   int
	slotsAt   time.Duration
	// customers tells whether a row of customers uses the pool, as of the table of that version.
	customers    bool
	tableVersion uint64
	contenders   int // VMs that may use the same servers
}

// waiter is a run that waits for a server.
type waiter struct {
	run   *run
	job   policy.Job
	grant chan grant
}

// grant ends a wait: with a server, or with the reason why the work may no longer run.
type grant struct {
	lease *lease
	err   error
}

// lease is the right to run one attempt on a server.
type lease struct {
	pool   *pool
	server *membership.Server
	state  *serverState
	run    *run
	at     time.Duration
	// waiting is true until the first token of a stream, guarded by the pool's lock.
	waiting bool
}

// acquire waits for a server. The error says that the attempt did not run.
func (p *pool) acquire(ctx context.Context, r *run) (*lease, error) {
	w := &waiter{run: r, grant: make(chan grant, 1)}
	if err := p.enqueue(ctx, w); err != nil {
		return nil, err
	}
	select {
	case g := <-w.grant:
		return g.lease, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	waiting := p.queue.Remove(&w.job)
	if waiting {
		p.countSuspect(r, -1)
	}
	p.mu.Unlock()
	if !waiting {
		(<-w.grant).lease.discard()
	}
	return nil, p.waitError(ctx)
}

func (p *pool) waitError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return errs.New(errs.Canceled, "resend the request if it is still wanted", "request was canceled while it waited")
	}
	if !slices.ContainsFunc(p.d.opts.Registry.Servers(p.name), p.usable) {
		return errs.New(errs.Unavailable, "start backend servers for the pool", "no backend server of pool %q is available", p.name)
	}
	return errs.New(errs.DeadlineExceeded, "resend the request later or with a longer deadline", "deadline passed while the request waited for a backend server")
}

func (p *pool) usable(s *membership.Server) bool { return s.Usable(p.d.opts.Registry.Now()) }

// enqueue adds a waiter and places what can be placed.
func (p *pool) enqueue(ctx context.Context, w *waiter) error {
	now := p.d.now()
	w.job = p.jobOf(w.run, now)
	w.job.Payload = w
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.refuseEarly(ctx, w); err != nil {
		return err
	}
	p.noteLength(&w.job, now)
	p.queue.Push(&w.job)
	p.countSuspect(w.run, 1)
	p.pump(now)
	return nil
}

// countSuspect counts the waiting runs that need a server of their own. Without any, servers that were being
// emptied take other work again.
func (p *pool) countSuspect(r *run, n int) {
	if !r.isolated {
		return
	}
	p.suspects += n
	if p.suspects > 0 {
		return
	}
	for s := range p.emptying {
		s.SetExclusive(false)
	}
	clear(p.emptying)
}

// yieldClaims gives up servers that another VM is emptying too, after a random time, and those that left.
// Otherwise both VMs would wait for the other.
func (p *pool) yieldClaims() {
	const chance = 4
	clock := p.d.opts.Registry.Now()
	for s := range p.emptying {
		if !s.Usable(clock) || (s.ClaimedByOtherVM() && p.rng.IntN(chance) == 0) {
			s.SetExclusive(false)
			delete(p.emptying, s)
		}
	}
}

// empty stops new work to one more server, so that a suspect finds one without requests even under load. At
// most a part of the pool is emptied at one time.
func (p *pool) empty(r *run) {
	const part = 4
	clock := p.d.opts.Registry.Now()
	servers := p.d.opts.Registry.Servers(p.name)
	if len(p.emptying) >= min(p.suspects, max(1, len(servers)/part)) {
		return
	}
	var best *membership.Server
	for _, s := range servers {
		if !s.Usable(clock) || s.Exclusive() || r.excludes(s.ID()) || !r.admits(s.Announcement()) {
			continue
		}
		if best == nil || s.InFlight() < best.InFlight() {
			best = s
		}
	}
	if best != nil {
		best.SetExclusive(true)
		p.emptying[best] = true
	}
}

// jobOf describes a run to the queue. Runs that only some servers can take queue apart, so that they do not
// hold up the others of their row.
func (p *pool) jobOf(r *run, now time.Duration) policy.Job {
	name := r.work.Row.Name
	if r.isolated {
		name += "\x00isolated"
	} else if len(r.exclude)+len(r.never) > 0 {
		name += "\x00retry"
	}
	return policy.Job{Row: name, Class: r.class, Priority: r.work.Row.Priority, PredictedRunTime: r.predicted, ArrivedAt: now}
}

// refuseEarly refuses a customer's work whose predicted wait passes its deadline. A row without history is not
// refused on a guess, and trainers wait as long as they like.
func (p *pool) refuseEarly(ctx context.Context, w *waiter) error {
	if p.queue.Len() >= maxQueue {
		return errs.New(errs.Overloaded, "resend the request later", "queue of pool %q is full", p.name)
	}
	deadline, ok := ctx.Deadline()
	if !ok || p.queue.Len() == 0 || w.run.class != policy.Customer || !p.d.known(w.run.work.Row.Name) {
		return nil
	}
	slots := p.slots(p.d.now())
	if slots == 0 {
		return nil // servers may return before the deadline
	}
	wait := p.queue.PredictedWait(w.job.Class, w.job.Priority, w.job.Row, w.job.PredictedRunTime, slots)
	if wait > time.Until(deadline) {
		return errs.New(errs.Overloaded, "resend the request later or with a longer deadline",
			"predicted wait of %d ms passes the deadline", wait.Milliseconds())
	}
	return nil
}

// slots sums the requests that this VM may have in flight on the pool. The sum is kept for a while, because it
// looks at every server.
func (p *pool) slots(now time.Duration) int {
	if p.slotsAt > 0 && now-p.slotsAt < judgeEvery {
		return p.slotSum
	}
	clock := p.d.opts.Registry.Now()
	p.slotSum, p.slotsAt = 0, now
	for _, s := range p.d.opts.Registry.Servers(p.name) {
		if s.Usable(clock) {
			c := p.candidate(s, clock)
			p.slotSum += policy.InFlightLimit(&c)
		}
	}
	return p.slotSum
}

func (p *pool) noteLength(j *policy.Job, now time.Duration) {
	seconds := j.PredictedRunTime.Seconds()
	if p.meanRun == 0 {
		p.meanRun = seconds
	}
	if seconds < shortPart*p.meanRun {
		p.shortSeen = now
	}
	p.meanRun += 0.05 * (seconds - p.meanRun)
}

// pump places waiting work until nothing more can be placed. p.mu must be held.
func (p *pool) pump(now time.Duration) {
	for p.queue.Len() > 0 {
		var g grant
		job := p.queue.Next(func(j *policy.Job) bool {
			g.lease, g.err = p.place(j.Payload.(*waiter).run, j, now)
			return g.lease != nil || g.err != nil
		})
		if job == nil {
			return
		}
		w := job.Payload.(*waiter)
		p.countSuspect(w.run, -1)
		w.grant <- g
	}
}

// place chooses a server for a run and takes a slot on it, or returns nil. The error says that the run may no
// longer wait.
func (p *pool) place(r *run, j *policy.Job, now time.Duration) (*lease, error) {
	if err := r.refresh(); err != nil {
		return nil, err
	}
	if r.class == policy.Trainer {
		if !p.d.opts.Control.TableLeaseValid() {
			return nil, nil // a newer table could forbid the weights
		}
		r.raiseMinVersion()
	}
	if !p.d.loads.reserve(r.row, p.d.opts.InFlightShare) {
		return nil, nil
	}
	r.again = len(r.exclude) > 0 && p.onlyExcluded(r)
	s := p.choose(r, j, now)
	if s == nil && r.isolated {
		p.empty(r)
	}
	if s == nil {
		p.d.loads.release(r.row.Name)
		return nil, nil
	}
	return p.take(s, r, now), nil
}

// onlyExcluded reports whether every server that could run the work has already failed it. It may then be
// tried there again.
func (p *pool) onlyExcluded(r *run) bool {
	clock := p.d.opts.Registry.Now()
	for _, s := range p.d.opts.Registry.Servers(p.name) {
		if s.Usable(clock) && r.admits(s.Announcement()) && !slices.Contains(r.exclude, s.ID()) && !slices.Contains(r.never, s.ID()) {
			return false
		}
	}
	return true
}

func (p *pool) take(s *membership.Server, r *run, now time.Duration) *lease {
	st := p.state(s)
	l := &lease{pool: p, server: s, state: st, run: r, at: now}
	s.AddInFlight(1)
	st.flights[l] = r.digest
	st.stats.RecordDispatch(now)
	if r.attempts == 0 {
		st.budget.RecordRequest(now)
	} else {
		st.budget.SpendRetry(now)
	}
	if r.isolated {
		st.isolated = true
		s.SetExclusive(true)
		delete(p.emptying, s)
	}
	if r.prefix != 0 {
		p.remember(r.prefix, s)
	}
	return l
}

func (p *pool) remember(prefix uint64, s *membership.Server) {
	if len(p.affinity) >= maxAffinities {
		clear(p.affinity)
	}
	p.affinity[prefix] = s
}

func (p *pool) state(s *membership.Server) *serverState {
	st := attached(s)
	if st == nil {
		st = &serverState{flights: map[*lease]uint64{}}
		s.DispatchState = st
		p.servers[s] = st
	}
	return st
}

// attached returns the state of a server, or nil if nothing was sent to it yet.
func attached(s *membership.Server) *serverState {
	st, _ := s.DispatchState.(*serverState)
	return st
}

// release returns the slot and places waiting work.
func (l *lease) release() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(l.state.flights, l)
	l.server.AddInFlight(-1)
	if l.run.isolated {
		l.state.isolated = false
		l.server.SetExclusive(false)
	}
	p.d.loads.release(l.run.work.Row.Name)
	p.pump(p.d.now())
}

// measured adds a finished attempt to the server's statistics.
func (l *lease) measured(m policy.Measurement) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.state.stats.AddMeasurement(m)
}

// awaitFirstToken notes that a stream waits for its first token, or no longer does.
func (l *lease) awaitFirstToken(waiting bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.waiting = waiting
}

// suspects returns the digests of all requests in flight on the server.
func (l *lease) suspects() []uint64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	out := make([]uint64, 0, len(l.state.flights))
	for _, d := range l.state.flights {
		out = append(out, d)
	}
	return out
}

// reserved tells which slots a run must leave free.
type reserved struct {
	short    bool // those for short work
	customer bool // those for customers
}

func (r reserved) limit(c *policy.Candidate) int {
	limit := policy.InFlightLimit(c)
	if r.customer {
		return min(limit, policy.TrainerLimit(c))
	}
	if r.short {
		return policy.LongJobLimit(limit)
	}
	return limit
}

// servesCustomers reports whether a row of customers uses the pool. p.mu must be held.
func (p *pool) servesCustomers() bool {
	t := p.d.opts.Control.Table()
	if t == nil || t.Version() == p.tableVersion {
		return p.customers
	}
	p.customers, p.tableVersion = false, t.Version()
	t.Rows(func(r table.Row) {
		if r.Pool == p.name && r.Kind != table.KindRollout {
			p.customers = true
		}
	})
	return p.customers
}

// choose returns a server that may take the run now, or nil.
func (p *pool) choose(r *run, j *policy.Job, now time.Duration) *membership.Server {
	servers := p.d.opts.Registry.Servers(p.name)
	clock := p.d.opts.Registry.Now()
	short := j.PredictedRunTime.Seconds() < shortPart*p.meanRun
	reserve := reserved{
		short:    !short && p.shortSeen > 0 && now-p.shortSeen < shortWindow,
		customer: r.class == policy.Trainer && p.servesCustomers(),
	}
	describe := func(s *membership.Server, c *policy.Candidate) {
		if s.InFlight() > int64(s.Announcement().Capacity) {
			return // full whatever the others do
		}
		*c = p.candidate(s, clock)
		c.Eligible = p.eligible(r, s, c, now, clock, reserve)
	}
	i := policy.ChooseServer(len(servers), p.rng, func(i int, c *policy.Candidate) { describe(servers[i], c) })
	if i < 0 {
		return nil
	}
	return p.preferCached(r, servers[i], describe)
}

// preferCached takes the server that ran the same prefix last, if its load allows it.
func (p *pool) preferCached(r *run, chosen *membership.Server, describe func(*membership.Server, *policy.Candidate)) *membership.Server {
	cached := p.affinity[r.prefix]
	if r.prefix == 0 || cached == nil || cached == chosen {
		return chosen
	}
	var a, b policy.Candidate
	describe(chosen, &a)
	describe(cached, &b)
	b.Cached = true
	if b.Eligible && policy.Score(&b) < policy.Score(&a) {
		return cached
	}
	return chosen
}

func (p *pool) candidate(s *membership.Server, clock time.Duration) policy.Candidate {
	a := s.Announcement()
	others, users := s.RemoteInFlight()
	c := policy.Candidate{
		Local:          a.Domain == p.d.opts.FailureDomain,
		InFlight:       int(s.InFlight()),
		OthersInFlight: int(others),
		OtherVMs:       int(users),
		ReportedLoad:   a.Load.Running + a.Load.Waiting,
		ReportAge:      s.Age(clock),
		Capacity:       a.Capacity,
	}
	if st := attached(s); st != nil {
		c.RelativeSpeed = st.stats.RelativeSpeed
	}
	return c
}

// eligible reports whether a server may take the run now.
func (p *pool) eligible(r *run, s *membership.Server, c *policy.Candidate, now, clock time.Duration, reserve reserved) bool {
	claimed := s.Exclusive() && !(r.isolated && p.emptying[s] && !s.ClaimedByOtherVM())
	if !s.Usable(clock) || claimed || r.excludes(s.ID()) || !r.admits(s.Announcement()) {
		return false
	}
	limit := reserve.limit(c)
	if c.InFlight >= limit {
		return false
	}
	if r.class == policy.Trainer && !p.state(s).growth.Admits(c, limit-c.InFlight, p.contenders, now, p.rng) {
		return false
	}
	if r.isolated && (c.InFlight > 0 || c.OthersInFlight > 0) {
		return false
	}
	st := attached(s)
	if st == nil {
		return true
	}
	return !st.isolated && st.stats.Admits(now) && (r.attempts == 0 || st.budget.Admits(now))
}

// tick places waiting work and compares the servers.
func (p *pool) tick() {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.lastJudge >= judgeInterval {
		p.lastJudge = now
		p.contenders = min(len(p.d.opts.Control.VMs()), policy.MaxCompetingVMs)
		p.judge(now)
		p.yieldClaims()
	}
	p.pump(now)
}

func (p *pool) judge(now time.Duration) {
	servers := p.d.opts.Registry.Servers(p.name)
	stats := make([]*policy.ServerStats, len(servers))
	for i, s := range servers {
		st := p.state(s)
		st.stats.LongestWait = st.oldestWait(now)
		stats[i] = &st.stats
	}
	for _, v := range policy.EjectOutliers(stats, now) {
		p.judged(servers[v.Index], v.Ejected)
	}
	if len(p.servers) > len(servers) {
		p.forget(servers)
	}
}

// oldestWait is the longest time in seconds that a stream in flight has waited for its first token.
func (st *serverState) oldestWait(now time.Duration) float64 {
	var oldest time.Duration
	for l := range st.flights {
		if l.waiting {
			oldest = max(oldest, now-l.at)
		}
	}
	return oldest.Seconds()
}

func (p *pool) judged(s *membership.Server, ejected bool) {
	if p.d.opts.Events == nil {
		return
	}
	name := events.ServerReadmitted
	if ejected {
		name = events.ServerEjected
	}
	p.d.opts.Events.Record(events.Event{Name: name, Server: s.ID()})
}

// forget drops the state of servers that left the registry and have nothing in flight.
func (p *pool) forget(listed []*membership.Server) {
	keep := make(map[*membership.Server]bool, len(listed))
	for _, s := range listed {
		keep[s] = true
	}
	for s, st := range p.servers {
		if !keep[s] && len(st.flights) == 0 {
			delete(p.servers, s)
			s.DispatchState = nil
		}
	}
}
