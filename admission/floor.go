package admission

import (
	"time"

	"toucantiller.dev/account"
)

// FloorTTL is how long an admission floor holds after it was last raised.
const FloorTTL = time.Second

// NoFloor is the value of a floor that refuses nothing.
const NoFloor = -1

// floor is the admission floor: tiers with a rank above it are refused.
//
// An expired floor admits one more tier per FloorTTL. Processes learn of a floor
// and of its end at different times; without these steps, a process that still
// refuses a tier would do so while another one admits the tiers below it.
type floor struct {
	tier  int
	until time.Time
}

func (f floor) at(now time.Time, tiers int) int {
	if f.tier == NoFloor {
		return NoFloor
	}
	tier := f.tier
	if !now.Before(f.until) {
		tier += 1 + int(now.Sub(f.until)/FloorTTL)
	}
	if tier >= tiers-1 {
		return NoFloor
	}
	return tier
}

// RaiseFloor refuses tiers with a rank above tier for FloorTTL. A higher floor
// (lower rank) in force is kept, and its time is not extended by a lower one.
func (q *Queue) RaiseFloor(tier account.Tier, now time.Time) {
	current := q.Floor(now)
	if current != NoFloor && current < int(tier) {
		return
	}
	if int(tier) >= q.opt.Tiers-1 {
		return
	}
	q.floor = floor{tier: int(tier), until: now.Add(FloorTTL)}
}

// Floor returns the floor in force, or NoFloor.
func (q *Queue) Floor(now time.Time) int { return q.floor.at(now, q.opt.Tiers) }

// floorRetry is the time until the floor admits the tier again.
func (q *Queue) floorRetry(tier account.Tier, now time.Time) time.Duration {
	steps := int(tier) - q.floor.tier - 1
	return clampRetry(q.floor.until.Add(time.Duration(steps) * FloorTTL).Sub(now))
}
