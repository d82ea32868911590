package engine

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// peerCheckInterval limits how long the engine takes to notice that the caller of a waiting request has disconnected.
const peerCheckInterval = 20 * time.Millisecond

// cutFlushDelay is the time between the last tokens and an injected connection reset, so that the tokens reach the
// caller in most cases before the reset discards them.
const cutFlushDelay = 10 * time.Millisecond

// response sends the tokens of a generation to its caller.
type response struct {
	engine     *Engine
	generation *generation
	sequence   uint64 // of the request in the log
	chat       bool
	conn       net.Conn
	pieces     []api.PieceLabel // labels of the tokens sent so far
	tokens     int
}

// ended reports whether no more tokens will be generated.
func (r *generation) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished || r.cancelled
}

// nextTokens waits for new tokens of the generation that is sent to this caller.
func (a *response) nextTokens() (from *generation, tokens []token, done, cancelled bool) {
	if a.engine.opts.NoTokenDelay {
		return a.nextTokensUndelayed()
	}
	for {
		from = a.generation.deliveredGeneration()
		tokens, done, cancelled = from.takeTokens()
		if done || len(tokens) > 0 {
			return from, tokens, done, cancelled
		}
		select {
		case <-a.generation.notify:
		case <-time.After(peerCheckInterval):
			if a.generation.callerGone() {
				a.generation.cancel()
			}
		}
	}
}

// nextTokensUndelayed generates tokens without delay: one for a streamed answer, all for an answer in one body.
func (a *response) nextTokensUndelayed() (from *generation, tokens []token, done, cancelled bool) {
	r := a.generation
	v := a.engine.Version()
	for r.next < r.end {
		tokens = append(tokens, token{version: v, index: r.next})
		r.next++
		if r.request.Stream {
			break
		}
	}
	a.engine.batch.generated.Add(int64(len(tokens)))
	return r, tokens, r.next >= r.end, false
}

// appendLabels appends labels for tokens to the list, with one label for consecutive tokens of the same version.
func appendLabels(to []api.PieceLabel, tokens []token) []api.PieceLabel {
	for _, t := range tokens {
		last := len(to) - 1
		if last >= 0 && !to[last].Cached && to[last].Version == t.version {
			to[last].Tokens++
			continue
		}
		to = append(to, api.PieceLabel{Version: t.version, Tokens: 1})
	}
	return to
}

func cachedPieces(r *generation) []api.PieceLabel {
	pieces := []api.PieceLabel{}
	for _, v := range r.reused {
		pieces = append(pieces, api.PieceLabel{Version: v, Cached: true})
	}
	return pieces
}

// logEnd records the end of the request in the log.
func (a *response) logEnd(state standin.RequestState) {
	if a.engine.opts.NoLog {
		return
	}
	r := a.generation
	text := r.request.continueFrom().Text
	b := make([]byte, 0, len(text)+8*a.tokens)
	b = append(b, text...)
	for i := range a.tokens {
		b = r.source.appendToken(b, r.start+i)
	}
	a.engine.log.UpdateRequest(a.sequence, func(rec *standin.RequestRecord) {
		rec.State, rec.End = state, time.Now()
		rec.Tokens, rec.Pieces = a.tokens, a.pieces
		rec.TextDigest = standin.TextDigest(string(b))
	})
}

func (a *response) countTokens(tokens []token) {
	a.tokens += len(tokens)
	a.pieces = appendLabels(a.pieces, tokens)
}

// respondWhole sends the answer in one response body.
func (a *response) respondWhole(ctx *fasthttp.RequestCtx) {
	var all []token
	var from *generation
	for {
		f, tokens, done, cancelled := a.nextTokens()
		if from != f {
			from, all = f, nil
		}
		all = append(all, tokens...)
		if cancelled {
			a.logEnd(standin.RequestCancelled)
			standin.ReplyError(ctx, http.StatusServiceUnavailable, "cancelled", "the request was cancelled")
			return
		}
		if done {
			break
		}
	}
	a.pieces = cachedPieces(from)
	a.countTokens(all)
	if _, cut := a.engine.faults.TakeCut(); cut {
		a.logEnd(standin.RequestAborted)
		standin.Reset(a.conn)
		return
	}
	a.logEnd(standin.RequestCompleted)
	ctx.SetContentType("application/json")
	ctx.SetBody(a.wholeBody(from, all))
}

func (a *response) wholeBody(from *generation, all []token) []byte {
	w := newChunkWriter(a, from)
	var text []byte
	for _, t := range all {
		text = from.source.appendToken(text, t.index)
	}
	w.begin(wholeObject(a.chat))
	if a.chat {
		w.raw(`{"index":0,"message":{"role":"assistant","content":"`)
	} else {
		w.raw(`{"index":0,"text":"`)
	}
	w.buf = append(w.buf, text...)
	w.raw(`"`)
	if a.chat {
		w.raw(`}`)
	}
	w.raw(`,"finish_reason":"` + from.finishReason() + `"}]`)
	w.usage(from)
	w.extension(from.start, a.pieces)
	w.raw("}")
	return w.buf
}

// respondStream sends the answer as server-sent events.
func (a *response) respondStream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	cut, armed := a.engine.faults.TakeCut()
	if !armed {
		cut = -1
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { a.writeStream(w, cut) })
}

// streamWriter writes the server-sent events of one answer.
type streamWriter struct {
	*response
	w              *bufio.Writer
	cutAfterTokens int // reset the connection after this many tokens; negative for never
	offset         int
	started        bool
}

func (a *response) writeStream(w *bufio.Writer, cut int) {
	s := &streamWriter{response: a, w: w, cutAfterTokens: cut, offset: a.generation.start}
	for s.writeNext() {
	}
}

