package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
)

const (
	// MaxStoredAnswerBytes bounds the body that is kept with a call record.
	MaxStoredAnswerBytes = 256 << 10
	minBackoff           = 20 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond
	// unavailableFor covers the election of a new control leader; after it, a call is refused.
	unavailableFor = 4 * time.Second
	// recordGrace is how much longer than the deadline the answer of a call that ran waits for its record.
	recordGrace = 5 * time.Second
	// recordFor is how long an outcome that could not be recorded is tried again.
	recordFor = 10 * time.Minute
)

// runOnce runs a non-idempotent call: it commits the intent before the first byte goes out, and the outcome
// before the caller is answered. The call goes on when the caller leaves.
func (h *Handler) runOnce(r *request) {
	key, err := parseKey(r.key)
	if err != nil {
		h.refuse(r, err, h.earlyOutcome(r))
		return
	}
	attempt := uuid.Must(uuid.NewV7())
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	record, err := h.begin(ctx, r, key, attempt)
	if err != nil {
		h.refuse(r, attemptError{err}, api.OutcomeUnknown)
		return
	}
	switch record.State {
	case control.CallGranted:
		r.work.AttemptID = attempt
		h.runGranted(ctx, r, key, attempt)
	case control.CallFinished:
		h.replayRecord(r, record)
	default:
		h.event(events.CallUnknown, r, "")
		h.refuse(r, attemptError{unknownError()}, api.OutcomeUnknown)
	}
}

func unknownError() error {
	return errs.New(errs.OutcomeUnknown, "find out from the service whether it ran, and use a new key for a new call",
		"an earlier attempt with this key has an unknown outcome; it is not run again")
}

// begin records the intent. It waits while another attempt holds the key.
func (h *Handler) begin(ctx context.Context, r *request, key, attempt uuid.UUID) (*control.CallRecord, error) {
	cmd := control.Command{BeginCall: &control.BeginCall{
		Key: key, Row: r.row.Name, Digest: callDigest(&r.work), Attempt: attempt, VM: h.opts.VM, Incarnation: h.opts.Incarnation,
	}}
	w := waiter{give: r.start.Add(unavailableFor)}
	open := false // a BeginCall may have been applied without our knowledge
	for {
		res, err := h.opts.Control.Do(ctx, cmd)
		if err == nil {
			err = resultError(&res)
		}
		record := settled(&res, err, attempt)
		if record != nil {
			return record, nil
		}
		if err != nil {
			open = open || !certain(err)
		}
		if err := w.wait(ctx, err); err != nil {
			if open {
				go h.abandon(cmd, finishNotRun(r, key, attempt))
			}
			return nil, err
		}
	}
}

// abandon frees the key of a call that was given up while it was open whether BeginCall was applied. BeginCall
// is resent until it certainly was: a copy that is still on its way could otherwise take the key later.
func (h *Handler) abandon(begin control.Command, notRun control.FinishCall) {
	ctx, cancel := context.WithTimeout(context.Background(), recordFor)
	defer cancel()
	w := waiter{give: time.Now().Add(recordFor)}
	for {
		res, err := h.opts.Control.Do(ctx, begin)
		if err == nil {
			if record := settled(&res, nil, notRun.Attempt); record != nil && record.State == control.CallGranted {
				_, _ = h.record(ctx, notRun)
			}
			return
		}
		if w.wait(ctx, err) != nil {
			return
		}
	}
}

// settled returns the record if the call need not wait. A key in progress under our own attempt was granted to
// us by a command whose answer was lost.
func settled(res *control.Result, err error, attempt uuid.UUID) *control.CallRecord {
	if err != nil || res.Call == nil {
		return nil
	}
	record := *res.Call
	switch record.State {
	case control.CallInProgress:
		if record.Attempt != attempt {
			return nil
		}
		record.State = control.CallGranted
	case control.CallNotRun:
		return nil
	}
	return &record
}

// resultError turns the refusal of the state machine into an error.
func resultError(res *control.Result) error {
	if res.ErrorKind == "" {
		return nil
	}
	return errs.New(errs.Kind(res.ErrorKind), res.Remedy, "%s", res.Error)
}

// certain reports whether a command with this error was certainly not applied.
func certain(err error) bool {
	switch errs.KindOf(err) {
	case errs.OutcomeUnknown, errs.DeadlineExceeded, errs.Canceled, errs.Internal:
		return false
	}
	return true
}

// waiter spaces the resends of a command.
type waiter struct {
	give    time.Time // when to give up on an unavailable control state
	backoff time.Duration
}

