package control

import (
	"context"
	"strconv"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

func versionDetail(v uint64) string { return "version " + strconv.FormatUint(v, 10) }

// Do implements Client. If the state machine rejects the command, Do returns its Result together with Result.Err.
// Errors of kind errs.Unavailable mean that the command was certainly not applied.
func (r *RemoteClient) Do(ctx context.Context, cmd Command) (Result, error) {
	request, err := EncodeCommand(cmd)
	if err != nil {
		return Result{}, err
	}
	var res Result
	if err := r.sendToLeader(ctx, MethodDo, request, &res); err != nil {
		return Result{}, err
	}
	return res, res.Err()
}

// Step implements Client.
func (r *RemoteClient) Step(ctx context.Context, id StepID) (StepView, error) {
	return query[StepID, StepView](ctx, r, MethodStep, id)
}

// History returns the most recent edits of a row, newest first.
func (r *RemoteClient) History(ctx context.Context, row api.RowName, limit int) ([]RowChange, error) {
	return query[HistoryRequest, []RowChange](ctx, r, MethodHistory, HistoryRequest{Row: row, Limit: limit})
}

// Calls returns the call records that q selects.
func (r *RemoteClient) Calls(ctx context.Context, q CallsRequest) ([]CallView, error) {
	return query[CallsRequest, []CallView](ctx, r, MethodCall, q)
}

// Steps returns the steps of a row, or of all rows if row is empty, without their samples.
func (r *RemoteClient) Steps(ctx context.Context, row api.RowName) ([]StepView, error) {
	return query[StepsRequest, []StepView](ctx, r, MethodSteps, StepsRequest{Row: row})
}

// Propagation asks the leader which VMs do not have a table version yet; version 0 means the newest one.
func (r *RemoteClient) Propagation(ctx context.Context, version uint64) (PropagationResponse, error) {
	var a PropagationResponse
	request, err := Encode(PropagationRequest{Version: version})
	if err != nil {
		return a, err
	}
	return a, r.sendToLeader(ctx, MethodPropagation, request, &a)
}

// query sends a read request to one replica after the other until one answers. Retrying is safe, as reads have no side
// effects.
func query[Q, R any](ctx context.Context, r *RemoteClient, method string, q Q) (R, error) {
	var result R
	request, err := Encode(q)
	if err != nil {
		return result, err
	}
	for i := 0; ; i++ {
		_, err := r.attempt(ctx, r.replicas[i%len(r.replicas)], method, request, &result)
		if err == nil || !retriable(err) {
			return result, err
		}
		if !sleep(ctx, retryDelay) {
			return result, errs.Wrap(err, errs.Unavailable, "try again", "%s: no control replica answered", method)
		}
	}
}

func (r *RemoteClient) attempt(ctx context.Context, addr, method string, request []byte, v any) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	data, err := r.opts.SendRPC(ctx, addr, method, request)
	if err != nil {
		if errs.Is(err, errs.Unavailable) {
			return "", err
		}
		return "", errs.Wrap(err, errs.OutcomeUnknown, "send it again", "%s to %s", method, addr)
	}
	return decodeResponse(data, v)
}

func retriable(err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader, errs.Unavailable, errs.OutcomeUnknown, errs.DeadlineExceeded, errs.Canceled:
		return true
	default:
		return false
	}
}

// sendToLeader sends a request until the leader has answered it or ctx is done. Other replicas return the address of
// the leader. Once the outcome of one attempt is unknown, a later failure must not be reported as "not applied".
func (r *RemoteClient) sendToLeader(ctx context.Context, method string, request []byte, v any) error {
	maybeApplied := false
	for i := 0; ; i++ {
		addr, leaderKnown := r.target(i)
		leader, err := r.attempt(ctx, addr, method, request, v)
		if err == nil {
			r.setLeader(addr)
			return nil
		}
		if !retriable(err) {
			return r.outcomeError(err, maybeApplied)
		}
		maybeApplied = maybeApplied || errs.Is(err, errs.OutcomeUnknown)
		redirected := leader != "" && leader != addr
		r.setLeader("")
		if redirected {
			r.setLeader(leader)
		}
		if redirected && !leaderKnown {
			continue // the leader has just become known: try it without a delay
		}
		if !sleep(ctx, retryDelay) {
			return r.outcomeError(errs.Wrap(err, errs.Unavailable, "try again", "%s: no control leader answered", method), maybeApplied)
		}
	}
}

// outcomeError converts an error to kind errs.OutcomeUnknown if an earlier attempt may have been applied.
func (r *RemoteClient) outcomeError(err error, maybeApplied bool) error {
	if !maybeApplied {
		return err
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "send the same command again", "the command may be applied")
}

// target returns the address of the known leader, or otherwise the replicas one after the other.
func (r *RemoteClient) target(i int) (addr string, leaderKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader != "" {
		return r.leader, true
	}
	return r.replicas[i%len(r.replicas)], false
}

func (r *RemoteClient) setLeader(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = addr
}
