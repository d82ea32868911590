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
	// MaxStoredAnswerBytes limits the body of an answer that is stored in a call record.
	MaxStoredAnswerBytes = 256 << 10
	// minBackoff and maxBackoff bound the pause between the resends of a command to the control leader.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// controlUnavailableTimeout is how long a call waits for an unavailable control leader before it is refused. It is
	// long enough for the election of a new leader.
	controlUnavailableTimeout = 4 * time.Second
	// recordGracePeriod is how long after its deadline a call may still wait until its outcome is recorded.
	recordGracePeriod = 5 * time.Second
	// recordRetryTimeout is how long the recording of an outcome is retried.
	recordRetryTimeout = 10 * time.Minute
)

// runNonIdempotent runs a non-idempotent call at most once. It records the intent before the first byte is sent to a
// backend server, and the outcome before the caller gets the answer. The call continues if the caller disconnects.
func (h *Handler) runNonIdempotent(r *request) {
	key, err := parseKey(r.key)
	if err != nil {
		h.respondError(r, err, h.outcomeBeforeLookup(r))
		return
	}
	attempt := uuid.Must(uuid.NewV7())
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	record, err := h.beginCall(ctx, r, key, attempt)
	if err != nil {
		h.respondError(r, attemptNotRunError{err}, api.OutcomeUnknown)
		return
	}
	switch record.State {
	case control.CallGranted:
		r.backendRequest.AttemptID = attempt
		h.runGranted(ctx, r, key, attempt)
	case control.CallFinished:
		h.replayRecord(r, record)
	default:
		h.recordEvent(events.CallUnknown, r, "")
		h.respondError(r, attemptNotRunError{unknownOutcomeError()}, api.OutcomeUnknown)
	}
}

func unknownOutcomeError() error {
	return errs.New(errs.OutcomeUnknown, "find out from the service whether it ran, and use a new key for a new call",
		"an earlier attempt with this key has an unknown outcome; it is not run again")
}

// beginCall records the intent to run the call. It waits while another attempt with the same key is in progress.
func (h *Handler) beginCall(ctx context.Context, r *request, key, attempt uuid.UUID) (*control.CallRecord, error) {
	cmd := control.Command{BeginCall: &control.BeginCall{
		Key: key, Row: r.row.Name, Digest: callDigest(&r.backendRequest), Attempt: attempt, VM: h.opts.VM, Incarnation: h.opts.Incarnation,
	}}
	w := retryWaiter{giveUpAt: r.start.Add(controlUnavailableTimeout)}
	maybeApplied := false // a BeginCall with a lost answer may have been applied
	for {
		res, err := h.opts.Control.Do(ctx, cmd)
		if err == nil {
			err = resultError(&res)
		}
		record := finalRecord(&res, err, attempt)
		if record != nil {
			return record, nil
		}
		if err != nil {
			maybeApplied = maybeApplied || !certainlyNotApplied(err)
		}
		if err := w.wait(ctx, err); err != nil {
			if maybeApplied {
				go h.abandonCall(cmd, notRunCommand(r, key, attempt))
			}
			return nil, err
		}
	}
}

// abandonCall frees the key of a call that was given up before it was known whether its BeginCall was applied. It
// resends BeginCall until it is answered, because a copy that is still in transit could otherwise take the key later.
func (h *Handler) abandonCall(begin control.Command, notRun control.FinishCall) {
	ctx, cancel := context.WithTimeout(context.Background(), recordRetryTimeout)
	defer cancel()
	w := retryWaiter{giveUpAt: time.Now().Add(recordRetryTimeout)}
	for {
		res, err := h.opts.Control.Do(ctx, begin)
		if err == nil {
			if record := finalRecord(&res, nil, notRun.Attempt); record != nil && record.State == control.CallGranted {
				_, _ = h.recordOutcome(ctx, notRun)
			}
			return
		}
		if w.wait(ctx, err) != nil {
			return
		}
	}
}

