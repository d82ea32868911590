package transport

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff is short, because a VM that came back must be reached well before the table lease of 3 s ends.
	maxBackoff = 500 * time.Millisecond
	// longBackoff applies after longFailures dials without success: each takes 3 to 4 KB, and a VM that is cut off
	// may have many peers to dial.
	longBackoff  = time.Second
	longFailures = 10
	// sendQueue bounds the one-way messages that wait for one peer.
	sendQueue = 512
	// largeSends bounds the large one-way messages that are being written to one peer, so that a slow peer holds
	// at most largeSends * MaxMessage bytes.
	largeSends = 8
)

type oneWay struct {
	method string
	body   []byte
}

// peerConn is the connection to one address. At most one dial runs at a time; callers share its result.
type peerConn struct {
	client *Client
	addr   string

	mu       sync.Mutex
	link     *link
	dial     *dialing
	failures int
	retryAt  time.Time
	lastErr  error
	sending  bool // the sender goroutine was started

	queue chan oneWay
	large chan struct{}
}

// dialing is a dial that several callers wait for.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

func newPeerConn(c *Client, addr string) *peerConn {
	return &peerConn{client: c, addr: addr, queue: make(chan oneWay, sendQueue), large: make(chan struct{}, largeSends)}
}

func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.CloseWithError(codeShutdown, "client closed")
	}
}

// connect returns the open connection or waits for a new one. During a backoff it fails at once, so that the
// caller can use another VM. After a rotation it dials with the new material, but goes on with the connection
// that it has if that fails.
func (p *peerConn) connect(ctx context.Context) (*link, error) {
	old, d, err := p.linkOrDial()
	if d == nil {
		return old, err
	}
	select {
	case <-d.done:
		if d.err != nil && old != nil {
			return old, nil
		}
		return d.link, d.err
	case <-ctx.Done():
		return nil, notRun(p.addr, "connecting", ctx.Err())
	}
}

// linkOrDial returns a connection to use, or a dial to wait for together with the connection that is open.
func (p *peerConn) linkOrDial() (*link, *dialing, error) {
	generation := p.client.options.Identity.ReloadCount()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.link
	if open != nil && !open.usable(now) {
		open = nil
	}
	if open != nil && open.generation == generation {
		return open, nil, nil
	}
	if p.dial == nil && !now.Before(p.retryAt) {
		p.dial = &dialing{done: make(chan struct{})}
		go p.run(p.dial)
	}
	if p.dial == nil && open == nil {
		return nil, nil, p.lastErr
	}
	return open, p.dial, nil
}

func (p *peerConn) run(d *dialing) {
	link, err := p.dialOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.link, d.err = link, err
	p.dial = nil
	if err != nil {
		p.backOff(err)
	} else {
		if p.link != nil {
			p.link.retire()
		}
		p.link, p.failures, p.lastErr = link, 0, nil
	}
	close(d.done)
}

// backOff sets the time of the next dial. The jitter keeps VMs from dialling a restarted peer all at once.
func (p *peerConn) backOff(err error) {
	wait := min(minBackoff<<min(p.failures, longFailures), maxBackoff)
	if p.failures >= longFailures {
		wait = longBackoff
	}
	p.failures++
	p.lastErr = err
	p.retryAt = time.Now().Add(wait/2 + rand.N(wait/2))
}

func (p *peerConn) dialOnce() (*link, error) {
	udp, err := net.ResolveUDPAddr("udp", p.addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidArgument, "give an IP address and a port", "cannot dial %q", p.addr)
	}
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.options.DialTimeout)
	defer cancel()
	identity := p.client.options.Identity
	config := identity.ClientTLS(udp.IP.String(), protocolName)
	generation := identity.ReloadCount()
	conn, err := p.client.transport.Dial(ctx, udp, config, quicConfig())
	if err != nil {
		if refused := refusal(p.addr, err); refused != nil {
			return nil, refused
		}
		return nil, errs.Wrap(err, errs.Unavailable, retryRemedy, "cannot connect to %s", p.addr)
	}
	counters := p.client.options.Counters
	class := wireClass(p.role())
	wire := counters.openWire(class, wireTraffic(conn))
	context.AfterFunc(conn.Context(), func() { counters.closeWire(wire) })
	go discardDatagrams(conn)
	return &link{
		Conn: conn, generation: generation, used: time.Now(), silentTimeout: p.client.options.PeerTimeout,
		givenUp: func() { counters.add(class, Traffic{PeerTimeouts: 1}) },
	}, nil
}

// role returns the role under which this side sends: the class of a connection is that of its client.
func (p *peerConn) role() pki.Role { return p.client.options.Identity.Identity().Role }

// discardDatagrams empties the receive queue; servers send no datagrams.
func discardDatagrams(conn *quic.Conn) {
	for {
		if _, err := conn.ReceiveDatagram(conn.Context()); err != nil {
			return
		}
	}
}

func (p *peerConn) enqueue(m oneWay) {
	p.mu.Lock()
	if !p.sending {
		p.sending = true
		go p.sendLoop()
	}
	p.mu.Unlock()
	select {
	case p.queue <- m:
	default:
		p.client.options.Counters.dropped(m.method)
	}
}

// sendLoop sends queued messages until the client is closed.
func (p *peerConn) sendLoop() {
	for {
		select {
		case <-p.client.ctx.Done():
			return
		case m := <-p.queue:
			if !p.send(m) {
				p.client.options.Counters.dropped(m.method)
			}
		}
	}
}

func (p *peerConn) send(m oneWay) bool {
	conn, err := p.connect(p.client.ctx)
	if err != nil {
		return false
	}
	data, err := Marshal(requestEnvelope{Method: m.method, Body: m.body})
	if err != nil {
		return false
	}
	conn.touch()
	err = conn.SendDatagram(data)
	if err == nil {
		p.client.options.Counters.out(m.method, len(data))
		return true
	}
	var large *quic.DatagramTooLargeError
	if !errors.As(err, &large) {
		return false
	}
	return p.sendLarge(conn.Conn, m.method, data)
}

// sendLarge writes a message to a stream of its own, so that it does not hold up the small ones.
func (p *peerConn) sendLarge(conn *quic.Conn, method string, data []byte) bool {
	select {
	case p.large <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-p.large }()
		if !writeUni(conn, data) {
			p.client.options.Counters.dropped(method)
			return
		}
		p.client.options.Counters.out(method, len(data))
	}()
	return true
}

func writeUni(conn *quic.Conn, data []byte) bool {
	ctx, cancel := context.WithTimeout(conn.Context(), messageTimeout)
	defer cancel()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return false
	}
	stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(codeAbort)
		return false
	}
	return stream.Close() == nil
}
