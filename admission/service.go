package admission

import (
	"time"

	"toucantiller.dev/account"
)

// ShedDelay is the time between raising the floor to a tier and shedding that
// tier. Agents pass the floor on with their replies, so by then every gateway has
// stopped taking the tiers below.
const ShedDelay = 200 * time.Millisecond

// ServiceOptions configure a ServiceQueue.
type ServiceOptions struct {
	QueueOptions
	// Tiers is the number of configured tiers; the lowest may be shed at once.
	Tiers int
	// Reserve is the number of requests the queue holds beyond Capacity while it waits
	// for a raised floor to take effect; 0 means Capacity.
	Reserve int
}

// ServiceQueue is a gateway's queue for one service. It sheds a tier that has
// lower tiers below it only ShedDelay after the floor was raised to that tier. It
// is not safe for concurrent use.
type ServiceQueue struct {
	Queue
	tiers   int
	soft    int
	reserve int
	// wanted is the floor this gateway needs at its agents, since wantedAt.
	wanted    int
	raisedAt  time.Time
	wantedAt  time.Time
	announced bool
	early     int
}

// NewServiceQueue returns an empty queue.
func NewServiceQueue(opt ServiceOptions) *ServiceQueue {
	q := &ServiceQueue{wanted: NoFloor}
	q.Queue = *NewQueue(opt.QueueOptions)
	q.SetOptions(opt)
	return q
}

// SetOptions replaces the bounds.
func (q *ServiceQueue) SetOptions(opt ServiceOptions) {
	q.Queue.SetOptions(opt.QueueOptions)
	q.soft = q.opt.Capacity
	q.reserve = opt.Reserve
	if q.reserve <= 0 {
		q.reserve = q.soft
	}
	q.tiers = max(opt.Tiers, 1)
}

// Push adds an item or refuses it, and returns what had to give way. Beyond the
// capacity it uses the reserve until the floor allows shedding.
func (q *ServiceQueue) Push(it *Item, now time.Time) (evicted []Dropped, refusal *Refusal) {
	if refusal = q.refuseEarly(it, now); refusal != nil {
		return nil, refusal
	}
	if q.length < q.soft {
		q.link(it, now)
		return nil, nil
	}
	return q.pushFull(it, now)
}

func (q *ServiceQueue) pushFull(it *Item, now time.Time) (evicted []Dropped, refusal *Refusal) {
	victim := q.victim(it)
	shed := it
	if victim != nil {
		shed = victim
	}
	if !q.mayShed(shed.Tier, now) {
		q.want(shed.Tier, now)
		if q.length < q.soft+q.reserve {
			q.link(it, now)
			return nil, nil
		}
		q.early++
	}
	if victim == nil {
		return nil, q.refuse(ReasonQueueFull, it.Tier)
	}
	q.unlink(victim)
	evicted = []Dropped{{victim, q.refuse(ReasonEvicted, victim.Tier)}}
	q.link(it, now)
	return evicted, nil
}

// mayShed reports whether shedding the tier keeps the promise that no tier is
// shed before a lower one.
func (q *ServiceQueue) mayShed(tier account.Tier, now time.Time) bool {
	if int(tier) >= q.tiers-1 {
		return true
	}
	f := q.Floor(now)
	if f != NoFloor && int(tier) > f {
		return true
	}
	return q.wanted != NoFloor && q.wanted <= int(tier) && q.holds(now) && now.Sub(q.raisedAt) >= ShedDelay
}

func (q *ServiceQueue) holds(now time.Time) bool {
	return now.Sub(q.wantedAt) < FloorTTL
}

// want asks for the floor at the agents. Lower tiers wait here too until they are
// shed below the floor.
func (q *ServiceQueue) want(tier account.Tier, now time.Time) {
	if q.wanted == NoFloor || !q.holds(now) || int(tier) < q.wanted {
		q.wanted = int(tier)
		q.raisedAt = now
		q.announced = false
	}
	if now.Sub(q.wantedAt) >= FloorTTL/4 {
		q.announced = false
	}
	q.wantedAt = now
	q.RaiseFloor(account.Tier(q.wanted), now)
}

// FloorRequest returns the floor that the gateway must raise at its agents now.
// It returns each request once, and again while the need persists, so that the
// floor does not expire.
func (q *ServiceQueue) FloorRequest(now time.Time) (account.Tier, bool) {
	if q.wanted == NoFloor || q.announced || !q.holds(now) {
		return 0, false
	}
	q.announced = true
	return account.Tier(q.wanted), true
}

// ObserveFloor takes in the floor that an agent reported, and how old the report
// is. It refuses and expires tiers below it.
func (q *ServiceQueue) ObserveFloor(tier int, now time.Time) {
	if tier < 0 {
		return
	}
	q.RaiseFloor(account.Tier(tier), now)
}

// Expire removes the items that can no longer be served and, once the floor
// allows it, sheds the excess over the capacity.
func (q *ServiceQueue) Expire(now time.Time) []Dropped {
	q.wantForWaiting(now)
	out := q.Queue.Expire(now)
	for q.length > q.soft {
		low := q.lowest()
		if !q.mayShed(account.Tier(low), now) {
			q.want(account.Tier(low), now)
			break
		}
		v := q.bands[low].latest()
		if q.opt.FairEviction {
			v = q.bands[low].latestOfLargest()
		}
		q.unlink(v)
		out = append(out, Dropped{v, q.refuse(ReasonEvicted, v.Tier)})
	}
	return out
}

// wantForWaiting raises the floor for a tier whose oldest item has used half of
// its queue time, so that lower tiers give way before it times out.
func (q *ServiceQueue) wantForWaiting(now time.Time) {
	for rank := range q.bands {
		bound := q.maxQueueTime(account.Tier(rank))
		if bound <= 0 || rank >= q.tiers-1 {
			continue
		}
		for _, f := range q.bands[rank].ring {
			if now.Sub(f.head.queued) >= bound/2 {
				q.want(account.Tier(rank), now)
				return
			}
		}
	}
}

// EarlySheds counts the sheds that capacity and reserve forced before the floor
// had taken effect.
func (q *ServiceQueue) EarlySheds() int { return q.early }
