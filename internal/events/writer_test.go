package events

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every Write until released is closed.
type blockedWriter struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	released chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Guards against a process that hangs because nobody reads its log: a blocked write would block every goroutine that
// records an event. It also checks that dropped lines are reported.
func TestBoundedWriterDoesNotBlockOnUnreadLog(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	w := NewBoundedWriter(out, 1<<20)
	r := NewLogRecorder("vm", w)
	started := time.Now()
	const lines = 4 * queuedLines
	for i := range lines {
		r.Record(Event{Name: RequestRefused, Request: fmt.Sprint(i)})
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("recording %d events while the log is not read took %s", lines, took)
	}
	close(out.released)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.text(), "log.dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the log does not say that lines were dropped")
		}
		r.Record(Event{Name: VMReady})
		time.Sleep(time.Millisecond)
	}
}

// Guards against a log that grows faster than its byte budget when many events are recorded.
func TestBoundedWriterKeepsToByteBudget(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	close(out.released)
	const budget = 1000
	w := NewBoundedWriter(out, budget)
	line := bytes.Repeat([]byte("x"), 100)
	for range 50 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	if got := len(out.text()); got > budget {
		t.Fatalf("%d bytes were written within the first second", got)
	}
}
