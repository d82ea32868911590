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
	// dialTimeout bounds connecting to a VM; the round trip is a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// redialPause keeps one-way messages from dialing a dead VM without a pause.
	redialPause = 200 * time.Millisecond
	// pingEvery is how often a connection in use is probed, and silentAfter ends one that answers nothing: a
	// connection can go silent for good without an error.
	pingEvery   = 400 * time.Millisecond
	silentAfter = 1200 * time.Millisecond
	// idleAfter closes a connection that nothing was sent on.
	idleAfter = 60 * time.Second
)

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	next   atomic.Uint64
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// Close ends all connections.
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

// Call runs method at addr and returns its answer. Errors of the handler keep their kind. Errors of the
// connection are of the kinds errs.Unavailable (not run) and errs.OutcomeUnknown.
func (c *Client) Call(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	cn, err := c.peer(addr).connect(ctx)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "call again", "cannot connect to %s for %s", addr, method)
	}
	call := c.next.Add(1)
	answer := cn.expect(call)
	defer cn.forget(call)
	f := frame{kind: frameRequest, call: call, method: method, body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.timeout = max(time.Until(deadline), time.Millisecond)
	}
	if !cn.enqueue(f) {
		return nil, errs.New(errs.Unavailable, "call again", "connection to %s takes no more calls", addr)
	}
	select {
	case r := <-answer:
		return r.decode()
	case <-cn.done:
		return nil, errs.New(errs.OutcomeUnknown, "call again if the call may be repeated", "connection to %s broke during %s", addr, method)
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "call again if the call may be repeated", "%s at %s did not answer in time", method, addr)
	}
}

// SendOneWay passes a one-way message on, or drops it when addr cannot be reached. It never blocks.
func (c *Client) SendOneWay(addr, method string, body []byte) {
	c.peer(addr).send(frame{kind: frameOneWay, method: method, body: body})
}

// peer is the connection to one address.
type peer struct {
	addr    string
	mu      sync.Mutex
	conn    *clientConn
	dialing chan struct{} // closed when the dial that is under way ends
	dialErr error
	failed  time.Time // the end of the last failed dial
}

func (p *peer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close()
	}
}

// connect returns the open connection or waits for a new one.
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

// startDial begins a dial unless one is under way. The caller holds the mutex.
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
		p.failed = time.Now()
		return
	}
	p.conn = newClientConn(nc)
}

// send queues f on the open connection, or starts to connect and drops f.
func (p *peer) send(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.enqueue(f) {
		return
	}
	if (p.conn == nil || p.conn.closed()) && time.Since(p.failed) > redialPause {
		p.startDial()
	}
}

// clientConn is a connection with the calls that wait for an answer on it.
type clientConn struct {
	*conn
	mu      sync.Mutex
	pending map[uint64]chan response
}

// response is the answer to a call.
type response struct {
	body   []byte
	failed bool
}

func newClientConn(nc net.Conn) *clientConn {
	c := &clientConn{conn: newConn(nc), pending: map[uint64]chan response{}}
	go c.writeLoop()
	go func() { _ = c.readLoop(c.receive) }() // callers learn of the end through done
	go c.watch()
	return c
}

func (c *clientConn) expect(call uint64) chan response {
	answer := make(chan response, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[call] = answer
	return answer
}

func (c *clientConn) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

func (c *clientConn) receive(f frame) {
	if f.kind != frameResponse && f.kind != frameFailure {
		return
	}
	c.mu.Lock()
	answer := c.pending[f.call]
	c.mu.Unlock()
	if answer == nil {
		return // its caller has given up
	}
	select {
	case answer <- response{body: f.body, failed: f.kind == frameFailure}:
	default: // a second answer to one call is ignored
	}
}

// watch probes a connection in use and closes it when it is silent. It goes by the boot time, which neither jumps nor
// stands still while the VM is suspended.
func (c *clientConn) watch() {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	probing, probedAt := false, time.Duration(0)
	lastUse := boottime.Now()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		now, heard := boottime.Now(), time.Duration(c.heard.Load())
		if probing && heard < probedAt {
			if now-probedAt > silentAfter {
				c.close()
				return
			}
			continue
		}
		probing = false
		if c.queued.Swap(0) > 0 {
			lastUse = now
			if now-heard >= pingEvery && c.enqueue(frame{kind: framePing}) {
				probing, probedAt = true, now
				c.queued.Store(0)
			}
		}
		if now-lastUse > idleAfter && c.idle() {
			c.close()
			return
		}
	}
}

func (c *clientConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// failure is the encoded error of a handler.
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

// Call runs method at addr with typed request and answer.
func Call[Q, R any](ctx context.Context, c *Client, addr, method string, q Q) (R, error) {
	var r R
	body, err := transport.Marshal(q)
	if err != nil {
		return r, err
	}
	answer, err := c.Call(ctx, addr, method, body)
	if err != nil {
		return r, err
	}
	return r, transport.Unmarshal(answer, &r)
}
