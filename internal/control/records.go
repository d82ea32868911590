package control

import (
	"bytes"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/errs"
)

// Limits of the records that are kept by id.
const (
	recordRetention     = 24 * time.Hour
	maxClockAhead       = 5 * time.Minute // how far ahead of the state machine's time the time of an id may be
	maxEditRecords      = 50_000
	maxCallRecords      = 200_000 // about 60 MB without the stored responses
	maxPrunedPerCommand = 64      // bounds the time that applying one command takes
)

// records stores values by UUID version 7 for recordRetention. The byte order of such ids is their time order.
//
// Invariant: no dropped id is above highestDropped, and checkID rejects all ids up to highestDropped.
type records[T any] struct {
	limit          int
	byID           map[uuid.UUID]*T
	order          []uuid.UUID // ascending
	highestDropped uuid.UUID
}

func newRecords[T any](limit int) records[T] {
	return records[T]{limit: limit, byID: map[uuid.UUID]*T{}}
}

const uuidVersion7 = 7

// idTime returns the time encoded in a UUID version 7.
func idTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// checkID returns a failed result if id must not be used at time now, because it could be the id of a dropped record
// or lies more than maxClockAhead after now.
func (r *records[T]) checkID(id uuid.UUID, now time.Time) (Result, bool) {
	const remedy = "use a new UUID version 7 of the current time"
	if id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return failedResult(errs.InvalidArgument, remedy, "id %s is not a UUID version 7", id), false
	}
	at := idTime(id)
	switch {
	case at.Before(now.Add(-recordRetention)):
		return failedResult(errs.KeyExpired, remedy, "id %s is older than %v; its record may be gone", id, recordRetention), false
	case bytes.Compare(id[:], r.highestDropped[:]) <= 0:
		return failedResult(errs.KeyExpired, remedy, "id %s is older than the oldest kept record", id), false
	case at.After(now.Add(maxClockAhead)):
		return failedResult(errs.KeyExpired, "set the clock and use a new id", "id %s lies more than %v in the future", id, maxClockAhead), false
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

// prune drops the oldest records that exceed the retention time or the record limit, and calls dropped for each of
// them.
func (r *records[T]) prune(now time.Time, dropped func(uuid.UUID, *T)) {
	oldest := now.Add(-recordRetention)
	n := 0
	for n < len(r.order) && n < maxPrunedPerCommand {
		id := r.order[n]
		if len(r.order)-n <= r.limit && !idTime(id).Before(oldest) {
			break
		}
		if dropped != nil {
			dropped(id, r.byID[id])
		}
		delete(r.byID, id)
		r.highestDropped = id
		n++
	}
	r.order = r.order[n:]
}
