package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/pki"
	"filbertledge/internal/table"
	"filbertledge/internal/transport"
)

// Options connects the operator API to the VM that serves it.
type Options struct {
	VM      api.VMID
	Control control.Client
	Records Records
	Events  *events.Recorder
	Peers   PeerClient // sends requests to other VMs
	Servers func() []ServerView
	Status  func() Status
	// Propagation returns the VMs that may still use a table older than version.
	Propagation func(ctx context.Context, version uint64) (missing []api.VM, err error)
	// Drain starts a graceful shutdown without waiting for it.
	Drain func()
	// Shutdown initiates the end of the process without waiting for running requests.
	Shutdown func()
}

// Records reads the data that the control replicas store besides the table. *control.RemoteClient implements it.
type Records interface {
	// History returns the most recent changes of a row, newest first. If limit is zero, it returns all retained
	// changes.
	History(ctx context.Context, row api.RowName, limit int) ([]control.RowChange, error)
	Calls(ctx context.Context, q control.CallsRequest) ([]control.CallView, error)
	// Steps returns the steps of a row, or of all rows if row is empty, without their samples.
	Steps(ctx context.Context, row api.RowName) ([]control.StepView, error)
}

// PeerClient sends requests to other VMs. *transport.Client implements it.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, request []byte) ([]byte, error)
}

// apiServer holds the handlers of the operator API.
type apiServer struct {
	opts Options
}

// Register adds the handlers of the operator API and of events.query to a transport server.
func Register(t *transport.Server, o Options) {
	s := &apiServer{opts: o}
	transport.Handle(t, MethodEdit, pki.RoleOperator, s.edit)
	transport.Handle(t, MethodTable, pki.RoleOperator, s.table)
	transport.Handle(t, MethodHistory, pki.RoleOperator, s.history)
	transport.Handle(t, MethodPropagation, pki.RoleOperator, s.propagation)
	transport.Handle(t, MethodStatus, pki.RoleOperator, s.status)
	transport.Handle(t, MethodServers, pki.RoleOperator, s.servers)
	transport.Handle(t, MethodTimeline, pki.RoleOperator, s.timeline)
	transport.Handle(t, MethodCalls, pki.RoleOperator, s.calls)
	transport.Handle(t, MethodSamples, pki.RoleOperator, s.samples)
	transport.Handle(t, MethodDrain, pki.RoleOperator, s.drain)
	transport.Handle(t, MethodShutdown, pki.RoleOperator, s.shutdown)
	transport.Handle(t, MethodEvents, pki.RoleAny, s.events)
}

// editIDVersion is the UUID version of edit ids.
const editIDVersion = 7

func (s *apiServer) edit(ctx context.Context, peer transport.Peer, request EditRequest) (EditResult, error) {
	if request.EditID.Version() != editIDVersion {
		return EditResult{}, errs.New(errs.InvalidArgument, "use a UUID version 7", "edit id %s has version %d", request.EditID, request.EditID.Version())
	}
	edit := control.EditRow{
		EditID: request.EditID, ExpectedVersion: request.ExpectedVersion, Row: request.Row, Operator: peer.Name, DryRun: request.DryRun,
	}
	result, err := s.opts.Control.Do(ctx, control.Command{EditRow: &edit})
	response, err := editResult(result, err)
	if request.DryRun {
		response.TableVersion = 0
		return response, err
	}
	if err == nil && response.ErrorKind == "" {
		s.waitForOwnTable(ctx, *response.Row)
	}
	return response, err
}

const (
	// ownTableTimeout limits how long the response to an accepted edit waits for this VM's own copy of the table.
	ownTableTimeout      = 2 * time.Second
	ownTablePollInterval = 5 * time.Millisecond
)

// waitForOwnTable waits until this VM's own copy of the table contains the edited row, so that the operator's next edit
// does not start from the previous version of the row. The edit has been accepted even if the wait times out.
func (s *apiServer) waitForOwnTable(ctx context.Context, row table.Row) {
	ctx, cancel := context.WithTimeout(ctx, ownTableTimeout)
	defer cancel()
	for {
		current, exists := s.opts.Control.Table().Row(row.Name)
		if current.Version >= row.Version && exists != row.Deleted {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownTablePollInterval):
		}
	}
}

