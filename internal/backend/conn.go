package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/errs"
)

// conn is a connection to a backend server that counts the bytes that the kernel took.
type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	bw        *bufio.Writer
	sent      atomic.Int64 // since the start of the exchange
	idleSince time.Time
	idleLimit time.Duration // after which the server closes it; zero if the server does not tell
}

func newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: nc, addr: addr}
	c.br = bufio.NewReaderSize(nc, maxHeaderBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Write counts the bytes of the exchange.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c *conn) written() int64 { return c.sent.Load() }

// alive reports whether an idle connection is open and silent. A closed one is readable.
func (c *conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// connPool keeps idle connections, the newest last.
type connPool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func (p *connPool) get(addr string, idleTimeout time.Duration) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		limit := idleTimeout
		if c.idleLimit > 0 {
			limit = min(limit, c.idleLimit)
		}
		if time.Since(c.idleSince) < limit && c.alive() {
			c.sent.Store(0)
			return c
		}
		c.Close()
	}
}

func (p *connPool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list[:len(list)-1]
	}
	return c
}

func (p *connPool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= maxIdlePerHost {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// bodyReader returns a reader that ends with io.EOF only at the end mark of the body.
func bodyReader(method string, h *fasthttp.ResponseHeader, br *bufio.Reader, endsWithConnection bool) io.Reader {
	status := h.StatusCode()
	n := h.ContentLength()
	switch {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || n == 0:
		return noBody{}
	case n > 0:
		return &lengthReader{r: br, left: n}
	case n == chunkedLength:
		return &chunkedReader{br: br, r: httputil.NewChunkedReader(br)}
	case endsWithConnection:
		return br // the orderly end of the connection is the end of the body; a reset is an error
	default:
		return unmarkedReader{}
	}
}

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

// unmarkedReader refuses a body that ends with the connection: its end cannot be told from a truncation.
type unmarkedReader struct{}

func (unmarkedReader) Read([]byte) (int, error) {
	return 0, errs.New(errs.TruncatedAnswer, "make the backend server send Content-Length or chunks", "answer has no end mark")
}

// lengthReader reads a body of known length.
type lengthReader struct {
	r    io.Reader
	left int
}

func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= n
	if errors.Is(err, io.EOF) && l.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body and its trailer, so that the connection can be reused.
type chunkedReader struct {
	br   *bufio.Reader
	r    io.Reader
	done bool
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.done = true
	if err := c.skipTrailer(); err != nil {
		return n, err
	}
	return n, io.EOF
}

func (c *chunkedReader) skipTrailer() error {
	for {
		line, err := c.br.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}
