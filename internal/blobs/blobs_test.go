package blobs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"filbertledge/internal/errs"
)

func open(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func appendValue(t *testing.T, s *Store, value []byte) Ref {
	t.Helper()
	ref, err := s.Append(value)
	if err != nil {
		t.Fatal(err)
	}
	return ref
}

func TestValuesSurviveAReopen(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	refs := map[string]Ref{}
	for _, v := range []string{"a", "bb", ""} {
		refs[v] = appendValue(t, s, []byte(v))
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	again := open(t, folder)
	other := appendValue(t, again, []byte("new"))
	for v, ref := range refs {
		got, err := again.Read(ref)
		if err != nil || string(got) != v {
			t.Fatalf("read %q: %q, %v", v, got, err)
		}
		if ref.Segment == other.Segment {
			t.Fatal("a reopened store appends to a segment whose end may be torn")
		}
	}
}

func TestDamageIsFound(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	ref := appendValue(t, s, []byte("value"))
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(s.path(ref.Segment), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteAt([]byte("X"), ref.Offset+2); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if _, err := s.Read(ref); !errs.Is(err, errs.StorageCorrupt) {
		t.Fatalf("got %v", err)
	}
}

func TestRetainRemovesUnusedSegments(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	old := appendValue(t, s, bytes.Repeat([]byte("x"), SegmentBytes))
	kept := appendValue(t, s, bytes.Repeat([]byte("y"), SegmentBytes))
	current := appendValue(t, s, []byte("z"))
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := s.Retain(map[uint64]bool{kept.Segment: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Read(old); err == nil {
		t.Fatal("an unused segment is still there")
	}
	for _, ref := range []Ref{kept, current} {
		if _, err := s.Read(ref); err != nil {
			t.Fatal(err)
		}
	}
	names, err := filepath.Glob(filepath.Join(folder, folderName, "*"))
	if err != nil || len(names) != 2 {
		t.Fatalf("files left: %v, %v", names, err)
	}
}

func TestCopyGoesOnWhereItStopped(t *testing.T) {
	source, target := open(t, t.TempDir()), open(t, t.TempDir())
	first := appendValue(t, source, bytes.Repeat([]byte("a"), 2*ChunkBytes+7))
	read := func(offset int64) ([]byte, error) { return source.ReadChunk(first.Segment, offset) }
	if err := target.CopySegment(first.Segment, first.Offset+int64(first.Length), read); err != nil {
		t.Fatal(err)
	}
	second := appendValue(t, source, []byte("second"))
	calls := 0
	counted := func(offset int64) ([]byte, error) {
		calls++
		return read(offset)
	}
	if err := target.CopySegment(second.Segment, second.Offset+int64(second.Length), counted); err != nil {
		t.Fatal(err)
	}
	if calls != 1 {
		t.Fatalf("%d chunks were copied again", calls)
	}
	for _, ref := range []Ref{first, second} {
		if _, err := target.Read(ref); err != nil {
			t.Fatal(err)
		}
	}
	if err := target.CopySegment(99, 10, func(int64) ([]byte, error) { return nil, nil }); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("a short segment: %v", err)
	}
}

// TestASlowDiskHoldsUpNobody holds the writes up: values are taken and read all the same, and then they are written with
// few writes.
func TestASlowDiskHoldsUpNobody(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	hold, writes := make(chan struct{}), 0
	write := s.writeAt
	s.writeAt = func(f *os.File, value []byte, offset int64) error {
		<-hold
		writes++
		return write(f, value, offset)
	}
	var refs []Ref
	for i := range 100 {
		refs = append(refs, appendValue(t, s, fmt.Appendf(nil, "value %d", i)))
	}
	check := func(from *Store) {
		t.Helper()
		for i, ref := range refs {
			if got, err := from.Read(ref); err != nil || string(got) != fmt.Sprintf("value %d", i) {
				t.Fatalf("value %d: %q, %v", i, got, err)
			}
		}
	}
	check(s)
	if err := s.Retain(map[uint64]bool{}); err != nil {
		t.Fatal(err)
	}
	close(hold)
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if writes > 3 {
		t.Errorf("%d values were written with %d writes", len(refs), writes)
	}
	check(s)
	check(open(t, folder))
}

// TestAFailedWriteIsFinal fails a write: nothing is taken or synced after it.
func TestAFailedWriteIsFinal(t *testing.T) {
	s := open(t, t.TempDir())
	s.writeAt = func(*os.File, []byte, int64) error { return syscall.EIO }
	appendValue(t, s, []byte("lost"))
	if err := s.Sync(); !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("the sync after a failed write: %v", err)
	}
	if _, err := s.Append([]byte("more")); !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("a value after a failed write: %v", err)
	}
}

// TestAFullDiskIsWaitedFor fails writes for lack of room: the values are there once there is room.
func TestAFullDiskIsWaitedFor(t *testing.T) {
	s := open(t, t.TempDir())
	write, failures := s.writeAt, 2
	s.writeAt = func(f *os.File, value []byte, offset int64) error {
		if failures > 0 {
			failures--
			return syscall.ENOSPC
		}
		return write(f, value, offset)
	}
	ref := appendValue(t, s, []byte("kept"))
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Read(ref); err != nil || string(got) != "kept" || failures != 0 {
		t.Fatalf("read %q, %v", got, err)
	}
}

// TestACopyThatAPowerLossToreIsMadeAgain plays a loss of power in the middle of a copy: the file has its length, but not
// the bytes.
func TestACopyThatAPowerLossToreIsMadeAgain(t *testing.T) {
	source, folder := open(t, t.TempDir()), t.TempDir()
	ref := appendValue(t, source, bytes.Repeat([]byte("a"), 2*ChunkBytes))
	read := func(offset int64) ([]byte, error) { return source.ReadChunk(ref.Segment, offset) }
	target := open(t, folder)
	if err := target.CopySegment(ref.Segment, int64(ref.Length), read); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(target.path(ref.Segment), make([]byte, ref.Length), fileMode); err != nil {
		t.Fatal(err)
	}
	again := open(t, folder)
	if err := again.CopySegment(ref.Segment, int64(ref.Length), read); err != nil {
		t.Fatal(err)
	}
	if _, err := again.Read(ref); err != nil {
		t.Fatal(err)
	}
}
