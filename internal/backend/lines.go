package backend

import (
	"bytes"
	"errors"
	"io"

	"filbertledge/internal/errs"
)

// EventLines reads the lines of a text/event-stream. A line ends with LF, CR LF or CR. A bufio.Reader is not enough for that:
// it would wait for the byte after a CR.
type EventLines struct {
	r        io.Reader
	buf      []byte // read buffer
	unread   []byte // the part of buf that holds what was read but not returned
	readErr  error  // error of the last read, which also returned bytes
	maxBytes int    // of one event
	line     []byte // the begin of a line that the buffer does not hold any more
	size     int    // of the current event, in bytes
	afterCR  bool   // the last line ended with CR; an LF that follows belongs to its end
	reserve  func(n int) error
	reserved int // event bytes covered by calls of reserve, which gets eventCopies times as many
}

// smallEventBytes is the size up to which an event is not counted.
const smallEventBytes = 64 << 10

// SetReserve makes reserve be called before an event takes more memory than smallEventBytes and than the events before it, with
// the number of bytes. Its error ends the stream.
func (l *EventLines) SetReserve(reserve func(n int) error) { l.reserve = reserve }

// NewEventLines returns a reader of the lines of r, with a buffer of bufferBytes. The lines that follow a call of BeginEvent,
// up to the next one, may have maxBytes.
func NewEventLines(r io.Reader, bufferBytes, maxBytes int) *EventLines {
	return &EventLines{r: r, buf: make([]byte, bufferBytes), maxBytes: maxBytes}
}

// BeginEvent begins to count the bytes of an event.
func (l *EventLines) BeginEvent() { l.size = 0 }

// Next returns the next line without its end; it is valid until the next call. The error is io.EOF at the end of the input,
// and io.ErrUnexpectedEOF if the input ends within a line.
func (l *EventLines) Next() ([]byte, error) {
	l.line = l.line[:0]
	for {
		if len(l.unread) == 0 {
			if err := l.read(); err != nil {
				if errors.Is(err, io.EOF) && len(l.line) > 0 {
					err = io.ErrUnexpectedEOF
				}
				return nil, err
			}
		}
		if l.afterCR {
			l.afterCR = false
			if l.unread[0] == '\n' {
				l.unread = l.unread[1:]
				continue
			}
		}
		end := indexLineEnd(l.unread)
		if end < 0 {
			if err := l.count(len(l.unread)); err != nil {
				return nil, err
			}
			l.line = append(l.line, l.unread...)
			l.unread = nil
			continue
		}
		if err := l.count(end + 1); err != nil {
			return nil, err
		}
		line := l.unread[:end]
		l.afterCR = l.unread[end] == '\r'
		l.unread = l.unread[end+1:]
		if len(l.line) > 0 {
			l.line = append(l.line, line...)
			line = l.line
		}
		return line, nil
	}
}

// eventCopies is how many times an event is in memory: its lines, and the data that they are joined to.
const eventCopies = 2

// maxEmptyReads bounds the reads in a row that return neither bytes nor an error.
const maxEmptyReads = 100

// read fills the empty buffer with what has arrived, at least one byte.
func (l *EventLines) read() error {
	for range maxEmptyReads {
		if l.readErr != nil {
			return l.readErr
		}
		var n int
		n, l.readErr = l.r.Read(l.buf)
		if n > 0 {
			l.unread = l.buf[:n]
			return nil
		}
	}
	return io.ErrNoProgress
}

// indexLineEnd returns the position of the first LF or CR, or -1.
func indexLineEnd(b []byte) int {
	lf := bytes.IndexByte(b, '\n')
	if lf >= 0 {
		b = b[:lf]
	}
	if cr := bytes.IndexByte(b, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

func (l *EventLines) count(n int) error {
	l.size += n
	if l.reserve != nil && l.size > l.reserved+smallEventBytes {
		l.reserved += smallEventBytes
		if err := l.reserve(eventCopies * smallEventBytes); err != nil {
			return err
		}
	}
	if l.size > l.maxBytes {
		return errs.New(errs.BackendFailed, "resend the request", "event of the stream exceeds %d bytes", l.maxBytes)
	}
	return nil
}

// eventBuffered reports whether the buffer contains the end of an event. It does not read.
func (l *EventLines) eventBuffered() bool {
	return bytes.Contains(l.unread, []byte("\n\n")) || bytes.Contains(l.unread, []byte("\n\r\n"))
}

// expectEnd reads and reports whether the input ends here.
func (l *EventLines) expectEnd() bool {
	return len(l.unread) == 0 && errors.Is(l.read(), io.EOF)
}
