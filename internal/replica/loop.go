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

// maxBatch bounds the events that are handled between two syncs.
const maxBatch = 512

// handOverTime bounds how long a stopping leader waits for its successor.
const handOverTime = 500 * time.Millisecond

type outcome struct {
	result []byte
	err    error
}

// States of a proposal. A caller that gives up on a queued proposal withdraws it, so it is certainly not proposed.
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
	return errUnknown(cause)
}

type readOutcome struct {
	index uint64
	err   error
}

type readRequest struct {
	done     chan readOutcome
	deadline time.Duration
}

// readBatch is the group of reads that share one confirmation by the leader.
type readBatch struct {
	context  []byte
	sentAt   time.Duration
	requests []*readRequest
}

// confirmedRead waits until the state machine has applied index.
type confirmedRead struct {
	index    uint64
	requests []*readRequest
}

// loopState belongs to the replica's goroutine.
type loopState struct {
	node      *raft.Node
	applied   uint64
	snapshot  uint64 // index of the newest snapshot
	logBytes  int    // of the commands applied since the newest snapshot
	managedAt time.Duration
	// leadingSince is when this replica last became the leader.
	leadingSince time.Duration
	encoding     bool // a snapshot is being encoded
	waiters      map[uint64]*proposal
	queued       []*readRequest
	inFlight     *readBatch
	confirmed    []confirmedRead
	// readPrefix tells the reads of this process from those of an earlier one, whose answers may still arrive.
	readPrefix uint64
	readCount  uint64
	encoder    *encoder
	decoder    decoder
	leader     uint64
	role       raft.Role
	failed     error
}

func newLoopState(applied uint64) loopState {
	return loopState{
		applied:    applied,
		snapshot:   applied,
		waiters:    map[uint64]*proposal{},
		decoder:    decoder{assemblies: map[uint64]*assembly{}},
		readPrefix: rand.Uint64(),
	}
}

// Run takes part in the group until ctx ends, Close is called or the storage fails. An empty replica joins its
// group first. Run returns the error of the storage, if any, after Options.Fatal was called with it.
func (r *Replica) Run(ctx context.Context) error {
	if !r.phase.CompareAndSwap(phaseOpen, phaseRunning) {
		return errs.New(errs.Unavailable, "open the replica again", "the replica is closed or runs already")
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
	ticker := time.NewTicker(r.opts.HeartbeatInterval / tickDivisor)
	defer ticker.Stop()
	for r.loop.failed == nil {
		select {
		case <-ctx.Done():
			r.handOver()
			return r.stop()
		case <-r.stopping:
			r.handOver()
			return r.stop()
		default:
		}
		r.wait(ctx, ticker.C)
		r.drain()
		r.process()
	}
	return r.stop()
}

// wait handles one event.
func (r *Replica) wait(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-r.stopping:
	case data := <-r.inbox:
		r.step(data)
	case p := <-r.proposals:
		r.propose(p)
	case q := <-r.reads:
		r.queueRead(q)
	case f := <-r.calls:
		f()
	case <-tick:
		r.expire()
		r.manage()
	}
}

// drain handles the events that are already there, so that they share one sync.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case data := <-r.inbox:
			r.step(data)
		case p := <-r.proposals:
			r.propose(p)
		case q := <-r.reads:
			r.queueRead(q)
		default:
			return
		}
	}
}

func (r *Replica) step(data []byte) {
	f, ok := r.loop.decoder.decode(data)
	if !ok || !r.started.Load() {
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
	if !r.started.Load() {
		p.done <- outcome{err: errNotProposed(errNotStarted)}
		return
	}
	// The clock is read here so that a process that was frozen finds out before it acts.
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
		r.loop.waiters[index] = p
	}
}

func (r *Replica) queueRead(q *readRequest) {
	if !r.started.Load() {
		q.done <- readOutcome{err: errReadFailed(errNotStarted)}
		return
	}
	q.deadline = r.opts.Clock() + r.opts.ReadTimeout
	r.loop.queued = append(r.loop.queued, q)
}

// expire ends proposals and reads that waited too long.
func (r *Replica) expire() {
	now := r.opts.Clock()
	for index, p := range r.loop.waiters {
		if now >= p.deadline {
			delete(r.loop.waiters, index)
			p.done <- outcome{err: errUnknown(errTimedOut)}
		}
	}
	r.loop.queued = expireReads(r.loop.queued, now)
	if b := r.loop.inFlight; b != nil {
		b.requests = expireReads(b.requests, now)
	}
}

func expireReads(list []*readRequest, now time.Duration) []*readRequest {
	kept := list[:0]
	for _, q := range list {
		if now >= q.deadline {
			q.done <- readOutcome{err: errReadFailed(errTimedOut)}
		} else {
			kept = append(kept, q)
		}
	}
	return kept
}

// process runs the core until it has no more work.
func (r *Replica) process() {
	if !r.started.Load() {
		return
	}
	r.loop.node.Tick(r.opts.Clock())
	r.sendReads()
	for r.loop.node.HasReady() && r.loop.failed == nil {
		rd := r.loop.node.Ready()
		r.handle(rd)
		if r.loop.failed != nil {
			break
		}
		r.loop.node.Advance(rd)
		r.sendReads()
	}
	r.publish()
	r.maybeSnapshot()
}

