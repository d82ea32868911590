// Package backend is the client for backend servers: model engines and plain services. It also holds the
// endpoint at which backend servers announce themselves.
//
// The client makes one HTTP exchange per call and never repeats it. It distinguishes an exchange of which no
// byte was written, which certainly did not run, from one whose outcome is unknown.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Bounds of an exchange.
const (
	MaxBodyBytes    = 4 << 20
	maxHeaderBytes  = 16 << 10
	maxEventBytes   = 1 << 20
	maxIdlePerHost  = 64
	defaultDial     = time.Second
	defaultIdle     = 5 * time.Second // shorter than servers keep idle connections
	writeBufferSize = 8 << 10
)

// Options configures a Client. The zero value is usable.
type Options struct {
	DialTimeout time.Duration // default 1 s
	IdleTimeout time.Duration // idle connections are closed after it; default 5 s
	// AcceptCloseDelimitedBody accepts bodies without a length whose end is the orderly end of the connection.
	AcceptCloseDelimitedBody bool
}

// Client runs exchanges with backend servers. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer
	pool   connPool
}

// New returns a client.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDial
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdle
	}
	c := &Client{opts: opts, dialer: net.Dialer{Timeout: opts.DialTimeout}}
	c.pool.idle = map[string][]*conn{}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Header is one additional request or response header.
type Header struct{ Name, Value string }

// Request is one exchange with a backend server.
type Request struct {
	Address        string // IP:port
	Method         string
	Path           string // with the query
	ContentType    string
	Header         []Header
	Body           []byte
	AttemptID      string
	IdempotencyKey string
	// NewConnection forbids reused connections. A connection that the server closed while it was idle fails after
	// bytes were written, which would make the outcome of a non-idempotent call unknown without need.
	NewConnection bool
	// AttemptIDInBody tells where the server echoes the attempt id: in the JSON body if true, else in a header.
	AttemptIDInBody bool
}

// Response is the whole answer of an exchange.
type Response struct {
	Status      int
	ContentType string
	Header      []Header
	Body        []byte
}

// Failure is the error of an exchange.
type Failure struct {
	// NotSent is true if no byte of the request was written, so that it certainly did not run.
	NotSent bool
	// DialFailed is true if the server could not be connected to.
	DialFailed bool
	// ConnectionLost is true if the connection broke after bytes were written, as when the server crashes.
	ConnectionLost bool
	// Status and Body are set if the server answered a stream request with an error status.
	Status int
	Body   []byte
	Err    error
}

// Error returns the cause's message.
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

// Do runs one exchange and returns the whole answer, whatever its status. The error is a *Failure.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	ex, err := c.begin(ctx, &req)
	if err != nil {
		return Response{}, err
	}
	answer, err := ex.whole()
	ex.end(err == nil)
	if err != nil {
		return Response{}, ex.failure(err)
	}
	if err := checkEcho(&req, ex, answer); err != nil {
		return Response{}, err
	}
	return answer, nil
}

// checkEcho refuses an answer that belongs to another attempt.
func checkEcho(req *Request, ex *exchange, answer Response) error {
	if req.AttemptID == "" {
		return nil
	}
	got := string(ex.header.Peek(api.HeaderAttemptID))
	if req.AttemptIDInBody {
		if answer.Status != fasthttp.StatusOK {
			return nil // error bodies of engines carry no attempt id and no content
		}
		got = attemptOf(answer.Body)
	}
	if got != req.AttemptID {
		return &Failure{Err: errs.New(errs.BackendFailed, "resend the request", "answer belongs to attempt %q, not %q", got, req.AttemptID)}
	}
	return nil
}

// exchange is a request that was written, and the header of its answer.
type exchange struct {
	client *Client
	ctx    context.Context
	conn   *conn
	method string
	stop   func() bool
	// detached is true once the end of ctx no longer closes the connection.
	detached bool
	header   fasthttp.ResponseHeader
	body     io.Reader
}

