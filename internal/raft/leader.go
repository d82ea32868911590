package raft

import (
	"math"
	"time"
)

type progressState uint8

const (
	probing     progressState = iota // one message at a time until the logs are known to agree
	replicating                      // pipelined messages
	installing                       // waiting for the answer to a snapshot
)

// progress is what the leader knows about one member.
type progress struct {
	state     progressState
	match     uint64 // highest index known to agree with the leader's log
	next      uint64 // next index to send
	inflight  []uint64
	probeSent bool
	// snapshotIndex and snapshotAt belong to the snapshot that is being installed.
	snapshotIndex uint64
	snapshotAt    time.Duration
	sentCommit    uint64
	// matchedAt is the last sequence number sent when match grew. An answer to a later message must not
	// acknowledge less.
	matchedAt   uint64
	ackSequence uint64        // highest acknowledged sequence number
	ackTime     time.Duration // leader's clock when it sent the newest acknowledged message
	refused     bool
}

// leadership is the state of a leader. It is discarded when the leadership ends.
type leadership struct {
	progress      map[uint64]*progress
	sequence      uint64
	heartbeatDue  time.Duration
	quorumSeenAt  time.Duration // start of the grace period of check-quorum
	firstIndex    uint64        // the first entry of the term
	reads         []pendingRead
	roundNeeded   bool
	transferTo    uint64
	transferUntil time.Duration
	leaseGivenUp  bool
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.lead = leadership{progress: map[uint64]*progress{}, heartbeatDue: n.now, quorumSeenAt: n.now}
	n.lead.firstIndex = n.appendOwn(Entry{})
	n.syncProgress()
}

// syncProgress keeps one progress for each other member of the configuration in force.
func (n *Node) syncProgress() {
	members := n.log.members()
	kept := make(map[uint64]*progress, len(members))
	for _, m := range members {
		if m.ID == n.id {
			continue
		}
		p := n.lead.progress[m.ID]
		if p == nil {
			p = &progress{next: n.lead.firstIndex, ackTime: math.MinInt64}
		}
		kept[m.ID] = p
	}
	n.lead.progress = kept
}

func (n *Node) tickLeader() {
	if !n.quorumActive() && n.now >= n.lead.quorumSeenAt+n.opts.ElectionTimeout {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.lead.transferTo != 0 && n.now >= n.lead.transferUntil {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.lead.heartbeatDue {
		n.lead.heartbeatDue = n.now + n.opts.HeartbeatInterval
		n.heartbeat()
	}
	n.continueChange()
}

// heartbeat sends to every member, which also finds lost messages: a follower that misses the entry before the
// heartbeat rejects it.
func (n *Node) heartbeat() {
	for _, m := range n.log.members() {
		if p := n.lead.progress[m.ID]; p != nil && !p.refused {
			p.probeSent = false
			n.sendAppend(m.ID, p, true)
		}
	}
}

// flush sends what the members need: new entries, a new commit index, or a round for pending reads.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.releaseReads()
	for _, m := range n.log.members() {
		p := n.lead.progress[m.ID]
		if p == nil || p.refused {
			continue
		}
		n.sendPending(m.ID, p)
	}
	n.lead.roundNeeded = false
}

func (n *Node) sendPending(id uint64, p *progress) {
	for n.sendAppend(id, p, false) {
	}
	// Learners have no say in whether this node still leads, so a round for reads leaves them out.
	round := n.lead.roundNeeded && n.log.configuration().IsVoter(id)
	if round || p.state == replicating && p.sentCommit < n.log.commit {
		n.sendAppend(id, p, true)
	}
}

// sendAppend sends the next entries to id and reports whether it sent any. With force it sends even without
// entries, as a heartbeat.
func (n *Node) sendAppend(id uint64, p *progress, force bool) bool {
	if p.state == installing && n.now < p.snapshotAt+snapshotResend {
		if force {
			n.sendSequenced(id, Message{Type: MsgAppend})
		}
		return false
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok || p.next <= n.log.offset {
		n.sendSnapshot(id, p)
		return false
	}
	var entries []Entry
	if n.mayPipeline(p) {
		entries = n.log.batch(p.next, n.opts.MaxBatchBytes)
	}
	if len(entries) == 0 && !force {
		return false
	}
	n.sendSequenced(id, Message{
		Type: MsgAppend, LogIndex: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: n.log.commit,
	})
	p.sentCommit = n.log.commit
	if len(entries) == 0 {
		return false
	}
	n.noteSent(p, entries[len(entries)-1].Index)
	return true
}

func (n *Node) mayPipeline(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return len(p.inflight) < n.opts.MaxInflight
	default:
		return false
	}
}

func (n *Node) noteSent(p *progress, last uint64) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	p.state = installing
	p.snapshotAt = n.now
	p.inflight = nil
	s := n.log.snapshot
	p.snapshotIndex = s.Index
	n.sendSequenced(id, Message{Type: MsgSnapshot, Snapshot: &s})
}

// keepForInstalling lowers the index of a compaction to the snapshot that a responsive member is installing.
// Without this a member whose snapshot takes longer than the interval between compactions would never catch up.
func (n *Node) keepForInstalling(compactTo uint64) uint64 {
	for _, p := range n.lead.progress {
		if p.state == installing && p.ackTime > n.now-n.opts.ElectionTimeout {
			compactTo = min(compactTo, p.snapshotIndex)
		}
	}
	return compactTo
}

