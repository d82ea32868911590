package caller

import (
	"bufio"
	"context"
	"io"
	"sync"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/platform"
)

const (
	contentTypeEvents = "text/event-stream"
	// maxBuffered bounds the pieces that wait for a slow caller; the engine's stream waits beyond it.
	maxBuffered = 256 << 10
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

// streamBuffer passes events from the dispatcher to the writer of the answer. Several pieces that wait are
// written at once.
type streamBuffer struct {
	mu      sync.Mutex
	changed sync.Cond
	buf     []byte
	first   []api.PieceLabel // of the first piece
	begun   bool
	ended   bool
	left    bool
	err     error
}

func newStreamBuffer() *streamBuffer {
	b := &streamBuffer{}
	b.changed.L = &b.mu
	return b
}

// emit implements dispatch.Emit.
func (b *streamBuffer) emit(c backend.Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buf) > maxBuffered && !b.left {
		b.changed.Wait()
	}
	if b.left {
		return io.ErrClosedPipe
	}
	if !b.begun {
		b.begun, b.first = true, c.Pieces
	}
	b.buf = appendEvent(b.buf, c.Data)
	b.changed.Broadcast()
	return nil
}

// end marks the end of the stream: [DONE], or an error event without it.
func (b *streamBuffer) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.err = true, err
	if err == nil {
		b.buf = append(b.buf, eventDone...)
	} else if b.begun {
		b.buf = appendEvent(b.buf, platform.ErrorBody(err))
	}
	b.changed.Broadcast()
}

// leave makes emit fail, because the caller left.
func (b *streamBuffer) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = true
	b.changed.Broadcast()
}

// waitBegin waits for the first piece or the end.
func (b *streamBuffer) waitBegin() (begun bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.begun && !b.ended {
		b.changed.Wait()
	}
	return b.begun, b.err
}

// take waits for events and swaps them with an empty buffer.
func (b *streamBuffer) take(empty []byte) (events []byte, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buf) == 0 && !b.ended {
		b.changed.Wait()
	}
	events, b.buf = b.buf, empty[:0]
	b.changed.Broadcast()
	return events, !b.ended
}

// runStream runs an idempotent stream. The status is sent with the first piece, so that a request without any
// gets a typed error.
func (h *Handler) runStream(r *request) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	buf := newStreamBuffer()
	stop := watchLeaving(r.http.Conn(), func() { cancel(); buf.leave() })
	ended := make(chan error, 1)
	go func() {
		_, err := h.opts.Dispatcher.DoStream(ctx, r.work, buf.emit)
		buf.end(err)
		ended <- err
	}()
	if begun, err := buf.waitBegin(); !begun {
		<-ended
		stop()
		cancel()
		if err == nil {
			err = errs.New(errs.BackendFailed, "resend the request", "stream ended without a piece")
		}
		h.refuse(r, err, dispatch.OutcomeOf(err))
		return
	}
	r.http.Response.Header.SetContentType(contentTypeEvents)
	r.http.Response.Header.Set("Cache-Control", "no-cache")
	if v := versionList(buf.first); v != "" {
		r.http.Response.Header.Set(api.HeaderWeights, v)
	}
	r.writeOutcome(api.OutcomeRan)
	r.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer stop()
		if !copyEvents(w, buf) {
			cancel()
			buf.leave()
		}
		err := <-ended
		h.end(r, err, streamOutcome(err))
	})
}

func streamOutcome(err error) api.Outcome {
	if err == nil {
		return api.OutcomeRan
	}
	return dispatch.OutcomeOf(err)
}

// copyEvents writes events until the stream ends. It reports whether the caller took them all.
func copyEvents(w *bufio.Writer, buf *streamBuffer) bool {
	var spare []byte
	for {
		events, more := buf.take(spare)
		if _, err := w.Write(events); err != nil {
			return false
		}
		if err := w.Flush(); err != nil {
			return false
		}
		if !more {
			return true
		}
		spare = events
	}
}
