package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"filbertledge/internal/api"
	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
)

// Paths of the load balancer's probes.
const (
	PathReady = "/readyz"
	PathLive  = "/livez"
)

// Limits and defaults of the HTTP server.
const (
	MaxBodyBytes          = 4 << 20
	defaultMaxHeaderBytes = 16 << 10
	// smallRequestBytes bounds the header and the body of a request on a listener for probes or metrics, and
	// auxiliaryConnections its connections.
	smallRequestBytes      = 4 << 10
	auxiliaryConnections   = 32
	auxiliaryHeaderTimeout = 5 * time.Second
	defaultReadTimeout     = 30 * time.Second
	defaultIdleTimeout     = 75 * time.Second
	// writeTimeout exceeds the longest deadline of a request, because it also covers streamed responses.
	writeTimeout = 11 * time.Minute
	// maxConnections bounds the memory that slow callers can occupy.
	maxConnections = 16384
)

const (
	// DefaultAcceptGracePeriod is how long a draining VM still accepts connections, so that every load balancer notices
	// that it is not ready before its listeners close.
	DefaultAcceptGracePeriod = 5 * time.Second
	// DefaultDrainLimit exceeds the deadline of any request.
	DefaultDrainLimit = 10 * time.Minute
	drainPollInterval = 20 * time.Millisecond
)

// unknownRow is the row label in metrics and events of requests that the server refuses itself: malformed or oversized
// requests, requests that arrive too slowly, and requests whose handler panicked.
const unknownRow api.RowName = "(unknown)"

// Handler reports whether it is responsible for the path of the request, and serves the request if so.
type Handler = func(*fasthttp.RequestCtx) bool

// Options configures a Server. All fields other than Handlers are optional.
type Options struct {
	// Handlers are tried in order: the callers' API, the trainers' API and the endpoint at which backend servers
	// announce themselves.
	Handlers []Handler
	// Ready reports whether the VM can serve, for example, whether it has a table of workloads.
	Ready func() bool
	// InFlight returns the number of requests whose responses are not complete.
	InFlight          func() int
	AcceptGracePeriod time.Duration // zero means DefaultAcceptGracePeriod
	DrainLimit        time.Duration // zero means DefaultDrainLimit
	// DisableProbes passes requests for the probe paths to the handlers. ServeProbes answers probes on a separate
	// listener.
	DisableProbes bool
	// MaxBodyBytes and MaxHeaderBytes bound the size of a request. ReadTimeout bounds the time to receive it, and
	// IdleTimeout the time between two requests on a connection. Zero means the default. HeaderTimeout bounds the time from
	// the first byte of a header to its end; zero means that only ReadTimeout does.
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	HeaderTimeout  time.Duration
	// Budget bounds what the connections hold. Nil means a budget that bounds only their number.
	Budget *budget.Budget
	// Share is the part of the budget's connections that the listeners of this server use; nil means Budget.Common.
	Share   *budget.Share
	Metrics *metrics.Metrics
	Events  *events.Recorder
}

func (o Options) withDefaults() Options {
	o.AcceptGracePeriod = cmp.Or(o.AcceptGracePeriod, DefaultAcceptGracePeriod)
	o.DrainLimit = cmp.Or(o.DrainLimit, DefaultDrainLimit)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, MaxBodyBytes)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, defaultReadTimeout)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, o.ReadTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	if o.Budget == nil {
		o.Budget = NewBudget(0, 0)
	}
	if o.Share == nil {
		o.Share = o.Budget.Common()
	}
	return o
}

// NewBudget returns a budget of memory bytes for at most the given number of connections. Zero means no limit of the memory, and
// as many connections as the HTTP server has.
func NewBudget(bytes int64, connections int) *budget.Budget {
	return budget.New(budgetOptions(bytes, connections))
}

// NewBudgetFor is NewBudget with room for one request body of largestBody bytes at a time, beyond the memory bytes.
func NewBudgetFor(bytes int64, connections, largestBody int) *budget.Budget {
	o := budgetOptions(bytes, connections)
	o.LargestBytes = LargestRequestBytes(largestBody)
	return budget.New(o)
}

