package events

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines bounds the lines that are queued while the reader of the log is slow.
	queuedLines = 512
	// budgetWindow is the length of the window in which written bytes are counted against the byte budget.
	budgetWindow = time.Second
)

// BoundedWriter forwards whole lines to another writer without ever blocking its caller. It drops lines that exceed the
// byte budget and lines that arrive while the queue is full. The number of dropped lines is written to the log before
// the next line that is forwarded.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte

	mu             sync.Mutex
	bytesPerWindow int // the byte budget
	usedBytes      int // bytes queued in the current window
	windowStart    time.Time
	droppedLines   uint64 // not yet reported in the log
}

// NewBoundedWriter returns a writer to out with a budget in bytes a second, and starts its goroutine.
func NewBoundedWriter(out io.Writer, budget int) *BoundedWriter {
	w := &BoundedWriter{out: out, bytesPerWindow: budget, lines: make(chan []byte, queuedLines)}
	go w.writeLoop()
	return w
}

func (w *BoundedWriter) writeLoop() {
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.mu.Lock()
			w.droppedLines++ // the failure cannot be reported anywhere else than in the log itself
			w.mu.Unlock()
		}
	}
}

// Write queues one line. It never returns an error: dropped lines are counted instead.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.windowStart) >= budgetWindow {
		w.windowStart, w.usedBytes = now, 0
	}
	if w.usedBytes+len(line) > w.bytesPerWindow {
		w.droppedLines++
		return len(line), nil
	}
	if w.droppedLines > 0 {
		droppedEvent := fmt.Appendf(nil, "{\"event\":\"log.dropped\",\"level\":\"warning\",\"lines\":%d,\"time\":%q}\n", w.droppedLines, now.Format(time.RFC3339Nano))
		if w.enqueue(droppedEvent) {
			w.droppedLines = 0
		}
	}
	if !w.enqueue(append([]byte(nil), line...)) {
		w.droppedLines++
	}
	return len(line), nil
}

func (w *BoundedWriter) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		w.usedBytes += len(line)
		return true
	default:
		return false
	}
}
