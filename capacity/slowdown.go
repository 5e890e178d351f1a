// Package capacity learns how much an endpoint takes well, and follows changes, from the times of
// its answers and from what it says of itself. It is pure: times are arguments and the caller does
// the locking.
package capacity

import (
	"math"
	"time"
)

const (
	// SlowdownFade is the time in which a stated slowdown loses about two thirds of its weight
	// against the mean. Neighbours on a machine come and go many times a second.
	SlowdownFade = 200 * time.Millisecond
	// slowdownMemory is the time over which the mean slowdown is a mean.
	slowdownMemory = 10 * time.Second
	// slowdownGain is the least share of the mean that a later statement replaces.
	slowdownGain = 0.02
	// minFactor and maxFactor bound the statements that count.
	minFactor = 0.1
	maxFactor = 10.0
	// percentSlack is the share by which a factor may differ from 1 and count as usual.
	percentSlack = 0.05
)

// Slowdown follows the factor by which an endpoint says that work takes longer there than usual.
// The zero value knows no statement.
type Slowdown struct {
	mean, last float64
	at         time.Time
}

// Known reports whether the endpoint has made a statement.
func (s *Slowdown) Known() bool { return !s.at.IsZero() }

// Observe records a statement made now.
func (s *Slowdown) Observe(factor float64, now time.Time) {
	if !(factor >= minFactor && factor <= maxFactor) || now.Before(s.at) {
		return
	}
	if !s.Known() {
		*s = Slowdown{mean: factor, last: factor, at: now}
		return
	}
	gain := max(slowdownGain, 1-math.Exp(-now.Sub(s.at).Seconds()/slowdownMemory.Seconds()))
	s.mean += gain * (factor - s.mean)
	s.last, s.at = factor, now
}

// Mean is the factor over the last seconds, 1 if none is known.
func (s *Slowdown) Mean() float64 {
	if !s.Known() {
		return 1
	}
	return s.mean
}

// Relative is the factor expected at a time as a multiple of the mean. Speeds that were learned
// from answers contain the mean already.
func (s *Slowdown) Relative(now time.Time) float64 {
	if !s.Known() {
		return 1
	}
	fade := math.Exp(-max(0, now.Sub(s.at).Seconds()) / SlowdownFade.Seconds())
	return 1 + (s.last/s.mean-1)*fade
}

// During is the mean factor over work that took so long and at whose end, now, the last statement
// was made. Only the end of long work is covered by the statement.
func (s *Slowdown) During(took time.Duration) float64 {
	if !s.Known() {
		return 1
	}
	covered := 1.0
	if took > SlowdownFade {
		covered = SlowdownFade.Seconds() / took.Seconds()
	}
	return max(minFactor, s.mean+(s.last-s.mean)*covered)
}

// Percent is a relative factor in hundredths for a load report; 0 where it is about as usual.
func Percent(factor float64) uint16 {
	if math.Abs(factor-1) < percentSlack {
		return 0
	}
	return uint16(min(max(math.Round(100*factor), 1), math.MaxUint16))
}
