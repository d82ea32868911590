package table

import (
	"cmp"
	"maps"
	"slices"

	"filbertledge/internal/api"
)

// WithRows returns a copy of the snapshot with the given version, in which rows replace or add to the existing rows
// by name.
func (s *Snapshot) WithRows(version uint64, rows ...Row) *Snapshot {
	next := make(map[api.RowName]Row, len(s.rows)+len(rows))
	maps.Copy(next, s.rows)
	for _, r := range rows {
		next[r.Name] = r
	}
	return NewSnapshot(version, next)
}

// SortedRows returns the rows that are not deleted, sorted by name.
func (s *Snapshot) SortedRows() []Row {
	out := make([]Row, 0, len(s.rows))
	s.Rows(func(r Row) { out = append(out, r) })
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Len returns the number of rows that are not deleted.
func (s *Snapshot) Len() int {
	n := 0
	s.Rows(func(Row) { n++ })
	return n
}
