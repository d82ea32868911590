package link

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

const patience = 5 * time.Second

// serve starts a server with an echo and returns its address.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ctx, ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-done })
	return ln.Addr().String()
}

func newClient(t *testing.T) *Client {
	c := NewClient()
	t.Cleanup(c.Close)
	return c
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsShareAConnection(t *testing.T) {
	s := NewServer()
	s.HandleRaw("echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	release := make(chan struct{})
	s.HandleRaw("slow", func(context.Context, []byte) ([]byte, error) { <-release; return nil, nil })
	addr, c := serve(t, s), newClient(t)
	slow := make(chan error, 1)
	go func() { _, err := c.Call(within(t), addr, "slow", nil); slow <- err }()
	for _, size := range []int{0, 1, 300, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		got, err := c.Call(within(t), addr, "echo", body)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("%d bytes: %d bytes, %v", size, len(got), err)
		}
	}
	close(release)
	if err := <-slow; err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) != 1 {
		t.Fatalf("%d connections", len(s.conns))
	}
}

func TestErrorsKeepTheirKind(t *testing.T) {
	s := NewServer()
	s.HandleRaw("fail", func(context.Context, []byte) ([]byte, error) {
		return nil, errs.New(errs.NotLeader, "call the leader", "not here")
	})
	addr, c := serve(t, s), newClient(t)
	if _, err := c.Call(within(t), addr, "fail", nil); !errs.Is(err, errs.NotLeader) {
		t.Fatalf("got %v", err)
	}
	if _, err := c.Call(within(t), addr, "none", nil); !errs.Is(err, errs.NotFound) {
		t.Fatalf("got %v", err)
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if _, err := newClient(t).Call(within(t), addr, "echo", nil); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestALostAnswerIsUnknown(t *testing.T) {
	s := NewServer()
	s.HandleRaw("hang", func(ctx context.Context, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() })
	addr, c := serve(t, s), newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Call(ctx, addr, "hang", nil); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("got %v", err)
	}
}

// TestASilentConnectionIsGivenUp accepts connections and answers nothing on the first of them, as after a connection
// went silent for good. The next call uses a new one.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := NewServer()
	s.HandleRaw("echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	var accepted atomic.Int32
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if accepted.Add(1) == 1 {
				defer nc.Close()
				continue
			}
			go s.serveConn(context.Background(), newConn(nc))
		}
	}()
	c := newClient(t)
	_, err = c.Call(within(t), ln.Addr().String(), "echo", []byte("a"))
	if !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("a call on a silent connection: %v", err)
	}
	if got, err := c.Call(within(t), ln.Addr().String(), "echo", []byte("b")); err != nil || string(got) != "b" {
		t.Fatalf("after the silent connection: %q, %v", got, err)
	}
}

func TestMalformedFramesEndTheConnection(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty frame":     make([]byte, frameHeaderBytes),
		"oversized frame": append([]byte{0xff, 0xff, 0xff, 0xff}, make([]byte, frameHeaderBytes-4)...),
		"short method":    append([]byte{0, 0, 0, 1, frameRequest, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 200),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewServer()
			failed := make(chan error, 1)
			s.OnMalformedFrame = func(_ string, err error) { failed <- err }
			nc, err := net.Dial("tcp", serve(t, s))
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := nc.Write(data); err != nil {
				t.Fatal(err)
			}
			select {
			case <-failed:
			case <-time.After(patience):
				t.Fatal("the frame was taken")
			}
		})
	}
}

func TestOneWayMessages(t *testing.T) {
	s := NewServer()
	got := make(chan string, 16)
	s.HandleOneWay("note", func(body []byte) { got <- string(body) })
	addr, c := serve(t, s), newClient(t)
	// The first message may be dropped while the connection is made.
	for {
		c.SendOneWay(addr, "note", []byte("x"))
		select {
		case m := <-got:
			if m != "x" {
				t.Fatalf("got %q", m)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 5, 2, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 2, 'a', 'b', 'c', 'd'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) >= 4 && data[0] > 0 {
			return // a frame of megabytes only costs memory
		}
		fr, err := readFrame(bufioReader(data))
		if err == nil && len(fr.method)+len(fr.body)+1 > len(data) {
			t.Fatal("the frame holds more than was sent")
		}
	})
}
