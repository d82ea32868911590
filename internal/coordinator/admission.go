package coordinator

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/rollout"
)

// MethodReserveBatch does not exist in older builds.
const MethodReserveBatch = "batch.reserve"

const (
	// LargeBatchBytes is the size of a batch's requests from which an entry VM asks the leader for room before it sends the
	// batch: a message of that size takes memory several times over.
	LargeBatchBytes = 1 << 20
	// openBatchesFraction is the share of the process's memory limit that the requests of open batches may take, those that
	// are being submitted included. Each byte is held by the state, by the log until its next compaction, and, while it is
	// replicated, by the messages and their encodings.
	openBatchesFraction = 0.1
	// reservationTime is how long room is kept for a batch whose submission has not arrived.
	reservationTime = 2 * time.Second
)

// ReserveBatchRequest asks for room for a batch that is about to be submitted.
type ReserveBatchRequest struct {
	Batch string `cbor:"1,keyasint"`
	Bytes int64  `cbor:"2,keyasint"` // as rollout.Batch.RequestBytes
}

// reservations bounds the requests of open batches. The zero value has no limit.
type reservations struct {
	limit int64 // bytes; 0 means no limit

	mu      sync.Mutex
	byBatch map[string]reservation
}

type reservation struct {
	bytes int64
	until time.Duration // boot time; 0 while the submission is in progress
}

// reserve keeps room for a batch beside the open bytes and reports whether there is any. A batch that has room keeps it. A
// batch larger than the limit gets room if nothing else needs any.
func (r *reservations) reserve(batch string, bytes, open int64, until, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == 0 {
		return true
	}
	used := open
	for id, other := range r.byBatch {
		switch {
		case other.until != 0 && other.until < now:
			delete(r.byBatch, id)
		case id != batch:
			used += other.bytes
		}
	}
	if used > 0 && used+bytes > r.limit {
		return false
	}
	if r.byBatch == nil {
		r.byBatch = map[string]reservation{}
	}
	r.byBatch[batch] = reservation{bytes, until}
	return true
}

// release gives back the room of a batch whose submission has ended.
func (r *reservations) release(batch string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byBatch, batch)
}

// reserveBatch answers ReserveBatchRequest: it keeps room for a batch until it is submitted.
func (s *session) reserveBatch(_ context.Context, q ReserveBatchRequest) (Empty, error) {
	now := boottime.Now()
	return Empty{}, s.reserveRoom(q.Batch, q.Bytes, now+reservationTime, now)
}

// reserveRoom returns an error of the kind errs.Overloaded if there is no room for a batch. A batch that the state holds needs
// none.
func (s *session) reserveRoom(batch string, bytes int64, until, now time.Duration) error {
	open, known := s.node.state.OpenRequestBytes(batch)
	if known || s.reservations.reserve(batch, bytes, open, until, now) {
		return nil
	}
	err := errs.New(errs.Overloaded, "submit the batch again once others have ended", "batch %s of %d bytes does not fit beside open batches of %d bytes; %d are allowed", batch, bytes, open, s.reservations.limit)
	s.record(events.Event{Name: events.RequestRefused, Request: batch, Detail: err.Error()})
	return err
}

// submitWithRoom proposes a batch if there is room for it.
func (s *session) submitWithRoom(ctx context.Context, b *rollout.Batch) (rollout.Outcome, error) {
	if err := s.reserveRoom(b.ID, b.RequestBytes(), 0, boottime.Now()); err != nil {
		return rollout.Outcome{}, err
	}
	defer s.reservations.release(b.ID)
	return s.node.propose(ctx, rollout.Command{Accept: b, Requires: requiredVersion(b)})
}