// finalRecord returns the call record if the call does not have to wait, or nil. If the record is in progress under
// this attempt, an earlier copy of the command was granted and its answer was lost, so the call counts as granted.
func finalRecord(res *control.Result, err error, attempt uuid.UUID) *control.CallRecord {
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

// resultError returns the error of a command that the state machine refused.
func resultError(res *control.Result) error {
	if res.ErrorKind == "" {
		return nil
	}
	return errs.New(errs.Kind(res.ErrorKind), res.Remedy, "%s", res.Error)
}

// certainlyNotApplied reports whether a command that failed with this error was certainly not applied.
func certainlyNotApplied(err error) bool {
	switch errs.KindOf(err) {
	case errs.OutcomeUnknown, errs.DeadlineExceeded, errs.Canceled, errs.Internal:
		return false
	}
	return true
}

// retryWaiter waits between the resends of a command, with exponential backoff.
type retryWaiter struct {
	giveUpAt time.Time // when to stop waiting for an unavailable control leader
	backoff  time.Duration
}

// wait pauses before the next resend of a command and returns nil. err is the error of the last attempt to send it, or
// nil if the command has to wait for another attempt with the same key. If the command must not be resent, or ctx ends,
// wait returns the error for the caller.
func (w *retryWaiter) wait(ctx context.Context, err error) error {
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

// transient reports whether a command that failed with this error may be resent now.
func (w *retryWaiter) transient(err error) bool {
	switch errs.KindOf(err) {
	case errs.OutcomeUnknown:
		return true
	case errs.Unavailable, errs.NotLeader:
		return time.Now().Before(w.giveUpAt)
	}
	return false
}

// runGranted runs a call whose intent is recorded, and records its outcome before it answers.
func (h *Handler) runGranted(ctx context.Context, r *request, key, attempt uuid.UUID) {
	answer, err := h.executeCall(ctx, r)
	if err != nil {
		h.finishFailedCall(r, key, attempt, err)
		return
	}
	finish := control.FinishCall{Key: key, Row: r.row.Name, Attempt: attempt, State: control.CallFinished}
	if len(answer.Body) <= MaxStoredAnswerBytes {
		finish.Answer = &answer
	}
	if _, err := h.recordWithinDeadline(r, finish); err != nil {
		h.respondError(r, &dispatch.Error{Outcome: api.OutcomeUnknown, Err: err}, api.OutcomeUnknown)
		return
	}
	h.writeCallResponse(r, &answer)
}

// executeCall runs the call on a backend server. A streamed answer is buffered as a whole, because it must be recorded
// before it is sent.
func (h *Handler) executeCall(ctx context.Context, r *request) (control.CallResponse, error) {
	if r.wantsStream() {
		return h.executeStreamCall(ctx, r)
	}
	a, err := h.opts.Dispatcher.DoUnary(ctx, r.backendRequest)
	return control.CallResponse{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, err
}

func (h *Handler) executeStreamCall(ctx context.Context, r *request) (control.CallResponse, error) {
	out := control.CallResponse{Status: http.StatusOK, ContentType: contentTypeEvents}
	_, err := h.opts.Dispatcher.DoStream(ctx, r.backendRequest, func(c backend.Chunk) error {
		if len(out.Body)+len(c.Data) > backend.MaxBodyBytes {
			return errs.New(errs.BackendFailed, "ask for a shorter answer", "answer exceeds %d bytes", backend.MaxBodyBytes)
		}
		out.Body = appendEvent(out.Body, c.Data)
		return nil
	})
	out.Body = append(out.Body, eventStreamEnd...)
	return out, err
}

// finishFailedCall records and reports a call without an answer. Its outcome is "not run" only if no byte was sent to
// a backend server.
func (h *Handler) finishFailedCall(r *request, key, attempt uuid.UUID, err error) {
	outcome := dispatch.OutcomeOf(err)
	finish := notRunCommand(r, key, attempt)
	if outcome != api.OutcomeNotRun {
		outcome, finish.State = api.OutcomeUnknown, control.CallUnknown
		h.recordEvent(events.CallUnknown, r, err.Error())
		err = &dispatch.Error{Outcome: outcome, Err: errs.Wrap(err, errs.OutcomeUnknown,
			"find out from the service whether it ran, and use a new key for a new call", "the call may have run, but its outcome is unknown")}
	}
	contested, recordErr := h.recordWithinDeadline(r, finish)
	if outcome == api.OutcomeNotRun && (contested || recordErr != nil) {
		// Only this attempt certainly did not run. If the key is contested, the attempt that waits for it may run next.
		// If the outcome could not be recorded, the record may still say that the call is in progress.
		outcome = api.OutcomeUnknown
		err = attemptNotRunError{err}
	}
	h.respondError(r, err, outcome)
}

func notRunCommand(r *request, key, attempt uuid.UUID) control.FinishCall {
	return control.FinishCall{Key: key, Row: r.row.Name, Attempt: attempt, State: control.CallNotRun}
}

// recordWithinDeadline records an outcome before the deadline and its grace period end. After that, it continues in
// the background and returns an error that says that the outcome is not recorded yet. contested reports whether
// another attempt waits for the key.
func (h *Handler) recordWithinDeadline(r *request, finish control.FinishCall) (contested bool, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline.Add(recordGracePeriod))
	defer cancel()
	contested, err = h.recordOutcome(ctx, finish)
	if err == nil {
		return contested, nil
	}
	if errs.Is(err, errs.OutcomeUnknown) || ctx.Err() != nil {
		go h.recordOutcome(context.Background(), finish)
	}
	return false, errs.Wrap(err, errs.OutcomeUnknown, "resend the request with the same key", "the call's outcome could not be recorded in time")
}

// recordOutcome resends FinishCall until it is applied. It also ends if the state machine refuses the command: the
// record then has an outcome from elsewhere, for example because this VM was declared lost, and stays unchanged.
func (h *Handler) recordOutcome(ctx context.Context, finish control.FinishCall) (contested bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordRetryTimeout)
	defer cancel()
	w := retryWaiter{giveUpAt: time.Now().Add(recordRetryTimeout)}
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

// replayRecord sends the answer that is stored in the record of a call that ran earlier.
func (h *Handler) replayRecord(r *request, record *control.CallRecord) {
	if record.Answer == nil {
		err := errs.New(errs.Conflict, "read the result from the service", "the call ran, but its answer exceeds %d bytes and was not stored", MaxStoredAnswerBytes)
		h.respondError(r, attemptNotRunError{err}, api.OutcomeRan)
		return
	}
	h.recordEvent(events.RequestReplayed, r, "")
	r.http.Response.Header.Set(api.HeaderAttempt, string(api.OutcomeNotRun))
	h.writeCallResponse(r, record.Answer)
}

// callDigest returns the hash of everything that must be equal in a resend of a call.
func callDigest(req *dispatch.Request) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{req.Method, req.Path, req.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}
