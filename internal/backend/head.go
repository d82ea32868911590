package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"unsafe"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"filbertledge/internal/errs"
)

// peekHead checks the head of the response that br is about to read, up to its empty line, and returns its status code. It consumes
// nothing. The HTTP library accepts blanks in field names and lines that continue a field, so that it may pass on a field that
// others read differently, or take one for the length of the body.
func peekHead(br *bufio.Reader) (status int, err error) {
	if status, err = peekStatus(br); err != nil {
		return 0, err
	}
	statusLine, err := peekLine(br, 0)
	if err != nil {
		return 0, err
	}
	allowsChunks := bytes.HasPrefix(statusLine, []byte("HTTP/1.1 "))
	for start := len(statusLine); ; {
		line, err := peekLine(br, start)
		if err != nil {
			return 0, err
		}
		start += len(line)
		if line = trimLineEnd(line); len(line) == 0 {
			return status, nil
		}
		name, err := fieldName(line)
		if err != nil {
			return 0, err
		}
		// The HTTP library ignores the field in responses of other versions, and chunks would be taken for the body.
		if !allowsChunks && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return 0, errs.New(errs.BackendFailed, "check the backend server", "response has a Transfer-Encoding and is not of HTTP/1.1")
		}
	}
}

// peekLine returns the line, with its end, that starts after the given number of bytes. It is valid until br is used again.
func peekLine(br *bufio.Reader, start int) ([]byte, error) {
	for n := start + 1; ; n = br.Buffered() + 1 {
		head, err := br.Peek(n)
		if err == nil {
			head, err = br.Peek(br.Buffered())
		}
		if len(head) > start {
			if end := bytes.IndexByte(head[start:], '\n'); end >= 0 {
				return head[start : start+end+1], nil
			}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errs.New(errs.BackendFailed, "check the backend server", "header of the response exceeds %d bytes", br.Size())
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// trimLineEnd returns the line without its LF or CR LF.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// fieldName returns the name of the header field in a line, or an error unless the line is one (RFC 9110, section 5): a name of token
// characters, a colon that follows it at once, and a value without control characters other than tabs.
func fieldName(line []byte) ([]byte, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !IsField(unsafe.String(unsafe.SliceData(name), len(name)), unsafe.String(unsafe.SliceData(value), len(value))) {
		return nil, errs.New(errs.BackendFailed, "check the backend server", "line %.60q of the response's header is no header field", line)
	}
	return name, nil
}

// IsField reports whether a name and a value make a header field of HTTP.
func IsField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// checkedHeadBytes bounds the head of a response on a connection of Dial; the HTTP library reads no larger one by default.
const checkedHeadBytes = 4 << 10

// Dial connects for an HTTP client that does not check heads itself. A response fails whose status is not a final one, from 200
// to 599, or whose head is malformed.
func Dial(addr string) (net.Conn, error) {
	nc, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: nc, br: bufio.NewReaderSize(nc, checkedHeadBytes)}, nil
}

// checkedConn checks the head of each response. A response follows a request; it is not used with pipelining.
type checkedConn struct {
	net.Conn
	br      *bufio.Reader
	checked bool // the head of the present response
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.br.Reset(c.Conn) // bytes that followed the last response belong to none
	c.checked = false
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if !c.checked {
		status, err := peekHead(c.br)
		if err != nil {
			return 0, err
		}
		if status < fasthttp.StatusOK {
			return 0, errs.New(errs.BackendFailed, "check the server", "interim response with status %d", status)
		}
		c.checked = true
	}
	return c.br.Read(p)
}
