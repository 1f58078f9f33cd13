package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine started, that in which it was
// suspended included.
func BootClock() time.Duration {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(sinceBoot.Nano())
}

var processStart = time.Now()
