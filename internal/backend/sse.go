package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertledge/internal/errs"
)

// eventBufferBytes is the size of the read buffer of a stream.
const eventBufferBytes = 4 << 10

// eventReader parses server-sent events. It returns the data of the events and skips their other fields.
type eventReader struct {
	br   *bufio.Reader
	line []byte
	data []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, eventBufferBytes)}
}

var dataField = []byte("data:")

// next returns the data of the next event, which is valid until the next call. The end of the input is
// io.ErrUnexpectedEOF even between events, because a complete stream ends with an end marker.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		if err := e.appendData(line[len(dataField):], hasData); err != nil {
			return nil, err
		}
		hasData = true
	}
}

// nextBuffered reports whether the buffer contains another complete event. It does not read from the connection.
func (e *eventReader) nextBuffered() bool {
	buffered, err := e.br.Peek(e.br.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// appendData appends the value of one data line. The lines of one event are joined with newlines.
func (e *eventReader) appendData(value []byte, continued bool) error {
	value = bytes.TrimPrefix(value, []byte(" "))
	if len(e.data)+len(value) >= maxEventBytes {
		return eventTooLongError()
	}
	if continued {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	return nil
}

func eventTooLongError() error {
	return errs.New(errs.BackendFailed, "resend the request", "event of the stream exceeds %d bytes", maxEventBytes)
}

// readLine returns the next line without its line end. For a last line without a line end it returns io.EOF.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		fragment, err := e.br.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimLineEnd(fragment), nil
		}
		if len(e.line)+len(fragment) > maxEventBytes {
			return nil, eventTooLongError()
		}
		e.line = append(e.line, fragment...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return trimLineEnd(e.line), nil
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
