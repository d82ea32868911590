package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Identity *pki.TLSSource
	Conn     net.PacketConn // optional; if nil, the client opens a socket of its own
	Counters *Counters      // optional
	// DialTimeout limits the time to establish a connection. Zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// PeerTimeout is how long a peer may send nothing while a call waits for it, before its connection is closed. Zero
	// means DefaultPeerTimeout. The minimum is twice probeAfter, so that the peer has time to answer a probe.
	PeerTimeout time.Duration
}

// Client sends requests and one-way messages. It keeps one connection per address and is safe for concurrent use.
type Client struct {
	options    ClientOptions
	packetConn net.PacketConn
	transport  *quic.Transport
	ctx        context.Context
	cancel     context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peerConn
}

// NewClient opens the client's socket. Connections are established when they are first needed.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Counters == nil {
		o.Counters = NewCounters()
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.PeerTimeout == 0 {
		o.PeerTimeout = DefaultPeerTimeout
	}
	o.PeerTimeout = max(o.PeerTimeout, 2*probeAfter)
	packetConn, err := openSocket(":0", o.Conn)
	if err != nil {
		return nil, err
	}
	c := &Client{options: o, packetConn: packetConn, peers: map[string]*peerConn{}}
	c.transport = &quic.Transport{Conn: packetConn}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Close closes all connections and the socket. Running calls fail.
func (c *Client) Close() error {
	c.cancel()
	c.mu.Lock()
	for _, p := range c.peers {
		p.close()
	}
	c.mu.Unlock()
	err := c.transport.Close()
	c.packetConn.Close()
	return err
}

// peer returns the connection state of addr, and creates it on first use.
func (c *Client) peer(addr string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = newPeerConn(c, addr)
		c.peers[addr] = p
	}
	return p
}

// Call sends a request to the VM at addr (IP:port) and returns the response. The request carries the time that is left
// until the deadline of ctx.
//
// An error of the handler keeps its kind, message and remedy. If the transport fails, the kind is errs.Unavailable if
// the request certainly did not run, and errs.OutcomeUnknown if it may have run. errs.Unauthenticated and
// errs.PermissionDenied mean that a certificate or its role was refused and the request did not run.
func (c *Client) Call(ctx context.Context, addr, method string, request []byte) ([]byte, error) {
	if len(request) > MaxMessage {
		return nil, tooLargeError("request", len(request))
	}
	conn, err := c.peer(addr).connect(ctx)
	if err != nil {
		return nil, err
	}
	conn.beginCall()
	defer conn.endCall()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, notRunError(addr, method, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(codeAbort)
		stream.CancelRead(codeAbort)
	})
	defer stop()
	if err := c.writeRequest(ctx, stream, method, request); err != nil {
		return nil, notRunError(addr, method, preferContextError(ctx, err))
	}
	return c.readResponse(ctx, stream, addr, method)
}

// writeRequest writes the request envelope and closes the sending side of the stream. If it fails, the server has not
// received the end of the request, so the handler does not run.
func (c *Client) writeRequest(ctx context.Context, stream *quic.Stream, method string, request []byte) error {
	envelope := requestEnvelope{Method: method, Body: request}
	if deadline, ok := ctx.Deadline(); ok {
		envelope.Timeout = max(time.Until(deadline), 1)
	}
	data, err := Marshal(envelope)
	if err != nil {
		return err
	}
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(codeAbort)
		stream.CancelRead(codeAbort)
		return err
	}
	c.options.Counters.countSent(method, len(data))
	return stream.Close()
}

func (c *Client) readResponse(ctx context.Context, stream *quic.Stream, addr, method string) ([]byte, error) {
	data, err := readEnvelope(stream)
	if err != nil {
		stream.CancelRead(codeAbort)
		return nil, outcomeUnknownError(addr, method, preferContextError(ctx, err))
	}
	c.options.Counters.countReceived(method, len(data))
	var response responseEnvelope
	if err := Unmarshal(data, &response); err != nil {
		return nil, outcomeUnknownError(addr, method, err)
	}
	if response.Error != nil {
		return nil, response.Error.toError()
	}
	return response.Body, nil
}

// preferContextError returns the error of ctx if ctx has ended, and err otherwise. A stream that is canceled because
// ctx ended returns a less specific error.
func preferContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

const retryRemedy = "retry, or use another VM"

// notRunError returns the typed error of a request that certainly did not run.
func notRunError(addr, method string, err error) error {
	if refused := tlsError(addr, err); refused != nil {
		return refused
	}
	switch {
	case errors.Is(err, context.Canceled):
		return errs.Wrap(err, errs.Canceled, "", "%s to %s was canceled before it was sent", method, addr)
	case errors.Is(err, context.DeadlineExceeded):
		return errs.Wrap(err, errs.Unavailable, "retry with more time, or use another VM", "%s to %s did not run: the deadline passed before it was sent", method, addr)
	}
	return errs.Wrap(err, errs.Unavailable, retryRemedy, "%s to %s did not run", method, addr)
}

// outcomeUnknownError returns the typed error of a request that was sent but not answered.
func outcomeUnknownError(addr, method string, err error) error {
	if refused := tlsError(addr, err); refused != nil {
		return refused
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "find out whether it ran, or resend it if that is safe",
		"%s to %s may have run: the response did not arrive", method, addr)
}

// tlsError returns a typed error if err means that TLS failed or that the server refused the client's certificate, and
// nil otherwise.
func tlsError(addr string, err error) error {
	var app *quic.ApplicationError
	if isTLSError(err) || errors.As(err, &app) && app.ErrorCode == codeRefused {
		return errs.Wrap(err, errs.Unauthenticated, "check the certificates of both sides with filbertledge keys check", "TLS with %s failed", addr)
	}
	return nil
}

// Send queues a one-way message to the VM at addr. It never blocks. The message can be lost, delayed, duplicated or
// reordered. If the queue is full, the new message is dropped.
func (c *Client) Send(addr, method string, message []byte) {
	if len(message) > MaxMessage || c.ctx.Err() != nil {
		c.options.Counters.countDropped(method)
		return
	}
	c.peer(addr).enqueue(oneWayMessage{method, message})
}

// Call sends q as a CBOR-encoded request and decodes the response into an R.
func Call[Q, R any](ctx context.Context, c *Client, addr, method string, q Q) (R, error) {
	var answer R
	request, err := Marshal(q)
	if err != nil {
		return answer, err
	}
	response, err := c.Call(ctx, addr, method, request)
	if err != nil {
		return answer, err
	}
	return answer, Unmarshal(response, &answer)
}

// Handle registers a handler with typed values, which are carried as CBOR.
func Handle[Q, R any](s *Server, method string, role pki.Role, h func(ctx context.Context, peer Peer, q Q) (R, error)) {
	s.Handle(method, role, func(ctx context.Context, peer Peer, request []byte) ([]byte, error) {
		var q Q
		if err := Unmarshal(request, &q); err != nil {
			return nil, err
		}
		answer, err := h(ctx, peer, q)
		if err != nil {
			return nil, err
		}
		return Marshal(answer)
	})
}
