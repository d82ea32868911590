package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/scheduling"
)

// session is the work of one leadership. It ends with the lease.
type session struct {
	node *Node
	ctx  context.Context // ends with the leadership
	term uint64

	mu      sync.Mutex
	batches map[string]*batch
	order   []*batch        // oldest first
	seen    map[string]bool // groups of earlier batches
	engines map[string]*engine
	running int           // items that run
	stalls  stallWatch    // of this process
	signal  chan struct{} // closed when the servers change
	records chan rollout.BatchResult
	wake    chan struct{}     // asks for a look at the waiting items
	orders  chan struct{}     // asks for a look at the weights
	homes   map[string]string // prompt group to the engine that has read it
	// published is when the newest version of each model was named in this leadership.
	published map[string]time.Duration
	// leftovers are the texts of unfinished groups of ended batches, by item.
	leftovers map[string]leftover
}

// batch is an open batch.
type batch struct {
	rollout.Batch
	tasks    []*task
	groups   map[string]*group
	deadline time.Time // when the items may be given up
	// meanLength is the mean of the length hints, in tokens.
	meanLength float64
	addedAt    time.Duration // boot time at which this leader took it up
}

// group counts the items of a group.
type group struct {
	index   int
	missing int
	carried bool
}

// states of a task.
type taskState int

const (
	waiting taskState = iota
	running
	finished
)

// task is one item on its way to a result.
type task struct {
	batch *batch
	item  int
	group *group
	state taskState

	engine    string // while it runs
	cancel    context.CancelFunc
	startedAt time.Duration
	eventAt   time.Duration            // of the last event of the present run
	failures  int                      // runs that the server failed itself
	avoid     map[string]time.Duration // engines to avoid, until when
	moved     bool                     // the present run is being ended to go on elsewhere
	// startedLong is true if the item counts as a long one at the engine of the present run.
	startedLong bool

	text     []byte
	events   int
	versions []uint64
	// committed is how many bytes of the text are in the replicated state.
	committed int
	restarts  int  // how often the text was dropped
	completed bool // the text is whole
}

// reset drops the text: the item starts again.
func (t *task) reset() {
	t.text, t.events, t.versions, t.committed = nil, 0, nil, 0
	t.restarts++
}

// leftover is the text of an item of an ended batch. The item may come again in a later one.
type leftover struct {
	rollout.Partial
	whole bool
}

// engine is what the leader knows of an engine besides its announcements.
type engine struct {
	born          int64
	running       int
	long          int // items among the running ones that were long at their start
	versions      map[string]uint64
	pace          float64       // moving average of the time between events, ms
	paceAt        time.Duration // of the last measurement
	steady        float64       // median of the time between events without the engine's own load, ms
	blocked       time.Duration // nothing is sent until then
	failures      int           // in a row
	model         string        // that it is assigned to
	loading       string        // model that an order is being carried out for
	sequence      uint64
	known         bool          // sequence is known
	orderAt       time.Duration // the next order goes out no earlier
	orderFailures int
}

// recordQueue bounds the results that wait to be committed.
const recordQueue = 4096

func newSession(n *Node, ctx context.Context, term uint64) *session {
	return &session{
		node: n, ctx: ctx, term: term,
		batches: map[string]*batch{}, seen: map[string]bool{}, engines: map[string]*engine{}, homes: map[string]string{},
		leftovers: map[string]leftover{}, published: map[string]time.Duration{},
		signal: make(chan struct{}), records: make(chan rollout.BatchResult, recordQueue),
		wake: make(chan struct{}, 1), orders: make(chan struct{}, 1),
	}
}

func (s *session) describe() string { return fmt.Sprintf("term %d", s.term) }

func (s *session) record(e events.Event) { s.node.opts.Events.Record(e) }

func serverID(v fleet.Server) api.ServerID { return api.ServerID(v.ID) }

// start loads the open batches and begins to work.
func (s *session) start() {
	s.node.registry.Merge(s.unknownServers(), boottime.Now())
	s.learnVersions()
	for _, d := range s.node.state.Departures() {
		s.node.registry.MarkLeaving(d.Server, d.Incarnation)
	}
	s.addOpen()
	go s.scheduleLoop()
	go s.recordLoop()
	go s.progressLoop()
	go s.weightsLoop()
}

