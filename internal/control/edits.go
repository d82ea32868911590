package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// Limits of the table.
const (
	maxRows           = 10_000 // deleted rows included
	maxHistoryEntries = 100
	maxOperatorBytes  = 128
)

// rowEntry is the edit history of a row.
type rowEntry struct {
	lastEditIndex uint64         // log index of the last accepted edit
	history       []historyEntry // oldest first; holds one extra entry, the content before the oldest edit
}

type historyEntry struct {
	EditID   uuid.UUID  `cbor:"1,keyasint"`
	Operator string     `cbor:"2,keyasint"`
	At       time.Time  `cbor:"3,keyasint"`
	Row      *table.Row `cbor:"4,keyasint"`
}

// editRecord is the first result of an edit. Kind is empty if the edit was accepted.
type editRecord struct {
	ID     uuid.UUID  `cbor:"1,keyasint"`
	Digest uint64     `cbor:"2,keyasint"`
	Kind   errs.Kind  `cbor:"3,keyasint,omitempty"`
	Row    *table.Row `cbor:"4,keyasint"`
}

func (r editRecord) result() Result {
	row := *r.Row
	if r.Kind != "" {
		res := failedResult(r.Kind, "read the row again and repeat the edit on its version",
			"row %q is at version %d, which is not the expected version", row.Name, row.Version)
		res.Row = &row
		return res
	}
	return Result{Row: &row, Accepted: true}
}

func (s *state) editRow(e EditRow) Result {
	if res, ok := s.edits.checkID(e.EditID, s.now); !ok {
		return res
	}
	digest := editDigest(e)
	if first, ok := s.edits.byID[e.EditID]; ok && !e.DryRun {
		if first.Digest != digest {
			return failedResult(errs.KeyReused, "use a new edit id for another edit", "edit id %s was used for another edit", e.EditID)
		}
		res := first.result()
		res.Replayed = true
		return res
	}
	if res, ok := s.validateEdit(e); !ok {
		return res
	}
	record := s.decideEdit(e)
	record.ID, record.Digest = e.EditID, digest
	if e.DryRun {
		return record.result()
	}
	s.edits.put(e.EditID, &record)
	if record.Kind == "" {
		s.acceptEdit(e, record.Row)
	}
	return record.result()
}

// editDigest returns a digest of the requested change. Encoding a command that was decoded before cannot fail.
func editDigest(e EditRow) uint64 {
	e.EditID, e.DryRun = uuid.UUID{}, false
	data, _ := Encode(e)
	return xxhash.Sum64(data)
}

func (s *state) validateEdit(e EditRow) (Result, bool) {
	if err := table.Validate(e.Row); err != nil {
		return failedResult(errs.InvalidArgument, "correct the value", "%v", err), false
	}
	if len(e.Operator) > maxOperatorBytes {
		return failedResult(errs.InvalidArgument, "shorten it", "the operator name has more than %d bytes", maxOperatorBytes), false
	}
	_, known := s.rows[e.Row.Name]
	if !known && len(s.rows) >= maxRows {
		return failedResult(errs.Overloaded, "reuse a deleted row", "the table already has the maximum of %d rows", maxRows), false
	}
	if !known && e.Row.Deleted {
		return failedResult(errs.NotFound, "check the name", "row %q does not exist", e.Row.Name), false
	}
	return Result{}, true
}

// decideEdit compares versions and returns the record of the edit. It does not modify the state.
func (s *state) decideEdit(e EditRow) editRecord {
	current, known := s.current(e.Row.Name)
	next := e.Row
	if next.Deleted {
		next = table.Row{Name: next.Name, Deleted: true}
	}
	next.Version = current.Version + 1
	switch {
	case !known && e.ExpectedVersion == 0, known && e.ExpectedVersion == current.Version:
		return editRecord{Row: &next}
	case current.Deleted && e.ExpectedVersion == 0 && !next.Deleted:
		return editRecord{Row: &next} // callers see a deleted row as one that does not exist
	case e.ExpectedVersion+1 == current.Version && table.EqualExceptVersion(current, next):
		return editRecord{Row: &current} // another operator already made the same edit
	default:
		current.Name = e.Row.Name
		return editRecord{Kind: errs.Conflict, Row: &current}
	}
}

// current returns the current content of a row, which may be marked as deleted.
func (s *state) current(name api.RowName) (table.Row, bool) {
	entry, ok := s.rows[name]
	if !ok {
		return table.Row{}, false
	}
	return *entry.history[len(entry.history)-1].Row, true
}

func (s *state) acceptEdit(e EditRow, next *table.Row) {
	entry, ok := s.rows[next.Name]
	if !ok {
		entry = &rowEntry{}
		s.rows[next.Name] = entry
	}
	if ok && entry.history[len(entry.history)-1].Row.Version == next.Version {
		return // another operator already made the same edit
	}
	entry.lastEditIndex = s.index
	entry.history = append(entry.history, historyEntry{EditID: e.EditID, Operator: e.Operator, At: s.now, Row: next})
	if len(entry.history) > maxHistoryEntries+1 {
		entry.history = slices.Delete(entry.history, 0, 1)
	}
	s.table = s.table.WithRows(s.index, *next)
	if next.Deleted {
		s.ledger.removeRow(next.Name)
	}
}

// RowChange is one accepted edit of a row. Before is the zero row for the first edit of the row.
type RowChange struct {
	EditID   uuid.UUID      `json:"edit_id" cbor:"1,keyasint"`
	Operator string         `json:"operator" cbor:"2,keyasint"`
	At       time.Time      `json:"at" cbor:"3,keyasint"`
	Before   table.Row      `json:"before" cbor:"4,keyasint"`
	After    table.Row      `json:"after" cbor:"5,keyasint"`
	Changes  []table.Change `json:"changes" cbor:"6,keyasint"`
}

// History returns the most recent edits of a row, newest first: at most limit, or all that are kept if limit is 0.
func (m *StateMachine) History(name api.RowName, limit int) []RowChange {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entry, ok := m.state.rows[name]
	if !ok {
		return nil
	}
	var out []RowChange
	for i := len(entry.history) - 1; i >= 0; i-- {
		h := entry.history[i]
		if len(out) == maxHistoryEntries || limit > 0 && len(out) == limit {
			break
		}
		c := RowChange{EditID: h.EditID, Operator: h.Operator, At: h.At, After: *h.Row}
		if i > 0 {
			c.Before = *entry.history[i-1].Row
		}
		c.Changes = table.Diff(c.Before, c.After)
		out = append(out, c)
	}
	return out
}

// rowsChangedSince returns the rows that changed after the given table version, including deleted ones.
func (s *state) rowsChangedSince(version uint64) []table.Row {
	var out []table.Row
	for _, entry := range s.rows {
		if entry.lastEditIndex > version {
			out = append(out, *entry.history[len(entry.history)-1].Row)
		}
	}
	return out
}
