package blobs

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"filbertledge/internal/errs"
)

func openStore(t *testing.T, folder string) *Store {
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

// Guards against values that are lost when the store is reopened, and against appending to the last segment of an
// earlier process, whose end may be torn.
func TestReopenKeepsValues(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	refs := map[string]Ref{}
	for _, v := range []string{"a", "bb", ""} {
		refs[v] = appendValue(t, s, []byte(v))
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	reopened := openStore(t, folder)
	newRef := appendValue(t, reopened, []byte("new"))
	for v, ref := range refs {
		got, err := reopened.Read(ref)
		if err != nil || string(got) != v {
			t.Fatalf("read %q: %q, %v", v, got, err)
		}
		if ref.Segment == newRef.Segment {
			t.Fatal("a reopened store appends to a segment whose end may be torn")
		}
	}
}

// Guards against returning a value whose bytes changed on disk.
func TestReadReportsDamagedValue(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
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
		t.Fatalf("read of a damaged value: %v", err)
	}
}

// Guards against unused segments that fill the disk, and against deleting a used or the current segment.
func TestRetainDeletesUnusedSegments(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
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
		t.Fatal("a value of an unused segment can still be read")
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

// Guards against copying bytes twice when a later snapshot needs more of the same segment, and against accepting a
// remote segment that is too short.
func TestCopySegmentResumesAfterCopiedBytes(t *testing.T) {
	source, target := openStore(t, t.TempDir()), openStore(t, t.TempDir())
	first := appendValue(t, source, bytes.Repeat([]byte("a"), 2*ChunkBytes+7))
	read := func(offset int64) ([]byte, error) { return source.ReadChunk(first.Segment, offset) }
	if err := target.CopySegment(first.Segment, first.Offset+int64(first.Length), read); err != nil {
		t.Fatal(err)
	}
	second := appendValue(t, source, []byte("second"))
	calls := 0
	countedRead := func(offset int64) ([]byte, error) {
		calls++
		return read(offset)
	}
	if err := target.CopySegment(second.Segment, second.Offset+int64(second.Length), countedRead); err != nil {
		t.Fatal(err)
	}
	if calls != 1 {
		t.Fatalf("%d chunks were read for the second copy, want 1", calls)
	}
	for _, ref := range []Ref{first, second} {
		if _, err := target.Read(ref); err != nil {
			t.Fatal(err)
		}
	}
	if err := target.CopySegment(99, 10, func(int64) ([]byte, error) { return nil, nil }); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("copy of a remote segment that is too short: %v", err)
	}
}

// TestSlowDiskDoesNotDelayCallers guards against callers of Append and Read that wait for the disk. It blocks the
// writes: values are accepted and can be read meanwhile, and are then written with few combined writes.
func TestSlowDiskDoesNotDelayCallers(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	const valueCount, maxWrites = 100, 3
	unblock, writes := make(chan struct{}), 0
	originalWrite := s.writeAt
	s.writeAt = func(f *os.File, value []byte, offset int64) error {
		<-unblock
		writes++
		return originalWrite(f, value, offset)
	}
	var refs []Ref
	for i := range valueCount {
		refs = append(refs, appendValue(t, s, fmt.Appendf(nil, "value %d", i)))
	}
	checkValues := func(from *Store) {
		t.Helper()
		for i, ref := range refs {
			if got, err := from.Read(ref); err != nil || string(got) != fmt.Sprintf("value %d", i) {
				t.Fatalf("value %d: %q, %v", i, got, err)
			}
		}
	}
	checkValues(s)
	if err := s.Retain(map[uint64]bool{}); err != nil {
		t.Fatal(err)
	}
	close(unblock)
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if writes > maxWrites {
		t.Errorf("%d values were written with %d writes", len(refs), writes)
	}
	checkValues(s)
	checkValues(openStore(t, folder))
}

// TestFailedWriteIsPermanent guards against a store that continues after a failed write: all later calls of Sync
// and Append must fail.
func TestFailedWriteIsPermanent(t *testing.T) {
	s := openStore(t, t.TempDir())
	s.writeAt = func(*os.File, []byte, int64) error { return syscall.EIO }
	appendValue(t, s, []byte("lost"))
	if err := s.Sync(); !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("Sync after a failed write: %v", err)
	}
	if _, err := s.Append([]byte("more")); !errs.Is(err, errs.StorageFailed) {
		t.Fatalf("Append after a failed write: %v", err)
	}
}

