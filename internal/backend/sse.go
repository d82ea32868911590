package backend

import (
	"bytes"
	"errors"
	"io"
)

// eventBufferBytes is the size of the read buffer of a stream.
const eventBufferBytes = 4 << 10

// eventReader parses server-sent events. It returns the data of the events and skips their other fields.
type eventReader struct {
	lines *EventLines
	data  []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: NewEventLines(r, eventBufferBytes, maxEventBytes)}
}

var dataField = []byte("data:")

// next returns the data of the next event, which is valid until the next call. The end of the input is
// io.ErrUnexpectedEOF even between events, because a complete stream ends with an end marker.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	e.lines.BeginEvent()
	hasData := false
	for {
		line, err := e.lines.Next()
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
			e.lines.BeginEvent()
			continue
		}
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			// The lines of one event are joined with line feeds.
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data, hasData = append(e.data, bytes.TrimPrefix(value, []byte(" "))...), true
		}
	}
}

// nextBuffered reports whether the buffer contains another complete event. It does not read from the connection.
func (e *eventReader) nextBuffered() bool { return e.lines.eventBuffered() }
