package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

// maxEventsPerSync is the maximum number of queued events that are handled before the next sync.
const maxEventsPerSync = 512

// leadershipTransferTimeout is the maximum time that a stopping leader waits for its successor.
const leadershipTransferTimeout = 500 * time.Millisecond

type outcome struct {
	result []byte
	err    error
}

// States of a proposal. A caller that stops waiting for a queued proposal withdraws it, so it is certainly not
// proposed.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalWithdrawn
)

type proposal struct {
	data  []byte
	done  chan outcome
	state atomic.Int32

	term     uint64
	deadline time.Duration
}

// abandon returns the error of a proposal whose caller stops waiting.
func (p *proposal) abandon(cause error) error {
	if p.state.CompareAndSwap(proposalQueued, proposalWithdrawn) {
		return errNotProposed(cause)
	}
	return errOutcomeUnknown(cause)
}

type readOutcome struct {
	index uint64
	err   error
}

type readRequest struct {
	done     chan readOutcome
	deadline time.Duration
}

// readBatch is a group of reads that the leader confirms together.
type readBatch struct {
	context  []byte
	sentAt   time.Duration
	requests []*readRequest
}

// confirmedRead is a batch of reads that waits until the state machine has applied index.
type confirmedRead struct {
	index    uint64
	requests []*readRequest
}

// loopState is the state that only the replica's own goroutine, which executes Run, may use once Run has started.
type loopState struct {
	standbySince       map[string]time.Duration // time of the last request of each VM that stands by
	node               *raft.Node
	applied            uint64
	snapshotIndex      uint64        // index of the newest snapshot
	bytesSinceSnapshot int           // of the commands applied since the newest snapshot
	lastManagedAt      time.Duration // when manageMembership last checked the membership
	// leadingSince is when this replica last became the leader.
	leadingSince     time.Duration
	encodingSnapshot bool                 // a snapshot is being encoded
	pendingProposals map[uint64]*proposal // by log index
	queuedReads      []*readRequest
	inFlightReads    *readBatch
	confirmedReads   []confirmedRead
	// readPrefix distinguishes the reads of this process from those of an earlier one, whose answers may still arrive.
	readPrefix   uint64
	readCount    uint64
	encoder      *encoder
	decoder      decoder
	lastLeaderID uint64
	lastRole     raft.Role
	failure      error
}

func newLoopState(applied uint64) loopState {
	return loopState{
		applied:          applied,
		snapshotIndex:    applied,
		pendingProposals: map[uint64]*proposal{},
		decoder:          decoder{partialMessages: map[uint64]*partialMessage{}},
		readPrefix:       rand.Uint64(),
	}
}

// Run takes part in the group until ctx ends, Close is called or the replica fails, for instance because of its
// storage. An empty replica joins its group first. After a failure, Run calls Options.Fatal and then returns the error.
func (r *Replica) Run(ctx context.Context) error {
	if !r.phase.CompareAndSwap(phaseOpen, phaseRunning) {
		return errs.New(errs.Unavailable, "open the replica again", "the replica is closed or already running")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.runCtx = ctx
	defer close(r.stopped)
	defer func() { _ = r.store.Close() }()
	r.loop.encoder = &encoder{self: r.self}
	if !r.Status().Joined {
		go r.joinGroup(ctx)
	}
	if r.opts.ManageVoters {
		go r.watchMembership(ctx)
	}
	ticker := time.NewTicker(r.opts.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for r.loop.failure == nil {
		select {
		case <-ctx.Done():
			r.transferLeadership()
			return r.stop()
		case <-r.stopRequested:
			r.transferLeadership()
			return r.stop()
		default:
		}
		r.waitForEvent(ctx, ticker.C)
		r.handleQueued()
		r.processReady()
	}
	return r.stop()
}

// waitForEvent waits for one event and handles it.
func (r *Replica) waitForEvent(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-r.stopRequested:
	case data := <-r.inbox:
		r.stepMessage(data)
	case p := <-r.proposals:
		r.propose(p)
	case q := <-r.reads:
		r.queueRead(q)
	case f := <-r.calls:
		f()
	case <-tick:
		r.expireRequests()
		r.manageMembership()
	}
}

// handleQueued handles the messages, proposals and reads that are already queued, so that they share one sync.
func (r *Replica) handleQueued() {
	for range maxEventsPerSync {
		select {
		case data := <-r.inbox:
			r.stepMessage(data)
		case p := <-r.proposals:
			r.propose(p)
		case q := <-r.reads:
			r.queueRead(q)
		default:
			return
		}
	}
}

func (r *Replica) stepMessage(data []byte) {
	f, ok := r.loop.decoder.decode(data)
	if !ok || !r.participating.Load() {
		return
	}
	r.addresses.learn(f.From, f.Address)
	if f.Message.Snapshot != nil && len(f.Message.Snapshot.Data) > 0 && r.opts.PrepareSnapshot != nil {
		r.receiveSnapshot(r.runCtx, f)
		return
	}
	r.loop.node.Step(*f.Message, r.opts.Clock())
}

func (r *Replica) propose(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return
	}
	if !r.participating.Load() {
		p.done <- outcome{err: errNotProposed(errNotJoined)}
		return
	}
	// The tick comes first so that a leader whose process was suspended steps down before it accepts the proposal.
	r.loop.node.Tick(r.opts.Clock())
	index, term, err := r.loop.node.Propose(p.data)
	switch {
	case err == raft.ErrNotLeader:
		p.done <- outcome{err: errNotLeader(r.buildStatus().leader())}
	case err != nil:
		p.done <- outcome{err: errNotProposed(err)}
	default:
		p.term = term
		p.deadline = r.opts.Clock() + r.opts.ProposeTimeout
		r.loop.pendingProposals[index] = p
	}
}

