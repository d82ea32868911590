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

// EmitFunc receives the chunks of a stream in order, without gaps or repetitions. If it returns an error, the request
// is canceled. The chunk's Data is valid only during the call.
type EmitFunc func(backend.Chunk) error

// DoStream runs a customer's request on an engine as a stream. The error is nil only if the stream ended with its end
// marker. The marker is not passed to emit: the calling code writes its own. Errors are of type *Error.
func (d *Dispatcher) DoStream(ctx context.Context, request Request, emit EmitFunc) (Response, error) {
	r := d.newRun(&request, policy.Customer)
	return r.stream(ctx, emit)
}

// Generate implements Generator.
func (d *Dispatcher) Generate(ctx context.Context, rollout Rollout) (RolloutResult, error) {
	request := Request{
		Row: rollout.Row, RequestID: uuid.Must(uuid.NewV7()).String(), Method: http.MethodPost,
		Path: "/v1/chat/completions", ContentType: "application/json", Body: rollout.Body,
	}
	r := d.newRun(&request, policy.Trainer)
	r.minVersion = max(r.minVersion, rollout.MinVersion)
	r.seed = &rollout.Seed
	r.owed = true
	r.excludedServers = rollout.ExcludedServers
	response, err := r.stream(ctx, func(backend.Chunk) error { return nil })
	if err != nil {
		return RolloutResult{}, err
	}
	return RolloutResult{Text: response.Text, Tokens: response.Tokens, Labels: response.Labels, Server: response.Server, QueuedFor: response.QueuedFor, RanFor: response.RanFor}, nil
}

// streamRelay passes the chunks of a stream on and holds what all attempts together have passed on.
type streamRelay struct {
	run        *run
	emit       EmitFunc
	text       strings.Builder
	tokens     int
	labels     []api.PieceLabel
	started    bool            // a chunk was passed on
	heldChunks []backend.Chunk // last chunks, passed on only after the end marker
}

func (r *run) stream(ctx context.Context, emit EmitFunc) (Response, error) {
	s := &streamRelay{run: r, emit: emit}
	var l *lease
	for {
		if l == nil {
			var err error
			if l, err = r.acquire(ctx); err != nil {
				return s.response(nil), r.withOutcome(err)
			}
		}
		next, err := s.attempt(ctx, l)
		if err == nil {
			next.releaseUnused()
			l.release()
			return s.response(l), nil
		}
		retry := r.recordFailure(ctx, l, err) && (next != nil || canResume(err))
		l.release()
		if !retry {
			next.releaseUnused()
			return s.response(l), r.withOutcome(err)
		}
		l = next
	}
}

// releaseUnused frees a slot that is not needed after all. l may be nil.
func (l *lease) releaseUnused() {
	if l != nil {
		l.release()
	}
}

// canResume reports whether the stream may be resumed on another server. It may not after an error of emit and after an
// engine refused the request itself.
func canResume(err error) bool {
	f := backend.FailureOf(err)
	if f.Status != 0 && !isTransient(f.Status) {
		return false
	}
	return !errs.Is(err, errs.Canceled)
}

// attempt runs the stream on one server, starting at the first token that was not passed on yet. If the server stalled
// and the stream moves, next is the slot on the other server.
func (s *streamRelay) attempt(ctx context.Context, l *lease) (next *lease, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.heldChunks = s.heldChunks[:0]
	body, err := s.run.attemptBody(attemptOptions{stream: true, generatedText: s.text.String(), generatedTokens: s.tokens})
	if err != nil {
		return nil, &backend.Failure{NotSent: true, Status: http.StatusBadRequest, Err: err}
	}
	m := newStreamMover(s.run, l, cancel)
	err = s.exchange(ctx, l, body, m)
	return m.stop(), err
}

func (s *streamRelay) exchange(ctx context.Context, l *lease, body []byte, m *streamMover) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = panicError(p)
		}
	}()
	l.setAwaitingFirstToken(true)
	defer l.setAwaitingFirstToken(false)
	start := time.Now()
	stream, err := s.run.d.opts.Backend.Stream(ctx, s.run.backendRequest(l, s.run.attemptID(), body), s.tokens)
	if err != nil {
		return err
	}
	defer stream.Close()
	return s.copyChunks(stream, l, start, m)
}

