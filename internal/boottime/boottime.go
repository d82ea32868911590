// Package boottime provides a monotonic clock that keeps running while the VM is suspended. The monotonic clock of the
// Go runtime stops during a suspension, so a lease that is measured with it would be held beyond its expiry.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including suspensions. If the kernel does not support CLOCK_BOOTTIME, it
// returns the time since the process started, by the monotonic clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the zero point of the fallback clock.
var processStart = time.Now()
