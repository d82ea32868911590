// Package boottime is a steady clock that also counts the time in which the VM is suspended. The monotonic clock
// of the Go runtime stops then, so a lease that is measured with it outlives its end.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, suspensions included. It falls back to the monotonic clock of
// the process where the kernel has no such clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