// handle makes one Ready durable, sends its messages and applies its entries, in this order.
func (r *Replica) handle(rd raft.Ready) {
	rd.Messages = r.sendEarly(rd.Messages)
	if rd.NeedsSync() {
		began := r.opts.Clock()
		if err := r.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			r.fail(err)
			return
		}
		r.noteSync(r.opts.Clock()-began, fmt.Sprintf("%d entries, snapshot %t", len(rd.Entries), rd.Snapshot != nil))
	}
	// A leader that gives up its lease in this Ready must have stopped acting before others learn of it.
	r.publishLease()
	r.send(rd.Messages)
	if rd.Snapshot != nil {
		r.install(rd.Snapshot)
	}
	for _, e := range rd.Committed {
		r.apply(e)
	}
	r.confirmReads(rd.ReadStates)
	r.recordEvents(rd.Events)
}

// sendEarly sends the messages of a leader to its followers before its own disk has what they carry, and returns the
// others. The leader counts its own copy only after the sync, so a slow disk delays neither heartbeats nor the
// followers (Ongaro 2014, section 10.2.1).
func (r *Replica) sendEarly(messages []raft.Message) []raft.Message {
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

// fail ends the replica: after a failed write nobody knows what is on the disk.
func (r *Replica) fail(err error) {
	r.loop.failed = err
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

func (r *Replica) install(s *raft.Snapshot) {
	if err := r.restore(s); err != nil {
		r.fail(err)
		return
	}
	r.loop.applied = s.Index
	r.loop.snapshot = s.Index
	for index, p := range r.loop.waiters {
		if index <= s.Index {
			delete(r.loop.waiters, index)
			p.done <- outcome{err: errUnknown(errSnapshot)}
		}
	}
}

func (r *Replica) apply(e raft.Entry) {
	var result []byte
	if len(e.Data) > 0 {
		result = r.opts.StateMachine.Apply(e.Index, e.Data)
		r.loop.logBytes += len(e.Data)
	}
	r.loop.applied = e.Index
	p := r.loop.waiters[e.Index]
	if p == nil {
		return
	}
	delete(r.loop.waiters, e.Index)
	if p.term != e.Term {
		// The proposal's entry was at this index with another term, so it can never be committed.
		p.done <- outcome{err: errNotProposed(errOverwritten)}
		return
	}
	p.done <- outcome{result: result}
}

// sendReads asks the leader to confirm the queued reads, one batch at a time, and repeats a lost request.
func (r *Replica) sendReads() {
	now := r.opts.Clock()
	if b := r.loop.inFlight; b != nil {
		if len(b.requests) == 0 {
			r.loop.inFlight = nil
		} else if now >= b.sentAt+r.opts.HeartbeatInterval {
			b.sentAt = now
			r.loop.node.ReadIndex(b.context)
		}
	}
	if r.loop.inFlight != nil || len(r.loop.queued) == 0 {
		return
	}
	r.loop.readCount++
	context := binary.BigEndian.AppendUint64(nil, r.loop.readPrefix)
	context = binary.BigEndian.AppendUint64(context, r.loop.readCount)
	b := &readBatch{context: context, sentAt: now, requests: r.loop.queued}
	r.loop.inFlight, r.loop.queued = b, nil
	r.loop.node.ReadIndex(b.context)
}

func (r *Replica) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		b := r.loop.inFlight
		if b == nil || string(b.context) != string(s.Context) {
			continue
		}
		r.loop.inFlight = nil
		r.loop.confirmed = append(r.loop.confirmed, confirmedRead{index: s.Index, requests: b.requests})
	}
	waiting := r.loop.confirmed[:0]
	for _, c := range r.loop.confirmed {
		if c.index > r.loop.applied {
			waiting = append(waiting, c)
			continue
		}
		for _, q := range c.requests {
			q.done <- readOutcome{index: c.index}
		}
	}
	r.loop.confirmed = waiting
}

func (r *Replica) recordEvents(list []raft.Event) {
	for _, e := range list {
		name := ""
		if m, ok := r.loop.node.Status().Configuration.Member(e.RefusedID); ok {
			name = m.Name
		}
		r.record(events.ReplicaRefused, name, e.Detail)
	}
}

// publish makes the status and the lease visible to other goroutines.
func (r *Replica) publish() {
	r.publishLease()
	s := r.buildStatus()
	r.status.Store(s)
	for _, m := range s.Members {
		r.addresses.learnConfigured(m.Member)
	}
	role := r.loop.node.Status().Role
	if r.loop.role != raft.Leader && role == raft.Leader {
		r.loop.leadingSince = r.opts.Clock()
	}
	if r.loop.role == raft.Leader && role != raft.Leader {
		r.record(events.LeaderLost, r.self.Name, "this replica no longer leads")
	}
	if s.LeaderID != r.loop.leader && s.LeaderID != 0 {
		r.record(events.LeaderElected, s.LeaderName, "")
	}
	r.loop.role, r.loop.leader = role, s.LeaderID
}

func (r *Replica) publishLease() {
	r.leaseUntil.Store(int64(r.loop.node.LeaseUntil()))
}
