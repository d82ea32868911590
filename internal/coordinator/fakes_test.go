package coordinator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/ratelimit"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

const (
	testTimeout = 20 * time.Second
	// seedCount is the number of nodes that create the replication group.
	seedCount = 3
	// itemsPerGroup is the size of the groups of a submitted batch.
	itemsPerGroup = 4

	testService = "llm"
	testModel   = "m"
	testHost    = "h.example"
	// testHandoverDelay is Options.OrderHandoverDelay of the nodes.
	testHandoverDelay = 300 * time.Millisecond

	testScorerService      = "scorer"
	testOtherScorerService = "scorer-2"
)

// fakeEngines is an EngineClient with engines in memory. The output of an item depends only on its ID, as with a
// deterministic model.
type fakeEngines struct {
	mu            sync.Mutex
	versions      map[string]uint64 // by server
	sequence      map[string]uint64
	orders        []receivedOrder
	started       map[string]int       // number of runs by item
	resumedAfter  map[string]int       // highest event after which a run continued, by item
	unresponsive  map[string]bool      // servers that do not answer
	failingRuns   map[string]int       // number of next runs that fail on the server, by item
	unprocessable map[string]bool      // items that no engine can run
	lastEventAt   map[string]time.Time // when the last event of an item was generated
	activeStreams int                  // streams that are open
	streamsOn     map[string]int       // streams that are open, by server
	eventsPerItem int
	eventInterval time.Duration  // time between events
	slowdown      map[string]int // factor of the event interval, by server
	limits        map[string]ratelimit.Statement
	brokenTexts   map[string]bool      // items of which a run broke after an event
	crashing      map[string]bool      // items that crash each engine before their first event
	crashedUntil  map[string]time.Time // by server
	crashes       []engineCrash
	bodies        map[string]uint64 // hash of the body of the last run, by item
	software      map[string]string // announced version of the server's software, which marks the events if it is set
}

// engineCrash is the crash of an engine by an item, beside a number of other runs.
type engineCrash struct {
	item   string
	at     time.Time
	others int
}

// crashDuration is how long an engine is down after a crash.
const crashDuration = 300 * time.Millisecond

type receivedOrder struct {
	server, holder string
	version, token uint64
	at             time.Time
	timeLeft       time.Duration // until the order is aborted
	permitted      bool
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{
		versions: map[string]uint64{}, sequence: map[string]uint64{}, started: map[string]int{}, resumedAfter: map[string]int{}, bodies: map[string]uint64{},
		unresponsive: map[string]bool{}, slowdown: map[string]int{}, failingRuns: map[string]int{}, unprocessable: map[string]bool{}, lastEventAt: map[string]time.Time{}, eventsPerItem: 5, eventInterval: time.Millisecond, limits: map[string]ratelimit.Statement{}, software: map[string]string{}, crashing: map[string]bool{}, brokenTexts: map[string]bool{}, streamsOn: map[string]int{}, crashedUntil: map[string]time.Time{},
	}
}

var errUnresponsive = errors.New("no response")

func (f *fakeEngines) Start(ctx context.Context, v fleet.Server, g GenerationRequest) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[v.ID] {
		return nil, &RunError{Kind: EngineUnreachable, Err: errUnresponsive}
	}
	if time.Now().Before(f.crashedUntil[v.ID]) {
		return nil, &RunError{Kind: EngineUnreachable, Err: errUnresponsive}
	}
	body, err := io.ReadAll(g.Body.Reader())
	if err != nil {
		return nil, &RunError{Kind: EngineUnreachable, Err: err}
	}
	f.started[g.ID]++
	f.bodies[g.ID] = xxhash.Sum64(body)
	if f.crashing[g.ID] {
		f.crashes = append(f.crashes, engineCrash{g.ID, time.Now(), f.streamsOn[v.ID]})
		f.crashedUntil[v.ID] = time.Now().Add(crashDuration)
		return nil, &RunError{Kind: StreamBroken, Err: errUnresponsive, ConnectionLost: true}
	}
	f.resumedAfter[g.ID] = max(f.resumedAfter[g.ID], g.AfterEvent)
	if f.unprocessable[g.ID] {
		return nil, &RunError{Kind: RequestUnprocessable, Err: errUnresponsive}
	}
	if f.failingRuns[g.ID] > 0 {
		f.failingRuns[g.ID]--
		return nil, &RunError{Kind: GenerationFailed, Err: errUnresponsive}
	}
	f.activeStreams++
	f.streamsOn[v.ID]++
	return &fakeStream{engines: f, ctx: ctx, server: v.ID, id: g.ID, nextEvent: g.AfterEvent + 1}, nil
}

