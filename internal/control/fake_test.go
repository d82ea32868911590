package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

// fakeCluster is an in-memory consensus group: one log, one leader, and replicas that may apply the log late. It
// commits each proposal exactly once, and on request loses the response to a committed one.
type fakeCluster struct {
	mu               sync.Mutex
	log              [][]byte
	leader           int
	members          []*fakeReplica
	loseNextResponse bool
	afterLoss        func()          // called with mu locked when a response is lost
	cut              map[string]bool // addresses that cannot be reached
	beforeRequest    func()          // called before each proposal and read index, without mu
}

type fakeReplica struct {
	c       *fakeCluster
	id      int
	addr    string
	machine *StateMachine
	server  *Server
	applied int
}

func newFakeCluster(t *testing.T, n int, clock func() time.Duration) *fakeCluster {
	t.Helper()
	c := &fakeCluster{cut: map[string]bool{}, beforeRequest: func() {}}
	for i := range n {
		r := &fakeReplica{c: c, id: i, addr: string(rune('a' + i)), machine: NewStateMachine()}
		r.server = NewServer(ServerOptions{
			Machine: r.machine, Replica: r, SendRPC: c.call, Clock: clock, Events: events.NewRecorder("replica", io.Discard),
		})
		c.members = append(c.members, r)
	}
	return c
}

func (c *fakeCluster) call(ctx context.Context, addr, method string, request []byte) ([]byte, error) {
	c.mu.Lock()
	cut := c.cut[addr]
	c.mu.Unlock()
	if cut {
		return nil, errs.New(errs.Unavailable, "", "address %s is cut off", addr)
	}
	for _, r := range c.members {
		if r.addr == addr {
			return r.server.Handlers()[method](ctx, request)
		}
	}
	return nil, errs.New(errs.Unavailable, "", "no replica at %s", addr)
}

func (c *fakeCluster) addresses() []ReplicaAddress {
	var out []ReplicaAddress
	for _, r := range c.members {
		out = append(out, ReplicaAddress{Address: r.addr, Domain: api.FailureDomain(r.addr)})
	}
	return out
}

func (c *fakeCluster) run(ctx context.Context) {
	for _, r := range c.members {
		go r.server.Run(ctx)
	}
}

// catchUp applies the first n log entries and returns the result of the last one. The caller must hold c.mu.
func (r *fakeReplica) catchUp(n int) []byte {
	var out []byte
	for r.applied < n {
		out = r.machine.Apply(uint64(r.applied+1), r.c.log[r.applied])
		r.applied++
	}
	return out
}

func (r *fakeReplica) Propose(_ context.Context, data []byte) ([]byte, error) {
	r.c.beforeRequest()
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if r.c.leader != r.id {
		return nil, errs.New(errs.NotLeader, "", "not the leader")
	}
	r.c.log = append(r.c.log, data)
	out := r.catchUp(len(r.c.log))
	if r.c.loseNextResponse {
		r.c.loseNextResponse = false
		if r.c.afterLoss != nil {
			r.c.afterLoss()
		}
		return nil, errs.New(errs.OutcomeUnknown, "", "the response is lost")
	}
	return out, nil
}

func (r *fakeReplica) ReadIndex(_ context.Context) (uint64, error) {
	r.c.beforeRequest()
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.catchUp(len(r.c.log))
	return uint64(r.applied), nil
}

func (r *fakeReplica) LeaderAddress() string {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.members[r.c.leader].addr
}

func (r *fakeReplica) IsLeader() bool {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.leader == r.id
}

// fakeClock is a monotonic clock that the test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *fakeClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// startClock returns a monotonic clock that runs in real time.
func startClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newTestClient(c *fakeCluster, id api.VMID, clock func() time.Duration) *RemoteClient {
	return NewRemoteClient(RemoteClientOptions{
		VM: api.VM{ID: id, Incarnation: 1, Domain: "a"}, Replicas: c.addresses(), SendRPC: c.call, Clock: clock,
		Events: events.NewRecorder(id, io.Discard),
	})
}

const testDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func testRow(name api.RowName, priority int) table.Row {
	return table.Row{
		Name: name, Kind: table.KindChat, Pool: "drafter-llm", Model: "drafter", Priority: priority,
		Deadline: 20 * time.Second, TokenSHA256: testDigest,
	}
}

// idAt returns a UUID version 7 for time at. number distinguishes ids of the same time.
func idAt(at time.Time, number uint64) uuid.UUID {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 7 {
		id[15-i] = byte(number >> (8 * i))
	}
	return id
}
