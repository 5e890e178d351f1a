package limit

import (
	"math"
	"slices"
	"time"
)

// ratioSum sums the ratios of short calls, from the start of the first of them.
type ratioSum struct {
	since  time.Time
	ratios float64
	calls  int
}

// addRatio adds a ratio. Once the calls span minEvidenceSpan it returns their mean and starts
// over.
func (e *ratioSum) addRatio(ratio float64, t Ticket, now time.Time) (mean float64, ok bool) {
	if e.calls == 0 {
		e.since = t.start
	}
	e.ratios += ratio
	e.calls++
	if now.Sub(e.since) < minEvidenceSpan {
		return 0, false
	}
	mean = e.ratios / float64(e.calls)
	*e = ratioSum{}
	return mean, true
}

// reduceOnSlowdown lowers the limit on a sudden rise over the recent ratio or on a high ratio. expected
// is the time of the call by the baseline, in seconds.
func (l *Limiter) reduceOnSlowdown(ratio, expected float64, t Ticket, now time.Time) {
	if t.start.Before(l.steppedAt) {
		return
	}
	if expected < minEvidenceSpan.Seconds() {
		var ok bool
		if ratio, ok = l.shortCalls.addRatio(ratio, t, now); !ok {
			return
		}
	}
	l.recordRatio(ratio)
	if l.sinceStep < jumpConfirmations {
		return
	}
	confirmed := l.confirmedRatio()
	jump := confirmed / math.Max(l.reference, 1)
	switch {
	case jump >= coldRatio:
		l.resetToCold(jump, now)
	case jump >= jumpRatio:
		l.reduceLimit(1/jump, now)
	case confirmed > reduceRatio && l.limit > 1:
		l.cold = false
		l.reduceLimit(math.Max(0.7, growRatio/l.fast), now)
	}
}

// confirmedRatio is the ratio that jumpConfirmations of the recent calls reached.
func (l *Limiter) confirmedRatio() float64 {
	ratios := l.recent
	slices.Sort(ratios[:])
	return ratios[recentCalls-jumpConfirmations]
}

func (l *Limiter) recordRatio(ratio float64) {
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

// recordSuccess counts a success at the present limit and raises the limit once a growth window is
// complete and shows no overload.
func (l *Limiter) recordSuccess(r ratios, t Ticket, now time.Time) {
	if t.start.Before(l.window.since) || t.start.Before(l.steppedAt) {
		return
	}
	l.window.successes++
	// The call itself has left the outstanding calls.
	l.window.open += l.calls.open + 1
	l.window.ratios += r.overload
	l.window.firsts += r.firstToken
	if l.window.successes < max(minWindowSuccesses, l.Limit()) {
		return
	}
	if l.cold && now.Sub(l.window.since) < minColdStepInterval {
		return
	}
	mean := l.window.ratios / float64(l.window.successes)
	meanFirst := l.window.firsts / float64(l.window.successes)
	if meanFirst > firstTokenReduceRatio && l.limit > 1 {
		l.reduceLimit(1-firstTokenReduction, now)
		return
	}
	warming := l.fast < warmingRatio*l.slow
	if mean <= growRatio && meanFirst <= firstTokenGrowRatio && !warming {
		l.raiseLimit()
	} else if l.cold && mean > growRatio && l.limit >= 2 {
		l.cold = false
	}
	l.restartWindow(now)
}

func (l *Limiter) raiseLimit() {
	rate := warmGrowth
	if l.cold {
		rate = coldGrowth
	}
	meanOpen := float64(l.window.open) / float64(l.window.successes)
	if meanOpen >= minUtilization*math.Floor(l.limit) {
		l.limit = math.Min(math.Floor(l.limit)+math.Ceil(math.Floor(l.limit)*rate), float64(l.opt.MaxRequests))
	}
	if float64(l.window.peakTokens) >= minUtilization*l.tokens/2 {
		l.tokens = math.Min(l.tokens*(1+rate), float64(l.opt.MaxTokens))
	}
	if l.limit >= warmLimit {
		l.cold = false
	}
}

func (l *Limiter) recordFailure(t Ticket, now time.Time) {
	l.consecutiveFailures++
	l.failedShare += failureGain * (1 - l.failedShare)
	if l.consecutiveFailures >= coldFailures {
		l.resetToCold(1, now)
		return
	}
	if l.failedShare >= failureShare && !t.start.Before(l.steppedAt) {
		l.reduceLimit(0.5, now)
	}
}

// resetToCold restarts the ramp with a baseline slower by the given factor. The baseline
// keeps little weight, so that calls that run alone correct it within a
// few calls.
func (l *Limiter) resetToCold(slower float64, now time.Time) {
	l.reduceLimit(0, now)
	l.firstModel.slowDown(slower)
	l.decodeModel.slowDown(slower)
	l.cold = true
	l.fast, l.slow = 0, 0
	l.consecutiveFailures = 0
}

func (l *Limiter) reduceLimit(factor float64, now time.Time) {
	l.limit = math.Max(1, math.Floor(l.limit*factor))
	l.tokens = math.Max(float64(l.opt.InitialTokens), l.tokens*factor)
	l.slow = l.fast
	l.sinceStep = 0
	l.recent = [recentCalls]float64{}
	l.shortCalls = ratioSum{}
	l.steppedAt = now
	l.restartWindow(now)
}

func (l *Limiter) restartWindow(now time.Time) {
	l.window = growthWindow{since: now, peakTokens: l.calls.tokens}
}
