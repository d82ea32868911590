package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of call records and their stored responses.
const (
	maxResponseBytes      = 256 << 10
	maxTotalResponseBytes = 32 << 20 // half of the memory budget of the control state
	maxNotRunAttempts     = 8
)

// vmIncarnation identifies one run of the process of a VM.
type vmIncarnation struct {
	VM     api.VMID `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"`
}

// callEntry is a call record together with the fields that only the state machine uses.
type callEntry struct {
	Record CallRecord  `cbor:"1,keyasint"`
	Row    api.RowName `cbor:"2,keyasint"`
	// NotRunAttempts lists the most recent attempts that ended as not run. A delayed copy of their BeginCall must not
	// be granted the key again, because no attempt would execute the call or finish it.
	NotRunAttempts []uuid.UUID `cbor:"3,keyasint,omitempty"`
	FinishedAt     uint64      `cbor:"4,keyasint,omitempty"` // log index
	Key            uuid.UUID   `cbor:"5,keyasint"`
}

// callRecords holds the call records. The unfinished map contains the calls that are granted and not finished, by
// owner.
type callRecords struct {
	records[callEntry]
	unfinished   map[vmIncarnation]map[uuid.UUID]*callEntry
	withResponse []uuid.UUID // keys of calls with a stored response, in the order in which they finished
	storedBytes  int         // total size of the stored responses
}

func newCallRecords() callRecords {
	return callRecords{records: newRecords[callEntry](maxCallRecords), unfinished: map[vmIncarnation]map[uuid.UUID]*callEntry{}}
}

func (c *callRecords) prune(now time.Time) {
	c.records.prune(now, func(id uuid.UUID, e *callEntry) {
		c.removeUnfinished(id, e)
		c.storedBytes -= responseBytes(e)
	})
	c.evictResponses()
}

func responseBytes(e *callEntry) int {
	if e.Record.Answer == nil {
		return 0
	}
	return len(e.Record.Answer.Body)
}

// evictResponses drops the oldest stored responses until their total size is within the limit. Their calls stay
// finished.
func (c *callRecords) evictResponses() {
	n := 0
	for ; n < len(c.withResponse); n++ {
		e, ok := c.byID[c.withResponse[n]]
		if ok && c.storedBytes <= maxTotalResponseBytes {
			break
		}
		if ok {
			c.storedBytes -= responseBytes(e)
			e.Record.Answer = nil
		}
	}
	c.withResponse = c.withResponse[n:]
}

func (e *callEntry) owner() vmIncarnation { return vmIncarnation{e.Record.VM, e.Record.Incarnation} }

func (c *callRecords) addUnfinished(key uuid.UUID, e *callEntry) {
	set, ok := c.unfinished[e.owner()]
	if !ok {
		set = map[uuid.UUID]*callEntry{}
		c.unfinished[e.owner()] = set
	}
	set[key] = e
}

func (c *callRecords) removeUnfinished(key uuid.UUID, e *callEntry) {
	set := c.unfinished[e.owner()]
	delete(set, key)
	if len(set) == 0 {
		delete(c.unfinished, e.owner())
	}
}

func (s *state) beginCall(b BeginCall) Result {
	if res, ok := s.calls.checkID(b.Key, s.now); !ok {
		return res
	}
	if b.Attempt == (uuid.UUID{}) || b.VM == "" {
		return failedResult(errs.InvalidArgument, "name the attempt and the VM", "the call has no attempt id or no VM")
	}
	e, ok := s.calls.byID[b.Key]
	if !ok {
		return s.grantCall(b, &callEntry{Key: b.Key})
	}
	if e.Record.State == CallNotRun {
		return s.beginAfterNotRun(b, e)
	}
	if e.Row != b.Row || e.Record.Digest != b.Digest {
		return failedResult(errs.KeyReused, "use a new key for another request", "key %s was used for another request", b.Key)
	}
	if e.Record.State == CallGranted && e.Record.Attempt != b.Attempt {
		e.Record.Contested = true
	}
	return e.result(b.Attempt)
}

// beginAfterNotRun grants a key whose last attempt was not run, except to an attempt that itself ended as not run.
func (s *state) beginAfterNotRun(b BeginCall, e *callEntry) Result {
	if !slices.Contains(e.NotRunAttempts, b.Attempt) {
		return s.grantCall(b, e)
	}
	rec := e.Record
	rec.Attempt = b.Attempt
	return Result{Call: &rec}
}

func (s *state) grantCall(b BeginCall, e *callEntry) Result {
	e.Row = b.Row
	e.Record = CallRecord{State: CallGranted, Digest: b.Digest, Attempt: b.Attempt, VM: b.VM, Incarnation: b.Incarnation}
	s.calls.put(b.Key, e)
	s.calls.addUnfinished(b.Key, e)
	return e.result(b.Attempt)
}

