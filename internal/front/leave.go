package front

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// leaveEvery is the time between looks at a caller's connection.
const leaveEvery = 100 * time.Millisecond

// leaveWatch looks at a caller's connection while its request runs. The HTTP server does not read meanwhile, so
// the watch peeks without consuming. Requests that end before the first look cost one timer.
type leaveWatch struct {
	raw  syscall.RawConn
	left func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// WatchDisconnect calls left once when the caller closes its connection or its sending half. The returned function
// ends the watch.
func WatchDisconnect(conn net.Conn, left func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &leaveWatch{raw: raw, left: left}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(leaveEvery, w.look)
	return w.stop
}

func (w *leaveWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if hasLeft(w.raw) {
		w.left()
		return
	}
	w.timer.Reset(leaveEvery)
}

// stop returns after a look that is under way: the connection may serve another request next.
func (w *leaveWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func hasLeft(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = (err == nil && n == 0) || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || gone
}
