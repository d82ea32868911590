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
	// maxPrefixAffinities limits the size of pool.prefixServers. The map is cleared when it is full.
	maxPrefixAffinities = 4096
	// shortJobWindow is how long slots stay reserved for short jobs after one arrived.
	shortJobWindow = 10 * time.Second
	// shortJobFraction is the fraction of the mean predicted run time below which a job is short.
	shortJobFraction = 0.5
	// meanRunTimeWeight is the weight of a new job in the mean predicted run time.
	meanRunTimeWeight = 0.05
	// maxQueueLength limits the number of waiting requests of a pool.
	maxQueueLength = 8192
	// outlierCheckInterval is the time between two checks for servers that are slower than the rest of their pool.
	outlierCheckInterval = 100 * time.Millisecond
	// slotCountTTL is how long the sum of a pool's slots is cached.
	slotCountTTL = 20 * time.Millisecond
)

// serverState is what this VM records about a server in addition to the registry.
type serverState struct {
	stats         policy.ServerStats
	budget        policy.RetryBudget
	growthLimiter policy.GrowthLimiter
	isolated      bool              // a suspect runs on the server, so nothing else may
	leases        map[*lease]uint64 // requests in flight with their content digests
}

// pool queues the requests for one pool of servers and places them on servers.
//
// A suspect is a request that was in flight on a server when the server was lost, and thus may have crashed it. It runs
// on a server that has no other requests.
type pool struct {
	d    *Dispatcher
	name api.Pool

	mu               sync.Mutex
	rng              *rand.Rand
	queue            policy.Queue
	servers          map[*membership.Server]*serverState
	prefixServers    map[uint64]*membership.Server
	waitingSuspects  int
	emptying         map[*membership.Server]bool // servers that get no new requests until a suspect runs on them
	meanRunTime      float64                     // EWMA of the predicted run times, in seconds
	lastShortJob     time.Duration
	lastOutlierCheck time.Duration
	slotCount        int
	slotsCountedAt   time.Duration
	// customersUsePool is true if a customer's row uses the pool according to the table of version tableVersion.
	customersUsePool bool
	tableVersion     uint64
	competingVMs     int // number of VMs that may use the same servers
}

// waiter is a run that waits for a server.
type waiter struct {
	run     *run
	job     policy.Job
	granted chan grant
}

// grant ends the wait of a run: with a lease, or with the reason why the run may not continue.
type grant struct {
	lease *lease
	err   error
}

// lease is a slot on a server, for one attempt of a run.
type lease struct {
	pool         *pool
	server       *membership.Server
	state        *serverState
	run          *run
	dispatchedAt time.Duration
	// awaitingFirstToken is true until the first token of a stream arrives. It is guarded by the pool's lock.
	awaitingFirstToken bool
}

// acquire waits for a slot on a server. If it returns an error, the attempt did not run.
func (p *pool) acquire(ctx context.Context, r *run) (*lease, error) {
	w := &waiter{run: r, granted: make(chan grant, 1)}
	if err := p.enqueue(ctx, w); err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return g.lease, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	waiting := p.queue.Remove(&w.job)
	if waiting {
		p.addWaitingSuspects(r, -1)
	}
	p.mu.Unlock()
	if !waiting {
		(<-w.granted).lease.releaseUnused()
	}
	return nil, p.timeoutError(ctx)
}

// timeoutError returns the error for a request whose context ended while it waited.
func (p *pool) timeoutError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return errs.New(errs.Canceled, "resend the request if it is still wanted", "request was canceled while it waited")
	}
	if !slices.ContainsFunc(p.d.opts.Registry.Servers(p.name), p.usable) {
		return errs.New(errs.Unavailable, "start backend servers for the pool", "no backend server of pool %q is available", p.name)
	}
	return errs.New(errs.DeadlineExceeded, "resend the request later or with a longer deadline", "deadline passed while the request waited for a backend server")
}

func (p *pool) usable(s *membership.Server) bool { return s.Usable(p.d.opts.Registry.Now()) }

// enqueue adds a waiter to the queue and places as many waiting requests as possible.
func (p *pool) enqueue(ctx context.Context, w *waiter) error {
	now := p.d.now()
	w.job = p.newJob(w.run, now)
	w.job.Payload = w
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkAdmission(ctx, w); err != nil {
		return err
	}
	p.updateMeanRunTime(&w.job, now)
	p.queue.Push(&w.job)
	p.addWaitingSuspects(w.run, 1)
	p.placeWaiting(now)
	return nil
}

// addWaitingSuspects adds n to the number of waiting suspects if r is one. When no suspect waits any more, the servers
// that were being emptied accept other requests again.
func (p *pool) addWaitingSuspects(r *run, n int) {
	if !r.isolated {
		return
	}
	p.waitingSuspects += n
	if p.waitingSuspects > 0 {
		return
	}
	for s := range p.emptying {
		s.SetExclusive(false)
	}
	clear(p.emptying)
}

