package control

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// TestMain fixes the seed of property tests, so that each run has the same verdict. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20260301")
	}
	os.Exit(m.Run())
}

// model is what the property tests remember of the answers of a machine.
type model struct {
	*driver
	rt       *rapid.T
	twin     *Machine                       // restored from a snapshot now and then; must stay equal
	versions map[api.RowName]uint64         // highest version seen
	edits    map[uuid.UUID]Result           // first result of each edit
	holders  map[uuid.UUID]uuid.UUID        // key: attempt that may run it
	closed   map[uuid.UUID]bool             // keys that may never run again
	owners   map[uuid.UUID]api.VMID         // key: VM of the holder
	kept     map[SampleID]map[uint64]uint64 // sample, attempt: digest of the accepted finish
	consumed map[SampleID]uint64            // sample: acknowledged attempt
	vms      []api.VMID
}

func newModel(rt *rapid.T) *model {
	return &model{
		driver: newDriver(rt), rt: rt, twin: NewMachine(),
		versions: map[api.RowName]uint64{}, edits: map[uuid.UUID]Result{}, holders: map[uuid.UUID]uuid.UUID{},
		closed: map[uuid.UUID]bool{}, owners: map[uuid.UUID]api.VMID{}, kept: map[SampleID]map[uint64]uint64{},
		consumed: map[SampleID]uint64{}, vms: []api.VMID{"one", "two", "three"},
	}
}

// step applies a command to both machines and compares the answers.
func (m *model) step(c Command) Result {
	c.At = m.now
	data, err := EncodeCommand(c)
	if err != nil {
		m.rt.Fatal(err)
	}
	res := m.do(c)
	if want, _ := Encode(res); !bytes.Equal(m.twin.Apply(m.index, data), want) {
		m.rt.Fatalf("the restored machine answers %+v differently", c)
	}
	return res
}

func (m *model) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.rt, name) }
func (m *model) vm() api.VMID                { return m.vms[m.draw("vm", len(m.vms))] }

// number returns a small id, so that commands meet each other and are resent.
func (m *model) number(n int) uuid.UUID {
	return idAt(testStart.Add(time.Duration(m.draw("hour", 3))*20*time.Hour), uint64(m.draw("number", n))+1)
}

func (m *model) edit(*rapid.T) {
	id := m.number(20)
	row := testRow(api.RowName(fmt.Sprintf("row-%d", m.draw("row", 2))), m.draw("priority", 50))
	row.Deleted = m.draw("deleted", 8) == 0
	res := m.step(edit(id, uint64(m.draw("expected", 8)), row))
	first, seen := m.edits[id]
	applied := res.ErrorKind == "" && !res.Replayed
	if seen && applied {
		m.rt.Fatalf("edit %s is applied twice: %+v then %+v", id, first, res)
	}
	if seen && res.Replayed && res.Row.Version != first.Row.Version {
		m.rt.Fatalf("edit %s returns %+v, first %+v", id, res.Row, first.Row)
	}
	if !seen && (applied || res.ErrorKind == string(errs.Conflict)) {
		m.edits[id] = res
	}
}

func (m *model) checkVersions(*rapid.T) {
	m.m.mu.RLock()
	defer m.m.mu.RUnlock()
	for name := range m.m.state.rows {
		row, _ := m.m.state.current(name)
		if row.Version < m.versions[name] {
			m.rt.Fatalf("row %s went back from version %d to %d", name, m.versions[name], row.Version)
		}
		m.versions[name] = row.Version
	}
}

func (m *model) begin(*rapid.T) {
	key, vm := m.number(6), m.vm()
	attempt := idAt(testStart, uint64(m.draw("attempt", 4))+100)
	res := m.step(begin(key, attempt, vm))
	if res.Call == nil || res.Call.State != CallGranted {
		return
	}
	if holder, held := m.holders[key]; m.closed[key] || held && holder != attempt {
		m.rt.Fatalf("key %s is granted to %s; holder %s, closed %v", key, attempt, holder, m.closed[key])
	}
	if _, held := m.holders[key]; !held {
		m.owners[key] = vm
	}
	m.holders[key] = attempt
}

