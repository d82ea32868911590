package front

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
)

const (
	// objectBytes and elementBytes are the memory of an object and of an element or member in a JSON document, beyond its bytes.
	objectBytes  = 512
	elementBytes = 64
	// roomWait is how long a request waits for memory before it is refused.
	roomWait = 1500 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that was refused for want of memory, in seconds.
	refusedRetryAfter = 1
	// firstBufferBytes is the size of the first buffer of a chunked body. Each further one is bufferGrowth times as large, up to
	// largeBufferBytes. The next one has the size of the largest body if that fits, so that no more than largeBufferBytes is held
	// twice while the content is copied.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 4
	largeBufferBytes = 2 << 20
)

var errNoRoom = errs.New(errs.Unavailable, "send the request again", "this VM has no memory for the request at the moment")

// releaseBody gives back the memory of the present body, to which nothing may refer any more.
func (c *conn) releaseBody() {
	c.holder.Release(c.bodyBytes)
	c.holder.Release(c.documentBytes)
	c.bodyBytes, c.documentBytes = 0, 0
}

// ReserveDocument reserves the memory that parsing the JSON body of a request takes, until the request ends. A body of many empty
// objects takes a hundred times its size. A refused request has not run.
func ReserveDocument(ctx *fasthttp.RequestCtx) error {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return nil
	}
	body := ctx.Request.Body()
	n := int64(bytes.Count(body, []byte{'{'}))*objectBytes + int64(bytes.Count(body, []byte{','}))*elementBytes
	if n <= budget.SmallBytes {
		return nil
	}
	if !c.server.opts.Budget.Fits(n) {
		return errs.New(errs.PayloadTooLarge, "send fewer objects at once", "the objects of the request take %d bytes, which exceeds the memory of this VM", n)
	}
	if !c.holder.Reserve(n, roomWait) {
		return errNoRoom
	}
	c.documentBytes = n
	return nil
}

// receive reads the body of the request and reserves its memory. It reports whether the request can run; if not, it has answered.
func (s *Server) receive(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return true // not accepted by Serve
	}
	length, err := bodyLength(ctx.Request.Header.RawHeaders())
	if err == nil && length != 0 {
		ctx.Request.Header.SetContentLength(length) // that hideBody hid
		var body []byte
		if body, err = s.readBody(c, length); err == nil {
			ctx.Request.SetBodyRaw(body)
		}
	}
	if err == nil && c.holder.SetPhase(budget.Running) {
		return true
	}
	if c.holder.Dropped() {
		ctx.SetConnectionClose()
		return false
	}
	c.holder.SetPhase(budget.Answering)
	ctx.Request.ResetBody()
	c.releaseBody()
	c.releaseHeader(ctx)
	s.refuseUnread(ctx, err)
	return false
}

// refuseUnread answers a request that was not received.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	var typed *errs.Error
	if !errors.As(err, &typed) {
		err = s.describeReadError(err)
	}
	s.refuse(ctx, err, true)
	if errs.Is(err, errs.Unavailable) {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(refusedRetryAfter))
	}
	ctx.SetConnectionClose()
}

// readBody reads the body of a request. It reserves the declared length before it reads, and the memory of a chunked body before
// each growth.
func (s *Server) readBody(c *conn, length int) ([]byte, error) {
	if length > s.opts.MaxBodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	c.beginBody(s.opts.ReadTimeout)
	defer c.endBody()
	if length == chunkedLength {
		return s.readChunks(c)
	}
	if length <= smallBodyBytes {
		if c.body == nil {
			c.body = make([]byte, smallBodyBytes)
		}
		_, err := io.ReadFull(c.in, c.body[:length])
		return c.body[:length], truncated(err)
	}
	if err := s.reserveBody(c, int64(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.in, body)
	return body, truncated(err)
}

// readChunks reads a chunked body and its trailer.
func (s *Server) readChunks(c *conn) ([]byte, error) {
	if err := s.reserveBody(c, firstBufferBytes); err != nil {
		return nil, err
	}
	body, n, chunks := make([]byte, firstBufferBytes), 0, httputil.NewChunkedReader(c.in)
	for {
		m, err := chunks.Read(body[n:])
		n += m
		switch {
		case errors.Is(err, io.EOF):
			return body[:n], c.skipTrailer()
		case err != nil:
			return nil, err
		case n > s.opts.MaxBodyBytes:
			return nil, fasthttp.ErrBodyTooLarge
		case n < len(body):
			continue
		}
		if body, err = s.growBody(c, body); err != nil {
			return nil, err
		}
	}
}

// reserveBody reserves n bytes for a body.
func (s *Server) reserveBody(c *conn, n int64) error {
	if !s.opts.Budget.Fits(n) {
		return errs.New(errs.PayloadTooLarge, "send a shorter body", "request body of %d bytes exceeds the memory of this VM", n)
	}
	if !c.holder.Reserve(n, roomWait) {
		return errNoRoom
	}
	c.bodyBytes += n
	if n > budget.SmallBytes {
		c.expectLargeBody()
	}
	return nil
}

// growBody returns a larger buffer with the same content.
func (s *Server) growBody(c *conn, body []byte) ([]byte, error) {
	largest := s.opts.MaxBodyBytes + 1 // so that a body that is too large is noticed
	size := min(len(body)*bufferGrowth, largeBufferBytes, largest)
	switch {
	case len(body) < largeBufferBytes:
	case s.opts.Budget.Fits(int64(largest)):
		size = largest
	default:
		size = min(len(body)*2, largest)
	}
	if err := s.reserveBody(c, int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, size)
	copy(grown, body)
	c.holder.Release(int64(len(body)))
	c.bodyBytes -= int64(len(body))
	return grown, nil
}
