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

// commandLog is a state machine that records every command.
type commandLog struct {
	mu       sync.Mutex
	commands [][]byte
}

func (c *commandLog) Apply(_ uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, bytes.Clone(data))
	return binary.BigEndian.AppendUint64(nil, uint64(len(c.commands)))
}

func (c *commandLog) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Join(c.commands, []byte{'\n'}), nil
}

func (c *commandLog) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = bytes.Split(data, []byte{'\n'})
	return nil
}

func (c *commandLog) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, d := range c.commands {
		out = append(out, string(d))
	}
	return out
}

// group runs replicas in one process. The name of a replica is also its address.
type group struct {
	t  *testing.T
	mu sync.Mutex
	// byAddress holds the running replicas.
	byAddress       map[string]*member
	partitioned     map[string]bool
	members         []raft.Member
	dataRoot        string
	snapshotEntries uint64
}

type member struct {
	*Replica
	state  *commandLog
	cancel context.CancelFunc
	fatal  chan error
}

// testSender delivers messages within a group, except to and from partitioned replicas.
type testSender struct {
	g    *group
	name string
	self func() *Replica
}

func (s *testSender) Send(to uint64, data []byte) {
	r := s.self()
	if r == nil {
		return
	}
	address := r.AddressOf(to)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if m := s.g.byAddress[address]; m != nil && !s.g.partitioned[address] && !s.g.partitioned[s.name] {
		m.Receive(data)
	}
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, byAddress: map[string]*member{}, partitioned: map[string]bool{}, dataRoot: t.TempDir()}
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

// reachable returns the running replica at address, or nil if there is none or it is partitioned.
func (g *group) reachable(address string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.byAddress[address]; m != nil && !g.partitioned[address] {
		return m.Replica
	}
	return nil
}

var errUnreachable = errors.New("unreachable")

func (g *group) options(self raft.Member, dir string) Options {
	return Options{
		Folder: filepath.Join(g.dataRoot, dir), Self: self, Peers: g.members, SnapshotEntries: g.snapshotEntries,
		StateMachine: &commandLog{},
		Bootstrap: func(ctx context.Context, a string, q BootstrapRequest) (BootstrapReply, error) {
			if r := g.reachable(a); r != nil && !g.isPartitioned(self.Address) {
				return r.HandleBootstrap(ctx, q)
			}
			return BootstrapReply{}, errUnreachable
		},
		Join: func(ctx context.Context, a string, q JoinRequest) (JoinReply, error) {
			if r := g.reachable(a); r != nil && !g.isPartitioned(self.Address) {
				return r.HandleJoin(ctx, q)
			}
			return JoinReply{}, errUnreachable
		},
	}
}

func (g *group) isPartitioned(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.partitioned[address]
}

func (g *group) setPartitioned(address string, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[address] = partitioned
}

// start runs the replica self with the data folder dir. change adjusts its options and may be nil.
func (g *group) start(self raft.Member, dir string, change func(*Options)) *member {
	g.t.Helper()
	o := g.options(self, dir)
	m := &member{state: o.StateMachine.(*commandLog), fatal: make(chan error, 1)}
	o.Fatal = func(err error) { m.fatal <- err }
	var running sync.Mutex
	o.Sender = &testSender{g: g, name: self.Address, self: func() *Replica {
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

const waitTimeout = 10 * time.Second

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not reached in %v: %s", waitTimeout, what)
}

// leader waits until a replica that is not partitioned holds the lease, and returns it.
func (g *group) leader() *member {
	g.t.Helper()
	var found *member
	eventually(g.t, "a leader with a lease", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for a, m := range g.byAddress {
			if !g.partitioned[a] && m.HoldsLease() {
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

// waitApplied waits until every running replica has applied exactly these commands.
func (g *group) waitApplied(commands []string) {
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

// Guards against replicas that do not form one group at the first start, and against commands that are lost or applied
// twice when all replicas restart.
func TestCommandsSurviveRestartOfAllReplicas(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	var want []string
	for i := range 20 {
		want = append(want, fmt.Sprint("x", i))
		g.propose(want[i])
	}
	g.waitApplied(want)
	for _, m := range g.members {
		g.stop(m.Address)
	}
	g.startAll()
	want = append(want, "after")
	g.propose("after")
	g.waitApplied(want)
}

// Guards against a partitioned leader that keeps its lease, a follower that cannot serve reads, and a replica with a
// lost disk that the group treats as its earlier instance.
func TestCutLeaderAndLostDisk(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.snapshotEntries = 16
	g.startAll()
	g.propose("one")
	old := g.leader()
	g.setPartitioned(old.self.Address, true)
	eventually(t, "the partitioned leader loses its lease", func() bool { return !old.HoldsLease() })
	g.propose("two")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := old.Propose(ctx, []byte("lost")); !errs.Is(err, errs.NotLeader) && !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("proposal at a partitioned leader: got %v", err)
	}
	g.setPartitioned(old.self.Address, false)
	want := []string{"one", "two"}
	for i := range 40 {
		want = append(want, fmt.Sprint("x", i))
		g.propose(want[i+2])
	}
	for _, m := range g.members {
		if _, err := g.reachable(m.Address).ReadIndex(ctx); err != nil {
			t.Fatalf("read at %s: %v", m.Name, err)
		}
	}
	g.waitApplied(want)

	lostDisk := g.members[1]
	before := g.reachable(lostDisk.Address).ID()
	g.stop(lostDisk.Address)
	g.start(lostDisk, "empty", nil)
	eventually(t, "the new instance is the voter", func() bool { return g.votesAsNewInstance(lostDisk.Name, before) })
	want = append(want, "last")
	g.propose("last")
	g.waitApplied(want)
}

// votesAsNewInstance reports whether name is a voter with an ID other than before and the group has no additional
// members.
func (g *group) votesAsNewInstance(name string, before uint64) bool {
	s := g.leader().Status()
	found := false
	for _, m := range s.Members {
		if m.Name == name {
			found = m.Voter && m.ID != before
		}
	}
	return found && len(s.Members) == len(g.members)
}

// Guards against a separate sync for each command: commands that arrive during a sync must share the next one.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	const (
		proposals = 400
		// minProposalsPerSync is the required average number of concurrent proposals per sync.
		minProposalsPerSync = 10
	)
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
	if used := commits.Load() - before; used > proposals/minProposalsPerSync {
		t.Errorf("%d commits for %d concurrent proposals", used, proposals)
	}
}

// Guards against a replica that retries a failed sync, or acknowledges a command despite it.
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
		t.Fatalf("proposal during a failed sync: got %v, want kind %s", err, errs.OutcomeUnknown)
	}
	if err := <-m.fatal; !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("fatal error: got %v, want kind %s", err, errs.StorageFailed)
	}
	if m.HoldsLease() {
		t.Fatal("a replica with failed storage holds the lease")
	}
}
