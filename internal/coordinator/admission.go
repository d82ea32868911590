package coordinator

import (
	"context"
	"slices"
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
	// batch, and from which its bodies are stored in parts: a message of that size takes memory several times over.
	LargeBatchBytes = 1 << 20
	// openBatchesFraction is the share of the process's memory limit that the requests of open batches may take, those that
	// are being submitted included. Each byte is held by the state, by the log until its next compaction, and, while it is
	// replicated, by the messages and their encodings.
	openBatchesFraction = 0.1
	// storedBodiesFraction is the share of the disk that the stored bodies of open batches may take. The log holds the newest
	// ones a second time, and segments that are not needed any more are deleted with the next snapshot.
	storedBodiesFraction = 0.15
	// reservationTime is how long room is kept for a batch whose submission has not arrived.
	reservationTime = 2 * time.Second
	// wholeBatchTimeout is how long the leader takes to store the bodies of a batch that arrived whole.
	wholeBatchTimeout = 5 * time.Second
)

// storedBodiesLimit returns the limit of stored bodies in bytes. Where the size of the disk is unknown, it is that of the
// requests in memory.
func storedBodiesLimit(o Options) int64 {
	if o.DiskLimit > 0 {
		return int64(storedBodiesFraction * float64(o.DiskLimit))
	}
	return int64(openBatchesFraction * float64(o.MemoryLimit))
}

// ReserveBatchRequest asks for room for a batch that is about to be submitted.
type ReserveBatchRequest struct {
	Batch string `cbor:"1,keyasint"`
	Bytes int64  `cbor:"2,keyasint"` // as rollout.Batch.RequestBytes
	// BodyBytes is the part of Bytes that can be stored apart from the batch.
	BodyBytes int64 `cbor:"3,keyasint,omitempty"`
}

// ReserveBatchReply tells how the batch must be submitted. Earlier builds send neither field.
type ReserveBatchReply struct {
	// StoresBodies is true if the bodies must be stored before the batch is submitted; see StoreBodiesRequest.
	StoresBodies bool `cbor:"1,keyasint,omitempty"`
	// Known is true if the batch was accepted before.
	Known bool `cbor:"2,keyasint,omitempty"`
}

// reservations bounds the requests of open batches. The zero value has no limit.
type reservations struct {
	limit int64 // bytes; 0 means no limit

	mu      sync.Mutex
	byBatch map[string]reservation
	// refused are the batches that wait for room, the first refused one first. Only a limit that is inOrder has them.
	inOrder bool
	refused []refusal
}

// refusal is a batch that found no room.
type refusal struct {
	batch string
	until time.Duration // boot time at which it counts as given up unless it is submitted again
}

// refusalLifetime is how long a refused batch keeps its place. A trainer submits again earlier.
const refusalLifetime = 5 * time.Second

type reservation struct {
	bytes int64
	until time.Duration // boot time; 0 while the submission is in progress
}

// reserve keeps room for a batch beside the open bytes and reports whether there is any. A batch that has room keeps it. A
// batch larger than the limit gets room if nothing else needs any. If the limit is inOrder, a batch gets none before those
// that were refused earlier, so that smaller ones do not keep out a large one for ever.
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
	if r.mustWait(batch, now) || used > 0 && used+bytes > r.limit {
		r.recordRefusal(batch, now)
		return false
	}
	r.refused = slices.DeleteFunc(r.refused, func(f refusal) bool { return f.batch == batch })
	if r.byBatch == nil {
		r.byBatch = map[string]reservation{}
	}
	r.byBatch[batch] = reservation{bytes, until}
	return true
}

// mustWait reports whether a batch that was refused earlier still waits for room.
func (r *reservations) mustWait(batch string, now time.Duration) bool {
	if _, has := r.byBatch[batch]; has {
		return false
	}
	r.refused = slices.DeleteFunc(r.refused, func(f refusal) bool { return f.until < now })
	return len(r.refused) > 0 && r.refused[0].batch != batch
}

