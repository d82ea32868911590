// Package blobs keeps large values of a replica on its disk, outside the snapshot of its state. Values are appended to
// segment files and read by reference. A value is durable after the next Sync; until then the log that carried it is.
//
// The numbers of segments are unique over all replicas, so a replica that receives a snapshot copies the segments
// that it refers to and the references stay valid.
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
	// SegmentBytes is the size after which a new segment begins. A segment is removed as a whole.
	SegmentBytes = 8 << 20
	// fullDiskPause is the time between attempts to write to a full disk.
	fullDiskPause = 100 * time.Millisecond
	// counterBits are the low bits of a segment's number, which count the segments of one process; the high bits
	// are random.
	counterBits = 20
)

// Ref names a value. The zero Ref is the empty value.
type Ref struct {
	Segment  uint64 `cbor:"1,keyasint,omitempty"`
	Offset   int64  `cbor:"2,keyasint,omitempty"`
	Length   int    `cbor:"3,keyasint,omitempty"`
	Checksum uint64 `cbor:"4,keyasint,omitempty"` // xxhash of the value
}

// waitingBytes bounds the values that wait to be written. Append blocks beyond it, as on a disk that hangs.
const waitingBytes = 8 << 20

// Store is a folder of segments. It is safe for concurrent use. A goroutine writes the values, so that a slow disk does
// not hold up the caller of Append: one write takes up to 30 ms there, and a command may list a hundred results.
type Store struct {
	folder string
	// writeAt writes to a segment; tests slow it down.
	writeAt func(f *os.File, value []byte, offset int64) error

	mu       sync.Mutex
	changed  sync.Cond // waiting or failed has changed
	segments map[uint64]*os.File
	dirty    map[uint64]bool // written since the last Sync
	created  bool            // a segment was created since the last Sync
	current  uint64
	size     int64 // of the current segment
	// known is how much of a segment was written or copied by this process. What else a file holds may be torn by a
	// loss of power, unless the replica's own snapshot refers to it.
	known map[uint64]int64

	queue   []piece
	waiting map[place][]byte // values that are not in their file yet
	bytes   int              // of waiting
	failed  error            // of the writer; it is final
	closed  bool
}

// place is where a value lies.
type place struct {
	segment uint64
	offset  int64
}

// piece is a value on its way to its place.
type piece struct {
	place
	value []byte
}

// Open opens the store in a data folder. Values are appended to a new segment: the end of the last one may hold
// values that no reference names. Errors are of the kind errs.StorageFailed.
func Open(dataFolder string) (*Store, error) {
	s := &Store{
		folder: filepath.Join(dataFolder, folderName), segments: map[uint64]*os.File{}, dirty: map[uint64]bool{},
		known: map[uint64]int64{}, waiting: map[place][]byte{},
		current: rand.Uint64() << counterBits, size: SegmentBytes, // the first value begins a new segment
		created: true, // the folder itself may be new
		writeAt: func(f *os.File, value []byte, offset int64) error {
			_, err := f.WriteAt(value, offset)
			return err
		},
	}
	s.changed.L = &s.mu
	if err := os.MkdirAll(s.folder, folderMode); err != nil {
		return nil, failed(err, "cannot create the folder %s", s.folder)
	}
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, failed(err, "cannot list the folder %s", s.folder)
	}
	for _, e := range entries {
		var number uint64
		if _, err := fmt.Sscanf(e.Name(), segmentName, &number); err != nil {
			continue // not a segment
		}
		f, err := os.OpenFile(s.path(number), os.O_RDWR, fileMode)
		if err != nil {
			return nil, failed(err, "cannot open segment %x", number)
		}
		s.segments[number] = f
	}
	go s.writeLoop()
	return s, nil
}

func failed(err error, format string, args ...any) error {
	return errs.Wrap(err, errs.StorageFailed, "check the disk, then start the VM again", format, args...)
}

