package distribution

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, which goes on while the machine is
// suspended; the clock behind time.Time stands still then. ok is false where the machine has
// no such clock: ages are then those of the other clock.
func bootTime() (since time.Duration, ok bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
