package control

import (
	"bytes"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/errs"
)

// Limits of records that are kept by id.
const (
	retention        = 24 * time.Hour
	maxAhead         = 5 * time.Minute // how far the time of an id may lie in the future
	maxEditRecords   = 50_000
	maxCallRecords   = 200_000 // about 60 MB without answers
	prunedPerCommand = 64      // bounds the time of one command
)

// records keeps values by UUID version 7 for the retention time. Bytes of such ids order by their time.
//
// Invariant: every id that was ever dropped is at most floor, and admit refuses ids up to floor.
type records[T any] struct {
	limit int
	byID  map[uuid.UUID]*T
	order []uuid.UUID // ascending
	floor uuid.UUID
}

func newRecords[T any](limit int) records[T] {
	return records[T]{limit: limit, byID: map[uuid.UUID]*T{}}
}

const uuidVersion7 = 7

// idTime returns the time in a UUID version 7.
func idTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// admit returns a failed result if id may not be used at time now: an older one could name a dropped record.
func (r *records[T]) admit(id uuid.UUID, now time.Time) (Result, bool) {
	const remedy = "use a new UUID version 7 of the current time"
	if id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return failure(errs.InvalidArgument, remedy, "id %s is not a UUID version 7", id), false
	}
	at := idTime(id)
	switch {
	case at.Before(now.Add(-retention)):
		return failure(errs.KeyExpired, remedy, "id %s is older than %v; its record may be gone", id, retention), false
	case bytes.Compare(id[:], r.floor[:]) <= 0:
		return failure(errs.KeyExpired, remedy, "id %s is older than the oldest kept record", id), false
	case at.After(now.Add(maxAhead)):
		return failure(errs.KeyExpired, "set the clock and use a new id", "id %s lies more than %v in the future", id, maxAhead), false
	default:
		return Result{}, true
	}
}

func compareIDs(a, b uuid.UUID) int { return bytes.Compare(a[:], b[:]) }

func (r *records[T]) put(id uuid.UUID, value *T) {
	if _, ok := r.byID[id]; !ok {
		at, _ := slices.BinarySearchFunc(r.order, id, compareIDs)
		r.order = slices.Insert(r.order, at, id)
	}
	r.byID[id] = value
}

// prune drops records past the retention and beyond the limit, oldest first. It calls dropped for each.
func (r *records[T]) prune(now time.Time, dropped func(uuid.UUID, *T)) {
	oldest := now.Add(-retention)
	n := 0
	for n < len(r.order) && n < prunedPerCommand {
		id := r.order[n]
		if len(r.order)-n <= r.limit && !idTime(id).Before(oldest) {
			break
		}
		if dropped != nil {
			dropped(id, r.byID[id])
		}
		delete(r.byID, id)
		r.floor = id
		n++
	}
	r.order = r.order[n:]
}