// Probe implements forward.Prober.
func (f *fakeEngines) Probe(_ context.Context, v fleet.Server) forward.Liveness {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[v.ID] {
		return forward.NoResponse
	}
	if time.Now().Before(f.crashedUntil[v.ID]) {
		return forward.NotAccepted
	}
	return forward.Accepting
}

func (f *fakeEngines) version(server string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.versions[server], 1)
}

func (f *fakeEngines) limit(server string) ratelimit.Statement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.limits[server]; ok {
		return s
	}
	return ratelimit.Statement{Kind: ratelimit.Unlimited}
}

func (f *fakeEngines) Report(_ context.Context, v fleet.Server) (EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[v.ID] {
		return EngineReport{}, errUnresponsive
	}
	return EngineReport{Models: []fleet.LoadedModel{{Name: testModel, Version: max(f.versions[v.ID], 1)}}, Sequence: f.sequence[v.ID]}, nil
}

func (f *fakeEngines) Load(ctx context.Context, v fleet.Server, o LoadOrder) (OrderResult, error) {
	order := receivedOrder{server: v.ID, holder: o.Holder, version: o.Version, token: o.FencingToken, at: time.Now(), permitted: o.Permitted()}
	if deadline, ok := ctx.Deadline(); ok {
		order.timeLeft = time.Until(deadline)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[v.ID] {
		return OrderRefused, errUnresponsive
	}
	f.orders = append(f.orders, order)
	if o.ExpectedSequence != f.sequence[v.ID] {
		return OrderConflict, nil
	}
	f.sequence[v.ID]++
	f.versions[v.ID] = o.Version
	return OrderAccepted, nil
}

type fakeStream struct {
	engines    *fakeEngines
	ctx        context.Context
	server, id string
	nextEvent  int
}

func (s *fakeStream) Version() uint64 { return s.engines.version(s.server) }

func (s *fakeStream) Limit() ratelimit.Statement { return s.engines.limit(s.server) }

func (s *fakeStream) Next() (StreamEvent, error) {
	s.engines.mu.Lock()
	unresponsive, last := s.engines.unresponsive[s.server] || time.Now().Before(s.engines.crashedUntil[s.server]), s.engines.eventsPerItem
	interval := s.engines.eventInterval * time.Duration(max(s.engines.slowdown[s.server], 1))
	s.engines.mu.Unlock()
	select {
	case <-s.ctx.Done():
		return StreamEvent{}, s.ctx.Err()
	case <-time.After(interval):
	}
	if unresponsive {
		if s.nextEvent > 1 {
			s.engines.mu.Lock()
			s.engines.brokenTexts[s.id] = true
			s.engines.mu.Unlock()
		}
		return StreamEvent{}, &RunError{Kind: StreamBroken, Err: errUnresponsive}
	}
	if s.nextEvent > last {
		return StreamEvent{}, io.EOF
	}
	ev := StreamEvent{Number: s.nextEvent, Data: eventText(s.id, s.nextEvent), Version: s.engines.version(s.server)}
	s.engines.mu.Lock()
	if software := s.engines.software[s.server]; software != "" {
		ev.Data = append(ev.Data, softwareMark+software...)
	}
	s.engines.lastEventAt[s.id] = time.Now()
	s.engines.mu.Unlock()
	s.nextEvent++
	return ev, nil
}

func (s *fakeStream) Close() {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	s.engines.activeStreams--
	s.engines.streamsOn[s.server]--
}

// softwareMark separates the text of an event from the software version that generated it.
const softwareMark = " by "

func eventText(id string, number int) []byte { return fmt.Appendf(nil, "%s/%d", id, number) }

func fullText(id string, events int) string {
	var parts []string
	for i := 1; i <= events; i++ {
		parts = append(parts, string(eventText(id, i)))
	}
	return strings.Join(parts, "\n")
}

// cluster is a replication group of nodes in this process, which communicate over the loopback interface.
type cluster struct {
	t       *testing.T
	engines *fakeEngines
	scorers *fakeScorers
	// enginesIgnoreFencing is the opposite of Options.EnginesEnforceFencing of the nodes that start.
	enginesIgnoreFencing bool
	duties               DutyOptions

	mu        sync.Mutex // guards nodes and stops
	nodes     []*Node
	stops     []context.CancelFunc
	done      []chan struct{}
	dataDirs  []string
	addresses []string
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := newCluster(t, size)
	c.startAll()
	return c
}

// newCluster returns a cluster whose nodes are not started.
func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, engines: newFakeEngines(), scorers: newFakeScorers()}
	for range size {
		c.addresses = append(c.addresses, unusedAddress(t))
		c.dataDirs = append(c.dataDirs, t.TempDir())
	}
	c.nodes = make([]*Node, size)
	c.stops = make([]context.CancelFunc, size)
	c.done = make([]chan struct{}, size)
	return c
}

