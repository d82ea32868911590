package front

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
)

const (
	// ordinaryLines is the number of header lines whose memory is part of connectionBytes.
	ordinaryLines = 32
	// lineBytes is the memory of a header line beyond its bytes: the parsed entry of the HTTP library, which doubles its list as it
	// grows, the strings of the name and the value, and the same again in the request that is sent to a server.
	lineBytes = 512
	// objectBytes and elementBytes are the memory of an object and of an element or member in a JSON document, beyond its bytes.
	objectBytes  = 512
	elementBytes = 64
	// roomWait is how long a request waits for memory before it is refused.
	roomWait = 1500 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that was refused for want of memory, in seconds.
	refusedRetryAfter = 1
	// firstBufferBytes is the size of the first buffer of a chunked body. Each further one is bufferGrowth times as large, up to
	// largeBufferBytes. The next one has the size of the largest body if that fits: with both held while the content is copied, a
	// body of 32 MiB fits into the smallest budget of the platform (memory-mb of 134).
	firstBufferBytes = 16 << 10
	bufferGrowth     = 4
	largeBufferBytes = 2 << 20
)

var errNoRoom = errs.New(errs.Unavailable, "send the request again", "this VM has no memory for the request at the moment")

// releaseBody gives back the memory of the present body.
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
	c.inHeader = false
	var err error
	if s.declaresLargeBody(&ctx.Request.Header) {
		err = fasthttp.ErrBodyTooLarge
	} else {
		err = c.reserveHeader(bytes.Count(ctx.Request.Header.RawHeaders(), []byte{'\n'}), 0)
	}
	if err == nil && ctx.Request.IsBodyStream() {
		var body []byte
		if body, err = s.readBody(ctx, c); err == nil {
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

// skipLargeBody keeps the HTTP library from waiting for the first byte of a body that is too large, so that receive refuses the
// request at once.
func (s *Server) skipLargeBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.opts.MaxBodyBytes {
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{}
}

// declaresLargeBody reports whether skipLargeBody changed the length of the request.
func (s *Server) declaresLargeBody(h *fasthttp.RequestHeader) bool {
	const name = "content-length:"
	if h.ContentLength() != 0 {
		return false
	}
	for line := range bytes.Lines(h.RawHeaders()) {
		if !hasHeaderField(line, name) {
			continue
		}
		length, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(name):])), 10, 64)
		return err == nil && length > uint64(s.opts.MaxBodyBytes)
	}
	return false
}

// reserveHeader reserves memory for the lines of the present header until releaseHeader. The HTTP library parses also a header
// that is not complete, so Read calls it before it passes the lines on. Lines that came together with an earlier request are
// counted when the request is served.
func (c *conn) reserveHeader(lines int, wait time.Duration) error {
	if lines <= ordinaryLines {
		return nil
	}
	n := int64(lines)*lineBytes + int64(c.server.opts.MaxHeaderBytes)
	if n <= c.headerBytes {
		return nil
	}
	if !c.holder.Reserve(n-c.headerBytes, wait) {
		return errNoRoom
	}
	c.headerParts = append(c.headerParts, n-c.headerBytes)
	c.headerBytes = n
	return nil
}

// releaseHeader frees a header with many lines, whose memory the HTTP library would keep for further requests.
func (c *conn) releaseHeader(ctx *fasthttp.RequestCtx) {
	c.headerLines = 0
	if c.headerBytes == 0 {
		return
	}
	ctx.Response.SkipBody = ctx.Response.SkipBody || ctx.IsHead() // the library looks at the method once more
	ctx.Request.Header = fasthttp.RequestHeader{}
	for _, n := range c.headerParts {
		c.holder.Release(n)
	}
	c.headerBytes, c.headerParts = 0, nil
}

// readBody reads the body of a request. It reserves the declared length before it reads, and the memory of a chunked body before
// each growth.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn) ([]byte, error) {
	stream, length := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	if length > s.opts.MaxBodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if length >= 0 && length <= smallBodyBytes {
		if cap(c.body) < length {
			c.body = make([]byte, smallBodyBytes)
		}
		_, err := io.ReadFull(stream, c.body[:length]) // all of it was received with the header
		return c.body[:length], truncated(err)
	}
	size := length
	if length < 0 {
		size = firstBufferBytes
	}
	if err := s.reserveBody(c, int64(size)); err != nil {
		return nil, err
	}
	c.beginBody(s.opts.ReadTimeout)
	defer c.endBody()
	body := make([]byte, size)
	if length >= 0 {
		_, err := io.ReadFull(stream, body)
		return body, truncated(err)
	}
	n := 0
	for {
		m, err := stream.Read(body[n:])
		n += m
		switch {
		case errors.Is(err, io.EOF):
			return body[:n], nil
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

func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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