// LargestRequestBytes returns the memory of a request body of the given size. A chunked one is copied to its last buffer.
func LargestRequestBytes(largestBody int) int64 { return int64(largestBody) + 1 + largeBufferBytes }

func budgetOptions(bytes int64, connections int) budget.Options {
	if connections == 0 {
		connections = maxConnections
	}
	return budget.Options{Bytes: bytes, Connections: min(connections, maxConnections), ConnectionBytes: connectionBytes, Collect: debug.FreeOSMemory}
}

// Server is the HTTP server of a VM for callers, trainers, backend servers and the load balancer.
type Server struct {
	opts     Options
	http     *fasthttp.Server
	draining atomic.Bool
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{opts: opts}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.answerReadError, Logger: discardLogger{},
		ReadBufferSize: opts.MaxHeaderBytes, Concurrency: maxConnections,
		HeaderReceived: hideBody,
		// The read buffer, which has the size of the largest header, is given back when the header has been parsed.
		ReduceMemoryUsage: true,
		ReadTimeout:       opts.ReadTimeout, IdleTimeout: opts.IdleTimeout, WriteTimeout: writeTimeout,
		// A parsed form could not be passed on unchanged.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true, TCPKeepalive: true, SecureErrorLogMessage: true, CloseOnShutdown: true,
	}
	return s
}

// discardLogger drops the log messages of the HTTP library, because they quote data that callers sent.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves connections of ln until Drain closes it.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(listener{ln, s}) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.recoverPanic(ctx)
	if !s.receive(ctx) {
		return
	}
	s.route(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	s.beginAnswer(ctx)
}

// beginAnswer reserves the memory of an answer until it has been sent. A caller for whose answer there is no room loses its
// connection: its request has run.
func (s *Server) beginAnswer(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if ok {
		ctx.Request.ResetBody()
		c.releaseBody()
	}
	if !ok || ctx.Response.IsBodyStream() {
		return // a streamed answer holds no more than its buffers, and its handler still uses the request
	}
	c.releaseHeader(ctx)
	if n := int64(len(ctx.Response.Body())); n > smallBodyBytes {
		if !c.holder.Reserve(n, roomWait) {
			c.holder.SetPhase(budget.Answering)
			c.holder.Drop(budget.Memory)
			return
		}
		c.answerBytes = n
	}
	c.holder.SetPhase(budget.Answering)
}

// StreamAnswer answers with a body of the given length, which is read while it is sent and of which buffer bytes are in memory at
// a time. If the body fails, the connection is closed, so that the answer is not taken for a complete one. The error is of the
// kind errs.Unavailable if there is no room for the buffer.
func StreamAnswer(ctx *fasthttp.RequestCtx, body io.Reader, length, buffer int) error {
	if c, ok := ctx.Conn().(*conn); ok {
		ctx.Request.ResetBody()
		c.releaseBody()
		if !c.holder.Reserve(int64(buffer), roomWait) {
			return errNoRoom
		}
		c.answerBytes = int64(buffer)
		c.holder.SetPhase(budget.Answering)
	}
	ctx.Response.SetBodyStream(body, length)
	return nil
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	if !s.opts.DisableProbes && s.answerProbe(ctx) {
		return
	}
	for _, h := range s.opts.Handlers {
		if h(ctx) {
			return
		}
	}
	WriteError(ctx, errs.New(errs.NotFound, "check the path", "path is not served"))
}

// answerProbe reports whether the request is a probe of the load balancer, and answers it if so.
func (s *Server) answerProbe(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathReady:
		s.answerReadiness(ctx)
	case PathLive:
		ctx.SetBodyString("live\n")
	default:
		return false
	}
	return true
}

// ServeProbes answers only the probes of the load balancer, on a listener of their own, until ln is closed.
func (s *Server) ServeProbes(ln net.Listener) error {
	o := auxiliaryOptions(s.opts.Budget, s.answerProbe)
	o.HeaderTimeout, o.ReadTimeout, o.IdleTimeout = s.opts.HeaderTimeout, s.opts.ReadTimeout, s.opts.IdleTimeout
	return New(o).Serve(ln)
}

