package raft

import "slices"

// indexedConfiguration is a configuration with the index of the entry or snapshot that contains it.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
	members       []Member
}

func newIndexedConfiguration(index uint64, c Configuration) indexedConfiguration {
	return indexedConfiguration{index: index, configuration: c, members: c.Members()}
}

// memoryLog holds the entries since the last compaction. offset is the index before the first entry. Entries up to the
// index durable are on disk.
type memoryLog struct {
	snapshot   Snapshot
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	bytes      int // size of the data of entries
	durable    uint64
	commit     uint64
	applied    uint64
	// configurations is ordered by index and never empty. The first one is no newer than the snapshot.
	configurations  []indexedConfiguration
	pendingSnapshot *Snapshot // received from the leader; cleared when its Ready is passed to Advance
}

func newLog(s DurableState) *memoryLog {
	// The capacity is clipped so that appending does not write into the caller's array.
	l := &memoryLog{snapshot: s.Snapshot, entries: slices.Clip(s.Entries)}
	l.offset, l.offsetTerm = s.Snapshot.Index, s.Snapshot.Term
	if len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		// The term at offset must be known. The entry before the first stored one is gone, so the first stored entry
		// becomes the offset.
		l.offset, l.offsetTerm = s.Entries[0].Index, s.Entries[0].Term
		l.entries = l.entries[1:]
	}
	l.countBytes()
	l.durable = l.lastIndex()
	l.commit = max(min(s.HardState.Commit, l.lastIndex()), s.Snapshot.Index)
	l.applied = s.Snapshot.Index
	l.configurations = []indexedConfiguration{newIndexedConfiguration(s.Snapshot.Index, s.Snapshot.Configuration)}
	for _, e := range l.entries {
		if e.Index > s.Snapshot.Index {
			l.recordConfiguration(e)
		}
	}
	return l
}

func (l *memoryLog) recordConfiguration(e Entry) {
	if e.Configuration != nil {
		l.configurations = append(l.configurations, newIndexedConfiguration(e.Index, *e.Configuration))
	}
}

// countBytes sets bytes after entries were removed.
func (l *memoryLog) countBytes() {
	l.bytes = 0
	for _, e := range l.entries {
		l.bytes += len(e.Data)
	}
}

func (l *memoryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i. It reports false if the log does not contain that entry.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i == l.snapshot.Index:
		return l.snapshot.Term, true
	case i < l.offset || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, inclusive, that the log contains. The result must not be modified.
func (l *memoryLog) slice(lo, hi uint64) []Entry {
	lo, hi = max(lo, l.offset+1), min(hi, l.lastIndex())
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.offset-1 : hi-l.offset : hi-l.offset]
}

// batch returns entries from index lo onwards with at most maxBytes of data, but at least one entry if there is any.
func (l *memoryLog) batch(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *memoryLog) configuration() Configuration {
	return l.configurations[len(l.configurations)-1].configuration
}

// members returns all members of the current configuration without duplicates, ordered by ID.
func (l *memoryLog) members() []Member {
	return l.configurations[len(l.configurations)-1].members
}

func (l *memoryLog) configurationIndex() uint64 {
	return l.configurations[len(l.configurations)-1].index
}

// configurationAt returns the configuration that applies after the entry at index i.
func (l *memoryLog) configurationAt(i uint64) Configuration {
	c := l.configurations[0].configuration
	for _, at := range l.configurations[1:] {
		if at.index <= i {
			c = at.configuration
		}
	}
	return c
}

func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		l.bytes += len(e.Data)
		l.recordConfiguration(e)
	}
}

// truncateFrom removes the entries from index i onwards.
func (l *memoryLog) truncateFrom(i uint64) {
	kept := i - l.offset - 1
	// The capacity is limited so that a later append cannot overwrite entries that a Ready still refers to.
	l.entries = l.entries[:kept:kept]
	l.countBytes()
	l.durable = min(l.durable, i-1)
	for len(l.configurations) > 1 && l.configurationIndex() >= i {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// merge appends entries of the leader and removes conflicting ones. The log must contain the entry before the first.
func (l *memoryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncateFrom(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// restore replaces the whole log with a snapshot.
func (l *memoryLog) restore(s Snapshot) {
	l.snapshot = s
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries, l.bytes = nil, 0
	l.durable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.configurations = []indexedConfiguration{newIndexedConfiguration(s.Index, s.Configuration)}
	l.pendingSnapshot = &s
}

// compact drops the entries up to index i, which must be covered by the snapshot.
func (l *memoryLog) compact(i uint64) {
	if i <= l.offset || i > l.snapshot.Index {
		return
	}
	t, _ := l.term(i)
	rest := l.slice(i+1, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.countBytes()
	l.offset, l.offsetTerm = i, t
	for len(l.configurations) > 1 && l.configurations[1].index <= l.snapshot.Index {
		l.configurations = l.configurations[1:]
	}
}
