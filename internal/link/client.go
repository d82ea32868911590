package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/errs"
	"filbertledge/internal/transport"
)

const (
	// dialTimeout bounds connecting to a VM. Round trips take only a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// redialInterval is the minimum time between a failed dial and the next one for a one-way message, so that an
	// unreachable VM is not dialed for every message.
	redialInterval = 200 * time.Millisecond
	// pingInterval is the interval at which a connection in use is checked. A ping is sent if nothing was received
	// within it.
	pingInterval = 400 * time.Millisecond
	// pongTimeout is the time after a ping without any received data after which the connection is closed. It detects
	// connections that stop delivering data without an error.
	pongTimeout = 1200 * time.Millisecond
	// idleTimeout is the time after which a connection is closed if nothing was sent on it.
	idleTimeout = 60 * time.Second
)

// Client makes calls to other processes. It is safe for concurrent use.
type Client struct {
	mu         sync.Mutex
	peers      map[string]*peer
	closed     bool
	lastCallID atomic.Uint64
}

// NewClient returns a client. Connections are opened on first use.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.reset()
	}
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		c.peers[addr] = p
	}
	return p
}

// Call calls method at addr and returns the response body. Errors of the handler keep their kind. Connection errors
// are of the kind errs.Unavailable if the call was not sent, and errs.OutcomeUnknown otherwise.
func (c *Client) Call(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	cn, err := c.peer(addr).connect(ctx)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "call again", "cannot connect to %s to call %s", addr, method)
	}
	callID := c.lastCallID.Add(1)
	responses := cn.addPending(callID)
	defer cn.removePending(callID)
	f := frame{kind: frameRequest, callID: callID, method: method, body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.timeout = max(time.Until(deadline), time.Millisecond)
	}
	if !cn.enqueue(f) {
		return nil, errs.New(errs.Unavailable, "call again", "send queue of the connection to %s is full or the connection is closed", addr)
	}
	select {
	case r := <-responses:
		return r.decode()
	case <-cn.done:
		return nil, errs.New(errs.OutcomeUnknown, "call again if the call may be repeated", "connection to %s closed during call %s", addr, method)
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "call again if the call may be repeated", "call %s to %s: no response in time", method, addr)
	}
}

// SendOneWay sends a message without a response. It never blocks; the message is dropped if there is no open
// connection or its queue is full.
func (c *Client) SendOneWay(addr, method string, body []byte) {
	c.peer(addr).send(frame{kind: frameOneWay, method: method, body: body})
}

// SendOneWay sends a typed message without a response, as Client.SendOneWay does.
func SendOneWay[M any](c *Client, addr, method string, m M) error {
	body, err := transport.Marshal(m)
	if err != nil {
		return err
	}
	c.SendOneWay(addr, method, body)
	return nil
}

// peer holds the connection to one address.
type peer struct {
	addr            string
	mu              sync.Mutex
	conn            *clientConn
	dialing         chan struct{} // closed when the current dial ends; nil if there is none
	dialErr         error
	lastDialFailure time.Time // when the last failed dial ended
}

func (p *peer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close()
	}
}

// connect returns the open connection or waits for a new one to be dialed.
func (p *peer) connect(ctx context.Context) (*clientConn, error) {
	for {
		p.mu.Lock()
		if p.conn != nil && !p.conn.closed() {
			cn := p.conn
			p.mu.Unlock()
			return cn, nil
		}
		dialing := p.startDial()
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		p.mu.Lock()
		err := p.dialErr
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// startDial starts a dial, unless one is already in progress, and returns a channel that is closed when it ends.
// The caller must hold the mutex.
func (p *peer) startDial() chan struct{} {
	if p.dialing != nil {
		return p.dialing
	}
	done := make(chan struct{})
	p.dialing = done
	go p.dial(done)
	return done
}

func (p *peer) dial(done chan struct{}) {
	nc, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialing, p.dialErr = nil, err
	if err != nil {
		p.lastDialFailure = time.Now()
		return
	}
	p.conn = newClientConn(nc)
}

// send queues f on the open connection. Without one it drops f and starts a dial.
func (p *peer) send(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.enqueue(f) {
		return
	}
	if (p.conn == nil || p.conn.closed()) && time.Since(p.lastDialFailure) > redialInterval {
		p.startDial()
	}
}

// clientConn is a connection and the calls that wait for a response on it.
type clientConn struct {
	*conn
	mu      sync.Mutex
	pending map[uint64]chan response
}

// response is the content of a response or failure frame.
type response struct {
	body   []byte
	failed bool
}

func newClientConn(nc net.Conn) *clientConn {
	c := &clientConn{conn: newConn(nc), pending: map[uint64]chan response{}}
	go c.writeLoop()
	go func() { _ = c.readLoop(nil, c.receive) }() // the error is not needed: callers are notified through done
	go c.monitor()
	return c
}

func (c *clientConn) addPending(callID uint64) chan response {
	responses := make(chan response, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[callID] = responses
	return responses
}

func (c *clientConn) removePending(callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, callID)
}

func (c *clientConn) receive(f frame) {
	if f.kind != frameResponse && f.kind != frameFailure {
		return
	}
	c.mu.Lock()
	responses := c.pending[f.callID]
	c.mu.Unlock()
	if responses == nil {
		return // the caller no longer waits
	}
	select {
	case responses <- response{body: f.body, failed: f.kind == frameFailure}:
	default: // a duplicate response is ignored
	}
}

// monitor pings a connection in use and closes it when it is unresponsive or idle. It uses the time since boot,
// which does not jump and also advances while the VM is suspended.
func (c *clientConn) monitor() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	pingPending, pingedAt := false, time.Duration(0)
	lastSent := boottime.Now()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		now, lastReceived := boottime.Now(), time.Duration(c.lastReceived.Load())
		if pingPending && lastReceived < pingedAt {
			if now-pingedAt > pongTimeout {
				c.reset()
				return
			}
			continue
		}
		pingPending = false
		if c.queuedSinceCheck.Swap(0) > 0 {
			lastSent = now
			if now-lastReceived >= pingInterval && c.enqueue(frame{kind: framePing}) {
				pingPending, pingedAt = true, now
				c.queuedSinceCheck.Store(0)
			}
		}
		if now-lastSent > idleTimeout && c.hasNoPendingCalls() {
			c.close()
			return
		}
	}
}

func (c *clientConn) hasNoPendingCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// failure is the wire format of an error returned by a handler.
type failure struct {
	Kind    errs.Kind `cbor:"1,keyasint"`
	Message string    `cbor:"2,keyasint"`
	Remedy  string    `cbor:"3,keyasint"`
}

func (r response) decode() ([]byte, error) {
	if !r.failed {
		return r.body, nil
	}
	var f failure
	if err := transport.Unmarshal(r.body, &f); err != nil {
		return nil, err
	}
	return nil, errs.New(f.Kind, f.Remedy, "%s", f.Message)
}

// Call calls method at addr with a typed request and response.
func Call[Q, R any](ctx context.Context, c *Client, addr, method string, q Q) (R, error) {
	var r R
	body, err := transport.Marshal(q)
	if err != nil {
		return r, err
	}
	respBody, err := c.Call(ctx, addr, method, body)
	if err != nil {
		return r, err
	}
	return r, transport.Unmarshal(respBody, &r)
}
