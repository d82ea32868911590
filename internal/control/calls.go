package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of call records.
const (
	maxAnswerBytes      = 256 << 10
	maxTotalAnswerBytes = 32 << 20 // half of the memory that control may use
	maxFreedAttempts    = 8
)

// incarnation names one run of the process of a VM.
type incarnation struct {
	VM     api.VMID `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"`
}

// callEntry is a call record with what only the state machine needs.
type callEntry struct {
	Record CallRecord  `cbor:"1,keyasint"`
	Row    api.RowName `cbor:"2,keyasint"`
	// Freed lists attempts that ended as not run. A late copy of their BeginCall must not take the key again,
	// because nobody would run or finish it.
	Freed      []uuid.UUID `cbor:"3,keyasint,omitempty"`
	FinishedAt uint64      `cbor:"4,keyasint,omitempty"` // index
	Key        uuid.UUID   `cbor:"5,keyasint"`
}

// callRecords keeps the records of calls. An entry in open is granted and not finished.
type callRecords struct {
	records[callEntry]
	open     map[incarnation]map[uuid.UUID]*callEntry
	answered []uuid.UUID // with a stored answer, in the order of finishing
	bytes    int         // of stored answers
}

func newCallRecords() callRecords {
	return callRecords{records: newRecords[callEntry](maxCallRecords), open: map[incarnation]map[uuid.UUID]*callEntry{}}
}

func (c *callRecords) prune(now time.Time) {
	c.records.prune(now, func(id uuid.UUID, e *callEntry) {
		c.closeOwner(id, e)
		c.bytes -= answerBytes(e)
	})
	c.boundAnswers()
}

func answerBytes(e *callEntry) int {
	if e.Record.Answer == nil {
		return 0
	}
	return len(e.Record.Answer.Body)
}

// boundAnswers drops the oldest answers beyond the memory limit. Their calls stay finished.
func (c *callRecords) boundAnswers() {
	n := 0
	for ; n < len(c.answered); n++ {
		e, ok := c.byID[c.answered[n]]
		if ok && c.bytes <= maxTotalAnswerBytes {
			break
		}
		if ok {
			c.bytes -= answerBytes(e)
			e.Record.Answer = nil
		}
	}
	c.answered = c.answered[n:]
}

func (e *callEntry) owner() incarnation { return incarnation{e.Record.VM, e.Record.Incarnation} }

func (c *callRecords) openOwner(key uuid.UUID, e *callEntry) {
	set, ok := c.open[e.owner()]
	if !ok {
		set = map[uuid.UUID]*callEntry{}
		c.open[e.owner()] = set
	}
	set[key] = e
}

func (c *callRecords) closeOwner(key uuid.UUID, e *callEntry) {
	set := c.open[e.owner()]
	delete(set, key)
	if len(set) == 0 {
		delete(c.open, e.owner())
	}
}

func (s *state) beginCall(b BeginCall) Result {
	if res, ok := s.calls.admit(b.Key, s.now); !ok {
		return res
	}
	if b.Attempt == (uuid.UUID{}) || b.VM == "" {
		return failure(errs.InvalidArgument, "name the attempt and the VM", "the call has no attempt id or no VM")
	}
	e, ok := s.calls.byID[b.Key]
	if !ok {
		return s.grant(b, &callEntry{Key: b.Key})
	}
	if e.Record.State == CallNotRun {
		return s.beginFreed(b, e)
	}
	if e.Row != b.Row || e.Record.Digest != b.Digest {
		return failure(errs.KeyReused, "use a new key for another request", "key %s was used for another request", b.Key)
	}
	if e.Record.State == CallGranted && e.Record.Attempt != b.Attempt {
		e.Record.Contested = true
	}
	return e.result(b.Attempt)
}

// beginFreed grants a free key to any attempt that has not given it back before.
func (s *state) beginFreed(b BeginCall, e *callEntry) Result {
	if !slices.Contains(e.Freed, b.Attempt) {
		return s.grant(b, e)
	}
	rec := e.Record
	rec.Attempt = b.Attempt
	return Result{Call: &rec}
}

