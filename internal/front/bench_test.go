package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkSmallRequest measures an ordinary request on a connection that stays open: 600 bytes in, 800 out. Time and
// allocations include those of the caller.
func BenchmarkSmallRequest(b *testing.B) {
	const bodyBytes, answerBytes = 400, 800
	answer := strings.Repeat("a", answerBytes)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	server := New(Options{DisableProbes: true, Handlers: []Handler{func(ctx *fasthttp.RequestCtx) bool {
		if len(ctx.Request.Body()) != bodyBytes {
			ctx.SetStatusCode(http.StatusBadRequest)
		}
		ctx.SetBodyString(answer)
		return true
	}}})
	go func() { _ = server.Serve(ln) }() // ends when the listener is closed
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	request := fmt.Appendf(nil, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request: 0123456789\r\nX-Timeout-Ms: 1000\r\nUser-Agent: benchmark\r\nAccept: */*\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	in, buffer := bufio.NewReader(nc), make([]byte, answerBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := nc.Write(request); err != nil {
			b.Fatal(err)
		}
		length := false
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			length = length || string(line) == "Content-Length: 800\r\n"
			if len(line) == 2 {
				break
			}
		}
		if _, err := io.ReadFull(in, buffer); err != nil || !length {
			b.Fatal(err, length)
		}
	}
}
