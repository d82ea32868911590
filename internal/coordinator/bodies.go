package coordinator

import (
	"context"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
)

// MethodStoreBodies does not exist in older builds.
const MethodStoreBodies = "batch.store_bodies"

// bodiesStateVersion is the version of the state from which replicas store bodies apart from their batch.
const bodiesStateVersion = 2

// uploadLifetime is how long the parts of an upload are kept after the last one. The batch follows within milliseconds, or the
// submission has failed.
const uploadLifetime = 10 * time.Second

const (
	// maxLogBytes is the size of the log in memory up to which parts are taken. The log grows while a replica installs a
	// snapshot, because that replica needs the entries after it.
	maxLogBytes = 16 << 20
	// logCheckInterval is the time between two checks of the size of the log.
	logCheckInterval = 20 * time.Millisecond
)

// StoreBodiesRequest stores a part of the bodies of a large batch. The parts are sent in order, and the batch after the last
// one. A part may be sent again.
type StoreBodiesRequest struct {
	Size ReserveBatchRequest `cbor:"1,keyasint"` // of the whole batch
	Part rollout.BodyPart    `cbor:"2,keyasint"`
}

// storesBodies reports whether all replicas store bodies apart from their batch.
func (s *session) storesBodies() bool {
	return s.membersStateVersion(bodiesStateVersion) >= bodiesStateVersion
}

// storeBodies answers StoreBodiesRequest. An error of the kind errs.Overloaded means that there is no room any more, as after
// a change of the leader.
func (s *session) storeBodies(ctx context.Context, q StoreBodiesRequest) (Empty, error) {
	now := boottime.Now()
	size := batchSize{inMemory: q.Size.Bytes - q.Size.BodyBytes, stored: q.Size.BodyBytes}
	if known, err := s.reserveRoom(q.Size.Batch, size, now+reservationTime, now); known || err != nil {
		return Empty{}, err
	}
	return Empty{}, s.storePart(ctx, q.Part)
}

// storePart stores a part in the replicated state.
func (s *session) storePart(ctx context.Context, part rollout.BodyPart) error {
	for s.node.replica.Status().LogBytes > maxLogBytes {
		sleep(ctx, logCheckInterval)
		if ctx.Err() != nil {
			return errs.Wrap(ctx.Err(), errs.Unavailable, "send the part again", "the log of %s has no room until a replica has caught up", s.node.opts.Name)
		}
	}
	s.mu.Lock()
	s.uploads[part.Upload] = boottime.Now()
	s.mu.Unlock()
	o, err := s.node.propose(ctx, rollout.Command{StoreBodies: &part, Requires: bodiesStateVersion})
	if err == nil && !o.Found {
		err = errs.New(errs.Unavailable, "submit the batch again", "part at byte %d of upload %s does not follow the part before it", part.Offset, part.Upload)
	}
	return err
}

// storeBodiesOf stores the bodies of a batch and returns the batch without them.
func (s *session) storeBodiesOf(ctx context.Context, b *rollout.Batch) (*rollout.Batch, error) {
	now := boottime.Now()
	size := batchSize{inMemory: b.RequestBytes() - b.BodyBytes(), stored: b.BodyBytes()}
	if known, err := s.reserveRoom(b.ID, size, now+reservationTime, now); known || err != nil {
		return b, err
	}
	stripped, forEachPart := SplitBodies(b)
	err := forEachPart(func(part rollout.BodyPart) error { return s.storePart(ctx, part) })
	if err != nil {
		// Nothing runs without the batch itself, so the outcome is known.
		err = errs.Wrap(err, errs.Unavailable, "submit the batch again", "cannot store the bodies of batch %s", b.ID)
	}
	return stripped, err
}

// SplitBodies returns a batch without the bodies of its items, and a function that passes them on in parts, as a new upload.
func SplitBodies(b *rollout.Batch) (stripped *rollout.Batch, forEachPart func(store func(rollout.BodyPart) error) error) {
	return b.SplitBodies(b.ID+"/"+uuid.NewString(), func(item *rollout.Item) uint64 { return digestOf(b, item) })
}

// dropOldUploads removes the uploads whose batch has not followed.
func (s *session) dropOldUploads(now time.Duration) {
	known := s.node.state.Uploads()
	s.mu.Lock()
	lastPart := make(map[string]time.Duration, len(known))
	var old []string
	for _, id := range known {
		at, found := s.uploads[id]
		if !found {
			at = now // of an earlier leader
		}
		lastPart[id] = at
		if now-at > uploadLifetime {
			old = append(old, id)
		}
	}
	s.uploads = lastPart
	s.mu.Unlock()
	if len(old) > 0 {
		go s.commitCleanup(rollout.Command{DropUploads: old, Requires: bodiesStateVersion})
	}
}
