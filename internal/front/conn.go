package front

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

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
	// connectionBytes is the memory of a connection: read and write buffer, request context, stack, a small body. Measured:
	// docs/design/memory.md.
	connectionBytes = 32 << 10
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
		if c.holder = l.server.opts.Budget.Open(c.drop); c.holder != nil {
			return c, nil
		}
		reset(nc)
	}
}

// conn is a caller's connection. It counts what the connection receives and sends, and bounds the time of a header and of an
// answer.
type conn struct {
	net.Conn
	server *Server
	holder *budget.Holder

	// Used by the goroutine that serves the connection.
	inHeader      bool
	headerStart   time.Time
	lastBytes     [2]byte // of the header so far
	headerLines   int
	headerBytes   int64     // reserved for the present header
	headerParts   []int64   // that headerBytes was reserved in
	answerBytes   int64     // reserved for the present answer
	body          []byte    // buffer for small bodies
	bodyBytes     int64     // reserved for the present body
	documentBytes int64     // reserved for what is parsed from it
	bodyEnd       time.Time // by which the present body must have arrived; zero outside bodies
	windowEnd     time.Time
	windowBytes   int

	mu            sync.Mutex
	writeDeadline time.Time // for all of an answer
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

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch c.holder.Phase() {
	case budget.Answering, budget.Running: // the answer to the last request has been sent
		c.endAnswer()
		c.holder.SetPhase(budget.Idle)
	case budget.Receiving:
		if c.inHeader {
			if err := c.Conn.SetReadDeadline(c.headerStart.Add(c.server.opts.HeaderTimeout)); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.readInTime(p)
	if n == 0 {
		return n, err
	}
	if c.holder.Phase() == budget.Idle {
		c.holder.SetPhase(budget.Receiving)
		c.inHeader, c.headerStart, c.lastBytes, c.headerLines = true, time.Time{}, [2]byte{}, 0
	} else {
		c.holder.Transferred(n)
	}
	if c.inHeader {
		end := c.headerEnd(p[:n])
		c.inHeader = end < 0
		if c.inHeader {
			end = n
			if c.headerStart.IsZero() {
				c.headerStart = time.Now()
			}
		}
		c.headerLines += bytes.Count(p[:end], []byte{'\n'})
		if err := c.reserveHeader(c.headerLines, roomWait); err != nil {
			return 0, err
		}
	}
	return n, err
}

// beginBody bounds the time of the body that is read until endBody, and its rate of arrival.
func (c *conn) beginBody(limit time.Duration) {
	c.bodyEnd, c.windowEnd = time.Now().Add(limit), time.Time{}
}

func (c *conn) endBody() { c.bodyEnd = time.Time{} }

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

// headerEnd returns the length of the part of p that belongs to the header, or -1 if the header does not end in p.
func (c *conn) headerEnd(p []byte) int {
	var seam [4]byte // the last two bytes before p and the first two of p
	copy(seam[:], c.lastBytes[:])
	n := 2 + copy(seam[2:], p)
	if emptyLine(seam[:n]) >= 0 {
		return 0 // the lines were counted, but for the empty one
	}
	if i := emptyLine(p); i >= 0 {
		return i
	}
	copy(c.lastBytes[:], seam[n-2:n])
	if len(p) >= 2 {
		copy(c.lastBytes[:], p[len(p)-2:])
	}
	return -1
}

// emptyLine returns the index of the line end before the first empty line, or -1 if there is none.
func emptyLine(p []byte) int {
	if i := bytes.Index(p, []byte("\n\r\n")); i >= 0 {
		return i
	}
	return bytes.Index(p, []byte("\n\n"))
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
