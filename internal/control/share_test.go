package control

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertledge/internal/api"
	"filbertledge/internal/table"
)

func limitedRow(limit int) table.Row {
	row := testRow("chat", 1)
	row.MaxInFlight = limit
	return row
}

// shareModel drives the shares of one machine. A VM's bound is the most that it may have in flight.
type shareModel struct {
	*driver
	rt    *rapid.T
	limit int
	edits uint64
	alive map[api.VMID]uint64         // incarnation
	bound map[api.VMID]map[uint64]int // incarnation: what the VM may use or has in flight under old grants
}

func (m *shareModel) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.rt, name) }
func (m *shareModel) vm() api.VMID                { return api.VMID(fmt.Sprintf("vm-%d", m.draw("vm", 3))) }

func (m *shareModel) total() (sum int) {
	for _, v := range m.m.Shares() {
		for _, s := range v.Shares {
			if s.Reserved < s.Granted || s.Reserved == 0 {
				m.rt.Fatalf("VM %s: %+v", v.VM, s)
			}
			sum += s.Reserved
		}
	}
	return sum
}

func (m *shareModel) share(vm api.VMID) (s Share) {
	_, list := m.m.state.sharesOf(vm, m.alive[vm])
	if len(list) > 0 {
		s = list[0]
	}
	return s
}

// change runs a command that must not raise the sum above the limit, or raise it at all if it already is.
func (m *shareModel) change(c Command) {
	before := m.total()
	m.do(c)
	if after := m.total(); after > max(m.limit, before) {
		m.rt.Fatalf("%+v raises the sum from %d to %d with limit %d", c, before, after, m.limit)
	}
}

func (m *shareModel) edit(*rapid.T) {
	m.limit = m.draw("limit", 12)
	row := limitedRow(m.limit)
	row.Priority = int(m.edits)
	if row.Deleted = m.draw("deleted", 6) == 0 && m.edits > 0; row.Deleted {
		m.limit = 0
	}
	version := m.edits
	m.edits++
	if res := m.do(edit(m.id(m.edits), version, row)); res.ErrorKind != "" {
		m.rt.Fatalf("edit: %+v", res)
	}
}

// grant grants to any incarnation and sends an acknowledgement that may be old with it.
func (m *shareModel) grant(*rapid.T) {
	var c SetShares
	for range 1 + m.draw("vms", 3) {
		vm := m.vm()
		c.VMs = append(c.VMs, VMShareUpdate{
			VM: vm, Incarnation: max(1, m.alive[vm]-uint64(m.draw("older", 2))),
			Grants: []ShareGrant{{Row: "chat", Granted: m.draw("granted", 14) - 1}},
		})
	}
	m.change(Command{SetShares: &c})
	for _, u := range c.VMs {
		m.use(u.VM)
	}
}

// use lets a VM hear of its share. It may then have as much in flight as was ever granted since its last ack.
func (m *shareModel) use(vm api.VMID) {
	uses := m.bound[vm]
	uses[m.alive[vm]] = max(uses[m.alive[vm]], m.share(vm).Granted)
}

func (m *shareModel) acknowledge(*rapid.T) {
	vm := m.vm()
	share := m.share(vm)
	ack := ShareAck{Row: "chat", GrantIndex: share.GrantIndex, InFlight: m.draw("in flight", m.bound[vm][m.alive[vm]]+1)}
	incarnation := m.alive[vm]
	switch m.draw("old", 4) {
	case 0:
		ack.GrantIndex--
	case 1:
		incarnation--
	default:
		m.bound[vm][incarnation] = max(share.Granted, ack.InFlight)
	}
	m.change(Command{SetShares: &SetShares{VMs: []VMShareUpdate{{VM: vm, Incarnation: incarnation, Acks: []ShareAck{ack}}}}})
}

func (m *shareModel) restart(*rapid.T) {
	vm := m.vm()
	m.alive[vm]++
	m.bound[vm] = map[uint64]int{}
	m.change(Command{SetShares: &SetShares{VMs: []VMShareUpdate{{VM: vm, Incarnation: m.alive[vm]}}}})
}

func (m *shareModel) lose(*rapid.T) {
	vm, before := m.vm(), m.total()
	m.change(Command{VMLost: &VMLost{VM: vm, Incarnation: m.alive[vm]}})
	if m.total() != before {
		m.rt.Fatal("a lost VM's share is freed")
	}
}

func (m *shareModel) release(*rapid.T) {
	vm := m.vm()
	m.bound[vm] = map[uint64]int{}
	m.change(Command{ReleaseShares: &ReleaseShares{VM: vm, Incarnation: m.alive[vm]}})
	if m.share(vm) != (Share{}) {
		m.rt.Fatal("a released share stays")
	}
}

