package transport

import (
	"context"
	"crypto/x509"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

// Peer is the authenticated client of a connection.
type Peer struct {
	Name    string // from its certificate
	Role    pki.Role
	Address string // IP:port from which it dialed, not its listening address
}

// Handler handles a request or a one-way message. The response to a one-way message is discarded. ctx ends when the
// caller's deadline passes, the caller cancels the request or the server stops. The handler may keep and modify
// request.
type Handler func(ctx context.Context, peer Peer, request []byte) ([]byte, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	Address  string         // IP:port to listen on
	Conn     net.PacketConn // used instead of Address if not nil
	Identity *pki.TLSSource
	Counters *Counters // optional
	// OnPermissionDenied is called when a peer calls a method that its role does not permit. Optional; it must not
	// block.
	OnPermissionDenied func(peer Peer, method string)
	// ShutdownGrace is how long Serve waits for running handlers after its context has ended. Zero means 1 s.
	ShutdownGrace time.Duration
}

// defaultShutdownGrace is the ShutdownGrace of a server whose options leave it zero.
const defaultShutdownGrace = time.Second

type route struct {
	role    pki.Role
	handler Handler
}

// Server accepts connections of VMs and operators.
type Server struct {
	options    ServerOptions
	packetConn net.PacketConn
	transport  *quic.Transport
	listener   *quic.Listener

	mu     sync.RWMutex
	routes map[string]route

	stopping       bool           // guarded by mu; if set, activeRequests does not grow any more
	activeRequests sync.WaitGroup // requests that shutdown waits for
}

// NewServer opens the server's socket. Connections are accepted while Serve runs.
func NewServer(o ServerOptions) (*Server, error) {
	if o.ShutdownGrace == 0 {
		o.ShutdownGrace = defaultShutdownGrace
	}
	if o.Counters == nil {
		o.Counters = NewCounters()
	}
	// The stateless reset key is derived from the private key, so it is the same after a restart. The new process
	// can then reset the connections of the old one at once; otherwise peers would notice only after idleTimeout.
	secret, err := o.Identity.DeriveKey("filbertledge stateless reset")
	if err != nil {
		return nil, err
	}
	reset := quic.StatelessResetKey(secret)
	packetConn, err := openSocket(o.Address, o.Conn)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, packetConn: packetConn, routes: map[string]route{}}
	s.transport = &quic.Transport{Conn: packetConn, StatelessResetKey: &reset}
	s.listener, err = s.transport.Listen(o.Identity.ServerTLS(protocolName), quicConfig())
	if err != nil {
		packetConn.Close()
		return nil, errs.Wrap(err, errs.ConfigInvalid, "free the port or choose another in [listen] internal", "cannot listen on %s", o.Address)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.packetConn.LocalAddr().String() }

// Handle registers the handler of a method for peers that role allows. It panics if the method is already registered.
func (s *Server) Handle(method string, role pki.Role, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.routes[method]; ok {
		panic("transport: method " + method + " is registered twice")
	}
	s.routes[method] = route{role, h}
}

// Serve accepts connections until ctx ends. It then refuses new requests, waits up to ShutdownGrace for running
// handlers, closes all connections and returns nil.
func (s *Server) Serve(ctx context.Context) error {
	handlers, stopHandlers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHandlers()
	var conns sync.WaitGroup
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			s.shutdown(stopHandlers, &conns)
			if ctx.Err() != nil {
				return nil
			}
			return errs.Wrap(err, errs.Internal, "restart the VM", "the QUIC listener on %s failed", s.Addr())
		}
		conns.Go(func() { s.serveConn(ctx, handlers, conn) })
	}
}

// closeDelay is the time between the last response and the closing of connections. Closing a connection discards data
// that has not been sent yet.
const closeDelay = 50 * time.Millisecond

// shutdown waits up to ShutdownGrace for running handlers and then closes the connections and the socket.
func (s *Server) shutdown(stopHandlers context.CancelFunc, conns *sync.WaitGroup) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.activeRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.options.ShutdownGrace):
	}
	time.Sleep(closeDelay)
	stopHandlers()
	conns.Wait()
	s.listener.Close()
	s.transport.Close()
	s.packetConn.Close()
}

// serverConn is an accepted connection with its authenticated peer.
type serverConn struct {
	*quic.Conn
	peer             Peer
	peerCertificates []*x509.Certificate
	identity         *pki.TLSSource
	verifiedReload   atomic.Uint64   // 1 + reload count at the last verification; zero means none
	acceptCtx        context.Context // ends when the server stops accepting requests
}

func (s *Server) serveConn(ctx, handlers context.Context, conn *quic.Conn) {
	identity, err := pki.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		conn.CloseWithError(codeRefused, "certificate refused")
		return
	}
	c := &serverConn{Conn: conn, acceptCtx: ctx, identity: s.options.Identity, peerCertificates: conn.ConnectionState().TLS.PeerCertificates}
	c.peer = Peer{Name: identity.Name, Role: identity.Role, Address: conn.RemoteAddr().String()}
	counter := s.options.Counters.addConn(connClass(identity.Role), connTraffic(conn))
	defer s.options.Counters.removeConn(counter)
	handlers, stop := context.WithCancel(handlers)
	defer stop()
	defer context.AfterFunc(handlers, func() { conn.CloseWithError(codeShutdown, "the VM is stopping") })()
	go s.acceptUniStreams(handlers, c)
	go s.acceptDatagrams(handlers, c)
	s.acceptStreams(handlers, c)
}

