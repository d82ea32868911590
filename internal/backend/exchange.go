package backend

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// RawRequest is a request that is sent with exactly the given headers. Header names are not normalized.
type RawRequest struct {
	Address string // IP:port
	Method  string
	URI     string // path and query, not normalized
	Host    string
	Header  []Header
	Body    []byte
	// BodyStream, if not nil, is read for the body in place of Body; it has BodyLength bytes.
	BodyStream io.Reader
	BodyLength int
	// AttemptID is the ID of the request that its response must repeat, or empty. It is not sent as such. A request is not
	// sent on a connection that has carried the same attempt before.
	AttemptID     string
	NewConnection bool // forbids the reuse of an idle connection
	// Permitted, if not nil, is asked immediately before the request is written, after a connection may have taken its
	// time. If it returns false, the request is not sent.
	Permitted func() bool
}

// Exchange is a sent request whose response header has arrived. Release must be called.
type Exchange struct{ ex *exchange }

// Open sends a request and reads the header of its response. The error is a *Failure. When ctx ends, the connection is
// closed, which cancels the work on the server.
func (c *Client) Open(ctx context.Context, request RawRequest) (*Exchange, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.DisableNormalizing()
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetMethod(request.Method)
	r.Header.SetRequestURI(request.URI)
	if !strings.HasPrefix(request.URI, "/") {
		r.URI().DisablePathNormalizing = true // the library reduces an absolute URI to its path and query
	}
	r.Header.SetHost(request.Host)
	r.UseHostHeader = true
	for _, h := range request.Header {
		r.Header.Add(h.Name, h.Value)
	}
	if request.BodyStream != nil {
		r.SetBodyStream(request.BodyStream, request.BodyLength)
	} else {
		r.SetBodyRaw(request.Body)
	}
	ex, err := c.start(ctx, destination{request.Address, request.AttemptID, request.NewConnection}, request.Permitted, r)
	if err != nil {
		return nil, err
	}
	return &Exchange{ex: ex}, nil
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.ex.header.StatusCode() }

// Header returns the value of a response header, or an empty string.
func (x *Exchange) Header(name string) string { return string(x.ex.header.Peek(name)) }

// HeaderValues returns all values of a response header, in their order.
func (x *Exchange) HeaderValues(name string) []string {
	var out []string
	for _, value := range x.ex.header.PeekAll(name) {
		out = append(out, string(value))
	}
	return out
}

// Headers returns the response headers that are not hop-by-hop.
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

// Body returns the reader of the body. It ends with io.EOF only if the body is complete.
func (x *Exchange) Body() io.Reader { return x.ex.body }

// CopyBody makes what is read of the body from now on also go to w, before it is returned.
func (x *Exchange) CopyBody(w io.Writer) { x.ex.body = io.TeeReader(x.ex.body, w) }

// ReadAll returns the complete body, of at most limit bytes. The error is a *Failure.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	body, err := x.ex.readBody(limit)
	if err != nil {
		return nil, x.ex.classifyError(err)
	}
	return body, nil
}

// Reserve counts n more bytes of the response towards Options.MaxBufferedBytes, until Release. The error is a *Failure.
func (x *Exchange) Reserve(n int) error {
	if err := x.ex.client.buffers.reserve(x.ex, int64(n)); err != nil {
		return x.ex.classifyError(err)
	}
	return nil
}

// SkipResponse discards a response that belongs to another request and reads the header of the next one.
func (x *Exchange) SkipResponse() error {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.ex.body, MaxBodyBytes)); err != nil {
		return x.ex.classifyError(err)
	}
	if x.ex.header.ConnectionClose() {
		return x.ex.classifyError(io.ErrUnexpectedEOF)
	}
	if err := x.ex.readHeader(); err != nil {
		return x.ex.classifyError(err)
	}
	return nil
}

// ClassifyError turns an error of the body's reader into a *Failure.
func (x *Exchange) ClassifyError(err error) error { return x.ex.classifyError(err) }

// Release returns the connection to the pool if complete says that the response was read to its end, and closes it
// otherwise. serverIdleTimeout is the time after which the server closes idle connections; zero means unknown.
func (x *Exchange) Release(complete bool, serverIdleTimeout time.Duration) {
	x.ex.conn.serverIdleTimeout = serverIdleTimeout
	framed := x.ex.header.ContentLength() >= chunkedLength
	x.ex.release(complete && framed)
}
