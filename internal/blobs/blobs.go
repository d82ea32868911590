// Package blobs stores large values of a replica on disk, outside the snapshot of its state. Values are appended to
// segment files and read by reference. A value is durable after the next Sync; until then it can be recovered only
// from the Raft log entry that contained it.
//
// Segment numbers are unique across replicas. A replica that receives a snapshot copies the segments that the
// snapshot refers to, and the references stay valid.
package blobs

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/errs"
)

const (
	folderName  = "values"
	segmentName = "%016x.values"
	folderMode  = 0o700
	fileMode    = 0o600
	// SegmentBytes is the maximum size of a segment, except for one that holds a single larger value. Only whole
	// segments are deleted.
	SegmentBytes = 8 << 20
	// diskFullRetryInterval is the time between two attempts to write to a full disk.
	diskFullRetryInterval = 100 * time.Millisecond
	// counterBits is the number of low bits of a segment number that count the segments created by one process. The
	// high bits are random.
	counterBits = 20
)

// Ref is the reference to a stored value. The zero Ref refers to the empty value.
type Ref struct {
	Segment  uint64 `cbor:"1,keyasint,omitempty"`
	Offset   int64  `cbor:"2,keyasint,omitempty"`
	Length   int    `cbor:"3,keyasint,omitempty"`
	Checksum uint64 `cbor:"4,keyasint,omitempty"` // xxhash64 of the value
}

// maxPendingBytes bounds the values that wait to be written. Above it Append blocks, for example while the disk
// hangs.
const maxPendingBytes = 8 << 20

// Store is a folder of segment files. It is safe for concurrent use. A background goroutine writes the values, so
// that a slow disk does not delay the caller of Append: a write to a slow disk takes up to 30 ms, and one command
// may store a hundred results.
type Store struct {
	folder string
	// writeAt writes to a segment file; tests replace it to delay or fail writes.
	writeAt func(f *os.File, value []byte, offset int64) error
	// createFile creates a segment file, and syncFile syncs a segment file or a folder; tests replace them.
	createFile func(path string) (*os.File, error)
	syncFile   func(f *os.File) error

	mu          sync.Mutex
	changed     sync.Cond // signals changes of queue, pending, writeErr and closed
	segments    map[uint64]*os.File
	dirty       map[uint64]bool // segments written since the last Sync
	folderDirty bool            // a segment was created since the last Sync
	lastNumber  uint64          // highest number of a segment of this process
	texts       appender
	bodies      appender
	// writtenBytes is, by segment, the length of the prefix that this process wrote or copied. Bytes beyond it,
	// left by an earlier process, may be torn by a power loss, unless the replica's own snapshot refers to them.
	writtenBytes map[uint64]int64

	queue        []queuedWrite
	pending      map[location][]byte // values not yet written to their file
	pendingBytes int                 // total size of pending
	writeErr     error               // error of the background writer; permanent
	closed       bool
}

// appender is the end of the segment that values of one kind are appended to. Values that are kept for different times are
// in different segments, because only whole segments are deleted.
type appender struct {
	segment uint64
	bytes   int64 // allocated in the segment
}

// location is the position of a value.
type location struct {
	segment uint64
	offset  int64
}

// queuedWrite is a value and the location to write it to.
type queuedWrite struct {
	location
	value []byte
}

// Open opens the store in a data folder. New values are appended to a new segment, because the end of the last one
// may hold values without a reference, from a process that crashed. Errors are of the kind errs.StorageFailed.
func Open(dataFolder string) (*Store, error) {
	s := &Store{
		folder: filepath.Join(dataFolder, folderName), segments: map[uint64]*os.File{}, dirty: map[uint64]bool{},
		writtenBytes: map[uint64]int64{}, pending: map[location][]byte{},
		lastNumber: rand.Uint64() << counterBits,
		texts:      appender{bytes: SegmentBytes}, bodies: appender{bytes: SegmentBytes}, // count as full: new segments follow
		folderDirty: true, // the folder may have just been created
		writeAt: func(f *os.File, value []byte, offset int64) error {
			_, err := f.WriteAt(value, offset)
			return err
		},
		createFile: func(path string) (*os.File, error) {
			return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
		},
		syncFile: (*os.File).Sync,
	}
	s.changed.L = &s.mu
	if err := os.MkdirAll(s.folder, folderMode); err != nil {
		return nil, storageError(err, "cannot create the folder %s", s.folder)
	}
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, storageError(err, "cannot list the folder %s", s.folder)
	}
	for _, e := range entries {
		var number uint64
		if _, err := fmt.Sscanf(e.Name(), segmentName, &number); err != nil {
			continue // not a segment
		}
		f, err := os.OpenFile(s.path(number), os.O_RDWR, fileMode)
		if err != nil {
			return nil, storageError(err, "cannot open segment %x", number)
		}
		s.segments[number] = f
	}
	go s.writeLoop()
	return s, nil
}

