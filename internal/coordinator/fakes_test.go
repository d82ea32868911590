package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

const (
	patience = 20 * time.Second
	service  = "llm"
	model    = "m"
	host     = "h.example"
)

// fakeEngines are engines in memory. The text of an item depends on its ID only, as with a deterministic model.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]uint64 // by server
	sequence map[string]uint64
	orders   []order
	started  map[string]int  // runs by item
	resumed  map[string]int  // highest event that a run went on from, by item
	dead     map[string]bool // servers that answer nothing
	fail     map[string]int  // items: how many runs the server fails itself
	refuse   map[string]bool // items that no engine can run
	active   int             // streams that run
	events   int             // of each item
	pace     time.Duration   // between events
	slow     map[string]int  // servers: how many times slower they are
}

type order struct {
	server, holder string
	version, token uint64
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{
		versions: map[string]uint64{}, sequence: map[string]uint64{}, started: map[string]int{}, resumed: map[string]int{},
		dead: map[string]bool{}, slow: map[string]int{}, fail: map[string]int{}, refuse: map[string]bool{}, events: 5, pace: time.Millisecond,
	}
}

var errDead = errors.New("no answer")

func (f *fakeEngines) Start(ctx context.Context, v fleet.Server, g GenerationRequest) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[v.ID] {
		return nil, &RunError{Kind: EngineUnreachable, Err: errDead}
	}
	f.started[g.ID]++
	f.resumed[g.ID] = max(f.resumed[g.ID], g.AfterEvent)
	if f.refuse[g.ID] {
		return nil, &RunError{Kind: RequestUnprocessable, Err: errDead}
	}
	if f.fail[g.ID] > 0 {
		f.fail[g.ID]--
		return nil, &RunError{Kind: GenerationFailed, Err: errDead}
	}
	f.active++
	return &fakeStream{f: f, ctx: ctx, server: v.ID, id: g.ID, next: g.AfterEvent + 1}, nil
}

func (f *fakeEngines) version(server string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.versions[server], 1)
}

func (f *fakeEngines) Report(_ context.Context, v fleet.Server) (EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[v.ID] {
		return EngineReport{}, errDead
	}
	return EngineReport{Models: []fleet.LoadedModel{{Name: model, Version: max(f.versions[v.ID], 1)}}, Sequence: f.sequence[v.ID]}, nil
}

func (f *fakeEngines) Load(_ context.Context, v fleet.Server, o LoadOrder) (OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[v.ID] {
		return OrderRefused, errDead
	}
	f.orders = append(f.orders, order{v.ID, o.Holder, o.Version, o.FencingToken})
	if o.ExpectedSequence != f.sequence[v.ID] {
		return OrderConflict, nil
	}
	f.sequence[v.ID]++
	f.versions[v.ID] = o.Version
	return OrderAccepted, nil
}

type fakeStream struct {
	f          *fakeEngines
	ctx        context.Context
	server, id string
	next       int
}

func (s *fakeStream) Version() uint64 { return s.f.version(s.server) }

func (s *fakeStream) Next() (StreamEvent, error) {
	s.f.mu.Lock()
	dead, last := s.f.dead[s.server], s.f.events
	pace := s.f.pace * time.Duration(max(s.f.slow[s.server], 1))
	s.f.mu.Unlock()
	select {
	case <-s.ctx.Done():
		return StreamEvent{}, s.ctx.Err()
	case <-time.After(pace):
	}
	if dead {
		return StreamEvent{}, &RunError{Kind: StreamBroken, Err: errDead}
	}
	if s.next > last {
		return StreamEvent{}, io.EOF
	}
	ev := StreamEvent{Number: s.next, Data: eventText(s.id, s.next), Version: s.f.version(s.server)}
	s.next++
	return ev, nil
}

func (s *fakeStream) Close() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.active--
}

func eventText(id string, number int) []byte { return fmt.Appendf(nil, "%s/%d", id, number) }

func wholeText(id string, events int) string {
	var parts []string
	for i := 1; i <= events; i++ {
		parts = append(parts, string(eventText(id, i)))
	}
	return strings.Join(parts, "\n")
}

