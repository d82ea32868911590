package caller

import (
	"bytes"
	"context"
	"io"
	"iter"
	"net/http"
	"sync"

	"github.com/tidwall/gjson"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/front"
)

const (
	contentTypeEvents = "text/event-stream"
	// maxBatchBytes limits the events that are collected before they are written to the caller.
	maxBatchBytes = 16 << 10
)

var (
	eventPrefix    = []byte("data: ")
	eventSuffix    = []byte("\n\n")
	eventNextLine  = []byte("\ndata: ")
	eventStreamEnd = []byte("data: [DONE]\n\n")
)

// appendEvent appends data as one server-sent event. Each line of the data has a field name of its own.
func appendEvent(buf, data []byte) []byte {
	buf = append(buf, eventPrefix...)
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		buf = append(buf, line...)
		if !more {
			return append(buf, eventSuffix...)
		}
		buf = append(buf, eventNextLine...)
		data = rest
	}
}

// eventStream is the body of a streamed response. Read runs the dispatcher as a coroutine: chunks go from the engine's
// connection to the caller's connection in one goroutine, and backpressure from a slow caller reaches the engine. Only
// one goroutine at a time may use it.
type eventStream struct {
	handler     *Handler
	request     *request
	cancel      func()
	stopWatch   func()
	resume      func() (struct{}, bool)
	stopRun     func()
	buf         []byte // events, of which readOffset bytes have been read
	readOffset  int
	firstLabels []api.PieceLabel // of the first chunk
	started     bool
	err         error
	close       sync.Once
}

// openStream starts a stream and waits for its first chunk or its end. If the caller disconnects, ctx is canceled,
// which also cancels the request at the engine.
func (h *Handler) openStream(r *request) *eventStream {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	s := &eventStream{handler: h, request: r, cancel: cancel}
	s.stopWatch = front.WatchDisconnect(r.http.Conn(), cancel)
	s.resume, s.stopRun = iter.Pull(func(yield func(struct{}) bool) { s.run(ctx, yield) })
	s.resume()
	return s
}

// run appends the dispatcher's chunks to buf as events and calls yield when they can be written: the first chunk at
// once, later chunks together with those that have already arrived behind them.
func (s *eventStream) run(ctx context.Context, yield func(struct{}) bool) {
	_, s.err = s.handler.opts.Dispatcher.DoStream(ctx, s.request.backendRequest, func(c backend.Chunk) error {
		first := !s.started
		if first {
			s.started, s.firstLabels = true, c.Pieces
		}
		s.buf = appendEvent(s.buf, c.Data)
		if c.NextBuffered && !first && len(s.buf) < maxBatchBytes {
			return nil
		}
		if !yield(struct{}{}) {
			return io.ErrClosedPipe
		}
		return nil
	})
	if s.err == nil {
		s.buf = append(s.buf, eventStreamEnd...)
	} else if s.started {
		s.buf = appendEvent(s.buf, front.ErrorBody(s.err))
	}
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.readOffset == len(s.buf) {
		s.buf, s.readOffset = s.buf[:0], 0
		s.resume()
	}
	if s.readOffset == len(s.buf) {
		return 0, io.EOF
	}
	n := copy(p, s.buf[s.readOffset:])
	s.readOffset += n
	return n, nil
}

// Close cancels the request if it is still running, and finishes it.
func (s *eventStream) Close() error {
	s.close.Do(func() {
		s.releaseResources()
		outcome := api.OutcomeRan
		if s.err != nil {
			outcome = s.request.failureOutcome(s.err)
		}
		s.handler.finishRequest(s.request, s.err, outcome)
	})
	return nil
}

func (s *eventStream) releaseResources() {
	s.cancel()
	s.stopRun()
	s.stopWatch()
}

// runStream runs an idempotent request whose answer is streamed. The status line is sent only with the first chunk, so
// that a request that fails before it gets a typed error.
func (h *Handler) runStream(r *request) {
	s := h.openStream(r)
	if !s.started {
		s.releaseResources()
		if s.err == nil {
			s.err = errs.New(errs.BackendFailed, "resend the request", "stream ended before its first chunk")
		}
		h.respondError(r, s.err, r.failureOutcome(s.err))
		r.writeEngineRefusal(s.err)
		return
	}
	r.http.Response.Header.SetContentType(contentTypeEvents)
	r.http.Response.Header.Set("Cache-Control", "no-cache")
	if v := joinVersions(s.firstLabels); v != "" {
		r.http.Response.Header.Set(api.HeaderWeights, v)
	}
	r.writeOutcome(api.OutcomeRan)
	r.http.SetBodyStream(s, -1)
}

// writeEngineRefusal replaces the error response with the engine's own if the engine refused the request.
func (r *request) writeEngineRefusal(err error) {
	failure := backend.FailureOf(err)
	if failure.Status >= http.StatusBadRequest && failure.Status < http.StatusInternalServerError && gjson.ValidBytes(failure.Body) {
		r.http.SetStatusCode(failure.Status)
		r.http.SetBody(failure.Body)
	}
}
