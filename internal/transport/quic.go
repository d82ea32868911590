package transport

import (
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

// protocolName is the ALPN protocol. A change of the envelopes that older processes cannot read changes it.
const protocolName = "filbertledge/1"

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 500 * time.Millisecond
	// idleTimeout closes a connection that receives nothing, so that a silent cut is noticed on both sides.
	idleTimeout = 5 * time.Second
	// keepaliveInterval is used while calls wait for an answer, and then only: an idle connection may close.
	// It leaves one loss within idleTimeout.
	keepaliveInterval = 2 * time.Second
	// maxStreams bounds the concurrent requests that one connection may have open.
	maxStreams = 4096
	// maxUniStreams bounds the concurrent large one-way messages of one connection.
	maxUniStreams = 64
	// maxReceiveWindow bounds the unread bytes of one connection.
	maxReceiveWindow = 16 << 20
)

// Application error codes of closed connections and streams.
const (
	codeShutdown quic.ApplicationErrorCode = 1
	codeRefused  quic.ApplicationErrorCode = 2
	codeSilent   quic.ApplicationErrorCode = 3
	codeAbort    quic.StreamErrorCode      = 1
	codeTooLarge quic.StreamErrorCode      = 2
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

// socket opens a UDP socket at address, or uses conn if it is not nil.
func socket(address string, conn net.PacketConn) (net.PacketConn, error) {
	if conn != nil {
		return conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "give an IP address and a port", "address %q is not usable", address)
	}
	out, err := net.ListenUDP("udp", udp)
	return out, errs.Wrap(err, errs.ConfigInvalid, "free the port or choose another in [listen] internal", "cannot listen on %s", address)
}

// wireTraffic reads the totals of a connection.
func wireTraffic(conn *quic.Conn) func() Traffic {
	return func() Traffic {
		stats := conn.ConnectionStats()
		return Traffic{
			MessagesIn: stats.PacketsReceived, MessagesOut: stats.PacketsSent,
			BytesIn: stats.BytesReceived, BytesOut: stats.BytesSent,
		}
	}
}

func wireClass(role pki.Role) string {
	if role == pki.RoleOperator {
		return ClassWireOperator
	}
	return ClassWireVM
}

// refusedByTLS reports whether err says that one side refused the other's certificate. With TLS 1.3 the client
// learns of a refusal only after its handshake is complete; no handler runs on such a connection.
func refusedByTLS(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}
