package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"filbertledge/internal/errs"
	"filbertledge/internal/raft"
)

func entries(from, to, term uint64) []raft.Entry {
	var list []raft.Entry
	for i := from; i <= to; i++ {
		list = append(list, raft.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return list
}

func mustOpen(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

var voters = []raft.Member{{ID: 7, Name: "a", FailureDomain: "x", Address: "127.0.0.1:1"}}

// Guards against state that does not survive a restart, and against entries of an old term that stay behind a
// newer tail.
func TestReopen(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	s := mustOpen(t, folder)
	instance := s.Instance()
	check(t, s.SaveInitialState(raft.InitialState(voters)))
	check(t, s.Save(&raft.HardState{Term: 2, Vote: 7, Commit: 3}, entries(2, 9, 1), nil))
	check(t, s.Save(nil, entries(5, 6, 2), nil))
	check(t, s.Close())

	s = mustOpen(t, folder)
	state := s.TakeState()
	if s.Instance() != instance || instance == 0 || len(s.InitialVoters()) != 1 {
		t.Fatalf("instance %d after %d, initial voters %v", s.Instance(), instance, s.InitialVoters())
	}
	if state.HardState != (raft.HardState{Term: 2, Vote: 7, Commit: 3}) || state.Snapshot.Index != 1 {
		t.Fatalf("state after reopening: %+v", state)
	}
	want := append(entries(2, 4, 1), entries(5, 6, 2)...)
	if fmt.Sprint(state.Entries) != fmt.Sprint(want) {
		t.Fatalf("entries after reopening: %v, want %v", state.Entries, want)
	}
	check(t, s.SaveSnapshot(raft.Snapshot{Index: 5, Term: 2, Data: []byte("state")}, 3))
	check(t, s.Close())
	state = mustOpen(t, folder).TakeState()
	if state.Snapshot.Index != 5 || len(state.Entries) != 3 || state.Entries[0].Index != 4 {
		t.Fatalf("state after compaction: %+v", state)
	}
}

// Guards against a failed sync that is retried, and against a write that is half there after the restart.
func TestFailedCommitIsFinal(t *testing.T) {
	folder := t.TempDir()
	commits := 0
	s, err := Open(Options{Folder: folder, Commit: func(tx *bbolt.Tx) error {
		if commits++; commits > 2 {
			return errors.New("input/output error")
		}
		return tx.Commit()
	}})
	check(t, err)
	check(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3, 1), nil))
	for range 2 {
		if err := s.Save(&raft.HardState{Term: 9}, entries(4, 5, 9), nil); !errs.Is(err, errs.StorageFailed) {
			t.Fatalf("got %v, want kind %s", err, errs.StorageFailed)
		}
	}
	if commits != 3 {
		t.Fatalf("%d commits, want 3: a failed commit was retried", commits)
	}
	check(t, s.Close())
	state := mustOpen(t, folder).TakeState()
	if state.HardState.Term != 1 || len(state.Entries) != 3 {
		t.Fatalf("state after a failed commit: %+v", state)
	}
}

// Guards against a torn last write that is taken for corruption or that leaves a part behind: bbolt's newest
// meta page is damaged, as after a power loss in the middle of the commit.
func TestTornLastWrite(t *testing.T) {
	folder := t.TempDir()
	s := mustOpen(t, folder)
	check(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3, 1), nil))
	before := readFile(t, s.Path())
	check(t, s.Save(&raft.HardState{Term: 2}, entries(4, 200, 2), nil))
	check(t, s.Close())
	after := readFile(t, s.Path())

	pageSize := os.Getpagesize()
	newest := 0
	if !bytes.Equal(before[pageSize:2*pageSize], after[pageSize:2*pageSize]) {
		newest = pageSize
	}
	torn := bytes.Clone(after)
	copy(torn[newest+64:newest+pageSize], bytes.Repeat([]byte{0xff}, 64))
	check(t, os.WriteFile(s.Path(), torn, fileMode))
	state := mustOpen(t, folder).TakeState()
	if state.HardState.Term != 1 || len(state.Entries) != 3 {
		t.Fatalf("state after a torn write: term %d, %d entries", state.HardState.Term, len(state.Entries))
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	check(t, err)
	return data
}

