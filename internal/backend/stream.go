package backend

import (
	"context"
	"errors"
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

// drainFor bounds the wait for the end of a chunked body after [DONE]; the connection is reused if it comes.
const drainFor = 200 * time.Millisecond

// Chunk is one checked piece of a stream.
type Chunk struct {
	Data         []byte // JSON as the engine sent it; valid until the next call of Next
	Text         string // generated text of the piece
	Offset       int    // generated tokens before the piece
	Tokens       int    // generated tokens of the piece
	Pieces       []api.PieceLabel
	FinishReason string // finish reason of the last piece
	NextBuffered bool   // the next event has already arrived
}

// Stream is a running stream of an engine.
type Stream struct {
	ex      *exchange
	events  *eventReader
	attempt string
	offset  int
	done    bool
	closed  bool
}

// Stream starts a stream. offset is the number of tokens that the engine is asked to continue from. The error
// is a *Failure; it has Status and Body if the engine answered with an error status.
func (c *Client) Stream(ctx context.Context, req Request, offset int) (*Stream, error) {
	ex, err := c.begin(ctx, &req)
	if err != nil {
		return nil, err
	}
	if ex.header.StatusCode() != fasthttp.StatusOK {
		return nil, refusedStream(ex)
	}
	return &Stream{ex: ex, events: newEventReader(ex.body), attempt: req.AttemptID, offset: offset}, nil
}

func refusedStream(ex *exchange) error {
	answer, err := ex.whole()
	ex.end(err == nil)
	if err != nil {
		return ex.failure(err)
	}
	return &Failure{
		Status: answer.Status, Body: answer.Body,
		Err: errs.New(errs.BackendFailed, "resend the request", "engine answered with status %d", answer.Status),
	}
}

var doneMark = "[DONE]"

// Next returns the next piece, or io.EOF after the end mark. Any other error is a *Failure and ends the
// stream: a lost connection, a missing end mark, a piece of another attempt, a gap or a repeated offset.
func (s *Stream) Next() (Chunk, error) {
	data, err := s.events.next()
	if err != nil {
		return Chunk{}, s.ex.failure(err)
	}
	if string(data) == doneMark {
		s.done = true
		return Chunk{}, io.EOF
	}
	chunk, attempt, err := parseChunk(data)
	if err == nil {
		err = s.check(chunk, attempt)
	}
	if err != nil {
		return Chunk{}, s.ex.failure(err)
	}
	s.offset += chunk.Tokens
	chunk.NextBuffered = s.events.more()
	return chunk, nil
}

func (s *Stream) check(c Chunk, attempt string) error {
	if attempt != s.attempt {
		return errs.New(errs.BackendFailed, "resend the request", "piece belongs to attempt %q, not %q", attempt, s.attempt)
	}
	if c.Offset != s.offset {
		return errs.New(errs.BackendFailed, "resend the request", "piece starts at token %d, not %d", c.Offset, s.offset)
	}
	return nil
}

// Close ends the stream. Before the end mark it closes the connection, which cancels the work.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if !s.done || !s.ex.detach() {
		s.ex.end(false)
		return
	}
	go s.drain()
}

// drain reads the end of the body. The exchange is detached: the end of its context no longer closes the
// connection.
func (s *Stream) drain() {
	s.ex.conn.SetReadDeadline(time.Now().Add(drainFor))
	_, err := s.events.br.ReadByte()
	s.ex.conn.SetReadDeadline(time.Time{})
	s.ex.end(errors.Is(err, io.EOF))
}

// attemptOf returns the attempt id in an engine's whole answer.
func attemptOf(body []byte) string { return gjson.GetBytes(body, "filbertledge.attempt_id").String() }

// LabelsOf returns the piece labels in an engine's whole answer.
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

// parseChunk reads the fields of a streamed chunk that the service acts on. It does not validate the rest of the
// object: an engine's piece that names the right attempt and offset is passed on as it is.
func parseChunk(data []byte) (c Chunk, attempt string, err error) {
	if len(data) < 2 || data[0] != '{' || data[len(data)-1] != '}' {
		return c, "", errs.New(errs.BackendFailed, "resend the request", "piece of the stream is not a JSON object")
	}
	c.Data = data
	// The fields are read in place; those that outlive data are copied.
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
		return c, attempt, errs.New(errs.BackendFailed, "resend the request", "piece of the stream has negative counts")
	}
	return c, attempt, nil
}

// readLabel returns the attempt id, which is valid only until data changes.
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

// readCommonLabel reads the form of a label that nearly every piece has: the fields in the order of the
// protocol, one piece, no spaces. It takes a tenth of the time of the general way.
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

// cutNumber reads an unsigned number before a separator.
func cutNumber(s, separator string) (n uint64, rest string, ok bool) {
	digits, rest, ok := strings.Cut(s, separator)
	if !ok {
		return 0, "", false
	}
	n, err := strconv.ParseUint(digits, 10, 31)
	return n, rest, err == nil
}

// readChoice takes the text of a chat chunk (delta.content) or of a completion chunk (text).
func (c *Chunk) readChoice(choices gjson.Result) {
	text := choices.Get("0.delta.content")
	if !text.Exists() {
		text = choices.Get("0.text")
	}
	c.Text = strings.Clone(text.String())
	c.FinishReason = strings.Clone(choices.Get("0.finish_reason").String())
}
