package control

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
)

// Replica is the local member of the consensus group. Errors of Propose are of kind errs.NotLeader or errs.Unavailable
// if the command was certainly not applied, and errs.OutcomeUnknown otherwise; on success it returns the result of
// StateMachine.Apply. ReadIndex returns once the local StateMachine has applied everything that was committed when it
// was called.
type Replica interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	ReadIndex(ctx context.Context) (uint64, error)
	LeaderAddress() string // QUIC address; empty if unknown
	IsLeader() bool
}

// RPCFunc sends a request to another VM and returns the response. An error of kind errs.Unavailable means that the
// request certainly did not arrive.
type RPCFunc func(ctx context.Context, addr, method string, request []byte) ([]byte, error)

// Handler handles a request from another VM.
type Handler = func(ctx context.Context, request []byte) ([]byte, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	Machine   *StateMachine
	Replica   Replica
	SendRPC   RPCFunc
	Clock     func() time.Duration // monotonic
	WallClock func() time.Time     // time.Now if nil
	Events    *events.Recorder
	Metrics   *metrics.Metrics // may be nil
}

// Server handles control requests on a VM that runs a control replica.
type Server struct {
	opts ServerOptions

	mu                  sync.Mutex
	waiters             []chan error // long polls that wait for the next confirmed read
	presence            presence
	pendingPropagations []pendingPropagation
	reports             shareReports
	confirmNow          chan struct{}
}

// NewServer returns a server. Long polls are answered only while Run is running.
func NewServer(opts ServerOptions) *Server {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	return &Server{opts: opts, presence: newPresence(), reports: shareReports{}, confirmNow: make(chan struct{}, 1)}
}

// Handlers returns the request handlers by method.
func (s *Server) Handlers() map[string]Handler {
	return map[string]Handler{
		MethodDo:          s.handleDo,
		MethodStep:        s.handleStep,
		MethodWatch:       s.handleWatch,
		MethodPresence:    s.handlePresence,
		MethodHistory:     s.handleHistory,
		MethodCall:        s.handleCalls,
		MethodSteps:       s.handleSteps,
		MethodPropagation: s.handlePropagation,
	}
}

// Run confirms reads for the long polls and exchanges VM presence with the other replicas until ctx is done.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.confirmLoop(ctx) })
	wg.Go(func() { s.presenceLoop(ctx) })
	wg.Wait()
}

func (s *Server) handleDo(ctx context.Context, request []byte) ([]byte, error) {
	var c Command
	if err := Decode(request, &c); err != nil {
		return encodeResponse(nil, err, "")
	}
	res, err := s.propose(ctx, c)
	return encodeResponse(res, err, s.opts.Replica.LeaderAddress())
}

// propose sets the time of the command and waits for its result.
func (s *Server) propose(ctx context.Context, c Command) (Result, error) {
	if !s.opts.Replica.IsLeader() {
		return Result{}, errs.New(errs.NotLeader, "send the command to the leader", "this replica is not the leader")
	}
	c.ProposedAt = s.opts.WallClock().UTC()
	data, err := EncodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	encoded, err := s.opts.Replica.Propose(ctx, data)
	if err != nil {
		return Result{}, proposeError(err)
	}
	res, err := DecodeResult(encoded)
	if err != nil {
		return Result{}, errs.Wrap(err, errs.OutcomeUnknown, "send the command again", "the result cannot be read")
	}
	s.observe(c, res)
	return res, nil
}

// proposeError keeps the error kinds that say whether a command was applied. All other errors become
// errs.OutcomeUnknown.
func proposeError(err error) error {
	switch errs.KindOf(err) {
	case errs.NotLeader, errs.Unavailable, errs.PayloadTooLarge, errs.InvalidArgument, errs.OutcomeUnknown:
		return err
	default:
		return errs.Wrap(err, errs.OutcomeUnknown, "send the command again", "the command may be applied")
	}
}

// observe records events and metrics for commands that change what operators see.
func (s *Server) observe(c Command, res Result) {
	switch {
	case c.EditRow != nil:
		s.observeEdit(*c.EditRow, res)
	case c.PublishWeights != nil && res.Accepted:
		s.opts.Events.Record(events.Event{Name: events.WeightsPublished, Detail: c.PublishWeights.Model})
	case c.OpenStep != nil && res.Accepted:
		s.opts.Events.Record(events.Event{Name: events.StepOpened, Row: c.OpenStep.ID.Row})
	}
}

