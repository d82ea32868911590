package events

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	released chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *stuckWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

func TestAnUnreadLogBlocksNobody(t *testing.T) {
	out := &stuckWriter{released: make(chan struct{})}
	w := NewBoundedWriter(out, 1<<20)
	r := NewLogRecorder("vm", w)
	started := time.Now()
	const lines = 4 * queuedLines
	for i := range lines {
		r.Record(Event{Name: RequestRefused, Request: fmt.Sprint(i)})
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("%d lines that nobody reads took %s", lines, took)
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

func TestTheLogKeepsToItsBudget(t *testing.T) {
	out := &stuckWriter{released: make(chan struct{})}
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
