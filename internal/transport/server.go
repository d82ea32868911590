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

// Peer is the authenticated other side of a connection.
type Peer struct {
	Name    string // from its certificate
	Role    pki.Role
	Address string // IP:port it dialled from; not its listening address
}

// Handler answers a request, or takes a one-way message, whose answer is dropped. ctx ends when the caller's
// deadline passes, the caller gives up or the server stops. request is owned by the handler.
type Handler func(ctx context.Context, peer Peer, request []byte) ([]byte, error)

// ServerOptions describe a Server.
type ServerOptions struct {
	Address  string         // IP:port to listen on
	Conn     net.PacketConn // used instead of Address if not nil
	Identity *pki.TLSSource
	Counters *Counters // optional
	// OnPermissionDenied is called when a peer calls a method that its role may not use. Optional; must not block.
	OnPermissionDenied func(peer Peer, method string)
	// ShutdownGrace is how long Serve lets running handlers finish after its context ended. Zero means 1 s.
	ShutdownGrace time.Duration
}

// defaultGrace is the Grace of a server that sets none.
const defaultGrace = time.Second

type route struct {
	role    pki.Role
	handler Handler
}

// Server accepts connections of VMs and operators.
type Server struct {
	options   ServerOptions
	packets   net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener

	mu     sync.RWMutex
	routes map[string]route

	stopping bool           // guarded by mu; no request is added to running any more
	running  sync.WaitGroup // requests
}

// NewServer opens the socket. Connections are accepted once Serve runs.
func NewServer(o ServerOptions) (*Server, error) {
	if o.ShutdownGrace == 0 {
		o.ShutdownGrace = defaultGrace
	}
	if o.Counters == nil {
		o.Counters = NewCounters()
	}
	// With a key that survives a restart, the new process tells peers at once that their old connections are
	// gone; otherwise they would notice only after idleTimeout.
	secret, err := o.Identity.DeriveKey("filbertledge stateless reset")
	if err != nil {
		return nil, err
	}
	reset := quic.StatelessResetKey(secret)
	packets, err := socket(o.Address, o.Conn)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, packets: packets, routes: map[string]route{}}
	s.transport = &quic.Transport{Conn: packets, StatelessResetKey: &reset}
	s.listener, err = s.transport.Listen(o.Identity.ServerTLS(protocolName), quicConfig())
	if err != nil {
		packets.Close()
		return nil, errs.Wrap(err, errs.ConfigInvalid, "free the port or choose another in [listen] internal", "cannot listen on %s", o.Address)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.packets.LocalAddr().String() }

// Handle registers the handler of a method for peers with one of the roles. Registering a method twice is a
// programming error.
func (s *Server) Handle(method string, role pki.Role, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.routes[method]; ok {
		panic("transport: method " + method + " is registered twice")
	}
	s.routes[method] = route{role, h}
}

// Serve accepts connections until ctx ends. It then refuses new requests, waits up to Grace for running
// handlers, closes all connections and returns nil.
func (s *Server) Serve(ctx context.Context) error {
	handlers, stopHandlers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHandlers()
	var conns sync.WaitGroup
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			s.stop(stopHandlers, &conns)
			if ctx.Err() != nil {
				return nil
			}
			return errs.Wrap(err, errs.Internal, "restart the VM", "the QUIC listener on %s failed", s.Addr())
		}
		conns.Go(func() { s.serveConn(ctx, handlers, conn) })
	}
}

// closeLinger is the time in which the last answers leave: closing a connection drops what is not yet sent.
const closeLinger = 50 * time.Millisecond

// stop lets handlers finish for the grace period and closes the connections and the socket.
func (s *Server) stop(stopHandlers context.CancelFunc, conns *sync.WaitGroup) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.options.ShutdownGrace):
	}
	time.Sleep(closeLinger)
	stopHandlers()
	conns.Wait()
	s.listener.Close()
	s.transport.Close()
	s.packets.Close()
}

// connection is an accepted connection with its authenticated peer.
type connection struct {
	*quic.Conn
	peer      Peer
	chain     []*x509.Certificate
	identity  *pki.TLSSource
	verified  atomic.Uint64   // generation of the material that chain was last checked against
	accepting context.Context // ends when the server stops accepting requests
}

