package storage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"filbertledge/internal/raft"
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	keyInstance      = []byte("instance")
	keyHardState     = []byte("hard_state")
	keySnapshot      = []byte("snapshot")
	keyInitialVoters = []byte("initial")
)

const checksumBytes = 8

// errChecksum reports a record whose content does not match its checksum.
var errChecksum = errors.New("checksum mismatch")

// decMode rejects CBOR features that this package never writes.
var decMode = mustDecMode(cbor.DecOptions{
	DupMapKey:   cbor.DupMapKeyEnforcedAPF,
	IndefLength: cbor.IndefLengthForbidden,
	TagsMd:      cbor.TagsForbidden,
})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func isCorruption(err error) bool {
	return errors.Is(err, bbolterrors.ErrInvalid) || errors.Is(err, bbolterrors.ErrChecksum) ||
		errors.Is(err, bbolterrors.ErrVersionMismatch)
}

func isTimeout(err error) bool { return errors.Is(err, bbolterrors.ErrTimeout) }

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// checksum includes the key, so that a record stored under a wrong key is detected.
func checksum(key, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(payload)
	return d.Sum64()
}

// putRecord stores value under key as a checksum followed by its CBOR encoding.
func putRecord(b *bbolt.Bucket, key []byte, value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	record := make([]byte, 0, checksumBytes+len(payload))
	record = binary.BigEndian.AppendUint64(record, checksum(key, payload))
	return b.Put(key, append(record, payload...))
}

func decodeRecord(key, record []byte, value any) error {
	if len(record) < checksumBytes {
		return fmt.Errorf("record of %d bytes is too short for a checksum", len(record))
	}
	payload := record[checksumBytes:]
	if checksum(key, payload) != binary.BigEndian.Uint64(record) {
		return errChecksum
	}
	return decMode.Unmarshal(payload, value)
}

func createBuckets(tx *bbolt.Tx, instance uint64) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
		return err
	}
	return putRecord(meta, keyInstance, instance)
}

func replaceLog(tx *bbolt.Tx, snapshot raft.Snapshot) error {
	if err := tx.DeleteBucket(logBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return err
	}
	return putRecord(tx.Bucket(metaBucket), keySnapshot, snapshot)
}

// putEntries appends entries to the log, in place of all stored entries from their first index on.
func putEntries(tx *bbolt.Tx, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(tx, entries[0].Index, ^uint64(0)); err != nil {
		return err
	}
	log := tx.Bucket(logBucket)
	// Entries are appended in index order, so pages can be filled completely: nothing is inserted between them
	// later.
	log.FillPercent = 1
	for _, e := range entries {
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the log entries with indexes from lo to hi, inclusive.
func deleteEntries(tx *bbolt.Tx, lo, hi uint64) error {
	log := tx.Bucket(logBucket)
	var keys [][]byte
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(lo)); k != nil && binary.BigEndian.Uint64(k) <= hi; k, _ = c.Next() {
		keys = append(keys, k)
	}
	// Deleting through the cursor during the iteration may skip keys.
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// load reads and verifies every record of the file.
func (s *Store) load() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil {
			return s.corruptError("the meta or the log bucket is missing")
		}
		if err := s.loadMeta(meta); err != nil {
			return err
		}
		return s.loadEntries(log)
	})
}

func (s *Store) loadMeta(meta *bbolt.Bucket) error {
	records := []struct {
		key   []byte
		value any
	}{
		{keyInstance, &s.instance},
		{keyHardState, &s.state.HardState},
		{keySnapshot, &s.state.Snapshot},
		{keyInitialVoters, &s.initialVoters},
	}
	for _, r := range records {
		record := meta.Get(r.key)
		if record == nil {
			continue
		}
		if err := decodeRecord(r.key, record, r.value); err != nil {
			return s.corruptError("record %q (snapshot index %d): %v", r.key, s.state.Snapshot.Index, err)
		}
	}
	if s.instance == 0 {
		return s.corruptError("the instance number is missing")
	}
	return nil
}

func (s *Store) loadEntries(log *bbolt.Bucket) error {
	expected := uint64(0)
	c := log.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if len(k) != len(indexKey(0)) {
			return s.corruptError("log key %x is not an 8-byte index", k)
		}
		index := binary.BigEndian.Uint64(k)
		var e raft.Entry
		if err := decodeRecord(k, v, &e); err != nil {
			return s.corruptError("log entry %d: %v", index, err)
		}
		if e.Index != index || expected != 0 && index != expected {
			return s.corruptError("log entry %d: found index %d where %d was expected", index, e.Index, max(expected, index))
		}
		expected = index + 1
		s.state.Entries = append(s.state.Entries, e)
	}
	return s.checkContinuity()
}

// checkContinuity returns an error if log entries are missing between the snapshot and the first entry, or if the
// log ends before the snapshot.
func (s *Store) checkContinuity() error {
	entries := s.state.Entries
	if len(entries) == 0 {
		return nil
	}
	first, last, snapshot := entries[0].Index, entries[len(entries)-1].Index, s.state.Snapshot.Index
	if first > snapshot+1 || last < snapshot {
		return s.corruptError("log entries %d to %d do not continue the snapshot at index %d", first, last, snapshot)
	}
	return nil
}
