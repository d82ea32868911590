package events

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 512
	// budgetWindow is the time over which the byte budget is spread.
	budgetWindow = time.Second
)

// BoundedWriter passes whole lines on without ever blocking its caller. Lines beyond the byte budget, or while
// nobody reads, are dropped, and their number is written once lines pass again.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	budget  int // bytes a second
	used    int
	window  time.Time
	dropped uint64
}

// NewBoundedWriter starts a writer to out with a budget in bytes a second.
func NewBoundedWriter(out io.Writer, budget int) *BoundedWriter {
	w := &BoundedWriter{out: out, budget: budget, lines: make(chan []byte, queuedLines)}
	go w.run()
	return w
}

func (w *BoundedWriter) run() {
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.mu.Lock()
			w.dropped++ // there is nowhere to report a log that cannot be written but the log itself
			w.mu.Unlock()
		}
	}
}

// Write queues one line. It never fails: what is dropped is counted.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.window) >= budgetWindow {
		w.window, w.used = now, 0
	}
	if w.used+len(line) > w.budget {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		notice := fmt.Appendf(nil, "{\"event\":\"log.dropped\",\"level\":\"warning\",\"lines\":%d,\"time\":%q}\n", w.dropped, now.Format(time.RFC3339Nano))
		if w.queue(notice) {
			w.dropped = 0
		}
	}
	if !w.queue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

func (w *BoundedWriter) queue(line []byte) bool {
	select {
	case w.lines <- line:
		w.used += len(line)
		return true
	default:
		return false
	}
}
