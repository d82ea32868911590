package raft

import "testing"

// Guards against entries that pile up in the memory of the leader, as messages that a follower does not acknowledge.
func TestUnacknowledgedEntriesAreBounded(t *testing.T) {
	const entryBytes, maxBytes, entries = 1000, 5000, 20
	configuration := Configuration{Voters: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	n := New(Options{ID: 1, MaxBatchBytes: entryBytes, MaxInflightBytes: maxBytes}, DurableState{Snapshot: Snapshot{Index: 1, Term: 1, Configuration: configuration}})
	n.term = 2
	n.becomeLeader()
	p := n.leaderState.progress[2]
	p.state, p.matchIndex, p.nextIndex = replicating, n.log.lastIndex(), n.log.lastIndex()+1
	for range entries {
		if _, _, err := n.Propose(make([]byte, entryBytes)); err != nil {
			t.Fatal(err)
		}
	}
	sentBytes := func() int {
		total := 0
		for _, m := range n.Ready().Messages {
			for _, e := range m.Entries {
				if m.To == 2 {
					total += len(e.Data)
				}
			}
		}
		return total
	}
	if got := sentBytes(); got != maxBytes {
		t.Errorf("%d bytes were sent without an acknowledgement, want %d", got, maxBytes)
	}
	n.handleAck(p, Message{From: 2, Index: p.inflight[1].lastIndex})
	if got := sentBytes(); got != 2*entryBytes {
		t.Errorf("%d bytes were sent after the acknowledgement of two entries, want %d", got, 2*entryBytes)
	}
}

// Guards against a wrong size of the log, by which the leader decides whether it takes more.
func TestLogCountsItsBytes(t *testing.T) {
	entry := func(index uint64, size int) Entry { return Entry{Index: index, Term: 1, Data: make([]byte, size)} }
	l := newLog(DurableState{Snapshot: Snapshot{Index: 1, Term: 1}, Entries: []Entry{entry(2, 10)}})
	l.append(entry(3, 20), entry(4, 40))
	if l.bytes != 70 {
		t.Errorf("after append: %d", l.bytes)
	}
	l.truncateFrom(4)
	if l.bytes != 30 {
		t.Errorf("after truncateFrom: %d", l.bytes)
	}
	l.snapshot = Snapshot{Index: 2, Term: 1}
	l.compact(2)
	if l.bytes != 20 {
		t.Errorf("after compact: %d", l.bytes)
	}
	l.restore(Snapshot{Index: 9, Term: 1})
	if l.bytes != 0 {
		t.Errorf("after restore: %d", l.bytes)
	}
}
