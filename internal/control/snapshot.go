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

// snapshotState is the encoded form of state. Lists are in a fixed order, so that equal states have equal bytes.
type snapshotState struct {
	Format         int              `cbor:"1,keyasint"`
	Index          uint64           `cbor:"2,keyasint"`
	Now            time.Time        `cbor:"3,keyasint"`
	TableVersion   uint64           `cbor:"4,keyasint"`
	Rows           []snapshotRow    `cbor:"5,keyasint"`
	EditFloor      uuid.UUID        `cbor:"6,keyasint"`
	Edits          []*editRecord    `cbor:"7,keyasint"`
	CallFloor      uuid.UUID        `cbor:"8,keyasint"`
	Calls          []callEntry      `cbor:"9,keyasint"`
	Steps          []*step          `cbor:"10,keyasint"`
	Revision       uint64           `cbor:"11,keyasint"`
	ClaimRevision  uint64           `cbor:"12,keyasint"`
	Models         []snapshotModel  `cbor:"13,keyasint"`
	WeightsVersion uint64           `cbor:"14,keyasint"`
	Token          uint64           `cbor:"15,keyasint"`
	Shares         []snapshotShares `cbor:"20,keyasint,omitempty"`
}

type snapshotRow struct {
	Name    api.RowName    `cbor:"1,keyasint"`
	Index   uint64         `cbor:"2,keyasint"`
	History []historyEntry `cbor:"3,keyasint"`
}

type snapshotModel struct {
	Model   string       `cbor:"1,keyasint"`
	Weights ModelWeights `cbor:"2,keyasint"`
	Index   uint64       `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state. Replicas that have applied the same log entries return the same bytes.
func (m *StateMachine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture copies the state as of the last applied log entry and returns a function that encodes the copy. Only the
// copying blocks Apply; encoding takes several times as long and may run in another goroutine.
func (m *StateMachine) Capture() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	saved := m.state.snapshot()
	return func() ([]byte, error) { return Encode(saved) }
}

// snapshot copies the state; it shares only data that is never modified in place.
func (s *state) snapshot() snapshotState {
	saved := snapshotState{
		Format: snapshotFormat, Index: s.index, Now: s.now, TableVersion: s.table.Version(),
		EditFloor: s.edits.highestDropped, CallFloor: s.calls.highestDropped, Steps: copySteps(s.ledger.steps()),
		Revision: s.ledger.revision, ClaimRevision: s.ledger.claimRevision,
		WeightsVersion: s.weightsVersion, Token: s.fencingToken, Shares: s.snapshotVMShares(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		entry := s.rows[name]
		saved.Rows = append(saved.Rows, snapshotRow{Name: name, Index: entry.lastEditIndex, History: slices.Clone(entry.history)})
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
		saved.Models = append(saved.Models, snapshotModel{Model: model, Weights: entry.ModelWeights, Index: entry.index})
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

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *StateMachine) Restore(snapshot []byte) error {
	var saved snapshotState
	if err := snapshotDecoder.Unmarshal(snapshot, &saved); err != nil {
		return errs.Wrap(err, errs.StorageCorrupt, "replace the replica", "decoding the control snapshot")
	}
	if saved.Format != snapshotFormat {
		return errs.New(errs.StorageCorrupt, "run a version that supports this format", "the control snapshot has format %d, not %d", saved.Format, snapshotFormat)
	}
	next, err := saved.restore()
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

func (v snapshotState) restore() (state, error) {
	s := newState()
	s.index, s.now, s.weightsVersion, s.fencingToken = v.Index, v.Now, v.WeightsVersion, v.Token
	rows := make(map[api.RowName]table.Row, len(v.Rows))
	for _, r := range v.Rows {
		if len(r.History) == 0 {
			return state{}, errs.New(errs.StorageCorrupt, "replace the replica", "row %q of the control snapshot has no content", r.Name)
		}
		s.rows[r.Name] = &rowEntry{lastEditIndex: r.Index, history: r.History}
		rows[r.Name] = *r.History[len(r.History)-1].Row
	}
	s.table = table.NewSnapshot(v.TableVersion, rows)
	s.edits.highestDropped, s.calls.highestDropped = v.EditFloor, v.CallFloor
	for _, e := range v.Edits {
		s.edits.put(e.ID, e)
	}
	for _, e := range v.Calls {
		s.calls.put(e.Key, &e)
	}
	s.calls.rebuildIndexes()
	for _, saved := range v.Models {
		s.weights[saved.Model] = &modelEntry{ModelWeights: saved.Weights, index: saved.Index}
	}
	s.ledger.restore(v)
	s.restoreShares(v.Shares)
	return s, nil
}

func (l *ledger) restore(v snapshotState) {
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

// weightsChangedSince returns the weights of the models that changed after the given version.
func (s *state) weightsChangedSince(version uint64) []NamedWeights {
	var out []NamedWeights
	for model, entry := range s.weights {
		if entry.index > version {
			out = append(out, NamedWeights{Model: model, Weights: entry.ModelWeights})
		}
	}
	slices.SortFunc(out, func(a, b NamedWeights) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// NamedWeights holds the weights of one model and its name.
type NamedWeights struct {
	Model   string       `cbor:"1,keyasint"`
	Weights ModelWeights `cbor:"2,keyasint"`
}