func (n *Node) sendSequenced(id uint64, m Message) {
	n.lead.sequence++
	m.To = id
	m.Sequence = n.lead.sequence
	m.SentAt = n.now
	n.send(m)
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.lead.progress[m.From]
	if n.role != Leader || p == nil || m.Sequence == 0 {
		return
	}
	if p.refused {
		n.send(Message{Type: MsgRefuse, To: m.From})
		return
	}
	if n.regressed(p, m) {
		n.refuse(m.From, p, m)
		return
	}
	p.ackSequence = max(p.ackSequence, m.Sequence)
	p.ackTime = max(p.ackTime, m.SentAt)
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	n.handleAck(p, m)
}

// regressed reports whether the member answered a message that was sent after it had acknowledged match, but no
// longer has that entry. Only an older or emptied disk under the same instance number does that.
func (n *Node) regressed(p *progress, m Message) bool {
	return !n.opts.Mutations.AcceptRegression && m.Sequence > p.matchedAt && m.LastIndex < p.match
}

func (n *Node) refuse(id uint64, p *progress, m Message) {
	p.refused = true
	p.ackTime = math.MinInt64
	p.ackSequence = 0
	n.events = append(n.events, Event{
		RefusedID: id,
		Detail:    "the replica acknowledged fewer entries than before: its disk is an older copy and it must be replaced",
	})
	n.send(Message{Type: MsgRefuse, To: id})
}

func (n *Node) handleReject(p *progress, m Message) {
	if m.Index < p.match && m.Sequence <= p.matchedAt {
		return
	}
	p.state = probing
	p.probeSent = false
	p.inflight = nil
	if n.opts.Mutations.AcceptRegression {
		p.match = min(p.match, m.Index)
	}
	p.next = max(p.match+1, min(m.Index+1, n.log.lastIndex()+1))
}

func (n *Node) handleAck(p *progress, m Message) {
	if m.Index > n.log.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.matchedAt = n.lead.sequence
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	n.leaveProbing(p, m)
	n.finishTransfer(m.From, p)
}

// leaveProbing starts pipelining once the logs are known to agree at match.
func (n *Node) leaveProbing(p *progress, m Message) {
	if p.match == 0 || p.state == replicating {
		return
	}
	if p.state == installing && p.match < n.log.offset {
		if p.match >= p.snapshotIndex {
			// The log was compacted beyond the installed snapshot, so the newer one is sent at once.
			p.state = probing
			p.next = p.match + 1
		}
		return
	}
	if m.Index < p.match {
		return
	}
	p.state = replicating
	p.probeSent = false
	p.next = p.match + 1
	p.inflight = nil
}

// advanceCommit commits what a majority of every voter set has made durable. Only entries of the current term
// are committed by counting (Raft paper, section 5.4.2).
func (n *Node) advanceCommit() {
	index := quorum(n.sets(), n.MatchIndex)
	if index <= n.log.commit {
		return
	}
	t, ok := n.log.term(index)
	if !ok || t != n.term && !n.opts.Mutations.CommitOldTerm {
		return
	}
	n.log.commit = index
	n.continueChange()
}

// quorumActive reports whether a quorum acknowledged a message sent within the election timeout.
func (n *Node) quorumActive() bool {
	return n.quorumAckTime() > n.now-n.opts.ElectionTimeout
}

// quorumAckTime returns the leader's time of sending of the newest messages that a quorum acknowledged.
func (n *Node) quorumAckTime() time.Duration {
	return quorum(n.sets(), func(id uint64) time.Duration {
		if id == n.id {
			return math.MaxInt64
		}
		if p := n.lead.progress[id]; p != nil {
			return p.ackTime
		}
		return math.MinInt64
	})
}

// LeaseUntil returns the end of the leader lease on this node's monotonic clock, or zero if it holds none. The
// lease starts once an entry of the leader's term is committed.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.lead.leaseGivenUp || !n.committedInTerm() {
		return 0
	}
	if n.opts.Mutations.LeaseWithoutAcks {
		return math.MaxInt64
	}
	at := n.quorumAckTime()
	if at == math.MinInt64 {
		return 0
	}
	return min(at, n.now) + n.opts.lease()
}

// HoldsLease reports whether the node may act as leader at time now.
func (n *Node) HoldsLease(now time.Duration) bool { return now < n.LeaseUntil() }

func (n *Node) committedInTerm() bool { return n.log.commit >= n.lead.firstIndex }

// TransferLeadership asks member to to take over. The leader gives up its lease at once and steps down if the
// transfer takes longer than an election timeout.
func (n *Node) TransferLeadership(to uint64) error {
	p := n.lead.progress[to]
	if n.role != Leader {
		return ErrNotLeader
	}
	if p == nil || p.refused || !contains(n.log.configuration().Voters, to) {
		return ErrInvalidChange
	}
	if n.lead.transferTo != 0 {
		return ErrTransferring
	}
	n.lead.transferTo = to
	n.lead.transferUntil = n.now + n.opts.ElectionTimeout
	n.lead.leaseGivenUp = true
	n.finishTransfer(to, p)
	return nil
}

func (n *Node) finishTransfer(id uint64, p *progress) {
	if n.role == Leader && n.lead.transferTo == id && p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
