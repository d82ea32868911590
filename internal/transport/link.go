package transport

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	watchTick = 250 * time.Millisecond
	// probeAfter is the silence after which a waiting call asks the peer for a sign of life. It is no shorter
	// than the wait of a long poll, so that polls need no probes.
	probeAfter = 500 * time.Millisecond
	// DefaultPeerTimeout is shorter than idleTimeout, so that calls to a killed leader end before the next leader
	// takes over.
	DefaultPeerTimeout = time.Second
)

// link is an outgoing connection. While calls wait on it, it is watched: a peer that acknowledges nothing for
// silentTimeout is given up, and a connection without traffic is kept from closing. A link that nobody waits on
// sends nothing and closes after idleTimeout.
type link struct {
	*quic.Conn
	generation    uint64 // of the TLS material of the handshake
	silentTimeout time.Duration
	givenUp       func() // called when the peer is given up

	mu       sync.Mutex
	waiting  int       // calls that wait for an answer
	used     time.Time // last begin, end or one-way message
	sent     bool      // a call started since the last tick
	watching bool
	retired  bool // closes when no call waits
}

// idleMargin is the remaining idle time below which a connection is not used any more: the peer may have closed
// it already, and whether a request that it refuses for that had run would be unknown.
const idleMargin = time.Second

// usable reports whether a new call may use the connection.
func (l *link) usable(now time.Time) bool {
	return l.Context().Err() == nil && l.fresh(now)
}

func (l *link) fresh(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting > 0 || now.Sub(l.used) < idleTimeout-idleMargin
}

func (l *link) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
}

// retire closes the connection once no call waits on it.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.closeRetired()
}

// closeRetired closes a retired connection without calls. l.mu must be held.
func (l *link) closeRetired() {
	if l.retired && l.waiting == 0 {
		l.CloseWithError(codeShutdown, "replaced")
	}
}

func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting++
	l.used = time.Now()
	l.sent = true
	if !l.watching {
		l.watching = true
		go l.watch()
	}
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.used = time.Now()
	l.closeRetired()
}

// tick reports whether calls started since the last tick; it ends the watch if none wait.
func (l *link) tick() (sent, watching bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, l.sent = l.sent, false
	l.watching = l.waiting > 0
	return sent, l.watching
}

func (l *link) watch() {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	w := silence{timeout: l.silentTimeout, received: l.ConnectionStats().PacketsReceived, probedAt: time.Now()}
	for {
		select {
		case <-l.Context().Done():
			return
		case now := <-ticker.C:
			sent, watching := l.tick()
			if !watching {
				return
			}
			switch w.next(now, sent, l.ConnectionStats().PacketsReceived) {
			case actProbe:
				// An empty datagram is acknowledged. A failure closes the connection, which ends the loop.
				_ = l.SendDatagram(nil)
			case actGiveUp:
				l.givenUp()
				l.CloseWithError(codeSilent, "peer does not answer")
				return
			}
		}
	}
}

type action int

const (
	actNothing action = iota
	actProbe
	actGiveUp
)

// silence decides when to probe and when to give up a peer.
type silence struct {
	timeout  time.Duration
	received uint64    // packets of the peer at the last tick
	since    time.Time // of the first call or probe after the peer's last packet; zero if there is none
	probed   bool      // since then
	probedAt time.Time // last probe
}

func (s *silence) next(now time.Time, sent bool, received uint64) action {
	if received != s.received {
		s.received = received
		s.since = time.Time{}
	}
	if sent && s.since.IsZero() {
		s.since, s.probed = now, false
	}
	switch {
	case s.probed && !s.since.IsZero() && now.Sub(s.since) >= s.timeout && now.Sub(s.probedAt) >= s.timeout-probeAfter:
		return actGiveUp
	case !s.since.IsZero() && now.Sub(s.since) >= probeAfter && !s.probed:
		s.probed, s.probedAt = true, now
		return actProbe
	case s.since.IsZero() && now.Sub(s.probedAt) >= keepaliveInterval:
		s.since, s.probed, s.probedAt = now, true, now
		return actProbe
	}
	return actNothing
}
