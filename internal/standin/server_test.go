package standin

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startConnection returns the server's side of a connection whose first request has been answered, so that the server
// reads it for the next request, and the client's side.
func startConnection(t *testing.T) (atServer, atClient net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	s, err := Serve("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) { accepted <- ctx.Conn() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Abort)
	atClient, err = net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { atClient.Close() })
	if _, err := atClient.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(atClient)); err != nil {
		t.Fatal(err)
	}
	return <-accepted, atClient
}

// Guards against an engine that stops generating for all callers because it checks a connection that the HTTP server
// reads at the same time: the answer of a cancelled or exchanged request is sent before the engine forgets the request.
func TestPeerGoneDoesNotWaitForReader(t *testing.T) {
	atServer, atClient := startConnection(t)
	answered := make(chan bool, 1)
	check := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); ; {
			go func() { answered <- PeerGone(atServer) }()
			select {
			case got := <-answered:
				if got == want {
					return
				}
			case <-time.After(time.Second):
				t.Fatal("PeerGone waits for the goroutine that reads the connection")
			}
			if time.Now().After(deadline) {
				t.Fatalf("PeerGone does not return %t", want)
			}
		}
	}
	check(false)
	atClient.Close()
	check(true)
}
