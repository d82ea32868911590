package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertledge/internal/errs"
)

// eventReader parses server-sent events. It returns only the data of events.
type eventReader struct {
	br   *bufio.Reader
	line []byte
	data []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, 4<<10)}
}

var dataField = []byte("data:")

// next returns the data of the next event. It is valid until the next call. An end of the input within or
// between events is io.ErrUnexpectedEOF: a stream ends with a mark of its own.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return e.data, nil
			}
			continue
		}
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		if err := e.add(line[len(dataField):], seen); err != nil {
			return nil, err
		}
		seen = true
	}
}

// more reports whether another event has arrived, as far as that can be told without reading.
func (e *eventReader) more() bool {
	buffered, err := e.br.Peek(e.br.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// add appends one data line; lines of one event are joined with newlines.
func (e *eventReader) add(value []byte, joined bool) error {
	value = bytes.TrimPrefix(value, []byte(" "))
	if len(e.data)+len(value) >= maxEventBytes {
		return errTooLong()
	}
	if joined {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	return nil
}

func errTooLong() error {
	return errs.New(errs.BackendFailed, "resend the request", "event of the stream exceeds %d bytes", maxEventBytes)
}

// readLine returns a line without its end. A last line without an end is an unexpected end.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.br.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimEnd(part), nil
		}
		if len(e.line)+len(part) > maxEventBytes {
			return nil, errTooLong()
		}
		e.line = append(e.line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return trimEnd(e.line), nil
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
