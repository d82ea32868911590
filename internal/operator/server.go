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

// Options are what the operator API needs from its VM.
type Options struct {
	VM      api.VMID
	Control control.Client
	Records Records
	Events  *events.Recorder
	Peers   PeerClient // to ask other VMs
	Servers func() []ServerView
	Status  func() Status
	// Propagation returns the VMs that may still use a table older than version.
	Propagation func(ctx context.Context, version uint64) (missing []api.VM, err error)
	// Drain starts a graceful shutdown without waiting for it.
	Drain func()
	// Shutdown ends the process soon, without waiting for running requests.
	Shutdown func()
}

// Records reads what the control replicas keep besides the table; *control.Remote is one.
type Records interface {
	// History returns the newest changes of a row, newest first. Zero limit means all that are kept.
	History(ctx context.Context, row api.RowName, limit int) ([]control.RowChange, error)
	Calls(ctx context.Context, q control.CallsRequest) ([]control.CallView, error)
	// Steps returns the steps of a row, or of all rows if row is empty, without their samples.
	Steps(ctx context.Context, row api.RowName) ([]control.StepView, error)
}

// PeerClient sends requests to other VMs; *transport.Client is one.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, request []byte) ([]byte, error)
}

type server struct {
	o Options
}

// Register adds the operator API and events.query to the transport server.
func Register(t *transport.Server, o Options) {
	s := &server{o: o}
	transport.Handle(t, MethodEdit, pki.RoleOperator, s.edit)
	transport.Handle(t, MethodTable, pki.RoleOperator, s.table)
	transport.Handle(t, MethodHistory, pki.RoleOperator, s.history)
	transport.Handle(t, MethodPropagation, pki.RoleOperator, s.reach)
	transport.Handle(t, MethodStatus, pki.RoleOperator, s.status)
	transport.Handle(t, MethodServers, pki.RoleOperator, s.servers)
	transport.Handle(t, MethodTimeline, pki.RoleOperator, s.timeline)
	transport.Handle(t, MethodCalls, pki.RoleOperator, s.calls)
	transport.Handle(t, MethodSamples, pki.RoleOperator, s.samples)
	transport.Handle(t, MethodDrain, pki.RoleOperator, s.drain)
	transport.Handle(t, MethodShutdown, pki.RoleOperator, s.shutdown)
	transport.Handle(t, MethodEvents, pki.RoleAny, s.events)
}

func (s *server) edit(ctx context.Context, peer transport.Peer, q EditRequest) (EditResult, error) {
	if q.EditID.Version() != 7 {
		return EditResult{}, errs.New(errs.InvalidArgument, "use a UUID version 7", "edit id %s has version %d", q.EditID, q.EditID.Version())
	}
	edit := control.EditRow{
		EditID: q.EditID, ExpectedVersion: q.ExpectedVersion, Row: q.Row, Operator: peer.Name, DryRun: q.DryRun,
	}
	result, err := s.o.Control.Do(ctx, control.Command{EditRow: &edit})
	answer, err := editResult(result, err)
	if q.DryRun {
		answer.TableVersion = 0
		return answer, err
	}
	if err == nil && answer.ErrorKind == "" {
		s.awaitRow(ctx, *answer.Row)
	}
	return answer, err
}

const (
	// ownReach bounds the wait of an accepted edit for this VM's own table.
	ownReach     = 2 * time.Second
	ownReachPoll = 5 * time.Millisecond
)

// awaitRow waits until this VM's own table holds the edit, so that an operator's next edit does not start from
// the row before. The edit is accepted in any case.
func (s *server) awaitRow(ctx context.Context, row table.Row) {
	ctx, cancel := context.WithTimeout(ctx, ownReach)
	defer cancel()
	for {
		have, ok := s.o.Control.Table().Row(row.Name)
		if have.Version >= row.Version && ok != row.Deleted {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownReachPoll):
		}
	}
}

// editResult separates refusals of the state machine, which carry the row as it is, from failures to reach it.
func editResult(result control.Result, err error) (EditResult, error) {
	answer := EditResult{TableVersion: result.Index, Row: result.Row, Replayed: result.Replayed}
	if result.ErrorKind != "" {
		answer.ErrorKind, answer.Message, answer.Remedy = errs.Kind(result.ErrorKind), result.Error, result.Remedy
		return answer, nil
	}
	return answer, err
}

func (s *server) table(context.Context, transport.Peer, Empty) (TableView, error) {
	snapshot := s.o.Control.Table()
	return TableView{Version: snapshot.Version(), LeaseValid: s.o.Control.TableLeaseValid(), VM: s.o.VM, Rows: snapshot.SortedRows()}, nil
}

func (s *server) history(ctx context.Context, _ transport.Peer, q HistoryRequest) ([]control.RowChange, error) {
	return s.o.Records.History(ctx, q.Row, q.Limit)
}

const (
	reachPoll = 50 * time.Millisecond
	// reachMargin is left of the caller's deadline for the answer to arrive.
	reachMargin = 200 * time.Millisecond
)

func (s *server) reach(ctx context.Context, _ transport.Peer, q PropagationRequest) (PropagationResponse, error) {
	deadline, limited := ctx.Deadline()
	for {
		missing, err := s.o.Propagation(ctx, q.Version)
		last := limited && time.Until(deadline) < reachMargin
		if err == nil && (len(missing) == 0 || !q.Wait || last) {
			return PropagationResponse{PendingVMs: missing}, nil
		}
		if err != nil && (!q.Wait || last || ctx.Err() != nil) {
			return PropagationResponse{}, err
		}
		select {
		case <-ctx.Done():
			return PropagationResponse{}, ctx.Err()
		case <-time.After(reachPoll):
		}
	}
}

func (s *server) status(context.Context, transport.Peer, Empty) (Status, error) {
	return s.o.Status(), nil
}

func (s *server) servers(context.Context, transport.Peer, Empty) ([]ServerView, error) {
	list := s.o.Servers()
	slices.SortFunc(list, func(a, b ServerView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, nil
}

func (s *server) calls(ctx context.Context, _ transport.Peer, q control.CallsRequest) ([]control.CallView, error) {
	return s.o.Records.Calls(ctx, q)
}

func (s *server) samples(ctx context.Context, _ transport.Peer, q SamplesRequest) (SamplesResponse, error) {
	if q.Step != nil {
		view, err := s.o.Control.Step(ctx, control.StepID{Row: q.Row, Step: *q.Step})
		return SamplesResponse{Steps: []control.StepView{view}}, err
	}
	steps, err := s.o.Records.Steps(ctx, q.Row)
	return SamplesResponse{Steps: steps}, err
}

func (s *server) drain(_ context.Context, peer transport.Peer, _ Empty) (Empty, error) {
	s.o.Events.Log().WithField("operator", peer.Name).Info("graceful shutdown asked for")
	s.o.Drain()
	return Empty{}, nil
}

// shutdownDelay lets the answer leave before the process ends.
const shutdownDelay = 100 * time.Millisecond

func (s *server) shutdown(_ context.Context, peer transport.Peer, _ Empty) (Empty, error) {
	s.o.Events.Log().WithField("operator", peer.Name).Info("shutdown asked for")
	time.AfterFunc(shutdownDelay, s.o.Shutdown)
	return Empty{}, nil
}
