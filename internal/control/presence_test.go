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

// vmWorld is a cluster whose time and presence rounds the test drives.
type vmWorld struct {
	*fakeCluster
	t     *testing.T
	clock *fakeClock
	ids   uint64
}

func newVMWorld(t *testing.T) *vmWorld {
	clock := &fakeClock{now: time.Hour}
	return &vmWorld{fakeCluster: newFakeCluster(t, 3, clock.Now), t: t, clock: clock}
}

// poll notes a poll of a VM at a replica.
func (w *vmWorld) poll(replica int, id api.VMID, incarnation, version uint64) {
	w.members[replica].server.observePoll(WatchRequest{VM: api.VM{ID: id, Incarnation: incarnation}, TableVersion: version})
}

// rounds runs presence rounds of all replicas for d; each VM in polls polls replica 1 before each round.
func (w *vmWorld) rounds(d time.Duration, polls ...api.VMID) {
	for range d / presenceInterval {
		w.clock.Advance(presenceInterval)
		for _, id := range polls {
			w.poll(1, id, 1, 0)
		}
		for _, i := range []int{1, 2, 0} {
			w.members[i].server.presenceRound(context.Background())
		}
	}
}

// begin lets a VM own a call and returns its key.
func (w *vmWorld) begin(id api.VMID, incarnation uint64) uuid.UUID {
	w.t.Helper()
	w.ids++
	c := begin(idAt(time.Now(), w.ids), uuid.New(), id)
	c.BeginCall.Incarnation = incarnation
	res, err := w.members[w.leader].server.propose(context.Background(), c)
	if err != nil || res.Call.State != CallGranted {
		w.t.Fatalf("begin: %+v, %v", res.Call, err)
	}
	return c.BeginCall.Key
}

func (w *vmWorld) state(key uuid.UUID) CallState {
	w.members[w.leader].catchUp(len(w.log))
	v, _ := w.members[w.leader].machine.Call(key)
	return v.Record.State
}

func (w *vmWorld) wantState(key uuid.UUID, want CallState, when string) {
	w.t.Helper()
	if got := w.state(key); got != want {
		w.t.Fatalf("%s: the call is %s, want %s", when, got, want)
	}
}

// TestVMLostAfterExpiry guards against calls and groups that stay with a VM that is gone, and against VMs that
// are declared lost while they poll.
func TestVMLostAfterExpiry(t *testing.T) {
	w := newVMWorld(t)
	w.rounds(6*time.Second, "one", "two")
	one, two := w.begin("one", 1), w.begin("two", 1)
	w.rounds(4500*time.Millisecond, "two")
	w.wantState(one, CallGranted, "4.5 s after the last poll")
	w.rounds(time.Second, "two")
	w.wantState(one, CallUnknown, "5.5 s after the last poll")
	w.wantState(two, CallGranted, "while it polls")
	if list := w.members[2].server.presence.list; len(list) != 1 || list[0].ID != "two" {
		t.Fatalf("list at a replica that VM two does not poll: %+v", list)
	}
}

// TestNewLeaderWaits guards against a new leader that declares VMs lost before it could hear from them.
func TestNewLeaderWaits(t *testing.T) {
	w := newVMWorld(t)
	w.rounds(6*time.Second, "one")
	key := w.begin("one", 1)
	w.clock.Advance(4 * time.Second) // no leader hears any VM
	w.leader = 2
	w.rounds(4500 * time.Millisecond)
	w.wantState(key, CallGranted, "4.5 s after the change of leader")
	if list := w.members[2].server.presence.list; len(list) != 1 {
		t.Fatalf("the VM vanished from the list of the new leader: %+v", list)
	}
	w.rounds(6 * time.Second)
	w.wantState(key, CallUnknown, "10 s after the change of leader")
}

// TestFrozenLeader guards against a leader that wakes up and takes its own pause for the silence of VMs.
func TestFrozenLeader(t *testing.T) {
	w := newVMWorld(t)
	w.rounds(6*time.Second, "one")
	key := w.begin("one", 1)
	w.clock.Advance(time.Minute)
	w.members[0].server.presenceRound(context.Background())
	w.wantState(key, CallGranted, "right after waking")
	w.rounds(10*time.Second, "one")
	w.wantState(key, CallGranted, "once the VM is heard from again")
}

// TestRestartedVM guards against calls of an earlier run of a VM that are waited for, and against calls of its
// new run that become unknown before its first poll is known to the leader.
func TestRestartedVM(t *testing.T) {
	w := newVMWorld(t)
	w.rounds(6*time.Second, "one")
	older, newer := w.begin("one", 1), w.begin("one", 2)
	w.rounds(presenceInterval, "one")
	w.wantState(newer, CallGranted, "before its first poll is known")
	w.poll(1, "one", 2, 0)
	w.rounds(presenceInterval)
	w.wantState(older, CallUnknown, "after the restart is known")
	w.wantState(newer, CallGranted, "after the restart is known")
}

// TestReach guards against an edit that is reported in force everywhere while a VM may use the older table.
func TestReach(t *testing.T) {
	w := newVMWorld(t)
	w.poll(1, "one", 1, 0)
	if _, err := w.members[1].server.Propagation(context.Background(), 0); !errs.Is(err, errs.NotLeader) {
		t.Fatalf("at a follower: %v", err)
	}
	w.rounds(2*time.Second, "one")
	a, err := w.members[0].server.Propagation(context.Background(), 7)
	if err != nil || a.Settled || len(a.Waiting) != 1 {
		t.Fatalf("new leader: %+v, %v", a, err)
	}
	w.rounds(6*time.Second, "one", "two")
	if a, _ = w.members[0].server.Propagation(context.Background(), 7); !a.Settled || len(a.Waiting) != 2 {
		t.Fatalf("before the VMs hold the version: %+v", a)
	}
	w.poll(1, "one", 1, 7)
	w.rounds(presenceInterval)
	if a, _ = w.members[0].server.Propagation(context.Background(), 7); len(a.Waiting) != 1 || a.Waiting[0].ID != "two" {
		t.Fatalf("after VM one holds the version: %+v", a)
	}
	w.rounds(4 * time.Second)
	if a, _ = w.members[0].server.Propagation(context.Background(), 7); len(a.Waiting) != 0 || len(a.VMs) == 0 {
		t.Fatalf("after the lease of VM two has ended: %+v", a)
	}
}

// TestWatchAnswersDeltas guards against polls that send the whole table each time, or leave out a deletion.
func TestWatchAnswersDeltas(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := startClock()
	c := newFakeCluster(t, 1, clock)
	c.run(ctx)
	r := newRemote(c, "one", clock)
	do := func(number uint64, version uint64, row table.Row) Result {
		t.Helper()
		res, err := r.Do(ctx, edit(idAt(time.Now(), number), version, row))
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	do(1, 0, testRow("a", 1))
	held := do(2, 0, testRow("b", 1)).Index
	do(3, 1, table.Row{Name: "b", Deleted: true})
	request, _ := Encode(WatchRequest{VM: api.VM{ID: "one"}, TableVersion: held})
	data, err := c.call(ctx, "a", MethodWatch, request)
	var a WatchResponse
	if err == nil {
		_, err = decodeAnswer(data, &a)
	}
	if err != nil || len(a.Rows) != 1 || a.Rows[0].Name != "b" || !a.Rows[0].Deleted || a.TableVersion <= held {
		t.Fatalf("answer %+v, %v", a, err)
	}
}
