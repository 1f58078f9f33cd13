package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine started, including the time for
// which it was suspended. Where the system can't tell, it returns the time since
// the process started.
func BootClock() time.Duration {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(sinceBoot.Nano())
}

var processStart = time.Now()
