package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"filbertledge/internal/api"
	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/scheduling"
)

// session is the state of a leader during one leadership: it runs the items of batches, commits their results, and
// makes engines load weights. It ends with the leadership.
type session struct {
	node *Node
	ctx  context.Context // ends with the leadership
	term uint64
	// reservations is the room for batches that are being submitted.
	reservations reservations
	// storedReservations is the same for bodies that are stored apart from their batch.
	storedReservations reservations
	// uploads is the boot time of the last part of each upload; guarded by mu.
	uploads map[string]time.Duration
	// handedOver is closed once no order or call of a former leader can arrive any more.
	handedOver  chan struct{}
	dutyLimiter *rate.Limiter
	// stateVersion is the version of the state that commands may require now.
	stateVersion atomic.Uint64
	usage        *usageDuty // nil if usage reports are no duty

	mu             sync.Mutex
	batches        map[string]*batch
	batchesByAge   []*batch         // oldest first
	seenGroups     map[ownedID]bool // names of groups of earlier batches
	engines        map[string]*engineState
	runningItems   int
	limits         *ratelimit.Allocator
	peers          *peerTable
	load           loadState
	stalls         stallDetector            // detects stalls of this process
	serversSignal  chan struct{}            // closed and replaced when the servers change
	results        chan rollout.BatchResult // results to commit
	schedulerWake  chan struct{}            // makes scheduleLoop check the waiting items
	scorerWake     chan struct{}            // makes scoreLoop check the texts that wait for a score
	unscored       map[*task]bool           // tasks in taskScoring without a call in progress
	runningCalls   map[string]int           // scorer calls in progress by service
	loaderWake     chan struct{}            // makes loadLoop check the versions of the engines
	promptCachedOn map[string]string        // prompt key to the ID of the server whose engine has processed the prompt
	// publishedAt is when the newest version of each model was published, if that was during this leadership.
	publishedAt map[string]time.Duration
	stepWork    map[string]float64 // moving average of the work of a step by model, in output tokens
	runTimes    runTimes
	trials      []*task // begun as trials, see needsTrial; some may have ended
	slowShare   float64 // moving share of the intervals between events that look like a transient slowdown

	packedMu       sync.Mutex
	packedList     []byte // the servers at packedRevision of the registry, packed
	packedRevision uint64

	// reusableTexts holds the texts of unfinished groups of ended batches, by item.
	reusableTexts map[ownedID]rollout.Partial
	// readyAfterDeparture holds the departed servers that go on announcing themselves as ready, by ID.
	readyAfterDeparture map[string]readySince
}

// batch is a batch that has not ended.
type batch struct {
	rollout.Batch
	tasks    []*task
	groups   map[string]*group
	giveUpAt time.Time // when unfinished items are given up
	// meanLength is the mean of the items' length hints, in tokens.
	meanLength float64
	addedAt    time.Duration // boot time at which this session added the batch
	plan       scheduling.StepPlan
	plannedAt  time.Duration // boot time of the plan; 0 before the first
}

// group tracks the progress of a group of items.
type group struct {
	index       int
	unfinished  int
	carriedOver bool // an earlier batch contained the group
}

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskScoring // the text is complete and its score is missing
	taskFinished
)

