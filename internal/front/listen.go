package front

import (
	"context"
	"net"
	"syscall"
)

const (
	// kernelReceiveBytes is the receive buffer of a connection in the kernel, which holds up to one and a half times as much. By
	// default, the kernel lets it grow to several megabytes, which count towards the memory of the process.
	kernelReceiveBytes = 16 << 10
	// kernelBodyBytes is the buffer while a body above budget.SmallBytes is read, so that it arrives faster over long distances. All
	// that arrives is then read at once, into memory that was reserved.
	kernelBodyBytes = 64 << 10
)

// Listen listens on a TCP address, IP:port, for connections whose unread data is bounded.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelReceiveBytes)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp4", address)
}

// setKernelBuffer changes the receive buffer in the kernel.
func setKernelBuffer(nc net.Conn, size int) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(size) // fails only if the connection has ended, which the next read reports
	}
}
