// Package uptime measures how long ago something happened, including time for which the machine
// was suspended. The monotonic clock behind time.Time stands still then, so an age taken from it
// alone lets old state pass for new.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the monotonic clock and, where the machine has one, on the clock that
// also counts time in suspend.
type Instant struct {
	steady    time.Time
	sinceBoot time.Duration
	hasBoot   bool
}

// Now returns the present moment.
func Now() Instant { return At(time.Now(), SinceBoot) }

// At returns the moment that is now on the monotonic clock; sinceBoot reads the clock that counts
// time in suspend, as SinceBoot does.
func At(now time.Time, sinceBoot func() (time.Duration, bool)) Instant {
	i := Instant{steady: now}
	i.sinceBoot, i.hasBoot = sinceBoot()
	return i
}

// Add returns the moment d later.
func (i Instant) Add(d time.Duration) Instant {
	i.steady = i.steady.Add(d)
	i.sinceBoot += d
	return i
}

// Sub returns the time from earlier to i, at least 0: the longer one of the two clocks' times.
func (i Instant) Sub(earlier Instant) time.Duration {
	d := max(i.steady.Sub(earlier.steady), 0)
	if i.hasBoot && earlier.hasBoot {
		d = max(d, i.sinceBoot-earlier.sinceBoot)
	}
	return d
}

// Suspended returns the part of the time from earlier to i for which the machine was suspended.
func (i Instant) Suspended(earlier Instant) time.Duration {
	return i.Sub(earlier) - max(i.steady.Sub(earlier.steady), 0)
}

// SinceBoot returns the time since the machine started, including time in suspend. ok is false
// where the machine has no such clock; ages are then taken from the monotonic clock alone.
func SinceBoot() (since time.Duration, ok bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
