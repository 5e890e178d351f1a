package uptime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an age that leaves out suspend, or is negative when a clock lags behind.
func TestSubTakesTheLongerClock(t *testing.T) {
	now := time.Now()
	boot := func(d time.Duration, ok bool) func() (time.Duration, bool) {
		return func() (time.Duration, bool) { return d, ok }
	}
	for _, c := range []struct {
		name           string
		earlier, later Instant
		want           time.Duration
	}{
		{"suspended", At(now, boot(time.Hour, true)), At(now.Add(time.Second), boot(time.Hour+9*time.Second, true)), 9 * time.Second},
		{"boot clock lags", At(now, boot(time.Hour, true)), At(now.Add(time.Second), boot(time.Hour, true)), time.Second},
		{"no boot clock", At(now, boot(0, false)), At(now.Add(time.Second), boot(time.Hour, true)), time.Second},
		{"in the future", At(now.Add(time.Second), boot(time.Hour, true)), At(now, boot(time.Hour-time.Second, true)), 0},
	} {
		assert.Equal(t, c.later.Sub(c.earlier), c.want, c.name)
	}
	later := At(now.Add(time.Second), boot(time.Hour+9*time.Second, true))
	assert.Equal(t, later.Suspended(At(now, boot(time.Hour, true))), 8*time.Second)
}
