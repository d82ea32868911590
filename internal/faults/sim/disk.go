package sim

import (
	"slices"

	"filbertledge/internal/raft"
)

// disk models the difference between written and synced data. As in package storage, a write is one transaction that
// becomes durable completely or not at all.
type disk struct {
	synced     raft.DurableState
	written    raft.DurableState
	checkpoint raft.DurableState // earlier state, restored by Server.RestartFromCheckpoint
}

func newDisk(s raft.DurableState) *disk { return &disk{synced: s, written: s} }

// stage writes the durable part of a Ready without syncing it.
func (d *disk) stage(rd raft.Ready) {
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

// replaceTail returns old with the entries from the first new index on replaced by entries.
func replaceTail(old, entries []raft.Entry) []raft.Entry {
	first := entries[0].Index
	if n := len(old); n > 0 && old[n-1].Index+1 == first {
		// Earlier states may share the backing array. They do not see the appended entries, because they are shorter.
		return append(old, entries...)
	}
	kept, _ := slices.BinarySearchFunc(old, first, func(e raft.Entry, i uint64) int { return int(int64(e.Index) - int64(i)) })
	return slices.Concat(old[:kept], entries)
}

// stageSnapshot writes a snapshot that the server took and deletes the entries up to compactTo, without syncing.
func (d *disk) stageSnapshot(s raft.Snapshot, compactTo uint64) {
	d.written = d.synced
	d.written.Snapshot = s
	d.written.Entries = slices.DeleteFunc(slices.Clone(d.synced.Entries), func(e raft.Entry) bool { return e.Index <= compactTo })
}

func (d *disk) sync() { d.synced = d.written }

// crash drops writes that were not synced. With keep, they survive, as if the kernel had already flushed them.
func (d *disk) crash(keep bool) {
	if keep {
		d.sync()
	}
	d.written = d.synced
}
