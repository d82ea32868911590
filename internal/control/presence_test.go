package control

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// presenceCluster is a cluster in which the test controls the clock and runs the presence rounds.
type presenceCluster struct {
	*fakeCluster
	t     *testing.T
	clock *fakeClock
	ids   uint64
}

func newPresenceCluster(t *testing.T) *presenceCluster {
	clock := &fakeClock{now: time.Hour}
	return &presenceCluster{fakeCluster: newFakeCluster(t, 3, clock.Now), t: t, clock: clock}
}

// poll records a poll by a VM on a replica.
func (c *presenceCluster) poll(replica int, id api.VMID, incarnation, version uint64) {
	c.members[replica].server.recordPoll(WatchRequest{VM: api.VM{ID: id, Incarnation: incarnation}, TableVersion: version})
}

// rounds runs presence rounds on all replicas for duration d. Before each round, each VM in polls polls replica 1.
func (c *presenceCluster) rounds(d time.Duration, polls ...api.VMID) {
	for range d / presenceInterval {
		c.clock.Advance(presenceInterval)
		for _, id := range polls {
			c.poll(1, id, 1, 0)
		}
		for _, i := range []int{1, 2, 0} {
			c.members[i].server.presenceRound(context.Background())
		}
	}
}

// begin grants a new call to a VM and returns the key of the call.
func (c *presenceCluster) begin(id api.VMID, incarnation uint64) uuid.UUID {
	c.t.Helper()
	c.ids++
	cmd := begin(idAt(time.Now(), c.ids), uuid.New(), id)
	cmd.BeginCall.Incarnation = incarnation
	res, err := c.members[c.leader].server.propose(context.Background(), cmd)
	if err != nil || res.Call.State != CallGranted {
		c.t.Fatalf("begin: %+v, %v", res.Call, err)
	}
	return cmd.BeginCall.Key
}

func (c *presenceCluster) state(key uuid.UUID) CallState {
	c.members[c.leader].catchUp(len(c.log))
	v, _ := c.members[c.leader].machine.Call(key)
	return v.Record.State
}

func (c *presenceCluster) wantState(key uuid.UUID, want CallState, when string) {
	c.t.Helper()
	if got := c.state(key); got != want {
		c.t.Fatalf("%s: the call is %s, want %s", when, got, want)
	}
}

// TestVMLostAfterExpiry guards against calls and groups that stay with a VM that is gone, and VMs that are declared
// lost although they poll.
func TestVMLostAfterExpiry(t *testing.T) {
	c := newPresenceCluster(t)
	c.rounds(6*time.Second, "one", "two")
	one, two := c.begin("one", 1), c.begin("two", 1)
	c.rounds(4500*time.Millisecond, "two")
	c.wantState(one, CallGranted, "4.5 s after the last poll")
	c.rounds(time.Second, "two")
	c.wantState(one, CallUnknown, "5.5 s after the last poll")
	c.wantState(two, CallGranted, "while it polls")
	if list := c.members[2].server.presence.vmList; len(list) != 1 || list[0].ID != "two" {
		t.Fatalf("list at a replica that VM two does not poll: %+v", list)
	}
}

// TestNewLeaderWaitsBeforeDeclaringVMsLost guards against a new leader that declares VMs lost before they had the time
// to poll it.
func TestNewLeaderWaitsBeforeDeclaringVMsLost(t *testing.T) {
	c := newPresenceCluster(t)
	c.rounds(6*time.Second, "one")
	key := c.begin("one", 1)
	c.clock.Advance(4 * time.Second) // no leader receives a poll
	c.leader = 2
	c.rounds(4500 * time.Millisecond)
	c.wantState(key, CallGranted, "4.5 s after the change of leader")
	if list := c.members[2].server.presence.vmList; len(list) != 1 {
		t.Fatalf("the VM vanished from the list of the new leader: %+v", list)
	}
	c.rounds(6 * time.Second)
	c.wantState(key, CallUnknown, "10 s after the change of leader")
}

