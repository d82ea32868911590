package raft

import "testing"

// TestLearnersGetEntriesInBatches guards against a leader that spends its processor time on the learners of a large
// group: at a hundred commits a second and twenty learners, a message for each entry makes thousands of messages a
// second. A learner that lags behind must still catch up without waiting for heartbeats.
func TestLearnersGetEntriesInBatches(t *testing.T) {
	const voters, learners, entries = 3, 4, 40
	configuration := Configuration{}
	for id := uint64(1); id <= voters; id++ {
		configuration.Voters = append(configuration.Voters, Member{ID: id})
	}
	for id := uint64(voters + 1); id <= voters+learners; id++ {
		configuration.Learners = append(configuration.Learners, Learner{Member: Member{ID: id}})
	}
	n := New(Options{ID: 1}, DurableState{Snapshot: Snapshot{Index: 1, Term: 1, Configuration: configuration}})
	n.term = 2
	n.becomeLeader()
	upToDate := func() {
		for _, p := range n.leaderState.progress {
			p.state, p.matchIndex, p.nextIndex, p.inflight, p.sentCommit = replicating, n.log.lastIndex(), n.log.lastIndex()+1, nil, n.log.commit
		}
	}
	upToDate()
	// sent returns the number of messages and entries for each member since the last call.
	sent := func() (messages, entries map[uint64]int) {
		messages, entries = map[uint64]int{}, map[uint64]int{}
		for _, m := range n.Ready().Messages {
			messages[m.To]++
			entries[m.To] += len(m.Entries)
		}
		return messages, entries
	}
	sent()
	voterEntries := 0
	for range entries {
		if _, _, err := n.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
		n.log.commit = n.log.lastIndex() - 1 // the voters have acknowledged the entries before
		messages, sentEntries := sent()
		voterEntries += sentEntries[2]
		for id := uint64(voters + 1); id <= voters+learners; id++ {
			if messages[id] > 0 {
				t.Fatalf("learner %d gets a message before the heartbeat", id)
			}
		}
	}
	if voterEntries != entries {
		t.Fatalf("a voter got %d of %d entries at once", voterEntries, entries)
	}
	n.heartbeat()
	messages, sentEntries := sent()
	for id := uint64(voters + 1); id <= voters+learners; id++ {
		if messages[id] != 1 || sentEntries[id] != entries {
			t.Errorf("learner %d gets %d messages with %d entries at the heartbeat, want 1 with %d", id, messages[id], sentEntries[id], entries)
		}
	}
	upToDate()
	for range 2 * learnerBatchEntries {
		if _, _, err := n.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, sentEntries := sent(); sentEntries[voters+1] < 2*learnerBatchEntries {
		t.Errorf("a learner that lags behind gets %d entries at once", sentEntries[voters+1])
	}
}
