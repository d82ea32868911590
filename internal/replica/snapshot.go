package replica

import (
	"context"
	"fmt"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/raft"
)

// keptEntriesDivisor leaves half of the snapshot interval in the log, so that a follower that is a little
// behind needs no snapshot.
const keptEntriesDivisor = 2

// Capturer is a StateMachine that can copy its state quickly and encode the copy in another goroutine. Encoding
// 14 MB in the replica's goroutine took longer than the leader lease.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// CompactionListener is a StateMachine that removes files which the newest snapshot no longer refers to.
type CompactionListener interface {
	Compacted(snapshot []byte) error
}

// receiveSnapshot fetches the files that a snapshot refers to before the core sees it. Meanwhile the leader's other
// messages are handled, so that the replica does not count as silent.
func (r *Replica) receiveSnapshot(ctx context.Context, f frame) {
	if !r.fetching.CompareAndSwap(false, true) {
		return // the leader sends the snapshot again
	}
	go func() {
		defer r.fetching.Store(false)
		if err := r.opts.PrepareSnapshot(ctx, f.Message.Snapshot.Data, f.Address); err != nil {
			r.record(events.SnapshotFailed, r.self.Name, "from "+f.Address+": "+err.Error())
			return
		}
		select {
		case r.calls <- func() { r.loop.node.Step(*f.Message, r.opts.Clock()) }:
		case <-ctx.Done():
		case <-r.stopped:
		}
	}()
}

// maybeSnapshot takes a snapshot and compacts the log after enough applied entries.
func (r *Replica) maybeSnapshot() {
	full := r.opts.SnapshotBytes > 0 && r.loop.logBytes >= r.snapshotBytes() && r.loop.applied > r.loop.snapshot
	if r.loop.failed != nil || r.loop.encoding || !full && r.loop.applied < r.loop.snapshot+r.opts.SnapshotEntries {
		return
	}
	index := r.loop.applied
	r.loop.logBytes = 0
	capturer, ok := r.opts.StateMachine.(Capturer)
	if !ok {
		data, err := r.opts.StateMachine.Snapshot()
		r.finishSnapshot(index, data, err)
		return
	}
	r.loop.encoding = true
	encode := capturer.Capture()
	go func() {
		data, err := encode()
		finish := func() {
			r.loop.encoding = false
			r.finishSnapshot(index, data, err)
		}
		select {
		case r.calls <- finish:
		case <-r.stopped:
		}
	}()
}

// snapshotBytes varies the limit from replica to replica, so that not all of them write a snapshot at the same entry:
// a majority whose disks are slow would answer no heartbeat meanwhile.
func (r *Replica) snapshotBytes() int {
	const steps = 8
	return r.opts.SnapshotBytes + r.opts.SnapshotBytes*int(r.self.ID%steps)/(2*steps)
}

// finishSnapshot stores an encoded snapshot, unless the leader has sent a newer one meanwhile.
func (r *Replica) finishSnapshot(index uint64, data []byte, err error) {
	if r.loop.failed != nil || index <= r.loop.snapshot {
		return
	}
	if err != nil {
		r.fail(errs.Wrap(err, errs.Internal, "report this fault", "the state machine cannot write a snapshot"))
		return
	}
	// The log also gets shorter when the size and not the number of entries asked for the snapshot.
	kept := min(r.opts.SnapshotEntries, index-r.loop.snapshot) / keptEntriesDivisor
	s, compacted := r.loop.node.CreateSnapshot(index, index-min(index, kept), data)
	// The last dropped entry stays on the disk, because its term is needed after a restart.
	began := r.opts.Clock()
	if err := r.store.SaveSnapshot(s, max(compacted, 1)-1); err != nil {
		r.fail(err)
		return
	}
	r.noteSync(r.opts.Clock()-began, fmt.Sprintf("snapshot of %d bytes", len(data)))
	r.loop.snapshot = s.Index
	if c, ok := r.opts.StateMachine.(CompactionListener); ok {
		if err := c.Compacted(data); err != nil {
			r.fail(err)
			return
		}
	}
	r.record(events.SnapshotTaken, r.self.Name, fmt.Sprintf("index %d, %d bytes", s.Index, len(data)))
}

// stop ends everything that still waits.
func (r *Replica) stop() error {
	r.leaseUntil.Store(0)
	for _, p := range r.loop.waiters {
		p.done <- outcome{err: errUnknown(errStopped)}
	}
	r.loop.waiters = nil
	return r.loop.failed
}

// handOver asks the most current voter to take over, so that edits do not wait for an election timeout.
func (r *Replica) handOver() {
	s := r.loop.node.Status()
	target := r.successor(s)
	if s.Role != raft.Leader || target == 0 || r.loop.node.TransferLeadership(target) != nil {
		return
	}
	deadline := time.NewTimer(handOverTime)
	defer deadline.Stop()
	for r.loop.failed == nil && r.loop.node.Status().Role == raft.Leader {
		r.process()
		select {
		case data := <-r.inbox:
			r.step(data)
		case <-deadline.C:
			return
		}
	}
	// The vote for the successor is sent before the replica stops.
	r.process()
}

func (r *Replica) successor(s raft.Status) uint64 {
	best, match := uint64(0), uint64(0)
	for _, v := range s.Configuration.Voters {
		if m := r.loop.node.MatchIndex(v.ID); v.ID != s.ID && m > match {
			best, match = v.ID, m
		}
	}
	return best
}