// cluster is a group of nodes in this process, over loopback.
type cluster struct {
	t       *testing.T
	engines *fakeEngines
	mu      sync.Mutex // guards nodes and stops
	nodes   []*Node
	stops   []context.CancelFunc
	done    []chan struct{}
	folders []string
	address []string
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, engines: newFakeEngines()}
	for range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.address = append(c.address, ln.Addr().String())
		ln.Close()
		c.folders = append(c.folders, t.TempDir())
	}
	c.nodes = make([]*Node, size)
	c.stops = make([]context.CancelFunc, size)
	c.done = make([]chan struct{}, size)
	for i := range size {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	name := fmt.Sprintf("vm-%d", i)
	n, err := New(Options{
		Name: name, FailureDomain: fmt.Sprintf("zone-%d", i), Address: c.address[i], Seeds: c.address[:3], Bootstrap: bootstrap,
		DataDir: c.folders[i], FaultTolerance: 1, AnnounceInterval: 200 * time.Millisecond, OrderHandoverDelay: 300 * time.Millisecond,
		EnginesEnforceFencing: true, Retention: time.Minute, EngineClient: c.engines,
		Events: events.NewLogRecorder(api.VMID(name), io.Discard), Fatal: func(err error) { c.t.Error(err) },
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

// running returns the nodes that run, by index.
func (c *cluster) running() map[int]*Node {
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

// eventually repeats check until it reports true.
func (c *cluster) eventually(what string, check func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("not within %s: %s", patience, what)
}

// leader returns the index of the node that leads.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.eventually("a leader", func() bool {
		for i, n := range c.running() {
			if _, err := n.current(); err == nil {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// call runs f on the leader until it succeeds.
func (c *cluster) call(what string, f func(ctx context.Context, n *Node) error) {
	c.t.Helper()
	c.eventually(what, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f(ctx, c.nodes[c.leader()]) == nil
	})
}

func (c *cluster) configure(version uint64) {
	c.t.Helper()
	c.call("a configuration", func(ctx context.Context, n *Node) error {
		return n.Configure(ctx, &routes.Configuration{
			Version: version, Document: fmt.Appendf(nil, "v%d", version), Services: []routes.Service{{Name: service, Models: []string{model}}},
			Routes: []routes.Route{{
				Name: "r", Host: host, Prefix: "/p/", Kind: routes.Rollout, MaxAttempts: 2, ItemLifetime: time.Minute,
				ServiceWeights: []routes.ServiceWeight{{Service: service, Weight: 1}},
			}},
		})
	})
}

// announce registers servers and keeps announcing them until the test ends.
func (c *cluster) announce(count, slots int) {
	c.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	c.t.Cleanup(func() { stop(); wg.Wait() })
	wg.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for s := range count {
				id := fmt.Sprintf("s%d", s)
				v := fleet.Server{
					ID: id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", s), FailureDomain: "z", Incarnation: 1, Sequence: sequence, Slots: slots,
					Models: []fleet.LoadedModel{{Name: model, Version: c.engines.version(id)}},
				}
				for _, n := range c.running() {
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

func (c *cluster) submit(id string, items int, minVersion uint64) *rollout.Batch {
	c.t.Helper()
	b := &rollout.Batch{ID: id, Host: host, Path: "/p/x", Model: model, MinVersion: minVersion}
	for i := range items {
		b.Items = append(b.Items, rollout.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/i", Body: []byte("body"), Group: fmt.Sprintf("%s-g%d", id, i/4)})
	}
	c.call("the batch", func(ctx context.Context, n *Node) error {
		_, err := byLeader(ctx, n, MethodSubmitBatch, (*session).submit, b)
		return err
	})
	return b
}

func (c *cluster) read(id string) (rollout.Page, bool) {
	n := c.nodes[c.leader()]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := byLeader(ctx, n, MethodReadBatch, (*session).read, ReadBatchRequest{Batch: id, MaxBytes: 1 << 20})
	return r.Page, err == nil && r.Found
}

// await reads until the batch has n results.
func (c *cluster) await(id string, n int) rollout.Page {
	c.t.Helper()
	var page rollout.Page
	c.eventually(fmt.Sprintf("%d results of %s", n, id), func() bool {
		p, found := c.read(id)
		page = p
		return found && len(p.Results) >= n
	})
	return page
}
