package front

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/metrics"
)

// Paths for the platform's balancer.
const (
	PathReady = "/readyz"
	PathLive  = "/livez"
)

// Limits of the HTTP server.
const (
	MaxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// probeHeaderBytes bounds the header of a probe.
	probeHeaderBytes = 2 << 10
	readTimeout      = 30 * time.Second
	idleTimeout      = 75 * time.Second
	// writeTimeout is above the longest deadline of a request, since it also covers streams.
	writeTimeout = 11 * time.Minute
	// maxConnections bounds the memory that slow callers can hold.
	maxConnections = 16384
)

const (
	// DefaultAcceptGracePeriod is how long a draining VM goes on accepting, until every balancer has seen its readiness.
	DefaultAcceptGracePeriod = 5 * time.Second
	// DefaultDrainLimit is longer than any request's deadline.
	DefaultDrainLimit = 10 * time.Minute
	drainPoll         = 20 * time.Millisecond
)

// unknownRow is the row under which requests are counted that could not be read.
const unknownRow api.RowName = "(unknown)"

// Handler serves a request if the path is its own, and reports whether it is.
type Handler = func(*fasthttp.RequestCtx) bool

// Options configures a Server. All fields but Handlers may be zero.
type Options struct {
	// Handlers are asked in order: the callers' API, the trainers' API, the announce endpoint.
	Handlers []Handler
	// Ready reports whether the VM can serve, for example whether it has a table.
	Ready func() bool
	// InFlight returns the number of requests that are not yet answered in full.
	InFlight          func() int
	AcceptGracePeriod time.Duration // default LateAccept
	DrainLimit        time.Duration // default DefaultDrainLimit
	// DisableProbes leaves the paths of the probes to the handlers; ServeProbes answers them elsewhere.
	DisableProbes bool
	// MaxBodyBytes and MaxHeaderBytes bound a request; ReadTimeout bounds its arrival and IdleTimeout the pause
	// between two requests. Zero values mean the defaults.
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	Metrics        *metrics.Metrics
	Events         *events.Recorder
}

func (o Options) withDefaults() Options {
	o.AcceptGracePeriod = cmp.Or(o.AcceptGracePeriod, DefaultAcceptGracePeriod)
	o.DrainLimit = cmp.Or(o.DrainLimit, DefaultDrainLimit)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, MaxBodyBytes)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, maxHeaderBytes)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, readTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, idleTimeout)
	return o
}

// Server is the HTTP server of a VM towards callers, trainers, backend servers and the balancer.
type Server struct {
	opts     Options
	http     *fasthttp.Server
	draining atomic.Bool
}

// New mounts the handlers into one server.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{opts: opts}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.badRequest, Logger: discard{},
		ReadBufferSize: opts.MaxHeaderBytes, MaxRequestBodySize: opts.MaxBodyBytes, Concurrency: maxConnections,
		ReadTimeout: opts.ReadTimeout, IdleTimeout: opts.IdleTimeout, WriteTimeout: writeTimeout,
		NoDefaultServerHeader: true, TCPKeepalive: true, SecureErrorLogMessage: true, CloseOnShutdown: true,
	}
	return s
}

// discard drops the HTTP server's own messages: they repeat what callers sent.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

// Serve serves connections of ln until Drain ends.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.recoverPanic(ctx)
	if err := checkFraming(ctx); err != nil {
		s.refuse(ctx, err, true)
		ctx.SetConnectionClose()
		return
	}
	s.route(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	if !s.opts.DisableProbes && s.probe(ctx) {
		return
	}
	for _, h := range s.opts.Handlers {
		if h(ctx) {
			return
		}
	}
	WriteError(ctx, errs.New(errs.NotFound, "check the path", "path is not served"))
}

// probe answers the probes of the balancer and reports whether the request is one.
func (s *Server) probe(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathReady:
		s.ready(ctx)
	case PathLive:
		ctx.SetBodyString("live\n")
	default:
		return false
	}
	return true
}

// ServeProbes answers the probes of the balancer on a listener of their own until it is closed.
func (s *Server) ServeProbes(ln net.Listener) error {
	probes := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if !s.probe(ctx) {
				WriteError(ctx, errs.New(errs.NotFound, "check the path", "path is not served"))
			}
		},
		Logger: discard{}, ReadBufferSize: probeHeaderBytes, ReadTimeout: s.opts.ReadTimeout, IdleTimeout: s.opts.IdleTimeout,
		NoDefaultServerHeader: true,
	}
	return probes.Serve(ln)
}

// recoverPanic keeps one request's fault from ending the process.
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
}

// checkFraming refuses a request with both Content-Length and Transfer-Encoding: another proxy may have read
// the boundary between two requests differently.
func checkFraming(ctx *fasthttp.RequestCtx) error {
	raw := bytes.ToLower(ctx.Request.Header.RawHeaders())
	if hasLine(raw, "content-length:") && hasLine(raw, "transfer-encoding:") {
		return errs.New(errs.InvalidArgument, "send one of them", "request has both Content-Length and Transfer-Encoding")
	}
	return nil
}

func hasLine(raw []byte, prefix string) bool {
	return bytes.HasPrefix(raw, []byte(prefix)) || bytes.Contains(raw, []byte("\n"+prefix))
}

// badRequest answers a request that could not be read.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	s.refuse(ctx, s.readError(err), true)
	ctx.SetConnectionClose()
}

func (s *Server) readError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return errs.New(errs.PayloadTooLarge, "send shorter headers", "request header exceeds %d bytes", s.opts.MaxHeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errs.New(errs.PayloadTooLarge, "send a shorter body", "request body exceeds %d bytes", s.opts.MaxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		return errs.New(errs.InvalidArgument, "send the whole request faster", "request was not received within %s", s.opts.ReadTimeout)
	}
	return errs.New(errs.InvalidArgument, "send a well-formed HTTP/1.1 request", "request is malformed")
}

// refuse answers and counts a request that was not served. The outcome is unknown, because earlier attempts of
// the same call may have run; notRun tells that this one did not.
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

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || (s.opts.Ready != nil && !s.opts.Ready()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain turns readiness off, goes on accepting for LateAccept, then closes the listeners and waits for the
// requests in flight. It returns an error if they did not end within the drain limit, or when ctx ends.
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
		case <-time.After(drainPoll):
		}
	}
	return nil
}
