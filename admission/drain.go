package admission

import "time"

// drain estimates how fast a queue is served, in tokens per second.
type drain struct {
	rate float64
	cost float64
	from time.Time
}

// Smoothing of the drain estimate.
const (
	drainWindow = 250 * time.Millisecond
	drainGain   = 0.3
)

func (d *drain) add(cost float64, now time.Time) {
	if d.from.IsZero() {
		d.from = now
	}
	d.cost += cost
	elapsed := now.Sub(d.from)
	if elapsed < drainWindow {
		return
	}
	rate := d.cost / elapsed.Seconds()
	if d.rate == 0 {
		d.rate = rate
	}
	d.rate += drainGain * (rate - d.rate)
	d.cost = 0
	d.from = now
}

// restart begins a new span of measurement.
func (d *drain) restart(now time.Time) {
	d.cost = 0
	d.from = now
}

// behind estimates how long work of this cost takes while more arrives, at a pace in cost a
// second and for a time, that goes before what waits.
func (d *drain) behind(cost, arriving float64, lasts time.Duration) time.Duration {
	seconds := (cost + arriving*lasts.Seconds()) / d.rate
	if left := d.rate - arriving; left > 0 {
		seconds = min(seconds, cost/left)
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// time estimates how long work of this cost takes; without a measured rate it
// returns 1 s.
func (d *drain) time(cost float64) time.Duration {
	if d.rate <= 0 {
		return time.Second
	}
	return time.Duration(min(cost/d.rate, MaxRetryAfter.Seconds()) * float64(time.Second))
}