func storageError(err error, format string, args ...any) error {
	return errs.Wrap(err, errs.StorageFailed, "check the disk, then start the VM again", format, args...)
}

func (s *Store) path(segment uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf(segmentName, segment))
}

// Append queues a value to be written and returns its reference. It can be read immediately. The caller must not
// modify value afterwards.
func (s *Store) Append(value []byte) (Ref, error) { return s.append(&s.texts, value) }

// AppendBody is Append for request bodies, which are kept for a shorter time than other values.
func (s *Store) AppendBody(value []byte) (Ref, error) { return s.append(&s.bodies, value) }

func (s *Store) append(a *appender, value []byte) (Ref, error) {
	if len(value) == 0 {
		return Ref{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.pendingBytes > maxPendingBytes && s.writeErr == nil {
		s.changed.Wait()
	}
	if s.writeErr != nil {
		return Ref{}, s.writeErr
	}
	if a.bytes+int64(len(value)) > SegmentBytes {
		s.lastNumber++
		*a = appender{segment: s.lastNumber}
	}
	loc := location{segment: a.segment, offset: a.bytes}
	a.bytes += int64(len(value))
	s.queue = append(s.queue, queuedWrite{loc, value})
	s.pending[loc] = value
	s.pendingBytes += len(value)
	s.changed.Broadcast()
	return Ref{Segment: loc.segment, Offset: loc.offset, Length: len(value), Checksum: xxhash.Sum64(value)}, nil
}

// writeLoop writes the queued values until the store is closed. Adjacent values are combined into one write.
func (s *Store) writeLoop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.queue) == 0 && !s.closed {
			s.changed.Wait()
		}
		if len(s.queue) == 0 || s.writeErr != nil {
			return
		}
		writes := s.queue
		s.queue = nil
		for len(writes) > 0 && s.writeErr == nil {
			writes = writes[s.writeAdjacent(writes):]
		}
		s.changed.Broadcast()
	}
}

// writeAdjacent writes the adjacent values at the start of list with one write and returns their number. The caller
// must hold the mutex, which is released during the write.
func (s *Store) writeAdjacent(list []queuedWrite) int {
	first := list[0]
	var data []byte
	n := 0
	for ; n < len(list) && list[n].location == (location{first.segment, first.offset + int64(len(data))}); n++ {
		data = append(data, list[n].value...)
	}
	f := s.segments[first.segment]
	if f == nil {
		if s.writeErr = s.createSegment(first.segment); s.writeErr != nil {
			return n
		}
		f = s.segments[first.segment]
	}
	s.mu.Unlock()
	err := s.writeAt(f, data, first.offset)
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(diskFullRetryInterval)
		err = s.writeAt(f, data, first.offset)
	}
	s.mu.Lock()
	if err != nil {
		s.writeErr = storageError(err, "cannot write segment %x", first.segment)
		return n
	}
	s.dirty[first.segment] = true
	s.writtenBytes[first.segment] = max(s.writtenBytes[first.segment], first.offset+int64(len(data)))
	for _, p := range list[:n] {
		delete(s.pending, p.location)
		s.pendingBytes -= len(p.value)
	}
	return n
}

// waitForWrites waits until all pending values are in their files. The caller must hold the mutex.
func (s *Store) waitForWrites() error {
	for len(s.pending) > 0 && s.writeErr == nil {
		s.changed.Wait()
	}
	return s.writeErr
}

// createSegment creates a segment file. On a full disk, which refuses new files too, it waits for room. The caller must
// hold the mutex, which is released meanwhile.
func (s *Store) createSegment(number uint64) error {
	s.mu.Unlock()
	f, err := s.createFile(s.path(number))
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(diskFullRetryInterval)
		f, err = s.createFile(s.path(number))
	}
	s.mu.Lock()
	if err != nil {
		return storageError(err, "cannot create segment %x", number)
	}
	s.segments[number] = f
	s.folderDirty = true
	return nil
}

// ChunkBytes is the maximum size of a chunk returned by ReadChunk.
const ChunkBytes = 256 << 10

// ReadChunk returns up to ChunkBytes of a segment, starting at offset. It first waits until all pending values are
// written.
func (s *Store) ReadChunk(segment uint64, offset int64) ([]byte, error) {
	s.mu.Lock()
	err := s.waitForWrites()
	f := s.segments[segment]
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if f == nil {
		return nil, errs.New(errs.NotFound, "ask for a newer snapshot", "segment %x has been deleted", segment)
	}
	chunk := make([]byte, ChunkBytes)
	n, err := f.ReadAt(chunk, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, storageError(err, "cannot read segment %x", segment)
	}
	return chunk[:n], nil
}