// releaseContestedServers stops emptying servers that are no longer usable, and, after a random time, servers that
// another VM is emptying as well. Without that, each of the two VMs would wait for the other.
func (p *pool) releaseContestedServers() {
	const yieldOdds = 4 // the chance to give up a contested server in one check is 1 in yieldOdds
	registryNow := p.d.opts.Registry.Now()
	for s := range p.emptying {
		if !s.Usable(registryNow) || (s.ClaimedByOtherVM() && p.rng.IntN(yieldOdds) == 0) {
			s.SetExclusive(false)
			delete(p.emptying, s)
		}
	}
}

// startEmptying stops new requests to one more server, so that the suspect finds a server without requests even under
// load. It does nothing if enough servers for the waiting suspects, or too many of the pool, are already being emptied.
func (p *pool) startEmptying(r *run) {
	const maxEmptyingDivisor = 4 // at most 1 in maxEmptyingDivisor servers is emptied at a time, but at least one
	registryNow := p.d.opts.Registry.Now()
	servers := p.d.opts.Registry.Servers(p.name)
	if len(p.emptying) >= min(p.waitingSuspects, max(1, len(servers)/maxEmptyingDivisor)) {
		return
	}
	var best *membership.Server
	for _, s := range servers {
		if !s.Usable(registryNow) || s.Exclusive() || r.excludes(s.ID()) || !r.canRunOn(s.Announcement()) {
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

// newJob returns the queue entry of a run. Suspects and retries can run on some of the servers only. They get a queue
// row of their own, so that they do not delay the other requests of their row.
func (p *pool) newJob(r *run, now time.Duration) policy.Job {
	name := r.request.Row.Name
	if r.isolated {
		name += "\x00isolated"
	} else if len(r.failedServers)+len(r.excludedServers) > 0 {
		name += "\x00retry"
	}
	return policy.Job{Row: name, Class: r.class, Priority: r.request.Row.Priority, PredictedRunTime: r.predictedRunTime, ArrivedAt: now}
}

// checkAdmission refuses a request if the queue is full, and a customer's request if its predicted wait exceeds its
// deadline. Requests of a row with too little history are admitted, because the prediction would be a guess.
// Trainers' requests may wait for any time.
func (p *pool) checkAdmission(ctx context.Context, w *waiter) error {
	if p.queue.Len() >= maxQueueLength {
		return errs.New(errs.Overloaded, "resend the request later", "queue of pool %q is full", p.name)
	}
	deadline, ok := ctx.Deadline()
	if !ok || p.queue.Len() == 0 || w.run.class != policy.Customer || !p.d.hasEnoughHistory(w.run.request.Row.Name) {
		return nil
	}
	slots := p.slots(p.d.now())
	if slots == 0 {
		return nil // servers may return before the deadline
	}
	wait := p.queue.PredictedWait(w.job.Class, w.job.Priority, w.job.Row, w.job.PredictedRunTime, slots)
	if wait > time.Until(deadline) {
		return errs.New(errs.Overloaded, "resend the request later or with a longer deadline",
			"predicted wait of %d ms exceeds the time until the deadline", wait.Milliseconds())
	}
	return nil
}

// slots returns how many requests this VM may have in flight on the pool. The sum is cached for slotCountTTL, because
// it visits every server.
func (p *pool) slots(now time.Duration) int {
	if p.slotsCountedAt > 0 && now-p.slotsCountedAt < slotCountTTL {
		return p.slotCount
	}
	registryNow := p.d.opts.Registry.Now()
	p.slotCount, p.slotsCountedAt = 0, now
	for _, s := range p.d.opts.Registry.Servers(p.name) {
		if s.Usable(registryNow) {
			c := p.candidate(s, registryNow)
			p.slotCount += policy.InFlightLimit(&c)
		}
	}
	return p.slotCount
}

func (p *pool) updateMeanRunTime(j *policy.Job, now time.Duration) {
	seconds := j.PredictedRunTime.Seconds()
	if p.meanRunTime == 0 {
		p.meanRunTime = seconds
	}
	if seconds < shortJobFraction*p.meanRunTime {
		p.lastShortJob = now
	}
	p.meanRunTime += meanRunTimeWeight * (seconds - p.meanRunTime)
}

// placeWaiting places waiting requests until no more can be placed. p.mu must be held.
func (p *pool) placeWaiting(now time.Duration) {
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
		p.addWaitingSuspects(w.run, -1)
		w.granted <- g
	}
}

// place chooses a server for a run and takes a slot on it. It returns nil if no slot is free, and an error if the run
// may not wait any longer.
func (p *pool) place(r *run, j *policy.Job, now time.Duration) (*lease, error) {
	if err := r.refreshRow(); err != nil {
		return nil, err
	}
	if r.class == policy.Trainer {
		if !p.d.opts.Control.TableLeaseValid() {
			return nil, nil // a newer table may not allow the weights
		}
		r.raiseMinVersion()
	}
	if !p.d.loads.reserve(r.row, p.d.opts.InFlightShare) {
		return nil, nil
	}
	r.retryFailedServers = len(r.failedServers) > 0 && p.allCandidatesFailed(r)
	s := p.choose(r, j, now)
	if s == nil && r.isolated {
		p.startEmptying(r)
	}
	if s == nil {
		p.d.loads.release(r.row.Name)
		return nil, nil
	}
	return p.takeSlot(s, r, now), nil
}

// allCandidatesFailed reports whether the run has already failed on every server that could run it. It may then be
// retried on these servers.
func (p *pool) allCandidatesFailed(r *run) bool {
	registryNow := p.d.opts.Registry.Now()
	for _, s := range p.d.opts.Registry.Servers(p.name) {
		if s.Usable(registryNow) && r.canRunOn(s.Announcement()) && !slices.Contains(r.failedServers, s.ID()) && !slices.Contains(r.excludedServers, s.ID()) {
			return false
		}
	}
	return true
}

func (p *pool) takeSlot(server *membership.Server, r *run, now time.Duration) *lease {
	state := p.stateOf(server)
	slot := &lease{pool: p, server: server, state: state, run: r, dispatchedAt: now}
	server.AddInFlight(1)
	state.leases[slot] = r.digest
	state.stats.RecordDispatch(now)
	if r.attempts == 0 {
		state.budget.RecordRequest(now)
	} else {
		state.budget.SpendRetry(now)
	}
	if r.isolated {
		state.isolated = true
		server.SetExclusive(true)
		delete(p.emptying, server)
	}
	if r.prefix != 0 {
		p.rememberPrefix(r.prefix, server)
	}
	return slot
}

func (p *pool) rememberPrefix(prefix uint64, s *membership.Server) {
	if len(p.prefixServers) >= maxPrefixAffinities {
		clear(p.prefixServers)
	}
	p.prefixServers[prefix] = s
}

func (p *pool) stateOf(s *membership.Server) *serverState {
	st := attachedState(s)
	if st == nil {
		st = &serverState{leases: map[*lease]uint64{}}
		s.DispatchState = st
		p.servers[s] = st
	}
	return st
}

// attachedState returns the state of a server, or nil if it has none yet.
func attachedState(s *membership.Server) *serverState {
	st, _ := s.DispatchState.(*serverState)
	return st
}

// release frees the slot and places waiting requests.
func (l *lease) release() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(l.state.leases, l)
	l.server.AddInFlight(-1)
	if l.run.isolated {
		l.state.isolated = false
		l.server.SetExclusive(false)
	}
	p.d.loads.release(l.run.request.Row.Name)
	p.placeWaiting(p.d.now())
}

// addMeasurement adds a measurement to the server's statistics.
func (l *lease) addMeasurement(m policy.Measurement) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.state.stats.AddMeasurement(m)
}

