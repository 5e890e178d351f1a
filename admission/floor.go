package admission

import (
	"time"

	"toucantiller.dev/account"
)

// floor is the admission floor: tiers with a rank above it are refused until it
// expires.
type floor struct {
	tier  int
	until time.Time
}

// RaiseFloor refuses tiers with a rank above tier for FloorTTL. A higher floor
// (lower rank) in force is kept, and its time is not extended by a lower one.
func (q *Queue) RaiseFloor(tier account.Tier, now time.Time) {
	current := q.Floor(now)
	if current != NoFloor && current < int(tier) {
		return
	}
	q.floor = floor{tier: int(tier), until: now.Add(FloorTTL)}
}

// Floor returns the floor in force, or NoFloor.
func (q *Queue) Floor(now time.Time) int {
	if q.floor.tier == NoFloor || !now.Before(q.floor.until) {
		return NoFloor
	}
	return q.floor.tier
}

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

// time estimates how long work of this cost takes; without a measured rate it
// returns 1 s.
func (d *drain) time(cost float64) time.Duration {
	if d.rate <= 0 {
		return time.Second
	}
	return time.Duration(min(cost/d.rate, MaxRetryAfter.Seconds()) * float64(time.Second))
}