func (s *Server) acceptStreams(ctx context.Context, c *serverConn) {
	for {
		stream, err := c.AcceptStream(c.Context())
		if err != nil {
			return
		}
		go func() {
			if s.beginRequest() {
				defer s.activeRequests.Done()
			}
			s.serveStream(ctx, c, stream)
		}()
	}
}

// beginRequest adds a request to those that shutdown waits for, and reports whether it did. It does not add requests
// that arrive after shutdown has begun; dispatch refuses them.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.activeRequests.Add(1)
	return true
}

// verifyPeer returns an error if a new handshake of the peer would fail: its certificate has expired, or the CA that
// issued it was removed. The connection stays open, so that the responses of running handlers are still delivered.
func (c *serverConn) verifyPeer() error {
	if time.Now().After(c.peerCertificates[0].NotAfter) {
		return errs.New(errs.Unauthenticated, "renew it with filbertledge keys rotate", "certificate of %q has expired", c.peer.Name)
	}
	// A new connection is verified once more, because the CA certificates may have changed during its handshake.
	currentReload := c.identity.ReloadCount() + 1
	if c.verifiedReload.Load() == currentReload {
		return nil
	}
	if err := c.identity.VerifyClient(c.peerCertificates); err != nil {
		return err
	}
	c.verifiedReload.Store(currentReload)
	return nil
}

func (s *Server) serveStream(ctx context.Context, c *serverConn, stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(messageTimeout))
	data, err := readEnvelope(stream)
	if errors.Is(err, errEnvelopeTooLarge) {
		stream.CancelRead(codeTooLarge)
		s.respond(stream, "", nil, tooLargeError("request", len(data)))
		return
	}
	if err != nil {
		stream.CancelWrite(codeAbort)
		return
	}
	var request requestEnvelope
	if err := Unmarshal(data, &request); err != nil {
		s.respond(stream, "", nil, err)
		return
	}
	s.options.Counters.countReceived(request.Method, len(data))
	// The context of the stream ends when the caller cancels the request or the connection is lost.
	ctx, cancel := joinContexts(ctx, stream.Context())
	defer cancel()
	if request.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	body, err := s.dispatch(ctx, c, request)
	s.respond(stream, request.Method, body, err)
}

// joinContexts returns a context that is canceled when a or b ends.
func joinContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() { stop(); cancel() }
}

// dispatch checks the peer's certificate and role and runs the handler of the request's method.
func (s *Server) dispatch(ctx context.Context, c *serverConn, request requestEnvelope) (body []byte, err error) {
	if c.acceptCtx.Err() != nil {
		return nil, errs.New(errs.Unavailable, "send the request to another VM", "the VM is stopping; the request was not run")
	}
	if err := c.verifyPeer(); err != nil {
		return nil, err
	}
	s.mu.RLock()
	r, ok := s.routes[request.Method]
	s.mu.RUnlock()
	if !ok {
		return nil, errs.New(errs.NotFound, "use the same version of filbertledge on both sides", "method %q does not exist", request.Method)
	}
	if !r.role.Allows(c.peer.Role) {
		if s.options.OnPermissionDenied != nil {
			s.options.OnPermissionDenied(c.peer, request.Method)
		}
		return nil, errs.New(errs.PermissionDenied, "use a certificate with the role "+r.role.String(),
			"%q with the role %s may not call %s", c.peer.Name, c.peer.Role, request.Method)
	}
	return r.handler(ctx, c.peer, request.Body)
}

// respond writes the response envelope. method is empty if the request could not be decoded; the response is then not
// counted.
func (s *Server) respond(stream *quic.Stream, method string, body []byte, err error) {
	response := responseEnvelope{Body: body}
	if err == nil && len(body) > MaxMessage {
		err = tooLargeError("response", len(body))
	}
	if err != nil {
		response = responseEnvelope{Error: toWireError(err)}
	}
	data, err := Marshal(response)
	if err != nil {
		stream.CancelWrite(codeAbort)
		return
	}
	if method != "" {
		s.options.Counters.countSent(method, len(data))
	}
	// The deadline prevents a caller that reads slowly from blocking the goroutine indefinitely.
	stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(codeAbort)
		return
	}
	stream.Close()
}

// messageTimeout is the maximum time to receive one message from a peer or to send one to it.
const messageTimeout = 30 * time.Second

func (s *Server) acceptUniStreams(ctx context.Context, c *serverConn) {
	for {
		stream, err := c.AcceptUniStream(c.Context())
		if err != nil {
			return
		}
		go func() {
			stream.SetReadDeadline(time.Now().Add(messageTimeout))
			data, err := readEnvelope(stream)
			if err != nil {
				stream.CancelRead(codeAbort)
				return
			}
			s.handleOneWay(ctx, c, data)
		}()
	}
}

func (s *Server) acceptDatagrams(ctx context.Context, c *serverConn) {
	for {
		data, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return
		}
		if len(data) > 0 { // an empty datagram is a probe
			s.handleOneWay(ctx, c, data)
		}
	}
}

// handleOneWay runs the handler of a one-way message. The datagrams of one connection are handled one after another, so
// their handlers must not block.
func (s *Server) handleOneWay(ctx context.Context, c *serverConn, data []byte) {
	var message requestEnvelope
	if Unmarshal(data, &message) != nil {
		return
	}
	s.options.Counters.countReceived(message.Method, len(data))
	// One-way messages have no response, so the error has no receiver. dispatch reports a denied method itself.
	_, _ = s.dispatch(ctx, c, message)
}