// wait returns the error with which to give up, or nil after a pause.
func (w *waiter) wait(ctx context.Context, err error) error {
	if err != nil && !w.transient(err) {
		return err
	}
	w.backoff = min(max(w.backoff*2, minBackoff), maxBackoff)
	timer := time.NewTimer(w.backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	if err != nil {
		return err
	}
	return errs.New(errs.DeadlineExceeded, "resend the request with the same key", "deadline passed while another attempt with this key was in progress")
}

func (w *waiter) transient(err error) bool {
	switch errs.KindOf(err) {
	case errs.OutcomeUnknown:
		return true
	case errs.Unavailable, errs.NotLeader:
		return time.Now().Before(w.give)
	}
	return false
}

// runGranted runs the call and records its outcome before it answers.
func (h *Handler) runGranted(ctx context.Context, r *request, key, attempt uuid.UUID) {
	answer, err := h.execute(ctx, r)
	if err != nil {
		h.runFailed(r, key, attempt, err)
		return
	}
	finish := control.FinishCall{Key: key, Row: r.row.Name, Attempt: attempt, State: control.CallFinished}
	if len(answer.Body) <= MaxStoredAnswerBytes {
		finish.Answer = &answer
	}
	if _, err := h.recordInTime(r, finish); err != nil {
		h.refuse(r, &dispatch.Error{Outcome: api.OutcomeUnknown, Err: err}, api.OutcomeUnknown)
		return
	}
	h.replay(r, &answer)
}

// execute runs the call on a backend server. A stream is buffered, because its answer must be recorded first.
func (h *Handler) execute(ctx context.Context, r *request) (control.CallResponse, error) {
	if r.wantsStream() {
		return h.executeStream(ctx, r)
	}
	a, err := h.opts.Dispatcher.DoUnary(ctx, r.work)
	return control.CallResponse{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, err
}

func (h *Handler) executeStream(ctx context.Context, r *request) (control.CallResponse, error) {
	out := control.CallResponse{Status: http.StatusOK, ContentType: contentTypeEvents}
	_, err := h.opts.Dispatcher.DoStream(ctx, r.work, func(c backend.Chunk) error {
		if len(out.Body)+len(c.Data) > backend.MaxBodyBytes {
			return errs.New(errs.BackendFailed, "ask for a shorter answer", "answer exceeds %d bytes", backend.MaxBodyBytes)
		}
		out.Body = appendEvent(out.Body, c.Data)
		return nil
	})
	out.Body = append(out.Body, eventDone...)
	return out, err
}

// runFailed records and reports a call without an answer: not run only if no byte was written.
func (h *Handler) runFailed(r *request, key, attempt uuid.UUID, err error) {
	outcome := dispatch.OutcomeOf(err)
	finish := finishNotRun(r, key, attempt)
	if outcome != api.OutcomeNotRun {
		outcome, finish.State = api.OutcomeUnknown, control.CallUnknown
		h.event(events.CallUnknown, r, err.Error())
		err = &dispatch.Error{Outcome: outcome, Err: errs.Wrap(err, errs.OutcomeUnknown,
			"find out from the service whether it ran, and use a new key for a new call", "the call may have run, its outcome is unknown")}
	}
	contested, recordErr := h.recordInTime(r, finish)
	if outcome == api.OutcomeNotRun && (contested || recordErr != nil) {
		// Only this attempt is certain: a resend that waits for the key runs next, or finds it in progress.
		outcome = api.OutcomeUnknown
		err = attemptError{err}
	}
	h.refuse(r, err, outcome)
}

func finishNotRun(r *request, key, attempt uuid.UUID) control.FinishCall {
	return control.FinishCall{Key: key, Row: r.row.Name, Attempt: attempt, State: control.CallNotRun}
}

// recordInTime records an outcome within the deadline and its grace. Later it goes on in the background, and
// the error says that the outcome is not recorded yet. contested tells that another attempt waits for the key.
func (h *Handler) recordInTime(r *request, finish control.FinishCall) (contested bool, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline.Add(recordGrace))
	defer cancel()
	contested, err = h.record(ctx, finish)
	if err == nil {
		return contested, nil
	}
	if errs.Is(err, errs.OutcomeUnknown) || ctx.Err() != nil {
		go h.record(context.Background(), finish)
	}
	return false, errs.Wrap(err, errs.OutcomeUnknown, "resend the request with the same key", "the call's outcome could not be recorded in time")
}

// record resends FinishCall until it is applied. A refusal by the state machine also ends it: the record was
// closed by others, as when this VM was declared lost, and stays as it is.
func (h *Handler) record(ctx context.Context, finish control.FinishCall) (contested bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordFor)
	defer cancel()
	w := waiter{give: time.Now().Add(recordFor)}
	for {
		res, err := h.opts.Control.Do(ctx, control.Command{FinishCall: &finish})
		if err == nil {
			return res.Call != nil && res.Call.Contested, nil
		}
		if err := w.wait(ctx, err); err != nil {
			return false, err
		}
	}
}

// replayRecord answers from the record of a call that ran.
func (h *Handler) replayRecord(r *request, record *control.CallRecord) {
	if record.Answer == nil {
		err := errs.New(errs.Conflict, "read the result from the service", "the call ran, but its answer exceeds %d bytes and was not stored", MaxStoredAnswerBytes)
		h.refuse(r, attemptError{err}, api.OutcomeRan)
		return
	}
	h.event(events.RequestReplayed, r, "")
	r.http.Response.Header.Set(api.HeaderAttempt, string(api.OutcomeNotRun))
	h.replay(r, record.Answer)
}

// callDigest covers what must be equal in a resend.
func callDigest(w *dispatch.Request) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{w.Method, w.Path, w.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(w.Body)
	return d.Sum64()
}
