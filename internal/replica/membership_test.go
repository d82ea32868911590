package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
	"filbertledge/internal/storage"
)

// Guards against a replica with another name that never replaces the stopped voter, also if it must first receive a
// snapshot in several fragments.
func TestReplaceAbsentVoterByName(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.snapshotEntries = 8
	g.startAll()
	var want []string
	for i := range 12 {
		want = append(want, fmt.Sprint(i, strings.Repeat("x", fragmentBytes/4)))
		g.propose(want[i])
	}
	g.waitApplied(want)
	g.stop("c")
	d := raft.Member{Name: "d", FailureDomain: "domain-c", Address: "d"}
	t.Cleanup(func() { g.stop("d") })
	g.start(d, "d", func(o *Options) { o.ReplaceVoter = "c" })
	eventually(t, "d is a voter and c is not", func() bool {
		names := ""
		for _, m := range g.leader().Status().Members {
			if m.Voter {
				names += m.Name
			}
		}
		return len(names) == 3 && strings.Contains(names, "d") && !strings.Contains(names, "c")
	})
	g.waitApplied(want)
}

// Guards against two groups, and against a group that never starts, if the replica that creates the group loses its
// disk just after it has created it.
func TestFirstReplicaLostDuringBootstrap(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.start(g.members[0], "a", nil)
	g.start(g.members[1], "b", nil)
	g.start(g.members[2], "c", nil)
	eventually(t, "a and b are members", func() bool {
		return len(g.reachable("a").Status().Members) == 3 && len(g.reachable("b").Status().Members) == 3
	})
	g.stop("a")
	g.start(g.members[0], "a-new", nil)
	g.propose("one")
	eventually(t, "the new instance of a is a voter", func() bool {
		members := g.leader().Status().Members
		return len(members) == 3 && g.reachable("a").Status().Role != RoleJoining
	})
	g.waitApplied([]string{"one"})
}

