package raft

import (
	"math/rand/v2"
	"time"
)

// Node is the Raft state machine of one replica. It is not safe for concurrent use. Between Ready and Advance, no other
// method that changes the node may be called.
type Node struct {
	opts Options
	id   uint64
	rng  *rand.Rand
	log  *memoryLog
	now  time.Duration

	role           Role
	term           uint64
	votedFor       uint64
	leaderID       uint64
	savedHardState HardState // the newest hard state known to be durable

	// voteBlockedUntil is the time until which a leader that this node has heard from may still hold its lease. It is
	// also set at a start, because the node may have heard from a leader just before it stopped.
	voteBlockedUntil time.Duration
	electionDeadline time.Duration
	votes            map[uint64]bool
	selfVotePending  bool // the node's vote for itself counts once it is durable
	refused          bool // the leader found that this node runs on an older copy of its disk

	leaderState leaderState

	messages   []Message
	readStates []ReadState
	events     []Event
}

// New returns a node that resumes from the durable state s.
func New(opts Options, s DurableState) *Node {
	opts = opts.withDefaults()
	n := &Node{
		opts:     opts,
		id:       opts.ID,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.ID)),
		log:      newLog(s),
		now:      opts.Now,
		term:     s.HardState.Term,
		votedFor: s.HardState.Vote,
	}
	n.savedHardState = s.HardState
	n.voteBlockedUntil = n.now + opts.ElectionTimeout
	n.resetElectionTimer()
	return n
}

// resetElectionTimer sets the election deadline to between one and two election timeouts from now.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.opts.ElectionTimeout + n.random(n.opts.ElectionTimeout)
}

// resetRetryTimer sets the election deadline to between half and one election timeout from now. A candidate that lost
// an election need not wait longer, because voters grant no vote while a leader may hold its lease.
func (n *Node) resetRetryTimer() {
	half := n.opts.ElectionTimeout / 2
	n.electionDeadline = n.now + half + n.random(half)
}

// random returns a duration from zero up to, but not including, limit.
func (n *Node) random(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// advanceClock sets the node's time to now. The time never goes back.
func (n *Node) advanceClock(now time.Duration) { n.now = max(n.now, now) }

// Tick tells the node the current time, so that it can send heartbeats and start elections. It should be called at
// least four times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.campaign(PreCandidate)
	}
}

// Step handles a message from another member, received at time now.
func (n *Node) Step(m Message, now time.Duration) {
	n.advanceClock(now)
	if m.To != n.id || m.From == n.id {
		return
	}
	if m.Type == MsgReadIndex {
		n.handleReadIndex(m)
		return
	}
	switch {
	case m.Term > n.term:
		if !n.stepHigherTerm(m) {
			return
		}
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return
	}
	n.dispatch(m)
}

// stepHigherTerm adopts the term of m, except for pre-vote requests, granted pre-votes and vote requests without Force
// during a leader lease. It reports whether m is to be handled further.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteResponse:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if n.leaderMayHoldLease() && !m.Force {
			return false
		}
	}
	leader := uint64(0)
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// stepLowerTerm answers messages of an older term so that their sender learns of the newer term. The answers carry no
// sequence number, so that the sender, if it becomes leader again, does not count them as acknowledgements.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

// dispatch passes a message of the current term, or a pre-vote, to its handler.
func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendResponse:
		n.handleAppendResponse(m)
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(m)
	case MsgReadIndexResponse:
		n.readStates = append(n.readStates, ReadState{Index: m.Index, Context: m.Context})
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	case MsgRefuse:
		n.handleRefuse(m)
	}
}

// send queues m for the next Ready. Its term defaults to the current one.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term = term
		n.votedFor = 0
	}
	n.role = Follower
	n.leaderID = leader
	n.leaderState = leaderState{}
	n.selfVotePending = false
	n.votes = nil
	n.resetElectionTimer()
}

// Propose appends data to the log and returns the index and term of its entry. The entry is committed only when
// Committed of a Ready contains an entry with that index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.leaderState.transferTarget != 0 {
		return 0, 0, ErrTransferring
	}
	index = n.appendAsLeader(Entry{Data: data})
	return index, n.term, nil
}

