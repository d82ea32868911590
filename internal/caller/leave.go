package caller

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// leaveEvery is the time between looks at a caller's connection.
const leaveEvery = 50 * time.Millisecond

// watchLeaving calls left once when the caller closes its connection or its sending half. The HTTP server does
// not read while a request runs, so the watch peeks without consuming. The returned function ends the watch and
// waits for it.
func watchLeaving(conn net.Conn, left func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		ticker := time.NewTicker(leaveEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if hasLeft(raw) {
					left()
					return
				}
			}
		}
	})
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		watcher.Wait()
	}
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