func (s *Server) observeEdit(e EditRow, res Result) {
	what := "accepted"
	switch {
	case e.DryRun:
		return
	case res.Replayed:
		what = "replayed"
	case res.ErrorKind == string(errs.Conflict):
		what = "conflict"
		s.opts.Events.Record(events.Event{Name: events.EditConflict, Row: e.Row.Name, Detail: e.Operator})
	case res.ErrorKind != "":
		what = "rejected"
	default:
		s.opts.Events.Record(events.Event{Name: events.EditAccepted, Row: e.Row.Name, Detail: e.Operator})
		s.trackPropagation(res.Index)
	}
	if s.opts.Metrics != nil {
		s.opts.Metrics.Edit(what)
	}
}

func (s *Server) readIndex(ctx context.Context) error {
	_, err := s.opts.Replica.ReadIndex(ctx)
	if err == nil {
		return nil
	}
	if errs.Is(err, errs.NotLeader) {
		return err
	}
	return errs.Wrap(err, errs.Unavailable, "ask another replica", "the read cannot be confirmed")
}

// read handles a read-only request after a read index has confirmed that the local state is current.
func read[Q any, R any](s *Server, ctx context.Context, request []byte, f func(Q) (R, error)) ([]byte, error) {
	var q Q
	if err := Decode(request, &q); err != nil {
		return encodeResponse(nil, err, "")
	}
	if err := s.readIndex(ctx); err != nil {
		return encodeResponse(nil, err, s.opts.Replica.LeaderAddress())
	}
	r, err := f(q)
	return encodeResponse(r, err, s.opts.Replica.LeaderAddress())
}

func (s *Server) handleStep(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(id StepID) (StepView, error) {
		v, ok := s.opts.Machine.Step(id, s.opts.WallClock())
		if !ok {
			return v, stepNotFound(id).Err()
		}
		return v, nil
	})
}

func (s *Server) handleHistory(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(q HistoryRequest) ([]RowChange, error) {
		list := s.opts.Machine.History(q.Row, q.Limit)
		if len(list) == 0 {
			return nil, errs.New(errs.NotFound, "check the name", "row %q has no history", q.Row)
		}
		return list, nil
	})
}

const maxListedCalls = 1000

func (s *Server) handleCalls(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(q CallsRequest) ([]CallView, error) {
		if q.Key == (uuid.UUID{}) {
			return s.opts.Machine.Calls(q.Row, min(max(q.Limit, 0), maxListedCalls)), nil
		}
		v, ok := s.opts.Machine.Call(q.Key)
		if !ok {
			return nil, errs.New(errs.NotFound, "check the key; records are kept for 24 h", "key %s has no record", q.Key)
		}
		return []CallView{v}, nil
	})
}

func (s *Server) handleSteps(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(q StepsRequest) ([]StepView, error) {
		out := []StepView{}
		for _, v := range s.opts.Machine.Steps(s.opts.WallClock()) {
			if q.Row == "" || q.Row == v.ID.Row {
				v.Finished = nil
				out = append(out, v)
			}
		}
		return out, nil
	})
}

func (s *Server) handlePropagation(ctx context.Context, request []byte) ([]byte, error) {
	var q PropagationRequest
	if err := Decode(request, &q); err != nil {
		return encodeResponse(nil, err, "")
	}
	a, err := s.Propagation(ctx, q.Version)
	return encodeResponse(a, err, s.opts.Replica.LeaderAddress())
}

// proposeVMLost proposes that a VM incarnation is lost. Failures are ignored: the next round proposes it again for as
// long as the incarnation owns anything.
func (s *Server) proposeVMLost(ctx context.Context, vm api.VMID, number uint64) {
	res, err := s.propose(ctx, Command{VMLost: &VMLost{VM: vm, Incarnation: number}})
	if err == nil && res.Count > 0 {
		s.opts.Events.Record(events.Event{Name: events.VMLost, Peer: vm})
	}
}
