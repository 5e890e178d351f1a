package schedule

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// failureGain is the weight of one answer in an endpoint's share of failures.
	failureGain = 0.15
	// failingShare is the share of failures from which an endpoint counts as failing:
	// two failures in a row reach it, a single one does not.
	failingShare = 0.25
	// recoveredShare is the share below which a failing endpoint is tried again. One more
	// failure then excludes it for another 9 s, at each gateway.
	recoveredShare = 0.1
	// failureDecayMillis is the time, in milliseconds, in which a share falls to two fifths
	// without answers, so that an excluded endpoint is tried again.
	failureDecayMillis = 10_000
)

// failures is the recent share of an endpoint's answers that failed. One word holds the
// share as a float32 and the time of the last answer in milliseconds, modulo 2^32.
type failures struct{ word atomic.Uint64 }

// record counts an answer. Of two answers at the same moment one may be lost, which a mean
// does not notice.
func (f *failures) record(failed bool, nanos int64) (share float64) {
	old := f.word.Load()
	share = decayedShare(old, nanos)
	target := 0.0
	if failed {
		target = 1
	}
	share += failureGain * (target - share)
	f.word.CompareAndSwap(old, uint64(math.Float32bits(float32(share)))<<32|uint64(milliseconds(nanos)))
	return share
}

// share returns the share of failures at a time.
func (f *failures) share(nanos int64) float64 { return decayedShare(f.word.Load(), nanos) }

func decayedShare(word uint64, nanos int64) float64 {
	age := int32(milliseconds(nanos) - uint32(word)) //nolint:gosec // the difference is taken modulo 2^32
	share := float64(math.Float32frombits(uint32(word >> 32)))
	return share * approxExpNeg(float64(age)/failureDecayMillis)
}

func milliseconds(nanos int64) uint32 { return uint32(nanos / int64(time.Millisecond)) } //nolint:gosec // taken modulo 2^32

// RecordAnswer counts an answer of the endpoint. failed is set when the endpoint failed, not
// when the caller gave up or the call was wrong. It returns whether the endpoint is
// excluded as failing, and whether this answer changed that.
func (c *Candidate) RecordAnswer(failed bool, now time.Time) (failing, changed bool) {
	st := c.state
	share := st.failures.record(failed, st.base.nanos(now))
	before := flagSet(st.flags.Load())&flagFailing != 0
	switch {
	case share >= failingShare && !before:
		return true, flagSet(st.flags.Or(uint32(flagFailing)))&flagFailing == 0
	case share < recoveredShare && before:
		return false, flagSet(st.flags.And(^uint32(flagFailing)))&flagFailing != 0
	}
	return before, false
}

// failing reports whether the endpoint's answers failed often and its share of
// failures has not decayed below recoveredShare since.
func (st *state) failing(nanos int64) bool {
	return flagSet(st.flags.Load())&flagFailing != 0 && st.failures.share(nanos) >= recoveredShare
}

// failingFilter removes endpoints that fail many of their requests. They are fast and
// idle, so every scorer prefers them. When more than half of the candidates fail, the
// cause is likely the version or the requests, and all stay.
type failingFilter struct{}

func (failingFilter) Reason() Reason { return ReasonFailing }

func (failingFilter) Apply(x *scratch, _ *Request) {
	if x.flags&flagFailing == 0 {
		return
	}
	count := 0
	for _, i := range x.live {
		if x.states[i].failing(x.nanos) {
			count++
		}
	}
	if count == 0 || 2*count > len(x.live) {
		return
	}
	live := x.live[:0]
	for _, i := range x.live {
		if !x.states[i].failing(x.nanos) {
			live = append(live, i)
		}
	}
	x.live = live
}
