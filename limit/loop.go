package limit

import (
	"math"
	"slices"
	"time"
)

// evidence is the sum of the ratios of short calls that ended since a time.
type evidence struct {
	since  time.Time
	ratios float64
	calls  int
}

// mean adds a ratio. Once the calls span evidenceTime it returns their mean and starts
// anew.
func (e *evidence) mean(ratio float64, t Ticket, now time.Time) (mean float64, ok bool) {
	if e.calls == 0 {
		e.since = t.start
	}
	e.ratios += ratio
	e.calls++
	if now.Sub(e.since) < evidenceTime {
		return 0, false
	}
	mean = e.ratios / float64(e.calls)
	*e = evidence{}
	return mean, true
}

// judge lowers the limit on a jump over the recent ratio or on a high level. expected
// is the time of the call by the baseline, in seconds.
func (l *Limiter) judge(ratio, expected float64, t Ticket, now time.Time) {
	if t.start.Before(l.steppedAt) {
		return
	}
	if expected < evidenceTime.Seconds() {
		var ok bool
		if ratio, ok = l.short.mean(ratio, t, now); !ok {
			return
		}
	}
	l.smooth(ratio)
	if l.sinceStep < jumpCalls {
		return
	}
	confirmed := l.confirmed()
	jump := confirmed / math.Max(l.reference, 1)
	switch {
	case jump >= coldRatio:
		l.turnCold(jump, now)
	case jump >= jumpRatio:
		l.step(1/jump, now)
	case confirmed > fullRatio && l.limit > 1:
		l.cold = false
		l.step(math.Max(0.7, growRatio/l.fast), now)
	}
}

// confirmed is the ratio that jumpCalls of the recent calls reached.
func (l *Limiter) confirmed() float64 {
	ratios := l.recent
	slices.Sort(ratios[:])
	return ratios[recentCalls-jumpCalls]
}

func (l *Limiter) smooth(ratio float64) {
	// The reference lags behind, so that the calls that confirm a jump do not move it.
	l.reference = l.slow
	l.recent[l.sinceStep%recentCalls] = ratio
	l.sinceStep++
	if l.slow == 0 {
		l.fast, l.slow = ratio, ratio
		return
	}
	l.fast += fastGain * (ratio - l.fast)
	l.slow += slowGain * (ratio - l.slow)
}

// prove counts a success at the present limit and raises the limit after enough.
func (l *Limiter) prove(r ratios, t Ticket, now time.Time) {
	if t.start.Before(l.proof.since) || t.start.Before(l.steppedAt) {
		return
	}
	l.proof.successes++
	// The call itself has left the outstanding calls.
	l.proof.open += l.calls.open + 1
	l.proof.ratios += r.load
	l.proof.firsts += r.first
	if l.proof.successes < max(minProof, l.Limit()) {
		return
	}
	if l.cold && now.Sub(l.proof.since) < coldStepTime {
		return
	}
	mean := l.proof.ratios / float64(l.proof.successes)
	meanFirst := l.proof.firsts / float64(l.proof.successes)
	if meanFirst > firstFull && l.limit > 1 {
		l.step(1-firstStep, now)
		return
	}
	warming := l.fast < warmingRatio*l.slow
	if mean <= growRatio && meanFirst <= firstGrow && !warming {
		l.grow()
	} else if l.cold && mean > growRatio && l.limit >= 2 {
		l.cold = false
	}
	l.restartProof(now)
}

func (l *Limiter) grow() {
	rate := warmGrowth
	if l.cold {
		rate = coldGrowth
	}
	meanOpen := float64(l.proof.open) / float64(l.proof.successes)
	if meanOpen >= usedShare*math.Floor(l.limit) {
		l.limit = math.Min(math.Floor(l.limit)+math.Ceil(math.Floor(l.limit)*rate), float64(l.opt.MaxRequests))
	}
	if float64(l.proof.peakTokens) >= usedShare*l.tokens/2 {
		l.tokens = math.Min(l.tokens*(1+rate), float64(l.opt.MaxTokens))
	}
	if l.limit >= warmLimit {
		l.cold = false
	}
}

func (l *Limiter) fail(t Ticket, now time.Time) {
	l.failedRow++
	l.failures += failureGain * (1 - l.failures)
	if l.failedRow >= failedInARow {
		l.turnCold(1, now)
		return
	}
	if l.failures >= failureShare && !t.start.Before(l.steppedAt) {
		l.step(0.5, now)
	}
}

// turnCold starts the ramp anew with a baseline slower by the given factor. Little
// weight is left to the baseline, so that calls that run alone correct it within a
// few calls.
func (l *Limiter) turnCold(slower float64, now time.Time) {
	l.step(0, now)
	l.first.slowDown(slower)
	l.decode.slowDown(slower)
	l.cold = true
	l.fast, l.slow = 0, 0
	l.failedRow = 0
}

func (l *Limiter) step(factor float64, now time.Time) {
	l.limit = math.Max(1, math.Floor(l.limit*factor))
	l.tokens = math.Max(float64(l.opt.InitialTokens), l.tokens*factor)
	l.slow = l.fast
	l.sinceStep = 0
	l.recent = [recentCalls]float64{}
	l.short = evidence{}
	l.steppedAt = now
	l.restartProof(now)
}

func (l *Limiter) restartProof(now time.Time) {
	l.proof = proof{since: now, peakTokens: l.calls.tokens}
}
