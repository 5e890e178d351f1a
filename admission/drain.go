package admission

import "time"

// rateEstimator estimates the rate at which a queue is served, in units of cost per second: tokens,
// or seconds of work.
type rateEstimator struct {
	rate float64
	cost float64
	from time.Time
}

// Smoothing of the rate estimate.
const (
	rateWindow = 250 * time.Millisecond
	rateGain   = 0.3
)

func (d *rateEstimator) add(cost float64, now time.Time) {
	if d.from.IsZero() {
		d.from = now
	}
	d.cost += cost
	elapsed := now.Sub(d.from)
	if elapsed < rateWindow {
		return
	}
	rate := d.cost / elapsed.Seconds()
	if d.rate == 0 {
		d.rate = rate
	}
	d.rate += rateGain * (rate - d.rate)
	d.cost = 0
	d.from = now
}

// restart begins a new measurement window.
func (d *rateEstimator) restart(now time.Time) {
	d.cost = 0
	d.from = now
}

// waitBehind estimates how long work of this cost takes while further work, which is served
// before it, arrives at a rate of arriving per second for the duration lasts.
func (d *rateEstimator) waitBehind(cost, arriving float64, lasts time.Duration) time.Duration {
	seconds := (cost + arriving*lasts.Seconds()) / d.rate
	if left := d.rate - arriving; left > 0 {
		seconds = min(seconds, cost/left)
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// timeToServe estimates how long work of this cost takes; without a measured rate it
// returns 1 s.
func (d *rateEstimator) timeToServe(cost float64) time.Duration {
	if d.rate <= 0 {
		return time.Second
	}
	return time.Duration(min(cost/d.rate, MaxRetryAfter.Seconds()) * float64(time.Second))
}
