// Package storage persists the Raft state of a replica in one bbolt file: its instance number, hard state, log
// entries and snapshot. Every record carries an xxhash checksum.
//
// A write is one bbolt transaction with a single commit, so it is atomic. A failed commit is never retried, because
// after a failed sync the kernel may have marked the unwritten pages as clean, so that a second sync would succeed
// without writing them. The exception is ENOSPC; see Store.update.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"

	"filbertledge/internal/errs"
	"filbertledge/internal/raft"
)

// FileName is the name of the bbolt file in the data folder.
const FileName = "raft.db"

const (
	folderMode = 0o700
	fileMode   = 0o600
	// lockTimeout is how long Open waits for another process to release its lock on the file.
	lockTimeout = 2 * time.Second
	// diskFullRetryInterval is the time between two attempts to write to a full disk.
	diskFullRetryInterval = 100 * time.Millisecond
)

const replaceRemedy = "replace the replica: move its data folder away and start it again, it rejoins with a new instance number"

// Options configure a Store.
type Options struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// Commit commits a transaction; nil means (*bbolt.Tx).Commit. Tests replace it to inject failures.
	Commit func(*bbolt.Tx) error
	// OnDiskFull, if not nil, is called after each write attempt that failed with ENOSPC, with the time since the
	// first such attempt of this write.
	OnDiskFull func(since time.Duration, err error)
}

// Store is the persistent Raft state of one replica. Its methods are safe for concurrent use.
type Store struct {
	path          string
	commit        func(*bbolt.Tx) error
	onDiskFull    func(since time.Duration, err error)
	db            *bbolt.DB
	instance      uint64
	state         raft.DurableState // as read by Open; emptied by TakeState
	initialVoters []raft.Member

	mu       sync.Mutex
	writeErr error // the first failed write; returned by all later writes
}

// Open opens or creates the file in the data folder and verifies every record. Errors are of the kinds
// errs.StorageFailed and errs.StorageCorrupt.
func Open(o Options) (*Store, error) {
	s := &Store{path: filepath.Join(o.Folder, FileName), commit: o.Commit, onDiskFull: o.OnDiskFull}
	if s.commit == nil {
		s.commit = (*bbolt.Tx).Commit
	}
	if err := createFolder(o.Folder); err != nil {
		return nil, err
	}
	if err := s.open(); err != nil {
		if s.db != nil {
			_ = s.db.Close()
		}
		return nil, err
	}
	return s, nil
}

func createFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errs.Wrap(err, errs.StorageFailed, "check the path and the permissions", "cannot create the data folder %s", folder)
	}
	return syncFolder(filepath.Dir(folder))
}

// syncFolder syncs a directory to disk, so that a file created in it survives a power loss.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errs.Wrap(err, errs.StorageFailed, "check the permissions", "cannot open the folder %s", folder)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return errs.Wrap(err, errs.StorageFailed, "check the disk", "cannot sync the folder %s", folder)
	}
	return nil
}

// open opens and reads the file. bbolt panics on some damaged pages, and reading the memory map past the end of a
// truncated file raises a fault; both are reported as corruption.
func (s *Store) open() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = s.corruptError("reading the file failed on a damaged page: %v", p)
		}
	}()
	s.db, err = bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return s.openError(err)
	}
	if err := s.initialize(); err != nil {
		return err
	}
	return s.load()
}

func (s *Store) openError(err error) error {
	switch {
	case isCorruption(err):
		return s.corruptError("%v", err)
	case isTimeout(err):
		return errs.Wrap(err, errs.StorageFailed, "stop the other process", "another process has %s open", s.path)
	default:
		return errs.Wrap(err, errs.StorageFailed, "check the disk and the permissions", "cannot open %s", s.path)
	}
}

// initialize creates the buckets and the instance number if the file is new.
func (s *Store) initialize() error {
	existing := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		existing = tx.Bucket(metaBucket) != nil
		return nil
	})
	if err != nil || existing {
		return err
	}
	instance, err := newInstance()
	if err != nil {
		return err
	}
	if err := s.update(func(tx *bbolt.Tx) error { return createBuckets(tx, instance) }); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.path))
}

// newInstance returns a random 64-bit number that identifies a data folder. A collision is not expected in
// practice.
func newInstance() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errs.Wrap(err, errs.StorageFailed, "check the system's random source", "cannot create an instance number")
	}
	// Zero is reserved for a missing instance number.
	return max(1, binary.BigEndian.Uint64(b[:])), nil
}