// writeNext waits for tokens, writes them and reports whether more will follow.
func (s *streamWriter) writeNext() bool {
	from, tokens, done, cancelled := s.nextTokens()
	if cancelled {
		s.abort(standin.RequestCancelled)
		return false
	}
	if s.cutAfterTokens >= 0 && s.tokens+len(tokens) > s.cutAfterTokens {
		tokens, done = tokens[:max(s.cutAfterTokens-s.tokens, 0)], false
	}
	chunks := s.events(from, tokens)
	if done {
		chunks.lastEvent(s.offset)
		s.logEnd(standin.RequestCompleted)
	}
	_, err := s.w.Write(chunks.buf)
	if err == nil {
		err = s.w.Flush()
	}
	switch {
	case done:
		return false
	case err != nil:
		s.abort(standin.RequestCancelled)
		return false
	case s.cutAfterTokens >= 0 && s.tokens >= s.cutAfterTokens:
		time.Sleep(cutFlushDelay)
		s.abort(standin.RequestAborted)
		return false
	}
	return true
}

// events returns the chunks for tokens. The first chunk of a stream has no tokens and lists the reused prefixes.
func (s *streamWriter) events(from *generation, tokens []token) *chunkWriter {
	chunks := newChunkWriter(s.response, from)
	if !s.started {
		s.started = true
		s.pieces = cachedPieces(from)
		chunks.event(s.offset, nil, s.pieces)
	}
	s.countTokens(tokens)
	if len(tokens) > 0 {
		s.offset = tokens[0].index
		chunks.event(s.offset, tokens, appendLabels(nil, tokens))
		s.offset += len(tokens)
	}
	return chunks
}

// abort cancels the generation and resets the connection.
func (a *response) abort(state standin.RequestState) {
	a.generation.cancel()
	a.logEnd(state)
	standin.Reset(a.conn)
}

func wholeObject(chat bool) string {
	if chat {
		return "chat.completion"
	}
	return "text_completion"
}

func chunkObject(chat bool) string {
	if chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (r *generation) finishReason() string {
	if r.request.MaxTokens > 0 || r.request.MaxCompletionTokens > 0 {
		return "length"
	}
	return "stop"
}

// chunkWriter builds response bodies without reflection: to measure the overhead of an entry VM, the engine behind it
// must be much cheaper than the entry VM.
type chunkWriter struct {
	response *response
	from     *generation
	buf      []byte
}

func newChunkWriter(a *response, from *generation) *chunkWriter {
	return &chunkWriter{response: a, from: from, buf: make([]byte, 0, 512)}
}

func (w *chunkWriter) raw(s string) { w.buf = append(w.buf, s...) }

func (w *chunkWriter) jsonString(s string) {
	b, err := json.Marshal(s)
	if err != nil {
		b = []byte(`""`)
	}
	w.buf = append(w.buf, b...)
}

func (w *chunkWriter) number(n int) { w.buf = strconv.AppendInt(w.buf, int64(n), 10) }

func (w *chunkWriter) begin(object string) {
	w.raw(`{"id":`)
	w.jsonString("cmpl-" + w.from.attempt)
	w.raw(`,"object":"` + object + `","created":`)
	w.number(int(time.Now().Unix()))
	w.raw(`,"model":`)
	w.jsonString(w.response.engine.opts.Model)
	w.raw(`,"choices":[`)
}

func (w *chunkWriter) extension(offset int, pieces []api.PieceLabel) {
	w.raw(`,"filbertledge":{"attempt_id":`)
	w.jsonString(w.from.attempt)
	w.raw(`,"offset":`)
	w.number(offset)
	w.raw(`,"pieces":[`)
	for i, p := range pieces {
		if i > 0 {
			w.raw(",")
		}
		w.raw(`{"version":`)
		w.number(int(p.Version))
		w.raw(`,"tokens":`)
		w.number(p.Tokens)
		w.raw(`,"cached":` + strconv.FormatBool(p.Cached) + `}`)
	}
	w.raw(`]}`)
}

func (w *chunkWriter) usage(r *generation) {
	prompt := len(r.prompt)/4 + 1
	w.raw(`,"usage":{"prompt_tokens":`)
	w.number(prompt)
	w.raw(`,"completion_tokens":`)
	w.number(r.end)
	w.raw(`,"total_tokens":`)
	w.number(prompt + r.end)
	w.raw(`}`)
}

// event appends one server-sent event with the text of tokens.
func (w *chunkWriter) event(offset int, tokens []token, pieces []api.PieceLabel) {
	w.raw("data: ")
	w.begin(chunkObject(w.response.chat))
	switch {
	case w.response.chat && tokens == nil:
		w.raw(`{"index":0,"delta":{"role":"assistant","content":"`)
	case w.response.chat:
		w.raw(`{"index":0,"delta":{"content":"`)
	default:
		w.raw(`{"index":0,"text":"`)
	}
	for _, t := range tokens {
		w.buf = w.from.source.appendToken(w.buf, t.index)
	}
	w.raw(`"`)
	if w.response.chat {
		w.raw(`}`)
	}
	w.raw(`,"finish_reason":null}]`)
	w.extension(offset, pieces)
	w.raw("}\n\n")
}

// lastEvent appends the event with the finish reason and the [DONE] marker.
func (w *chunkWriter) lastEvent(offset int) {
	w.raw("data: ")
	w.begin(chunkObject(w.response.chat))
	if w.response.chat {
		w.raw(`{"index":0,"delta":{}`)
	} else {
		w.raw(`{"index":0,"text":""`)
	}
	w.raw(`,"finish_reason":"` + w.from.finishReason() + `"}]`)
	w.usage(w.from)
	w.extension(offset, nil)
	w.raw("}\n\ndata: [DONE]\n\n")
}
