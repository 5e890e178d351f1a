package admission

import (
	"cmp"
	"slices"
	"time"

	"toucantiller.dev/account"
)

const (
	// arrivalTime is the time over which the pace of arriving work is a mean.
	arrivalTime = time.Second
	// shortPause is the time without a queue that ends an overload.
	shortPause = 300 * time.Millisecond
	// mostArrivals bounds the arrivals that are remembered.
	mostArrivals = 1024
)

// arrivals remembers the work that came to a queue a moment ago. What will come in the next
// moment, and go before what waits, is taken to be like it.
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

// fill is called when the queue begins to fill. A short time without a queue does not end a
// time of overload.
func (a *arrivals) fill(now time.Time) {
	if now.Sub(a.seen) > shortPause {
		a.list = a.list[:0]
		a.since = now
	}
}

// lasts returns how long the overload is expected to last: for as long as it has lasted.
func (a *arrivals) lasts(now time.Time) time.Duration { return now.Sub(a.since) }

func (a *arrivals) add(it *Item, now time.Time) {
	a.drop(now)
	if len(a.list) == mostArrivals {
		a.list = slices.Delete(a.list, 0, 1)
	}
	a.list = append(a.list, arrival{it.Tier, it.Density(now), it.Work, now})
}

// drop forgets the arrivals before arrivalTime.
func (a *arrivals) drop(now time.Time) {
	old := 0
	for old < len(a.list) && now.Sub(a.list[old].at) > arrivalTime {
		old++
	}
	a.list = slices.Delete(a.list, 0, old)
}

// ahead walks over the arrivals in the order in which they go.
type ahead struct {
	sorted []arrival
	next   int
	work   float64
	span   float64 // seconds
}

// order returns a walk over the arrivals of the last moment; it has passed none.
func (a *arrivals) order(now time.Time) *ahead {
	a.drop(now)
	sorted := slices.SortedFunc(slices.Values(a.list), func(x, y arrival) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(y.density, x.density))
	})
	return &ahead{sorted: sorted, span: min(now.Sub(a.since), arrivalTime).Seconds()}
}

// pace returns the work a second that arrives and goes before an item of a tier with a
// density. Calls must be in the order in which items go.
func (w *ahead) pace(tier account.Tier, density float64) float64 {
	for w.next < len(w.sorted) {
		n := &w.sorted[w.next]
		if n.tier > tier || n.tier == tier && n.density <= density {
			break
		}
		w.work += n.work
		w.next++
	}
	if w.span < leastSpan {
		return 0
	}
	return w.work / w.span
}

// leastSpan is the time in seconds for which a queue must have filled before its arrivals
// tell a pace.
const leastSpan = 0.1
