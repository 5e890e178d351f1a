package admission

import (
	"slices"
	"time"
)

// lateWorthFactor is the worth of an answer that begins after its objective, as a share of one
// that begins in time.
const lateWorthFactor = 0.3

// minWork is the least work, in seconds, that Density divides by; it keeps it finite.
const minWork = 1e-3

// Density is the worth of an item per second of its work, if it is placed now. Where accounts share
// their tier, the worth of a waiting item is scaled by what its account was served.
func (it *Item) Density(now time.Time) float64 {
	if it.flow == nil {
		return it.ownDensity(now)
	}
	return it.flow.factor * it.ownDensity(now)
}

// ownDensity is the density without the shares of accounts. Forecasts compare items that arrived at
// different times by it, as the factors change.
func (it *Item) ownDensity(now time.Time) float64 {
	worth := it.Worth
	if !it.Objective.IsZero() && now.Add(it.StartTime).After(it.Objective) {
		worth *= lateWorthFactor
	}
	return worth / max(it.Work, minWork)
}

// densest returns the item of highest density among those that may accepts, the earliest of
// equals.
func (b *tierQueue) densest(now time.Time, may func(*Item) bool) *Item {
	var best *Item
	most := 0.0
	for it := range b.items {
		if !may(it) {
			continue
		}
		d := it.Density(now)
		if best == nil || it.goesBefore(best, d, most) {
			best, most = it, d
		}
	}
	return best
}

// goesBefore reports whether an item of a density is served before another one of a density.
func (it *Item) goesBefore(other *Item, density, otherDensity float64) bool {
	if it.flow.starved != other.flow.starved {
		return it.flow.starved
	}
	return density > otherDensity || density == otherDensity && it.seq < other.seq
}

func anyItem(*Item) bool { return true }

// PeekNext returns the item that is served next without removing anything, nil if none waits.
func (q *Queue) PeekNext(now time.Time) *Item {
	for i := range q.tiers {
		if it := q.firstOfTier(i, now); it != nil {
			return it
		}
	}
	return nil
}

// NextExcept returns the item that is served next among those that can still be served and are
// not skipped, nil if there is none.
func (q *Queue) NextExcept(skipped []*Item, now time.Time) *Item {
	for rank := range q.tiers {
		it := q.tiers[rank].densest(now, func(it *Item) bool {
			return !it.missesDeadline(now) && !slices.Contains(skipped, it)
		})
		if it != nil {
			return it
		}
	}
	return nil
}

// Take removes an item that is dispatched to an endpoint and counts it as served.
func (q *Queue) Take(it *Item, now time.Time) {
	it.flow.deficit -= it.cost()
	if q.opt.ShareByAccount && !it.Requeued {
		q.tiers[it.Tier].shares.add(it.Account, it.flow.weight, it.Work, now)
	}
	q.unlink(it)
	q.arrived.seen = now
	q.tokenRate.add(it.cost(), now)
	q.workRate.add(it.Work, now)
}

// maxWaitShare is the share of the time from arrival to deadline after which an item past
// its objective is refused. Others have overtaken it for that long, and its caller still has
// time to retry where there is room.
const maxWaitShare = 0.5

// waitedTooLong reports whether an item past its objective has waited for more than maxWaitShare.
func (it *Item) waitedTooLong(now time.Time) bool {
	if it.Objective.IsZero() || it.Deadline.IsZero() || now.Before(it.Objective) {
		return false
	}
	since := it.Arrived
	if since.IsZero() {
		since = it.queued
	}
	return now.Sub(since) > time.Duration(maxWaitShare*float64(it.Deadline.Sub(since)))
}

// unservable returns the items that cannot be served before their deadline at the present
// service rate, given the items that are served before them: those that already wait and
// those that will arrive, assuming that the recent arrival rate continues for as long as the
// overload has lasted. Refusing such items early lets their callers retry, and they delay no
// other item.
func (q *Queue) unservable(now time.Time) []Dropped {
	if !q.opt.ByWorth || q.opt.NoEarlyRefusal || q.workRate.rate <= 0 {
		return nil
	}
	if q.length > 0 {
		q.arrived.seen = now
	}
	var out []Dropped
	arriving := q.arrived.forecast(now)
	ahead := 0.0
	for rank := range q.tiers {
		for _, it := range q.tiers[rank].byDensity(now) {
			if it.waitedTooLong(now) {
				out = append(out, Dropped{it, &Refusal{ReasonDeadline, it.Tier, clampRetry(q.workRate.timeToServe(ahead))}})
				continue
			}
			wait := q.workRate.waitBehind(ahead, arriving.rateBefore(it.Tier, it.ownDensity(now)), q.arrived.expectedDuration(now))
			if ahead > 0 && it.missesDeadline(now.Add(wait)) {
				out = append(out, Dropped{it, &Refusal{ReasonDeadline, it.Tier, clampRetry(wait)}})
				continue
			}
			ahead += it.Work
		}
	}
	return out
}

// byDensity returns the items of a tier in the order in which they would be served now.
func (b *tierQueue) byDensity(now time.Time) []*Item {
	return slices.SortedFunc(b.items, func(x, y *Item) int {
		if x.goesBefore(y, x.Density(now), y.Density(now)) {
			return -1
		}
		return 1
	})
}
