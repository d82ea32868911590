package transport

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	watchInterval = 250 * time.Millisecond
	// probeAfter is the time without received packets after which a waiting call sends a probe to the peer. It is not
	// shorter than the wait of a long poll, so that long polls cause no probes.
	probeAfter = 500 * time.Millisecond
	// DefaultPeerTimeout is shorter than idleTimeout, so that calls to a killed leader fail before the next leader
	// takes over.
	DefaultPeerTimeout = time.Second
)

// clientConn is an outgoing connection. While calls wait for responses, it is monitored: if the peer acknowledges
// nothing for peerTimeout, the connection is closed, and if there is no traffic, probes keep the connection from
// reaching idleTimeout. While no call waits, it sends no probes and closes after idleTimeout.
type clientConn struct {
	*quic.Conn
	reloadCount   uint64 // reload count of the certificate files at the handshake
	peerTimeout   time.Duration
	onPeerTimeout func() // called when the connection is closed because the peer did not answer

	mu          sync.Mutex
	activeCalls int       // calls that wait for a response
	lastUsed    time.Time // last start or end of a call, or last one-way message
	callStarted bool      // a call has started since the last tick
	watching    bool
	replaced    bool // a newer connection is in use; closes when no call waits
}

// idleMargin is the remaining idle time below which a connection takes no new calls: the peer may have closed it
// already, and the outcome of a request that fails for this reason would be unknown.
const idleMargin = time.Second

// usable reports whether a new call may use the connection.
func (c *clientConn) usable(now time.Time) bool {
	return c.Context().Err() == nil && c.withinIdleLimit(now)
}

func (c *clientConn) withinIdleLimit(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeCalls > 0 || now.Sub(c.lastUsed) < idleTimeout-idleMargin
}

// markUsed records the sending of a one-way message.
func (c *clientConn) markUsed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
}

// markReplaced closes the connection once no call waits for a response.
func (c *clientConn) markReplaced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaced = true
	c.closeIfReplacedAndUnused()
}

// closeIfReplacedAndUnused closes a replaced connection if no call waits for a response. The mutex must be held.
func (c *clientConn) closeIfReplacedAndUnused() {
	if c.replaced && c.activeCalls == 0 {
		c.CloseWithError(codeShutdown, "replaced")
	}
}

// beginCall registers a call and starts watch if it is not running.
func (c *clientConn) beginCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls++
	c.lastUsed = time.Now()
	c.callStarted = true
	if !c.watching {
		c.watching = true
		go c.watch()
	}
}

// endCall unregisters a call.
func (c *clientConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls--
	c.lastUsed = time.Now()
	c.closeIfReplacedAndUnused()
}

// tick returns whether a call has started since the last tick, and whether any call is waiting. If none is, it marks
// watch as stopped.
func (c *clientConn) tick() (callStarted, watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	callStarted, c.callStarted = c.callStarted, false
	c.watching = c.activeCalls > 0
	return callStarted, c.watching
}

// watch probes the peer while calls wait for it, and closes the connection if the peer does not answer. It returns once
// no call waits.
func (c *clientConn) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	monitor := peerMonitor{timeout: c.peerTimeout, packetsReceived: c.ConnectionStats().PacketsReceived, probedAt: time.Now()}
	for {
		select {
		case <-c.Context().Done():
			return
		case now := <-ticker.C:
			callStarted, watching := c.tick()
			if !watching {
				return
			}
			switch monitor.nextAction(now, callStarted, c.ConnectionStats().PacketsReceived) {
			case actProbe:
				// The peer's QUIC layer acknowledges an empty datagram. Sending fails only if the connection is closed,
				// which ends the loop.
				_ = c.SendDatagram(nil)
			case actClose:
				c.onPeerTimeout()
				c.CloseWithError(codePeerTimeout, "peer does not answer")
				return
			}
		}
	}
}

type monitorAction int

const (
	actNothing monitorAction = iota
	actProbe
	actClose
)

// peerMonitor decides when to probe the peer and when to close the connection because the peer does not answer.
type peerMonitor struct {
	timeout         time.Duration
	packetsReceived uint64    // packets received from the peer until the last tick
	unansweredSince time.Time // first call or probe after the peer's last packet; zero if there is none
	probeSent       bool      // since unansweredSince
	probedAt        time.Time // last probe, or the start of the monitor
}

// nextAction is called at each tick. callStarted says whether a call has started since the last tick; packetsReceived
// is the number of packets received so far.
func (m *peerMonitor) nextAction(now time.Time, callStarted bool, packetsReceived uint64) monitorAction {
	if packetsReceived != m.packetsReceived {
		m.packetsReceived = packetsReceived
		m.unansweredSince = time.Time{}
	}
	if callStarted && m.unansweredSince.IsZero() {
		m.unansweredSince, m.probeSent = now, false
	}
	switch {
	case m.probeSent && !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= m.timeout && now.Sub(m.probedAt) >= m.timeout-probeAfter:
		return actClose
	case !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= probeAfter && !m.probeSent:
		m.probeSent, m.probedAt = true, now
		return actProbe
	case m.unansweredSince.IsZero() && now.Sub(m.probedAt) >= keepaliveInterval:
		m.unansweredSince, m.probeSent, m.probedAt = now, true, now
		return actProbe
	}
	return actNothing
}