// Guards against silent truncation: a changed byte anywhere in the log, or a missing entry, must stop the start
// and name the file, the index and the remedy.
func TestCorruption(t *testing.T) {
	damage := map[string]struct {
		change func(*bbolt.Tx) error
		names  string
	}{
		"changed byte": {func(tx *bbolt.Tx) error {
			log := tx.Bucket(logBucket)
			record := bytes.Clone(log.Get(indexKey(4)))
			record[len(record)-1] ^= 1
			return log.Put(indexKey(4), record)
		}, "log entry 4"},
		"entry under another index": {func(tx *bbolt.Tx) error {
			log := tx.Bucket(logBucket)
			return log.Put(indexKey(4), bytes.Clone(log.Get(indexKey(3))))
		}, "log entry 4"},
		"missing entry": {func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Delete(indexKey(4)) }, "log entry 5"},
		"short record":  {func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Put(indexKey(2), []byte{1}) }, "log entry 2"},
		"hard state": {func(tx *bbolt.Tx) error {
			return tx.Bucket(metaBucket).Put(keyHardState, binary.BigEndian.AppendUint64(nil, 1))
		}, "hard_state"},
		"lost instance number": {func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Delete(keyInstance) }, "instance number"},
		"gap after snapshot": {func(tx *bbolt.Tx) error {
			return deleteEntries(tx, 0, 3)
		}, "log entries 4 to 6"},
	}
	for name, d := range damage {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := mustOpen(t, folder)
			check(t, s.Save(&raft.HardState{Term: 1}, entries(1, 6, 1), nil))
			check(t, s.db.Update(d.change))
			check(t, s.Close())
			_, err := Open(Options{Folder: folder})
			if !errs.Is(err, errs.StorageCorrupt) {
				t.Fatalf("got %v, want kind %s", err, errs.StorageCorrupt)
			}
			for _, part := range []string{s.Path(), d.names, "replace the replica"} {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not name %q", err, part)
				}
			}
		})
	}
}

// Guards against a crash of the process, instead of an error, over a truncated or overwritten file.
func TestDamagedFile(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"truncated":   func(b []byte) []byte { return b[:len(b)/3] },
		"overwritten": func(b []byte) []byte { return bytes.Repeat([]byte{0xa5}, len(b)) },
		"data pages": func(b []byte) []byte {
			return append(b[:2*os.Getpagesize()], make([]byte, len(b)-2*os.Getpagesize())...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := mustOpen(t, folder)
			check(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3000, 1), nil))
			check(t, s.Close())
			check(t, os.WriteFile(s.Path(), damage(readFile(t, s.Path())), fileMode))
			if _, err := Open(Options{Folder: folder}); !errs.Is(err, errs.StorageCorrupt) {
				t.Fatalf("got %v, want kind %s", err, errs.StorageCorrupt)
			}
		})
	}
}

// Guards against a slow restart: a process restarts after hundreds of changes and must serve within the target.
func TestReopenAfterManyEntries(t *testing.T) {
	const count, limit = 10_000, time.Second
	folder := t.TempDir()
	s := mustOpen(t, folder)
	check(t, s.SaveInitialState(raft.InitialState(voters)))
	for from := uint64(2); from <= count; from += 100 {
		check(t, s.Save(&raft.HardState{Term: 1, Commit: from}, entries(from, from+99, 1), nil))
	}
	check(t, s.Close())

	start := time.Now()
	s = mustOpen(t, folder)
	state := s.TakeState()
	applied := 0
	state.HardState.Commit = uint64(len(state.Entries))
	n := raft.New(raft.Options{ID: 7}, state)
	for _, e := range n.Ready().Committed {
		applied += len(e.Data)
	}
	elapsed := time.Since(start)
	if applied == 0 || len(state.Entries) != count {
		t.Fatalf("%d entries, %d bytes applied", len(state.Entries), applied)
	}
	t.Logf("opened and applied %d entries in %v", count, elapsed)
	if elapsed > limit {
		t.Fatalf("opening took %v, limit %v", elapsed, limit)
	}
}

// TestWritesAreSynced guards the options that make a commit durable. That the file system keeps what was synced is
// played on the users' bench only.
func TestWritesAreSynced(t *testing.T) {
	s := mustOpen(t, t.TempDir())
	defer s.Close()
	if s.db.NoSync || s.db.NoGrowSync || s.db.NoFreelistSync {
		t.Fatal("the log is written without syncs")
	}
}

// TestAFullDiskIsWaitedFor lets the first commits find no room.
func TestAFullDiskIsWaitedFor(t *testing.T) {
	failures, told := 0, 0
	s, err := Open(Options{
		Folder: t.TempDir(),
		Commit: func(tx *bbolt.Tx) error {
			if failures > 0 {
				failures--
				return &os.PathError{Op: "write", Path: "raft.db", Err: syscall.ENOSPC}
			}
			return tx.Commit()
		},
		OnDiskFull: func(time.Duration, error) { told++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	failures = 3
	if err := s.Save(&raft.HardState{Term: 7}, entries(1, 3, 7), nil); err != nil {
		t.Fatal(err)
	}
	if told != 3 {
		t.Fatalf("told %d times that the disk is full", told)
	}
	if err := s.Save(&raft.HardState{Term: 8}, nil, nil); err != nil {
		t.Fatalf("the store failed for good: %v", err)
	}
}
