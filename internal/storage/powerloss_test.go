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

// metaPages are the first pages of a bbolt file, of which each commit writes one after its data is synced.
const metaPages = 2

// history is the content of a store's file around one commit.
type history struct {
	before, after []byte
	was, is       raft.DurableState
}

// lostPower returns a file as a loss of power in the middle of the commit may leave it. Before the sync of the data each
// of its pages is old, new or torn, and the meta page is old; after it the meta page is any of them.
func (h history) lostPower(rng *rand.Rand, page int) []byte {
	out := bytes.Clone(h.before)
	if len(h.after) > len(out) {
		out = append(out, make([]byte, len(h.after)-len(out))...)
	}
	dataSynced := rng.IntN(2) == 0
	for at := 0; at+page <= len(h.after); at += page {
		changed := at+page > len(h.before) || !bytes.Equal(h.before[at:at+page], h.after[at:at+page])
		switch meta := at < metaPages*page; {
		case !changed || meta && !dataSynced:
		case !meta && dataSynced:
			copy(out[at:], h.after[at:at+page])
		case rng.IntN(3) == 0: // torn
			half := 512 * rng.IntN(page/512)
			copy(out[at:], h.after[at:at+half])
		case rng.IntN(2) == 0:
			copy(out[at:], h.after[at:at+page])
		}
	}
	if !dataSynced && rng.IntN(2) == 0 {
		out = out[:len(h.before)] // the growth of the file was lost as well
	}
	return out
}

// TestPowerLossInACommit cuts the power in the middle of commits: appended entries, an overwritten tail, a snapshot that
// shortens the log, one that replaces it. The file must hold the state before or after the commit, and only the latter
// once the commit was acknowledged.
func TestPowerLossInACommit(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playPowerLoss(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

func playPowerLoss(t *testing.T, rng *rand.Rand) {
	folder := t.TempDir()
	path := filepath.Join(folder, FileName)
	var commits []history
	var before []byte
	s, err := Open(Options{Folder: folder, Commit: func(tx *bbolt.Tx) error {
		before = readFile(t, path)
		return tx.Commit()
	}})
	if err != nil {
		t.Fatal(err)
	}
	page := s.db.Info().PageSize
	state := raft.DurableState{}
	step := func(write func() error, change func(*raft.DurableState)) {
		t.Helper()
		was := state
		was.Entries = append([]raft.Entry(nil), state.Entries...)
		check(t, write())
		change(&state)
		is := state
		is.Entries = append([]raft.Entry(nil), state.Entries...)
		commits = append(commits, history{before: before, after: readFile(t, path), was: was, is: is})
	}
	for i := range 40 {
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
		case i%10 == 9:
			snapshot := raft.Snapshot{Index: last, Term: 1, Data: data}
			keepFrom := last - min(last, 3)
			step(func() error { return s.SaveSnapshot(snapshot, keepFrom) }, func(st *raft.DurableState) {
				st.Snapshot = snapshot
				for len(st.Entries) > 0 && st.Entries[0].Index <= keepFrom {
					st.Entries = st.Entries[1:]
				}
			})
		case i == 25:
			snapshot := raft.Snapshot{Index: last + 20, Term: 2, Data: data}
			step(func() error { return s.Save(&hs, nil, &snapshot) }, func(st *raft.DurableState) {
				st.Snapshot, st.HardState, st.Entries = snapshot, hs, nil
			})
		default:
			from := last + 1
			if len(state.Entries) > 4 && rng.IntN(4) == 0 {
				from = last - 1 // another leader's entries replace the last two
			}
			from = max(from, state.Snapshot.Index+1)
			entries := []raft.Entry{{Index: from, Term: hs.Term, Data: data}, {Index: from + 1, Term: hs.Term, Data: []byte("x")}}
			step(func() error { return s.Save(&hs, entries, nil) }, func(st *raft.DurableState) {
				st.HardState = hs
				for len(st.Entries) > 0 && st.Entries[len(st.Entries)-1].Index >= from {
					st.Entries = st.Entries[:len(st.Entries)-1]
				}
				st.Entries = append(st.Entries, entries...)
			})
		}
	}
	check(t, s.Close())
	lost := filepath.Join(t.TempDir(), "lost")
	for i, h := range commits {
		for range 6 {
			checkFile(t, lost, h.lostPower(rng, page), fmt.Sprintf("in commit %d", i), h.was, h.is)
		}
		checkFile(t, lost, h.after, fmt.Sprintf("after commit %d", i), h.is)
	}
}

// checkFile opens a file with the given content; it must hold one of the allowed states.
func checkFile(t *testing.T, folder string, content []byte, when string, allowed ...raft.DurableState) {
	t.Helper()
	check(t, os.RemoveAll(folder))
	check(t, os.MkdirAll(folder, folderMode))
	check(t, os.WriteFile(filepath.Join(folder, FileName), content, fileMode))
	s, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatalf("power lost %s: %v", when, err)
	}
	defer s.Close()
	got := s.TakeState()
	for _, want := range allowed {
		if sameState(got, want) {
			return
		}
	}
	t.Fatalf("power lost %s: the file holds %d entries up to a snapshot at %d and the hard state %+v", when, len(got.Entries), got.Snapshot.Index, got.HardState)
}

func sameState(a, b raft.DurableState) bool {
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
