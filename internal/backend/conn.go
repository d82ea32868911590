package backend

import (
	"bufio"
	"context"
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
	"golang.org/x/sync/semaphore"

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
	onClose           func()        // called once; may be nil
	closeOnce         sync.Once
}

func newConn(nc net.Conn, key poolKey) *conn {
	c := &conn{Conn: nc, key: key}
	c.br = bufio.NewReaderSize(nc, maxHeaderBytes)
	c.bw = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
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

// connPool holds the idle connections by key, the most recently used last, and counts all connections.
type connPool struct {
	idleTimeout time.Duration       // of connections whose server states none
	slots       *semaphore.Weighted // one for each connection; nil means no limit
	waiting     atomic.Int64        // number of requests that wait for a slot

	mu      sync.Mutex
	idle    map[poolKey][]*conn
	expires *time.Timer // while there are idle connections; nil otherwise
	closed  bool
}

var errNoConnection = errs.New(errs.Unavailable, "resend the request", "all connections to backend servers are in use")

// acquireSlot waits up to the given time until a further connection may be opened.
func (p *connPool) acquireSlot(ctx context.Context, wait time.Duration) error {
	if p.slots == nil || p.slots.TryAcquire(1) {
		return nil
	}
	p.waiting.Add(1) // from now on, a connection that becomes idle is closed
	defer p.waiting.Add(-1)
	p.closeOldest()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if p.slots.Acquire(ctx, 1) != nil {
		return errNoConnection
	}
	return nil
}

func (p *connPool) releaseSlot() {
	if p.slots != nil {
		p.slots.Release(1)
	}
}

// closeOldest closes the connection that has been idle for the longest time, if there is one.
func (p *connPool) closeOldest() {
	p.mu.Lock()
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.remove(oldest.key, 0)
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// remove removes a connection from the idle ones. p.mu must be held.
func (p *connPool) remove(key poolKey, i int) {
	if list := p.idle[key]; len(list) == 1 {
		delete(p.idle, key)
	} else {
		p.idle[key] = slices.Delete(list, i, i+1)
	}
}

// expired reports whether the server closes the idle connection soon, or has done so.
func (p *connPool) expired(c *conn) bool {
	limit := p.idleTimeout
	if c.serverIdleTimeout > 0 {
		limit = c.serverIdleTimeout
	}
	return time.Since(c.idleSince) >= limit
}

// closeExpired closes the connections that would not be used any more.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			if !p.expired(c) {
				return false
			}
			c.Close()
			return true
		})
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	p.expires = nil
	p.expireLater()
}

// expireLater arms the timer of closeExpired. p.mu must be held.
func (p *connPool) expireLater() {
	if p.expires == nil && p.idleTimeout > 0 && len(p.idle) > 0 && !p.closed {
		p.expires = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
}

// get returns an idle connection that has not carried the given attempt, or nil.
func (p *connPool) get(key poolKey, attempt string) *conn {
	for {
		c := p.pop(key, attempt)
		if c == nil {
			return nil
		}
		if !p.expired(c) && c.alive() {
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
		p.remove(key, i)
		return c
	}
	return nil
}

func (p *connPool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdlePerHost || p.waiting.Load() > 0 {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	p.expireLater()
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.expires != nil {
		p.expires.Stop()
	}
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
