// Package bootclock reads a clock that also counts the time for which the
// machine was suspended. What must end while a host is suspended, such as a
// lease or the trust in a configuration, is measured with it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // a kernel without this clock: the time of day counts suspension too
	}
	return time.Duration(ts.Nano())
}
