package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/policy"
)

// EmitFunc receives the pieces of a stream in order, without gap or repetition. Its error cancels the work. The
// chunk's Data is valid only during the call.
type EmitFunc func(backend.Chunk) error

// DoStream runs customer work on an engine as a stream. It returns without error only after the end mark; the
// caller writes its own. Its errors are *Error.
func (d *Dispatcher) DoStream(ctx context.Context, w Request, emit EmitFunc) (Response, error) {
	r := d.newRun(&w, policy.Customer)
	return r.stream(ctx, emit)
}

// Generate implements Generator.
func (d *Dispatcher) Generate(ctx context.Context, o Rollout) (RolloutResult, error) {
	w := Request{
		Row: o.Row, RequestID: uuid.Must(uuid.NewV7()).String(), Method: http.MethodPost,
		Path: "/v1/chat/completions", ContentType: "application/json", Body: o.Body,
	}
	r := d.newRun(&w, policy.Trainer)
	r.minVersion = max(r.minVersion, o.MinVersion)
	r.seed = &o.Seed
	r.never = o.ExcludedServers
	a, err := r.stream(ctx, func(backend.Chunk) error { return nil })
	if err != nil {
		return RolloutResult{}, err
	}
	return RolloutResult{Text: a.Text, Tokens: a.Tokens, Labels: a.Labels, Server: a.Server, QueuedFor: a.QueuedFor, RanFor: a.RanFor}, nil
}

// relay is what was passed on of a stream over its attempts.
type relay struct {
	run    *run
	emit   EmitFunc
	text   strings.Builder
	tokens int
	labels []api.PieceLabel
	begun  bool            // a piece was passed on
	held   []backend.Chunk // last pieces, passed on only after the end mark
}

func (r *run) stream(ctx context.Context, emit EmitFunc) (Response, error) {
	s := &relay{run: r, emit: emit}
	var l *lease
	for {
		if l == nil {
			var err error
			if l, err = r.acquire(ctx); err != nil {
				return s.answer(nil), r.fail(err)
			}
		}
		next, err := s.attempt(ctx, l)
		if err == nil {
			next.discard()
			l.release()
			return s.answer(l), nil
		}
		again := r.failed(ctx, l, err) && (next != nil || resumable(err))
		l.release()
		if !again {
			next.discard()
			return s.answer(l), r.fail(err)
		}
		l = next
	}
}

// discard returns a slot that is not used after all.
func (l *lease) discard() {
	if l != nil {
		l.release()
	}
}

// resumable reports whether another server may go on. An emit error and a refusal of the request itself end
// the stream.
func resumable(err error) bool {
	f := backend.FailureOf(err)
	if f.Status != 0 && !transient(f.Status) {
		return false
	}
	return !errs.Is(err, errs.Canceled)
}

// attempt runs the stream on one server, from the first token that was not yet passed on. If the server stalled
// and the stream moves, next is the slot on another server.
func (s *relay) attempt(ctx context.Context, l *lease) (next *lease, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.held = s.held[:0]
	body, err := s.run.prepare(prepared{stream: true, text: s.text.String(), tokens: s.tokens})
	if err != nil {
		return nil, &backend.Failure{NotSent: true, Status: http.StatusBadRequest, Err: err}
	}
	m := newMover(s.run, l, cancel)
	err = s.exchange(ctx, l, body, m)
	return m.stop(), err
}

func (s *relay) exchange(ctx context.Context, l *lease, body []byte, m *mover) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = panicError(p)
		}
	}()
	l.awaitFirstToken(true)
	defer l.awaitFirstToken(false)
	start := time.Now()
	stream, err := s.run.d.opts.Backend.Stream(ctx, s.run.request(l, s.run.attemptID(), body), s.tokens)
	if err != nil {
		return err
	}
	defer stream.Close()
	return s.copy(stream, l, start, m)
}

// copy passes the pieces on until the end mark.
func (s *relay) copy(stream *backend.Stream, l *lease, start time.Time, m *mover) error {
	before := s.tokens
	var first time.Time
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return s.end(l, start, first, s.tokens-before)
		}
		if err != nil {
			return err
		}
		if first.IsZero() && c.Tokens > 0 {
			first = time.Now()
			s.firstToken(l, first.Sub(start))
		}
		m.progress(c.Tokens)
		if err := s.pass(c); err != nil {
			return err
		}
	}
}

// firstToken notes the first token of an attempt.
func (s *relay) firstToken(l *lease, after time.Duration) {
	r := s.run
	l.awaitFirstToken(false)
	r.d.learnFirstToken(r.work.Row.Name, len(r.work.Body), after)
	if m := r.d.opts.Metrics; m != nil && s.tokens == 0 {
		m.FirstToken(r.work.Row.Name, r.queued+r.ranFor())
	}
}

// pass passes one piece on. A piece without content that opens a resumed stream was already passed on. The last
// piece is held back: if the end mark does not follow, another server produces it anew.
func (s *relay) pass(c backend.Chunk) error {
	if err := s.run.checkVersions(c.Pieces); err != nil && s.tokens == 0 {
		return err
	}
	if c.FinishReason != "" || len(s.held) > 0 {
		c.Data = append([]byte(nil), c.Data...)
		s.held = append(s.held, c)
		return nil
	}
	if s.begun && c.Tokens == 0 && c.Text == "" {
		s.labels = append(s.labels, c.Pieces...)
		return nil
	}
	return s.deliver(c)
}

func (s *relay) deliver(c backend.Chunk) error {
	s.begun = true
	s.text.WriteString(c.Text)
	s.tokens += c.Tokens
	s.labels = append(s.labels, c.Pieces...)
	if err := s.emit(c); err != nil {
		return &backend.Failure{Err: errs.Wrap(err, errs.Canceled, "resend the request", "caller left")}
	}
	return nil
}

// end passes the held pieces on and notes the attempt.
func (s *relay) end(l *lease, start, first time.Time, tokens int) error {
	if len(s.held) == 0 {
		return &backend.Failure{Err: errs.New(errs.TruncatedAnswer, "resend the request", "stream ended without a finish reason")}
	}
	for _, c := range s.held {
		c.NextBuffered = true // the end follows at once
		if err := s.deliver(c); err != nil {
			return err
		}
		tokens += c.Tokens
	}
	firstToken := first.Sub(start)
	if first.IsZero() {
		firstToken = time.Since(start)
	}
	s.run.succeeded(l, policy.Measurement{TimeToFirstToken: firstToken, DecodeSpeed: speed(tokens, time.Since(start)-firstToken)})
	return nil
}

// speed is zero if too few tokens were generated to measure it.
func speed(tokens int, took time.Duration) float64 {
	const enough = 4
	if tokens < enough || took <= 0 {
		return 0
	}
	return float64(tokens-1) / took.Seconds()
}

func (s *relay) answer(l *lease) Response {
	a := Response{
		Status: http.StatusOK, Text: s.text.String(), Tokens: s.tokens, Labels: s.labels,
		Attempts: s.run.attempts, QueuedFor: s.run.queued, RanFor: s.run.ranFor(),
	}
	if l != nil {
		a.Server = l.server.ID()
	}
	return a
}
