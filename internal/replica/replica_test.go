package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"filbertledge/internal/errs"
	"filbertledge/internal/raft"
)

// counter is a state machine that keeps every command.
type counter struct {
	mu       sync.Mutex
	commands [][]byte
}

func (c *counter) Apply(_ uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, bytes.Clone(data))
	return binary.BigEndian.AppendUint64(nil, uint64(len(c.commands)))
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Join(c.commands, []byte{'\n'}), nil
}

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = bytes.Split(data, []byte{'\n'})
	return nil
}

func (c *counter) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, d := range c.commands {
		out = append(out, string(d))
	}
	return out
}

// group runs replicas in one process; addresses are their names.
type group struct {
	t  *testing.T
	mu sync.Mutex
	// byAddress holds the running replicas.
	byAddress map[string]*member
	cut       map[string]bool
	members   []raft.Member
	folder    string
	snapshot  uint64
}

type member struct {
	*Replica
	state  *counter
	cancel context.CancelFunc
	fatal  chan error
}

type link struct {
	g    *group
	name string
	self func() *Replica
}

func (l *link) Send(to uint64, data []byte) {
	r := l.self()
	if r == nil {
		return
	}
	address := r.AddressOf(to)
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	if m := l.g.byAddress[address]; m != nil && !l.g.cut[address] && !l.g.cut[l.name] {
		m.Receive(data)
	}
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, byAddress: map[string]*member{}, cut: map[string]bool{}, folder: t.TempDir()}
	for _, n := range names {
		g.members = append(g.members, raft.Member{Name: n, FailureDomain: "domain-" + n, Address: n})
	}
	t.Cleanup(func() {
		for _, n := range names {
			g.stop(n)
		}
	})
	return g
}

func (g *group) get(address string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.byAddress[address]; m != nil && !g.cut[address] {
		return m.Replica
	}
	return nil
}

var errUnreachable = errors.New("unreachable")

func (g *group) options(self raft.Member, dir string) Options {
	return Options{
		Folder: filepath.Join(g.folder, dir), Self: self, Peers: g.members, SnapshotEntries: g.snapshot,
		StateMachine: &counter{},
		Bootstrap: func(ctx context.Context, a string, q BootstrapRequest) (BootstrapReply, error) {
			if r := g.get(a); r != nil && !g.isCut(self.Address) {
				return r.HandleBootstrap(ctx, q)
			}
			return BootstrapReply{}, errUnreachable
		},
		Join: func(ctx context.Context, a string, q JoinRequest) (JoinReply, error) {
			if r := g.get(a); r != nil && !g.isCut(self.Address) {
				return r.HandleJoin(ctx, q)
			}
			return JoinReply{}, errUnreachable
		},
	}
}

func (g *group) isCut(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[address]
}

func (g *group) setCut(address string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[address] = cut
}

// start runs the replica self on the data folder dir.
func (g *group) start(self raft.Member, dir string, change func(*Options)) *member {
	g.t.Helper()
	o := g.options(self, dir)
	m := &member{state: o.StateMachine.(*counter), fatal: make(chan error, 1)}
	o.Fatal = func(err error) { m.fatal <- err }
	var running sync.Mutex
	o.Sender = &link{g: g, name: self.Address, self: func() *Replica {
		running.Lock()
		defer running.Unlock()
		return m.Replica
	}}
	if change != nil {
		change(&o)
	}
	r, err := Open(o)
	if err != nil {
		g.t.Fatal(err)
	}
	running.Lock()
	m.Replica = r
	running.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	g.mu.Lock()
	g.byAddress[self.Address] = m
	g.mu.Unlock()
	go func() { _ = r.Run(ctx) }()
	return m
}

func (g *group) startAll() {
	for _, m := range g.members {
		g.start(m, m.Name, nil)
	}
}

func (g *group) stop(address string) {
	g.mu.Lock()
	m := g.byAddress[address]
	delete(g.byAddress, address)
	g.mu.Unlock()
	if m != nil {
		m.cancel()
		_ = m.Close()
	}
}

const waitLimit = 10 * time.Second

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not reached in %v: %s", waitLimit, what)
}

// leader waits for a replica that holds the lease.
func (g *group) leader() *member {
	g.t.Helper()
	var found *member
	eventually(g.t, "a leader with a lease", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for a, m := range g.byAddress {
			if !g.cut[a] && m.HoldsLease() {
				found = m
			}
		}
		return found != nil
	})
	return found
}