// task is the work on one item of a batch.
type task struct {
	batch *batch
	item  int
	group *group
	state taskState

	engine      string // ID of the server that runs the item, or ran it last
	cancel      context.CancelFunc
	startedAt   time.Duration
	lastEventAt time.Duration            // of the current run; 0 before its first event
	failures    int                      // runs that ended with GenerationFailed
	crashes     int                      // runs in a row that broke before their first event
	digest      uint64                   // of the item's content
	suspected   bool                     // a server was lost while it ran the item, or a request with the same content
	pausedUntil time.Duration            // boot time before which the item does not start
	avoidUntil  map[string]time.Duration // servers to avoid, until when
	moving      bool                     // the current run is being cancelled, so that another engine continues the item
	// countedAsLong is true if engineState.runningLong includes the current run.
	countedAsLong bool

	text     []byte
	events   int
	versions []uint64
	software string // version of the servers' software that began the text; empty if it is unknown
	// waitingSince is the boot time since which the item waits for an engine.
	waitingSince time.Duration
	// committedBytes is how many bytes of the text are in the replicated state.
	committedBytes int
	restarts       int  // number of times the text was discarded
	textComplete   bool // the text ends with its last event
	// completeCommitted is true if the replicated state records that the text is complete.
	completeCommitted bool
	completed         bool // the result was queued as completed

	calls        int // scorer calls so far, not counting hedged attempts
	callFailures int // responses of scorers that report a failure of their own
	callBackoff  time.Duration
	callAfter    time.Time // no call is sent before
	// missingRouteLogged is true if the log says that no route leads to the scorer.
	missingRouteLogged bool
}

// discardText drops the text, so that the item starts again from the beginning.
func (t *task) discardText() {
	t.text, t.events, t.versions, t.software, t.committedBytes = nil, 0, nil, "", 0
	t.textComplete, t.completeCommitted = false, false
	t.restarts++
}

// engineState is what the leader knows of a server's engine besides the server's announcements.
type engineState struct {
	incarnation      int64 // identifies the start of the server
	running          int
	runningLong      int               // running items that were long at their start
	versions         map[string]uint64 // loaded version of each model
	recentInterval   float64           // moving average of the time between events, in ms
	recentIntervalAt time.Duration     // time of the last measurement
	baselineInterval float64           // median of the time between events of a single running request, in ms
	kindInterval     float64           // lowest baseline interval since the engine started, in ms
	intervals        int               // number of measured intervals
	slowSince        time.Duration     // boot time since which isSlow holds at each check; 0 if it does not
	blockedUntil     time.Duration     // the engine gets no items until then
	failures         int               // consecutive failures
	alone            *task             // runs alone until its first event, or will; nil if there is none
	softwareDoubted  bool              // a run failed after the announcement with doubtedSequence
	doubtedSequence  uint64
	models           []string      // whose weights the engine is made to load; empty means all
	loadingModel     string        // model of the order in progress; empty if there is none
	sequence         uint64        // number of orders that the engine has accepted
	sequenceKnown    bool          // sequence is up to date
	nextOrderAt      time.Duration // the engine gets no order until then
	orderFailures    int           // consecutive failures of orders
}

// resultQueueSize limits the results that wait to be committed.
const resultQueueSize = 4096

func newSession(n *Node, ctx context.Context, term uint64) *session {
	return &session{
		reservations:       reservations{limit: int64(openBatchesFraction * float64(n.opts.MemoryLimit))},
		storedReservations: reservations{limit: storedBodiesLimit(n.opts), inOrder: true},
		uploads:            map[string]time.Duration{},
		usage:              newUsageDuty(n.opts.Duties),
		handedOver:         make(chan struct{}), dutyLimiter: newDutyLimiter(n.opts.Duties),
		node: n, ctx: ctx, term: term, limits: ratelimit.NewAllocator(n.limits, boottime.Now()), peers: newPeerTable(), load: loadState{collector: balance.NewCollector(n.opts.BalancesLoad)},
		batches: map[string]*batch{}, seenGroups: map[ownedID]bool{}, engines: map[string]*engineState{}, promptCachedOn: map[string]string{},
		reusableTexts: map[ownedID]rollout.Partial{}, publishedAt: map[string]time.Duration{},
		serversSignal: make(chan struct{}), results: make(chan rollout.BatchResult, resultQueueSize),
		schedulerWake: make(chan struct{}, 1), loaderWake: make(chan struct{}, 1), scorerWake: make(chan struct{}, 1),
		readyAfterDeparture: map[string]readySince{},
		stepWork:            map[string]float64{}, unscored: map[*task]bool{}, runningCalls: map[string]int{},
	}
}

func (s *session) describe() string { return fmt.Sprintf("term %d", s.term) }