// check compares what the VMs may have in flight with what the machine believes, also after a restore.
func (m *shareModel) check(t *rapid.T) {
	for vm, incarnation := range m.alive {
		if got, may := m.share(vm).Reserved, m.bound[vm][incarnation]; got < may {
			t.Fatalf("VM %s may have %d in flight, the machine holds %d", vm, may, got)
		}
	}
	one, _ := m.m.Snapshot()
	twin := NewStateMachine()
	if err := twin.Restore(one); err != nil {
		t.Fatal(err)
	}
	if two, _ := twin.Snapshot(); !bytes.Equal(one, two) {
		t.Fatal("the restored machine has other shares")
	}
}

// TestShareProperties guards against shares whose sum passes the limit of the row through edits, grants, old
// acknowledgements, restarts and releases, and against a VM that may use more than the machine counts for it.
func TestShareProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &shareModel{
			driver: newDriver(rt), rt: rt, alive: map[api.VMID]uint64{}, bound: map[api.VMID]map[uint64]int{},
		}
		for i := range 3 {
			id := api.VMID(fmt.Sprintf("vm-%d", i))
			m.alive[id], m.bound[id] = 1, map[uint64]int{}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": m.check, "edit": m.edit, "grant": m.grant, "ack": m.acknowledge, "restart": m.restart,
			"lose": m.lose, "release": m.release,
		})
	})
}

// shareWorld is a cluster with VMs that use all of their share that they have demand for.
type shareWorld struct {
	*vmWorld
	vms   map[api.VMID]*shareUser
	order []api.VMID
	limit int
}

// shareUser is a Remote whose polls the test answers; each VM polls one replica.
type shareUser struct {
	remote   *RemoteClient
	replica  int
	cut      bool
	demand   int
	inFlight int
}

func newShareWorld(t *testing.T, limit int) *shareWorld {
	w := &shareWorld{vmWorld: newVMWorld(t), vms: map[api.VMID]*shareUser{}, limit: limit}
	row := limitedRow(limit)
	if _, err := w.members[0].server.propose(context.Background(), edit(idAt(time.Now(), 1), 0, row)); err != nil {
		t.Fatal(err)
	}
	for i, id := range []api.VMID{"one", "two", "three"} {
		w.add(id, i, 1)
	}
	return w
}

func (w *shareWorld) add(id api.VMID, replica int, incarnation uint64) {
	u := &shareUser{replica: replica}
	u.remote = newRemote(w.fakeCluster, id, w.clock.Now)
	u.remote.o.VM.Incarnation = incarnation
	u.remote.o.Loads = func() []RowLoad {
		return []RowLoad{{Row: "chat", InFlight: u.inFlight, Waiting: max(0, u.demand-u.inFlight)}}
	}
	if w.vms[id] == nil {
		w.order = append(w.order, id)
	}
	w.vms[id] = u
}

// pollOnce lets a VM poll and take the answer.
func (w *shareWorld) pollOnce(u *shareUser) {
	if u.cut {
		return
	}
	v := u.remote.view.Load()
	q := WatchRequest{VM: u.remote.o.VM, TableVersion: v.table.Version(), SharesVersion: v.sharesVersion, ShareReports: u.remote.shareReport(v)}
	s := w.members[u.replica].server
	s.observePoll(q)
	w.members[u.replica].catchUp(len(w.log))
	if err := u.remote.accept(s.watchAnswer(q), w.clock.Now()); err != nil {
		w.t.Fatal(err)
	}
}

// run passes d of time. Running requests of a VM beyond its demand end; new ones start up to its share.
func (w *shareWorld) run(d time.Duration) {
	w.t.Helper()
	for range d / presenceInterval {
		w.clock.Advance(presenceInterval)
		sum := 0
		for _, id := range w.order {
			u := w.vms[id]
			w.pollOnce(u)
			granted, _ := u.remote.Share("chat")
			u.inFlight = min(u.demand, max(granted, u.inFlight-1))
			sum += u.inFlight
		}
		if sum > w.limit {
			w.t.Fatalf("%d in flight, limit %d", sum, w.limit)
		}
		for _, i := range []int{1, 2, 0} {
			w.members[i].server.presenceRound(context.Background())
		}
	}
}

func (w *shareWorld) share(id api.VMID) int {
	granted, known := w.vms[id].remote.Share("chat")
	if !known {
		w.t.Fatalf("VM %s never heard of its share", id)
	}
	return granted
}

