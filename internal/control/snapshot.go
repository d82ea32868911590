package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

const snapshotFormat = 1

// savedState is the encoded form of state. Lists are in a fixed order, so that equal states have equal bytes.
type savedState struct {
	Format         int           `cbor:"1,keyasint"`
	Index          uint64        `cbor:"2,keyasint"`
	Now            time.Time     `cbor:"3,keyasint"`
	TableVersion   uint64        `cbor:"4,keyasint"`
	Rows           []savedRow    `cbor:"5,keyasint"`
	EditFloor      uuid.UUID     `cbor:"6,keyasint"`
	Edits          []*editRecord `cbor:"7,keyasint"`
	CallFloor      uuid.UUID     `cbor:"8,keyasint"`
	Calls          []callEntry   `cbor:"9,keyasint"`
	Steps          []*step       `cbor:"10,keyasint"`
	Revision       uint64        `cbor:"11,keyasint"`
	ClaimRevision  uint64        `cbor:"12,keyasint"`
	Models         []savedModel  `cbor:"13,keyasint"`
	WeightsVersion uint64        `cbor:"14,keyasint"`
	Token          uint64        `cbor:"15,keyasint"`
	Shares         []savedShares `cbor:"20,keyasint,omitempty"`
}

type savedRow struct {
	Name    api.RowName    `cbor:"1,keyasint"`
	Index   uint64         `cbor:"2,keyasint"`
	History []historyEntry `cbor:"3,keyasint"`
}

type savedModel struct {
	Model   string       `cbor:"1,keyasint"`
	Weights ModelWeights `cbor:"2,keyasint"`
	Index   uint64       `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state. Replicas that applied the same entries return the same bytes.
func (m *StateMachine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture copies the state as of the last applied entry and returns a function that encodes the copy. Only the
// copy holds up Apply: encoding takes several times as long and may run in another goroutine.
func (m *StateMachine) Capture() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	saved := m.state.save()
	return func() ([]byte, error) { return Encode(saved) }
}

// save shares with the state only what is never changed in place.
func (s *state) save() savedState {
	saved := savedState{
		Format: snapshotFormat, Index: s.index, Now: s.now, TableVersion: s.table.Version(),
		EditFloor: s.edits.floor, CallFloor: s.calls.floor, Steps: copySteps(s.ledger.steps()),
		Revision: s.ledger.revision, ClaimRevision: s.ledger.claimRevision,
		WeightsVersion: s.weightsVersion, Token: s.token, Shares: s.saveShares(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		entry := s.rows[name]
		saved.Rows = append(saved.Rows, savedRow{Name: name, Index: entry.index, History: slices.Clone(entry.history)})
	}
	saved.Edits = make([]*editRecord, 0, len(s.edits.order))
	for _, id := range s.edits.order {
		saved.Edits = append(saved.Edits, s.edits.byID[id])
	}
	saved.Calls = make([]callEntry, 0, len(s.calls.order))
	for _, id := range s.calls.order {
		saved.Calls = append(saved.Calls, *s.calls.byID[id])
	}
	for _, model := range slices.Sorted(maps.Keys(s.weights)) {
		entry := s.weights[model]
		saved.Models = append(saved.Models, savedModel{Model: model, Weights: entry.ModelWeights, Index: entry.index})
	}
	return saved
}

func copySteps(list []*step) []*step {
	for i, st := range list {
		next := *st
		next.GroupList = make([]*group, len(st.GroupList))
		for j, g := range st.GroupList {
			copied := *g
			copied.Members = slices.Clone(g.Members)
			next.GroupList[j] = &copied
		}
		list[i] = &next
	}
	return list
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (m *StateMachine) Restore(snapshot []byte) error {
	var saved savedState
	if err := snapshotDecoder.Unmarshal(snapshot, &saved); err != nil {
		return errs.Wrap(err, errs.StorageCorrupt, "replace the replica", "decoding the control snapshot")
	}
	if saved.Format != snapshotFormat {
		return errs.New(errs.StorageCorrupt, "start a version that knows it", "the control snapshot has format %d, not %d", saved.Format, snapshotFormat)
	}
	next, err := saved.load()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = next
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func (v savedState) load() (state, error) {
	s := newState()
	s.index, s.now, s.weightsVersion, s.token = v.Index, v.Now, v.WeightsVersion, v.Token
	rows := make(map[api.RowName]table.Row, len(v.Rows))
	for _, r := range v.Rows {
		if len(r.History) == 0 {
			return state{}, errs.New(errs.StorageCorrupt, "replace the replica", "row %q of the control snapshot has no content", r.Name)
		}
		s.rows[r.Name] = &rowEntry{index: r.Index, history: r.History}
		rows[r.Name] = *r.History[len(r.History)-1].Row
	}
	s.table = table.NewSnapshot(v.TableVersion, rows)
	s.edits.floor, s.calls.floor = v.EditFloor, v.CallFloor
	for _, e := range v.Edits {
		s.edits.put(e.ID, e)
	}
	for _, e := range v.Calls {
		s.calls.put(e.Key, &e)
	}
	s.calls.rebuild()
	for _, saved := range v.Models {
		s.weights[saved.Model] = &modelEntry{ModelWeights: saved.Weights, index: saved.Index}
	}
	s.ledger.load(v)
	s.loadShares(v.Shares)
	return s, nil
}

func (l *ledger) load(v savedState) {
	l.revision, l.claimRevision = v.Revision, v.ClaimRevision
	for _, st := range v.Steps {
		st.byID = make(map[string]*group, len(st.GroupList))
		for _, g := range st.GroupList {
			st.byID[g.ID] = g
			l.promptBytes += len(g.Prompt)
		}
		if l.rows[st.ID.Row] == nil {
			l.rows[st.ID.Row] = map[uint64]*step{}
		}
		l.rows[st.ID.Row][st.ID.Step] = st
	}
}

// weightsSince returns the models whose weights changed after version.
func (s *state) weightsSince(version uint64) []NamedWeights {
	var out []NamedWeights
	for model, entry := range s.weights {
		if entry.index > version {
			out = append(out, NamedWeights{Model: model, Weights: entry.ModelWeights})
		}
	}
	slices.SortFunc(out, func(a, b NamedWeights) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// NamedWeights is the weights of one model.
type NamedWeights struct {
	Model   string       `cbor:"1,keyasint"`
	Weights ModelWeights `cbor:"2,keyasint"`
}