func (s *Server) serveConn(ctx, handlers context.Context, conn *quic.Conn) {
	identity, err := pki.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		conn.CloseWithError(codeRefused, "certificate refused")
		return
	}
	c := &connection{Conn: conn, accepting: ctx, identity: s.options.Identity, chain: conn.ConnectionState().TLS.PeerCertificates}
	c.peer = Peer{Name: identity.Name, Role: identity.Role, Address: conn.RemoteAddr().String()}
	wire := s.options.Counters.openWire(wireClass(identity.Role), wireTraffic(conn))
	defer s.options.Counters.closeWire(wire)
	handlers, stop := context.WithCancel(handlers)
	defer stop()
	defer context.AfterFunc(handlers, func() { conn.CloseWithError(codeShutdown, "the VM is stopping") })()
	go s.acceptUni(handlers, c)
	go s.acceptDatagrams(handlers, c)
	s.acceptStreams(handlers, c)
}

func (s *Server) acceptStreams(ctx context.Context, c *connection) {
	for {
		stream, err := c.AcceptStream(c.Context())
		if err != nil {
			return
		}
		go func() {
			if s.begin() {
				defer s.running.Done()
			}
			s.serveStream(ctx, c, stream)
		}()
	}
}

// begin counts a request that stop has to wait for. Later requests are not counted: dispatch refuses them.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running.Add(1)
	return true
}

// refusal returns an error if the peer would not be accepted any more: its certificate has expired since the
// handshake, or the CA that issued it was removed. The connection stays open, so that the answers of running
// handlers arrive.
func (c *connection) refusal() error {
	if time.Now().After(c.chain[0].NotAfter) {
		return errs.New(errs.Unauthenticated, "renew it with filbertledge keys rotate", "certificate of %q has expired", c.peer.Name)
	}
	// A new connection is checked once more, because the material may have changed during its handshake.
	generation := c.identity.ReloadCount() + 1
	if c.verified.Load() == generation {
		return nil
	}
	if err := c.identity.VerifyClient(c.chain); err != nil {
		return err
	}
	c.verified.Store(generation)
	return nil
}

func (s *Server) serveStream(ctx context.Context, c *connection, stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(messageTimeout))
	data, err := readEnvelope(stream)
	if errors.Is(err, errEnvelopeTooLarge) {
		stream.CancelRead(codeTooLarge)
		s.respond(stream, "", nil, tooLarge("request", len(data)))
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
	s.options.Counters.in(request.Method, len(data))
	// The context of a stream ends when the caller gives up or the connection is lost.
	ctx, cancel := joinContexts(ctx, stream.Context())
	defer cancel()
	if request.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	body, err := s.dispatch(ctx, c, request)
	s.respond(stream, request.Method, body, err)
}

// joinContexts returns a context that ends when a or b does.
func joinContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() { stop(); cancel() }
}

func (s *Server) dispatch(ctx context.Context, c *connection, request requestEnvelope) (body []byte, err error) {
	if c.accepting.Err() != nil {
		return nil, errs.New(errs.Unavailable, "send the request to another VM", "the VM is stopping; the request was not run")
	}
	if err := c.refusal(); err != nil {
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

func (s *Server) respond(stream *quic.Stream, method string, body []byte, err error) {
	response := responseEnvelope{Body: body}
	if err == nil && len(body) > MaxMessage {
		err = tooLarge("response", len(body))
	}
	if err != nil {
		response = responseEnvelope{Error: toWire(err)}
	}
	data, err := Marshal(response)
	if err != nil {
		stream.CancelWrite(codeAbort)
		return
	}
	if method != "" {
		s.options.Counters.out(method, len(data))
	}
	// A caller that reads slowly may not hold the stream for ever.
	stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(codeAbort)
		return
	}
	stream.Close()
}

// messageTimeout bounds the time in which a peer sends or takes one message.
const messageTimeout = 30 * time.Second

func (s *Server) acceptUni(ctx context.Context, c *connection) {
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
			s.receive(ctx, c, data)
		}()
	}
}

func (s *Server) acceptDatagrams(ctx context.Context, c *connection) {
	for {
		data, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return
		}
		if len(data) > 0 { // an empty datagram is a keepalive
			s.receive(ctx, c, data)
		}
	}
}

// receive runs the handler of a one-way message. Messages of one connection that arrive as datagrams run one
// after another, so a handler must not block.
func (s *Server) receive(ctx context.Context, c *connection, data []byte) {
	var message requestEnvelope
	if Unmarshal(data, &message) != nil {
		return
	}
	s.options.Counters.in(message.Method, len(data))
	// One-way messages have no answer; a refusal is reported by dispatch.
	_, _ = s.dispatch(ctx, c, message)
}
