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
	// maxBackoff is short, because a VM that is reachable again must be connected well before the table lease of 3 s
	// expires.
	maxBackoff = 500 * time.Millisecond
	// extendedBackoff applies after extendedBackoffFailures failed dials in a row. It saves traffic: each dial takes 3
	// to 4 KB, and a VM that has lost its network may have many peers to dial.
	extendedBackoff         = time.Second
	extendedBackoffFailures = 10
	// sendQueueLength is the maximum number of one-way messages queued for one peer.
	sendQueueLength = 512
	// maxLargeSends is the maximum number of large one-way messages that are written to one peer at the same time. It
	// limits the memory that a slow peer occupies to maxLargeSends * MaxMessage bytes.
	maxLargeSends = 8
)

type oneWayMessage struct {
	method string
	body   []byte
}

// peerConn manages the connection to one address: it dials, backs off after failures, and sends one-way messages. At
// most one dial runs at a time; all calls that wait for it share its result.
type peerConn struct {
	client *Client
	addr   string

	mu            sync.Mutex
	conn          *clientConn
	dial          *pendingDial
	dialFailures  int
	nextDialAt    time.Time
	lastErr       error
	senderStarted bool // sendLoop was started

	queue      chan oneWayMessage
	largeSlots chan struct{} // one element for each large message being written
}

// pendingDial is a running dial. conn and err are set before done is closed.
type pendingDial struct {
	done chan struct{}
	conn *clientConn
	err  error
}

func newPeerConn(c *Client, addr string) *peerConn {
	return &peerConn{client: c, addr: addr, queue: make(chan oneWayMessage, sendQueueLength), largeSlots: make(chan struct{}, maxLargeSends)}
}

func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.CloseWithError(codeShutdown, "client closed")
	}
}

// connect returns the open connection or waits for a new one. During a backoff it fails at once, so that the caller can
// use another VM. After a certificate rotation it dials with the new certificate; if that fails, it continues to use
// the open connection.
func (p *peerConn) connect(ctx context.Context) (*clientConn, error) {
	old, d, err := p.connOrDial()
	if d == nil {
		return old, err
	}
	select {
	case <-d.done:
		if d.err != nil && old != nil {
			return old, nil
		}
		return d.conn, d.err
	case <-ctx.Done():
		return nil, notRunError(p.addr, "connecting", ctx.Err())
	}
}

// connOrDial returns either an open connection with the current certificate, or a running dial to wait for. With the
// dial it returns the connection that is still open, if any, which the caller can use if the dial fails.
func (p *peerConn) connOrDial() (*clientConn, *pendingDial, error) {
	reloadCount := p.client.options.Identity.ReloadCount()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.conn
	if open != nil && !open.usable(now) {
		open = nil
	}
	if open != nil && open.reloadCount == reloadCount {
		return open, nil, nil
	}
	if p.dial == nil && !now.Before(p.nextDialAt) {
		p.dial = &pendingDial{done: make(chan struct{})}
		go p.runDial(p.dial)
	}
	if p.dial == nil && open == nil {
		return nil, nil, p.lastErr
	}
	return open, p.dial, nil
}

// runDial dials, stores the result and wakes up the calls that wait for it.
func (p *peerConn) runDial(d *pendingDial) {
	conn, err := p.dialOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.conn, d.err = conn, err
	p.dial = nil
	if err != nil {
		p.backOff(err)
	} else {
		if p.conn != nil {
			p.conn.markReplaced()
		}
		p.conn, p.dialFailures, p.lastErr = conn, 0, nil
	}
	close(d.done)
}

// backOff sets the earliest time of the next dial after a failed one. The jitter prevents all VMs from dialing a
// restarted peer at the same time.
func (p *peerConn) backOff(err error) {
	wait := min(minBackoff<<min(p.dialFailures, extendedBackoffFailures), maxBackoff)
	if p.dialFailures >= extendedBackoffFailures {
		wait = extendedBackoff
	}
	p.dialFailures++
	p.lastErr = err
	p.nextDialAt = time.Now().Add(wait/2 + rand.N(wait/2))
}

func (p *peerConn) dialOnce() (*clientConn, error) {
	udp, err := net.ResolveUDPAddr("udp", p.addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidArgument, "give an IP address and a port", "cannot dial %q", p.addr)
	}
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.options.DialTimeout)
	defer cancel()
	identity := p.client.options.Identity
	config := identity.ClientTLS(udp.IP.String(), protocolName)
	reloadCount := identity.ReloadCount()
	conn, err := p.client.transport.Dial(ctx, udp, config, quicConfig())
	if err != nil {
		if refused := tlsError(p.addr, err); refused != nil {
			return nil, refused
		}
		return nil, errs.Wrap(err, errs.Unavailable, retryRemedy, "cannot connect to %s", p.addr)
	}
	counters := p.client.options.Counters
	class := connClass(p.role())
	counter := counters.addConn(class, connTraffic(conn))
	context.AfterFunc(conn.Context(), func() { counters.removeConn(counter) })
	go discardDatagrams(conn)
	return &clientConn{
		Conn: conn, reloadCount: reloadCount, lastUsed: time.Now(), peerTimeout: p.client.options.PeerTimeout,
		onPeerTimeout: func() { counters.add(class, Traffic{PeerTimeouts: 1}) },
	}, nil
}

// role returns the client's own role. The traffic class of a connection is determined by the role of its client.
func (p *peerConn) role() pki.Role { return p.client.options.Identity.Identity().Role }

// discardDatagrams reads and drops received datagrams, so that the receive queue stays empty. Servers send none.
func discardDatagrams(conn *quic.Conn) {
	for {
		if _, err := conn.ReceiveDatagram(conn.Context()); err != nil {
			return
		}
	}
}

// enqueue queues m, or drops it if the queue is full. The first call starts sendLoop.
func (p *peerConn) enqueue(m oneWayMessage) {
	p.mu.Lock()
	if !p.senderStarted {
		p.senderStarted = true
		go p.sendLoop()
	}
	p.mu.Unlock()
	select {
	case p.queue <- m:
	default:
		p.client.options.Counters.countDropped(m.method)
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
				p.client.options.Counters.countDropped(m.method)
			}
		}
	}
}

// send sends one message as a datagram, or on a stream if it is too large. It reports whether the message was sent, or
// is being sent on a stream.
func (p *peerConn) send(m oneWayMessage) bool {
	conn, err := p.connect(p.client.ctx)
	if err != nil {
		return false
	}
	data, err := Marshal(requestEnvelope{Method: m.method, Body: m.body})
	if err != nil {
		return false
	}
	conn.markUsed()
	err = conn.SendDatagram(data)
	if err == nil {
		p.client.options.Counters.countSent(m.method, len(data))
		return true
	}
	var large *quic.DatagramTooLargeError
	if !errors.As(err, &large) {
		return false
	}
	return p.sendLarge(conn.Conn, m.method, data)
}

// sendLarge writes a message to a separate stream in the background, so that it does not delay small messages. It
// returns false if too many large messages are being written already.
func (p *peerConn) sendLarge(conn *quic.Conn, method string, data []byte) bool {
	select {
	case p.largeSlots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-p.largeSlots }()
		if !writeUniStream(conn, data) {
			p.client.options.Counters.countDropped(method)
			return
		}
		p.client.options.Counters.countSent(method, len(data))
	}()
	return true
}

// writeUniStream writes data to a new unidirectional stream and reports whether it was written completely.
func writeUniStream(conn *quic.Conn, data []byte) bool {
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