// setAwaitingFirstToken sets whether the stream waits for its first token.
func (l *lease) setAwaitingFirstToken(waiting bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.awaitingFirstToken = waiting
}

// inFlightDigests returns the content digests of all requests that this VM has in flight on the server.
func (l *lease) inFlightDigests() []uint64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	out := make([]uint64, 0, len(l.state.leases))
	for _, d := range l.state.leases {
		out = append(out, d)
	}
	return out
}

// slotReservation states which slots a run must leave free.
type slotReservation struct {
	short    bool // the slots for short jobs
	customer bool // the slots for customers
}

func (r slotReservation) limit(c *policy.Candidate) int {
	limit := policy.InFlightLimit(c)
	if r.customer {
		return min(limit, policy.TrainerLimit(c))
	}
	if r.short {
		return policy.LongJobLimit(limit)
	}
	return limit
}

// servesCustomers reports whether a customer's row uses the pool. p.mu must be held.
func (p *pool) servesCustomers() bool {
	t := p.d.opts.Control.Table()
	if t == nil || t.Version() == p.tableVersion {
		return p.customersUsePool
	}
	p.customersUsePool, p.tableVersion = false, t.Version()
	t.Rows(func(r table.Row) {
		if r.Pool == p.name && r.Kind != table.KindRollout {
			p.customersUsePool = true
		}
	})
	return p.customersUsePool
}

