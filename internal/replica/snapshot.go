package replica

import (
	"context"
	"fmt"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

// keptEntriesDivisor determines that half of the entries of a snapshot interval stay in the log, so that a follower
// that lags only a little needs no snapshot.
const keptEntriesDivisor = 2

// Capturer is a StateMachine that can copy its state quickly and encode the copy in another goroutine: encoding a
// snapshot of 14 MB in the replica's goroutine took longer than the leader lease.
type Capturer interface {
	// Capture copies the state and returns a function that encodes the copy.
	Capture() func() ([]byte, error)
}

// CompactionListener is a StateMachine that can remove files to which the newest snapshot no longer refers.
type CompactionListener interface {
	// Compacted is called after a new snapshot is durable.
	Compacted(snapshot []byte) error
}

// receiveSnapshot fetches the files that a snapshot refers to and then passes the snapshot to the raft node. Other
// messages of the leader are handled in the meantime, so that the replica does not appear unresponsive.
func (r *Replica) receiveSnapshot(ctx context.Context, f frame) {
	if !r.fetchingSnapshotFiles.CompareAndSwap(false, true) {
		return // the leader sends the snapshot again
	}
	go func() {
		defer r.fetchingSnapshotFiles.Store(false)
		if err := r.opts.PrepareSnapshot(ctx, f.Message.Snapshot.Data, f.Address); err != nil {
			r.recordEvent(events.SnapshotFailed, r.self.Name, "from "+f.Address+": "+err.Error())
			return
		}
		select {
		case r.calls <- func() { r.loop.node.Step(*f.Message, r.opts.Clock()) }:
		case <-ctx.Done():
		case <-r.stopped:
		}
	}()
}

// maybeSnapshot takes a snapshot and compacts the log if enough entries, or bytes of commands, have been applied.
func (r *Replica) maybeSnapshot() {
	sizeReached := r.opts.SnapshotBytes > 0 && r.loop.bytesSinceSnapshot >= r.staggeredSnapshotBytes() && r.loop.applied > r.loop.snapshotIndex
	if r.loop.failure != nil || r.loop.encodingSnapshot || !sizeReached && r.loop.applied < r.loop.snapshotIndex+r.opts.SnapshotEntries {
		return
	}
	index := r.loop.applied
	r.loop.bytesSinceSnapshot = 0
	capturer, ok := r.opts.StateMachine.(Capturer)
	if !ok {
		data, err := r.opts.StateMachine.Snapshot()
		r.storeSnapshot(index, data, err)
		return
	}
	r.loop.encodingSnapshot = true
	encode := capturer.Capture()
	go func() {
		data, err := encode()
		finish := func() {
			r.loop.encodingSnapshot = false
			r.storeSnapshot(index, data, err)
		}
		select {
		case r.calls <- finish:
		case <-r.stopped:
		}
	}()
}

// staggeredSnapshotBytes varies SnapshotBytes from replica to replica, so that they do not all write a snapshot at the
// same entry: a majority with slow disks would answer no heartbeat during that time.
func (r *Replica) staggeredSnapshotBytes() int {
	const staggerSteps = 8
	return r.opts.SnapshotBytes + r.opts.SnapshotBytes*int(r.self.ID%staggerSteps)/(2*staggerSteps)
}

// storeSnapshot stores an encoded snapshot and compacts the log, unless the leader has sent a newer snapshot.
func (r *Replica) storeSnapshot(index uint64, data []byte, err error) {
	if r.loop.failure != nil || index <= r.loop.snapshotIndex {
		return
	}
	if err != nil {
		r.fail(errs.Wrap(err, errs.Internal, "report this fault", "the state machine cannot write a snapshot"))
		return
	}
	// Also compact the log if the size of the commands, not the number of entries, caused the snapshot.
	kept := min(r.opts.SnapshotEntries, index-r.loop.snapshotIndex) / keptEntriesDivisor
	s, compacted := r.loop.node.CreateSnapshot(index, index-min(index, kept), data)
	// The last compacted entry stays on disk, because its term is needed after a restart.
	began := r.opts.Clock()
	if err := r.store.SaveSnapshot(s, max(compacted, 1)-1); err != nil {
		r.fail(err)
		return
	}
	r.recordSlowSync(r.opts.Clock()-began, fmt.Sprintf("snapshot of %d bytes", len(data)))
	r.loop.snapshotIndex = s.Index
	if c, ok := r.opts.StateMachine.(CompactionListener); ok {
		if err := c.Compacted(data); err != nil {
			r.fail(err)
			return
		}
	}
	r.recordEvent(events.SnapshotTaken, r.self.Name, fmt.Sprintf("index %d, %d bytes", s.Index, len(data)))
}

// stop ends the lease, fails all pending proposals and returns the error that stopped the replica, if any.
func (r *Replica) stop() error {
	r.leaseUntil.Store(0)
	for _, p := range r.loop.pendingProposals {
		p.done <- outcome{err: errOutcomeUnknown(errStopped)}
	}
	r.loop.pendingProposals = nil
	return r.loop.failure
}

// transferLeadership asks the most up-to-date voter to take over, so that proposals do not wait for an election
// timeout.
func (r *Replica) transferLeadership() {
	s := r.loop.node.Status()
	target := r.successor(s)
	if s.Role != raft.Leader || target == 0 || r.loop.node.TransferLeadership(target) != nil {
		return
	}
	deadline := time.NewTimer(leadershipTransferTimeout)
	defer deadline.Stop()
	for r.loop.failure == nil && r.loop.node.Status().Role == raft.Leader {
		r.processReady()
		select {
		case data := <-r.inbox:
			r.stepMessage(data)
		case <-deadline.C:
			return
		}
	}
	// Send this replica's vote for the successor before the replica stops.
	r.processReady()
}

// successor returns the ID of the other voter with the highest match index, or 0 if there is none.
func (r *Replica) successor(s raft.Status) uint64 {
	best, matchIndex := uint64(0), uint64(0)
	for _, v := range s.Configuration.Voters {
		if m := r.loop.node.MatchIndex(v.ID); v.ID != s.ID && m > matchIndex {
			best, matchIndex = v.ID, m
		}
	}
	return best
}