// begin connects, writes the request and reads the header of the answer. When ctx ends, the connection is
// closed, which cancels the work on the server.
func (c *Client) begin(ctx context.Context, req *Request) (*exchange, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	req.fill(ctx, r)
	return c.start(ctx, req.Address, req.NewConnection, r)
}

// start writes r on a connection to addr and reads the header of the answer.
func (c *Client) start(ctx context.Context, addr string, fresh bool, r *fasthttp.Request) (*exchange, error) {
	cn, err := c.connect(ctx, addr, fresh)
	if err != nil {
		return nil, err
	}
	ex := &exchange{client: c, ctx: ctx, conn: cn, method: string(r.Header.Method())}
	ex.stop = context.AfterFunc(ctx, func() { cn.Close() })
	if err := ex.write(r); err != nil {
		ex.end(false)
		return nil, ex.failure(err)
	}
	if err := ex.readHeader(); err != nil {
		ex.end(false)
		return nil, ex.failure(err)
	}
	return ex, nil
}

func (c *Client) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if cn := c.pool.get(addr, c.opts.IdleTimeout); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, dialFailure(ctx, err)
	}
	return newConn(nc, addr), nil
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

// fill writes the product's own headers and the body into r.
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

// readHeader reads the header of the answer and skips interim answers.
func (ex *exchange) readHeader() error {
	for {
		ex.header.Reset()
		if err := ex.header.Read(ex.conn.br); err != nil {
			return err
		}
		if ex.header.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	ex.body = bodyReader(ex.method, &ex.header, ex.conn.br, ex.client.opts.AcceptCloseDelimitedBody)
	return nil
}

// whole reads the body to its end mark.
func (ex *exchange) whole() (Response, error) {
	body, err := io.ReadAll(io.LimitReader(ex.body, MaxBodyBytes+1))
	if err != nil {
		return Response{}, err
	}
	if len(body) > MaxBodyBytes {
		return Response{}, errs.New(errs.BackendFailed, "ask for a shorter answer", "answer exceeds %d bytes", MaxBodyBytes)
	}
	a := Response{Status: ex.header.StatusCode(), ContentType: string(ex.header.ContentType()), Body: body}
	for k, v := range ex.header.All() {
		if !hopHeader(string(k)) {
			a.Header = append(a.Header, Header{string(k), string(v)})
		}
	}
	return a, nil
}

// hopHeader reports whether a response header belongs to one connection or is set anew for the caller.
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Content-Type", "Transfer-Encoding", "Keep-Alive", "Trailer", "Upgrade", "Server", "Date",
		api.HeaderAttemptID, api.HeaderOutcome, api.HeaderAttempt, api.HeaderError, api.HeaderWeights, api.HeaderRequestID:
		return true
	}
	return false
}

// detach stops watching ctx. It reports false if ctx has ended and the connection is closed.
func (ex *exchange) detach() bool {
	if !ex.detached {
		ex.detached = ex.stop()
	}
	return ex.detached
}

// end stops watching ctx and returns the connection to the pool, or closes it.
func (ex *exchange) end(reusable bool) {
	if ex.detach() && reusable && !ex.header.ConnectionClose() {
		ex.client.pool.put(ex.conn)
		return
	}
	ex.conn.Close()
}

// failure classifies an error of the exchange.
func (ex *exchange) failure(err error) error {
	f := &Failure{NotSent: ex.conn.written() == 0}
	var typed *errs.Error
	switch {
	case ex.ctx.Err() != nil:
		f.Err = contextError(ex.ctx)
	case errors.As(err, &typed):
		f.Err = err
	case f.NotSent:
		f.Err = errs.Wrap(err, errs.Unavailable, "resend the request", "connection to the backend server failed")
	case isLost(err):
		f.ConnectionLost = true
		f.Err = errs.Wrap(err, errs.TruncatedAnswer, "resend the request", "backend server broke the connection before the end of its answer")
	default:
		f.Err = errs.Wrap(err, errs.BackendFailed, "resend the request", "backend server sent a malformed answer")
	}
	return f
}

func isLost(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, net.ErrClosed)
}
