package transport

import (
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

// protocolName is the ALPN protocol name. It must change with each change of the envelopes that older processes cannot
// read.
const protocolName = "filbertledge/1"

const (
	// DefaultDialTimeout limits the time to establish a connection.
	DefaultDialTimeout = 500 * time.Millisecond
	// idleTimeout is the time without received packets after which both sides close a connection. It detects a network
	// failure that drops packets without an error.
	idleTimeout = 5 * time.Second
	// keepaliveInterval is the interval of probes while calls wait for an answer. Without such calls no probes are sent
	// and the connection may close. It is short enough that one lost probe does not lead to idleTimeout.
	keepaliveInterval = 2 * time.Second
	// maxStreams is the maximum number of concurrent requests of one connection.
	maxStreams = 4096
	// maxUniStreams is the maximum number of concurrent large one-way messages of one connection.
	maxUniStreams = 64
	// maxReceiveWindow is the maximum number of received but unread bytes of one connection.
	maxReceiveWindow = 16 << 20
)

// QUIC application error codes with which connections and streams are closed. They are sent to the peer.
const (
	codeShutdown    quic.ApplicationErrorCode = 1
	codeRefused     quic.ApplicationErrorCode = 2
	codePeerTimeout quic.ApplicationErrorCode = 3
	codeAbort       quic.StreamErrorCode      = 1
	codeTooLarge    quic.StreamErrorCode      = 2
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       idleTimeout,
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      maxUniStreams,
		MaxStreamReceiveWindow:     MaxMessage,
		MaxConnectionReceiveWindow: maxReceiveWindow,
		EnableDatagrams:            true,
	}
}

// openSocket opens a UDP socket at address. If conn is not nil, it returns conn instead.
func openSocket(address string, conn net.PacketConn) (net.PacketConn, error) {
	if conn != nil {
		return conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "give an IP address and a port", "invalid address %q", address)
	}
	out, err := net.ListenUDP("udp", udp)
	return out, errs.Wrap(err, errs.ConfigInvalid, "free the port or choose another in [listen] internal", "cannot listen on %s", address)
}

// connTraffic returns a function that reads the traffic totals of a connection.
func connTraffic(conn *quic.Conn) func() Traffic {
	return func() Traffic {
		stats := conn.ConnectionStats()
		return Traffic{
			MessagesIn: stats.PacketsReceived, MessagesOut: stats.PacketsSent,
			BytesIn: stats.BytesReceived, BytesOut: stats.BytesSent,
		}
	}
}

func connClass(role pki.Role) string {
	if role == pki.RoleOperator {
		return ClassWireOperator
	}
	return ClassWireVM
}

// isTLSError reports whether err is a TLS error, such as a refused certificate. With TLS 1.3 the client can
// learn only after its own handshake is complete that the server refused it; no handler runs on such a connection.
func isTLSError(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}
