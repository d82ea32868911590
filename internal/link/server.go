package link

import (
	"context"
	"errors"
	"net"
	"sync"

	"filbertledge/internal/errs"
	"filbertledge/internal/transport"
)

// Handler runs one call.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Server answers calls. Handlers are registered before Serve.
type Server struct {
	handlers map[string]Handler
	oneWay   map[string]func(body []byte)
	// OnMalformedFrame is told of connections that ended with a malformed frame. It may be nil.
	OnMalformedFrame func(remote string, err error)

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]Handler{}, oneWay: map[string]func([]byte){}, conns: map[*conn]struct{}{}}
}

// HandleRaw registers the handler of a method. Each call runs in its own goroutine.
func (s *Server) HandleRaw(method string, h Handler) { s.handlers[method] = h }

// HandleOneWay registers the receiver of one-way messages. It runs on the reading goroutine and must not block.
func (s *Server) HandleOneWay(method string, h func(body []byte)) { s.oneWay[method] = h }

// Handle registers a typed handler.
func Handle[Q, R any](s *Server, method string, h func(ctx context.Context, q Q) (R, error)) {
	s.HandleRaw(method, func(ctx context.Context, body []byte) ([]byte, error) {
		var q Q
		if err := transport.Unmarshal(body, &q); err != nil {
			return nil, err
		}
		r, err := h(ctx, q)
		if err != nil {
			return nil, err
		}
		return transport.Marshal(r)
	})
}

// Serve answers the connections of ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close() // ends Accept; there is nothing else to do about its error
		s.closeAll()
	})
	defer stop()
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errs.Wrap(err, errs.Unavailable, "start the process again", "listener %s closed", ln.Addr())
		}
		if err != nil {
			continue // such as a connection that was reset before it was accepted
		}
		go s.serveConn(ctx, newConn(nc))
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.close()
	}
}

func (s *Server) serveConn(ctx context.Context, c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	go c.writeLoop()
	err := c.readLoop(func(f frame) { s.receive(ctx, c, f) })
	if errs.Is(err, errs.InvalidArgument) && s.OnMalformedFrame != nil {
		s.OnMalformedFrame(c.RemoteAddr().String(), err)
	}
}

func (s *Server) receive(ctx context.Context, c *conn, f frame) {
	switch f.kind {
	case framePing:
		c.enqueue(frame{kind: framePong})
	case frameOneWay:
		if h := s.oneWay[f.method]; h != nil {
			h(f.body)
		}
	case frameRequest:
		go s.run(ctx, c, f)
	}
}

func (s *Server) run(ctx context.Context, c *conn, f frame) {
	if f.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.timeout)
		defer cancel()
	}
	answer := frame{kind: frameResponse, call: f.call}
	body, err := s.dispatch(ctx, f)
	if err != nil && ctx.Err() != nil {
		err = errs.Wrap(err, errs.OutcomeUnknown, "call again if the call may be repeated", "%s ran out of time", f.method)
	}
	answer.body = body
	if err != nil {
		answer.kind, answer.body = frameFailure, encodeFailure(err)
	}
	c.enqueue(answer) // a caller whose connection is gone learns the outcome by calling again
}

func (s *Server) dispatch(ctx context.Context, f frame) ([]byte, error) {
	h := s.handlers[f.method]
	if h == nil {
		return nil, errs.New(errs.NotFound, "use the same version of filbertledge on both sides", "method %q does not exist", f.method)
	}
	return h(ctx, f.body)
}

func encodeFailure(err error) []byte {
	f := failure{Kind: errs.KindOf(err), Message: err.Error()}
	var typed *errs.Error
	if errors.As(err, &typed) {
		f.Message, f.Remedy = typed.Message, typed.Remedy
	}
	body, encodeErr := transport.Marshal(f)
	if encodeErr != nil {
		return nil // three strings always encode; an empty failure is reported as malformed by the caller
	}
	return body
}
