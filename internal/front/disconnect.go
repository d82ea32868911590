package front

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// disconnectPollInterval is the time between checks of a caller's connection.
const disconnectPollInterval = 100 * time.Millisecond

// disconnectWatcher polls a caller's connection while its request runs. The HTTP server does not read the connection
// during that time, so the watcher peeks at the socket and leaves its data unread. A request that ends before the
// first poll costs only one timer.
type disconnectWatcher struct {
	raw          syscall.RawConn
	onDisconnect func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// WatchDisconnect calls onDisconnect once when the caller closes its connection or its sending half. The returned
// function stops the watcher.
func WatchDisconnect(conn net.Conn, onDisconnect func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &disconnectWatcher{raw: raw, onDisconnect: onDisconnect}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
	return w.stop
}

// IsDisconnected reports whether the caller has closed its connection or its sending half. It cannot tell while data of the
// caller's next request is unread.
func IsDisconnected(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err != nil || isDisconnected(raw)
}

func (w *disconnectWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if isDisconnected(w.raw) {
		w.onDisconnect()
		return
	}
	w.timer.Reset(disconnectPollInterval)
}

// stop waits for a poll in progress, because the connection may serve another request as soon as stop returns.
func (w *disconnectWatcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func isDisconnected(raw syscall.RawConn) bool {
	disconnected := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = (err == nil && n == 0) || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || disconnected
}