func (s *session) record(e events.Event) { s.node.opts.Events.Record(e) }

func serverID(v fleet.Server) api.ServerID { return api.ServerID(v.ID) }

// start loads the open batches and starts the loops of the session.
func (s *session) start() {
	s.node.registry.ConfigureServices(s.node.isConfigured)
	LogRejectedServers(s.node.opts.Events, s.node.registry.Merge(s.serversNotInRegistry(), boottime.Now()))
	s.loadRegisteredVersions()
	s.loadLimits()
	s.loadSuspects()
	for _, d := range s.node.state.Departures() {
		s.node.registry.MarkLeaving(d.Server, d.Incarnation)
	}
	s.addOpenBatches()
	go s.scheduleLoop()
	go s.scoreLoop()
	go s.resultLoop()
	go s.progressLoop()
	go s.handOver()
	go s.loadLoop()
	go s.memberVersionLoop()
	if s.node.opts.Duties.ReportsUsage {
		go s.usageLoop()
		go s.usageReportLoop()
	}
	if s.node.opts.Duties.OrdersServers {
		go s.capacityLoop()
	}
}

// isConfigured reports whether the configuration names a service.
func (n *Node) isConfigured(service string) bool {
	c := n.state.Configuration()
	return c != nil && c.Service(service) != nil
}

// serversNotInRegistry returns the servers in the replicated state that the registry of this VM does not contain, as
// after a restart of all VMs. Once merged, they count as just heard from and become silent unless they announce
// themselves.
func (s *session) serversNotInRegistry() []fleet.Server {
	return slices.DeleteFunc(s.node.state.Servers(), func(v fleet.Server) bool {
		_, known := s.node.registry.Get(v.ID)
		return known
	})
}

// loadRegisteredVersions takes the weight versions of the engines from the replicated state, and in an uneven fleet their
// kinds: a new leader that measures all engines anew gives a third of its items to the slower kind.
func (s *session) loadRegisteredVersions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := s.node.state.Servers()
	var measured []scheduling.Engine
	for i := range servers {
		measured = append(measured, scheduling.Engine{KindInterval: servers[i].KindInterval})
	}
	uneven := scheduling.ComputeMedianIntervals(measured).Uneven
	for _, v := range servers {
		known, ok := s.node.registry.Get(v.ID)
		if !ok || known.Incarnation != v.Incarnation {
			continue
		}
		if e := s.engineFor(&v); uneven && v.KindInterval > 0 {
			e.kindInterval, e.baselineInterval, e.intervals = v.KindInterval, v.KindInterval, minKindIntervals
			e.recentIntervalAt = boottime.Now()
		}
	}
}

// addOpenBatches adds the batches that have not ended. It holds the mutex while it reads the replicated state: if the
// end of a batch is committed concurrently, dropBatch then runs after the batch was added.
func (s *session) addOpenBatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, open := range s.node.state.OpenBatches() {
		s.addBatch(open)
	}
}

