// Package backend is the HTTP client for backend servers: model engines and plain services. It also implements the
// endpoint at which backend servers announce themselves.
//
// The client sends each request once and never repeats it. It distinguishes a request of which no byte was written, and
// which therefore did not run, from a request whose outcome is unknown.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of an exchange.
const (
	MaxBodyBytes       = 4 << 20
	maxHeaderBytes     = 16 << 10
	maxEventBytes      = 1 << 20
	maxIdlePerHost     = 64
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 5 * time.Second // shorter than the idle timeout of servers
	writeBufferSize    = 8 << 10
	// maxInterimResponses limits the interim (1xx) responses before a response. Each of them is bounded by
	// maxHeaderBytes, but a server in trouble may send them without end.
	maxInterimResponses = 16
	// bodyChunkBytes is the size of the parts in which a body is read and counted against MaxBufferedBytes.
	bodyChunkBytes = 64 << 10
	// firstPartBytes is the size of the first part of a body of unknown length. Most bodies are smaller.
	firstPartBytes = 4 << 10
)

// Options configures a Client. The zero value is usable.
type Options struct {
	DialTimeout time.Duration // default 1 s
	IdleTimeout time.Duration // after which idle connections are closed; default 5 s
	// KeepAlive detects connections whose server cannot be reached any more; Go's default if it is the zero value.
	KeepAlive net.KeepAliveConfig
	// AcceptCloseDelimitedBody accepts bodies without a length that end with the orderly close of the connection.
	AcceptCloseDelimitedBody bool
	// MaxConnections limits the open connections, idle ones included; 0 means no limit. At the limit, the connection that was idle
	// for the longest time is closed for a new one; if none is idle, the request waits up to DialTimeout for one.
	MaxConnections int
	// MaxBufferedBytes limits what the bodies and events hold that are being read at the same time, in bytes; 0 means no limit.
	// It keeps servers that send bytes without end from exhausting the memory.
	MaxBufferedBytes int64
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	opts    Options
	dialer  net.Dialer
	pool    connPool
	buffers *buffers
}

// New returns a client.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	c := &Client{opts: opts, buffers: newBuffers(opts.MaxBufferedBytes), dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAliveConfig: opts.KeepAlive}}
	c.pool.idle = map[poolKey][]*conn{}
	c.pool.idleTimeout = opts.IdleTimeout
	if opts.MaxConnections > 0 {
		c.pool.slots = semaphore.NewWeighted(int64(opts.MaxConnections))
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Header is one request or response header.
type Header struct{ Name, Value string }

// Request is a request to a backend server, with the project's own headers.
type Request struct {
	Address        string // IP:port
	Method         string
	Path           string // including the query
	ContentType    string
	Header         []Header
	Body           []byte
	AttemptID      string
	IdempotencyKey string
	// NewConnection forbids the reuse of an idle connection. If the server has closed an idle connection, a request
	// fails only after bytes were written, which would needlessly make the outcome of a non-idempotent call unknown.
	NewConnection bool
	// AttemptIDInBody is true if the server, an engine, echoes the attempt ID in the JSON body instead of a header.
	AttemptIDInBody bool
}

// Response is a complete response.
type Response struct {
	Status      int
	ContentType string
	Header      []Header
	Body        []byte
}

// Failure is the error of an exchange.
type Failure struct {
	// NotSent is true if no byte of the request was written, so that it did not run.
	NotSent bool
	// NotPermitted is true if the request was not sent because its permission had ended.
	NotPermitted bool
	// DialFailed is true if no connection to the server could be established.
	DialFailed bool
	// ConnectionLost is true if the connection broke after bytes were written, for example because the server crashed.
	ConnectionLost bool
	// Status and Body are set if the server answered a stream request with an error status.
	Status int
	Body   []byte
	Err    error
}

// Error implements error with the message of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// FailureOf returns the Failure in err's chain, or one with an unknown outcome.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Err: err}
}

// Do sends a request and returns the complete response, whatever its status. The error is a *Failure.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	ex, err := c.send(ctx, &req)
	if err != nil {
		return Response{}, err
	}
	response, err := ex.readResponse()
	if err != nil {
		ex.release(false)
		return Response{}, ex.classifyError(err)
	}
	attempt := ex.attemptOf(&req, response)
	ex.release(attempt == req.AttemptID)
	if err := checkAttempt(&req, response, attempt); err != nil {
		return Response{}, err
	}
	return response, nil
}

