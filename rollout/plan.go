package rollout

import (
	"math"
	"time"
)

// plannedStage is a share and the fraction of the move's time after which it should begin.
type plannedStage struct{ share, start float64 }

// plan spends half of the time at shares of at most a tenth, where a bad version harms
// few, and leaves a third of the time as slack for holds.
var plan = []plannedStage{{0.01, 0}, {0.03, 0.15}, {0.1, 0.35}, {0.25, 0.48}, {0.5, 0.58}, {1, 0.68}}

// FirstShare is the share with which a move starts.
const FirstShare = 0.01

const (
	// minDwellFraction is the least fraction of the move's time that a stage lasts when the
	// move is late.
	minDwellFraction = 0.02
	// minDwellTime is the least time of a stage: gateways report every 500 ms, and a cold
	// endpoint needs a few answers to raise its limit.
	minDwellTime = 2 * time.Second
	// fullMargin is the fraction of the move's time that remains at the latest start of full
	// share.
	fullMargin = 0.02
	// loadTarget is the predicted load of the new endpoints that a raise may not exceed.
	loadTarget = 0.9
	// coldGrowth is how much a cold endpoint's limit grows within a stage.
	coldGrowth = 2.0
	// minRaiseFactor is the smallest useful raise of the share.
	minRaiseFactor = 1.2
)

// MinTime is the shortest move that can pass all stages.
const MinTime = 30 * time.Second

// DefaultWatch returns the watch of a move of length total: a fifth of it, between 30 s and 10 min.
func DefaultWatch(total time.Duration) time.Duration {
	return min(10*time.Minute, max(30*time.Second, total/5))
}

// schedule maps the plan to the times of one move.
type schedule struct {
	total time.Duration
	start time.Time
}

func scheduleOf(m Move) schedule {
	return schedule{total: m.Deadline.Sub(m.Started), start: m.Started}
}

func (s schedule) fraction(f float64) time.Duration { return time.Duration(f * float64(s.total)) }

// nextStage returns the index of the first planned stage with a higher share, or len(plan).
func (s schedule) nextStage(share float64) int {
	for i, p := range plan {
		if p.share > share+1e-9 {
			return i
		}
	}
	return len(plan)
}

// minStageDwell returns the least time that a stage of this move lasts.
func (s schedule) minStageDwell() time.Duration {
	return max(minDwellTime, s.fraction(minDwellFraction))
}

// latestStart returns the last time at which planned stage i can begin for the move to be at
// full share by the deadline.
func (s schedule) latestStart(i int) time.Time {
	left := time.Duration(len(plan)-1-i) * s.minStageDwell()
	return s.start.Add(s.total - s.fraction(fullMargin) - left)
}

// dueTime returns when planned stage i, the one after the present, should begin: after the
// present stage's planned length, shortened in proportion when the move is late, and never
// before minStageDwell. A share between two planned ones was bounded by load and lasts only
// minStageDwell. The first share is due at once.
func (s schedule) dueTime(i int, share float64, since time.Time) time.Time {
	if share <= 0 {
		return since
	}
	if i > 0 && share > plan[i-1].share+1e-9 {
		return since.Add(s.minStageDwell())
	}
	length := plan[i].start
	if i > 0 {
		length -= plan[i-1].start
	}
	toFull := plan[len(plan)-1].start
	if i > 0 {
		toFull -= plan[i-1].start
	}
	available := s.latestStart(len(plan) - 1).Sub(since)
	scale := math.Min(1, float64(available)/float64(max(1, s.fraction(toFull))))
	return since.Add(max(s.minStageDwell(), time.Duration(scale*float64(s.fraction(length)))))
}

// boundShare lowers the next share to what the new endpoints can serve: load grows in
// proportion to share, and cold endpoints at most double their limit in a stage. It
// returns 0 where no useful raise is possible.
func boundShare(share, next, load float64, cold bool) float64 {
	if load <= 0 || share <= 0 {
		return next
	}
	bearable := share * loadTarget / load
	if cold {
		bearable *= coldGrowth
	}
	if bearable >= next {
		return next
	}
	if bearable < share*minRaiseFactor {
		return 0
	}
	return bearable
}
