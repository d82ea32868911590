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
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 16 << 10
	// queuedFrames bounds the frames that wait for one connection.
	queuedFrames = 1024
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 2 * time.Second
)

// conn is one connection with a queue of frames to write.
type conn struct {
	net.Conn
	out    chan frame
	done   chan struct{}
	once   sync.Once
	heard  atomic.Int64 // boot time at which bytes last arrived, in nanoseconds
	queued atomic.Int64 // frames queued since the last ping
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, out: make(chan frame, queuedFrames), done: make(chan struct{})}
	c.heard.Store(int64(boottime.Now()))
	return c
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Conn.Close() // the connection is given up; its error changes nothing
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

// enqueue reports whether f will be written unless the connection breaks.
func (c *conn) enqueue(f frame) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.out <- f:
		c.queued.Add(1)
		return true
	default:
		return false
	}
}

// writeLoop writes queued frames and flushes when the queue is empty.
func (c *conn) writeLoop() {
	defer c.close()
	w := bufio.NewWriterSize(c.Conn, bufferBytes)
	for {
		select {
		case <-c.done:
			return
		case f := <-c.out:
			if c.writeAll(w, f) != nil {
				return
			}
		}
	}
}

func (c *conn) writeAll(w *bufio.Writer, f frame) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := writeFrame(w, f); err != nil {
			return err
		}
		select {
		case f = <-c.out:
		default:
			return w.Flush()
		}
	}
}

// readLoop passes each frame to handle until the connection ends.
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
		c.heard.Store(int64(boottime.Now()))
		handle(f)
	}
}