// addBatch adds a batch unless it is known. The caller holds the mutex.
func (s *session) addBatch(open rollout.OpenBatch) {
	if s.batches[open.Batch.ID] != nil {
		return
	}
	b := &batch{Batch: open.Batch, groups: map[string]*group{}, addedAt: boottime.Now()}
	lifetime := defaultItemLifetime
	if c := s.node.state.Configuration(); c != nil {
		if r := c.Match(b.Host, b.Path); r != nil && r.ItemLifetime > 0 {
			lifetime = r.ItemLifetime
		}
	}
	b.giveUpAt = time.UnixMilli(b.Submitted).Add(lifetime + maxClockSkew)
	for i, item := range b.Items {
		b.meanLength += float64(item.LengthHint) / float64(len(b.Items))
		g := b.groups[item.Group]
		if g == nil {
			g = &group{index: len(b.groups), carriedOver: item.Group != "" && s.seenGroups[ownedID{b.Workspace, item.Group}]}
			b.groups[item.Group] = g
		}
		t := &task{batch: b, item: i, group: g, avoidUntil: map[string]time.Duration{}, waitingSince: b.addedAt, digest: digestOf(&b.Batch, &item)}
		t.suspected = s.lostServers(t, b.addedAt) > 0
		if open.HasResult[i] {
			t.state = taskFinished
		} else {
			g.unfinished++
		}
		if p, ok := open.Partials[i]; ok {
			t.text, t.events, t.versions, t.software, t.committedBytes = p.Text, p.Events, p.Versions, p.Software, len(p.Text)
			t.textComplete, t.completeCommitted = p.Complete, p.Complete
		}
		b.tasks = append(b.tasks, t)
	}
	for _, t := range b.tasks {
		if t.textComplete && t.state == taskWaiting {
			s.completeText(t)
		}
	}
	s.recordStepWork(b)
	s.reuseTexts(b)
	if len(s.seenGroups) > maxSeenGroups {
		clear(s.seenGroups) // a group recurs only in the next few steps
	}
	for name := range b.groups {
		if name != "" {
			s.seenGroups[ownedID{b.Workspace, name}] = true
		}
	}
	s.batches[b.ID] = b
	s.batchesByAge = append(s.batchesByAge, b)
	s.wakeScheduler()
}

// reuseTexts starts items that an earlier batch left unfinished from their existing text, if the batch allows the
// oldest weight version of the text. The caller holds the mutex.
func (s *session) reuseTexts(b *batch) {
	for _, t := range b.tasks {
		id := b.Items[t.item].ID
		owned := ownedID{b.Workspace, id}
		reusable, ok := s.reusableTexts[owned]
		if !ok || t.state != taskWaiting || t.events > 0 {
			continue
		}
		delete(s.reusableTexts, owned)
		if len(reusable.Versions) == 0 || reusable.Versions[0] < b.MinVersion {
			continue
		}
		t.text, t.events, t.versions, t.software = reusable.Text, reusable.Events, reusable.Versions, reusable.Software
		s.record(events.Event{
			Name: events.ItemReused, Request: id,
			Detail: fmt.Sprintf("batch %s, %d events of versions %v, complete %t", b.ID, reusable.Events, reusable.Versions, reusable.Complete),
		})
		if reusable.Complete {
			s.completeText(t) // a score that the text has from the earlier batch is not used again
		}
	}
}

// keepReusableTexts keeps the texts of the groups that an ending batch leaves unfinished. The caller holds the mutex.
func (s *session) keepReusableTexts(b *batch) {
	if len(s.reusableTexts) > maxReusableTexts {
		clear(s.reusableTexts) // a group recurs only in the next few steps
	}
	for _, t := range b.tasks {
		failed := t.state == taskFinished && !t.completed
		if t.group.unfinished > 0 && t.events > 0 && !failed && len(b.Items[t.item].Group) > 0 {
			s.reusableTexts[ownedID{b.Workspace, b.Items[t.item].ID}] = rollout.Partial{
				Text: slices.Clone(t.text), Events: t.events, Versions: slices.Clone(t.versions), Complete: t.textComplete, Software: t.software,
			}
		}
	}
}

// maxReusableTexts limits the memory of the kept texts to a few megabytes.
const maxReusableTexts = 1000

// maxSeenGroups limits the number of remembered groups; those of a few hundred steps fit.
const maxSeenGroups = 20000

// maxClockSkew is by how much, in the users' deployments, the clocks of two VMs may differ or one clock may jump. Items
// that are given up and batches that are deleted at a time of day are kept for this much longer.
const maxClockSkew = 5 * time.Second

// defaultItemLifetime applies to items whose route no longer exists.
const defaultItemLifetime = 40 * time.Second

