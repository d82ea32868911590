// Package standin holds what the simulated backend servers ("stand-ins") share: announcements, injected faults, the
// log of received requests and orders, and an HTTP server whose connections can be reset. It is only for tests and
// measurements and is not part of the product.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	shutdownLimit  = time.Second
)

// Server is an HTTP server that tracks its open connections, so that they can be reset.
type Server struct {
	http     *fasthttp.Server
	listener *trackingListener
	done     chan struct{}
}

// Serve starts an HTTP server on address, for example 127.0.0.1:0.
func Serve(address string, handler fasthttp.RequestHandler) (*Server, error) {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		http: &fasthttp.Server{
			Handler:               handler,
			MaxRequestBodySize:    maxBodyBytes,
			ReadBufferSize:        maxHeaderBytes,
			NoDefaultServerHeader: true,
			Logger:                discardLogger{},
		},
		listener: &trackingListener{Listener: inner, open: map[net.Conn]struct{}{}},
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// discardLogger drops the log messages of fasthttp about broken connections, which the tests cause on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Abort closes the listener and resets all connections, as if the process had been killed.
func (s *Server) Abort() {
	_ = s.listener.Close()
	s.listener.resetAll()
	<-s.done
}

// trackingListener keeps the set of its accepted connections that are still open.
type trackingListener struct {
	net.Listener
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

type trackedConn struct {
	*net.TCPConn
	listener *trackingListener
}

// Accept waits for a connection and tracks it until it is closed.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{TCPConn: c.(*net.TCPConn), listener: l}
	l.mu.Lock()
	l.open[t] = struct{}{}
	l.mu.Unlock()
	return t, nil
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

func (l *trackingListener) resetAll() {
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		Reset(c)
	}
}

// Reset closes a connection with a TCP reset; data that has not been sent yet is lost.
func Reset(c net.Conn) {
	if t, ok := c.(*trackedConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// PeerGone reports whether the peer of c has closed the connection. It peeks at the socket and leaves its data
// unread. It does not wait for another goroutine that reads c: once a request is answered, the HTTP server waits there
// for the next one.
func PeerGone(c net.Conn) bool {
	t, ok := c.(*trackedConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return gone || err != nil
}

// ReplyJSON sends v as a JSON response.
func ReplyJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// ErrorBody is the error response body of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error of the OpenAI API.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// ReplyError sends an error response of the OpenAI API; kind is its error type.
func ReplyError(ctx *fasthttp.RequestCtx, status int, kind, message string) {
	ReplyJSON(ctx, status, ErrorBody{Error: ErrorDetail{Message: message, Type: kind}})
}
