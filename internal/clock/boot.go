package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including the time in
// which it was suspended. Go's monotonic clock stands still then, so every
// lease and every age of a confirmation is measured with this clock.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // every supported kernel has the clock
	}
	return time.Duration(now.Nano())
}