func (g *group) propose(data string) []byte {
	g.t.Helper()
	var result []byte
	eventually(g.t, "proposal "+data, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		result, err = g.leader().Propose(ctx, []byte(data))
		if errs.Is(err, errs.OutcomeUnknown) {
			g.t.Fatal(err)
		}
		return err == nil
	})
	return result
}

// agree waits until every running replica has applied exactly the commands.
func (g *group) agree(commands []string) {
	g.t.Helper()
	g.mu.Lock()
	running := maps.Clone(g.byAddress)
	g.mu.Unlock()
	for address, m := range running {
		eventually(g.t, fmt.Sprintf("%s applies %d commands", address, len(commands)), func() bool {
			got := m.state.list()
			return len(got) == len(commands) && fmt.Sprint(got) == fmt.Sprint(commands)
		})
	}
}

// Guards against replicas that do not form one group at the first start, and against commands that are lost or
// applied twice over a restart of every replica.
func TestBootstrapProposeRestart(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	var want []string
	for i := range 20 {
		want = append(want, fmt.Sprint("x", i))
		g.propose(want[i])
	}
	g.agree(want)
	for _, m := range g.members {
		g.stop(m.Address)
	}
	g.startAll()
	want = append(want, "after")
	g.propose("after")
	g.agree(want)
}

// Guards against a cut leader that keeps acting, a follower that cannot serve reads, and a replica whose lost disk
// is taken for the old one.
func TestCutLeaderAndLostDisk(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.snapshot = 16
	g.startAll()
	g.propose("one")
	old := g.leader()
	g.setCut(old.self.Address, true)
	eventually(t, "the cut leader stops acting", func() bool { return !old.HoldsLease() })
	g.propose("two")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := old.Propose(ctx, []byte("lost")); !errs.Is(err, errs.NotLeader) && !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("proposal at a cut leader: got %v", err)
	}
	g.setCut(old.self.Address, false)
	want := []string{"one", "two"}
	for i := range 40 {
		want = append(want, fmt.Sprint("x", i))
		g.propose(want[i+2])
	}
	for _, m := range g.members {
		if _, err := g.get(m.Address).ReadIndex(ctx); err != nil {
			t.Fatalf("read at %s: %v", m.Name, err)
		}
	}
	g.agree(want)

	lost := g.members[1]
	before := g.get(lost.Address).ID()
	g.stop(lost.Address)
	g.start(lost, "empty", nil)
	eventually(t, "the new instance is the voter", func() bool { return g.votes(lost.Name, before) })
	want = append(want, "last")
	g.propose("last")
	g.agree(want)
}

// votes reports whether the only voter with the name is running under another instance than before.
func (g *group) votes(name string, before uint64) bool {
	s := g.leader().Status()
	found := false
	for _, m := range s.Members {
		if m.Name == name {
			found = m.Voter && m.ID != before
		}
	}
	return found && len(s.Members) == len(g.members)
}

// Guards against one sync per command: commands that arrive during a sync must share the next one.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	const proposals = 400
	g := newGroup(t, "a")
	var commits atomic.Int64
	m := g.start(g.members[0], "a", func(o *Options) {
		o.CommitTx = func(tx *bbolt.Tx) error {
			commits.Add(1)
			time.Sleep(5 * time.Millisecond)
			return tx.Commit()
		}
	})
	g.propose("first")
	before := commits.Load()
	var wg sync.WaitGroup
	for i := range proposals {
		wg.Go(func() {
			if _, err := m.Propose(context.Background(), fmt.Append(nil, "x", i)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if used := commits.Load() - before; used > proposals/10 {
		t.Errorf("%d commits for %d concurrent proposals", used, proposals)
	}
}

// Guards against a failed sync that is retried or acknowledged.
func TestFailedSyncIsFatal(t *testing.T) {
	g := newGroup(t, "a")
	var failing sync.Mutex
	broken := false
	m := g.start(g.members[0], "a", func(o *Options) {
		o.CommitTx = func(tx *bbolt.Tx) error {
			failing.Lock()
			defer failing.Unlock()
			if broken {
				return errors.New("input/output error")
			}
			return tx.Commit()
		}
	})
	g.propose("first")
	failing.Lock()
	broken = true
	failing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := m.Propose(ctx, []byte("second")); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("proposal over a failed sync: got %v, want kind %s", err, errs.OutcomeUnknown)
	}
	if err := <-m.fatal; !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("fatal error: got %v, want kind %s", err, errs.StorageFailed)
	}
	if m.HoldsLease() {
		t.Fatal("a replica with failed storage holds the lease")
	}
}
