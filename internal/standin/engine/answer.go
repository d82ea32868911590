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

// peerCheckInterval bounds the time until a caller that left while its request waits is noticed.
const peerCheckInterval = 20 * time.Millisecond

// cutDelay lets the last tokens before an injected cut reach the caller in most cases.
const cutDelay = 10 * time.Millisecond

// answer delivers the tokens of a run to its caller.
type answer struct {
	engine   *Engine
	run      *run
	sequence uint64 // in the log
	chat     bool
	conn     net.Conn
	pieces   []api.PieceLabel // of all tokens of the run itself
	tokens   int
}

// ended reports whether the run generates no more tokens.
func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished || r.cancelled
}

// next waits for tokens of the run that is delivered to this caller.
func (a *answer) next() (from *run, tokens []token, done, cancelled bool) {
	if a.engine.opts.NoTokenDelay {
		return a.nextFast()
	}
	for {
		from = a.run.delivered()
		tokens, done, cancelled = from.take()
		if done || len(tokens) > 0 {
			return from, tokens, done, cancelled
		}
		select {
		case <-a.run.notify:
		case <-time.After(peerCheckInterval):
			if a.run.gone() {
				a.run.cancel()
			}
		}
	}
}

// nextFast generates one token of a stream, or all tokens of a whole answer, without delay.
func (a *answer) nextFast() (from *run, tokens []token, done, cancelled bool) {
	r := a.run
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

// labels joins tokens of equal version to pieces.
func labels(to []api.PieceLabel, tokens []token) []api.PieceLabel {
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

func cachedPieces(r *run) []api.PieceLabel {
	pieces := []api.PieceLabel{}
	for _, v := range r.reused {
		pieces = append(pieces, api.PieceLabel{Version: v, Cached: true})
	}
	return pieces
}

// finish records the end of the run in the log.
func (a *answer) finish(state standin.RequestState) {
	if a.engine.opts.NoLog {
		return
	}
	r := a.run
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

func (a *answer) count(tokens []token) {
	a.tokens += len(tokens)
	a.pieces = labels(a.pieces, tokens)
}

// whole answers a request that is not a stream.
func (a *answer) whole(ctx *fasthttp.RequestCtx) {
	var all []token
	var from *run
	for {
		f, tokens, done, cancelled := a.next()
		if from != f {
			from, all = f, nil
		}
		all = append(all, tokens...)
		if cancelled {
			a.finish(standin.RequestCancelled)
			standin.ReplyError(ctx, http.StatusServiceUnavailable, "cancelled", "the request was cancelled")
			return
		}
		if done {
			break
		}
	}
	a.pieces = cachedPieces(from)
	a.count(all)
	if _, cut := a.engine.faults.TakeCut(); cut {
		a.finish(standin.RequestAborted)
		standin.Reset(a.conn)
		return
	}
	a.finish(standin.RequestCompleted)
	ctx.SetContentType("application/json")
	ctx.SetBody(a.wholeBody(from, all))
}

func (a *answer) wholeBody(from *run, all []token) []byte {
	w := newChunkWriter(a, from)
	var text []byte
	for _, t := range all {
		text = from.source.appendToken(text, t.index)
	}
	w.open(wholeObject(a.chat))
	if a.chat {
		w.str(`{"index":0,"message":{"role":"assistant","content":"`)
	} else {
		w.str(`{"index":0,"text":"`)
	}
	w.buf = append(w.buf, text...)
	w.str(`"`)
	if a.chat {
		w.str(`}`)
	}
	w.str(`,"finish_reason":"` + from.finishReason() + `"}]`)
	w.usage(from)
	w.extension(from.start, a.pieces)
	w.str("}")
	return w.buf
}

// stream answers with server-sent events.
func (a *answer) stream(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	cut, armed := a.engine.faults.TakeCut()
	if !armed {
		cut = -1
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { a.writeStream(w, cut) })
}

// streamWriter writes the events of one answer.
type streamWriter struct {
	*answer
	w      *bufio.Writer
	cut    int // break the connection after so many tokens; negative for never
	offset int
	begun  bool
}

func (a *answer) writeStream(w *bufio.Writer, cut int) {
	s := &streamWriter{answer: a, w: w, cut: cut, offset: a.run.start}
	for s.step() {
	}
}

// step writes the tokens that are there, and reports whether more will follow.
func (s *streamWriter) step() bool {
	from, tokens, done, cancelled := s.next()
	if cancelled {
		s.abandon(standin.RequestCancelled)
		return false
	}
	if s.cut >= 0 && s.tokens+len(tokens) > s.cut {
		tokens, done = tokens[:max(s.cut-s.tokens, 0)], false
	}
	chunks := s.events(from, tokens)
	if done {
		chunks.last(s.offset)
		s.finish(standin.RequestCompleted)
	}
	_, err := s.w.Write(chunks.buf)
	if err == nil {
		err = s.w.Flush()
	}
	switch {
	case done:
		return false
	case err != nil:
		s.abandon(standin.RequestCancelled)
		return false
	case s.cut >= 0 && s.tokens >= s.cut:
		time.Sleep(cutDelay)
		s.abandon(standin.RequestAborted)
		return false
	}
	return true
}

// events returns the chunks for tokens; the first chunk of a stream names the reused prefixes.
func (s *streamWriter) events(from *run, tokens []token) *chunkWriter {
	chunks := newChunkWriter(s.answer, from)
	if !s.begun {
		s.begun = true
		s.pieces = cachedPieces(from)
		chunks.event(s.offset, nil, s.pieces)
	}
	s.count(tokens)
	if len(tokens) > 0 {
		s.offset = tokens[0].index
		chunks.event(s.offset, tokens, labels(nil, tokens))
		s.offset += len(tokens)
	}
	return chunks
}

// abandon ends the run and breaks the connection.
func (a *answer) abandon(state standin.RequestState) {
	a.run.cancel()
	a.finish(state)
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

func (r *run) finishReason() string {
	if r.request.MaxTokens > 0 || r.request.MaxCompletionTokens > 0 {
		return "length"
	}
	return "stop"
}

// chunkWriter builds response bodies without reflection, because the measurement of overhead needs an engine
// that is much cheaper than the entry VM in front of it.
type chunkWriter struct {
	answer *answer
	from   *run
	buf    []byte
}

func newChunkWriter(a *answer, from *run) *chunkWriter {
	return &chunkWriter{answer: a, from: from, buf: make([]byte, 0, 512)}
}

func (w *chunkWriter) str(s string) { w.buf = append(w.buf, s...) }

func (w *chunkWriter) json(s string) {
	b, err := json.Marshal(s)
	if err != nil {
		b = []byte(`""`)
	}
	w.buf = append(w.buf, b...)
}

func (w *chunkWriter) num(n int) { w.buf = strconv.AppendInt(w.buf, int64(n), 10) }

func (w *chunkWriter) open(object string) {
	w.str(`{"id":`)
	w.json("cmpl-" + w.from.attempt)
	w.str(`,"object":"` + object + `","created":`)
	w.num(int(time.Now().Unix()))
	w.str(`,"model":`)
	w.json(w.answer.engine.opts.Model)
	w.str(`,"choices":[`)
}

func (w *chunkWriter) extension(offset int, pieces []api.PieceLabel) {
	w.str(`,"filbertledge":{"attempt_id":`)
	w.json(w.from.attempt)
	w.str(`,"offset":`)
	w.num(offset)
	w.str(`,"pieces":[`)
	for i, p := range pieces {
		if i > 0 {
			w.str(",")
		}
		w.str(`{"version":`)
		w.num(int(p.Version))
		w.str(`,"tokens":`)
		w.num(p.Tokens)
		w.str(`,"cached":` + strconv.FormatBool(p.Cached) + `}`)
	}
	w.str(`]}`)
}

func (w *chunkWriter) usage(r *run) {
	prompt := len(r.prompt)/4 + 1
	w.str(`,"usage":{"prompt_tokens":`)
	w.num(prompt)
	w.str(`,"completion_tokens":`)
	w.num(r.end)
	w.str(`,"total_tokens":`)
	w.num(prompt + r.end)
	w.str(`}`)
}

// event appends one chunk with the text of tokens.
func (w *chunkWriter) event(offset int, tokens []token, pieces []api.PieceLabel) {
	w.str("data: ")
	w.open(chunkObject(w.answer.chat))
	switch {
	case w.answer.chat && tokens == nil:
		w.str(`{"index":0,"delta":{"role":"assistant","content":"`)
	case w.answer.chat:
		w.str(`{"index":0,"delta":{"content":"`)
	default:
		w.str(`{"index":0,"text":"`)
	}
	for _, t := range tokens {
		w.buf = w.from.source.appendToken(w.buf, t.index)
	}
	w.str(`"`)
	if w.answer.chat {
		w.str(`}`)
	}
	w.str(`,"finish_reason":null}]`)
	w.extension(offset, pieces)
	w.str("}\n\n")
}

// last appends the chunk with the finish reason and the end mark.
func (w *chunkWriter) last(offset int) {
	w.str("data: ")
	w.open(chunkObject(w.answer.chat))
	if w.answer.chat {
		w.str(`{"index":0,"delta":{}`)
	} else {
		w.str(`{"index":0,"text":""`)
	}
	w.str(`,"finish_reason":"` + w.from.finishReason() + `"}]`)
	w.usage(w.from)
	w.extension(offset, nil)
	w.str("}\n\ndata: [DONE]\n\n")
}
