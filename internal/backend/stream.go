package backend

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// drainTimeout bounds the wait for the end of a chunked body after [DONE]. If the end arrives in time, the connection
// is reused.
const drainTimeout = 200 * time.Millisecond

// Chunk is one event of a stream whose attempt ID and offset were checked.
type Chunk struct {
	Data         []byte // JSON as the engine sent it; valid until the next call of Next
	Text         string // generated text of the chunk
	Offset       int    // number of generated tokens before the chunk
	Tokens       int    // number of generated tokens in the chunk
	Pieces       []api.PieceLabel
	FinishReason string // finish reason; only in the last chunk
	NextBuffered bool   // the next event is already in the buffer
}

// Stream is an open stream of an engine's generation.
type Stream struct {
	exchange  *exchange
	events    *eventReader
	attemptID string
	offset    int
	ended     bool
	closed    bool
}

// Stream starts a stream. offset is the number of tokens after which the engine is asked to continue. The error is a
// *Failure; Status and Body are set if the engine answered with an error status.
func (c *Client) Stream(ctx context.Context, req Request, offset int) (*Stream, error) {
	ex, err := c.send(ctx, &req)
	if err != nil {
		return nil, err
	}
	if ex.header.StatusCode() != fasthttp.StatusOK {
		return nil, streamStatusError(ex, &req)
	}
	events := newEventReader(ex.body)
	events.lines.SetReserve(func(n int) error { return c.buffers.reserve(ex, int64(n)) })
	return &Stream{exchange: ex, events: events, attemptID: req.AttemptID, offset: offset}, nil
}

func streamStatusError(ex *exchange, req *Request) error {
	response, err := ex.readResponse()
	ex.release(err == nil && ex.attemptOf(req, response) == req.AttemptID)
	if err != nil {
		return ex.classifyError(err)
	}
	return &Failure{
		Status: response.Status, Body: response.Body,
		Err: errs.New(errs.BackendFailed, "resend the request", "engine answered with status %d", response.Status),
	}
}

var endMarker = "[DONE]"

// Next returns the next chunk, or io.EOF after the end marker. Any other error is a *Failure and ends the stream: a
// lost connection, a missing end marker, a chunk of another attempt, a gap or a repeated offset.
func (s *Stream) Next() (Chunk, error) {
	data, err := s.events.next()
	if err != nil {
		return Chunk{}, s.exchange.classifyError(err)
	}
	if string(data) == endMarker {
		s.ended = true
		return Chunk{}, io.EOF
	}
	chunk, attempt, err := parseChunk(data)
	if err == nil {
		err = s.check(chunk, attempt)
	}
	if err != nil {
		return Chunk{}, s.exchange.classifyError(err)
	}
	s.offset += chunk.Tokens
	chunk.NextBuffered = s.events.nextBuffered()
	return chunk, nil
}

func (s *Stream) check(c Chunk, attempt string) error {
	if attempt != s.attemptID {
		return errs.New(errs.BackendFailed, "resend the request", "chunk belongs to attempt %q, not %q", attempt, s.attemptID)
	}
	if c.Offset != s.offset {
		return errs.New(errs.BackendFailed, "resend the request", "chunk starts at token %d, not %d", c.Offset, s.offset)
	}
	return nil
}

// Close ends the stream. Before the end marker it closes the connection, which cancels the generation.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if !s.ended || !s.exchange.stopWatchingContext() {
		s.exchange.release(false)
		return
	}
	go s.drain()
}

// drain reads the end of the body, so that the connection can be reused. The end of the exchange's context no longer
// closes the connection.
func (s *Stream) drain() {
	s.exchange.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	ended := s.events.lines.expectEnd()
	s.exchange.conn.SetReadDeadline(time.Time{})
	s.exchange.release(ended)
}

// attemptIDOf returns the attempt ID in an engine's complete response.
func attemptIDOf(body []byte) string { return gjson.GetBytes(body, "filbertledge.attempt_id").String() }

// LabelsOf returns the piece labels in an engine's complete response.
func LabelsOf(body []byte) []api.PieceLabel {
	return appendPieces(nil, gjson.GetBytes(body, "filbertledge.pieces"))
}