func (s *Store) path(segment uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf(segmentName, segment))
}

// Append takes a value, which must not change from then on. It can be read at once and is written soon.
func (s *Store) Append(value []byte) (Ref, error) {
	if len(value) == 0 {
		return Ref{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.bytes > waitingBytes && s.failed == nil {
		s.changed.Wait()
	}
	if s.failed != nil {
		return Ref{}, s.failed
	}
	if s.size+int64(len(value)) > SegmentBytes {
		s.current++
		s.size = 0
	}
	at := place{segment: s.current, offset: s.size}
	s.size += int64(len(value))
	s.queue = append(s.queue, piece{at, value})
	s.waiting[at] = value
	s.bytes += len(value)
	s.changed.Broadcast()
	return Ref{Segment: at.segment, Offset: at.offset, Length: len(value), Checksum: xxhash.Sum64(value)}, nil
}

// writeLoop writes the queued values, those that follow each other with one write, until the store is closed.
func (s *Store) writeLoop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.queue) == 0 && !s.closed {
			s.changed.Wait()
		}
		if len(s.queue) == 0 || s.failed != nil {
			return
		}
		list := s.queue
		s.queue = nil
		for len(list) > 0 && s.failed == nil {
			list = list[s.writeFirst(list):]
		}
		s.changed.Broadcast()
	}
}

// writeFirst writes the values at the start of list that follow each other and returns how many there are. The caller
// holds the mutex; it is released during the write.
func (s *Store) writeFirst(list []piece) int {
	first := list[0]
	var run []byte
	n := 0
	for ; n < len(list) && list[n].place == (place{first.segment, first.offset + int64(len(run))}); n++ {
		run = append(run, list[n].value...)
	}
	f := s.segments[first.segment]
	if f == nil {
		if s.failed = s.create(first.segment); s.failed != nil {
			return n
		}
		f = s.segments[first.segment]
	}
	s.mu.Unlock()
	err := s.writeAt(f, run, first.offset)
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(fullDiskPause)
		err = s.writeAt(f, run, first.offset)
	}
	s.mu.Lock()
	if err != nil {
		s.failed = failed(err, "cannot write segment %x", first.segment)
		return n
	}
	s.dirty[first.segment] = true
	s.known[first.segment] = max(s.known[first.segment], first.offset+int64(len(run)))
	for _, p := range list[:n] {
		delete(s.waiting, p.place)
		s.bytes -= len(p.value)
	}
	return n
}

// flush waits until the values that were appended before are in their files. The caller holds the mutex.
func (s *Store) flush() error {
	for len(s.waiting) > 0 && s.failed == nil {
		s.changed.Wait()
	}
	return s.failed
}

func (s *Store) create(number uint64) error {
	f, err := os.OpenFile(s.path(number), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return failed(err, "cannot create segment %x", number)
	}
	s.segments[number] = f
	s.created = true
	return nil
}

// ChunkBytes is how much of a segment is copied at once.
const ChunkBytes = 256 << 10

// ReadChunk returns up to ChunkBytes of a segment from offset on. It waits for the values that are not written yet.
func (s *Store) ReadChunk(segment uint64, offset int64) ([]byte, error) {
	s.mu.Lock()
	err := s.flush()
	f := s.segments[segment]
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if f == nil {
		return nil, errs.New(errs.NotFound, "ask for a newer snapshot", "segment %x is gone", segment)
	}
	chunk := make([]byte, ChunkBytes)
	n, err := f.ReadAt(chunk, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, failed(err, "cannot read segment %x", segment)
	}
	return chunk[:n], nil
}

