package storage

import (
	"testing"

	"filbertledge/internal/raft"
)

// BenchmarkSave appends log entries of the size that a leader under load writes for the progress of items, and
// takes a snapshot that truncates the log after every 6 MiB.
func BenchmarkSave(b *testing.B) {
	s, err := Open(Options{Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	const entryBytes, snapshotBytes, snapshotInterval = 48 << 10, 3 << 20, 128
	data := make([]byte, entryBytes)
	snapshot := make([]byte, snapshotBytes)
	b.SetBytes(entryBytes)
	index := uint64(0)
	for b.Loop() {
		index++
		if err := s.Save(nil, []raft.Entry{{Index: index, Term: 1, Data: data}}, nil); err != nil {
			b.Fatal(err)
		}
		if index%snapshotInterval == 0 {
			if err := s.SaveSnapshot(raft.Snapshot{Index: index, Term: 1, Data: snapshot}, index-snapshotInterval/2); err != nil {
				b.Fatal(err)
			}
		}
	}
}
