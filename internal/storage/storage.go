// Package storage keeps what a replica must not forget in one bbolt file: its instance number, hard state, log
// entries and snapshot. Every record carries an xxhash checksum.
//
// A write is one bbolt transaction with one commit, so it is either wholly durable or not there at all. A failed
// commit is never retried, because the kernel may have dropped the dirty pages that it reported as failed.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"

	"filbertledge/internal/errs"
	"filbertledge/internal/raft"
)

// FileName is the name of the file in the data folder.
const FileName = "raft.db"

const (
	folderMode = 0o700
	fileMode   = 0o600
	// lockTimeout is how long Open waits for another process to release the file.
	lockTimeout = 2 * time.Second
	// fullDiskPause is the time between attempts to write to a full disk.
	fullDiskPause = 100 * time.Millisecond
)

const replaceRemedy = "replace the replica: move its data folder away and start it again, it rejoins with a new instance number"

// Options configure a Store.
type Options struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// Commit makes a transaction durable; nil means (*bbolt.Tx).Commit. Tests inject failures here.
	Commit func(*bbolt.Tx) error
	// OnDiskFull is told of each failed attempt to write to a full disk and how long it has been full. It may be nil.
	OnDiskFull func(since time.Duration, err error)
}

// Store is the durable state of one replica. Its methods are safe for concurrent use.
type Store struct {
	path     string
	commit   func(*bbolt.Tx) error
	full     func(since time.Duration, err error)
	db       *bbolt.DB
	instance uint64
	state    raft.DurableState
	initial  []raft.Member

	mu     sync.Mutex
	failed error
}

// Open opens or creates the file in the data folder and checks every record. Errors are of the kinds
// StorageFailed and StorageCorrupt.
func Open(o Options) (*Store, error) {
	s := &Store{path: filepath.Join(o.Folder, FileName), commit: o.Commit, full: o.OnDiskFull}
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

// syncFolder makes the entries of a folder durable, so that a new file in it survives a power loss.
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

// open reads the file. bbolt panics on some damaged pages and the memory map faults behind the end of a
// truncated file; both are reported as corruption.
func (s *Store) open() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = s.corrupt("a page of the file is damaged: %v", p)
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
		return s.corrupt("%v", err)
	case isTimeout(err):
		return errs.Wrap(err, errs.StorageFailed, "stop the other process", "another process has %s open", s.path)
	default:
		return errs.Wrap(err, errs.StorageFailed, "check the disk and the permissions", "cannot open %s", s.path)
	}
}

// initialize creates the buckets and the instance number of a new file.
func (s *Store) initialize() error {
	existing := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		existing = tx.Bucket(metaBucket) != nil
		return nil
	})
	if err != nil || existing {
		return err
	}
	id, err := newInstance()
	if err != nil {
		return err
	}
	if err := s.update(func(tx *bbolt.Tx) error { return createBuckets(tx, id) }); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.path))
}

// newInstance returns a random number that no other data folder has.
func newInstance() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errs.Wrap(err, errs.StorageFailed, "check the system's random source", "cannot create an instance number")
	}
	// Zero means no instance.
	return max(1, binary.BigEndian.Uint64(b[:])), nil
}

// Instance returns the random number that was created with the data folder.
func (s *Store) Instance() uint64 { return s.instance }

// TakeState returns what was durable when the store was opened. The store keeps no copy.
func (s *Store) TakeState() raft.DurableState {
	state := s.state
	s.state = raft.DurableState{}
	return state
}

// InitialVoters returns the voters that the group was created with, or nil if this replica joined later.
func (s *Store) InitialVoters() []raft.Member { return s.initial }

// Path returns the path of the file.
func (s *Store) Path() string { return s.path }

// Save makes the parts of a Ready durable with one commit. A snapshot replaces the whole log. Entries replace
// all stored entries from the index of their first on. After an error the store refuses every further write.
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
			return put(tx.Bucket(metaBucket), keyHardState, *hs)
		}
		return nil
	})
}

// SaveInitialState makes the state of a new group durable.
func (s *Store) SaveInitialState(state raft.DurableState) error {
	err := s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := put(meta, keyInitial, state.Snapshot.Configuration.Voters); err != nil {
			return err
		}
		if err := replaceLog(tx, state.Snapshot); err != nil {
			return err
		}
		return put(meta, keyHardState, state.HardState)
	})
	if err == nil {
		s.initial = state.Snapshot.Configuration.Voters
	}
	return err
}

// SaveSnapshot replaces the snapshot by one that this replica took and drops the entries up to compactTo.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, compactTo uint64) error {
	return s.update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(metaBucket), keySnapshot, snapshot); err != nil {
			return err
		}
		return deleteEntries(tx, 0, compactTo)
	})
}

// update runs one transaction and commits it. The first failure is final.
func (s *Store) update(write func(*bbolt.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	err := s.transact(write)
	for began := time.Now(); errors.Is(err, syscall.ENOSPC); err = s.transact(write) {
		// Nothing was written: the transaction is rolled back. The replica waits here and so stops answering, which
		// the others take for a lost VM, until there is room again.
		s.waitForRoom(began, err)
	}
	if err != nil {
		s.failed = errs.Wrap(err, errs.StorageFailed, "check the disk, then start the VM again", "cannot write %s", s.path)
	}
	return s.failed
}

// waitForRoom pauses before the next attempt to write to a full disk.
func (s *Store) waitForRoom(began time.Time, err error) {
	if s.full != nil {
		s.full(time.Since(began), err)
	}
	time.Sleep(fullDiskPause)
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

// Close closes the file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return errs.Wrap(err, errs.StorageFailed, "check the disk", "cannot close %s", s.path)
	}
	return nil
}

func (s *Store) corrupt(format string, args ...any) error {
	return errs.New(errs.StorageCorrupt, replaceRemedy, "%s: %s", s.path, fmt.Sprintf(format, args...))
}
