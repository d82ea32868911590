package caller

import (
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
	// maxBatch bounds the events that are written at once.
	maxBatch = 16 << 10
)

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	eventDone  = []byte("data: [DONE]\n\n")
)

func appendEvent(buf, data []byte) []byte {
	buf = append(buf, eventStart...)
	buf = append(buf, data...)
	return append(buf, eventEnd...)
}

// eventStream is the body of a streamed answer. Reading it runs the dispatcher as a coroutine, so that a piece
// goes from the engine's connection to the caller's without a change of goroutine, and a slow caller slows the
// engine down. It is used by one goroutine at a time.
type eventStream struct {
	h       *Handler
	r       *request
	cancel  func()
	unwatch func()
	next    func() (struct{}, bool)
	stop    func()
	buf     []byte // events not yet read
	off     int
	first   []api.PieceLabel // of the first piece
	begun   bool
	err     error
	close   sync.Once
}

// open starts a stream and waits for its first piece or its end. Cancelling on a caller that left reaches the
// engine, as ctx ends.
func (h *Handler) open(r *request) *eventStream {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	s := &eventStream{h: h, r: r, cancel: cancel}
	s.unwatch = front.WatchDisconnect(r.http.Conn(), cancel)
	s.next, s.stop = iter.Pull(func(yield func(struct{}) bool) { s.run(ctx, yield) })
	s.next()
	return s
}

// run passes the dispatcher's pieces to yield: the first at once, later ones together if they came together.
func (s *eventStream) run(ctx context.Context, yield func(struct{}) bool) {
	_, s.err = s.h.opts.Dispatcher.DoStream(ctx, s.r.work, func(c backend.Chunk) error {
		first := !s.begun
		if first {
			s.begun, s.first = true, c.Pieces
		}
		s.buf = appendEvent(s.buf, c.Data)
		if c.NextBuffered && !first && len(s.buf) < maxBatch {
			return nil
		}
		if !yield(struct{}{}) {
			return io.ErrClosedPipe
		}
		return nil
	})
	if s.err == nil {
		s.buf = append(s.buf, eventDone...)
	} else if s.begun {
		s.buf = appendEvent(s.buf, front.ErrorBody(s.err))
	}
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.off == len(s.buf) {
		s.buf, s.off = s.buf[:0], 0
		s.next()
	}
	if s.off == len(s.buf) {
		return 0, io.EOF
	}
	n := copy(p, s.buf[s.off:])
	s.off += n
	return n, nil
}

// Close ends the work if it still runs, and counts the request.
func (s *eventStream) Close() error {
	s.close.Do(func() {
		s.release()
		outcome := api.OutcomeRan
		if s.err != nil {
			outcome = s.r.outcomeOf(s.err)
		}
		s.h.end(s.r, s.err, outcome)
	})
	return nil
}

func (s *eventStream) release() {
	s.cancel()
	s.stop()
	s.unwatch()
}

// runStream runs an idempotent stream. The status is sent with the first piece, so that a request without any
// gets a typed error.
func (h *Handler) runStream(r *request) {
	s := h.open(r)
	if !s.begun {
		s.release()
		if s.err == nil {
			s.err = errs.New(errs.BackendFailed, "resend the request", "stream ended without a piece")
		}
		h.refuse(r, s.err, r.outcomeOf(s.err))
		r.showRefusal(s.err)
		return
	}
	r.http.Response.Header.SetContentType(contentTypeEvents)
	r.http.Response.Header.Set("Cache-Control", "no-cache")
	if v := versionList(s.first); v != "" {
		r.http.Response.Header.Set(api.HeaderWeights, v)
	}
	r.writeOutcome(api.OutcomeRan)
	r.http.SetBodyStream(s, -1)
}

// showRefusal replaces the error body with the engine's own if the engine refused the request itself.
func (r *request) showRefusal(err error) {
	f := backend.FailureOf(err)
	if f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && gjson.ValidBytes(f.Body) {
		r.http.SetStatusCode(f.Status)
		r.http.SetBody(f.Body)
	}
}
