package usage

import (
	"slices"
	"time"
)

const (
	// settleAgreed is how long a new leader listens to processes that have an agreed time: each
	// has reported twice.
	settleAgreed = 2 * ReportInterval
	// settleWall is how long a leader listens before it takes the time from wall clocks, so that
	// processes that have an agreed time come first.
	settleWall = 6 * ReportInterval
	// clockAge is how long a process's clocks count after its report.
	clockAge = 5 * time.Second
	// agreeInterval is the time between two updates.
	agreeInterval = 250 * time.Millisecond
	// slewPerSecond bounds the change of agreed time. It is twice the rate at which a kernel slews
	// a clock under NTP.
	slewPerSecond = time.Millisecond
	// maxSlewTime bounds the elapsed time that one update corrects for, also after a pause.
	maxSlewTime = time.Second
)

// reading is a process's clocks when the session's clock showed 0, in nanoseconds since 1970.
type reading struct {
	wall, agreed int64
	heard        time.Duration
}

// agreement decides the agreed time of a session from the clocks of the processes.
type agreement struct {
	// zero is the agreed time when the session's clock showed 0, in nanoseconds since 1970.
	zero  int64
	known bool
	// began is when the first reading came; updated is when the time was last updated.
	began, updated time.Duration
	listening      bool
}

// update updates the agreed time. readings must include the leader's own.
func (a *agreement) update(readings map[processKey]reading, position time.Duration) {
	if a.listening && position-a.updated < agreeInterval {
		return
	}
	walls, agreed := recent(readings, position)
	if len(walls) < 2 {
		// Only the leader's own clock is known.
		return
	}
	if !a.listening {
		a.listening = true
		a.began = position
	}
	elapsed := min(position-a.updated, maxSlewTime)
	a.updated = position
	switch {
	case a.known:
		bound := int64(elapsed.Seconds() * float64(slewPerSecond))
		a.zero += min(max(median(walls)-a.zero, -bound), bound)
	case len(agreed) > 0 && position-a.began >= settleAgreed:
		a.zero, a.known = median(agreed), true
	case position-a.began >= settleWall:
		a.zero, a.known = median(walls), true
	}
}

// recent returns the clocks that count at a position, and drops the others.
func recent(readings map[processKey]reading, position time.Duration) (walls, agreed []int64) {
	for key, r := range readings {
		if position-r.heard > clockAge {
			delete(readings, key)
			continue
		}
		walls = append(walls, r.wall)
		if r.agreed != 0 {
			agreed = append(agreed, r.agreed)
		}
	}
	return walls, agreed
}

// median returns the lower one of the middle values.
func median(v []int64) int64 {
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