// Instance returns the random number that was generated when the data folder was created.
func (s *Store) Instance() uint64 { return s.instance }

// TakeState returns the state that was read when the store was opened. The store releases its copy, so a second
// call returns an empty state.
func (s *Store) TakeState() raft.DurableState {
	state := s.state
	s.state = raft.DurableState{}
	return state
}

// InitialVoters returns the voters that the Raft group was created with, or nil if this replica joined later.
func (s *Store) InitialVoters() []raft.Member { return s.initialVoters }

// Path returns the path of the bbolt file.
func (s *Store) Path() string { return s.path }

// Save persists the given parts of a raft.Ready in one commit. A snapshot replaces the whole log. Entries replace
// all stored entries from the index of the first one onward. After an error, all later writes fail with the same
// error.
func (s *Store) Save(hs *raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		if snapshot != nil {
			if err := replaceLog(tx, *snapshot); err != nil {
				return err
			}
		}
		if err := putEntries(tx, entries); err != nil {
			return err
		}
		if hs != nil {
			return putRecord(tx.Bucket(metaBucket), keyHardState, *hs)
		}
		return nil
	})
}

// SaveInitialState persists the state of a newly created Raft group.
func (s *Store) SaveInitialState(state raft.DurableState) error {
	err := s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := putRecord(meta, keyInitialVoters, state.Snapshot.Configuration.Voters); err != nil {
			return err
		}
		if err := replaceLog(tx, state.Snapshot); err != nil {
			return err
		}
		return putRecord(meta, keyHardState, state.HardState)
	})
	if err == nil {
		s.initialVoters = state.Snapshot.Configuration.Voters
	}
	return err
}

// SaveSnapshot replaces the snapshot with one taken by this replica and deletes the log entries up to and including
// index compactTo.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, compactTo uint64) error {
	return s.update(func(tx *bbolt.Tx) error {
		if err := putRecord(tx.Bucket(metaBucket), keySnapshot, snapshot); err != nil {
			return err
		}
		return deleteEntries(tx, 0, compactTo)
	})
}

// update runs write in a transaction and commits it. While the disk is full it retries; any other failure is
// permanent, and all later calls return the same error.
func (s *Store) update(write func(*bbolt.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return s.writeErr
	}
	err := s.transact(write)
	for start := time.Now(); isDiskFull(err); err = s.transact(write) {
		// A retry is safe here, because the transaction was rolled back and nothing was written. Until there is
		// space again this replica does not answer, and the other replicas treat its VM as lost.
		s.waitForDiskSpace(start, err)
	}
	if err != nil {
		s.writeErr = errs.Wrap(err, errs.StorageFailed, "check the disk, then start the VM again", "cannot write %s", s.path)
	}
	return s.writeErr
}

// isDiskFull reports whether a transaction failed because the disk is full. If the file has to grow first, bbolt returns the
// cause as text only; nothing of the transaction was written then.
func isDiskFull(err error) bool {
	if err == nil || errors.Is(err, syscall.ENOSPC) {
		return err != nil
	}
	text := err.Error()
	growth := strings.HasPrefix(text, "file resize error: ") || strings.HasPrefix(text, "file sync error: ")
	return growth && strings.HasSuffix(text, syscall.ENOSPC.Error())
}

// waitForDiskSpace pauses before the next attempt to write to a full disk.
func (s *Store) waitForDiskSpace(start time.Time, err error) {
	if s.onDiskFull != nil {
		s.onDiskFull(time.Since(start), err)
	}
	time.Sleep(diskFullRetryInterval)
}

func (s *Store) transact(write func(*bbolt.Tx) error) error {
	tx, err := s.db.Begin(true)
	if err != nil {
		return err
	}
	if err := write(tx); err != nil {
		_ = tx.Rollback()
		return err
	}
	if err := s.commit(tx); err != nil {
		_ = tx.Rollback()
		return err
	}
	return nil
}

// Close closes the bbolt file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return errs.Wrap(err, errs.StorageFailed, "check the disk", "cannot close %s", s.path)
	}
	return nil
}

func (s *Store) corruptError(format string, args ...any) error {
	return errs.New(errs.StorageCorrupt, replaceRemedy, "%s: %s", s.path, fmt.Sprintf(format, args...))
}
