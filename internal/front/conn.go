package front

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
)

const (
	// rateWindow is the time in which at least rateWindowBytes of a body must arrive.
	rateWindow      = 10 * time.Second
	rateWindowBytes = 1 << 10
	// answerPartBytes must be read by the caller within answerTimeout.
	answerPartBytes = 256 << 10
	answerTimeout   = 30 * time.Second
	// connectionBytes is the memory of a connection: receive and write buffer, request context, stack, a small header and a small
	// body, and what the kernel holds for it (docs/design/memory.md).
	connectionBytes = 32 << 10
	// receiveBufferBytes is the size of the buffer for data that was received and not yet read.
	receiveBufferBytes = 4 << 10
	// smallBodyBytes is the size of the bodies for which a connection keeps a buffer.
	smallBodyBytes = 4 << 10
)

var errTooSlow = errs.New(errs.InvalidArgument, "send the whole request faster", "less than %d bytes of the body arrived in %s", rateWindowBytes, rateWindow)

// listener accepts connections that count towards the budget.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. A connection for which there is no room is reset.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, server: l.server}
		c.in = bufio.NewReaderSize(received{c}, receiveBufferBytes)
		if c.holder = l.server.opts.Share.Open(c.drop); c.holder != nil {
			return c, nil
		}
		reset(nc)
	}
}

// conn is a caller's connection. The HTTP library reads only headers from it, each as a whole and after its memory was reserved;
// bodies are read by Server.receive. So nothing is parsed that was not counted, wherever it arrived. The connection also counts
// what it sends, and bounds the time of a header and of an answer.
type conn struct {
	net.Conn
	server *Server
	holder *budget.Holder

	// Used by the goroutine that serves the connection.
	in            *bufio.Reader // of what was received
	header        []byte        // the part of the present header that the HTTP library has not read
	headerBuffer  []byte        // that header was received in
	headerParts   []int64       // reserved for the present header
	inHeader      bool          // the present header is being received
	headerBytes   int           // of it that were taken from in
	headerErr     error         // why the present header was refused
	firstByte     [1]byte       // of the present header
	answerBytes   int64         // reserved for the present answer
	body          []byte        // buffer for small bodies
	bodyBytes     int64         // reserved for the present body
	documentBytes int64         // reserved for what is parsed from it
	largeBody     bool          // the kernel's buffer is enlarged for the present body
	bodyEnd       time.Time     // by which the present body must have arrived; zero outside bodies
	windowEnd     time.Time
	windowBytes   int
	note          any // set by SetConnectionNote

	mu            sync.Mutex
	writeDeadline time.Time // for all of an answer
}

// SetConnectionNote keeps a value for the later requests on the connection of a request.
func SetConnectionNote(ctx *fasthttp.RequestCtx, note any) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.note = note
	}
}

// ConnectionNote returns the value that an earlier request on the same connection has set, or nil.
func ConnectionNote(ctx *fasthttp.RequestCtx) any {
	if c, ok := ctx.Conn().(*conn); ok {
		return c.note
	}
	return nil
}

// drop resets the connection. The goroutine that serves it then ends and closes it.
func (c *conn) drop(r budget.Reason) {
	reset(c.Conn)
	if e := c.server.opts.Events; e != nil {
		e.Record(events.Event{Name: events.ConnectionDropped, Detail: "from " + c.RemoteAddr().String() + ": " + string(r)})
	}
}

func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails only if the peer has closed the connection
	}
	_ = nc.Close() // the connection is no longer used
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// Read implements net.Conn. It returns parts of the header of the next request.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.header) == 0 {
		if err := c.nextHeader(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.header)
	c.header = c.header[n:]
	return n, nil
}

// received is the data of a connection as it arrives.
type received struct{ *conn }

// Read implements io.Reader.
func (r received) Read(p []byte) (int, error) {
	if err := r.checkHeaderRoom(); err != nil {
		return 0, err
	}
	n, err := r.readInTime(p)
	if n > 0 {
		r.holder.Transferred(n)
	}
	return n, err
}

// beginBody bounds the time of the body that is read until endBody, and its rate of arrival.
func (c *conn) beginBody(limit time.Duration) {
	c.bodyEnd, c.windowEnd = time.Now().Add(limit), time.Time{}
}

func (c *conn) endBody() {
	c.bodyEnd = time.Time{}
	if c.largeBody {
		setKernelBuffer(c.Conn, kernelReceiveBytes)
		c.largeBody = false
	}
}

// expectLargeBody lets the rest of the present body arrive faster. Its memory must have been reserved.
func (c *conn) expectLargeBody() {
	if !c.largeBody {
		setKernelBuffer(c.Conn, kernelBodyBytes)
		c.largeBody = true
	}
}

// readInTime reads from the network. Within a body, it fails if too little arrives in a window.
func (c *conn) readInTime(p []byte) (int, error) {
	for !c.bodyEnd.IsZero() {
		if now := time.Now(); !now.Before(c.windowEnd) {
			if !c.windowEnd.IsZero() && c.windowEnd.Before(c.bodyEnd) && c.windowBytes < rateWindowBytes {
				return 0, errTooSlow
			}
			c.windowBytes, c.windowEnd = 0, now.Add(rateWindow)
			if c.windowEnd.After(c.bodyEnd) {
				c.windowEnd = c.bodyEnd
			}
			if err := c.Conn.SetReadDeadline(c.windowEnd); err != nil {
				return 0, err
			}
		}
		n, err := c.Conn.Read(p)
		c.windowBytes += n
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.windowEnd.Before(c.bodyEnd) {
			return n, err
		}
	}
	return c.Conn.Read(p)
}

// endAnswer gives back the memory of an answer that has been sent.
func (c *conn) endAnswer() {
	c.holder.Release(c.answerBytes)
	c.answerBytes = 0
}

// Write implements net.Conn. It fails if the caller does not read the next part in time.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+answerPartBytes, len(p))]
		c.mu.Lock()
		deadline := time.Now().Add(answerTimeout)
		if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
			deadline = c.writeDeadline
		}
		c.mu.Unlock()
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		c.holder.Transferred(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetKeepAlive passes the HTTP server's setting on.
func (c *conn) SetKeepAlive(on bool) error {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		return tc.SetKeepAlive(on)
	}
	return nil
}

// SetKeepAlivePeriod passes the HTTP server's setting on.
func (c *conn) SetKeepAlivePeriod(d time.Duration) error {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		return tc.SetKeepAlivePeriod(d)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}