func (r *Replica) queueRead(q *readRequest) {
	if !r.participating.Load() {
		q.done <- readOutcome{err: errReadFailed(errNotJoined)}
		return
	}
	q.deadline = r.opts.Clock() + r.opts.ReadTimeout
	r.loop.queuedReads = append(r.loop.queuedReads, q)
}

// expireRequests fails the proposals and reads whose deadline has passed.
func (r *Replica) expireRequests() {
	now := r.opts.Clock()
	for index, p := range r.loop.pendingProposals {
		if now >= p.deadline {
			delete(r.loop.pendingProposals, index)
			p.done <- outcome{err: errOutcomeUnknown(errQuorumTimeout)}
		}
	}
	r.loop.queuedReads = expireReads(r.loop.queuedReads, now)
	if b := r.loop.inFlightReads; b != nil {
		b.requests = expireReads(b.requests, now)
	}
}

func expireReads(list []*readRequest, now time.Duration) []*readRequest {
	kept := list[:0]
	for _, q := range list {
		if now >= q.deadline {
			q.done <- readOutcome{err: errReadFailed(errQuorumTimeout)}
		} else {
			kept = append(kept, q)
		}
	}
	return kept
}

// processReady handles the work of the raft node until there is none left.
func (r *Replica) processReady() {
	if !r.participating.Load() {
		return
	}
	r.loop.node.Tick(r.opts.Clock())
	r.sendReads()
	for r.loop.node.HasReady() && r.loop.failure == nil {
		rd := r.loop.node.Ready()
		r.handleReady(rd)
		if r.loop.failure != nil {
			break
		}
		r.loop.node.Advance(rd)
		r.sendReads()
	}
	r.publishStatus()
	r.maybeSnapshot()
}

// handleReady makes one Ready durable, sends its messages and applies its entries, in this order; append messages are
// sent first, see sendAppendsBeforeSync.
func (r *Replica) handleReady(rd raft.Ready) {
	rd.Messages = r.sendAppendsBeforeSync(rd.Messages)
	if rd.NeedsSync() {
		began := r.opts.Clock()
		if err := r.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			r.fail(err)
			return
		}
		r.recordSlowSync(r.opts.Clock()-began, fmt.Sprintf("%d entries, snapshot %t", len(rd.Entries), rd.Snapshot != nil))
	}
	// A leader that releases its lease in this Ready must stop acting as leader before other replicas learn of it.
	r.publishLease()
	r.send(rd.Messages)
	if rd.Snapshot != nil {
		r.installSnapshot(rd.Snapshot)
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	r.confirmReads(rd.ReadStates)
	r.recordEvents(rd.Events)
}

// sendAppendsBeforeSync sends the append messages, which include heartbeats, before the leader has synced their entries
// to its own disk, and returns the other messages. The leader counts its own copy only after the sync. A slow disk of
// the leader therefore delays neither heartbeats nor the followers (Ongaro 2014, section 10.2.1).
func (r *Replica) sendAppendsBeforeSync(messages []raft.Message) []raft.Message {
	rest := messages[:0:0]
	for _, m := range messages {
		if m.Type != raft.MsgAppend {
			rest = append(rest, m)
			continue
		}
		r.send([]raft.Message{m})
	}
	return rest
}

// fail stops the replica. After a failed write it is unknown what is on the disk, so the write is not retried.
func (r *Replica) fail(err error) {
	r.loop.failure = err
	r.leaseUntil.Store(0)
	r.opts.Fatal(err)
}

