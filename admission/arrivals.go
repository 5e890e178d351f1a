package admission

import (
	"cmp"
	"slices"
	"sort"
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
	a.list = append(a.list, arrival{it.Tier, it.ownDensity(now), it.Work, now})
}

// discardOld removes the arrivals that are older than arrivalWindow.
func (a *arrivals) discardOld(now time.Time) {
	old := 0
	for old < len(a.list) && now.Sub(a.list[old].at) > arrivalWindow {
		old++
	}
	a.list = slices.Delete(a.list, 0, old)
}

// arrivalForecast holds the recent arrivals in the order of tier and density.
type arrivalForecast struct {
	sorted []arrival
	// work is the sum of the work of the arrivals up to each.
	work []float64
	span float64 // seconds
}

// forecast returns the arrivals within arrivalWindow.
func (a *arrivals) forecast(now time.Time) *arrivalForecast {
	a.discardOld(now)
	sorted := slices.SortedFunc(slices.Values(a.list), func(x, y arrival) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(y.density, x.density))
	})
	work, sum := make([]float64, len(sorted)), 0.0
	for i := range sorted {
		sum += sorted[i].work
		work[i] = sum
	}
	return &arrivalForecast{sorted: sorted, work: work, span: min(now.Sub(a.since), arrivalWindow).Seconds()}
}

// rateBefore returns the work per second that arrives with a higher tier, or a higher density in the
// same tier.
func (f *arrivalForecast) rateBefore(tier account.Tier, density float64) float64 {
	ahead := sort.Search(len(f.sorted), func(i int) bool {
		n := &f.sorted[i]
		return n.tier > tier || n.tier == tier && n.density <= density
	})
	if ahead == 0 || f.span < minSpan {
		return 0
	}
	return f.work[ahead-1] / f.span
}

// minSpan is the time in seconds for which a queue must have held items before its
// arrivals give a rate.
const minSpan = 0.1
