package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// scriptedConn is a connection on which pieces of data arrive, one with each read, and then its end. It is its own listener.
type scriptedConn struct {
	net.Conn
	pieces   [][]byte
	accepted bool
	closed   chan struct{}
	once     sync.Once
}

func (c *scriptedConn) Accept() (net.Conn, error) {
	if c.accepted {
		<-c.closed
		return nil, net.ErrClosed
	}
	c.accepted = true
	return c, nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)            { return len(p), nil }
func (c *scriptedConn) Close() error                           { c.once.Do(func() { close(c.closed) }); return nil }
func (c *scriptedConn) Addr() net.Addr                         { return &net.TCPAddr{} }
func (c *scriptedConn) LocalAddr() net.Addr                    { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr                   { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error            { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error        { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error       { return nil }
func (c *scriptedConn) SetKeepAlive(bool) error                { return nil }
func (c *scriptedConn) SetKeepAlivePeriod(time.Duration) error { return nil }

// serveBytes serves a connection on which the pieces arrive and returns the requests that ran. It reports a header whose parsed
// lines are more than those that memory was reserved for, and memory that is not given back.
func serveBytes(t interface{ Errorf(string, ...any) }, pieces [][]byte) []string {
	b := NewBudget(64<<20, 0)
	var ran []string
	server := New(Options{Budget: b, DisableProbes: true, Handlers: []Handler{func(ctx *fasthttp.RequestCtx) bool {
		c := ctx.Conn().(*conn)
		var reserved int64
		for _, n := range c.headerParts {
			reserved += n
		}
		if lines := ctx.Request.Header.Len(); lines > ordinaryFields && reserved < int64(lines)*fieldBytes {
			t.Errorf("%d lines were parsed, %d bytes were reserved", lines, reserved)
		}
		ran = append(ran, fmt.Sprintf("%s %s %d %q", ctx.Method(), ctx.RequestURI(), ctx.Request.Header.Len(), ctx.Request.Body()))
		return true
	}}})
	c := &scriptedConn{pieces: pieces, closed: make(chan struct{})}
	go func() { _ = server.Serve(c) }() // ends with the connection
	<-c.closed
	for deadline := time.Now().Add(5 * time.Second); b.Stats().Bytes != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("still held: %+v", b.Stats())
			break
		}
	}
	return ran
}

// cut cuts data at the given places.
func cut(data []byte, places []int) [][]byte {
	var pieces [][]byte
	for _, n := range places {
		if n = n % (len(data) + 1); n > 0 {
			pieces = append(pieces, bytes.Clone(data[:n]))
			data = data[n:]
		}
	}
	if len(data) > 0 {
		pieces = append(pieces, bytes.Clone(data))
	}
	return pieces
}

// Guards against lines that are parsed but not counted, against a body that is taken for a request, and against requests that
// depend on where the data was cut: all messages run, in order.
func TestMessagesAtEachSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(t, "messages") {
			lines := rapid.SampledFrom([]int{0, 3, 70, 700}).Draw(t, "lines")
			body := strings.Repeat(rapid.SampledFrom([]string{"", "x", "\r\n\r\n", "GET /no HTTP/1.1\r\nHost: h\r\n\r\n"}).Draw(t, "body"), rapid.SampledFrom([]int{1, 40, 400}).Draw(t, "times"))
			stream.WriteString(strings.Repeat("\r\n", rapid.IntRange(0, 3).Draw(t, "empty lines")))
			fmt.Fprintf(&stream, "POST /%d HTTP/1.1\r\nHost: h\r\n%s", i, strings.Repeat("a:\r\n", lines))
			headers := 2 + lines // with the one that frames the body
			if rapid.Bool().Draw(t, "chunked") {
				stream.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for rest := body; rest != ""; {
					n := min(len(rest), rapid.SampledFrom([]int{1, 7, 5000}).Draw(t, "chunk"))
					fmt.Fprintf(&stream, "%x;ext=1\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				fmt.Fprintf(&stream, "0\r\n%s\r\n", strings.Repeat("t:\r\n", rapid.SampledFrom([]int{0, 1, 900}).Draw(t, "trailer")))
			} else {
				fmt.Fprintf(&stream, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			want = append(want, fmt.Sprintf("POST /%d %d %q", i, headers, body))
		}
		got := serveBytes(t, cut([]byte(stream.String()), rapid.SliceOfN(rapid.IntRange(1, 300), 0, 200).Draw(t, "cuts")))
		if !slices.Equal(got, want) {
			t.Fatalf("ran\n%s\nwant\n%s", got, want)
		}
	})
}

// oddMessages are data in which a request for /no is a part of another message.
var oddMessages = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 5\r\n\r\nGET /no HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 5\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\nHost: h\n\nGET /no HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\nHost: h\n\r\nGET /no HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabcGET /no HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nxGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxGET /b HTTP/1.0\r\n\r\n",
	"\r\n\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n\r",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\nx",
}

// Guards against a part of a message that runs as a request of its own.
func TestNoRequestWithinAnother(t *testing.T) {
	for _, data := range oddMessages {
		for _, r := range serveBytes(t, [][]byte{[]byte(data)}) {
			if strings.Contains(r, " /no ") {
				t.Errorf("%q: ran %s", data, r)
			}
		}
	}
}

// FuzzMessages guards against bytes that run other requests in pieces than at once, and against a connection that never ends.
func FuzzMessages(f *testing.F) {
	for _, s := range oddMessages {
		f.Add([]byte(s), uint8(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		whole := serveBytes(t, [][]byte{bytes.Clone(data)})
		var pieces [][]byte
		for part := range slices.Chunk(data, int(size)+1) {
			pieces = append(pieces, bytes.Clone(part))
		}
		if got := serveBytes(t, pieces); !slices.Equal(got, whole) {
			t.Errorf("in pieces of %d: ran\n%s\nat once\n%s", int(size)+1, got, whole)
		}
	})
}
