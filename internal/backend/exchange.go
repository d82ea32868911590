package backend

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/errs"
)

// RawRequest is one exchange whose headers the caller chooses. Header names are written as they are.
type RawRequest struct {
	Address       string // IP:port
	Method        string
	URI           string // path and query, written as it is
	Host          string
	Header        []Header
	Body          []byte
	NewConnection bool // forbids reused connections
}

// Exchange is a call whose answer's header has arrived. End must be called.
type Exchange struct{ ex *exchange }

// Open writes a call and reads the header of the answer. The error is a *Failure. When ctx ends, the connection is
// closed, which cancels the work on the server.
func (c *Client) Open(ctx context.Context, call RawRequest) (*Exchange, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.DisableNormalizing()
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetMethod(call.Method)
	r.Header.SetRequestURI(call.URI)
	r.URI().DisablePathNormalizing = true
	r.Header.SetHost(call.Host)
	r.UseHostHeader = true
	for _, h := range call.Header {
		r.Header.Add(h.Name, h.Value)
	}
	r.SetBodyRaw(call.Body)
	ex, err := c.start(ctx, call.Address, call.NewConnection, r)
	if err != nil {
		return nil, err
	}
	return &Exchange{ex: ex}, nil
}

// Status returns the status of the answer.
func (x *Exchange) Status() int { return x.ex.header.StatusCode() }

// Header returns a header of the answer, or an empty string.
func (x *Exchange) Header(name string) string { return string(x.ex.header.Peek(name)) }

// Headers returns the headers of the answer that do not belong to the connection.
func (x *Exchange) Headers() []Header {
	var out []Header
	for k, v := range x.ex.header.All() {
		switch string(k) {
		case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Trailer", "Upgrade", "Te":
		default:
			out = append(out, Header{string(k), string(v)})
		}
	}
	return out
}

// Body returns the reader of the body. It ends with io.EOF only if the body is whole.
func (x *Exchange) Body() io.Reader { return x.ex.body }

// ReadAll returns the whole body. The error is a *Failure.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.ex.body, limit+1))
	if err != nil {
		return nil, x.ex.failure(err)
	}
	if int64(len(body)) > limit {
		return nil, x.ex.failure(errs.New(errs.BackendFailed, "ask for a shorter answer", "answer exceeds %d bytes", limit))
	}
	return body, nil
}

// SkipResponse drops an answer that belongs to another call and reads the header of the next one.
func (x *Exchange) SkipResponse() error {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.ex.body, MaxBodyBytes)); err != nil {
		return x.ex.failure(err)
	}
	if x.ex.header.ConnectionClose() {
		return x.ex.failure(io.ErrUnexpectedEOF)
	}
	if err := x.ex.readHeader(); err != nil {
		return x.ex.failure(err)
	}
	return nil
}

// ClassifyError classifies an error of the body's reader.
func (x *Exchange) ClassifyError(err error) error { return x.ex.failure(err) }

// Release returns the connection to the pool if the answer was read to its end, or closes it. idleLimit is the time
// after which the server closes idle connections; zero means unknown.
func (x *Exchange) Release(whole bool, idleLimit time.Duration) {
	x.ex.conn.idleLimit = idleLimit
	marked := x.ex.header.ContentLength() >= chunkedLength
	x.ex.end(whole && marked)
}
