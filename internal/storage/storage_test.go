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

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

var voters = []raft.Member{{ID: 7, Name: "a", FailureDomain: "x", Address: "127.0.0.1:1"}}

// Guards against state that is lost at a restart, and against entries of an old term that remain after a newer
// leader's entries have replaced the tail of the log.
func TestReopenKeepsState(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	s := mustOpen(t, folder)
	instance := s.Instance()
	mustSucceed(t, s.SaveInitialState(raft.InitialState(voters)))
	mustSucceed(t, s.Save(&raft.HardState{Term: 2, Vote: 7, Commit: 3}, entries(2, 9, 1), nil))
	mustSucceed(t, s.Save(nil, entries(5, 6, 2), nil))
	mustSucceed(t, s.Close())

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
	mustSucceed(t, s.SaveSnapshot(raft.Snapshot{Index: 5, Term: 2, Data: []byte("state")}, 3))
	mustSucceed(t, s.Close())
	state = mustOpen(t, folder).TakeState()
	if state.Snapshot.Index != 5 || len(state.Entries) != 3 || state.Entries[0].Index != 4 {
		t.Fatalf("state after compaction: %+v", state)
	}
}

// Guards against a failed commit that is retried, and against a failed write that is partly visible after the
// restart.
func TestFailedCommitIsPermanent(t *testing.T) {
	folder := t.TempDir()
	commits := 0
	s, err := Open(Options{Folder: folder, Commit: func(tx *bbolt.Tx) error {
		if commits++; commits > 2 {
			return errors.New("input/output error")
		}
		return tx.Commit()
	}})
	mustSucceed(t, err)
	mustSucceed(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3, 1), nil))
	for range 2 {
		if err := s.Save(&raft.HardState{Term: 9}, entries(4, 5, 9), nil); !errs.Is(err, errs.StorageFailed) {
			t.Fatalf("got %v, want kind %s", err, errs.StorageFailed)
		}
	}
	if commits != 3 {
		t.Fatalf("%d commits, want 3: a failed commit was retried", commits)
	}
	mustSucceed(t, s.Close())
	state := mustOpen(t, folder).TakeState()
	if state.HardState.Term != 1 || len(state.Entries) != 3 {
		t.Fatalf("state after a failed commit: %+v", state)
	}
}

// Guards against a torn last commit that is reported as corruption or is partly visible. The test damages bbolt's
// newest meta page, as a power loss during the commit does.
func TestOpenAfterTornCommit(t *testing.T) {
	folder := t.TempDir()
	s := mustOpen(t, folder)
	mustSucceed(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3, 1), nil))
	before := readFile(t, s.Path())
	mustSucceed(t, s.Save(&raft.HardState{Term: 2}, entries(4, 200, 2), nil))
	mustSucceed(t, s.Close())
	after := readFile(t, s.Path())

	pageSize := os.Getpagesize()
	newest := 0
	if !bytes.Equal(before[pageSize:2*pageSize], after[pageSize:2*pageSize]) {
		newest = pageSize
	}
	torn := bytes.Clone(after)
	copy(torn[newest+64:newest+pageSize], bytes.Repeat([]byte{0xff}, 64))
	mustSucceed(t, os.WriteFile(s.Path(), torn, fileMode))
	state := mustOpen(t, folder).TakeState()
	if state.HardState.Term != 1 || len(state.Entries) != 3 {
		t.Fatalf("state after a torn write: term %d, %d entries", state.HardState.Term, len(state.Entries))
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	mustSucceed(t, err)
	return data
}

// Guards against records that are silently lost: a changed byte anywhere in the log, or a missing entry, must stop
// the startup with an error that names the file, the index and the remedy.
func TestOpenReportsCorruptRecord(t *testing.T) {
	cases := map[string]struct {
		corrupt     func(*bbolt.Tx) error
		wantInError string
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
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := mustOpen(t, folder)
			mustSucceed(t, s.Save(&raft.HardState{Term: 1}, entries(1, 6, 1), nil))
			mustSucceed(t, s.db.Update(c.corrupt))
			mustSucceed(t, s.Close())
			_, err := Open(Options{Folder: folder})
			if !errs.Is(err, errs.StorageCorrupt) {
				t.Fatalf("got %v, want kind %s", err, errs.StorageCorrupt)
			}
			for _, part := range []string{s.Path(), c.wantInError, "replace the replica"} {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
}

// Guards against a panic, instead of an error, when the file is truncated or overwritten.
func TestOpenReportsDamagedFile(t *testing.T) {
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
			mustSucceed(t, s.Save(&raft.HardState{Term: 1}, entries(1, 3000, 1), nil))
			mustSucceed(t, s.Close())
			mustSucceed(t, os.WriteFile(s.Path(), damage(readFile(t, s.Path())), fileMode))
			if _, err := Open(Options{Folder: folder}); !errs.Is(err, errs.StorageCorrupt) {
				t.Fatalf("got %v, want kind %s", err, errs.StorageCorrupt)
			}
		})
	}
}