// CopySegment makes the first length bytes of a segment of another replica readable here, unless they are. read returns a
// chunk of the segment from an offset on.
func (s *Store) CopySegment(segment uint64, length int64, read func(offset int64) ([]byte, error)) error {
	f, have, err := s.target(segment)
	if err != nil || have >= length {
		return err
	}
	for offset := have; offset < length; {
		chunk, err := read(offset)
		if err != nil {
			return err
		}
		if len(chunk) == 0 {
			return errs.New(errs.Unavailable, "ask for a newer snapshot", "segment %x ends at %d instead of %d", segment, offset, length)
		}
		if _, err := f.WriteAt(chunk, offset); err != nil {
			return failed(err, "cannot write segment %x", segment)
		}
		offset += int64(len(chunk))
		s.mu.Lock()
		s.known[segment] = max(s.known[segment], offset)
		s.mu.Unlock()
	}
	return nil
}

// target returns the file to copy a segment to and how much of it this process has written.
func (s *Store) target(segment uint64) (*os.File, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segments[segment] == nil {
		if err := s.create(segment); err != nil {
			return nil, 0, err
		}
	}
	s.dirty[segment] = true
	return s.segments[segment], s.known[segment], nil
}

// Read returns a value. The error is of the kind errs.StorageCorrupt if the value is not the one that was written.
func (s *Store) Read(ref Ref) ([]byte, error) {
	if ref.Length == 0 {
		return nil, nil
	}
	s.mu.Lock()
	value, found := s.waiting[place{ref.Segment, ref.Offset}]
	f := s.segments[ref.Segment]
	s.mu.Unlock()
	if found {
		return value, nil
	}
	if f == nil {
		return nil, corrupt("segment %x is missing", ref.Segment)
	}
	value = make([]byte, ref.Length)
	if _, err := f.ReadAt(value, ref.Offset); err != nil {
		return nil, failed(err, "cannot read segment %x", ref.Segment)
	}
	if xxhash.Sum64(value) != ref.Checksum {
		return nil, corrupt("the value at %d of segment %x is damaged", ref.Offset, ref.Segment)
	}
	return value, nil
}

func corrupt(format string, args ...any) error {
	return errs.New(errs.StorageCorrupt, "replace the replica: move its data folder away and start it again", format, args...)
}

// Sync makes all values durable, and the names of new segments.
func (s *Store) Sync() error {
	s.mu.Lock()
	if err := s.flush(); err != nil {
		s.mu.Unlock()
		return err
	}
	var files []*os.File
	for number := range s.dirty {
		files = append(files, s.segments[number])
	}
	created := s.created
	s.dirty, s.created = map[uint64]bool{}, false
	s.mu.Unlock()
	// A failed sync is not repeated: the process ends, because nobody knows what is on the disk.
	for _, f := range files {
		if err := f.Sync(); err != nil {
			return failed(err, "cannot sync %s", f.Name())
		}
	}
	if !created {
		return nil
	}
	for _, name := range []string{s.folder, filepath.Dir(s.folder)} {
		if err := syncFolder(name); err != nil {
			return err
		}
	}
	return nil
}

func syncFolder(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return failed(err, "cannot open the folder %s", name)
	}
	defer f.Close()
	return failed(f.Sync(), "cannot sync the folder %s", name)
}

// Retain removes the segments that are not in use. The one that is being written stays.
func (s *Store) Retain(used map[uint64]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[uint64]bool{s.current: true}
	for at := range s.waiting {
		kept[at.segment] = true
	}
	for number, f := range s.segments {
		if used[number] || kept[number] {
			continue
		}
		if err := f.Close(); err != nil {
			return failed(err, "cannot close segment %x", number)
		}
		if err := os.Remove(s.path(number)); err != nil {
			return failed(err, "cannot remove segment %x", number)
		}
		delete(s.segments, number)
		delete(s.dirty, number)
		delete(s.known, number)
	}
	return nil
}

// Close writes what waits and closes the files.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
	if err := s.flush(); err != nil {
		return err
	}
	for number, f := range s.segments {
		if err := f.Close(); err != nil {
			return failed(err, "cannot close segment %x", number)
		}
	}
	s.segments = map[uint64]*os.File{}
	return nil
}
