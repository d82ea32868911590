package link

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"filbertledge/internal/budget"
)

// Guards against connections that are no VM's and that keep VMs from connecting, and against the loss of a VM's connection to them.
func TestConnectionsOfVMsAreKept(t *testing.T) {
	const limit, strangers = 4, 20
	s := NewServer()
	s.HandleRaw("echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	s.LimitConnections(budget.New(budget.Options{}).NewShare(limit))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx := testContext(t)
	go func() { _ = s.Serve(ctx, ln) }() // ends with the context
	first, second := newClient(t), newClient(t)
	call := func(c *Client) {
		t.Helper()
		if got, err := c.Call(ctx, ln.Addr().String(), "echo", []byte("a")); err != nil || string(got) != "a" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	call(first)
	before := first.peer(ln.Addr().String()).conn
	for range strangers {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	call(second)
	call(first)
	if first.peer(ln.Addr().String()).conn != before {
		t.Error("the connection of a VM was replaced")
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open <= limit {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open", open)
		}
	}
}

// Guards against memory for a large frame of someone who knows no method of the server.
func TestLargeFrameNeedsKnownMethod(t *testing.T) {
	s := NewServer()
	s.HandleRaw("echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	for method, accepted := range map[string]bool{"echo": true, "unknown": false, "": false} {
		server, stranger := net.Pipe()
		defer stranger.Close()
		ended := make(chan struct{})
		go func() { defer close(ended); s.serveConn(context.Background(), newConn(server)) }()
		header := make([]byte, frameHeaderBytes+1)
		binary.BigEndian.PutUint32(header, MaxFrameBytes)
		header[kindOffset], header[frameHeaderBytes] = frameRequest, byte(len(method))
		if _, err := stranger.Write(append(header, method...)); err != nil {
			t.Fatal(err)
		}
		if accepted {
			stranger.Close()
			<-ended
			continue
		}
		if _, err := io.ReadAll(stranger); err != nil {
			t.Errorf("method %q: %v", method, err)
		}
		<-ended
	}
}
