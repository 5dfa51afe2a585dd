package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including the time in which
// it was suspended. Go's monotonic clock does not advance while the machine is
// suspended, so leases and the ages of confirmations are measured with SinceBoot.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // not reached: every supported kernel has CLOCK_BOOTTIME
	}
	return time.Duration(now.Nano())
}
