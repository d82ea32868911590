package raft

import (
	"math"
	"time"
)

type progressState uint8

const (
	probing            progressState = iota // one message at a time until the logs are known to agree
	replicating                             // pipelined messages
	installingSnapshot                      // waiting for the answer to a snapshot
)

// progress is the leader's view of the replication to one member.
type progress struct {
	state      progressState
	matchIndex uint64 // highest index known to agree with the leader's log
	nextIndex  uint64 // next index to send
	inflight   []inflightAppend
	probeSent  bool // while probing: send no entries before an answer or the next heartbeat
	// snapshotIndex and snapshotAt are the index and the send time of the snapshot that the member is installing.
	snapshotIndex uint64
	snapshotAt    time.Duration
	sentCommit    uint64 // commit index in the newest append message
	// matchSequence is the value of lastSequence when matchIndex last increased. An answer to a message with a higher
	// sequence number must not report a log that ends before matchIndex.
	matchSequence uint64
	ackedSequence uint64        // highest acknowledged sequence number
	ackedSendTime time.Duration // when the leader sent the newest acknowledged message
	refused       bool          // see refuseMember
}

// inflightAppend is an unacknowledged append message.
type inflightAppend struct {
	lastIndex uint64
	bytes     int // size of the data of its entries
}

// leaderState is the state that a node has only while it is the leader. It is discarded when the node steps down.
type leaderState struct {
	progress         map[uint64]*progress
	lastSequence     uint64 // sequence number of the newest message to any member
	heartbeatDue     time.Duration
	startedAt        time.Duration // check-quorum starts one election timeout later
	firstIndexOfTerm uint64        // index of the first entry of the leader's term
	pendingReads     []pendingRead
	readRoundNeeded  bool   // a pending read needs a new heartbeat round
	transferTarget   uint64 // ID of the successor during a leadership transfer, otherwise 0
	transferDeadline time.Duration
	leaseReleased    bool // a leadership transfer has started
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leaderID = n.id
	n.votes = nil
	n.leaderState = leaderState{progress: map[uint64]*progress{}, heartbeatDue: n.now, startedAt: n.now}
	n.leaderState.firstIndexOfTerm = n.appendAsLeader(Entry{})
	n.updateProgress()
}

// updateProgress adjusts the progress map to the current configuration: one entry for each other member.
func (n *Node) updateProgress() {
	members := n.log.members()
	kept := make(map[uint64]*progress, len(members))
	for _, m := range members {
		if m.ID == n.id {
			continue
		}
		p := n.leaderState.progress[m.ID]
		if p == nil {
			p = &progress{nextIndex: n.leaderState.firstIndexOfTerm, ackedSendTime: math.MinInt64}
		}
		kept[m.ID] = p
	}
	n.leaderState.progress = kept
}

func (n *Node) tickLeader() {
	if !n.quorumActive() && n.now >= n.leaderState.startedAt+n.opts.ElectionTimeout {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.transferTarget != 0 && n.now >= n.leaderState.transferDeadline {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.leaderState.heartbeatDue {
		n.leaderState.heartbeatDue = n.now + n.opts.HeartbeatInterval
		n.heartbeat()
	}
	n.continueMembershipChange()
}

// heartbeat sends an append message to every member. It also reveals lost messages: a follower that lacks the entry
// before the heartbeat rejects it.
func (n *Node) heartbeat() {
	for _, m := range n.log.members() {
		if p := n.leaderState.progress[m.ID]; p != nil && !p.refused {
			p.probeSent = false
			n.sendAppend(m.ID, p, true)
		}
	}
}

// flush queues the messages that members need: new entries, a new commit index, or the heartbeat round of pending
// reads.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.answerConfirmedReads()
	for _, m := range n.log.members() {
		p := n.leaderState.progress[m.ID]
		if p == nil || p.refused {
			continue
		}
		n.sendPending(m.ID, p)
	}
	n.leaderState.readRoundNeeded = false
}

// waitsForHeartbeat reports whether a member gets its entries and the commit index with the next heartbeat. Nobody
// waits for the acknowledgements of a learner that is up to date. Sent one by one, the entries would cost the leader four
// messages for each entry and learner: two to the learner and its two answers.
func (n *Node) waitsForHeartbeat(id uint64, p *progress) bool {
	return p.state == replicating && n.log.lastIndex()+1-p.nextIndex < learnerBatchEntries && !n.log.configuration().IsVoter(id)
}

// sendPending sends what one member lacks: its next entries, the commit index or the round of pending reads.
func (n *Node) sendPending(id uint64, p *progress) {
	if n.waitsForHeartbeat(id, p) {
		return
	}
	for n.sendAppend(id, p, false) {
	}
	// Only voters can confirm that this node is still the leader, so the heartbeat round of a read leaves learners out.
	round := n.leaderState.readRoundNeeded && n.log.configuration().IsVoter(id)
	if round || p.state == replicating && p.sentCommit < n.log.commit {
		n.sendAppend(id, p, true)
	}
}

// sendAppend sends the next entries to id and reports whether it sent any. With force it sends a message without
// entries, a heartbeat, if there are none to send.
func (n *Node) sendAppend(id uint64, p *progress, force bool) bool {
	if p.state == installingSnapshot && n.now < p.snapshotAt+snapshotResendTimeout {
		if force {
			n.sendSequenced(id, Message{Type: MsgAppend})
		}
		return false
	}
	prevTerm, ok := n.log.term(p.nextIndex - 1)
	if !ok || p.nextIndex <= n.log.offset {
		n.sendSnapshot(id, p)
		return false
	}
	var entries []Entry
	if n.canSendEntries(p) {
		entries = n.log.batch(p.nextIndex, n.opts.MaxBatchBytes)
	}
	if len(entries) == 0 && !force {
		return false
	}
	n.sendSequenced(id, Message{
		Type: MsgAppend, LogIndex: p.nextIndex - 1, LogTerm: prevTerm, Entries: entries, Commit: n.log.commit,
	})
	p.sentCommit = n.log.commit
	if len(entries) == 0 {
		return false
	}
	n.recordSent(p, entries)
	return true
}

// canSendEntries reports whether the flow control of p allows another message with entries.
func (n *Node) canSendEntries(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return len(p.inflight) < n.opts.MaxInflight && p.inflightBytes() < n.opts.MaxInflightBytes
	default:
		return false
	}
}

