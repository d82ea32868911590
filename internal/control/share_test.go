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

func rowWithLimit(limit int) table.Row {
	row := testRow("chat", 1)
	row.MaxInFlight = limit
	return row
}

// shareModel applies share commands to one state machine and tracks how much each VM may have in flight.
type shareModel struct {
	*driver
	rt    *rapid.T
	limit int
	edits uint64
	alive map[api.VMID]uint64         // current incarnation
	bound map[api.VMID]map[uint64]int // by incarnation: maximum in flight, including requests under earlier grants
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

// change applies a command and checks that the reserved sum stays within the limit, or does not increase if it is
// already above.
func (m *shareModel) change(c Command) {
	before := m.total()
	m.do(c)
	if after := m.total(); after > max(m.limit, before) {
		m.rt.Fatalf("%+v raises the sum from %d to %d with limit %d", c, before, after, m.limit)
	}
}

func (m *shareModel) edit(*rapid.T) {
	m.limit = m.draw("limit", 12)
	row := rowWithLimit(m.limit)
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

// grant sends grants for the current or an earlier incarnation of VMs.
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

// use makes a VM learn of its share. The VM may then have as much in flight as was granted at any time since its last
// acknowledgement.
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
		m.rt.Fatal("the share of a lost VM is freed")
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

// check verifies that the state machine reserves at least what the VMs may have in flight, and that a restored state
// machine is equal.
func (m *shareModel) check(t *rapid.T) {
	for vm, incarnation := range m.alive {
		if got, may := m.share(vm).Reserved, m.bound[vm][incarnation]; got < may {
			t.Fatalf("VM %s may have %d in flight, the state machine reserves %d", vm, may, got)
		}
	}
	one, _ := m.m.Snapshot()
	restored := NewStateMachine()
	if err := restored.Restore(one); err != nil {
		t.Fatal(err)
	}
	if two, _ := restored.Snapshot(); !bytes.Equal(one, two) {
		t.Fatal("the restored state machine has other shares")
	}
}

// TestShareProperties guards against shares whose sum exceeds the limit of the row after edits, grants, outdated
// acknowledgements, restarts and releases, and a VM that may use more than is reserved for it.
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

// shareCluster is a cluster whose VMs use as much of their share as they have demand for.
type shareCluster struct {
	*presenceCluster
	vms   map[api.VMID]*shareUser
	order []api.VMID
	limit int
}

// shareUser is a RemoteClient that the test polls for. Each VM polls one replica.
type shareUser struct {
	client   *RemoteClient
	replica  int
	cut      bool
	demand   int
	inFlight int
}

func newShareCluster(t *testing.T, limit int) *shareCluster {
	c := &shareCluster{presenceCluster: newPresenceCluster(t), vms: map[api.VMID]*shareUser{}, limit: limit}
	row := rowWithLimit(limit)
	if _, err := c.members[0].server.propose(context.Background(), edit(idAt(time.Now(), 1), 0, row)); err != nil {
		t.Fatal(err)
	}
	for i, id := range []api.VMID{"one", "two", "three"} {
		c.add(id, i, 1)
	}
	return c
}

func (c *shareCluster) add(id api.VMID, replica int, incarnation uint64) {
	u := &shareUser{replica: replica}
	u.client = newTestClient(c.fakeCluster, id, c.clock.Now)
	u.client.opts.VM.Incarnation = incarnation
	u.client.opts.Loads = func() []RowLoad {
		return []RowLoad{{Row: "chat", InFlight: u.inFlight, Waiting: max(0, u.demand-u.inFlight)}}
	}
	if c.vms[id] == nil {
		c.order = append(c.order, id)
	}
	c.vms[id] = u
}

// pollOnce sends one poll of a VM and applies the response, unless the VM is cut off.
func (c *shareCluster) pollOnce(u *shareUser) {
	if u.cut {
		return
	}
	v := u.client.view.Load()
	q := WatchRequest{VM: u.client.opts.VM, TableVersion: v.table.Version(), SharesVersion: v.sharesVersion, ShareReports: u.client.shareReport(v)}
	s := c.members[u.replica].server
	s.recordPoll(q)
	c.members[u.replica].catchUp(len(c.log))
	if err := u.client.applyResponse(s.watchResponse(q), c.clock.Now()); err != nil {
		c.t.Fatal(err)
	}
}

// run advances the clock by d. Requests in flight beyond the demand end at once; those beyond the share end one per
// round. New ones start up to the share.
func (c *shareCluster) run(d time.Duration) {
	c.t.Helper()
	for range d / presenceInterval {
		c.clock.Advance(presenceInterval)
		sum := 0
		for _, id := range c.order {
			u := c.vms[id]
			c.pollOnce(u)
			granted, _ := u.client.Share("chat")
			u.inFlight = min(u.demand, max(granted, u.inFlight-1))
			sum += u.inFlight
		}
		if sum > c.limit {
			c.t.Fatalf("%d in flight, limit %d", sum, c.limit)
		}
		for _, i := range []int{1, 2, 0} {
			c.members[i].server.presenceRound(context.Background())
		}
	}
}

func (c *shareCluster) share(id api.VMID) int {
	granted, known := c.vms[id].client.Share("chat")
	if !known {
		c.t.Fatalf("VM %s never received its share", id)
	}
	return granted
}

// TestShareOfUnreachableVMStaysReserved guards against a share that is used both by an unreachable VM and by other
// VMs.
func TestShareOfUnreachableVMStaysReserved(t *testing.T) {
	c := newShareCluster(t, 12)
	for _, u := range c.vms {
		u.demand = 20
	}
	c.run(4 * time.Second)
	c.vms["one"].cut = true
	held := c.share("one")
	c.run(10 * time.Second)
	if got := c.share("two") + c.share("three"); held == 0 || got != 12-held {
		t.Fatalf("VM one holds %d, the others have %d", held, got)
	}
	c.vms["two"].demand = 0
	c.run(5 * time.Second)
	if got := c.share("two") + c.share("three"); got != 12-held || c.share("three") < got-1 {
		t.Fatalf("the others have %d, VM three %d", got, c.share("three"))
	}
	c.add("one", 1, 2) // restart
	c.run(5 * time.Second)
	if c.share("one") != 1 || c.share("three") < 9 {
		t.Fatalf("after the restart: %d, %d, %d", c.share("one"), c.share("two"), c.share("three"))
	}
}

// TestRestartFreesShare guards against a share that stays reserved for an earlier incarnation of a VM.
func TestRestartFreesShare(t *testing.T) {
	c := newShareCluster(t, 1)
	c.vms["one"].demand = 1
	c.run(4 * time.Second)
	had := c.share("one")
	c.add("one", 0, 2)
	c.vms["two"].demand = 1
	c.run(3 * time.Second)
	if had != 1 || c.share("one") != 0 || c.share("two") != 1 {
		t.Fatalf("VM one had %d and has %d, VM two %d", had, c.share("one"), c.share("two"))
	}
}

// TestSharesFollowDemand guards against shares that stay with VMs without demand, and shares that move on every small
// change of demand.
func TestSharesFollowDemand(t *testing.T) {
	c := newShareCluster(t, 30)
	c.run(4 * time.Second)
	for i, id := range []api.VMID{"one", "two", "three", "one"} {
		for _, u := range c.vms {
			u.demand = 0
		}
		c.vms[id].demand = 40
		c.run(3 * time.Second)
		if got := c.share(id); got != 28 {
			t.Fatalf("move %d: VM %s has %d of 30", i, id, got)
		}
	}
	entries := len(c.log)
	for i := range 10 {
		c.vms["one"].demand = 40 + i%2
		c.run(presenceInterval)
	}
	if len(c.log) != entries {
		t.Fatalf("%d commands for small changes", len(c.log)-entries)
	}
}

// TestNewLimitWaitsForRunningRequests guards against shares that are granted while requests from before the limit are
// still in flight.
func TestNewLimitWaitsForRunningRequests(t *testing.T) {
	c := newShareCluster(t, 0)
	c.limit = 6
	for _, u := range c.vms {
		u.inFlight, u.demand = 4, 4
	}
	c.rounds(2 * time.Second)
	if _, err := c.members[0].server.propose(context.Background(), edit(idAt(time.Now(), 2), 1, rowWithLimit(6))); err != nil {
		t.Fatal(err)
	}
	granted := func() (sum int) {
		for _, v := range c.members[0].machine.Shares() {
			for _, s := range v.Shares {
				sum += s.Granted
			}
		}
		return sum
	}
	for _, polls := range [][]api.VMID{{"one"}, {"one", "two", "three"}} {
		for range 4 {
			for _, id := range polls {
				c.pollOnce(c.vms[id])
			}
			if len(polls) == 1 {
				c.poll(1, "three", 1, 0) // still has the table from before the edit
			}
			c.rounds(presenceInterval)
		}
		if granted() != 0 {
			t.Fatalf("%d granted while 12 requests are in flight", granted())
		}
	}
	for _, u := range c.vms {
		u.inFlight = 0
	}
	c.run(2 * time.Second)
	if granted() != 6 {
		t.Fatalf("%d granted of 6 once the earlier work has ended", granted())
	}
}

// TestReleasedSharesGoToOtherVMs guards against shares of a drained VM that stay unused, or that it still uses after
// the release.
func TestReleasedSharesGoToOtherVMs(t *testing.T) {
	c := newShareCluster(t, 12)
	c.run(4 * time.Second)
	one, ctx := c.vms["one"], context.Background()
	idle := func(context.Context) error { return nil }
	if err := one.client.ReleaseShares(ctx, idle); err != nil || c.share("one") != 0 {
		t.Fatalf("release: %v, share %d", err, c.share("one"))
	}
	c.vms["two"].demand, c.vms["three"].demand = 6, 6
	c.run(3 * time.Second)
	if c.share("two") != 6 || c.share("three") != 6 || len(one.client.view.Load().shares) != 0 {
		t.Fatalf("after the release: %d, %d", c.share("two"), c.share("three"))
	}
}
