package control

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result, and makes the command
// sequences long enough for calls and samples to reach all of their states. -rapid.seed overrides the seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// model records the responses of a state machine that the property tests check against.
type model struct {
	*driver
	rt       *rapid.T
	restored *StateMachine                  // repeatedly restored from a snapshot; must stay equal
	versions map[api.RowName]uint64         // highest version seen
	edits    map[uuid.UUID]Result           // first result of each edit
	holders  map[uuid.UUID]uuid.UUID        // by key: attempt that may run the call
	sent     []Command                      // edits sent so far
	notRun   map[uuid.UUID][]uuid.UUID      // by key: attempts that ended as not run
	closed   map[uuid.UUID]bool             // keys that may never run again
	owners   map[uuid.UUID]api.VMID         // by key: VM of the holder
	kept     map[SampleID]map[uint64]uint64 // by sample and attempt: digest of the accepted finish
	consumed map[SampleID]uint64            // by sample: acknowledged attempt
	vms      []api.VMID
}

func newModel(rt *rapid.T) *model {
	return &model{
		driver: newDriver(rt), rt: rt, restored: NewStateMachine(),
		versions: map[api.RowName]uint64{}, edits: map[uuid.UUID]Result{}, holders: map[uuid.UUID]uuid.UUID{},
		notRun: map[uuid.UUID][]uuid.UUID{},
		closed: map[uuid.UUID]bool{}, owners: map[uuid.UUID]api.VMID{}, kept: map[SampleID]map[uint64]uint64{},
		consumed: map[SampleID]uint64{}, vms: []api.VMID{"one", "two", "three"},
	}
}

// step applies a command to both state machines and compares their results.
func (m *model) step(c Command) Result {
	c.ProposedAt = m.now
	data, err := EncodeCommand(c)
	if err != nil {
		m.rt.Fatal(err)
	}
	res := m.do(c)
	if want, _ := Encode(res); !bytes.Equal(m.restored.Apply(m.index, data), want) {
		m.rt.Fatalf("the restored state machine answers %+v differently", c)
	}
	return res
}

func (m *model) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.rt, name) }
func (m *model) vm() api.VMID                { return m.vms[m.draw("vm", len(m.vms))] }

// number returns one of a few ids, so that commands collide and are resent.
func (m *model) number(n int) uuid.UUID {
	hour := max(0, m.draw("hour", 12)-9) // mostly 0
	return idAt(testStart.Add(time.Duration(hour)*20*time.Hour), uint64(m.draw("number", n))+1)
}

func (m *model) edit(*rapid.T) {
	id := m.number(40)
	row := testRow(api.RowName(fmt.Sprintf("row-%d", m.draw("row", 2))), m.draw("priority", 50))
	row.Deleted = m.draw("deleted", 4) == 0
	expected := m.versions[row.Name]
	if m.draw("guess", 3) == 0 {
		expected = uint64(m.draw("expected", 4))
	}
	c := edit(id, expected, row)
	if len(m.sent) > 0 && m.draw("resend", 3) == 0 {
		c = m.sent[m.draw("sent", len(m.sent))]
		id = c.EditRow.EditID
	}
	m.sent = append(m.sent, c)
	res := m.step(c)
	first, seen := m.edits[id]
	applied := res.ErrorKind == "" && !res.Replayed
	if seen && applied {
		m.rt.Fatalf("edit %s is applied twice: %+v then %+v", id, first, res)
	}
	if seen && res.Row != nil && (res.Row.Version != first.Row.Version || res.ErrorKind != first.ErrorKind) {
		m.rt.Fatalf("edit %s returns %+v, first %+v", id, res, first)
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
	key, vm := m.number(3), m.vm()
	attempt := idAt(testStart, uint64(m.draw("attempt", 3))+100)
	res := m.step(begin(key, attempt, vm))
	if res.Call == nil || res.Call.State != CallGranted {
		return
	}
	if slices.Contains(m.notRun[key], attempt) {
		m.rt.Fatalf("key %s is granted to %s, which ended as not run", key, attempt)
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
	key := m.number(3)
	attempt := idAt(testStart, uint64(m.draw("attempt", 3))+100)
	state := []CallState{CallFinished, CallUnknown, CallNotRun}[m.draw("state", 3)]
	m.step(finish(key, attempt, state, "answer"))
	if m.holders[key] != attempt || m.closed[key] {
		return
	}
	if state == CallNotRun {
		delete(m.holders, key)
		m.notRun[key] = append(m.notRun[key], attempt)
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
	n := m.stepNumber()
	m.step(Command{OpenStep: &OpenStep{ID: stepID(n), Deadline: 20 * time.Hour, Groups: 2, GroupSize: 2}})
	c := &SubmitGroups{Step: stepID(n), VM: m.vm(), Incarnation: 1}
	for i := range m.draw("groups", 3) {
		c.Groups = append(c.Groups, Group{ID: fmt.Sprintf("g%d", i), Size: 2, Prompt: []byte("p")})
	}
	m.step(Command{SubmitGroups: c})
}

// stepNumber returns mostly 0, and rarely up to 2, which removes step 0 from the ledger.
func (m *model) stepNumber() uint64 { return uint64(max(0, m.draw("step", 20)-17)) }

func (m *model) sample() SampleID {
	return sample(m.stepNumber(), fmt.Sprintf("g%d", m.draw("group", 2)), m.draw("member", 2))
}

// attempt returns mostly the current attempt of a sample.
func (m *model) attempt(id SampleID) uint64 {
	m.m.mu.RLock()
	defer m.m.mu.RUnlock()
	_, _, mem := m.m.state.ledger.find(id)
	if mem == nil || m.draw("guess", 3) == 0 {
		return uint64(m.draw("attempt", 4))
	}
	return mem.Attempt
}

func (m *model) produce(*rapid.T) {
	id := m.sample()
	attempt, digest := m.attempt(id), uint64(m.draw("digest", 100))
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
	id := m.sample()
	m.step(Command{ResetSample: &ResetSample{ID: id, Attempt: m.attempt(id)}})
}

func (m *model) acknowledge(*rapid.T) {
	id := m.sample()
	attempt := m.attempt(id)
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
	m.now = m.now.Add([]time.Duration{time.Minute, time.Minute, time.Hour, 13 * time.Hour}[m.draw("wait", 4)])
}

func (m *model) restore(*rapid.T) {
	data, err := m.m.Snapshot()
	if err != nil {
		m.rt.Fatal(err)
	}
	m.restored = NewStateMachine()
	if err := m.restored.Restore(data); err != nil {
		m.rt.Fatal(err)
	}
}

func (m *model) check(t *rapid.T) {
	m.checkVersions(t)
	one, err := m.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	two, err := m.restored.Snapshot()
	if err != nil || !bytes.Equal(one, two) {
		t.Fatalf("the restored state machine has another state: %v", err)
	}
}

// TestStateMachineProperties guards against command sequences that apply an edit twice, decrease a version, grant a
// key to two attempts, consume a sample twice, or make a restored replica differ from the others.
func TestStateMachineProperties(t *testing.T) {
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
