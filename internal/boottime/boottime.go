// Package boottime reads the kernel clock that also advances while the machine
// is suspended (CLOCK_BOOTTIME). Go's monotonic clock stops during a suspension,
// so an age measured with it can be too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time that it was
// suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only if the kernel does not support the clock.
		panic("reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
