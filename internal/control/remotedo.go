package control

import (
	"context"
	"strconv"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

func versionDetail(v uint64) string { return "version " + strconv.FormatUint(v, 10) }

// Do implements Client. If the state machine refuses the command, Do returns its Result together with
// Result.Err. Errors of kind errs.Unavailable mean that the command is certainly not applied.
func (r *RemoteClient) Do(ctx context.Context, cmd Command) (Result, error) {
	request, err := EncodeCommand(cmd)
	if err != nil {
		return Result{}, err
	}
	var res Result
	if err := r.toLeader(ctx, MethodDo, request, &res); err != nil {
		return Result{}, err
	}
	return res, res.Err()
}

// Step implements Client.
func (r *RemoteClient) Step(ctx context.Context, id StepID) (StepView, error) {
	return query[StepID, StepView](ctx, r, MethodStep, id)
}

// History returns the last edits of a row, newest first.
func (r *RemoteClient) History(ctx context.Context, row api.RowName, limit int) ([]RowChange, error) {
	return query[HistoryRequest, []RowChange](ctx, r, MethodHistory, HistoryRequest{Row: row, Limit: limit})
}

// Calls returns call records as CallsRequest selects them.
func (r *RemoteClient) Calls(ctx context.Context, q CallsRequest) ([]CallView, error) {
	return query[CallsRequest, []CallView](ctx, r, MethodCall, q)
}

// Steps returns the steps of a row, or of all rows if row is empty, without the list of samples.
func (r *RemoteClient) Steps(ctx context.Context, row api.RowName) ([]StepView, error) {
	return query[StepsRequest, []StepView](ctx, r, MethodSteps, StepsRequest{Row: row})
}

// Propagation asks the leader how far a version of the table has spread; zero means the newest.
func (r *RemoteClient) Propagation(ctx context.Context, version uint64) (PropagationResponse, error) {
	var a PropagationResponse
	request, err := Encode(PropagationRequest{Version: version})
	if err != nil {
		return a, err
	}
	return a, r.toLeader(ctx, MethodPropagation, request, &a)
}

// query sends a read to the replicas in turn, as reads have no effect.
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
		if !pause(ctx, retryPause) {
			return result, errs.Wrap(err, errs.Unavailable, "try again", "%s: no control replica answered", method)
		}
	}
}

func (r *RemoteClient) attempt(ctx context.Context, addr, method string, request []byte, v any) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptWait)
	defer cancel()
	data, err := r.o.SendRPC(ctx, addr, method, request)
	if err != nil {
		if errs.Is(err, errs.Unavailable) {
			return "", err
		}
		return "", errs.Wrap(err, errs.OutcomeUnknown, "send it again", "%s to %s", method, addr)
	}
	return decodeAnswer(data, v)
}

func retriable(err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader, errs.Unavailable, errs.OutcomeUnknown, errs.DeadlineExceeded, errs.Canceled:
		return true
	default:
		return false
	}
}

// toLeader sends a request until the leader has answered it or ctx ends. Each replica that is not the leader
// names it. Once one attempt has left its outcome open, a later failure cannot be reported as not applied.
func (r *RemoteClient) toLeader(ctx context.Context, method string, request []byte, v any) error {
	open := false
	for i := 0; ; i++ {
		addr, hinted := r.target(i)
		leader, err := r.attempt(ctx, addr, method, request, v)
		if err == nil {
			r.setLeader(addr)
			return nil
		}
		if !retriable(err) {
			return r.settle(err, open)
		}
		open = open || errs.Is(err, errs.OutcomeUnknown)
		next := leader != "" && leader != addr
		r.setLeader("")
		if next {
			r.setLeader(leader)
		}
		if next && !hinted {
			continue // the hint is new: follow it at once
		}
		if !pause(ctx, retryPause) {
			return r.settle(errs.Wrap(err, errs.Unavailable, "try again", "%s: no control leader answered", method), open)
		}
	}
}

// settle turns a failure into errs.OutcomeUnknown if an earlier attempt may have been applied.
func (r *RemoteClient) settle(err error, open bool) error {
	if !open {
		return err
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "send the same command again", "the command may be applied")
}

// target returns the known leader, or the replicas in turn.
func (r *RemoteClient) target(i int) (addr string, hinted bool) {
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
