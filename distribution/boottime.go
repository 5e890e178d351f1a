package distribution

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, including time in suspend, which the
// monotonic clock behind time.Time leaves out. ok is false where the machine has no such
// clock; ages are then taken from the monotonic clock alone.
func bootTime() (since time.Duration, ok bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