// TestShareOfVMThatIsCutOff guards against a share that is used by a VM that is cut off and by others as well.
func TestShareOfVMThatIsCutOff(t *testing.T) {
	w := newShareWorld(t, 12)
	for _, u := range w.vms {
		u.demand = 20
	}
	w.run(4 * time.Second)
	w.vms["one"].cut = true
	held := w.share("one")
	w.run(10 * time.Second)
	if got := w.share("two") + w.share("three"); held == 0 || got != 12-held {
		t.Fatalf("VM one holds %d, the others have %d", held, got)
	}
	w.vms["two"].demand = 0
	w.run(5 * time.Second)
	if got := w.share("two") + w.share("three"); got != 12-held || w.share("three") < got-1 {
		t.Fatalf("the others have %d, VM three %d", got, w.share("three"))
	}
	w.add("one", 1, 2) // starts again
	w.run(5 * time.Second)
	if w.share("one") != 1 || w.share("three") < 9 {
		t.Fatalf("after the restart: %d, %d, %d", w.share("one"), w.share("two"), w.share("three"))
	}
}

// TestRestartFreesShare guards against a share that stays with the earlier incarnation of a VM.
func TestRestartFreesShare(t *testing.T) {
	w := newShareWorld(t, 1)
	w.vms["one"].demand = 1
	w.run(4 * time.Second)
	had := w.share("one")
	w.add("one", 0, 2)
	w.vms["two"].demand = 1
	w.run(3 * time.Second)
	if had != 1 || w.share("one") != 0 || w.share("two") != 1 {
		t.Fatalf("VM one had %d and has %d, VM two %d", had, w.share("one"), w.share("two"))
	}
}

// TestSharesFollowDemand guards against shares that stay where there is no demand.
func TestSharesFollowDemand(t *testing.T) {
	w := newShareWorld(t, 30)
	w.run(4 * time.Second)
	for i, id := range []api.VMID{"one", "two", "three", "one"} {
		for _, u := range w.vms {
			u.demand = 0
		}
		w.vms[id].demand = 40
		w.run(3 * time.Second)
		if got := w.share(id); got != 28 {
			t.Fatalf("move %d: VM %s has %d of 30", i, id, got)
		}
	}
	entries := len(w.log)
	for i := range 10 {
		w.vms["one"].demand = 40 + i%2
		w.run(presenceInterval)
	}
	if len(w.log) != entries {
		t.Fatalf("%d commands for small changes", len(w.log)-entries)
	}
}

// TestLimitForUnlimitedRow guards against shares that are granted while work from before the limit is in flight.
func TestLimitForUnlimitedRow(t *testing.T) {
	w := newShareWorld(t, 0)
	w.limit = 6
	for _, u := range w.vms {
		u.inFlight, u.demand = 4, 4
	}
	w.rounds(2 * time.Second)
	if _, err := w.members[0].server.propose(context.Background(), edit(idAt(time.Now(), 2), 1, limitedRow(6))); err != nil {
		t.Fatal(err)
	}
	granted := func() (sum int) {
		for _, v := range w.members[0].machine.Shares() {
			for _, s := range v.Shares {
				sum += s.Granted
			}
		}
		return sum
	}
	for _, polls := range [][]api.VMID{{"one"}, {"one", "two", "three"}} {
		for range 4 {
			for _, id := range polls {
				w.pollOnce(w.vms[id])
			}
			if len(polls) == 1 {
				w.poll(1, "three", 1, 0) // with the table from before the edit
			}
			w.rounds(presenceInterval)
		}
		if granted() != 0 {
			t.Fatalf("%d granted while 12 requests are in flight", granted())
		}
	}
	for _, u := range w.vms {
		u.inFlight = 0
	}
	w.run(2 * time.Second)
	if granted() != 6 {
		t.Fatalf("%d granted of 6 once the earlier work has ended", granted())
	}
}

// TestReleaseShares guards against shares of a drained VM that stay unused, or that it uses after it gave them back.
func TestReleaseShares(t *testing.T) {
	w := newShareWorld(t, 12)
	w.run(4 * time.Second)
	one, ctx := w.vms["one"], context.Background()
	idle := func(context.Context) error { return nil }
	if err := one.remote.ReleaseShares(ctx, idle); err != nil || w.share("one") != 0 {
		t.Fatalf("release: %v, share %d", err, w.share("one"))
	}
	w.vms["two"].demand, w.vms["three"].demand = 6, 6
	w.run(3 * time.Second)
	if w.share("two") != 6 || w.share("three") != 6 || len(one.remote.view.Load().shares) != 0 {
		t.Fatalf("after the release: %d, %d", w.share("two"), w.share("three"))
	}
}
