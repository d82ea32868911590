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

// Replica is the agreement that a Server needs. Propose returns the result of Machine.Apply; its errors are of
// kinds errs.NotLeader and errs.Unavailable when the command is certainly not applied, and errs.OutcomeUnknown
// otherwise. ReadIndex returns when the local Machine has applied everything that was committed at the call.
type Replica interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	ReadIndex(ctx context.Context) (uint64, error)
	LeaderAddress() string // QUIC address, empty if unknown
	IsLeader() bool
}

// RPCFunc sends a request to another VM and returns its answer. An error of kind errs.Unavailable means that
// the request certainly did not arrive.
type RPCFunc func(ctx context.Context, addr, method string, request []byte) ([]byte, error)

// Handler answers one request of another VM.
type Handler = func(ctx context.Context, request []byte) ([]byte, error)

// ServerOptions configure a Server.
type ServerOptions struct {
	Machine   *StateMachine
	Replica   Replica
	SendRPC   RPCFunc
	Clock     func() time.Duration // monotonic
	WallClock func() time.Time     // nil: time.Now
	Events    *events.Recorder
	Metrics   *metrics.Metrics // may be nil
}

// Server is the control side of a VM with a replica.
type Server struct {
	o ServerOptions

	mu       sync.Mutex
	waiters  []chan error // watchers that wait for the next confirmed read
	presence presence
	reaches  []reach
	reports  shareReports
	wake     chan struct{}
}

// NewServer returns a server. Run must run for table.watch to answer.
func NewServer(o ServerOptions) *Server {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	return &Server{o: o, presence: newPresence(), reports: shareReports{}, wake: make(chan struct{}, 1)}
}

// Handlers returns the handlers by method.
func (s *Server) Handlers() map[string]Handler {
	return map[string]Handler{
		MethodDo:          s.handleDo,
		MethodStep:        s.handleStep,
		MethodWatch:       s.handleWatch,
		MethodPresence:    s.handlePresence,
		MethodHistory:     s.handleHistory,
		MethodCall:        s.handleCalls,
		MethodSteps:       s.handleSteps,
		MethodPropagation: s.handleReach,
	}
}

// Run confirms reads for watchers and exchanges presence until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.confirmLoop(ctx) })
	wg.Go(func() { s.presenceLoop(ctx) })
	wg.Wait()
}

func (s *Server) handleDo(ctx context.Context, request []byte) ([]byte, error) {
	var c Command
	if err := Decode(request, &c); err != nil {
		return encodeAnswer(nil, err, "")
	}
	res, err := s.propose(ctx, c)
	return encodeAnswer(res, err, s.o.Replica.LeaderAddress())
}

// propose stamps the command with the leader's time and waits for its result.
func (s *Server) propose(ctx context.Context, c Command) (Result, error) {
	if !s.o.Replica.IsLeader() {
		return Result{}, errs.New(errs.NotLeader, "send the command to the leader", "this replica is not the leader")
	}
	c.ProposedAt = s.o.WallClock().UTC()
	data, err := EncodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	answer, err := s.o.Replica.Propose(ctx, data)
	if err != nil {
		return Result{}, proposeError(err)
	}
	res, err := DecodeResult(answer)
	if err != nil {
		return Result{}, errs.Wrap(err, errs.OutcomeUnknown, "send the command again", "the result cannot be read")
	}
	s.observe(c, res)
	return res, nil
}

// proposeError keeps the kinds that say that a command is not applied. Everything else leaves it open.
func proposeError(err error) error {
	switch errs.KindOf(err) {
	case errs.NotLeader, errs.Unavailable, errs.PayloadTooLarge, errs.InvalidArgument, errs.OutcomeUnknown:
		return err
	default:
		return errs.Wrap(err, errs.OutcomeUnknown, "send the command again", "the command may be applied")
	}
}

// observe records the events of commands that change what operators see.
func (s *Server) observe(c Command, res Result) {
	switch {
	case c.EditRow != nil:
		s.observeEdit(*c.EditRow, res)
	case c.PublishWeights != nil && res.Accepted:
		s.o.Events.Record(events.Event{Name: events.WeightsPublished, Detail: c.PublishWeights.Model})
	case c.OpenStep != nil && res.Accepted:
		s.o.Events.Record(events.Event{Name: events.StepOpened, Row: c.OpenStep.ID.Row})
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
		s.o.Events.Record(events.Event{Name: events.EditConflict, Row: e.Row.Name, Detail: e.Operator})
	case res.ErrorKind != "":
		what = "rejected"
	default:
		s.o.Events.Record(events.Event{Name: events.EditAccepted, Row: e.Row.Name, Detail: e.Operator})
		s.startReach(res.Index)
	}
	if s.o.Metrics != nil {
		s.o.Metrics.Edit(what)
	}
}

func (s *Server) readIndex(ctx context.Context) error {
	_, err := s.o.Replica.ReadIndex(ctx)
	if err == nil {
		return nil
	}
	if errs.Is(err, errs.NotLeader) {
		return err
	}
	return errs.Wrap(err, errs.Unavailable, "ask another replica", "the read cannot be confirmed")
}

// read answers a read-only request after a read index.
func read[Q any, R any](s *Server, ctx context.Context, request []byte, f func(Q) (R, error)) ([]byte, error) {
	var q Q
	if err := Decode(request, &q); err != nil {
		return encodeAnswer(nil, err, "")
	}
	if err := s.readIndex(ctx); err != nil {
		return encodeAnswer(nil, err, s.o.Replica.LeaderAddress())
	}
	r, err := f(q)
	return encodeAnswer(r, err, s.o.Replica.LeaderAddress())
}

func (s *Server) handleStep(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(id StepID) (StepView, error) {
		v, ok := s.o.Machine.Step(id, s.o.WallClock())
		if !ok {
			return v, noStep(id).Err()
		}
		return v, nil
	})
}

func (s *Server) handleHistory(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(q HistoryRequest) ([]RowChange, error) {
		list := s.o.Machine.History(q.Row, q.Limit)
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
			return s.o.Machine.Calls(q.Row, min(max(q.Limit, 0), maxListedCalls)), nil
		}
		v, ok := s.o.Machine.Call(q.Key)
		if !ok {
			return nil, errs.New(errs.NotFound, "check the key; records are kept for 24 h", "key %s has no record", q.Key)
		}
		return []CallView{v}, nil
	})
}

func (s *Server) handleSteps(ctx context.Context, request []byte) ([]byte, error) {
	return read(s, ctx, request, func(q StepsRequest) ([]StepView, error) {
		out := []StepView{}
		for _, v := range s.o.Machine.Steps(s.o.WallClock()) {
			if q.Row == "" || q.Row == v.ID.Row {
				v.Finished = nil
				out = append(out, v)
			}
		}
		return out, nil
	})
}

func (s *Server) handleReach(ctx context.Context, request []byte) ([]byte, error) {
	var q PropagationRequest
	if err := Decode(request, &q); err != nil {
		return encodeAnswer(nil, err, "")
	}
	a, err := s.Propagation(ctx, q.Version)
	return encodeAnswer(a, err, s.o.Replica.LeaderAddress())
}

// vmLost proposes that a VM incarnation is lost. A failure is not reported: the next round proposes again as
// long as the incarnation owns anything.
func (s *Server) vmLost(ctx context.Context, vm api.VMID, number uint64) {
	res, err := s.propose(ctx, Command{VMLost: &VMLost{VM: vm, Incarnation: number}})
	if err == nil && res.Count > 0 {
		s.o.Events.Record(events.Event{Name: events.VMLost, Peer: vm})
	}
}
