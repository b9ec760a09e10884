// Package bootclock reads a monotonic clock that also advances while the machine
// is suspended. It measures what must expire during a suspension, such as a
// lease or the freshness of a configuration.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // without CLOCK_BOOTTIME: wall time advances during suspension too
	}
	return time.Duration(ts.Nano())
}