// choose returns a server that may take the run now, or nil.
func (p *pool) choose(r *run, j *policy.Job, now time.Duration) *membership.Server {
	servers := p.d.opts.Registry.Servers(p.name)
	registryNow := p.d.opts.Registry.Now()
	short := j.PredictedRunTime.Seconds() < shortJobFraction*p.meanRunTime
	reserve := slotReservation{
		short:    !short && p.lastShortJob > 0 && now-p.lastShortJob < shortJobWindow,
		customer: r.class == policy.Trainer && p.servesCustomers(),
	}
	describe := func(s *membership.Server, c *policy.Candidate) {
		if s.InFlight() > int64(s.Announcement().Capacity) {
			return // not eligible: this VM's own requests fill it
		}
		*c = p.candidate(s, registryNow)
		c.Eligible = p.eligible(r, s, c, now, registryNow, reserve)
	}
	i := policy.ChooseServer(len(servers), p.rng, func(i int, c *policy.Candidate) { describe(servers[i], c) })
	if i < 0 {
		return nil
	}
	return p.preferCached(r, servers[i], describe)
}

// preferCached returns the server that last ran a request with the same prefix if its score is better, else chosen.
func (p *pool) preferCached(r *run, chosen *membership.Server, describe func(*membership.Server, *policy.Candidate)) *membership.Server {
	cached := p.prefixServers[r.prefix]
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

func (p *pool) candidate(s *membership.Server, registryNow time.Duration) policy.Candidate {
	a := s.Announcement()
	others, otherVMs := s.RemoteInFlight()
	candidate := policy.Candidate{
		Local:          a.Domain == p.d.opts.FailureDomain,
		InFlight:       int(s.InFlight()),
		OthersInFlight: int(others),
		OtherVMs:       int(otherVMs),
		ReportedLoad:   a.Load.Running + a.Load.Waiting,
		ReportAge:      s.Age(registryNow),
		Capacity:       a.Capacity,
	}
	if st := attachedState(s); st != nil {
		candidate.RelativeSpeed = st.stats.RelativeSpeed
	}
	return candidate
}

// eligible reports whether a server may take the run now.
func (p *pool) eligible(r *run, s *membership.Server, c *policy.Candidate, now, registryNow time.Duration, reserve slotReservation) bool {
	claimed := s.Exclusive() && !(r.isolated && p.emptying[s] && !s.ClaimedByOtherVM())
	if !s.Usable(registryNow) || claimed || r.excludes(s.ID()) || !r.canRunOn(s.Announcement()) {
		return false
	}
	limit := reserve.limit(c)
	if c.InFlight >= limit {
		return false
	}
	if r.class == policy.Trainer && !p.stateOf(s).growthLimiter.Admits(c, limit-c.InFlight, p.competingVMs, now, p.rng) {
		return false
	}
	if r.isolated && (c.InFlight > 0 || c.OthersInFlight > 0) {
		return false
	}
	st := attachedState(s)
	if st == nil {
		return true
	}
	return !st.isolated && st.stats.Admits(now) && (r.attempts == 0 || st.budget.Admits(now))
}

// tick places waiting requests and, every outlierCheckInterval, checks for slow servers.
func (p *pool) tick() {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.lastOutlierCheck >= outlierCheckInterval {
		p.lastOutlierCheck = now
		p.competingVMs = min(len(p.d.opts.Control.VMs()), policy.MaxCompetingVMs)
		p.checkOutliers(now)
		p.releaseContestedServers()
	}
	p.placeWaiting(now)
}

func (p *pool) checkOutliers(now time.Duration) {
	servers := p.d.opts.Registry.Servers(p.name)
	stats := make([]*policy.ServerStats, len(servers))
	for i, s := range servers {
		state := p.stateOf(s)
		state.stats.LongestWait = state.longestFirstTokenWait(now)
		stats[i] = &state.stats
	}
	for _, v := range policy.EjectOutliers(stats, now) {
		p.recordEjection(servers[v.Index], v.Ejected)
	}
	if len(p.servers) > len(servers) {
		p.dropDepartedServers(servers)
	}
}

// longestFirstTokenWait returns the longest time in seconds that a stream in flight has waited for its first token.
func (st *serverState) longestFirstTokenWait(now time.Duration) float64 {
	var oldest time.Duration
	for l := range st.leases {
		if l.awaitingFirstToken {
			oldest = max(oldest, now-l.dispatchedAt)
		}
	}
	return oldest.Seconds()
}

func (p *pool) recordEjection(s *membership.Server, ejected bool) {
	if p.d.opts.Events == nil {
		return
	}
	name := events.ServerReadmitted
	if ejected {
		name = events.ServerEjected
	}
	p.d.opts.Events.Record(events.Event{Name: name, Server: s.ID()})
}

// dropDepartedServers removes the state of servers that left the registry and have no requests in flight.
func (p *pool) dropDepartedServers(listed []*membership.Server) {
	keep := make(map[*membership.Server]bool, len(listed))
	for _, s := range listed {
		keep[s] = true
	}
	for s, st := range p.servers {
		if !keep[s] && len(st.leases) == 0 {
			delete(p.servers, s)
			s.DispatchState = nil
		}
	}
}