// attemptOf returns the ID of the attempt that a response belongs to, or an empty string if it names none.
func (ex *exchange) attemptOf(req *Request, response Response) string {
	switch {
	case req.AttemptID == "":
		return ""
	case !req.AttemptIDInBody:
		return string(ex.header.Peek(api.HeaderAttemptID))
	case response.Status == fasthttp.StatusOK:
		return attemptIDOf(response.Body)
	default:
		return "" // engines' error bodies contain neither an attempt ID nor generated text
	}
}

// checkAttempt returns an error for a response that belongs to another attempt.
func checkAttempt(req *Request, response Response, got string) error {
	if got == req.AttemptID || req.AttemptIDInBody && response.Status != fasthttp.StatusOK {
		return nil
	}
	return &Failure{Err: errs.New(errs.BackendFailed, "resend the request", "response belongs to attempt %q, not %q", got, req.AttemptID)}
}

// exchange is a sent request with the header of its response.
type exchange struct {
	client       *Client
	ctx          context.Context
	conn         *conn
	method       string
	stopWatching func() bool
	// detached is true once the end of ctx no longer closes the connection.
	detached bool
	header   fasthttp.ResponseHeader
	body     io.Reader
}

// send connects, writes the request and reads the header of the response. When ctx ends, the connection is closed,
// which cancels the work on the server.
func (c *Client) send(ctx context.Context, req *Request) (*exchange, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	req.fill(ctx, r)
	return c.start(ctx, destination{req.Address, req.AttemptID, req.NewConnection}, nil, r)
}

// destination tells on which connections a request may be sent.
type destination struct {
	addr    string
	attempt string // ID that the response must repeat; empty if it need not repeat any
	fresh   bool   // only a new connection
}

// start writes r to a connection and reads the header of the response. permitted may be nil; if it returns false once
// there is a connection, nothing is written.
func (c *Client) start(ctx context.Context, to destination, permitted func() bool, r *fasthttp.Request) (*exchange, error) {
	cn, err := c.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if permitted != nil && !permitted() {
		c.pool.put(cn)
		return nil, &Failure{NotSent: true, NotPermitted: true, Err: errs.New(errs.Canceled, "resend the request if it is still wanted", "permission to send the request ended before it was written")}
	}
	cn.carry(to.attempt)
	ex := &exchange{client: c, ctx: ctx, conn: cn, method: string(r.Header.Method())}
	ex.stopWatching = context.AfterFunc(ctx, cn.abort)
	if err := ex.write(r); err != nil {
		ex.release(false)
		return nil, ex.classifyError(err)
	}
	if err := ex.readHeader(); err != nil {
		ex.release(false)
		return nil, ex.classifyError(err)
	}
	return ex, nil
}

func (c *Client) connect(ctx context.Context, to destination) (*conn, error) {
	key := poolKey{addr: to.addr, named: to.attempt != ""}
	if !to.fresh {
		if cn := c.pool.get(key, to.attempt); cn != nil {
			return cn, nil
		}
	}
	if err := c.pool.acquireSlot(ctx, c.opts.DialTimeout); err != nil {
		if ctx.Err() != nil {
			err = contextError(ctx)
		}
		return nil, &Failure{NotSent: true, Err: err}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		c.pool.releaseSlot()
		return nil, dialFailure(ctx, err)
	}
	cn := newConn(nc, key)
	cn.onClose = c.pool.releaseSlot
	return cn, nil
}

func dialFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Failure{NotSent: true, Err: contextError(ctx)}
	}
	wrapped := errs.Wrap(err, errs.Unavailable, "resend the request", "backend server cannot be reached")
	return &Failure{NotSent: true, DialFailed: true, Err: wrapped}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errs.New(errs.DeadlineExceeded, "allow a longer deadline", "deadline passed before the backend server answered")
	}
	return errs.New(errs.Canceled, "resend the request if it is still wanted", "request was canceled")
}