// editResult distinguishes a refusal by the state machine, which becomes a result with the current row, from a failure
// to reach the state machine, which stays an error.
func editResult(result control.Result, err error) (EditResult, error) {
	response := EditResult{TableVersion: result.Index, Row: result.Row, Replayed: result.Replayed}
	if result.ErrorKind != "" {
		response.ErrorKind, response.Message, response.Remedy = errs.Kind(result.ErrorKind), result.Error, result.Remedy
		return response, nil
	}
	return response, err
}

func (s *apiServer) table(context.Context, transport.Peer, Empty) (TableView, error) {
	snapshot := s.opts.Control.Table()
	return TableView{Version: snapshot.Version(), LeaseValid: s.opts.Control.TableLeaseValid(), VM: s.opts.VM, Rows: snapshot.SortedRows()}, nil
}

func (s *apiServer) history(ctx context.Context, _ transport.Peer, request HistoryRequest) ([]control.RowChange, error) {
	return s.opts.Records.History(ctx, request.Row, request.Limit)
}

const (
	propagationPollInterval = 50 * time.Millisecond
	// responseMargin is the part of the client's deadline that is reserved for the response to arrive.
	responseMargin = 200 * time.Millisecond
)

// propagation polls until all VMs use the requested version or a newer one, or until the client's deadline is near.
// While waiting, it retries failed polls.
func (s *apiServer) propagation(ctx context.Context, _ transport.Peer, request PropagationRequest) (PropagationResponse, error) {
	deadline, hasDeadline := ctx.Deadline()
	for {
		pending, err := s.opts.Propagation(ctx, request.Version)
		deadlineNear := hasDeadline && time.Until(deadline) < responseMargin
		if err == nil && (len(pending) == 0 || !request.Wait || deadlineNear) {
			return PropagationResponse{PendingVMs: pending}, nil
		}
		if err != nil && (!request.Wait || deadlineNear || ctx.Err() != nil) {
			return PropagationResponse{}, err
		}
		select {
		case <-ctx.Done():
			return PropagationResponse{}, ctx.Err()
		case <-time.After(propagationPollInterval):
		}
	}
}

func (s *apiServer) status(context.Context, transport.Peer, Empty) (Status, error) {
	return s.opts.Status(), nil
}

func (s *apiServer) servers(context.Context, transport.Peer, Empty) ([]ServerView, error) {
	list := s.opts.Servers()
	slices.SortFunc(list, func(a, b ServerView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, nil
}

func (s *apiServer) calls(ctx context.Context, _ transport.Peer, request control.CallsRequest) ([]control.CallView, error) {
	return s.opts.Records.Calls(ctx, request)
}

func (s *apiServer) samples(ctx context.Context, _ transport.Peer, request SamplesRequest) (SamplesResponse, error) {
	if request.Step != nil {
		view, err := s.opts.Control.Step(ctx, control.StepID{Row: request.Row, Step: *request.Step})
		return SamplesResponse{Steps: []control.StepView{view}}, err
	}
	steps, err := s.opts.Records.Steps(ctx, request.Row)
	return SamplesResponse{Steps: steps}, err
}

func (s *apiServer) drain(_ context.Context, peer transport.Peer, _ Empty) (Empty, error) {
	s.opts.Events.Log().WithField("operator", peer.Name).Info("graceful shutdown requested")
	s.opts.Drain()
	return Empty{}, nil
}

// shutdownDelay gives the response time to be sent before the process ends.
const shutdownDelay = 100 * time.Millisecond

func (s *apiServer) shutdown(_ context.Context, peer transport.Peer, _ Empty) (Empty, error) {
	s.opts.Events.Log().WithField("operator", peer.Name).Info("shutdown requested")
	time.AfterFunc(shutdownDelay, s.opts.Shutdown)
	return Empty{}, nil
}