func (r *Replica) send(messages []raft.Message) {
	for _, m := range messages {
		if err := r.encodeAndSend(m); err != nil {
			r.fail(err)
			return
		}
	}
}

func (r *Replica) encodeAndSend(m raft.Message) error {
	frames, err := r.loop.encoder.encode(m)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this fault", "cannot encode a %s message", m.Type)
	}
	for _, f := range frames {
		r.opts.Sender.Send(m.To, f)
	}
	return nil
}

func (r *Replica) installSnapshot(s *raft.Snapshot) {
	if err := r.restoreStateMachine(s); err != nil {
		r.fail(err)
		return
	}
	r.loop.applied = s.Index
	r.loop.snapshotIndex = s.Index
	for index, p := range r.loop.pendingProposals {
		if index <= s.Index {
			delete(r.loop.pendingProposals, index)
			p.done <- outcome{err: errOutcomeUnknown(errReplacedBySnapshot)}
		}
	}
}

func (r *Replica) applyEntry(e raft.Entry) {
	var result []byte
	if len(e.Data) > 0 {
		result = r.opts.StateMachine.Apply(e.Index, e.Data)
		r.loop.bytesSinceSnapshot += len(e.Data)
	}
	r.loop.applied = e.Index
	p := r.loop.pendingProposals[e.Index]
	if p == nil {
		return
	}
	delete(r.loop.pendingProposals, e.Index)
	if p.term != e.Term {
		// The entry committed at this index has another term, so the proposal's own entry can never be committed.
		p.done <- outcome{err: errNotProposed(errOverwritten)}
		return
	}
	p.done <- outcome{result: result}
}

// sendReads asks the leader to confirm the queued reads, one batch at a time, and repeats the request while unanswered.
func (r *Replica) sendReads() {
	now := r.opts.Clock()
	if b := r.loop.inFlightReads; b != nil {
		if len(b.requests) == 0 {
			r.loop.inFlightReads = nil
		} else if now >= b.sentAt+r.opts.HeartbeatInterval {
			b.sentAt = now
			r.loop.node.ReadIndex(b.context)
		}
	}
	if r.loop.inFlightReads != nil || len(r.loop.queuedReads) == 0 {
		return
	}
	r.loop.readCount++
	context := binary.BigEndian.AppendUint64(nil, r.loop.readPrefix)
	context = binary.BigEndian.AppendUint64(context, r.loop.readCount)
	b := &readBatch{context: context, sentAt: now, requests: r.loop.queuedReads}
	r.loop.inFlightReads, r.loop.queuedReads = b, nil
	r.loop.node.ReadIndex(b.context)
}

// confirmReads answers the reads that the leader has confirmed and whose index is applied.
func (r *Replica) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		b := r.loop.inFlightReads
		if b == nil || string(b.context) != string(s.Context) {
			continue
		}
		r.loop.inFlightReads = nil
		r.loop.confirmedReads = append(r.loop.confirmedReads, confirmedRead{index: s.Index, requests: b.requests})
	}
	waiting := r.loop.confirmedReads[:0]
	for _, c := range r.loop.confirmedReads {
		if c.index > r.loop.applied {
			waiting = append(waiting, c)
			continue
		}
		for _, q := range c.requests {
			q.done <- readOutcome{index: c.index}
		}
	}
	r.loop.confirmedReads = waiting
}

func (r *Replica) recordEvents(list []raft.Event) {
	for _, e := range list {
		name := ""
		if m, ok := r.loop.node.Status().Configuration.Member(e.RefusedID); ok {
			name = m.Name
		}
		r.recordEvent(events.ReplicaRefused, name, e.Detail)
	}
}

// publishStatus makes the status and the lease visible to other goroutines and records changes of the leader.
func (r *Replica) publishStatus() {
	r.publishLease()
	s := r.buildStatus()
	r.status.Store(s)
	for _, m := range s.Members {
		r.addresses.learnConfigured(m.Member)
	}
	role := r.loop.node.Status().Role
	if r.loop.lastRole != raft.Leader && role == raft.Leader {
		r.loop.leadingSince = r.opts.Clock()
	}
	if r.loop.lastRole == raft.Leader && role != raft.Leader {
		r.recordEvent(events.LeaderLost, r.self.Name, "this replica is no longer the leader")
	}
	if s.LeaderID != r.loop.lastLeaderID && s.LeaderID != 0 {
		r.recordEvent(events.LeaderElected, s.LeaderName, "")
	}
	r.loop.lastRole, r.loop.lastLeaderID = role, s.LeaderID
}

func (r *Replica) publishLease() {
	r.leaseUntil.Store(int64(r.loop.node.LeaseUntil()))
}
