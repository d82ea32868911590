package storage

import (
	"testing"

	"filbertledge/internal/raft"
)

// BenchmarkSave appends entries as a leader under load does: parts of progress, with a snapshot and a shorter log every
// 6 MB.
func BenchmarkSave(b *testing.B) {
	s, err := Open(Options{Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	const entryBytes, entries = 48 << 10, 128
	data := make([]byte, entryBytes)
	snapshot := make([]byte, 3<<20)
	b.SetBytes(entryBytes)
	index := uint64(0)
	for b.Loop() {
		index++
		if err := s.Save(nil, []raft.Entry{{Index: index, Term: 1, Data: data}}, nil); err != nil {
			b.Fatal(err)
		}
		if index%entries == 0 {
			if err := s.SaveSnapshot(raft.Snapshot{Index: index, Term: 1, Data: snapshot}, index-entries/2); err != nil {
				b.Fatal(err)
			}
		}
	}
}
