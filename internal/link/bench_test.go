package link

import (
	"context"
	"net"
	"testing"
)

// BenchmarkCall measures a small call over a local TCP connection. internal/transport has the same benchmark over
// QUIC.
func BenchmarkCall(b *testing.B) {
	s := NewServer()
	s.HandleRaw("echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Serve(ctx, ln) }()
	c := NewClient()
	defer c.Close()
	const requestBytes = 256
	body := make([]byte, requestBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(ctx, ln.Addr().String(), "echo", body); err != nil {
			b.Fatal(err)
		}
	}
}