// inflightBytes returns the size of the entries that were sent and not acknowledged.
func (p *progress) inflightBytes() int {
	total := 0
	for _, a := range p.inflight {
		total += a.bytes
	}
	return total
}

// recordSent updates the flow control of p after entries were sent.
func (n *Node) recordSent(p *progress, entries []Entry) {
	last := entries[len(entries)-1].Index
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.nextIndex = last + 1
	sent := inflightAppend{lastIndex: last}
	for _, e := range entries {
		sent.bytes += len(e.Data)
	}
	p.inflight = append(p.inflight, sent)
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	p.state = installingSnapshot
	p.snapshotAt = n.now
	p.inflight = nil
	s := n.log.snapshot
	p.snapshotIndex = s.Index
	n.sendSequenced(id, Message{Type: MsgSnapshot, Snapshot: &s})
}

// limitCompaction lowers compactTo to the index of the oldest snapshot that a responsive member is installing.
// Otherwise a member that takes longer to install a snapshot than the interval between compactions would never catch
// up.
func (n *Node) limitCompaction(compactTo uint64) uint64 {
	for _, p := range n.leaderState.progress {
		if p.state == installingSnapshot && p.ackedSendTime > n.now-n.opts.ElectionTimeout {
			compactTo = min(compactTo, p.snapshotIndex)
		}
	}
	return compactTo
}

// sendSequenced sends m with the next sequence number and the current time, which the response returns.
func (n *Node) sendSequenced(id uint64, m Message) {
	n.leaderState.lastSequence++
	m.To = id
	m.Sequence = n.leaderState.lastSequence
	m.SentAt = n.now
	n.send(m)
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.leaderState.progress[m.From]
	if n.role != Leader || p == nil || m.Sequence == 0 {
		return
	}
	if p.refused {
		n.send(Message{Type: MsgRefuse, To: m.From})
		return
	}
	if n.logRegressed(p, m) {
		n.refuseMember(m.From, p, m)
		return
	}
	p.ackedSequence = max(p.ackedSequence, m.Sequence)
	p.ackedSendTime = max(p.ackedSendTime, m.SentAt)
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	n.handleAck(p, m)
}

// logRegressed reports whether the member no longer has the entry at matchIndex, although m answers a message that was
// sent after it had acknowledged that entry. Only an older or emptied disk under the same instance number causes this.
func (n *Node) logRegressed(p *progress, m Message) bool {
	return !n.opts.Mutations.AcceptRegression && m.Sequence > p.matchSequence && m.LastIndex < p.matchIndex
}

// refuseMember excludes a member that runs on an older copy of its disk: its acknowledgements no longer count.
func (n *Node) refuseMember(id uint64, p *progress, m Message) {
	p.refused = true
	p.ackedSendTime = math.MinInt64
	p.ackedSequence = 0
	n.events = append(n.events, Event{
		RefusedID: id,
		Detail:    "the replica acknowledged fewer entries than before: its disk is an older copy and it must be replaced",
	})
	n.send(Message{Type: MsgRefuse, To: id})
}