// result returns a copy of the record as seen by the given attempt: only the attempt that holds the key sees
// "granted", all others see "in progress".
func (e *callEntry) result(attempt uuid.UUID) Result {
	rec := e.Record
	if rec.State == CallGranted && rec.Attempt != attempt {
		rec.State = CallInProgress
	}
	return Result{Call: &rec, Accepted: rec.State == CallGranted}
}

func (s *state) finishCall(f FinishCall) Result {
	if res, ok := validateFinishCall(f); !ok {
		return res
	}
	e, ok := s.calls.byID[f.Key]
	if !ok {
		return failedResult(errs.NotFound, "begin the call first", "key %s has no record, or it is older than %v", f.Key, recordRetention)
	}
	if slices.Contains(e.NotRunAttempts, f.Attempt) {
		rec := e.Record
		rec.State, rec.Attempt, rec.Answer = CallNotRun, f.Attempt, nil
		return Result{Call: &rec}
	}
	if e.Record.Attempt != f.Attempt {
		return failedResult(errs.Conflict, "do not finish a call that was not granted", "key %s is held by another attempt", f.Key)
	}
	s.setOutcome(f, e)
	return e.result(uuid.UUID{})
}

func validateFinishCall(f FinishCall) (Result, bool) {
	switch f.State {
	case CallFinished, CallUnknown, CallNotRun:
	default:
		return failedResult(errs.InvalidArgument, "use finished, unknown or not_run", "a call cannot end as %q", f.State), false
	}
	if f.Answer != nil && len(f.Answer.Body) > maxResponseBytes {
		return failedResult(errs.PayloadTooLarge, "finish the call without the response",
			"the response has %d bytes; at most %d are stored", len(f.Answer.Body), maxResponseBytes), false
	}
	return Result{}, true
}

// setOutcome records the outcome of a call. A finished record does not change any more; an unknown one can only become
// finished.
func (s *state) setOutcome(f FinishCall, e *callEntry) {
	switch {
	case e.Record.State == CallGranted:
		s.calls.removeUnfinished(f.Key, e)
	case e.Record.State == CallUnknown && f.State == CallFinished:
	default:
		return
	}
	e.Record.State = f.State
	switch f.State {
	case CallNotRun:
		e.NotRunAttempts = append(e.NotRunAttempts, f.Attempt)
		e.NotRunAttempts = e.NotRunAttempts[max(0, len(e.NotRunAttempts)-maxNotRunAttempts):]
	case CallFinished:
		e.FinishedAt = s.index
		s.storeResponse(f, e)
	}
}

func (s *state) storeResponse(f FinishCall, e *callEntry) {
	if f.Answer == nil {
		return
	}
	e.Record.Answer = f.Answer
	s.calls.storedBytes += len(f.Answer.Body)
	s.calls.withResponse = append(s.calls.withResponse, f.Key)
	s.calls.evictResponses()
}

// markOwnerLost changes the unfinished calls of all incarnations of a VM up to upTo to unknown and returns their
// number.
func (c *callRecords) markOwnerLost(vm api.VMID, upTo uint64) int {
	n := 0
	for owner, set := range c.unfinished {
		if owner.VM != vm || owner.Number > upTo {
			continue
		}
		for _, e := range set {
			e.Record.State = CallUnknown
			n++
		}
		delete(c.unfinished, owner)
	}
	return n
}

// CallView is a call record with its key and row.
type CallView struct {
	Key    uuid.UUID   `json:"key" cbor:"1,keyasint"`
	Row    api.RowName `json:"row" cbor:"2,keyasint"`
	Record CallRecord  `json:"record" cbor:"3,keyasint"`
}

// Call returns the record of a key.
func (m *StateMachine) Call(key uuid.UUID) (CallView, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	e, ok := m.state.calls.byID[key]
	if !ok {
		return CallView{}, false
	}
	return CallView{Key: key, Row: e.Row, Record: e.Record}, true
}

// Calls returns up to limit records without their responses, ordered by key time, newest first. An empty row selects
// all rows.
func (m *StateMachine) Calls(row api.RowName, limit int) []CallView {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []CallView
	order := m.state.calls.order
	for i := len(order) - 1; i >= 0 && len(out) < limit; i-- {
		e := m.state.calls.byID[order[i]]
		if row != "" && e.Row != row {
			continue
		}
		v := CallView{Key: order[i], Row: e.Row, Record: e.Record}
		v.Record.Answer = nil
		out = append(out, v)
	}
	return out
}

// rebuildIndexes recomputes the fields that are derived from the records, after a snapshot was loaded.
func (c *callRecords) rebuildIndexes() {
	for id, e := range c.byID {
		if e.Record.State == CallGranted {
			c.addUnfinished(id, e)
		}
		if e.Record.Answer != nil {
			c.storedBytes += responseBytes(e)
			c.withResponse = append(c.withResponse, id)
		}
	}
	slices.SortFunc(c.withResponse, func(a, b uuid.UUID) int { return cmp.Compare(c.byID[a].FinishedAt, c.byID[b].FinishedAt) })
}
