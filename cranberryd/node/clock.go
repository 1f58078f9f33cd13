package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine started, that in which it was
// suspended included.
func BootClock() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

var processStart = time.Now()
