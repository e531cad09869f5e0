// Package boottime reads the clock that goes on while a machine is suspended.
// Go's monotonic clock stops then, so an age measured with it may be too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for a clock that the kernel does not know.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
