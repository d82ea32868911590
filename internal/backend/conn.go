package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/errs"
)

// maxCarriedAttempts is how many attempts a connection remembers. A late copy of a response arrives where the response to
// one of the next requests is expected.
const maxCarriedAttempts = 32

// conn is a connection to a backend server. It counts the bytes that the kernel accepted.
type conn struct {
	net.Conn
	key               poolKey
	carried           []uint64 // hashes of the newest attempt IDs that were sent on it
	nextCarried       int      // position in carried that is replaced next, once it is full
	br                *bufio.Reader
	bw                *bufio.Writer
	bytesWritten      atomic.Int64 // in the current exchange
	idleSince         time.Time
	serverIdleTimeout time.Duration // after which the server closes an idle connection; zero if unknown
}

func newConn(nc net.Conn, key poolKey) *conn {
	c := &conn{Conn: nc, key: key}
	c.br = bufio.NewReaderSize(nc, maxHeaderBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Write writes p and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// carry remembers that a request of the given attempt is sent on the connection.
func (c *conn) carry(attempt string) {
	if attempt == "" {
		return
	}
	hash := xxhash.Sum64String(attempt)
	if len(c.carried) < maxCarriedAttempts {
		c.carried = append(c.carried, hash)
		return
	}
	c.carried[c.nextCarried] = hash
	c.nextCarried = (c.nextCarried + 1) % maxCarriedAttempts
}

// hasCarried reports whether a request of the given attempt was sent on the connection. A late copy of its response
// could not be distinguished from the response to the same attempt sent again.
func (c *conn) hasCarried(attempt string) bool {
	return attempt != "" && slices.Contains(c.carried, xxhash.Sum64String(attempt))
}

// abort closes the connection with a reset. The kernel then discards the bytes that the server has not received: after
// an orderly close it would deliver them later, for example once a partition heals, and the server would run a request
// that was given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option, the connection is closed in order; nothing else can be done here.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (c *conn) written() int64 { return c.bytesWritten.Load() }

// alive reports whether an idle connection is open and has nothing to read. If the server has closed the connection or
// sent unexpected bytes, the socket is readable.
func (c *conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// poolKey identifies connections that serve the same requests. Requests with and without an attempt ID do not share
// connections: a late response to a request without one could be taken for the response to any other.
type poolKey struct {
	addr  string
	named bool // requests have attempt IDs
}

// connPool holds the idle connections by key, the most recently used last.
type connPool struct {
	mu     sync.Mutex
	idle   map[poolKey][]*conn
	closed bool
}

// get returns an idle connection that has not carried the given attempt, or nil.
func (p *connPool) get(key poolKey, attempt string, idleTimeout time.Duration) *conn {
	for {
		c := p.pop(key, attempt)
		if c == nil {
			return nil
		}
		limit := idleTimeout
		if c.serverIdleTimeout > 0 {
			limit = c.serverIdleTimeout
		}
		if time.Since(c.idleSince) < limit && c.alive() {
			c.bytesWritten.Store(0)
			return c
		}
		c.Close()
	}
}

func (p *connPool) pop(key poolKey, attempt string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if c.hasCarried(attempt) {
			continue
		}
		if len(list) == 1 {
			delete(p.idle, key)
		} else {
			p.idle[key] = slices.Delete(list, i, i+1)
		}
		return c
	}
	return nil
}

func (p *connPool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdlePerHost {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
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
	p.idle = map[poolKey][]*conn{}
}

// bodyReader returns a reader that ends with io.EOF only at the end of a complete body.
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
		return br // the orderly close of the connection ends the body; a reset is an error
	default:
		return unframedBody{}
	}
}

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

// unframedBody refuses a body that ends with the connection: its end cannot be distinguished from a truncation.
type unframedBody struct{}

func (unframedBody) Read([]byte) (int, error) {
	return 0, errs.New(errs.TruncatedAnswer, "make the backend server send Content-Length or chunks", "response has neither Content-Length nor chunked encoding")
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

// chunkedReader reads a chunked body. It also reads the trailer, so that the connection can be reused.
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

// skipTrailer reads the trailer, of at most maxHeaderBytes.
func (c *chunkedReader) skipTrailer() error {
	for size := 0; ; {
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
		if size += len(line); size > maxHeaderBytes {
			return errs.New(errs.BackendFailed, "check the backend server", "trailer of the response exceeds %d bytes", maxHeaderBytes)
		}
	}
}
