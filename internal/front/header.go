package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
)

const (
	// smallHeaderBytes and ordinaryFields bound a header whose memory is part of connectionBytes.
	smallHeaderBytes = 4 << 10
	ordinaryFields   = 64
	// firstHeaderBytes is the size of the first buffer for headers.
	firstHeaderBytes = 512
	// fieldBytes is the memory of a header line, or of an element of a list in it, beyond its bytes: the parsed entry of the HTTP
	// library, which doubles its list as it grows, the strings of the name and the value, and the same again in the request that
	// is sent to a server.
	fieldBytes = 512
	// headerCopies is the number of buffers of the size of the largest header that a header above smallHeaderBytes may take: the one
	// it is received in, that of the HTTP library, and what is kept of it there.
	headerCopies = 3
)

// chunkedLength is the length of a body that is sent in chunks.
const chunkedLength = -1

var errMalformed = errs.New(errs.InvalidArgument, "send a well-formed HTTP/1.1 request", "request is malformed")

// nextHeader waits for the next request and receives its header. If the header is refused, the HTTP library gets its first byte
// before the error: without any data it would close the connection without an answer.
func (c *conn) nextHeader() error {
	if err := c.headerErr; err != nil {
		c.headerErr = nil
		return err
	}
	if phase := c.holder.Phase(); phase == budget.Answering || phase == budget.Running { // the answer to the last request has been sent
		c.endAnswer()
		c.holder.SetPhase(budget.Idle)
	}
	c.giveBackHeader() // of a request whose answer was streamed
	first, err := c.in.Peek(1)
	if err != nil {
		return err
	}
	c.holder.SetPhase(budget.Receiving)
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.server.opts.HeaderTimeout)); err != nil {
		return err
	}
	c.firstByte[0] = first[0]
	if err := c.receiveHeader(); err != nil {
		c.header, c.headerErr = c.firstByte[:], err
	}
	return nil
}

// receiveHeader receives a header up to its empty line, and reserves the memory that parsing it takes.
func (c *conn) receiveHeader() error {
	header, fields, lineStart := c.headerBuffer[:0], 0, 0
	c.inHeader, c.headerBytes = true, 0
	defer func() { c.inHeader = false }()
	for {
		part, err := c.in.ReadSlice('\n')
		if c.headerBytes += len(part); c.headerBytes > c.server.opts.MaxHeaderBytes {
			return c.errLargeHeader()
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return truncated(err)
		}
		if len(header) == 0 && isEmptyLine(part) {
			continue // before the request line
		}
		if header, err = c.appendHeader(header, part); err != nil {
			return err
		}
		fields += bytes.Count(part, []byte{','})
		if part[len(part)-1] != '\n' {
			continue // a line that is longer than the receive buffer
		}
		fields++
		if isEmptyLine(header[lineStart:]) {
			break
		}
		lineStart = len(header)
	}
	// The HTTP library accepts no other end. It would wait for it beyond the empty line.
	if !bytes.HasSuffix(header, []byte("\r\n\r\n")) {
		return errMalformed
	}
	if fields > ordinaryFields {
		if err := c.reserveHeader(int64(fields) * fieldBytes); err != nil {
			return err
		}
	}
	c.header, c.headerBuffer = header, header
	return nil
}

// checkHeaderRoom returns an error if the present header is as large as allowed and has not ended, so that it is refused without
// waiting for more of it.
func (c *conn) checkHeaderRoom() error {
	if c.inHeader && c.headerBytes+c.in.Buffered() >= c.server.opts.MaxHeaderBytes {
		return c.errLargeHeader()
	}
	return nil
}

func (c *conn) errLargeHeader() error {
	return errs.New(errs.PayloadTooLarge, "send shorter headers", "request header exceeds %d bytes", c.server.opts.MaxHeaderBytes)
}

func isEmptyLine(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }

