// Package replica runs one control replica: it connects a raft node to durable storage and the network, and applies
// committed commands to a state machine.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
	"filbertledge/internal/storage"
)

// StateMachine is the replicated state machine. The replica calls its methods from one goroutine.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic.
	Apply(index uint64, data []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Sender sends one-way messages. It must not block, and may drop, delay, duplicate and reorder messages. The address of
// the receiver is Replica.AddressOf(to).
type Sender interface {
	Send(to uint64, data []byte)
}

// Phases of a replica. Run can only be called in phaseOpen.
const (
	phaseOpen int32 = iota
	phaseRunning
	phaseClosed
)

// Replica is one replica of the group. Its methods are safe for concurrent use.
type Replica struct {
	opts    Options
	peersMu sync.Mutex // guards opts.Peers
	store   *storage.Store
	self    raft.Member

	inbox                 chan []byte
	proposals             chan *proposal
	reads                 chan *readRequest
	calls                 chan func()
	stopRequested         chan struct{}
	stopped               chan struct{}
	stopOnce              sync.Once
	phase                 atomic.Int32
	fetchingSnapshotFiles atomic.Bool // PrepareSnapshot is running for a received snapshot

	participating atomic.Bool  // the raft node handles messages and requests
	leaseUntil    atomic.Int64 // end of the leader lease on Options.Clock, in nanoseconds
	status        atomic.Pointer[Status]
	standby       atomic.Pointer[standbyState] // set while the group does not need this replica
	addresses     addressBook
	bootstrap     bootstrapState

	loop   loopState
	runCtx context.Context // context of Run; ends the goroutines that Run started
}

// Open opens or creates the data folder and restores the state machine. The replica takes part in the group only after
// Run is called. Errors are of the kinds StorageFailed, StorageCorrupt and ConfigInvalid.
func Open(o Options) (*Replica, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	store, err := storage.Open(storage.Options{Folder: o.Folder, Commit: o.CommitTx, OnDiskFull: o.recordDiskFull})
	if err != nil {
		return nil, err
	}
	r := newReplica(o, store)
	if err := r.startNode(store.TakeState()); err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

func newReplica(o Options, store *storage.Store) *Replica {
	self := o.Self
	self.ID = store.Instance()
	r := &Replica{
		opts:          o,
		store:         store,
		self:          self,
		inbox:         make(chan []byte, inboxCapacity),
		proposals:     make(chan *proposal, requestQueueCapacity),
		reads:         make(chan *readRequest, requestQueueCapacity),
		calls:         make(chan func()),
		stopRequested: make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	r.addresses.learn(self.ID, self.Address)
	r.status.Store(&Status{})
	return r
}

// startNode restores the state machine and creates the raft node from durable state.
func (r *Replica) startNode(state raft.DurableState) error {
	if err := r.restoreStateMachine(&state.Snapshot); err != nil {
		return err
	}
	r.loop = newLoopState(state.Snapshot.Index)
	r.loop.node = raft.New(raft.Options{
		ID:                r.self.ID,
		Seed:              r.opts.Seed,
		Now:               r.opts.Clock(),
		ElectionTimeout:   r.opts.ElectionTimeout,
		HeartbeatInterval: r.opts.HeartbeatInterval,
		LeaderLease:       r.opts.LeaderLease,
	}, state)
	r.participating.Store(state.Initialized())
	r.publishStatus()
	return nil
}

// restoreStateMachine loads a snapshot into the state machine. The initial snapshot of a group contains no data.
func (r *Replica) restoreStateMachine(s *raft.Snapshot) error {
	if s.Index <= initialSnapshotIndex {
		return nil
	}
	if err := r.opts.StateMachine.Restore(s.Data); err != nil {
		return errs.Wrap(err, errs.StorageCorrupt, "replace the replica", "cannot restore the snapshot at index %d from %s", s.Index, r.store.Path())
	}
	return nil
}

// ID returns the instance number of this replica.
func (r *Replica) ID() uint64 { return r.self.ID }

// AddressOf returns the address of the replica with the given ID, or an empty string if it is unknown.
func (r *Replica) AddressOf(id uint64) string { return r.addresses.get(id) }

// Receive accepts one message from another replica's Sender. It never blocks: if the inbox is full, it drops the
// message.
func (r *Replica) Receive(data []byte) {
	select {
	case r.inbox <- data:
	default:
	}
}

// HoldsLease reports whether this replica is the leader and may act as leader now. No two replicas hold the lease at
// the same time as long as the rates of their clocks differ by at most 1%.
func (r *Replica) HoldsLease() bool {
	return int64(r.opts.Clock()) < r.leaseUntil.Load()
}

// LeaseLeft returns how long this replica may still act as leader if the lease is not renewed; 0 if it does not hold it.
func (r *Replica) LeaseLeft() time.Duration {
	return max(time.Duration(r.leaseUntil.Load())-r.opts.Clock(), 0)
}

// Close stops the replica and closes its files. A leader first transfers its leadership.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stopRequested) })
	if r.phase.CompareAndSwap(phaseOpen, phaseClosed) {
		close(r.stopped)
		return r.store.Close()
	}
	<-r.stopped
	return nil
}

// Propose replicates the command data and returns the result of the state machine. Errors are of the kinds NotLeader
// (not proposed; see LeaderFromError), Unavailable (certainly not proposed), OutcomeUnknown (the command may still be
// applied) and InvalidArgument.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, errs.New(errs.InvalidArgument, "propose a command", "the proposal is empty")
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, errNotProposed(ctx.Err())
	case <-r.stopped:
		return nil, errNotProposed(errStopped)
	}
	return r.await(ctx, p)
}