func appendPieces(out []api.PieceLabel, pieces gjson.Result) []api.PieceLabel {
	pieces.ForEach(func(_, p gjson.Result) bool {
		out = append(out, pieceOf(p))
		return true
	})
	return out
}

func pieceOf(p gjson.Result) api.PieceLabel {
	var label api.PieceLabel
	p.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "version":
			label.Version = api.WeightVersion(value.Uint())
		case "tokens":
			label.Tokens = int(value.Int())
		case "cached":
			label.Cached = value.Bool()
		}
		return true
	})
	return label
}

// parseChunk decodes those fields of a chunk that the service uses. It does not validate the rest of the object: a
// chunk with the right attempt ID and offset is passed on unchanged.
func parseChunk(data []byte) (c Chunk, attempt string, err error) {
	if len(data) < 2 || data[0] != '{' || data[len(data)-1] != '}' {
		return c, "", errs.New(errs.BackendFailed, "resend the request", "chunk of the stream is not a JSON object")
	}
	c.Data = data
	// The fields refer to data; those that outlive it are copied.
	gjson.Parse(unsafe.String(unsafe.SliceData(data), len(data))).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "filbertledge":
			attempt = c.readLabel(value)
		case "choices":
			c.readChoice(value)
		}
		return true
	})
	if c.Offset < 0 || c.Tokens < 0 {
		return c, attempt, errs.New(errs.BackendFailed, "resend the request", "chunk of the stream has negative counts")
	}
	return c, attempt, nil
}

// readLabel decodes the engine's label of the chunk. The returned attempt ID is valid only until data changes.
func (c *Chunk) readLabel(label gjson.Result) (attempt string) {
	attempt, ok := c.readCommonLabel(label.Raw)
	if !ok {
		attempt = c.readAnyLabel(label)
	}
	for _, p := range c.Pieces {
		c.Tokens += p.Tokens
	}
	return attempt
}

func (c *Chunk) readAnyLabel(label gjson.Result) (attempt string) {
	c.Offset, c.Pieces = 0, nil
	label.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "attempt_id":
			attempt = value.String()
		case "offset":
			c.Offset = int(value.Int())
		case "pieces":
			c.Pieces = appendPieces(nil, value)
		}
		return true
	})
	return attempt
}

// readCommonLabel decodes the form that nearly every label has: the fields in the order of the protocol, one piece, no
// spaces. It takes a tenth of the time of readAnyLabel.
func (c *Chunk) readCommonLabel(s string) (attempt string, ok bool) {
	if s, ok = strings.CutPrefix(s, `{"attempt_id":"`); !ok {
		return "", false
	}
	attempt, s, ok = strings.Cut(s, `","offset":`)
	if !ok || strings.ContainsAny(attempt, `"\`) {
		return "", false
	}
	var version, tokens uint64
	offset, s, ok1 := cutNumber(s, `,"pieces":[{"version":`)
	version, s, ok2 := cutNumber(s, `,"tokens":`)
	tokens, s, ok3 := cutNumber(s, `,"cached":`)
	if !ok1 || !ok2 || !ok3 || (s != "false}]}" && s != "true}]}") {
		return "", false
	}
	c.Offset = int(offset)
	c.Pieces = []api.PieceLabel{{Version: api.WeightVersion(version), Tokens: int(tokens), Cached: s[0] == 't'}}
	return attempt, true
}

// countBits bounds the numbers in a label to those that fit into an int on every platform.
const countBits = 31

// cutNumber parses the unsigned number before a separator and returns the rest of s after it.
func cutNumber(s, separator string) (n uint64, rest string, ok bool) {
	digits, rest, ok := strings.Cut(s, separator)
	if !ok {
		return 0, "", false
	}
	n, err := strconv.ParseUint(digits, 10, countBits)
	return n, rest, err == nil
}

// readChoice reads the text of a chat chunk (delta.content) or of a completion chunk (text).
func (c *Chunk) readChoice(choices gjson.Result) {
	text := choices.Get("0.delta.content")
	if !text.Exists() {
		text = choices.Get("0.text")
	}
	c.Text = strings.Clone(text.String())
	c.FinishReason = strings.Clone(choices.Get("0.finish_reason").String())
}