// copyChunks passes the chunks on until the end marker.
func (s *streamRelay) copyChunks(stream *backend.Stream, l *lease, start time.Time, m *streamMover) error {
	before := s.tokens
	var first time.Time
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return s.finish(l, start, first, s.tokens-before)
		}
		if err != nil {
			return err
		}
		if first.IsZero() && c.Tokens > 0 {
			first = time.Now()
			s.recordFirstToken(l, first.Sub(start))
		}
		m.recordTokens(c.Tokens)
		if err := s.relayChunk(c); err != nil {
			return err
		}
	}
}

// recordFirstToken records the time to first token of an attempt.
func (s *streamRelay) recordFirstToken(l *lease, after time.Duration) {
	r := s.run
	l.setAwaitingFirstToken(false)
	r.d.recordFirstToken(r.request.Row.Name, len(r.request.Body), after)
	if m := r.d.opts.Metrics; m != nil && s.tokens == 0 {
		m.FirstToken(r.request.Row.Name, r.queueTime+r.runTime())
	}
}

// relayChunk passes one chunk on. The chunk without content that opens a resumed stream is skipped, because the first
// attempt passed it on. The last chunk is held until the end marker arrives; without the marker, another server
// generates it again.
func (s *streamRelay) relayChunk(c backend.Chunk) error {
	if err := s.run.checkVersions(c.Pieces); err != nil && s.tokens == 0 {
		return err
	}
	if c.FinishReason != "" || len(s.heldChunks) > 0 {
		c.Data = append([]byte(nil), c.Data...)
		s.heldChunks = append(s.heldChunks, c)
		return nil
	}
	if s.started && c.Tokens == 0 && c.Text == "" {
		s.labels = append(s.labels, c.Pieces...)
		return nil
	}
	return s.emitChunk(c)
}

func (s *streamRelay) emitChunk(c backend.Chunk) error {
	s.started = true
	s.text.WriteString(c.Text)
	s.tokens += c.Tokens
	s.labels = append(s.labels, c.Pieces...)
	if err := s.emit(c); err != nil {
		return &backend.Failure{Err: errs.Wrap(err, errs.Canceled, "resend the request", "chunk could not be passed to the caller")}
	}
	return nil
}

// finish passes the held chunks on and records the success of the attempt.
func (s *streamRelay) finish(l *lease, start, first time.Time, tokens int) error {
	if len(s.heldChunks) == 0 {
		return &backend.Failure{Err: errs.New(errs.TruncatedAnswer, "resend the request", "stream ended without a finish reason")}
	}
	for _, c := range s.heldChunks {
		c.NextBuffered = true // the calling code writes the end of the stream immediately after
		if err := s.emitChunk(c); err != nil {
			return err
		}
		tokens += c.Tokens
	}
	firstToken := first.Sub(start)
	if first.IsZero() {
		firstToken = time.Since(start)
	}
	s.run.recordSuccess(l, policy.Measurement{TimeToFirstToken: firstToken, DecodeSpeed: tokensPerSecond(tokens, time.Since(start)-firstToken)})
	return nil
}

// tokensPerSecond returns the generation speed, or zero if there are too few tokens for a measurement.
func tokensPerSecond(tokens int, took time.Duration) float64 {
	const minTokens = 4
	if tokens < minTokens || took <= 0 {
		return 0
	}
	return float64(tokens-1) / took.Seconds()
}

func (s *streamRelay) response(l *lease) Response {
	response := Response{
		Status: http.StatusOK, Text: s.text.String(), Tokens: s.tokens, Labels: s.labels,
		Attempts: s.run.attempts, QueuedFor: s.run.queueTime, RanFor: s.run.runTime(),
	}
	if l != nil {
		response.Server = l.server.ID()
	}
	return response
}
