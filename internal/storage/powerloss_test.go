package storage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/bbolt"

	"filbertledge/internal/raft"
)

// metaPages is the number of meta pages at the start of a bbolt file. Each commit writes one of them, after its
// data pages are synced.
const metaPages = 2

// sectorBytes is the unit in which a torn page is cut: disks write a sector as a whole.
const sectorBytes = 512

// commitImages is the content of a store's file, and the Raft state in it, before and after one commit.
type commitImages struct {
	fileBefore, fileAfter   []byte
	stateBefore, stateAfter raft.DurableState
}

// afterPowerLoss returns the content that the file may have after a power loss during the commit. Before the data
// sync completes, each changed data page may be old, new or torn, and the meta pages are old. After the data sync,
// all data pages are new, and a changed meta page may be old, new or torn.
func (c commitImages) afterPowerLoss(rng *rand.Rand, pageBytes int) []byte {
	out := bytes.Clone(c.fileBefore)
	if len(c.fileAfter) > len(out) {
		out = append(out, make([]byte, len(c.fileAfter)-len(out))...)
	}
	dataSynced := rng.IntN(2) == 0
	for at := 0; at+pageBytes <= len(c.fileAfter); at += pageBytes {
		changed := at+pageBytes > len(c.fileBefore) || !bytes.Equal(c.fileBefore[at:at+pageBytes], c.fileAfter[at:at+pageBytes])
		switch meta := at < metaPages*pageBytes; {
		case !changed || meta && !dataSynced:
		case !meta && dataSynced:
			copy(out[at:], c.fileAfter[at:at+pageBytes])
		case rng.IntN(3) == 0: // torn: only its first sectors were written
			written := sectorBytes * rng.IntN(pageBytes/sectorBytes)
			copy(out[at:], c.fileAfter[at:at+written])
		case rng.IntN(2) == 0:
			copy(out[at:], c.fileAfter[at:at+pageBytes])
		}
	}
	if !dataSynced && rng.IntN(2) == 0 {
		out = out[:len(c.fileBefore)] // the new file size was lost as well
	}
	return out
}

// TestPowerLossDuringCommit simulates power losses during commits that append entries, overwrite the last entries,
// save a snapshot and truncate the log, or replace the log with a received snapshot. It guards against commits that
// are partly visible after a restart: the file must hold the state before or after the commit, and only the latter
// once the commit has returned.
func TestPowerLossDuringCommit(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testPowerLoss(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

const (
	commitsPerSeed       = 40
	snapshotInterval     = 10 // commits from one snapshot of the replica's own state to the next
	receivedSnapshotAt   = 25 // number of the commit that replaces the log with a received snapshot
	overwriteMinEntries  = 4  // the last entries are overwritten only if the log holds more entries than this
	powerLossesPerCommit = 6
)

func testPowerLoss(t *testing.T, rng *rand.Rand) {
	folder := t.TempDir()
	path := filepath.Join(folder, FileName)
	var commits []commitImages
	var fileBefore []byte
	s, err := Open(Options{Folder: folder, Commit: func(tx *bbolt.Tx) error {
		fileBefore = readFile(t, path)
		return tx.Commit()
	}})
	if err != nil {
		t.Fatal(err)
	}
	pageBytes := s.db.Info().PageSize
	state := raft.DurableState{}
	commit := func(write func() error, change func(*raft.DurableState)) {
		t.Helper()
		stateBefore := state
		stateBefore.Entries = append([]raft.Entry(nil), state.Entries...)
		mustSucceed(t, write())
		change(&state)
		stateAfter := state
		stateAfter.Entries = append([]raft.Entry(nil), state.Entries...)
		commits = append(commits, commitImages{fileBefore: fileBefore, fileAfter: readFile(t, path), stateBefore: stateBefore, stateAfter: stateAfter})
	}
	for i := range commitsPerSeed {
		last := uint64(0)
		if n := len(state.Entries); n > 0 {
			last = state.Entries[n-1].Index
		}
		hs := raft.HardState{Term: uint64(i + 1), Vote: 3, Commit: last}
		data := make([]byte, rng.IntN(9000))
		for k := range data {
			data[k] = byte(rng.Uint32())
		}
		switch {
		case i%snapshotInterval == snapshotInterval-1:
			snapshot := raft.Snapshot{Index: last, Term: 1, Data: data}
			compactTo := last - min(last, 3)
			commit(func() error { return s.SaveSnapshot(snapshot, compactTo) }, func(st *raft.DurableState) {
				st.Snapshot = snapshot
				for len(st.Entries) > 0 && st.Entries[0].Index <= compactTo {
					st.Entries = st.Entries[1:]
				}
			})
		case i == receivedSnapshotAt:
			snapshot := raft.Snapshot{Index: last + 20, Term: 2, Data: data}
			commit(func() error { return s.Save(&hs, nil, &snapshot) }, func(st *raft.DurableState) {
				st.Snapshot, st.HardState, st.Entries = snapshot, hs, nil
			})
		default:
			from := last + 1
			if len(state.Entries) > overwriteMinEntries && rng.IntN(4) == 0 {
				from = last - 1 // entries of a new leader replace the last two
			}
			from = max(from, state.Snapshot.Index+1)
			entries := []raft.Entry{{Index: from, Term: hs.Term, Data: data}, {Index: from + 1, Term: hs.Term, Data: []byte("x")}}
			commit(func() error { return s.Save(&hs, entries, nil) }, func(st *raft.DurableState) {
				st.HardState = hs
				for len(st.Entries) > 0 && st.Entries[len(st.Entries)-1].Index >= from {
					st.Entries = st.Entries[:len(st.Entries)-1]
				}
				st.Entries = append(st.Entries, entries...)
			})
		}
	}
	mustSucceed(t, s.Close())
	copyFolder := filepath.Join(t.TempDir(), "lost")
	for i, c := range commits {
		for range powerLossesPerCommit {
			checkFile(t, copyFolder, c.afterPowerLoss(rng, pageBytes), fmt.Sprintf("in commit %d", i), c.stateBefore, c.stateAfter)
		}
		checkFile(t, copyFolder, c.fileAfter, fmt.Sprintf("after commit %d", i), c.stateAfter)
	}
}

// checkFile opens a store file with the given content and fails the test unless it holds one of the allowed states.
func checkFile(t *testing.T, folder string, content []byte, when string, allowed ...raft.DurableState) {
	t.Helper()
	mustSucceed(t, os.RemoveAll(folder))
	mustSucceed(t, os.MkdirAll(folder, folderMode))
	mustSucceed(t, os.WriteFile(filepath.Join(folder, FileName), content, fileMode))
	s, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatalf("power loss %s: cannot open the store: %v", when, err)
	}
	defer s.Close()
	got := s.TakeState()
	for _, want := range allowed {
		if equalStates(got, want) {
			return
		}
	}
	t.Fatalf("power loss %s: unexpected state: %d entries, snapshot index %d, hard state %+v", when, len(got.Entries), got.Snapshot.Index, got.HardState)
}

func equalStates(a, b raft.DurableState) bool {
	if a.HardState != b.HardState || a.Snapshot.Index != b.Snapshot.Index || !bytes.Equal(a.Snapshot.Data, b.Snapshot.Data) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		x, y := a.Entries[i], b.Entries[i]
		if x.Index != y.Index || x.Term != y.Term || !bytes.Equal(x.Data, y.Data) || !reflect.DeepEqual(x.Configuration, y.Configuration) {
			return false
		}
	}
	return true
}