func (m *model) finish(*rapid.T) {
	key := m.number(6)
	attempt := idAt(testStart, uint64(m.draw("attempt", 4))+100)
	state := []CallState{CallFinished, CallUnknown, CallNotRun}[m.draw("state", 3)]
	m.step(finish(key, attempt, state, "answer"))
	if m.holders[key] != attempt || m.closed[key] {
		return
	}
	if state == CallNotRun {
		delete(m.holders, key)
		return
	}
	m.closed[key] = true
}

func (m *model) lose(*rapid.T) {
	vm := m.vm()
	m.step(Command{VMLost: &VMLost{VM: vm, Incarnation: 1}})
	for key := range m.holders {
		m.closed[key] = m.closed[key] || m.owners[key] == vm
	}
}

func (m *model) open(*rapid.T) {
	n := uint64(m.draw("step", 5))
	m.step(Command{OpenStep: &OpenStep{ID: stepID(n), Deadline: 100 * time.Hour, Groups: 2, GroupSize: 2}})
	c := &SubmitGroups{Step: stepID(n), VM: m.vm(), Incarnation: 1}
	for i := range 2 {
		c.Groups = append(c.Groups, Group{ID: fmt.Sprintf("g%d", i), Size: 2, Prompt: []byte("p")})
	}
	m.step(Command{SubmitGroups: c})
}

func (m *model) sample() SampleID {
	return sample(uint64(m.draw("step", 5)), fmt.Sprintf("g%d", m.draw("group", 2)), m.draw("member", 2))
}

func (m *model) produce(*rapid.T) {
	id, attempt, digest := m.sample(), uint64(m.draw("attempt", 4)), uint64(m.draw("digest", 100))
	res := m.step(Command{FinishSample: &FinishSample{ID: id, Attempt: attempt, VM: m.vm(), Incarnation: 1, Digest: digest}})
	if !res.Accepted {
		return
	}
	if first, ok := m.kept[id][attempt]; ok && first != digest {
		m.rt.Fatalf("two finishes of attempt %d of %+v are accepted", attempt, id)
	}
	if m.kept[id] == nil {
		m.kept[id] = map[uint64]uint64{}
	}
	m.kept[id][attempt] = digest
}

func (m *model) reset(*rapid.T) {
	m.step(Command{ResetSample: &ResetSample{ID: m.sample(), Attempt: uint64(m.draw("attempt", 4))}})
}

func (m *model) acknowledge(*rapid.T) {
	id, attempt := m.sample(), uint64(m.draw("attempt", 4))
	res := m.step(Command{Acknowledge: &Acknowledge{Step: id.Step, Samples: []SampleAck{{ID: id, Attempt: attempt}}}})
	if res.Count == 0 {
		return
	}
	if first, ok := m.consumed[id]; ok && first != attempt {
		m.rt.Fatalf("sample %+v is consumed as attempts %d and %d", id, first, attempt)
	}
	if _, ok := m.kept[id][attempt]; !ok {
		m.rt.Fatalf("sample %+v is consumed as attempt %d, which was never finished", id, attempt)
	}
	m.consumed[id] = attempt
}

func (m *model) claim(*rapid.T) {
	m.step(Command{ClaimGroups: &ClaimGroups{VM: m.vm(), Incarnation: 1, Max: m.draw("max", 3), Since: uint64(m.draw("since", 20))}})
}

func (m *model) wait(*rapid.T) {
	m.now = m.now.Add(time.Duration(m.draw("wait", 15)) * time.Hour)
}

func (m *model) restore(*rapid.T) {
	data, err := m.m.Snapshot()
	if err != nil {
		m.rt.Fatal(err)
	}
	m.twin = NewMachine()
	if err := m.twin.Restore(data); err != nil {
		m.rt.Fatal(err)
	}
}

func (m *model) check(t *rapid.T) {
	m.checkVersions(t)
	one, err := m.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	two, err := m.twin.Snapshot()
	if err != nil || !bytes.Equal(one, two) {
		t.Fatalf("the restored machine has another state: %v", err)
	}
}

// TestMachineProperties guards against command sequences that apply an edit twice, let a version go back,
// grant a key to two attempts, consume a sample twice, or leave a restored replica different from the others.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"edit":    m.edit,
			"begin":   m.begin,
			"finish":  m.finish,
			"lose":    m.lose,
			"open":    m.open,
			"produce": m.produce,
			"reset":   m.reset,
			"ack":     m.acknowledge,
			"claim":   m.claim,
			"wait":    m.wait,
			"restore": m.restore,
		})
	})
}
