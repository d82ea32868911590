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
	// grows, the separate strings of the name and the value, and the copy that is sent to a server.
	lineBytes = 256
	// roomWait is how long a request waits for memory before it is refused.
	roomWait = 1500 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that was refused for want of memory, in seconds.
	refusedRetryAfter = 1
	// firstBufferBytes is the size of the first buffer of a chunked body. Each further one is bufferGrowth times as large, and
	// one of more than largeBufferBytes has the size of the largest body if that fits.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 4
	largeBufferBytes = 4 << 20
)

var errNoRoom = errs.New(errs.Unavailable, "send the request again", "this VM has no memory for the request at the moment")

// received is what a request holds of the budget.
type received struct {
	holder *budget.Holder
	bytes  int64
}

func (r *received) release() {
	if r.holder != nil {
		r.holder.Release(r.bytes)
		r.bytes = 0
	}
}

// receive reads the body of the request and reserves its memory. It reports whether the request can run; if not, it has answered.
func (s *Server) receive(ctx *fasthttp.RequestCtx, r *received) bool {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return true // not accepted by Serve
	}
	r.holder = c.holder
	c.inHeader = false
	err := c.reserveHeader(ctx.Request.Header.RawHeaders())
	if err == nil && ctx.Request.IsBodyStream() {
		var body []byte
		if body, err = s.readBody(ctx, c, r); err == nil {
			ctx.Request.SetBodyRaw(body)
		}
	}
	if err == nil && c.holder.SetPhase(budget.Running) {
		return true
	}
	ctx.SetConnectionClose()
	if c.holder.Dropped() {
		return false
	}
	c.holder.SetPhase(budget.Answering)
	r.release()
	c.releaseHeader(ctx)
	if errs.Is(err, errs.Unavailable) {
		s.refuse(ctx, err, true)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(refusedRetryAfter))
		return false
	}
	var typed *errs.Error
	if !errors.As(err, &typed) {
		err = s.describeReadError(err)
	}
	s.refuse(ctx, err, true)
	return false
}

// reserveHeader reserves memory for the lines of a header until releaseHeader.
func (c *conn) reserveHeader(raw []byte) error {
	lines := bytes.Count(raw, []byte{'\n'})
	if c.manyLines = lines > ordinaryLines; !c.manyLines {
		return nil
	}
	n := int64(lines)*lineBytes + 2*int64(len(raw))
	if !c.holder.Reserve(n, 0) {
		return errNoRoom
	}
	c.headerBytes = n
	return nil
}

// releaseHeader frees a header with many lines, whose memory the HTTP library would keep for further requests.
func (c *conn) releaseHeader(ctx *fasthttp.RequestCtx) {
	if !c.manyLines {
		return
	}
	ctx.Response.SkipBody = ctx.Response.SkipBody || ctx.IsHead() // the library looks at the method once more
	ctx.Request.Header = fasthttp.RequestHeader{}
	c.holder.Release(c.headerBytes)
	c.headerBytes, c.manyLines = 0, false
}

// readBody reads the body of a request. It reserves the declared length before it reads, and the memory of a chunked body before
// each growth.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn, r *received) ([]byte, error) {
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
	if err := s.reserveBody(r, int64(size)); err != nil {
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
		if body, err = s.growBody(r, body); err != nil {
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
func (s *Server) reserveBody(r *received, n int64) error {
	if !s.opts.Budget.Fits(n) {
		return errs.New(errs.PayloadTooLarge, "send a shorter body", "request body of %d bytes exceeds the memory of this VM", n)
	}
	if !r.holder.Reserve(n, roomWait) {
		return errNoRoom
	}
	r.bytes += n
	return nil
}

// growBody returns a larger buffer with the same content.
func (s *Server) growBody(r *received, body []byte) ([]byte, error) {
	largest := s.opts.MaxBodyBytes + 1 // so that a body that is too large is noticed
	size := min(len(body)*bufferGrowth, largest)
	if size > largeBufferBytes && s.opts.Budget.Fits(int64(largest)) {
		size = largest
	} else if size > largeBufferBytes {
		size = min(len(body)*2, largest)
	}
	if err := s.reserveBody(r, int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, size)
	copy(grown, body)
	r.holder.Release(int64(len(body)))
	r.bytes -= int64(len(body))
	return grown, nil
}