// drawnPorts are the ports that unusedAddress has returned. A port that was returned is free until its node starts, so that it
// could be drawn for another node of the cluster too.
var drawnPorts sync.Map

// unusedAddress returns an address whose port no outgoing connection of any process gets: the kernel chooses those from
// 32768 on. A port that is free between two starts of a node could otherwise be taken.
func unusedAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports, attempts = 20000, 12000, 100
	var err error
	for range attempts {
		port := firstPort + rand.IntN(ports)
		if _, drawn := drawnPorts.LoadOrStore(port, true); drawn {
			continue
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	t.Fatalf("no free port in %d attempts, the last: %v", attempts, err)
	return ""
}

func (c *cluster) startAll() {
	c.t.Helper()
	for i := range c.nodes {
		c.start(i, true)
	}
	c.t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
}

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	name := fmt.Sprintf("vm-%d", i)
	n, err := New(Options{
		Name: name, FailureDomain: fmt.Sprintf("zone-%d", i), Address: c.addresses[i], Seeds: c.addresses[:seedCount], Bootstrap: bootstrap,
		DataDir: c.dataDirs[i], FaultTolerance: 1, AnnounceInterval: 200 * time.Millisecond, OrderHandoverDelay: testHandoverDelay,
		EnginesEnforceFencing: !c.enginesIgnoreFencing, Retention: time.Minute, EngineClient: c.engines, Exchanger: c.scorers,
		Events: events.NewLogRecorder(api.VMID(name), io.Discard), Duties: c.duties, Fatal: func(err error) { c.t.Error(err) },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.mu.Lock()
	c.nodes[i], c.stops[i], c.done[i] = n, stop, done
	c.mu.Unlock()
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
}

func (c *cluster) stop(i int) {
	c.mu.Lock()
	stop, done := c.stops[i], c.done[i]
	c.stops[i] = nil
	c.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

// runningNodes returns the running nodes by index.
func (c *cluster) runningNodes() map[int]*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]*Node{}
	for i, n := range c.nodes {
		if c.stops[i] != nil {
			out[i] = n
		}
	}
	return out
}

// waitUntil repeats check until it returns true, and fails the test after testTimeout. what describes the awaited
// condition.
func (c *cluster) waitUntil(what string, check func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("timed out after %s waiting for %s", testTimeout, what)
}

// leader returns the index of the node that is the leader, and waits until there is one.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.waitUntil("a leader", func() bool {
		for i, n := range c.runningNodes() {
			if _, err := n.currentSession(); err == nil {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// callLeader calls f with the leader until f succeeds.
func (c *cluster) callLeader(what string, f func(ctx context.Context, n *Node) error) {
	c.t.Helper()
	c.waitUntil(what, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f(ctx, c.nodes[c.leader()]) == nil
	})
}

// configure commits a configuration with the route of the batches and the given other routes.
func (c *cluster) configure(version uint64, other ...routes.Route) {
	c.t.Helper()
	c.callLeader("the commit of the configuration", func(ctx context.Context, n *Node) error {
		return n.Configure(ctx, &routes.Configuration{
			Version: version, Document: fmt.Appendf(nil, "v%d", version),
			Services: []routes.Service{{Name: testService, Models: []string{testModel}}, {Name: testScorerService}, {Name: testOtherScorerService}},
			Routes: append([]routes.Route{{
				Name: "r", Host: testHost, Prefix: "/p/", Kind: routes.Rollout, MaxAttempts: 2, ItemLifetime: time.Minute,
				ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}},
			}}, other...),
		})
	})
}

