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

// attemptTimeout bounds the wait for one VM, so that a VM that hangs does not use up the whole time.
const attemptTimeout = 10 * time.Second

// Client calls the operator API of the first VM in its list that answers. It is safe for concurrent use.
type Client struct {
	transport *transport.Client
	servers   []string

	mu    sync.Mutex
	first int // index of the server that answered last
}

// NewClient returns a client that tries servers (IP:port) in turn, starting with the one that answered last.
func NewClient(t *transport.Client, servers []string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errs.New(errs.InvalidArgument, "give --server IP:PORT or set FILBERTLEDGE_SERVER", "no VM to connect to")
	}
	return &Client{transport: t, servers: servers}, nil
}

// rounds is how often the list of servers is tried. The second round covers a lost packet or a VM that was busy.
const (
	rounds     = 2
	roundPause = 200 * time.Millisecond
)

// call tries the servers in turn. All methods that go through it may be resent: they read, or they carry an edit
// id, or repeating them changes nothing. If an attempt may have run and no later one answered, the kind is
// OutcomeUnknown.
func call[Q, R any](ctx context.Context, c *Client, method string, q Q) (R, error) {
	c.mu.Lock()
	first := c.first
	c.mu.Unlock()
	var last, open error
	for i := range rounds * len(c.servers) {
		if i > 0 && i%len(c.servers) == 0 {
			time.Sleep(roundPause)
		}
		at := (first + i) % len(c.servers)
		answer, err := attempt[Q, R](ctx, c, c.servers[at], method, q)
		if err == nil || !tryNext(err) {
			c.mu.Lock()
			c.first = at
			c.mu.Unlock()
			return answer, err
		}
		if errs.Is(err, errs.OutcomeUnknown) {
			open = err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	var none R
	if open != nil {
		return none, open
	}
	if len(c.servers) > 1 {
		last = errs.Wrap(last, errs.KindOf(last), "", "none of %d VMs answered; the last", len(c.servers))
	}
	return none, last
}

func attempt[Q, R any](ctx context.Context, c *Client, addr, method string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return transport.Call[Q, R](ctx, c.transport, addr, method, q)
}

// tryNext reports whether another VM could answer. The VM itself may lack a quorum or a leader.
func tryNext(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.OutcomeUnknown, errs.NotLeader, errs.DeadlineExceeded, errs.StaleTable, errs.Overloaded:
		return true
	}
	return false
}

// Edit sends an edit. If the state machine refused it, the error has its kind and the result holds the row as
// it is. An error of kind OutcomeUnknown leaves open whether the edit was accepted; resend it with the same id.
func (c *Client) Edit(ctx context.Context, q EditRequest) (EditResult, error) {
	result, err := call[EditRequest, EditResult](ctx, c, MethodEdit, q)
	if err != nil {
		return result, err
	}
	if result.ErrorKind != "" {
		return result, errs.New(result.ErrorKind, result.Remedy, "%s", result.Message)
	}
	return result, nil
}

// Table returns the newest confirmed table of the VM that answers.
func (c *Client) Table(ctx context.Context) (TableView, error) {
	return call[Empty, TableView](ctx, c, MethodTable, Empty{})
}

// History returns the newest changes of a row, newest first. Zero limit returns all that are kept.
func (c *Client) History(ctx context.Context, row api.RowName, limit int) ([]control.RowChange, error) {
	return call[HistoryRequest, []control.RowChange](ctx, c, MethodHistory, HistoryRequest{Row: row, Limit: limit})
}

// Propagation returns the VMs that may still use a table older than version. With wait it blocks until there are
// none or an attempt times out; the caller repeats it.
func (c *Client) Propagation(ctx context.Context, version uint64, wait bool) ([]api.VM, error) {
	answer, err := call[PropagationRequest, PropagationResponse](ctx, c, MethodPropagation, PropagationRequest{Version: version, Wait: wait})
	return answer.PendingVMs, err
}

// Status returns the status of the VM that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Empty, Status](ctx, c, MethodStatus, Empty{})
}

// Servers returns the backend servers that the VM that answers knows.
func (c *Client) Servers(ctx context.Context) ([]ServerView, error) {
	return call[Empty, []ServerView](ctx, c, MethodServers, Empty{})
}

// Timeline returns the merged events of all VMs that the VM that answers knows.
func (c *Client) Timeline(ctx context.Context, f events.Filter) (Timeline, error) {
	return call[TimelineRequest, Timeline](ctx, c, MethodTimeline, TimelineRequest{Filter: f})
}

// Calls returns records of non-idempotent calls.
func (c *Client) Calls(ctx context.Context, q control.CallsRequest) ([]control.CallView, error) {
	return call[control.CallsRequest, []control.CallView](ctx, c, MethodCalls, q)
}

// Steps returns the steps of a row, or of all rows if row is empty, without their samples.
func (c *Client) Steps(ctx context.Context, row api.RowName) ([]control.StepView, error) {
	answer, err := call[SamplesRequest, SamplesResponse](ctx, c, MethodSamples, SamplesRequest{Row: row})
	return answer.Steps, err
}

// Step returns one step with its finished samples.
func (c *Client) Step(ctx context.Context, id control.StepID) (control.StepView, error) {
	answer, err := call[SamplesRequest, SamplesResponse](ctx, c, MethodSamples, SamplesRequest{Row: id.Row, Step: &id.Step})
	if err != nil {
		return control.StepView{}, err
	}
	if len(answer.Steps) != 1 {
		return control.StepView{}, errs.New(errs.NotFound, "list the steps with filbertledge samples", "step %d of row %q does not exist", id.Step, id.Row)
	}
	return answer.Steps[0], nil
}

// StatusAt returns the status of the VM at one address.
func (c *Client) StatusAt(ctx context.Context, addr string) (Status, error) {
	return attempt[Empty, Status](ctx, c, addr, MethodStatus, Empty{})
}

// Drain starts the graceful shutdown of the VM at addr.
func (c *Client) Drain(ctx context.Context, addr string) error {
	_, err := attempt[Empty, Empty](ctx, c, addr, MethodDrain, Empty{})
	return err
}

// Shutdown ends the VM at addr without waiting for running requests.
func (c *Client) Shutdown(ctx context.Context, addr string) error {
	_, err := attempt[Empty, Empty](ctx, c, addr, MethodShutdown, Empty{})
	return err
}

// Address returns the address of the VM with that name, or of the first server of the list if name is empty.
func (c *Client) Address(ctx context.Context, name api.VMID) (string, error) {
	if name == "" {
		return c.servers[0], nil
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