// TestSuspendedLeaderDoesNotDeclareVMsLost guards against a leader that takes its own suspension for the silence of
// the VMs.
func TestSuspendedLeaderDoesNotDeclareVMsLost(t *testing.T) {
	c := newPresenceCluster(t)
	c.rounds(6*time.Second, "one")
	key := c.begin("one", 1)
	c.clock.Advance(time.Minute)
	c.members[0].server.presenceRound(context.Background())
	c.wantState(key, CallGranted, "right after it resumes")
	c.rounds(10*time.Second, "one")
	c.wantState(key, CallGranted, "once the VM polls again")
}

// TestRestartedVMLosesOnlyEarlierCalls guards against calls of the previous incarnation of a VM that never become
// unknown, and calls of its new incarnation that become unknown before the leader learns of its first poll.
func TestRestartedVMLosesOnlyEarlierCalls(t *testing.T) {
	c := newPresenceCluster(t)
	c.rounds(6*time.Second, "one")
	older, newer := c.begin("one", 1), c.begin("one", 2)
	c.rounds(presenceInterval, "one")
	c.wantState(newer, CallGranted, "before its first poll is known")
	c.poll(1, "one", 2, 0)
	c.rounds(presenceInterval)
	c.wantState(older, CallUnknown, "after the restart is known")
	c.wantState(newer, CallGranted, "after the restart is known")
}

// TestPropagationWaitsForVMsWithOlderTable guards against an edit that is reported as in force everywhere while a VM
// may still use the older table.
func TestPropagationWaitsForVMsWithOlderTable(t *testing.T) {
	c := newPresenceCluster(t)
	c.poll(1, "one", 1, 0)
	if _, err := c.members[1].server.Propagation(context.Background(), 0); !errs.Is(err, errs.NotLeader) {
		t.Fatalf("at a follower: %v", err)
	}
	c.rounds(2*time.Second, "one")
	a, err := c.members[0].server.Propagation(context.Background(), 7)
	if err != nil || a.Settled || len(a.Waiting) != 1 {
		t.Fatalf("new leader: %+v, %v", a, err)
	}
	c.rounds(6*time.Second, "one", "two")
	if a, _ = c.members[0].server.Propagation(context.Background(), 7); !a.Settled || len(a.Waiting) != 2 {
		t.Fatalf("before the VMs hold the version: %+v", a)
	}
	c.poll(1, "one", 1, 7)
	c.rounds(presenceInterval)
	if a, _ = c.members[0].server.Propagation(context.Background(), 7); len(a.Waiting) != 1 || a.Waiting[0].ID != "two" {
		t.Fatalf("after VM one holds the version: %+v", a)
	}
	c.rounds(4 * time.Second)
	if a, _ = c.members[0].server.Propagation(context.Background(), 7); len(a.Waiting) != 0 || len(a.VMs) == 0 {
		t.Fatalf("after the lease of VM two has ended: %+v", a)
	}
}

// TestWatchReturnsChangedRowsOnly guards against polls that return the whole table each time, or that omit a deletion.
func TestWatchReturnsChangedRowsOnly(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := startClock()
	c := newFakeCluster(t, 1, clock)
	c.run(ctx)
	r := newTestClient(c, "one", clock)
	do := func(number uint64, version uint64, row table.Row) Result {
		t.Helper()
		res, err := r.Do(ctx, edit(idAt(time.Now(), number), version, row))
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	do(1, 0, testRow("a", 1))
	heldVersion := do(2, 0, testRow("b", 1)).Index
	do(3, 1, table.Row{Name: "b", Deleted: true})
	request, _ := Encode(WatchRequest{VM: api.VM{ID: "one"}, TableVersion: heldVersion})
	data, err := c.call(ctx, "a", MethodWatch, request)
	var a WatchResponse
	if err == nil {
		_, err = decodeResponse(data, &a)
	}
	if err != nil || len(a.Rows) != 1 || a.Rows[0].Name != "b" || !a.Rows[0].Deleted || a.TableVersion <= heldVersion {
		t.Fatalf("response %+v, %v", a, err)
	}
}