// appendHeader appends a part of a header. It reserves the memory of a larger buffer before it allocates it.
func (c *conn) appendHeader(header, part []byte) ([]byte, error) {
	size := len(header) + len(part)
	switch {
	case size <= cap(header):
	case size <= smallHeaderBytes:
		header = append(make([]byte, 0, min(max(2*cap(header), size, firstHeaderBytes), smallHeaderBytes)), header...)
	default:
		if err := c.reserveHeader(int64(headerCopies * c.server.opts.MaxHeaderBytes)); err != nil {
			return nil, err
		}
		header = append(make([]byte, 0, c.server.opts.MaxHeaderBytes), header...)
	}
	return append(header, part...), nil
}

// reserveHeader reserves n more bytes for the present header until releaseHeader.
func (c *conn) reserveHeader(n int64) error {
	if !c.holder.Reserve(n, roomWait) {
		return errNoRoom
	}
	c.headerParts = append(c.headerParts, n)
	return nil
}

// releaseHeader frees a header whose memory was reserved. The HTTP library would keep it for further requests.
func (c *conn) releaseHeader(ctx *fasthttp.RequestCtx) {
	if len(c.headerParts) == 0 {
		return
	}
	ctx.Response.SkipBody = ctx.Response.SkipBody || ctx.IsHead() // the library looks at the method once more
	ctx.Request.Header = fasthttp.RequestHeader{}
	c.giveBackHeader()
}

// giveBackHeader gives back what was reserved for a header.
func (c *conn) giveBackHeader() {
	if len(c.headerParts) == 0 {
		return
	}
	for _, n := range c.headerParts {
		c.holder.Release(n)
	}
	c.headerBuffer, c.headerParts = nil, nil
}

// hideBody keeps the HTTP library from reading the body of a request. Server.receive reads it.
func hideBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > 0 || h.ContentLength() == chunkedLength {
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{}
}

// bodyLength returns the length of the body that a header announces, or chunkedLength. The HTTP library has checked the lines, but
// hideBody has overwritten what it read from them. A header with both Content-Length and Transfer-Encoding is refused: another proxy
// may place the boundary between two requests elsewhere, which permits request smuggling.
func bodyLength(header []byte) (int, error) {
	const length, encoding = "content-length:", "transfer-encoding:"
	n, chunked, seen := 0, false, 0
	for len(header) > 0 {
		line := header
		if end := bytes.IndexByte(header, '\n'); end >= 0 {
			line = header[:end]
			header = header[end+1:]
		} else {
			header = nil
		}
		switch {
		case hasPrefixFold(line, length):
			var err error
			if n, err = strconv.Atoi(string(bytes.TrimSpace(line[len(length):]))); err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
				return 0, errMalformed
			}
			seen++
		case hasPrefixFold(line, encoding):
			value := bytes.TrimSpace(line[len(encoding):])
			chunked = bytes.EqualFold(value, []byte("chunked"))
			if !chunked && !bytes.EqualFold(value, []byte("identity")) {
				return 0, errMalformed // such as a value on a continuation line
			}
			seen++
		}
	}
	if seen > 1 {
		return 0, errs.New(errs.InvalidArgument, "send one of them", "request has both Content-Length and Transfer-Encoding")
	}
	if chunked {
		return chunkedLength, nil
	}
	return n, nil
}

// hasPrefixFold reports whether line begins with the prefix, which is in lower case, in any letter case.
func hasPrefixFold(line []byte, prefix string) bool {
	return len(line) >= len(prefix) && line[0]|0x20 == prefix[0] && bytes.EqualFold(line[:len(prefix)], []byte(prefix))
}

// skipTrailer reads the trailer of a chunked body and drops it.
func (c *conn) skipTrailer() error {
	for size, lineStart := 0, true; ; {
		part, err := c.in.ReadSlice('\n')
		if size += len(part); size > c.server.opts.MaxHeaderBytes {
			return errs.New(errs.PayloadTooLarge, "send a shorter trailer", "request trailer exceeds %d bytes", c.server.opts.MaxHeaderBytes)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			lineStart = false
		case err != nil:
			return truncated(err)
		case lineStart && isEmptyLine(part):
			return nil
		default:
			lineStart = true
		}
	}
}

// truncated describes the end of the data within a message.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("request is not complete: %w", io.ErrUnexpectedEOF)
	}
	return err
}