// CopySegment copies the first length bytes of a segment from another replica. Bytes that this process has already
// written or copied are not copied again. read returns a chunk of the remote segment starting at offset.
func (s *Store) CopySegment(segment uint64, length int64, read func(offset int64) ([]byte, error)) error {
	f, copied, err := s.copyTarget(segment)
	if err != nil || copied >= length {
		return err
	}
	for offset := copied; offset < length; {
		chunk, err := read(offset)
		if err != nil {
			return err
		}
		if len(chunk) == 0 {
			return errs.New(errs.Unavailable, "ask for a newer snapshot", "remote segment %x ends at byte %d, want %d bytes", segment, offset, length)
		}
		if _, err := f.WriteAt(chunk, offset); err != nil {
			return storageError(err, "cannot write segment %x", segment)
		}
		offset += int64(len(chunk))
		s.mu.Lock()
		s.writtenBytes[segment] = max(s.writtenBytes[segment], offset)
		s.mu.Unlock()
	}
	return nil
}

// copyTarget returns the file to copy a segment to and the length of the prefix that this process has written.
func (s *Store) copyTarget(segment uint64) (*os.File, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segments[segment] == nil {
		if err := s.createSegment(segment); err != nil {
			return nil, 0, err
		}
	}
	s.dirty[segment] = true
	return s.segments[segment], s.writtenBytes[segment], nil
}

// Read returns a value. The error is of the kind errs.StorageCorrupt if the segment is missing or the checksum of
// the value does not match.
func (s *Store) Read(ref Ref) ([]byte, error) {
	if ref.Length == 0 {
		return nil, nil
	}
	s.mu.Lock()
	value, found := s.pending[location{ref.Segment, ref.Offset}]
	f := s.segments[ref.Segment]
	s.mu.Unlock()
	if found {
		return value, nil
	}
	if f == nil {
		return nil, corruptError("segment %x is missing", ref.Segment)
	}
	value = make([]byte, ref.Length)
	if _, err := f.ReadAt(value, ref.Offset); err != nil {
		return nil, storageError(err, "cannot read segment %x", ref.Segment)
	}
	if xxhash.Sum64(value) != ref.Checksum {
		return nil, corruptError("checksum mismatch of the value at byte %d of segment %x", ref.Offset, ref.Segment)
	}
	return value, nil
}

func corruptError(format string, args ...any) error {
	return errs.New(errs.StorageCorrupt, "replace the replica: move its data folder away and start it again", format, args...)
}

// Sync makes all appended values and the directory entries of new segments durable.
func (s *Store) Sync() error {
	s.mu.Lock()
	if err := s.waitForWrites(); err != nil {
		s.mu.Unlock()
		return err
	}
	var files []*os.File
	for number := range s.dirty {
		files = append(files, s.segments[number])
	}
	folderDirty := s.folderDirty
	s.dirty, s.folderDirty = map[uint64]bool{}, false
	s.mu.Unlock()
	// A failed sync is not retried, because the state of the file on disk is unknown after it. The process is
	// expected to exit.
	for _, f := range files {
		if err := s.syncFile(f); err != nil {
			return storageError(err, "cannot sync %s", f.Name())
		}
	}
	if !folderDirty {
		return nil
	}
	for _, folder := range []string{s.folder, filepath.Dir(s.folder)} {
		if err := s.syncFolder(folder); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return storageError(err, "cannot open the folder %s", folder)
	}
	defer f.Close()
	return storageError(s.syncFile(f), "cannot sync the folder %s", folder)
}

// Retain deletes all segments that are not in used, except those that values are appended to and those with pending writes.
func (s *Store) Retain(used map[uint64]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[uint64]bool{s.texts.segment: true, s.bodies.segment: true}
	for loc := range s.pending {
		kept[loc.segment] = true
	}
	for number, f := range s.segments {
		if used[number] || kept[number] {
			continue
		}
		if err := f.Close(); err != nil {
			return storageError(err, "cannot close segment %x", number)
		}
		if err := os.Remove(s.path(number)); err != nil {
			return storageError(err, "cannot remove segment %x", number)
		}
		delete(s.segments, number)
		delete(s.dirty, number)
		delete(s.writtenBytes, number)
	}
	return nil
}

// Close writes the pending values and closes the files.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
	if err := s.waitForWrites(); err != nil {
		return err
	}
	for number, f := range s.segments {
		if err := f.Close(); err != nil {
			return storageError(err, "cannot close segment %x", number)
		}
	}
	s.segments = map[uint64]*os.File{}
	return nil
}
