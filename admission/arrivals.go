package admission

import (
	"cmp"
	"slices"
	"time"

	"toucantiller.dev/account"
)

const (
	// arrivalWindow is the window over which the rate of arriving work is averaged.
	arrivalWindow = time.Second
	// maxOverloadPause is the longest time without a queue that does not end an overload.
	maxOverloadPause = 300 * time.Millisecond
	// maxArrivals bounds the number of arrivals that are kept.
	maxArrivals = 1024
)

// arrivals holds the work that arrived within arrivalWindow. It predicts the work that will
// arrive next and be served before the waiting items.
type arrivals struct {
	list []arrival
	// since is when the queue began to fill, seen when it was last seen to hold items.
	since, seen time.Time
}

// arrival is one item at its push.
type arrival struct {
	tier    account.Tier
	density float64
	work    float64
	at      time.Time
}

// startOverload is called when the queue begins to fill. It starts a new overload unless the queue
// was empty for maxOverloadPause or less.
func (a *arrivals) startOverload(now time.Time) {
	if now.Sub(a.seen) > maxOverloadPause {
		a.list = a.list[:0]
		a.since = now
	}
}

// expectedDuration returns how long the overload is expected to last: for as long as it has lasted.
func (a *arrivals) expectedDuration(now time.Time) time.Duration { return now.Sub(a.since) }

func (a *arrivals) add(it *Item, now time.Time) {
	a.discardOld(now)
	if len(a.list) == maxArrivals {
		a.list = slices.Delete(a.list, 0, 1)
	}
	a.list = append(a.list, arrival{it.Tier, it.Density(now), it.Work, now})
}

// discardOld removes the arrivals that are older than arrivalWindow.
func (a *arrivals) discardOld(now time.Time) {
	old := 0
	for old < len(a.list) && now.Sub(a.list[old].at) > arrivalWindow {
		old++
	}
	a.list = slices.Delete(a.list, 0, old)
}

// arrivalIterator iterates over the arrivals in the order in which they would be served.
type arrivalIterator struct {
	sorted []arrival
	next   int
	work   float64
	span   float64 // seconds
}

// inServiceOrder returns an iterator at the start of the arrivals within arrivalWindow.
func (a *arrivals) inServiceOrder(now time.Time) *arrivalIterator {
	a.discardOld(now)
	sorted := slices.SortedFunc(slices.Values(a.list), func(x, y arrival) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(y.density, x.density))
	})
	return &arrivalIterator{sorted: sorted, span: min(now.Sub(a.since), arrivalWindow).Seconds()}
}

// rateBefore returns the work per second that arrives and is served before an item of the given
// tier and density. Calls must be in the order in which items are served.
func (w *arrivalIterator) rateBefore(tier account.Tier, density float64) float64 {
	for w.next < len(w.sorted) {
		n := &w.sorted[w.next]
		if n.tier > tier || n.tier == tier && n.density <= density {
			break
		}
		w.work += n.work
		w.next++
	}
	if w.span < minSpan {
		return 0
	}
	return w.work / w.span
}

// minSpan is the time in seconds for which a queue must have held items before its
// arrivals give a rate.
const minSpan = 0.1