// onApplied reacts to a committed command.
func (s *session) onApplied(c rollout.Command) {
	switch {
	case c.Accept != nil:
		s.mu.Lock()
		s.addBatch(rollout.OpenBatch{Batch: *c.Accept, HasResult: make([]bool, len(c.Accept.Items))})
		s.mu.Unlock()
	case c.EndBatch != "":
		s.dropBatch(c.EndBatch)
	case c.Publish != nil:
		s.mu.Lock()
		s.publishedAt[c.Publish.Model] = boottime.Now()
		s.mu.Unlock()
		s.wakeScheduler()
		s.wakeLoader()
	case c.Configure != nil:
		s.listConfiguredServers()
		s.wakeScheduler()
		s.wakeScorer()
		s.wakeLoader()
	case c.Depart != nil, c.Return != nil:
		s.signalServers()
	}
}

// dropBatch ends the work on a batch.
func (s *session) dropBatch(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batches[id]
	if b == nil {
		return
	}
	delete(s.batches, id)
	for i, other := range s.batchesByAge {
		if other == b {
			s.batchesByAge = append(s.batchesByAge[:i:i], s.batchesByAge[i+1:]...)
			break
		}
	}
	s.keepReusableTexts(b)
	for _, t := range b.tasks {
		if t.cancel != nil {
			t.cancel()
		}
		t.state = taskFinished
		delete(s.unscored, t)
	}
	for name := range b.groups {
		delete(s.promptCachedOn, promptKey(b, name))
	}
	s.wakeScheduler()
}

// wakeScheduler makes scheduleLoop check the waiting items.
func (s *session) wakeScheduler() {
	select {
	case s.schedulerWake <- struct{}{}:
	default:
	}
}

// wakeScorer makes scoreLoop check the texts that wait for a score.
func (s *session) wakeScorer() {
	select {
	case s.scorerWake <- struct{}{}:
	default:
	}
}

// wakeLoader makes loadLoop check the versions of the engines.
func (s *session) wakeLoader() {
	select {
	case s.loaderWake <- struct{}{}:
	default:
	}
}

func (s *session) serversChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversSignal
}

func (s *session) signalServers() {
	s.mu.Lock()
	close(s.serversSignal)
	s.serversSignal = make(chan struct{})
	s.mu.Unlock()
	s.wakeScheduler()
}

// expire removes servers that have been silent for too long, and batches past their retention. sinceLast is the time
// since the previous call.
func (s *session) expire(now, sinceLast time.Duration) {
	s.confirmCrashes(now)
	s.dropOldUploads(now)
	before := s.node.registry.Revision()
	var gone []rollout.ServerIncarnation
	for _, v := range s.node.registry.Expire(now, sinceLast) {
		s.record(events.Event{Name: events.ServerExpired, Server: serverID(v), Detail: "no announcement for too long"})
		gone = append(gone, rollout.ServerIncarnation{Server: v.ID, Incarnation: v.Incarnation})
		s.mu.Lock()
		delete(s.engines, v.ID)
		delete(s.readyAfterDeparture, v.ID)
		s.mu.Unlock()
	}
	if len(gone) > 0 {
		go s.commitCleanup(rollout.Command{Unregister: gone})
	}
	if len(gone) > 0 {
		s.node.limits.Retain(func(server string) bool { _, ok := s.node.registry.Get(server); return ok })
	}
	if s.node.registry.Revision() != before {
		s.signalServers()
	}
	if old := s.node.state.ExpiredBatches(time.Now().Add(-s.node.opts.Retention - maxClockSkew)); len(old) > 0 {
		go s.commitCleanup(rollout.Command{DeleteBatches: old})
	}
}

// commitCleanup commits a command that removes data that is no longer needed. A failed command is repeated by the next
// expire for batches, and by the next leader for servers.
func (s *session) commitCleanup(c rollout.Command) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, c); err != nil {
		s.node.opts.Events.Log().WithError(err).Info("cannot remove data that is no longer needed")
	}
}

// engineFor returns the state of a server's engine and creates it if necessary. The caller holds the mutex.
func (s *session) engineFor(v *fleet.Server) *engineState {
	e := s.engines[v.ID]
	if e == nil || e.incarnation != v.Incarnation {
		e = &engineState{incarnation: v.Incarnation, versions: map[string]uint64{}}
		s.engines[v.ID] = e
	}
	for _, m := range v.Models {
		e.versions[m.Name] = max(e.versions[m.Name], m.Version)
	}
	return e
}

