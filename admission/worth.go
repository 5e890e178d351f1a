package admission

import (
	"cmp"
	"slices"
	"time"
)

// lateShare is the worth of an answer that begins after its objective, as a share of one
// that begins in time.
const lateShare = 0.3

// leastWork keeps the worth of an item's work finite, in seconds.
const leastWork = 1e-3

// density is the worth of an item for the work it takes, if it is placed now.
func (it *Item) density(now time.Time) float64 {
	worth := it.Worth
	if !it.Objective.IsZero() && now.Add(it.StartTime).After(it.Objective) {
		worth *= lateShare
	}
	return worth / max(it.Work, leastWork)
}

// densest returns the item of a band with the most worth for its work, the earliest of
// equals.
func (b *band) densest(now time.Time) *Item {
	var best *Item
	most := 0.0
	for it := range b.items {
		d := it.density(now)
		if best == nil || d > most || d == most && it.seq < best.seq {
			best, most = it, d
		}
	}
	return best
}

// hopeless returns the items that cannot be served before their deadline behind those that
// go before them, at the present pace. A caller that is told so early can come back, and
// its place in the queue delays nobody.
func (q *Queue) hopeless(now time.Time) []Dropped {
	if !q.opt.ByWorth || q.work.rate <= 0 {
		return nil
	}
	var out []Dropped
	ahead := 0.0
	for rank := range q.bands {
		for _, it := range q.bands[rank].byDensity(now) {
			wait := q.work.time(ahead)
			if it.late(now.Add(wait)) {
				out = append(out, Dropped{it, &Refusal{ReasonDeadline, it.Tier, clampRetry(wait)}})
				continue
			}
			ahead += it.Work
		}
	}
	return out
}

// byDensity returns the items of a band in the order in which they would go now.
func (b *band) byDensity(now time.Time) []*Item {
	return slices.SortedFunc(b.items, func(x, y *Item) int {
		return cmp.Or(cmp.Compare(y.density(now), x.density(now)), cmp.Compare(x.seq, y.seq))
	})
}