// TestWriteRetriesWhileDiskIsFull guards against values that are lost when the disk is full: the write is retried
// until there is space.
func TestWriteRetriesWhileDiskIsFull(t *testing.T) {
	s := openStore(t, t.TempDir())
	originalWrite, failures := s.writeAt, 2
	s.writeAt = func(f *os.File, value []byte, offset int64) error {
		if failures > 0 {
			failures--
			return syscall.ENOSPC
		}
		return originalWrite(f, value, offset)
	}
	ref := appendValue(t, s, []byte("kept"))
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Read(ref); err != nil || string(got) != "kept" || failures != 0 {
		t.Fatalf("read %q, %v", got, err)
	}
}

// TestCopySegmentAgainAfterPowerLoss guards against trusting the size of a file that an earlier process copied:
// after a power loss during the copy the file may have its full length but not its content, so it must be copied
// again.
func TestCopySegmentAgainAfterPowerLoss(t *testing.T) {
	source, folder := openStore(t, t.TempDir()), t.TempDir()
	ref := appendValue(t, source, bytes.Repeat([]byte("a"), 2*ChunkBytes))
	read := func(offset int64) ([]byte, error) { return source.ReadChunk(ref.Segment, offset) }
	target := openStore(t, folder)
	if err := target.CopySegment(ref.Segment, int64(ref.Length), read); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(target.path(ref.Segment), make([]byte, ref.Length), fileMode); err != nil {
		t.Fatal(err)
	}
	reopened := openStore(t, folder)
	if err := reopened.CopySegment(ref.Segment, int64(ref.Length), read); err != nil {
		t.Fatal(err)
	}
	if _, err := reopened.Read(ref); err != nil {
		t.Fatal(err)
	}
}

// Guards against a Sync that leaves a segment or the directory entry of a new segment unsynced: after a power loss, the
// values would be missing.
func TestSyncCoversSegmentsAndFolders(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	var synced []string
	s.syncFile = func(f *os.File) error {
		synced = append(synced, f.Name())
		return nil
	}
	large := bytes.Repeat([]byte{1}, SegmentBytes)
	var want []string
	for _, value := range [][]byte{large, []byte("small")} { // the second value starts a new segment
		want = append(want, s.path(appendValue(t, s, value).Segment))
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	for _, path := range append(want, s.folder, folder) {
		if !slices.Contains(synced, path) {
			t.Errorf("Sync leaves %s unsynced", path)
		}
	}
	synced = nil
	path := s.path(appendValue(t, s, []byte("more")).Segment)
	if err := s.Sync(); err != nil || !slices.Contains(synced, path) {
		t.Errorf("the next Sync leaves %s unsynced: %v", path, err)
	}
	s.syncFile = func(*os.File) error { return syscall.EIO }
	appendValue(t, s, []byte("last"))
	if err := s.Sync(); !errs.Is(err, errs.StorageFailed) {
		t.Errorf("a failed sync returns %v", err)
	}
}

// Guards against a process that ends because the disk is full when a new segment starts.
func TestFullDiskDelaysNewSegment(t *testing.T) {
	s := openStore(t, t.TempDir())
	create, failures := s.createFile, 2
	s.createFile = func(path string) (*os.File, error) {
		if failures > 0 {
			failures--
			return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
		}
		return create(path)
	}
	ref := appendValue(t, s, []byte("value"))
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Read(ref); err != nil || string(got) != "value" {
		t.Fatalf("read %q, %v", got, err)
	}
}

// Guards against a default store that does not sync: after a loss of power, the texts of all replicas could be gone.
func TestDefaultStoreSyncs(t *testing.T) {
	s, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	if err := s.syncFile(w); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("the sync of a pipe, which the system refuses, returns %v", err)
	}
}
