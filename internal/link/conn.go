package link

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 16 << 10
	// maxQueuedFrames bounds the send queue of a connection.
	maxQueuedFrames = 1024
	// writeTimeout is the time after which a connection is closed if the peer does not read.
	writeTimeout = 2 * time.Second
)

// conn is a network connection with a send queue.
type conn struct {
	net.Conn
	sendQueue        chan frame
	done             chan struct{}
	closeOnce        sync.Once
	lastReceived     atomic.Int64 // time since boot of the last received frame, in nanoseconds
	queuedSinceCheck atomic.Int64 // frames queued since the last check by clientConn.monitor
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, sendQueue: make(chan frame, maxQueuedFrames), done: make(chan struct{})}
	c.lastReceived.Store(int64(boottime.Now()))
	return c
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Conn.Close() // the error is irrelevant, as the connection is no longer used
	})
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// enqueue adds f to the send queue and reports whether it did. It returns false if the queue is full or the
// connection is closed.
func (c *conn) enqueue(f frame) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.sendQueue <- f:
		c.queuedSinceCheck.Add(1)
		return true
	default:
		return false
	}
}

// writeLoop writes the queued frames until the connection is closed.
func (c *conn) writeLoop() {
	defer c.close()
	w := bufio.NewWriterSize(c.Conn, bufferBytes)
	for {
		select {
		case <-c.done:
			return
		case f := <-c.sendQueue:
			if c.writeQueued(w, f) != nil {
				return
			}
		}
	}
}

// writeQueued writes f and then the queued frames, and flushes when the queue is empty.
func (c *conn) writeQueued(w *bufio.Writer, f frame) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := writeFrame(w, f); err != nil {
			return err
		}
		select {
		case f = <-c.sendQueue:
		default:
			return w.Flush()
		}
	}
}

// readLoop passes each received frame to handle, until the connection ends.
func (c *conn) readLoop(handle func(frame)) error {
	defer c.close()
	r := bufio.NewReaderSize(c.Conn, bufferBytes)
	for {
		f, err := readFrame(r)
		if errs.Is(err, errs.InvalidArgument) {
			return err
		}
		if err != nil {
			return errs.Wrap(err, errs.Unavailable, "call again", "connection to %s ended", c.RemoteAddr())
		}
		c.lastReceived.Store(int64(boottime.Now()))
		handle(f)
	}
}
