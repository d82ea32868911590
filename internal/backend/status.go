package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/errs"
)

// Bounds of the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

const statusLinePrefix = "HTTP/1.1 200"

// IsStatus reports whether a number is a status code of HTTP.
func IsStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// parseStatusLine returns the status code in the first bytes of a status line: "HTTP/1.", a digit, a space, and three digits that
// a space or the end of the line follows. The HTTP library reads other codes too, and reports status 000 as 200.
func parseStatusLine(line []byte) (int, error) {
	line = bytes.TrimRight(line, "\r\n")
	valid := len(line) >= len(statusLinePrefix) && string(line[:7]) == statusLinePrefix[:7] && isDigit(line[7]) && line[8] == ' ' &&
		(len(line) == len(statusLinePrefix) || line[len(statusLinePrefix)] == ' ')
	status := 0
	for i := 9; valid && i < len(statusLinePrefix); i++ {
		valid = isDigit(line[i])
		status = 10*status + int(line[i]-'0')
	}
	if !valid || !IsStatus(status) {
		return 0, errs.New(errs.BackendFailed, "check the backend server", "status line %.60q has no status from %d to %d", line, minStatus, maxStatus)
	}
	return status, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// peekStatus returns the status code of the response that br is about to read.
func peekStatus(br *bufio.Reader) (int, error) {
	for n := len(statusLinePrefix) + 1; ; n++ {
		line, err := br.Peek(n)
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			return parseStatusLine(line[:end])
		}
		// The byte after the status decides.
		if len(line) > len(statusLinePrefix) && line[len(statusLinePrefix)] != '\r' {
			return parseStatusLine(line)
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// checkInterim returns an error if a response with an interim (1xx) status cannot be skipped: it switches the protocol, or
// announces a body, which an interim response does not have and whose bytes would be taken for the next response.
func checkInterim(h *fasthttp.ResponseHeader) error {
	if h.StatusCode() == fasthttp.StatusSwitchingProtocols || len(h.Peek("Content-Length")) > 0 || len(h.Peek("Transfer-Encoding")) > 0 {
		return errs.New(errs.BackendFailed, "check the backend server", "interim response with status %d switches the protocol or announces a body", h.StatusCode())
	}
	return nil
}
