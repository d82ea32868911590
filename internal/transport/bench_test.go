package transport

import (
	"context"
	"testing"

	"filbertledge/internal/pki"
)

// BenchmarkCall measures sequential and parallel calls over loopback.
func BenchmarkCall(b *testing.B) {
	dir := b.TempDir()
	ca, err := pki.Init(dir, "bench")
	if err != nil {
		b.Fatal(err)
	}
	files, err := ca.Issue(pki.Request{Name: "a-1", Role: pki.RoleVM, IPs: loopback})
	if err != nil {
		b.Fatal(err)
	}
	identity, err := pki.NewTLSSource(files, pki.TLSSourceOptions{})
	if err != nil {
		b.Fatal(err)
	}
	s, err := NewServer(ServerOptions{Address: "127.0.0.1:0", Identity: identity})
	if err != nil {
		b.Fatal(err)
	}
	withEcho(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	c, err := NewClient(ClientOptions{Identity: identity})
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 256)
	call := func(b *testing.B) {
		if _, err := c.Call(ctx, s.Addr(), "test.echo", body); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("serial", func(b *testing.B) {
		for b.Loop() {
			call(b)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call(b)
			}
		})
	})
	c.Close()
	cancel()
	<-done
}

// Guards against a malformed message that crashes the process or makes it allocate unbounded memory, for example
// because its header claims more bytes than follow.
func FuzzEnvelope(f *testing.F) {
	good, err := Marshal(requestEnvelope{Method: "test.echo", Timeout: 5, Body: []byte("body")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x9f, 0xff})                                           // indefinite length
	f.Add([]byte{0x83, 0x60, 0x00, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff}) // claims more bytes than follow
	f.Add([]byte{0xc0, 0x60})                                           // tag
	f.Fuzz(func(t *testing.T, data []byte) {
		var request requestEnvelope
		if Unmarshal(data, &request) == nil && len(request.Body) > len(data) {
			t.Fatalf("%d bytes were decoded to a body of %d", len(data), len(request.Body))
		}
		var response responseEnvelope
		_ = Unmarshal(data, &response)
	})
}
