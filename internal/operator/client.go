package operator

import (
	"context"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/transport"
)

// perVMTimeout limits each request to a single VM, so that a hanging VM does not use up the deadline of the whole call.
const perVMTimeout = 10 * time.Second

// Client sends each request to the VMs in its list in turn until one responds, starting with the one that responded
// most recently. It is safe for concurrent use.
type Client struct {
	transport *transport.Client
	addresses []string

	mu    sync.Mutex
	first int // index in addresses of the VM that responded most recently; it is tried first
}

// NewClient returns a client for the VMs at addresses (IP:port).
func NewClient(t *transport.Client, addresses []string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errs.New(errs.InvalidArgument, "give --server IP:PORT or set FILBERTLEDGE_SERVER", "no VM to connect to")
	}
	return &Client{transport: t, addresses: addresses}, nil
}

const (
	// maxRounds limits how often the whole list of VMs is tried. The second round covers a lost packet or a temporarily
	// overloaded VM.
	maxRounds = 2
	// roundDelay is the delay between two rounds.
	roundDelay = 200 * time.Millisecond
)

// callAnyVM tries the VMs in turn until one responds. Use it only for methods that are safe to resend: reads, edits
// with an edit id, and other idempotent methods. If an attempt may have been executed and no later attempt got a
// response, the error has the kind OutcomeUnknown.
func callAnyVM[Q, R any](ctx context.Context, c *Client, method string, request Q) (R, error) {
	c.mu.Lock()
	first := c.first
	c.mu.Unlock()
	var lastErr, unknownOutcome error
	for i := range maxRounds * len(c.addresses) {
		if i > 0 && i%len(c.addresses) == 0 {
			time.Sleep(roundDelay)
		}
		index := (first + i) % len(c.addresses)
		response, err := callVM[Q, R](ctx, c, c.addresses[index], method, request)
		if err == nil || !shouldTryNextVM(err) {
			c.mu.Lock()
			c.first = index
			c.mu.Unlock()
			return response, err
		}
		if errs.Is(err, errs.OutcomeUnknown) {
			unknownOutcome = err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	var zero R
	if unknownOutcome != nil {
		return zero, unknownOutcome
	}
	if len(c.addresses) > 1 {
		lastErr = errs.Wrap(lastErr, errs.KindOf(lastErr), "", "none of %d VMs answered; the last", len(c.addresses))
	}
	return zero, lastErr
}

func callVM[Q, R any](ctx context.Context, c *Client, addr, method string, request Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, perVMTimeout)
	defer cancel()
	return transport.Call[Q, R](ctx, c.transport, addr, method, request)
}

// shouldTryNextVM reports whether another VM may succeed where this one failed, for example because this VM has no
// connection to the quorum or to the leader.
func shouldTryNextVM(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.OutcomeUnknown, errs.NotLeader, errs.DeadlineExceeded, errs.StaleTable, errs.Overloaded:
		return true
	}
	return false
}

// Edit sends an edit. If the state machine refused it, Edit returns an error of that kind, and the result holds the
// current row. After an error of kind OutcomeUnknown the edit may have been accepted; resend it with the same edit id.
func (c *Client) Edit(ctx context.Context, request EditRequest) (EditResult, error) {
	result, err := callAnyVM[EditRequest, EditResult](ctx, c, MethodEdit, request)
	if err != nil {
		return result, err
	}
	if result.ErrorKind != "" {
		return result, errs.New(result.ErrorKind, result.Remedy, "%s", result.Message)
	}
	return result, nil
}

// Table returns the newest table that the responding VM has confirmed.
func (c *Client) Table(ctx context.Context) (TableView, error) {
	return callAnyVM[Empty, TableView](ctx, c, MethodTable, Empty{})
}

// History returns the most recent changes of a row, newest first. If limit is zero, it returns all retained changes.
func (c *Client) History(ctx context.Context, row api.RowName, limit int) ([]control.RowChange, error) {
	return callAnyVM[HistoryRequest, []control.RowChange](ctx, c, MethodHistory, HistoryRequest{Row: row, Limit: limit})
}

// Propagation returns the VMs that may still use a table older than version. If wait is set, it blocks until there are
// none or the request to a VM times out; call it again to wait longer.
func (c *Client) Propagation(ctx context.Context, version uint64, wait bool) ([]api.VM, error) {
	response, err := callAnyVM[PropagationRequest, PropagationResponse](ctx, c, MethodPropagation, PropagationRequest{Version: version, Wait: wait})
	return response.PendingVMs, err
}

// Status returns the status of the responding VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return callAnyVM[Empty, Status](ctx, c, MethodStatus, Empty{})
}

// Servers returns the backend servers that the responding VM knows.
func (c *Client) Servers(ctx context.Context) ([]ServerView, error) {
	return callAnyVM[Empty, []ServerView](ctx, c, MethodServers, Empty{})
}

// Timeline returns the merged events of all VMs that the responding VM knows.
func (c *Client) Timeline(ctx context.Context, filter events.Filter) (Timeline, error) {
	return callAnyVM[TimelineRequest, Timeline](ctx, c, MethodTimeline, TimelineRequest{Filter: filter})
}

// Calls returns the stored records of non-idempotent calls.
func (c *Client) Calls(ctx context.Context, request control.CallsRequest) ([]control.CallView, error) {
	return callAnyVM[control.CallsRequest, []control.CallView](ctx, c, MethodCalls, request)
}

// Steps returns the steps of a row, or of all rows if row is empty, without their samples.
func (c *Client) Steps(ctx context.Context, row api.RowName) ([]control.StepView, error) {
	response, err := callAnyVM[SamplesRequest, SamplesResponse](ctx, c, MethodSamples, SamplesRequest{Row: row})
	return response.Steps, err
}

// Step returns one step, including its finished samples.
func (c *Client) Step(ctx context.Context, id control.StepID) (control.StepView, error) {
	response, err := callAnyVM[SamplesRequest, SamplesResponse](ctx, c, MethodSamples, SamplesRequest{Row: id.Row, Step: &id.Step})
	if err != nil {
		return control.StepView{}, err
	}
	if len(response.Steps) != 1 {
		return control.StepView{}, errs.New(errs.NotFound, "list the steps with filbertledge samples", "step %d of row %q does not exist", id.Step, id.Row)
	}
	return response.Steps[0], nil
}

// StatusAt returns the status of the VM at addr.
func (c *Client) StatusAt(ctx context.Context, addr string) (Status, error) {
	return callVM[Empty, Status](ctx, c, addr, MethodStatus, Empty{})
}

// Drain starts the graceful shutdown of the VM at addr.
func (c *Client) Drain(ctx context.Context, addr string) error {
	_, err := callVM[Empty, Empty](ctx, c, addr, MethodDrain, Empty{})
	return err
}

// Shutdown stops the VM at addr without waiting for running requests.
func (c *Client) Shutdown(ctx context.Context, addr string) error {
	_, err := callVM[Empty, Empty](ctx, c, addr, MethodShutdown, Empty{})
	return err
}

// Address returns the address of the named VM, or the first address in the client's list if name is empty.
func (c *Client) Address(ctx context.Context, name api.VMID) (string, error) {
	if name == "" {
		return c.addresses[0], nil
	}
	status, err := c.Status(ctx)
	if err != nil {
		return "", err
	}
	for _, vm := range append(status.VMs, status.VM) {
		if vm.ID == name {
			return vm.Address, nil
		}
	}
	return "", errs.New(errs.NotFound, "list the VMs with filbertledge status", "VM %q is not known", name)
}
