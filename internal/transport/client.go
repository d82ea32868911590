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

// ClientOptions describe a Client.
type ClientOptions struct {
	Identity *pki.TLSSource
	Conn     net.PacketConn // optional; a new socket is opened if nil
	Counters *Counters      // optional
	// DialTimeout bounds the opening of a connection. Zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// PeerTimeout is the silence after which a peer counts as lost while a call waits for it. Zero means
	// DefaultSilentTimeout; less than twice probeAfter is raised to that.
	PeerTimeout time.Duration
}

// Client sends requests and one-way messages. It keeps one connection per address and is safe for concurrent
// use.
type Client struct {
	options   ClientOptions
	packets   net.PacketConn
	transport *quic.Transport
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peerConn
}

// NewClient opens the client's socket; it dials nobody yet.
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
	packets, err := socket(":0", o.Conn)
	if err != nil {
		return nil, err
	}
	c := &Client{options: o, packets: packets, peers: map[string]*peerConn{}}
	c.transport = &quic.Transport{Conn: packets}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Close closes all connections. Calls that are running fail.
func (c *Client) Close() error {
	c.cancel()
	c.mu.Lock()
	for _, p := range c.peers {
		p.close()
	}
	c.mu.Unlock()
	err := c.transport.Close()
	c.packets.Close()
	return err
}

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

// Call sends a request to the VM at addr (IP:port) and returns its answer. The deadline of ctx travels with it.
//
// Errors of the handler keep kind, message and remedy. If the transport fails, the kind is errs.Unavailable
// when the request certainly did not run, and errs.OutcomeUnknown when it may have run. Unauthenticated and
// PermissionDenied mean that a certificate was refused; nothing ran.
func (c *Client) Call(ctx context.Context, addr, method string, request []byte) ([]byte, error) {
	if len(request) > MaxMessage {
		return nil, tooLarge("request", len(request))
	}
	conn, err := c.peer(addr).connect(ctx)
	if err != nil {
		return nil, err
	}
	conn.begin()
	defer conn.end()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, notRun(addr, method, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(codeAbort)
		stream.CancelRead(codeAbort)
	})
	defer stop()
	if err := c.writeRequest(ctx, stream, method, request); err != nil {
		return nil, notRun(addr, method, cause(ctx, err))
	}
	return c.readResponse(ctx, stream, addr, method)
}

// writeRequest writes the envelope and ends the stream. If it fails, the server has not seen the end.
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
	c.options.Counters.out(method, len(data))
	return stream.Close()
}

func (c *Client) readResponse(ctx context.Context, stream *quic.Stream, addr, method string) ([]byte, error) {
	data, err := readEnvelope(stream)
	if err != nil {
		stream.CancelRead(codeAbort)
		return nil, mayHaveRun(addr, method, cause(ctx, err))
	}
	c.options.Counters.in(method, len(data))
	var response responseEnvelope
	if err := Unmarshal(data, &response); err != nil {
		return nil, mayHaveRun(addr, method, err)
	}
	if response.Error != nil {
		return nil, response.Error.err()
	}
	return response.Body, nil
}

// cause returns the error of ctx if it ended, because the error of a stream that was canceled for it says less.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

const retryRemedy = "retry, or use another VM"

func notRun(addr, method string, err error) error {
	if refused := refusal(addr, err); refused != nil {
		return refused
	}
	switch {
	case errors.Is(err, context.Canceled):
		return errs.Wrap(err, errs.Canceled, "", "%s to %s was canceled before it was sent", method, addr)
	case errors.Is(err, context.DeadlineExceeded):
		return errs.Wrap(err, errs.Unavailable, "retry with more time, or use another VM", "%s to %s did not run: no time left to send it", method, addr)
	}
	return errs.Wrap(err, errs.Unavailable, retryRemedy, "%s to %s did not run", method, addr)
}

func mayHaveRun(addr, method string, err error) error {
	if refused := refusal(addr, err); refused != nil {
		return refused
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "find out whether it ran, or resend it if that is safe",
		"%s to %s may have run: the answer did not arrive", method, addr)
}

// refusal returns a typed error if err says that a certificate was refused, and else nil.
func refusal(addr string, err error) error {
	var app *quic.ApplicationError
	if refusedByTLS(err) || errors.As(err, &app) && app.ErrorCode == codeRefused {
		return errs.Wrap(err, errs.Unauthenticated, "check both sides with filbertledge keys check", "TLS with %s failed", addr)
	}
	return nil
}

// Send queues a one-way message to the VM at addr. It never blocks. The message can be lost, delayed,
// duplicated or reordered; when the queue is full, this newest message is dropped.
func (c *Client) Send(addr, method string, message []byte) {
	if len(message) > MaxMessage || c.ctx.Err() != nil {
		c.options.Counters.dropped(method)
		return
	}
	c.peer(addr).enqueue(oneWay{method, message})
}

// Call sends q as CBOR and decodes the answer.
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

// Handle registers a handler that takes and returns typed values as CBOR.
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