// announceServers announces count servers repeatedly until the test ends.
func (c *cluster) announceServers(count, slots int) {
	c.t.Helper()
	c.announceService(testService, "s", count, slots)
}

// announceService announces count servers of a service, whose IDs begin with prefix, repeatedly until the test ends.
func (c *cluster) announceService(service, prefix string, count, slots int) {
	c.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	c.t.Cleanup(func() { stop(); wg.Wait() })
	wg.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for s := range count {
				id := fmt.Sprintf("%s%d", prefix, s)
				v := fleet.Server{
					ID: id, Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", prefix[0], s), FailureDomain: "z", Incarnation: 1, Sequence: sequence, Slots: slots,
				}
				c.engines.mu.Lock()
				v.Software = cmp.Or(c.engines.software[id], "v0")
				c.engines.mu.Unlock()
				if service == testService {
					v.Models = []fleet.LoadedModel{{Name: testModel, Version: c.engines.version(id)}}
				}
				for _, n := range c.runningNodes() {
					callCtx, cancel := context.WithTimeout(ctx, time.Second)
					_, err := n.Announce(callCtx, v)
					cancel()
					if err == nil {
						break
					}
				}
			}
			sleep(ctx, 100*time.Millisecond)
		}
	})
}

func (c *cluster) submitBatch(id string, items int, minVersion uint64) *rollout.Batch {
	c.t.Helper()
	return c.submit(newBatch(id, items, minVersion))
}

func newBatch(id string, items int, minVersion uint64) *rollout.Batch {
	b := &rollout.Batch{ID: id, Host: testHost, Path: "/p/x", Model: testModel, MinVersion: minVersion}
	for i := range items {
		b.Items = append(b.Items, rollout.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/i", Body: []byte("body"), Group: fmt.Sprintf("%s-g%d", id, i/itemsPerGroup)})
	}
	return b
}

func (c *cluster) submit(b *rollout.Batch) *rollout.Batch {
	c.t.Helper()
	c.callLeader("the submission of the batch", func(ctx context.Context, n *Node) error {
		_, err := callLeader(ctx, n, MethodSubmitBatch, (*session).submit, b)
		return err
	})
	return b
}

func (c *cluster) readBatch(id string) (rollout.Page, bool) {
	n := c.nodes[c.leader()]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := callLeader(ctx, n, MethodReadBatch, (*session).read, ReadBatchRequest{Batch: id, MaxBytes: 1 << 20})
	return r.Page, err == nil && r.Found
}

// waitForResults reads until the batch has n results.
func (c *cluster) waitForResults(id string, n int) rollout.Page {
	c.t.Helper()
	var page rollout.Page
	c.waitUntil(fmt.Sprintf("%d results of %s", n, id), func() bool {
		p, found := c.readBatch(id)
		page = p
		return found && len(p.Results) >= n
	})
	return page
}