// Guards against a follower that runs on an older copy of its disk and still counts towards the quorum, although it has
// lost entries that it had acknowledged.
func TestOlderDiskIsRefused(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	recorders := map[string]*events.Recorder{}
	for _, m := range g.members {
		recorders[m.Name] = events.NewRecorder("vm", io.Discard)
		g.start(m, m.Name, func(o *Options) { o.Events = recorders[m.Name] })
	}
	g.propose("one")
	g.waitApplied([]string{"one"})
	leader := g.leader()
	follower := g.members[0]
	if follower.Name == leader.self.Name {
		follower = g.members[1]
	}
	g.stop(follower.Address)
	backup, err := os.ReadFile(filepath.Join(g.dataRoot, follower.Name, storage.FileName))
	if err != nil {
		t.Fatal(err)
	}
	g.start(follower, follower.Name, nil)
	g.propose("two")
	g.waitApplied([]string{"one", "two"})
	g.stop(follower.Address)
	if err := os.WriteFile(filepath.Join(g.dataRoot, follower.Name, storage.FileName), backup, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(follower, follower.Name, nil)
	eventually(t, "the replica with the older disk is refused", func() bool { return g.reachable(follower.Address).Status().Role == RoleRefused })
	refused := recorders[leader.self.Name].Query(events.Filter{})
	eventually(t, "the refusal is recorded as an event", func() bool {
		for _, e := range refused {
			if e.Name == events.ReplicaRefused && string(e.Peer) == follower.Name {
				return true
			}
		}
		refused = recorders[leader.self.Name].Query(events.Filter{})
		return false
	})
}

// Guards against errors that do not say whether the command may have been applied.
func TestProposeErrors(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.propose("one")
	leader := g.leader()
	for _, m := range g.members {
		if m.Name == leader.self.Name {
			continue
		}
		// A commit needs only a majority, and a follower without heartbeats for an election timeout knows no leader.
		eventually(t, m.Name+" hears from the leader", func() bool { return g.reachable(m.Address).Status().LeaderAddress == leader.self.Address })
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		_, err := g.reachable(m.Address).Propose(ctx, []byte("x"))
		cancel()
		hint, ok := LeaderFromError(err)
		if !errs.Is(err, errs.NotLeader) || !ok || hint.Address != leader.self.Address {
			t.Errorf("at follower %s: %v, leader %+v", m.Name, err, hint)
		}
		g.stop(m.Address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := leader.Propose(ctx, []byte("alone")); !errs.Is(err, errs.OutcomeUnknown) && !errs.Is(err, errs.NotLeader) {
		t.Errorf("without a quorum: %v", err)
	}
	canceled, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	p := &proposal{data: []byte("x"), done: make(chan outcome, 1)}
	if _, err := leader.await(canceled, p); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a proposal that was withdrawn while it was queued: %v", err)
	}
	g.stop(leader.self.Address)
	if _, err := leader.Propose(context.Background(), []byte("x")); !errs.Is(err, errs.Unavailable) {
		t.Errorf("at a stopped replica: %v", err)
	}
	if _, err := leader.Propose(context.Background(), nil); !errs.Is(err, errs.InvalidArgument) {
		t.Errorf("an empty proposal: %v", err)
	}
}

// Guards against a stopping leader that leaves its group without a leader for an election timeout.
func TestCloseHandsLeadershipOver(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.propose("one")
	// On a machine that is busy with other tests some rounds may be slow, so the fastest one counts.
	const rounds = 3
	fastest := time.Hour
	for range rounds {
		g.waitApplied([]string{"one"})
		leader := g.leader().self
		start := time.Now()
		g.stop(leader.Address)
		g.leader()
		fastest = min(fastest, time.Since(start))
		g.start(leader, leader.Name, nil)
	}
	if fastest > raft.DefaultElectionTimeout {
		t.Errorf("the fastest next leader took %v, more than an election timeout", fastest)
	}
}

// Guards against a placement whose weakness is not reported, and against a wrong verdict on whether it is blocking.
func TestCheckPlacement(t *testing.T) {
	for _, c := range []struct {
		domains  string // one letter per voter
		problems int
		blocking bool
	}{
		{"xyz", 0, false},
		{"xxy", 1, true},
		{"xxyy", 2, false},
		{"xxyyz", 0, false},
		{"xxxyz", 1, true},
		{"xyzwv", 0, false},
		{"x", 1, false},
		{"xx", 1, true},
		{"xy", 2, false},
	} {
		var voters []raft.Member
		for i, d := range c.domains {
			voters = append(voters, raft.Member{ID: uint64(i + 1), FailureDomain: string(d)})
		}
		_, blocking := blockingProblem(voters)
		if got := CheckPlacement(voters); len(got) != c.problems || blocking != c.blocking {
			t.Errorf("domains %s: %+v, want %d problems, blocking %v", c.domains, got, c.problems, c.blocking)
		}
	}
}

// Guards against messages that are reassembled wrongly if fragments arrive out of order, twice or not at all, and
// against crashes on bytes that are not a valid message.
func TestCodecReassemblesFragments(t *testing.T) {
	e := encoder{self: raft.Member{ID: 7, Address: "here"}}
	d := decoder{partialMessages: map[uint64]*partialMessage{}}
	data := bytes.Repeat([]byte("0123456789"), fragmentBytes/4)
	m := raft.Message{Type: raft.MsgSnapshot, From: 7, To: 8, Term: 3, Snapshot: &raft.Snapshot{Index: 9, Term: 2, Data: data}}
	incomplete, err := e.encode(m)
	if err != nil || len(incomplete) != 3 {
		t.Fatalf("%d frames, %v", len(incomplete), err)
	}
	frames, _ := e.encode(m)
	for _, f := range [][]byte{incomplete[0], incomplete[2], frames[2], frames[0], frames[0]} {
		if _, ok := d.decode(f); ok {
			t.Fatal("an incomplete message was decoded")
		}
	}
	f, ok := d.decode(frames[1])
	if !ok || !bytes.Equal(f.Message.Snapshot.Data, data) || f.Address != "here" {
		t.Fatalf("complete message: ok %v", ok)
	}
	small, _ := e.encode(raft.Message{Type: raft.MsgVote, From: 7, To: 8, Term: 3})
	for i := range small[0] {
		broken := bytes.Clone(small[0])
		broken[i] ^= 0x55
		d.decode(broken)
		d.decode(small[0][:i])
	}
}

// Guards against a leader whose link is taken by the log for replicas that nobody needs, against a VM that stands by and
// cannot forward calls to the leader, and against one that does not join when a member is lost.
func TestFurtherReplicasStandBy(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	manage := func(o *Options) { o.ManageVoters, o.FaultTolerance = true, 1 }
	for _, m := range g.members {
		g.start(m, m.Name, manage)
	}
	g.propose("one")
	limit := maxMembers(1)
	var further []raft.Member
	for i := range limit - len(g.members) + 2 {
		name := fmt.Sprint("x", i)
		m := raft.Member{Name: name, FailureDomain: "domain-" + g.members[i%2].Name, Address: name}
		further = append(further, m)
		t.Cleanup(func() { g.stop(name) })
		g.start(m, name, func(o *Options) { manage(o); o.JoinOnly = true })
	}
	members := func() int { return len(g.leader().Status().Members) }
	eventually(t, "the group is complete and two replicas stand by", func() bool {
		return members() == limit && len(g.leader().Status().Standby) == 2
	})
	// The leader lists a replica that stands by before its reply has reached the replica.
	standby := g.leader().Status().Standby
	eventually(t, "the replicas that stand by know the leader", func() bool {
		return !slices.ContainsFunc(standby, func(name string) bool {
			return g.reachable(name).Status().LeaderAddress != g.leader().self.Address
		})
	})
	// A replica in a failure domain without a member is needed.
	other := raft.Member{Name: "y", FailureDomain: "domain-y", Address: "y"}
	t.Cleanup(func() { g.stop("y") })
	g.start(other, "y", func(o *Options) { manage(o); o.JoinOnly = true })
	eventually(t, "the replica in another failure domain is a member", func() bool { return members() == limit+1 })
	for _, m := range further {
		if _, standing := slices.BinarySearch(standby, m.Name); !standing {
			g.stop(m.Address) // two members are lost
		}
	}
	eventually(t, "a replica that stood by has joined", func() bool { return len(g.leader().Status().Standby) < 2 })
}