// fill sets the method, the path, the headers and the body of r.
func (req *Request) fill(ctx context.Context, r *fasthttp.Request) {
	r.Header.SetMethod(req.Method)
	r.Header.DisableNormalizing()
	r.SetRequestURI(req.Path)
	r.Header.SetHost(req.Address)
	for _, h := range req.Header {
		r.Header.Set(h.Name, h.Value)
	}
	if req.ContentType != "" {
		r.Header.SetContentType(req.ContentType)
	}
	if req.AttemptID != "" {
		r.Header.Set(api.HeaderAttemptID, req.AttemptID)
	}
	if req.IdempotencyKey != "" {
		r.Header.Set(api.HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	r.SetBodyRaw(req.Body)
}

func (ex *exchange) write(r *fasthttp.Request) error {
	if err := r.Write(ex.conn.bw); err != nil {
		return err
	}
	return ex.conn.bw.Flush()
}

// readHeader reads the header of the response. It skips interim (1xx) responses.
func (ex *exchange) readHeader() error {
	for interim := 0; ; interim++ {
		status, err := peekHead(ex.conn.br)
		if err != nil {
			return err
		}
		ex.header.Reset()
		if err := ex.header.Read(ex.conn.br); err != nil {
			return err
		}
		if status >= fasthttp.StatusOK {
			break
		}
		if err := checkInterim(&ex.header); err != nil {
			return err
		}
		if interim == maxInterimResponses {
			return errs.New(errs.BackendFailed, "check the backend server", "more than %d interim responses precede the response", maxInterimResponses)
		}
	}
	ex.body = bodyReader(ex.method, &ex.header, ex.conn.br, ex.client.opts.AcceptCloseDelimitedBody)
	return nil
}

// readResponse reads the complete body.
func (ex *exchange) readResponse() (Response, error) {
	body, err := ex.readBody(MaxBodyBytes)
	if err != nil {
		return Response{}, err
	}
	a := Response{Status: ex.header.StatusCode(), ContentType: string(ex.header.ContentType()), Body: body}
	for k, v := range ex.header.All() {
		if !isDroppedResponseHeader(string(k)) {
			a.Header = append(a.Header, Header{string(k), string(v)})
		}
	}
	return a, nil
}

// readBody reads the complete body, of at most limit bytes.
func (ex *exchange) readBody(limit int64) ([]byte, error) {
	var parts [][]byte
	total, size := int64(0), int64(firstPartBytes)
	if n := int64(ex.header.ContentLength()); n > 0 {
		size = min(n+1, bodyChunkBytes) // one byte more, so that the read that finds the end needs no further part
	}
	for {
		if err := ex.client.buffers.reserve(ex, size); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		n, err := readPart(ex.body, part)
		parts, total = append(parts, part[:n]), total+int64(n)
		switch {
		case total > limit:
			return nil, errs.New(errs.BackendFailed, "request a shorter response", "response exceeds %d bytes", limit)
		case errors.Is(err, io.EOF):
			if err := ex.client.buffers.finish(ex); err != nil {
				return nil, err
			}
			if len(parts) == 1 {
				return parts[0], nil
			}
			return slices.Concat(parts...), nil
		case err != nil && ex.client.buffers.hasGivenWay(ex):
			return nil, ex.client.buffers.limitError()
		case err != nil:
			return nil, err
		}
		size = bodyChunkBytes
	}
}

// readPart reads until p is full or the reader fails.
func readPart(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	return n, err
}

// isDroppedResponseHeader reports whether a response header is not passed on: it is hop-by-hop, or this service sets it
// itself in the response to the caller.
func isDroppedResponseHeader(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Content-Type", "Transfer-Encoding", "Keep-Alive", "Trailer", "Upgrade", "Server", "Date",
		api.HeaderAttemptID, api.HeaderOutcome, api.HeaderAttempt, api.HeaderError, api.HeaderWeights, api.HeaderRequestID:
		return true
	}
	return false
}

// stopWatchingContext makes the end of ctx no longer close the connection. It reports false if ctx has already ended.
func (ex *exchange) stopWatchingContext() bool {
	if !ex.detached {
		ex.detached = ex.stopWatching()
	}
	return ex.detached
}

// release stops watching ctx and returns the connection to the pool, or closes it.
func (ex *exchange) release(reusable bool) {
	ex.client.buffers.release(ex)
	switch {
	case !ex.stopWatchingContext() || !reusable:
		ex.conn.abort()
	case ex.header.ConnectionClose():
		ex.conn.Close()
	default:
		ex.client.pool.put(ex.conn)
	}
}

// classifyError turns an error of the exchange into a *Failure.
func (ex *exchange) classifyError(err error) error {
	f := &Failure{NotSent: ex.conn.written() == 0}
	var typed *errs.Error
	switch {
	case ex.ctx.Err() != nil:
		f.Err = contextError(ex.ctx)
	case errors.As(err, &typed):
		f.Err = err
	case f.NotSent:
		f.Err = errs.Wrap(err, errs.Unavailable, "resend the request", "connection to the backend server failed")
	case isConnectionLost(err):
		f.ConnectionLost = true
		f.Err = errs.Wrap(err, errs.TruncatedAnswer, "resend the request", "backend server closed the connection before the end of its response")
	default:
		f.Err = errs.Wrap(err, errs.BackendFailed, "resend the request", "backend server sent a malformed response")
	}
	return f
}

func isConnectionLost(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, net.ErrClosed)
}
