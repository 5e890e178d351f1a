package admission

import (
	"time"

	"toucantiller.dev/account"
)

// ShedDelay is the time between raising the floor to a tier and shedding that
// tier. Agents report the floor in their replies, so by then every gateway refuses the
// tiers below.
const ShedDelay = 200 * time.Millisecond

// renewInterval is the interval at which a floor that is still needed is raised
// again at the agents.
const renewInterval = FloorTTL / 4

// ServiceOptions configure a ServiceQueue.
type ServiceOptions struct {
	QueueOptions
	// Reserve is the number of requests the queue holds beyond Capacity while it waits
	// for a raised floor to take effect; 0 means Capacity.
	Reserve int
}

// ServiceQueue is a gateway's queue for one service. It sheds a tier that has
// lower tiers below it only ShedDelay after the floor was raised to that tier. It
// is not safe for concurrent use.
type ServiceQueue struct {
	Queue
	reserve    int
	raised     raisedFloor
	earlySheds int
}

// raisedFloor is the floor that this gateway raises at its agents. It rises by one
// tier at a time, ShedDelay apart, so that each tier is refused everywhere before the
// next one is.
type raisedFloor struct {
	tier int
	// since is when the floor rose to tier; neededAt when the need was last seen.
	since, neededAt time.Time
	// sentAt is when FloorRequest last returned it; zero after a change.
	sentAt time.Time
}

// NewServiceQueue returns an empty queue.
func NewServiceQueue(opt ServiceOptions) *ServiceQueue {
	q := &ServiceQueue{raised: raisedFloor{tier: NoFloor}}
	q.Queue = *NewQueue(opt.QueueOptions)
	q.mayShed = q.shedAllowed
	q.SetOptions(opt)
	return q
}

// SetOptions replaces the bounds.
func (q *ServiceQueue) SetOptions(opt ServiceOptions) {
	q.Queue.SetOptions(opt.QueueOptions)
	q.reserve = opt.Reserve
	if q.reserve <= 0 {
		q.reserve = q.opt.Capacity
	}
}

// Push adds an item or refuses it, and returns the evicted items. Beyond the
// capacity it uses the reserve until the floor allows shedding.
func (q *ServiceQueue) Push(it *Item, now time.Time) (evicted []Dropped, refusal *Refusal) {
	if refusal = q.refuseEarly(it, now); refusal != nil {
		return nil, refusal
	}
	if !q.lacksRoomFor(it) {
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
	if !q.shedAllowed(shed.Tier, now) {
		q.requestFloor(shed.Tier, now)
		if q.length < q.opt.Capacity+q.reserve {
			q.link(it, now)
			return nil, nil
		}
		q.earlySheds++
	}
	if victim == nil {
		return nil, q.refuse(ReasonQueueFull, it.Tier)
	}
	q.unlink(victim)
	evicted = []Dropped{{victim, q.refuse(ReasonEvicted, victim.Tier)}}
	q.link(it, now)
	return evicted, nil
}

// shedAllowed reports whether the tier may be shed without breaking the guarantee that no
// tier is shed before a lower one. Only the gateway's own floor counts: one learned from
// an agent may have expired there.
func (q *ServiceQueue) shedAllowed(tier account.Tier, now time.Time) bool {
	if int(tier) >= q.opt.Tiers-1 {
		return true
	}
	o := &q.raised
	if o.tier == NoFloor || o.sentAt.IsZero() || now.Sub(o.sentAt) >= FloorTTL {
		return false
	}
	return o.tier < int(tier) || (o.tier == int(tier) && now.Sub(o.since) >= ShedDelay)
}

// requestFloor requests the floor that must hold at the agents before the tier is shed.
func (q *ServiceQueue) requestFloor(tier account.Tier, now time.Time) {
	o := &q.raised
	if o.tier == NoFloor || now.Sub(o.neededAt) >= FloorTTL {
		*o = raisedFloor{tier: max(q.opt.Tiers-2, 0), since: now}
	} else if int(tier) < o.tier && now.Sub(o.since) >= ShedDelay {
		*o = raisedFloor{tier: o.tier - 1, since: now}
	}
	o.neededAt = now
	q.RaiseFloor(account.Tier(o.tier), now)
}

// FloorRequest returns the floor that the gateway must raise at its agents now.
// It returns a floor when it has risen and again while the need persists. Callers
// use it after every push and on their timer.
func (q *ServiceQueue) FloorRequest(now time.Time) (account.Tier, bool) {
	o := &q.raised
	if o.tier == NoFloor || now.Sub(o.neededAt) >= FloorTTL {
		return 0, false
	}
	if !o.sentAt.IsZero() && now.Sub(o.sentAt) < renewInterval {
		return 0, false
	}
	o.sentAt = now
	return account.Tier(o.tier), true
}

// ObserveFloor takes in the floor that an agent reported; a negative value means
// none. The queue refuses and expires tiers below it.
func (q *ServiceQueue) ObserveFloor(tier int, now time.Time) {
	if tier >= 0 {
		q.RaiseFloor(account.Tier(tier), now)
	}
}

// Expire removes the items that can no longer be served and, once the floor
// allows it, sheds the excess over the capacity. It also raises the floor for
// tiers that have waited long, so callers use it on a timer of at most ShedDelay.
func (q *ServiceQueue) Expire(now time.Time) []Dropped {
	q.requestFloorForWaiting(now)
	out := q.Queue.Expire(now)
	for q.length > q.opt.Capacity {
		low := q.lowest()
		if !q.shedAllowed(account.Tier(low), now) {
			q.requestFloor(account.Tier(low), now)
			break
		}
		v := q.tiers[low].latest()
		if q.opt.FairEviction {
			v = q.tiers[low].latestOfLargest()
		}
		q.unlink(v)
		out = append(out, Dropped{v, q.refuse(ReasonEvicted, v.Tier)})
	}
	return out
}

// requestFloorForWaiting raises the floor for a tier whose oldest item has used half of
// its queue time, so that lower tiers are shed before it times out.
func (q *ServiceQueue) requestFloorForWaiting(now time.Time) {
	for rank := range q.tiers {
		bound := q.maxQueueTime(account.Tier(rank))
		if bound <= 0 || rank >= q.opt.Tiers-1 {
			continue
		}
		for _, f := range q.tiers[rank].ring {
			if now.Sub(f.head.queued) >= bound/2 {
				q.requestFloor(account.Tier(rank), now)
				return
			}
		}
	}
}

// EarlySheds counts the sheds that capacity and reserve forced before the floor
// had taken effect.
func (q *ServiceQueue) EarlySheds() int { return q.earlySheds }
