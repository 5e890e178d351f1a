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

// Density is the worth of an item for the work it takes, if it is placed now.
func (it *Item) Density(now time.Time) float64 {
	worth := it.Worth
	if !it.Objective.IsZero() && now.Add(it.StartTime).After(it.Objective) {
		worth *= lateShare
	}
	return worth / max(it.Work, leastWork)
}

// densest returns the item of a band with the most worth for its work of those that may go,
// the earliest of equals.
func (b *band) densest(now time.Time, may func(*Item) bool) *Item {
	var best *Item
	most := 0.0
	for it := range b.items {
		if !may(it) {
			continue
		}
		d := it.Density(now)
		if best == nil || d > most || d == most && it.seq < best.seq {
			best, most = it, d
		}
	}
	return best
}

func anyItem(*Item) bool { return true }

// First returns the item that goes first without removing anything, nil if none waits.
func (q *Queue) First(now time.Time) *Item {
	for i := range q.bands {
		if it := q.first(i, now); it != nil {
			return it
		}
	}
	return nil
}

// FirstWithoutReserve returns the item that goes first of those that may use the last free
// slot of an endpoint, nil if there is none.
func (q *Queue) FirstWithoutReserve(now time.Time) *Item {
	for rank := range q.bands {
		it := q.bands[rank].densest(now, func(it *Item) bool { return it.Reserve == 0 && !it.late(now) })
		if it != nil {
			return it
		}
	}
	return nil
}

// Take removes an item that is given to an endpoint.
func (q *Queue) Take(it *Item, now time.Time) {
	it.flow.deficit -= it.cost()
	q.unlink(it)
	q.arrived.seen = now
	q.drain.add(it.cost(), now)
	q.work.add(it.Work, now)
}

// patienceShare is the share of the time that a caller has after which an item past its
// objective is refused. Others went before it all the while, and the caller can still come
// back to a place with room.
const patienceShare = 0.5

// givenUp reports whether an item has waited for so long that it is refused.
func (it *Item) givenUp(now time.Time) bool {
	if it.Objective.IsZero() || it.Deadline.IsZero() || now.Before(it.Objective) {
		return false
	}
	since := it.Arrived
	if since.IsZero() {
		since = it.queued
	}
	return now.Sub(since) > time.Duration(patienceShare*float64(it.Deadline.Sub(since)))
}

// hopeless returns the items that cannot be served before their deadline behind those that
// go before them, at the present pace: those that wait already and those that will arrive
// meanwhile, if as many do as a moment ago and for as long again as some have waited. A
// caller that is told so early can come back, and its place in the queue delays nobody.
func (q *Queue) hopeless(now time.Time) []Dropped {
	if !q.opt.ByWorth || q.work.rate <= 0 {
		return nil
	}
	if q.length > 0 {
		q.arrived.seen = now
	}
	var out []Dropped
	arriving := q.arrived.order(now)
	ahead := 0.0
	for rank := range q.bands {
		for _, it := range q.bands[rank].byDensity(now) {
			if it.givenUp(now) {
				out = append(out, Dropped{it, &Refusal{ReasonDeadline, it.Tier, clampRetry(q.work.time(ahead))}})
				continue
			}
			wait := q.work.behind(ahead, arriving.pace(it.Tier, it.Density(now)), q.arrived.lasts(now))
			if ahead > 0 && it.late(now.Add(wait)) {
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
		return cmp.Or(cmp.Compare(y.Density(now), x.Density(now)), cmp.Compare(x.seq, y.seq))
	})
}