func (s *state) grant(b BeginCall, e *callEntry) Result {
	e.Row = b.Row
	e.Record = CallRecord{State: CallGranted, Digest: b.Digest, Attempt: b.Attempt, VM: b.VM, Incarnation: b.Incarnation}
	s.calls.put(b.Key, e)
	s.calls.openOwner(b.Key, e)
	return e.result(b.Attempt)
}

// result copies the record as the caller of attempt may see it: only the granted attempt sees "granted".
func (e *callEntry) result(attempt uuid.UUID) Result {
	rec := e.Record
	if rec.State == CallGranted && rec.Attempt != attempt {
		rec.State = CallInProgress
	}
	return Result{Call: &rec, Accepted: rec.State == CallGranted}
}

func (s *state) finishCall(f FinishCall) Result {
	if res, ok := checkFinish(f); !ok {
		return res
	}
	e, ok := s.calls.byID[f.Key]
	if !ok {
		return failure(errs.NotFound, "begin the call first", "key %s has no record, or it is older than %v", f.Key, retention)
	}
	if slices.Contains(e.Freed, f.Attempt) {
		rec := e.Record
		rec.State, rec.Attempt, rec.Answer = CallNotRun, f.Attempt, nil
		return Result{Call: &rec}
	}
	if e.Record.Attempt != f.Attempt {
		return failure(errs.Conflict, "do not finish a call that was not granted", "key %s is held by another attempt", f.Key)
	}
	s.settle(f, e)
	return e.result(uuid.UUID{})
}

func checkFinish(f FinishCall) (Result, bool) {
	switch f.State {
	case CallFinished, CallUnknown, CallNotRun:
	default:
		return failure(errs.InvalidArgument, "use finished, unknown or not_run", "a call cannot end as %q", f.State), false
	}
	if f.Answer != nil && len(f.Answer.Body) > maxAnswerBytes {
		return failure(errs.PayloadTooLarge, "finish the call without the answer",
			"the answer has %d bytes; at most %d are stored", len(f.Answer.Body), maxAnswerBytes), false
	}
	return Result{}, true
}

// settle moves a record to its end. A finished record stays as it is; an unknown one can only become finished.
func (s *state) settle(f FinishCall, e *callEntry) {
	switch {
	case e.Record.State == CallGranted:
		s.calls.closeOwner(f.Key, e)
	case e.Record.State == CallUnknown && f.State == CallFinished:
	default:
		return
	}
	e.Record.State = f.State
	switch f.State {
	case CallNotRun:
		e.Freed = append(e.Freed, f.Attempt)
		e.Freed = e.Freed[max(0, len(e.Freed)-maxFreedAttempts):]
	case CallFinished:
		e.FinishedAt = s.index
		s.storeAnswer(f, e)
	}
}

func (s *state) storeAnswer(f FinishCall, e *callEntry) {
	if f.Answer == nil {
		return
	}
	e.Record.Answer = f.Answer
	s.calls.bytes += len(f.Answer.Body)
	s.calls.answered = append(s.calls.answered, f.Key)
	s.calls.boundAnswers()
}

// ownerLost makes the open calls of a VM unknown and returns their number.
func (c *callRecords) ownerLost(vm api.VMID, upTo uint64) int {
	n := 0
	for owner, set := range c.open {
		if owner.VM != vm || owner.Number > upTo {
			continue
		}
		for _, e := range set {
			e.Record.State = CallUnknown
			n++
		}
		delete(c.open, owner)
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

// Calls returns the newest records by key time, without answers; of row only, unless it is empty.
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

// rebuild restores what follows from the records themselves.
func (c *callRecords) rebuild() {
	for id, e := range c.byID {
		if e.Record.State == CallGranted {
			c.openOwner(id, e)
		}
		if e.Record.Answer != nil {
			c.bytes += answerBytes(e)
			c.answered = append(c.answered, id)
		}
	}
	slices.SortFunc(c.answered, func(a, b uuid.UUID) int { return cmp.Compare(c.byID[a].FinishedAt, c.byID[b].FinishedAt) })
}