// Guards against a slow restart: a replica that restarts after many changes must open its file and apply the log
// entries within the target time.
func TestReopenTimeWithManyEntries(t *testing.T) {
	const count, entriesPerSave, maxOpenTime = 10_000, 100, time.Second
	folder := t.TempDir()
	s := mustOpen(t, folder)
	mustSucceed(t, s.SaveInitialState(raft.InitialState(voters)))
	for from := uint64(2); from <= count; from += entriesPerSave {
		mustSucceed(t, s.Save(&raft.HardState{Term: 1, Commit: from}, entries(from, from+entriesPerSave-1, 1), nil))
	}
	mustSucceed(t, s.Close())

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
	if elapsed > maxOpenTime {
		t.Fatalf("opening took %v, limit %v", elapsed, maxOpenTime)
	}
}

// TestCommitsAreSynced guards against bbolt options that skip syncs. It checks only the options: whether the file
// system keeps synced data after a real power loss is not tested here but on the users' test bench.
func TestCommitsAreSynced(t *testing.T) {
	s := mustOpen(t, t.TempDir())
	defer s.Close()
	if s.db.NoSync || s.db.NoGrowSync || s.db.NoFreelistSync {
		t.Fatal("the bbolt options disable syncs")
	}
}

// Guards against a replica that ends because the disk is full while the data file grows: bbolt formats that error as text.
func TestSaveWaitsForDiskSpaceToGrow(t *testing.T) {
	full := &os.PathError{Op: "truncate", Path: "raft.db", Err: syscall.ENOSPC}
	for name, tc := range map[string]struct {
		err   error
		waits bool
	}{
		"growth":               {fmt.Errorf("file resize error: %s", full), true},
		"sync after growth":    {fmt.Errorf("file sync error: %s", full), true},
		"growth, other cause":  {fmt.Errorf("file resize error: %s", &os.PathError{Op: "truncate", Path: "raft.db", Err: syscall.EIO}), false},
		"text of another step": {fmt.Errorf("mmap allocate error: %s", full), false},
	} {
		t.Run(name, func(t *testing.T) {
			failures := 0
			s, err := Open(Options{Folder: t.TempDir(), Commit: func(tx *bbolt.Tx) error {
				if failures > 0 {
					failures--
					return tc.err
				}
				return tx.Commit()
			}})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			failures = 2
			if err := s.Save(&raft.HardState{Term: 7}, entries(1, 3, 7), nil); (err == nil) != tc.waits {
				t.Fatalf("got %v, want to wait: %t", err, tc.waits)
			}
		})
	}
}

// TestSaveWaitsForDiskSpace guards against a store that fails permanently when the disk is full: the first commits
// return ENOSPC, and Save must retry until one succeeds.
func TestSaveWaitsForDiskSpace(t *testing.T) {
	failures, onDiskFullCalls := 0, 0
	s, err := Open(Options{
		Folder: t.TempDir(),
		Commit: func(tx *bbolt.Tx) error {
			if failures > 0 {
				failures--
				return &os.PathError{Op: "write", Path: "raft.db", Err: syscall.ENOSPC}
			}
			return tx.Commit()
		},
		OnDiskFull: func(time.Duration, error) { onDiskFullCalls++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	failures = 3
	if err := s.Save(&raft.HardState{Term: 7}, entries(1, 3, 7), nil); err != nil {
		t.Fatal(err)
	}
	if onDiskFullCalls != 3 {
		t.Fatalf("OnDiskFull was called %d times, want 3", onDiskFullCalls)
	}
	if err := s.Save(&raft.HardState{Term: 8}, nil, nil); err != nil {
		t.Fatalf("write after the disk had space again: %v", err)
	}
}
