package sim

import (
	"slices"

	"filbertledge/internal/raft"
)

// disk distinguishes what was written from what was synced. Its operations follow package storage: a write is
// one transaction that is durable as a whole or not at all.
type disk struct {
	synced  raft.DurableState
	written raft.DurableState
	initial raft.DurableState // copy to go back to, for the fault of an older disk
}

func newDisk(s raft.DurableState) *disk { return &disk{synced: s, written: s} }

// write stages a Ready.
func (d *disk) write(rd raft.Ready) {
	s := d.synced
	if rd.Snapshot != nil {
		s.Snapshot = *rd.Snapshot
		s.Entries = nil
	}
	if len(rd.Entries) > 0 {
		s.Entries = replaceTail(s.Entries, rd.Entries)
	}
	if rd.HardState != nil {
		s.HardState = *rd.HardState
	}
	d.written = s
}

func replaceTail(old, entries []raft.Entry) []raft.Entry {
	first := entries[0].Index
	if n := len(old); n > 0 && old[n-1].Index+1 == first {
		// Earlier states share the array; their shorter lengths hide what is appended here.
		return append(old, entries...)
	}
	kept, _ := slices.BinarySearchFunc(old, first, func(e raft.Entry, i uint64) int { return int(int64(e.Index) - int64(i)) })
	return slices.Concat(old[:kept], entries)
}

// writeSnapshot stages a snapshot that the replica took, and the removal of the entries up to compactTo.
func (d *disk) writeSnapshot(s raft.Snapshot, compactTo uint64) {
	d.written = d.synced
	d.written.Snapshot = s
	d.written.Entries = slices.DeleteFunc(slices.Clone(d.synced.Entries), func(e raft.Entry) bool { return e.Index <= compactTo })
}

func (d *disk) sync() { d.synced = d.written }

// crash drops what was not synced, or keeps it if the kernel happened to have written it.
func (d *disk) crash(keep bool) {
	if keep {
		d.sync()
	}
	d.written = d.synced
}