// appendAsLeader appends e with the next index and the current term, and returns the index.
func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.append(e)
	return e.Index
}

// Ready returns the work that has accumulated since the last Advance.
func (n *Node) Ready() Ready {
	n.flush()
	r := Ready{
		Snapshot:   n.log.pendingSnapshot,
		Messages:   n.messages,
		Committed:  n.log.slice(n.log.applied+1, n.log.commit),
		ReadStates: n.readStates,
		Events:     n.events,
	}
	if !n.opts.Mutations.AckWithoutSync || n.role == Leader {
		r.Entries = n.log.slice(n.log.durable+1, n.log.lastIndex())
	}
	hs := n.hardState()
	if n.electionStateChanged() || hs != n.savedHardState && (len(r.Entries) > 0 || r.Snapshot != nil) {
		r.HardState = &hs
	}
	n.messages, n.readStates, n.events = nil, nil, nil
	return r
}

func (n *Node) hardState() HardState {
	hs := HardState{Term: n.term, Vote: n.votedFor, Commit: n.log.commit}
	if n.opts.Mutations.VoteWithoutSync {
		hs.Vote = 0
	}
	return hs
}

// electionStateChanged reports whether the term or the vote must be made durable. A new commit index alone needs no
// sync: after a restart the leader sends it again.
func (n *Node) electionStateChanged() bool {
	hs := n.hardState()
	return hs.Term != n.savedHardState.Term || hs.Vote != n.savedHardState.Vote
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.flush()
	l := n.log
	return len(n.messages) > 0 || l.pendingSnapshot != nil || l.durable < l.lastIndex() || l.applied < l.commit ||
		len(n.readStates) > 0 || len(n.events) > 0 || n.electionStateChanged() || n.selfVotePending
}

// Advance tells the node that r is durable, that its messages were sent and that its committed entries were applied.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.log.pendingSnapshot = nil
	}
	if len(r.Committed) > 0 {
		n.log.applied = r.Committed[len(r.Committed)-1].Index
	}
	n.log.durable = n.log.lastIndex()
	if n.selfVotePending {
		n.selfVotePending = false
		n.recordVote(n.id, true)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// CreateSnapshot records data as the state after the entry at index and drops the log entries up to compactTo. It drops
// fewer entries while a member is installing a snapshot, because that member will need the entries after the snapshot.
// It returns the index up to which entries were dropped. The caller must make the snapshot durable before it calls
// Ready again.
func (n *Node) CreateSnapshot(index, compactTo uint64, data []byte) (Snapshot, uint64) {
	compactTo = n.limitCompaction(compactTo)
	t, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: t, Configuration: n.log.configurationAt(index).Clone(), Data: data}
	n.log.snapshot = s
	n.log.compact(compactTo)
	return s, n.log.offset
}

// Status is a copy of the state of a node.
type Status struct {
	ID            uint64
	Role          Role
	Term          uint64
	Leader        uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	LogBytes      int // size of the data of the entries in memory
	Configuration Configuration
	// ConfigurationIndex is the index of the entry that contains Configuration. That entry may be uncommitted.
	ConfigurationIndex uint64
	Refused            bool // the leader found that this replica runs on an older copy of its disk
}

func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leaderID, Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), FirstIndex: n.log.offset + 1, LogBytes: n.log.bytes,
		Configuration: n.log.configuration(), ConfigurationIndex: n.log.configurationIndex(), Refused: n.refused,
	}
}

// Term returns the term of the entry at index. It reports false if the log does not contain that entry.
func (n *Node) Term(index uint64) (uint64, bool) { return n.log.term(index) }

// MatchIndex returns the highest index up to which the log of member id is known to agree with the leader's. For this
// node it is the last durable index.
func (n *Node) MatchIndex(id uint64) uint64 {
	if id == n.id {
		return n.log.durable
	}
	if p := n.leaderState.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// LastAckedSendTime returns when the leader sent the newest message that member id has acknowledged, on the leader's
// clock. It reports false before the first acknowledgement since this node became leader.
func (n *Node) LastAckedSendTime(id uint64) (time.Duration, bool) {
	p := n.leaderState.progress[id]
	if p == nil || p.ackedSendTime < 0 {
		return 0, false
	}
	return p.ackedSendTime, true
}