func (r *Replica) await(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, p.abandon(ctx.Err())
	case <-r.stopped:
		select {
		case o := <-p.done:
			return o.result, o.err
		default:
			return nil, p.abandon(errStopped)
		}
	}
}

// ReadIndex waits until the local state machine has applied all entries that were committed when ReadIndex was called,
// and returns an index up to which entries are applied. It works on every replica that takes part in the group and can
// reach the leader. Errors are of the kind Unavailable.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	q := &readRequest{done: make(chan readOutcome, 1)}
	select {
	case r.reads <- q:
	case <-ctx.Done():
		return 0, errReadFailed(ctx.Err())
	case <-r.stopped:
		return 0, errReadFailed(errStopped)
	}
	select {
	case o := <-q.done:
		return o.index, o.err
	case <-ctx.Done():
		return 0, errReadFailed(ctx.Err())
	case <-r.stopped:
		return 0, errReadFailed(errStopped)
	}
}

// runInLoop runs f in the replica's goroutine, which owns the raft node, and waits until f has returned.
func (r *Replica) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return errNotProposed(ctx.Err())
	case <-r.stopped:
		return errNotProposed(errStopped)
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return errNotProposed(errStopped)
	}
}

func (r *Replica) recordEvent(name events.Name, peer, detail string) {
	if r.opts.Events != nil {
		r.opts.Events.Record(newEvent(name, peer, detail))
	}
}

// addressBook maps the IDs of replicas to addresses. It learns the addresses of new members from their messages.
type addressBook struct {
	mu   sync.RWMutex
	byID map[uint64]string
}

func (a *addressBook) learn(id uint64, address string) {
	if a.get(id) == address || address == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = map[uint64]string{}
	}
	a.byID[id] = address
}

// learnConfigured stores the address in the configuration unless one is known already: an address learned from a
// message is newer.
func (a *addressBook) learnConfigured(m raft.Member) {
	if a.get(m.ID) == "" {
		a.learn(m.ID, m.Address)
	}
}

func (a *addressBook) get(id uint64) string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.byID[id]
}

// monotonicClock returns a clock that starts at zero and ignores changes of the wall clock.
func monotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
