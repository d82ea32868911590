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
	Segment uint64 `cbor:"1,keyasint,omitempty"`
	Offset  int64  `cbor:"2,keyasint,omitempty"`
	Length  int    `cbor:"3,keyasint,omitempty"`
	Sum     uint64 `cbor:"4,keyasint,omitempty"` // xxhash of the value
}

// Store is a folder of segments. It is safe for concurrent use.
type Store struct {
	folder string

	mu       sync.Mutex
	segments map[uint64]*os.File
	dirty    map[uint64]bool // written since the last Sync
	created  bool            // a segment was created since the last Sync
	current  uint64
	size     int64 // of the current segment
}

// Open opens the store in a data folder. Values are appended to a new segment: the end of the last one may hold
// values that no reference names. Errors are of the kind errs.StorageFailed.
func Open(dataFolder string) (*Store, error) {
	s := &Store{
		folder: filepath.Join(dataFolder, folderName), segments: map[uint64]*os.File{}, dirty: map[uint64]bool{},
		current: rand.Uint64() << counterBits, size: SegmentBytes, // the first value begins a new segment
		created: true, // the folder itself may be new
	}
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
	return s, nil
}

func failed(err error, format string, args ...any) error {
	return errs.Wrap(err, errs.StorageFailed, "check the disk, then start the VM again", format, args...)
}

func (s *Store) path(segment uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf(segmentName, segment))
}

// Append writes a value. It waits while the disk is full.
func (s *Store) Append(value []byte) (Ref, error) {
	if len(value) == 0 {
		return Ref{}, nil
	}
	for {
		ref, err := s.append(value)
		if !errors.Is(err, syscall.ENOSPC) {
			return ref, err
		}
		time.Sleep(fullDiskPause)
	}
}

func (s *Store) append(value []byte) (Ref, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size+int64(len(value)) > SegmentBytes {
		if err := s.begin(); err != nil {
			return Ref{}, err
		}
	}
	ref := Ref{Segment: s.current, Offset: s.size, Length: len(value), Sum: xxhash.Sum64(value)}
	if _, err := s.segments[s.current].WriteAt(value, s.size); err != nil {
		return Ref{}, failed(err, "cannot write segment %x", s.current)
	}
	s.size += int64(len(value))
	s.dirty[s.current] = true
	return ref, nil
}

// begin starts a new segment.
func (s *Store) begin() error {
	if err := s.create(s.current + 1); err != nil {
		return err
	}
	s.current++
	s.size = 0
	return nil
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

// ReadChunk returns up to ChunkBytes of a segment from offset on.
func (s *Store) ReadChunk(segment uint64, offset int64) ([]byte, error) {
	s.mu.Lock()
	f := s.segments[segment]
	s.mu.Unlock()
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

// Copy makes the first length bytes of a segment of another replica readable here, unless they are. read returns a
// chunk of the segment from an offset on.
func (s *Store) Copy(segment uint64, length int64, read func(offset int64) ([]byte, error)) error {
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
	}
	return nil
}

// target returns the file to copy a segment to and what it holds already.
func (s *Store) target(segment uint64) (*os.File, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segments[segment] == nil {
		if err := s.create(segment); err != nil {
			return nil, 0, err
		}
		s.dirty[segment] = true
		return s.segments[segment], 0, nil
	}
	info, err := s.segments[segment].Stat()
	if err != nil {
		return nil, 0, failed(err, "cannot read the size of segment %x", segment)
	}
	s.dirty[segment] = true
	return s.segments[segment], info.Size(), nil
}

// Read returns a value. The error is of the kind errs.StorageCorrupt if the value is not the one that was written.
func (s *Store) Read(ref Ref) ([]byte, error) {
	if ref.Length == 0 {
		return nil, nil
	}
	s.mu.Lock()
	f := s.segments[ref.Segment]
	s.mu.Unlock()
	if f == nil {
		return nil, corrupt("segment %x is missing", ref.Segment)
	}
	value := make([]byte, ref.Length)
	if _, err := f.ReadAt(value, ref.Offset); err != nil {
		return nil, failed(err, "cannot read segment %x", ref.Segment)
	}
	if xxhash.Sum64(value) != ref.Sum {
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
	for number, f := range s.segments {
		if used[number] || number == s.current {
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
	}
	return nil
}

// Close closes the files.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, f := range s.segments {
		if err := f.Close(); err != nil {
			return failed(err, "cannot close segment %x", number)
		}
	}
	s.segments = map[uint64]*os.File{}
	return nil
}