func (n *Node) handleReject(p *progress, m Message) {
	if m.Index < p.matchIndex && m.Sequence <= p.matchSequence {
		// The rejected message was sent before matchIndex last increased, so the rejection is outdated.
		return
	}
	p.state = probing
	p.probeSent = false
	p.inflight = nil
	if n.opts.Mutations.AcceptRegression {
		p.matchIndex = min(p.matchIndex, m.Index)
	}
	p.nextIndex = max(p.matchIndex+1, min(m.Index+1, n.log.lastIndex()+1))
}

func (n *Node) handleAck(p *progress, m Message) {
	if m.Index > n.log.lastIndex() {
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.matchSequence = n.leaderState.lastSequence
		n.advanceCommit()
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= p.matchIndex {
		p.inflight = p.inflight[1:]
	}
	n.enterReplicating(p, m)
	n.sendTimeoutNow(m.From, p)
}

// enterReplicating starts to pipeline messages to a member once its log is known to agree at matchIndex.
func (n *Node) enterReplicating(p *progress, m Message) {
	if p.matchIndex == 0 || p.state == replicating {
		return
	}
	if p.state == installingSnapshot && p.matchIndex < n.log.offset {
		if p.matchIndex >= p.snapshotIndex {
			// The log was compacted beyond the installed snapshot, so a newer snapshot is sent at once.
			p.state = probing
			p.nextIndex = p.matchIndex + 1
		}
		return
	}
	if m.Index < p.matchIndex {
		return
	}
	p.state = replicating
	p.probeSent = false
	p.nextIndex = p.matchIndex + 1
	p.inflight = nil
}

// advanceCommit commits the entries that a majority of every voter set has made durable. Only entries of the current
// term are committed by counting replicas (Raft paper, section 5.4.2).
func (n *Node) advanceCommit() {
	index := quorumValue(n.voterSets(), n.MatchIndex)
	if index <= n.log.commit {
		return
	}
	t, ok := n.log.term(index)
	if !ok || t != n.term && !n.opts.Mutations.CommitOldTerm {
		return
	}
	n.log.commit = index
	n.continueMembershipChange()
}

// quorumActive reports whether a quorum acknowledged a message sent within the election timeout.
func (n *Node) quorumActive() bool {
	return n.quorumAckedSendTime() > n.now-n.opts.ElectionTimeout
}

// quorumAckedSendTime returns the latest time, on the leader's clock, such that a quorum has acknowledged messages sent
// at or after it.
func (n *Node) quorumAckedSendTime() time.Duration {
	return quorumValue(n.voterSets(), func(id uint64) time.Duration {
		if id == n.id {
			return math.MaxInt64
		}
		if p := n.leaderState.progress[id]; p != nil {
			return p.ackedSendTime
		}
		return math.MinInt64
	})
}

// LeaseUntil returns the end of the leader lease on this node's monotonic clock, or zero if the node holds no lease. A
// leader holds no lease before an entry of its term is committed.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.leaderState.leaseReleased || !n.committedInTerm() {
		return 0
	}
	if n.opts.Mutations.LeaseWithoutAcks {
		return math.MaxInt64
	}
	at := n.quorumAckedSendTime()
	if at == math.MinInt64 {
		return 0
	}
	return min(at, n.now) + n.opts.lease()
}

// HoldsLease reports whether the node may act as leader at time now.
func (n *Node) HoldsLease(now time.Duration) bool { return now < n.LeaseUntil() }

func (n *Node) committedInTerm() bool { return n.log.commit >= n.leaderState.firstIndexOfTerm }

// TransferLeadership asks the voter with the ID target to become leader. The current leader releases its lease at once
// and steps down if the transfer takes longer than one election timeout.
func (n *Node) TransferLeadership(target uint64) error {
	p := n.leaderState.progress[target]
	if n.role != Leader {
		return ErrNotLeader
	}
	if p == nil || p.refused || !containsMember(n.log.configuration().Voters, target) {
		return ErrInvalidChange
	}
	if n.leaderState.transferTarget != 0 {
		return ErrTransferring
	}
	n.leaderState.transferTarget = target
	n.leaderState.transferDeadline = n.now + n.opts.ElectionTimeout
	n.leaderState.leaseReleased = true
	n.sendTimeoutNow(target, p)
	return nil
}

// sendTimeoutNow tells the target of a leadership transfer to start an election once it has the whole log.
func (n *Node) sendTimeoutNow(id uint64, p *progress) {
	if n.role == Leader && n.leaderState.transferTarget == id && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