func (r *reservations) recordRefusal(batch string, now time.Duration) {
	if !r.inOrder {
		return
	}
	until := now + refusalLifetime
	if i := slices.IndexFunc(r.refused, func(f refusal) bool { return f.batch == batch }); i >= 0 {
		r.refused[i].until = until
		return
	}
	r.refused = append(r.refused, refusal{batch, until})
}

// release gives back the room of a batch whose submission has ended.
func (r *reservations) release(batch string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byBatch, batch)
}

// reserveBatch answers ReserveBatchRequest: it keeps room for a batch until it is submitted.
func (s *session) reserveBatch(_ context.Context, q ReserveBatchRequest) (ReserveBatchReply, error) {
	now := boottime.Now()
	size := batchSize{inMemory: q.Bytes}
	if q.BodyBytes > 0 && s.storesBodies() {
		size = batchSize{inMemory: q.Bytes - q.BodyBytes, stored: q.BodyBytes}
	}
	known, err := s.reserveRoom(q.Batch, size, now+reservationTime, now)
	return ReserveBatchReply{StoresBodies: size.stored > 0, Known: known}, err
}

// batchSize is the size of the requests of a batch, in bytes.
type batchSize struct{ inMemory, stored int64 }

// reserveRoom returns an error of the kind errs.Overloaded if there is no room for a batch. A batch that the state holds needs
// none.
func (s *session) reserveRoom(batch string, size batchSize, until, now time.Duration) (known bool, err error) {
	open, known := s.node.state.OpenRequestBytes(batch)
	if known {
		return true, nil
	}
	if !s.reservations.reserve(batch, size.inMemory, open, until, now) {
		return false, s.noRoomError(batch, size.inMemory, open, s.reservations.limit)
	}
	if size.stored == 0 {
		return false, nil
	}
	if open, _ = s.node.state.StoredBodyBytes(batch); !s.storedReservations.reserve(batch, size.stored, open, until, now) {
		s.reservations.release(batch)
		return false, s.noRoomError(batch, size.stored, open, s.storedReservations.limit)
	}
	return false, nil
}

func (s *session) noRoomError(batch string, bytes, open, limit int64) error {
	err := errs.New(errs.Overloaded, "submit the batch again once others have ended", "batch %s of %d bytes does not fit beside open batches of %d bytes and those that wait; %d are allowed", batch, bytes, open, limit)
	s.record(events.Event{Name: events.RequestRefused, Request: batch, Detail: err.Error()})
	return err
}

// submitWithRoom proposes a batch if there is room for it. The error is of the kind errs.Unavailable if its bodies were
// dropped before the batch arrived.
func (s *session) submitWithRoom(ctx context.Context, b *rollout.Batch) (rollout.Outcome, error) {
	if b.Upload == "" && b.RequestBytes() >= LargeBatchBytes && s.storesBodies() {
		// An entry VM of an earlier build sent the whole batch. Its call may end before all parts are stored; it then finds the
		// batch accepted when the trainer submits it again.
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(context.WithoutCancel(ctx), wholeBatchTimeout)
		defer stop()
		stripped, err := s.storeBodiesOf(ctx, b)
		if err != nil {
			return rollout.Outcome{}, err
		}
		b = stripped
	}
	if _, err := s.reserveRoom(b.ID, batchSize{b.RequestBytes(), b.StoredBytes()}, 0, boottime.Now()); err != nil {
		return rollout.Outcome{}, err
	}
	defer s.reservations.release(b.ID)
	defer s.storedReservations.release(b.ID)
	o, err := s.node.propose(ctx, rollout.Command{Accept: b, Requires: requiredVersion(b)})
	if err == nil && !o.Found {
		err = errs.New(errs.Unavailable, "submit the batch again", "the stored bodies of batch %s are not complete", b.ID)
	}
	return o, err
}
