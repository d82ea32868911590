package raft

import (
	"math/rand/v2"
	"time"
)

// Node is one replica's agreement state machine. It is not safe for concurrent use. Between Ready and Advance
// no other method that changes the node may be called.
type Node struct {
	opts Options
	id   uint64
	rng  *rand.Rand
	log  *memoryLog
	now  time.Duration

	role   Role
	term   uint64
	vote   uint64
	leader uint64
	saved  HardState // the last hard state handed out

	// noVoteBefore is the end of the time in which a leader that this node heard may still hold its lease. It
	// also runs after a start, because the node may have heard a leader just before it stopped.
	noVoteBefore     time.Duration
	electionDeadline time.Duration
	votes            map[uint64]bool
	selfVote         bool // the own vote counts once it is durable
	refused          bool

	lead leadership

	messages   []Message
	readStates []ReadState
	events     []Event
}

// New returns a node that continues from durable state s.
func New(opts Options, s DurableState) *Node {
	opts = opts.withDefaults()
	n := &Node{
		opts: opts,
		id:   opts.ID,
		rng:  rand.New(rand.NewPCG(opts.Seed, opts.ID)),
		log:  newLog(s),
		now:  opts.Now,
		term: s.HardState.Term,
		vote: s.HardState.Vote,
	}
	n.saved = s.HardState
	n.noVoteBefore = n.now + opts.ElectionTimeout
	n.resetElectionTimer()
	return n
}

// resetElectionTimer waits between one and two election timeouts.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.opts.ElectionTimeout + n.random(n.opts.ElectionTimeout)
}

// resetRetryTimer waits between a half and one election timeout. A candidate whose round failed needs no longer
// wait, because voters protect the leader's lease themselves.
func (n *Node) resetRetryTimer() {
	half := n.opts.ElectionTimeout / 2
	n.electionDeadline = n.now + half + n.random(half)
}

func (n *Node) random(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(limit)))
}

func (n *Node) observe(now time.Duration) { n.now = max(n.now, now) }

// Tick lets the node act on the passage of time. It should be called at least every quarter of a heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.observe(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.campaign(PreCandidate)
	}
}

// Step handles a message of another member that arrived at time now.
func (n *Node) Step(m Message, now time.Duration) {
	n.observe(now)
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

// stepHigherTerm adopts the term of m where the protocol asks for it and reports whether m is to be handled.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteResponse:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if n.protectsLease() && !m.Force {
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

// stepLowerTerm answers messages of an old term so that their sender learns of the newer one. The answers carry
// no sequence number, so a later leadership of the sender does not take them for acknowledgements.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

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

// send queues a message of the current term.
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
		n.vote = 0
	}
	n.role = Follower
	n.leader = leader
	n.lead = leadership{}
	n.selfVote = false
	n.votes = nil
	n.resetElectionTimer()
}

// Propose appends data to the log and returns its place. The entry is committed only when a Ready returns it,
// with the same term, in Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.lead.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	index = n.appendOwn(Entry{Data: data})
	return index, n.term, nil
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.append(e)
	return e.Index
}

// Ready returns the work that has gathered since the last Advance.
func (n *Node) Ready() Ready {
	n.flush()
	r := Ready{
		Snapshot:   n.log.pending,
		Messages:   n.messages,
		Committed:  n.log.slice(n.log.applied+1, n.log.commit),
		ReadStates: n.readStates,
		Events:     n.events,
	}
	if !n.opts.Mutations.AckWithoutSync || n.role == Leader {
		r.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex())
	}
	hs := n.hardState()
	if n.electionStateChanged() || hs != n.saved && (len(r.Entries) > 0 || r.Snapshot != nil) {
		r.HardState = &hs
	}
	n.messages, n.readStates, n.events = nil, nil, nil
	return r
}

func (n *Node) hardState() HardState {
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	if n.opts.Mutations.VoteWithoutSync {
		hs.Vote = 0
	}
	return hs
}

// electionStateChanged reports whether the term or the vote must be made durable. A new commit index alone needs
// no sync: after a restart the leader tells it again.
func (n *Node) electionStateChanged() bool {
	hs := n.hardState()
	return hs.Term != n.saved.Term || hs.Vote != n.saved.Vote
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.flush()
	l := n.log
	return len(n.messages) > 0 || l.pending != nil || l.stable < l.lastIndex() || l.applied < l.commit ||
		len(n.readStates) > 0 || len(n.events) > 0 || n.electionStateChanged() || n.selfVote
}

// Advance tells the node that r is durable, its messages are sent and its committed entries are applied.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil {
		n.log.pending = nil
	}
	if len(r.Committed) > 0 {
		n.log.applied = r.Committed[len(r.Committed)-1].Index
	}
	n.log.stable = n.log.lastIndex()
	if n.selfVote {
		n.selfVote = false
		n.recordVote(n.id, true)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// CreateSnapshot records data as the state after the entry at index and drops the entries up to compactTo, or
// fewer while a member installs a snapshot and will need the entries after it. It returns the index up to which
// entries were dropped. The snapshot must be made durable by the owner before the next Ready.
func (n *Node) CreateSnapshot(index, compactTo uint64, data []byte) (Snapshot, uint64) {
	compactTo = n.keepForInstalling(compactTo)
	t, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: t, Configuration: n.log.configurationAt(index).Clone(), Data: data}
	n.log.snapshot = s
	n.log.compact(compactTo)
	return s, n.log.offset
}

// Status is a view of a node.
type Status struct {
	ID            uint64
	Role          Role
	Term          uint64
	Leader        uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	Configuration Configuration
	// ConfigurationIndex is the entry that carries Configuration; it may not be committed yet.
	ConfigurationIndex uint64
	Refused            bool // the leader found that this replica runs on an older disk
}

// Status returns the current view.
func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), FirstIndex: n.log.offset + 1,
		Configuration: n.log.configuration(), ConfigurationIndex: n.log.configurationIndex(), Refused: n.refused,
	}
}

// Term returns the term of the entry at index, or false if the log does not hold it.
func (n *Node) Term(index uint64) (uint64, bool) { return n.log.term(index) }

// MatchIndex returns how far the leader knows member id's log to agree with its own.
func (n *Node) MatchIndex(id uint64) uint64 {
	if id == n.id {
		return n.log.stable
	}
	if p := n.lead.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// LastAckedSendTime returns when the leader sent the newest message that member id has acknowledged, on the leader's
// clock. It reports false before the first acknowledgement in this leadership.
func (n *Node) LastAckedSendTime(id uint64) (time.Duration, bool) {
	p := n.lead.progress[id]
	if p == nil || p.ackTime < 0 {
		return 0, false
	}
	return p.ackTime, true
}