// unknownServers returns the registered servers that this VM has not heard of, as after a restart of all VMs. They
// count as heard now and fall silent unless they announce themselves.
func (s *session) unknownServers() []fleet.Server {
	return slices.DeleteFunc(s.node.state.Servers(), func(v fleet.Server) bool {
		_, known := s.node.registry.Get(v.ID)
		return known
	})
}

// learnVersions takes the versions that the replicated state has of the engines.
func (s *session) learnVersions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.node.state.Servers() {
		if known, ok := s.node.registry.Get(v.ID); ok && known.Incarnation == v.Incarnation {
			s.engineOf(&v)
		}
	}
}

// addOpen takes up the batches that are not ended. It holds the mutex over the look at the state, so that the end of a
// batch which is committed meanwhile drops the batch after it was added.
func (s *session) addOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, open := range s.node.state.OpenBatches() {
		s.add(open)
	}
}

// add takes a batch up, unless it is known. The caller holds the mutex.
func (s *session) add(open rollout.OpenBatch) {
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
	b.deadline = time.UnixMilli(b.Submitted).Add(lifetime + clockMargin)
	for i, item := range b.Items {
		b.meanLength += float64(item.LengthHint) / float64(len(b.Items))
		g := b.groups[item.Group]
		if g == nil {
			g = &group{index: len(b.groups), carried: item.Group != "" && s.seen[item.Group]}
			b.groups[item.Group] = g
		}
		t := &task{batch: b, item: i, group: g, avoid: map[string]time.Duration{}}
		if open.HasResult[i] {
			t.state = finished
		} else {
			g.missing++
		}
		if p, ok := open.Partials[i]; ok {
			t.text, t.events, t.versions, t.committed = p.Text, p.Events, p.Versions, len(p.Text)
		}
		b.tasks = append(b.tasks, t)
	}
	s.reuse(b)
	if len(s.seen) > mostSeenGroups {
		clear(s.seen) // a group comes again in the next steps or never
	}
	for name := range b.groups {
		if name != "" {
			s.seen[name] = true
		}
	}
	s.batches[b.ID] = b
	s.order = append(s.order, b)
	s.poke()
}

// reuse starts items that were unfinished in an earlier batch from the text that is left of them, if its versions are
// allowed here. The caller holds the mutex.
func (s *session) reuse(b *batch) {
	for _, t := range b.tasks {
		id := b.Items[t.item].ID
		left, ok := s.leftovers[id]
		if !ok || t.state != waiting || t.events > 0 {
			continue
		}
		delete(s.leftovers, id)
		if len(left.Versions) == 0 || left.Versions[0] < b.MinVersion {
			continue
		}
		t.text, t.events, t.versions = left.Text, left.Events, left.Versions
		s.record(events.Event{
			Name: events.ItemReused, Request: id,
			Detail: fmt.Sprintf("batch %s, %d events of versions %v, whole %t", b.ID, left.Events, left.Versions, left.whole),
		})
		if left.whole {
			s.finish(t, rollout.Result{Item: t.item, Completed: true, Text: t.text, Versions: t.versions})
		}
	}
}

// keepLeftovers keeps the texts of the groups that an ending batch leaves unfinished. The caller holds the mutex.
func (s *session) keepLeftovers(b *batch) {
	if len(s.leftovers) > mostLeftovers {
		clear(s.leftovers) // groups come again in the next steps or never
	}
	for _, t := range b.tasks {
		failed := t.state == finished && !t.completed
		if t.group.missing > 0 && t.events > 0 && !failed && len(b.Items[t.item].Group) > 0 {
			s.leftovers[b.Items[t.item].ID] = leftover{
				Partial: rollout.Partial{Text: slices.Clone(t.text), Events: t.events, Versions: slices.Clone(t.versions)},
				whole:   t.completed,
			}
		}
	}
}

// mostLeftovers bounds the kept texts to some megabytes.
const mostLeftovers = 1000

// mostSeenGroups bounds the record of groups; it holds those of some hundred steps.
const mostSeenGroups = 20000

// clockMargin is by how much the time of day of two VMs may differ or jump: the users' deployments allow 5 s. What is
// given up or forgotten by the time of day is so this much later.
const clockMargin = 5 * time.Second

// defaultItemLifetime applies to items whose route is gone.
const defaultItemLifetime = 40 * time.Second