// recordVersions records the weight versions that a server announced. It wakes the scheduler only if the announcement
// tells something new: a thousand servers announce themselves about as often in a second.
func (s *session) recordVersions(v fleet.Server) {
	s.mu.Lock()
	e := s.engines[v.ID]
	isNew := e == nil || e.incarnation != v.Incarnation
	for _, m := range v.Models {
		isNew = isNew || m.Version > e.versions[m.Name]
	}
	s.engineFor(&v)
	s.mu.Unlock()
	if isNew {
		s.wakeScheduler()
	}
}

func describeBatch(b *rollout.Batch, fresh bool) string {
	return fmt.Sprintf("step %d of %s, %d items, at least version %d, new %t", b.Step, b.Model, len(b.Items), b.MinVersion, fresh)
}

func describeVersions(sent, held uint64) string {
	return fmt.Sprintf("version %d, held %d", sent, held)
}

func describeModel(v rollout.ModelVersion) string {
	return fmt.Sprintf("%s version %d", v.Model, v.Version)
}

// candidates holds the engines that may run the items of a batch during one pass of the scheduler, and their servers and
// states in the same order.
type candidates struct {
	engines []scheduling.Engine
	servers []*fleet.Server
	states  []*engineState
}

// candidatesFor returns the candidates for the items of a batch. The caller holds the mutex.
func (s *session) candidatesFor(b *batch, servers []fleet.Server, now time.Duration) *candidates {
	c := &candidates{}
	for i := range servers {
		v := &servers[i]
		e := s.engineFor(v)
		if v.Leaving || e.blockedUntil > now || e.loadingModel != "" && e.loadingModel == b.Model {
			continue
		}
		if b.MinVersion > 0 && e.versions[b.Model] < b.MinVersion {
			continue
		}
		c.engines = append(c.engines, scheduling.Engine{
			ID: v.ID, Slots: max(v.Slots, 1), RecentInterval: e.usableRecentInterval(now), BaselineInterval: e.baselineInterval, KindInterval: e.kindInterval,
			Scarce: s.hasScarceRequests(v),
		})
		c.servers = append(c.servers, v)
		c.states = append(c.states, e)
	}
	return c
}

// hasScarceRequests reports whether an engine limits its requests to fewer than its slots can run. The caller holds the
// mutex.
func (s *session) hasScarceRequests(v *fleet.Server) bool {
	perSecond, limited := s.node.limits.Get(v.ID)
	return limited && perSecond*max(s.runTimes.seconds, minRunSeconds) < float64(max(v.Slots, 1))
}

// choose returns the index of the engine that should run an item, or -1 if the item should wait.
func (c *candidates) choose(s *session, t *task, limits *ratelimit.Allocator, medians scheduling.MedianIntervals, traits scheduling.ItemTraits, promptCachedOn string, now time.Duration) int {
	for i := range c.engines {
		e, state := &c.engines[i], c.states[i]
		e.Running, e.RunningLong = state.running, state.runningLong
		e.AtLimit = limits.Left(e.ID, now) == 0
		e.KeptForOther = s.runsOrWaitsAlone(e.ID, state, now) && state.alone != t
		e.OtherSoftware = !t.mayContinueOn(state.softwareOf(c.servers[i]))
		e.PromptCached = promptCachedOn == e.ID
		e.MeasuredLongAgo = now-state.recentIntervalAt > baselineLifetime
		e.Avoid = c.servers[i].Silent || state.failures > 0 || t.avoidUntil[e.ID] > now
	}
	return medians.ChooseEngine(c.engines, traits)
}

// promptKey identifies the prompt of the task's group.
func (t *task) promptKey() string { return promptKey(t.batch, t.batch.Items[t.item].Group) }

func promptKey(b *batch, group string) string { return b.ID + "/" + group }
