package link

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"filbertledge/internal/boottime"
	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 16 << 10
	// maxQueuedFrames bounds the send queue of a connection, and maxQueuedBytes the size of the requests and replies in it that
	// are larger than smallFrameBytes. One that is larger than maxQueuedBytes is accepted if the queue is empty. The senders of
	// one-way messages bound what they send, and must be able to send a snapshot.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 8 << 20
	smallFrameBytes = 4 << 10
	// writeTimeout is the time after which a connection is closed if the peer does not read.
	writeTimeout = 2 * time.Second
)

// conn is a network connection with a send queue.
type conn struct {
	net.Conn
	sendQueue        chan *frame
	done             chan struct{}
	closeOnce        sync.Once
	lastReceived     atomic.Int64 // time since boot of the last received frame, in nanoseconds
	queuedSinceCheck atomic.Int64 // frames queued since the last check by clientConn.monitor
	queuedBytes      atomic.Int64 // size of the frames in the send queue
	replyLimit       int64        // bytes; accepted connections only
	replies          *semaphore.Weighted
	holder           *budget.Holder // nil if accepted connections have no limit
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, sendQueue: make(chan *frame, maxQueuedFrames), done: make(chan struct{})}
	c.lastReceived.Store(int64(boottime.Now()))
	return c
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Conn.Close() // the error is irrelevant, as the connection is no longer used
	})
}

// reset closes the connection so that bytes that were sent and have not arrived are lost. After an orderly close, the kernel would
// go on sending them, and a call could run long after its caller was told that it failed.
func (c *conn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails only if the connection has ended
	}
	c.close()
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
	size := int64(len(f.body))
	bounded := f.kind != frameOneWay && size > smallFrameBytes
	if queued := c.queuedBytes.Add(size); bounded && queued > maxQueuedBytes && queued > size {
		c.queuedBytes.Add(-size)
		return false
	}
	select {
	case c.sendQueue <- &f:
		c.queuedSinceCheck.Add(1)
	default:
		c.queuedBytes.Add(-size)
		return false
	}
	if c.closed() {
		c.dropQueued() // writeLoop may have ended before the frame was queued
	}
	return true
}

// dequeued updates the size of the queue after a frame has been written or dropped.
func (c *conn) dequeued(f frame) {
	c.queuedBytes.Add(-int64(len(f.body)))
	if f.done != nil {
		f.done()
	}
}

// dropQueued drops the frames in the send queue of a closed connection.
func (c *conn) dropQueued() {
	for {
		select {
		case f := <-c.sendQueue:
			c.dequeued(*f)
		default:
			return
		}
	}
}

// writeLoop writes the queued frames until the connection is closed.
func (c *conn) writeLoop() {
	defer c.dropQueued()
	defer c.close()
	var w *bufio.Writer
	for {
		select {
		case <-c.done:
			return
		case f := <-c.sendQueue:
			if w == nil {
				w = bufio.NewWriterSize(c.Conn, bufferBytes)
			}
			if c.writeQueued(w, f) != nil {
				return
			}
		}
	}
}

// writeQueued writes f and then the queued frames, and flushes when the queue is empty.
func (c *conn) writeQueued(w *bufio.Writer, f *frame) error {
	for {
		err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			err = writeFrame(w, *f)
		}
		c.dequeued(*f)
		if err != nil {
			return err
		}
		select {
		case f = <-c.sendQueue:
		default:
			return w.Flush()
		}
	}
}

// readLoop passes each received frame to handle, until the connection ends. knows is that of readFrame.
func (c *conn) readLoop(knows func(method string) bool, handle func(frame)) error {
	defer c.close()
	r := bufio.NewReaderSize(c.Conn, bufferBytes)
	for {
		f, err := readFrame(r, knows)
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
