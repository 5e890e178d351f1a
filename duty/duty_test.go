package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/uptime"
)

func instantAt(d time.Duration) uptime.Instant {
	return uptime.At(time.Unix(1000, 0).Add(d), func() (time.Duration, bool) { return d, true })
}

// Guards against a holder that never acts, and one that acts before its wait or long after its
// confirmation.
func TestHoldActsAfterItsWaitWhileConfirmed(t *testing.T) {
	h := NewHold(3200 * time.Millisecond)
	h.Confirm(0, instantAt(0))
	assert.Equal(t, h.Left(instantAt(time.Hour)), time.Duration(0), "acts without a token")
	h.Assign(7, instantAt(0))
	h.Confirm(6, instantAt(3*time.Second))
	assert.Equal(t, h.Left(instantAt(4*time.Second)), time.Duration(0), "acts on the confirmation of another token")
	h.Confirm(7, instantAt(3*time.Second))
	assert.Equal(t, h.Wait(instantAt(3*time.Second)), 400*time.Millisecond)
	assert.Equal(t, h.Left(instantAt(3399*time.Millisecond)), time.Duration(0))
	assert.Equal(t, h.Left(instantAt(3400*time.Millisecond)), 1200*time.Millisecond)
	h.Confirm(7, instantAt(time.Second))
	assert.Equal(t, h.Left(instantAt(3400*time.Millisecond)), 1200*time.Millisecond, "an earlier confirmation replaced a later one")
	assert.Equal(t, h.Left(instantAt(4600*time.Millisecond)), time.Duration(0))
	h.Assign(7, instantAt(5*time.Second))
	h.Confirm(7, instantAt(5*time.Second))
	assert.Equal(t, h.Left(instantAt(5*time.Second)), 1600*time.Millisecond, "the same token waits again")
	h.Lose()
	assert.Equal(t, h.Left(instantAt(5*time.Second)), time.Duration(0))
}

// Guards against a holder that acts, another one after it and the first one again within a lease,
// where each begins as soon as it may and ends as late as it may.
func TestTwoChangesOfHolderTakeALease(t *testing.T) {
	const lease = 3200 * time.Millisecond
	first, other := NewHold(lease), NewHold(lease)
	first.Assign(1, instantAt(-time.Hour))
	first.Confirm(1, instantAt(0))
	end := first.Left(instantAt(0))
	other.Assign(2, instantAt(0))
	begin := other.Wait(instantAt(0))
	assert.Assert(t, begin > end, "two holders act at a time")
	// The other one is confirmed for the last time just early enough for a call when it may begin.
	confirmed := begin
	for confirmed > -lease {
		other.Lose()
		other.Confirm(2, instantAt(confirmed-time.Millisecond))
		if other.Left(instantAt(begin)) == 0 {
			break
		}
		confirmed -= time.Millisecond
	}
	first.Assign(3, instantAt(confirmed))
	again := confirmed + first.Wait(instantAt(confirmed))
	assert.Assert(t, again-end >= lease, "acts again after %s", again-end)
	assert.Assert(t, again > begin)
}

// Guards against calls that flood the outside system when it is down or asks for a pause.
func TestPacerSpreadsCalls(t *testing.T) {
	p := NewPacer(50)
	assert.Assert(t, p.Ready(instantAt(0)))
	p.Succeeded(instantAt(0))
	assert.Assert(t, !p.Ready(instantAt(79*time.Millisecond)))
	assert.Assert(t, p.Ready(instantAt(80*time.Millisecond)))
	for i, pause := range []time.Duration{250, 500, 1000, 2000, 2000} {
		p.Failed(instantAt(0), 0)
		assert.Assert(t, !p.Ready(instantAt(pause*time.Millisecond-1)), i)
		assert.Assert(t, p.Ready(instantAt(pause*time.Millisecond)), i)
	}
	p.Failed(instantAt(0), 3*time.Second)
	assert.Assert(t, !p.Ready(instantAt(3*time.Second-1)))
	p.Failed(instantAt(0), time.Hour)
	assert.Assert(t, p.Ready(instantAt(maxRetryAfter)))
	p.Succeeded(instantAt(0))
	p.Failed(instantAt(0), 0)
	assert.Assert(t, p.Ready(instantAt(firstRetry)), "a success didn't end the backoff")
}