// applied takes note of a committed command.
func (s *session) applied(c rollout.Command) {
	switch {
	case c.Accept != nil:
		s.mu.Lock()
		s.add(rollout.OpenBatch{Batch: *c.Accept, HasResult: make([]bool, len(c.Accept.Items))})
		s.mu.Unlock()
	case c.EndBatch != "":
		s.drop(c.EndBatch)
	case c.Publish != nil:
		s.mu.Lock()
		s.published[c.Publish.Model] = boottime.Now()
		s.mu.Unlock()
		s.poke()
		s.pokeOrders()
	case c.Configure != nil:
		s.poke()
		s.pokeOrders()
	case c.Depart != nil:
		s.signalServers()
	}
}

// drop ends the work on a batch.
func (s *session) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batches[id]
	if b == nil {
		return
	}
	delete(s.batches, id)
	for i, other := range s.order {
		if other == b {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
			break
		}
	}
	s.keepLeftovers(b)
	for _, t := range b.tasks {
		if t.state == running {
			t.cancel()
		}
		t.state = finished
	}
	for name := range b.groups {
		delete(s.homes, homeKey(b, name))
	}
	s.poke()
}

// poke asks for a look at the waiting items.
func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) pokeOrders() {
	select {
	case s.orders <- struct{}{}:
	default:
	}
}

func (s *session) serversChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.signal
}

func (s *session) signalServers() {
	s.mu.Lock()
	close(s.signal)
	s.signal = make(chan struct{})
	s.mu.Unlock()
	s.poke()
}

// expire looks for silent servers and for batches past their retention.
func (s *session) expire(now, sinceLast time.Duration) {
	before := s.node.registry.Revision()
	var gone []rollout.ServerIncarnation
	for _, v := range s.node.registry.Expire(now, sinceLast) {
		s.record(events.Event{Name: events.ServerExpired, Server: serverID(v), Detail: "not heard of for long"})
		gone = append(gone, rollout.ServerIncarnation{Server: v.ID, Incarnation: v.Incarnation})
		s.mu.Lock()
		delete(s.engines, v.ID)
		s.mu.Unlock()
	}
	if len(gone) > 0 {
		go s.tidy(rollout.Command{Unregister: gone})
	}
	if s.node.registry.Revision() != before {
		s.signalServers()
	}
	if old := s.node.state.ExpiredBatches(time.Now().Add(-s.node.opts.Retention - clockMargin)); len(old) > 0 {
		go s.tidy(rollout.Command{DeleteBatches: old})
	}
}

// tidy commits a command that removes what is no longer needed. If it fails, the next look repeats it.
func (s *session) tidy(c rollout.Command) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, c); err != nil {
		s.node.opts.Events.Log().WithError(err).Info("what is no longer needed is removed later")
	}
}

// engineOf returns what is known of a server's engine. The caller holds the mutex.
func (s *session) engineOf(v *fleet.Server) *engine {
	e := s.engines[v.ID]
	if e == nil || e.born != v.Incarnation {
		e = &engine{born: v.Incarnation, versions: map[string]uint64{}}
		s.engines[v.ID] = e
	}
	for _, m := range v.Models {
		e.versions[m.Name] = max(e.versions[m.Name], m.Version)
	}
	return e
}

// heard takes the versions that a server announces.
func (s *session) heard(v fleet.Server) {
	s.mu.Lock()
	s.engineOf(&v)
	s.mu.Unlock()
	s.poke()
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

// candidates returns the engines that may run an item, and their servers in the same order. The caller holds the
// mutex.
func (s *session) candidates(t *task, servers []fleet.Server, now time.Duration) ([]scheduling.Engine, []*fleet.Server) {
	var list []scheduling.Engine
	var of []*fleet.Server
	home := s.homes[t.homeKey()]
	for i := range servers {
		v := &servers[i]
		e := s.engineOf(v)
		if v.Leaving || e.blocked > now || e.loading != "" && e.loading == t.batch.Model {
			continue
		}
		if t.batch.MinVersion > 0 && e.versions[t.batch.Model] < t.batch.MinVersion {
			continue
		}
		list = append(list, scheduling.Engine{
			ID: v.ID, Slots: max(v.Slots, 1), Running: e.running, RunningLong: e.long, RecentInterval: e.recentPace(now), BaselineInterval: e.steady,
			PromptCached: home == v.ID, Avoid: v.Silent || t.avoid[v.ID] > now || e.failures > 0,
		})
		of = append(of, v)
	}
	return list, of
}

// homeKey names the prompt of a task's group.
func (t *task) homeKey() string { return homeKey(t.batch, t.batch.Items[t.item].Group) }

func homeKey(b *batch, group string) string { return b.ID + "/" + group }