// ServeMetrics answers requests for path with h, one at a time, until ln is closed. Its connections count towards the budget.
func ServeMetrics(ln net.Listener, path string, h http.Handler, b *budget.Budget) error {
	answer := fasthttpadaptor.NewFastHTTPHandler(h)
	var mu sync.Mutex // an answer takes much more memory than its request
	return New(auxiliaryOptions(b, func(ctx *fasthttp.RequestCtx) bool {
		if string(ctx.Path()) != path {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		answer(ctx)
		return true
	})).Serve(ln)
}

// auxiliaryOptions returns the options of a server for a listener beside the one for requests. It has connections of its own, so
// that a crowd at one listener leaves room at the others.
func auxiliaryOptions(b *budget.Budget, h Handler) Options {
	return Options{
		Handlers: []Handler{h}, DisableProbes: true, MaxHeaderBytes: smallRequestBytes, MaxBodyBytes: smallRequestBytes, HeaderTimeout: auxiliaryHeaderTimeout,
		Budget: b, Share: b.NewReservedShare(auxiliaryConnections),
	}
}

// recoverPanic keeps a panic in one request from ending the process.
func (s *Server) recoverPanic(ctx *fasthttp.RequestCtx) {
	p := recover()
	if p == nil {
		return
	}
	if s.opts.Events != nil {
		s.opts.Events.Log().WithField("stack", string(debug.Stack())).Errorf("panic in a handler: %v", p)
	}
	ctx.Response.Reset()
	s.refuse(ctx, errs.New(errs.Internal, "report this error", "internal error"), false)
	s.beginAnswer(ctx)
}

// answerReadError answers a request that the HTTP library could not read.
func (s *Server) answerReadError(ctx *fasthttp.RequestCtx, err error) {
	c, ok := ctx.Conn().(*conn)
	if ok && (c.holder.Dropped() || !c.holder.SetPhase(budget.Answering)) {
		ctx.SetConnectionClose()
		return
	}
	if ok {
		c.releaseHeader(ctx)
	}
	s.refuseUnread(ctx, err)
}

func (s *Server) describeReadError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errs.New(errs.PayloadTooLarge, "send a shorter body", "request body exceeds %d bytes", s.opts.MaxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		return errs.New(errs.InvalidArgument, "send the whole request faster", "request was not received within %s", s.opts.ReadTimeout)
	}
	return errMalformed
}

// refuse answers and counts a request that was not served. The outcome of the call is unknown, because earlier
// attempts may have run. notRun states that this attempt did not run.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error, notRun bool) {
	WriteError(ctx, err)
	ctx.Response.Header.Set(api.HeaderOutcome, string(api.OutcomeUnknown))
	if notRun {
		ctx.Response.Header.Set(api.HeaderAttempt, string(api.OutcomeNotRun))
	}
	if s.opts.Metrics != nil {
		s.opts.Metrics.RequestRefused(unknownRow, string(errs.KindOf(err)), time.Now())
	}
	if s.opts.Events != nil {
		s.opts.Events.Record(events.Event{Name: events.RequestRefused, Row: unknownRow, Detail: fmt.Sprintf("from %s: %v", ctx.RemoteAddr(), err)})
	}
}

func (s *Server) answerReadiness(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || (s.opts.Ready != nil && !s.opts.Ready()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain reports the VM as not ready, accepts connections for AcceptGracePeriod, then closes the listeners and waits for
// the requests in flight. It returns an error if they do not end within DrainLimit or before ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if s.opts.Events != nil {
		s.opts.Events.Record(events.Event{Name: events.VMDraining})
	}
	select {
	case <-time.After(s.opts.AcceptGracePeriod):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.DrainLimit)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	if err == nil {
		err = s.waitInFlight(ctx)
	}
	return errs.Wrap(err, errs.DeadlineExceeded, "raise the drain limit in the settings", "requests were still running at the end of the drain")
}

func (s *Server) waitInFlight(ctx context.Context) error {
	for s.opts.InFlight != nil && s.opts.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
