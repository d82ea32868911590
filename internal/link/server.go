package link

import (
	"context"
	"errors"
	"net"
	"sync"

	"golang.org/x/sync/semaphore"

	"filbertledge/internal/budget"
	"filbertledge/internal/errs"
	"filbertledge/internal/transport"
)

// Handler handles a call and returns the response body.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Server handles calls and one-way messages. All handlers must be registered before Serve is called.
type Server struct {
	handlers map[string]Handler
	oneWay   map[string]func(body []byte)
	// OnMalformedFrame, if not nil, is called when a connection was closed because of a malformed frame.
	OnMalformedFrame func(remote string, err error)

	replyLimit int64               // bytes
	replies    *semaphore.Weighted // room for replies; nil if it has no bound
	oversize   *semaphore.Weighted // of weight 1, for a reply that is larger than the share of a connection

	connections *budget.Share // nil if accepted connections have no limit

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]Handler{}, oneWay: map[string]func([]byte){}, conns: map[*conn]struct{}{}}
}

// HandleRaw registers the handler for a method. Each call runs in its own goroutine.
func (s *Server) HandleRaw(method string, h Handler) { s.handlers[method] = h }

// HandleOneWay registers the handler for one-way messages of a method. It runs on the goroutine that reads from the
// connection and must not block.
func (s *Server) HandleOneWay(method string, h func(body []byte)) { s.oneWay[method] = h }

// Handle registers a handler with a typed request and response.
func Handle[Q, R any](s *Server, method string, h func(ctx context.Context, request Q) (R, error)) {
	s.HandleRaw(method, func(ctx context.Context, body []byte) ([]byte, error) {
		var request Q
		if err := transport.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		response, err := h(ctx, request)
		if err != nil {
			return nil, err
		}
		return transport.Marshal(response)
	})
}

// HandleOneWay registers a handler for typed one-way messages. It must not block. A message that cannot be decoded is
// dropped and reported to OnMalformedFrame.
func HandleOneWay[M any](s *Server, method string, h func(M)) {
	s.HandleOneWay(method, func(body []byte) {
		var m M
		if err := transport.Unmarshal(body, &m); err != nil {
			if s.OnMalformedFrame != nil {
				s.OnMalformedFrame("", err)
			}
			return
		}
		h(m)
	})
}

// Serve accepts and serves connections on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close() // makes Accept return; the error of Close is irrelevant
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
			continue // a temporary error, for example a connection reset before it was accepted
		}
		if c := s.accept(nc); c != nil {
			go s.serveConn(ctx, c)
		}
	}
}

// LimitConnections makes accepted connections count towards a share. When it is full, a new connection takes the place of one that
// has not called any method yet. It must be called before Serve.
func (s *Server) LimitConnections(share *budget.Share) { s.connections = share }

// accept returns the connection, or nil if there is no room for it.
func (s *Server) accept(nc net.Conn) *conn {
	if s.connections == nil {
		return s.limitConn(newConn(nc))
	}
	holder := s.connections.Open(func(budget.Reason) { _ = nc.Close() }) // serveConn then ends
	if holder == nil {
		_ = nc.Close() // it was never used
		return nil
	}
	holder.SetPhase(budget.Receiving)
	c := s.limitConn(newConn(nc))
	c.holder = holder
	return c
}

func (s *Server) knows(method string) bool {
	return s.handlers[method] != nil || s.oneWay[method] != nil
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
	if c.holder != nil {
		defer c.holder.Close()
	}
	err := c.readLoop(s.knows, func(f frame) {
		if c.holder != nil && s.knows(f.method) {
			c.holder.SetPhase(budget.Running) // the connection of a VM is never dropped
		}
		s.receive(ctx, c, f)
	})
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
		go s.handleRequest(ctx, c, f)
	}
}

func (s *Server) handleRequest(ctx context.Context, c *conn, f frame) {
	if f.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.timeout)
		defer cancel()
	}
	room := &replyRoom{server: s, conn: c}
	ctx = context.WithValue(ctx, replyRoomKey{}, room)
	resp := frame{kind: frameResponse, callID: f.callID, done: room.release}
	body, err := s.dispatch(ctx, f)
	if err != nil && ctx.Err() != nil {
		err = errs.Wrap(err, errs.OutcomeUnknown, "call again if the call may be repeated", "call %s did not finish in time", f.method)
	}
	resp.body = body
	if err != nil {
		resp.kind, resp.body = frameFailure, encodeFailure(err)
	}
	if c.enqueue(resp) {
		return
	}
	room.release()
	tooLong := errs.New(errs.OutcomeUnknown, "call again if the call may be repeated", "reply of %d bytes to %s does not fit into the send queue", len(resp.body), f.method)
	// If this fails too, the caller learns from its timeout that the outcome is unknown.
	c.enqueue(frame{kind: frameFailure, callID: f.callID, body: encodeFailure(tooLong)})
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
		return nil // unreachable: three strings can always be encoded; the caller reports an empty failure as malformed
	}
	return body
}
