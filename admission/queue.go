package admission

import (
	"time"

	"toucantiller.dev/account"
)

// DefaultCapacity is the capacity of a queue in requests.
const DefaultCapacity = 1024

// QueueOptions bound a Queue.
type QueueOptions struct {
	// Capacity is the bound in requests; 0 means DefaultCapacity.
	Capacity int
	// Tiers is the number of configured tiers. A floor refuses none of them when it is 0
	// or 1.
	Tiers int
	// MaxTokens is the bound on the total cost of waiting items; 0 means none.
	MaxTokens int
	// MaxQueueTime bounds the wait by tier rank; missing or zero entries mean no bound.
	MaxQueueTime []time.Duration
	// FairEviction evicts the latest arrival of the account with the most queued work
	// for its weight instead of the latest arrival of the tier. Without it, one account
	// that fills the queue locks the others out, since theirs are the latest arrivals.
	FairEviction bool
	// ByWorth serves the items of a tier by descending Density instead of sharing the tier
	// among accounts. It is for deployments whose accounts have token limits.
	ByWorth bool
	// ShareByAccount scales the Density of items by how much of its fair share, by weight, each
	// account of the tier was served lately. It has no effect without ByWorth.
	ShareByAccount bool
	// NoEarlyRefusal keeps items that cannot be served in time until that time is over.
	NoEarlyRefusal bool
}

// Queue is a bounded priority queue by tier with fair sharing among accounts
// within a tier. The agent uses it as it is; ServiceQueue adds the gateway's
// rules. It is not safe for concurrent use.
type Queue struct {
	opt       QueueOptions
	tiers     []tierQueue
	length    int
	cost      float64
	seq       uint64
	floor     floor
	tokenRate rateEstimator
	// workRate estimates the rate at which Item.Work is served.
	workRate rateEstimator
	// arrived holds the most recent arrivals.
	arrived arrivals
	// mayShed reports whether a tier may be shed for its queue time; nil allows all.
	mayShed func(tier account.Tier, now time.Time) bool
}

// NewQueue returns an empty queue.
func NewQueue(opt QueueOptions) *Queue {
	if opt.Capacity <= 0 {
		opt.Capacity = DefaultCapacity
	}
	return &Queue{opt: opt, floor: floor{tier: NoFloor}}
}

// SetOptions replaces the bounds; a smaller capacity takes effect on later pushes.
func (q *Queue) SetOptions(opt QueueOptions) {
	if opt.Capacity <= 0 {
		opt.Capacity = DefaultCapacity
	}
	q.opt = opt
}

// Len is the number of waiting items.
func (q *Queue) Len() int { return q.length }

// LenTier is the number of waiting items of one tier.
func (q *Queue) LenTier(tier account.Tier) int {
	if int(tier) >= len(q.tiers) {
		return 0
	}
	return q.tiers[tier].length
}

// Tokens is the total cost of the waiting items.
func (q *Queue) Tokens() int { return int(q.cost) }

// Push adds an item, or refuses it. Items evicted to make room come back in
// evicted and are not run.
func (q *Queue) Push(it *Item, now time.Time) (evicted []Dropped, refusal *Refusal) {
	if refusal = q.refuseEarly(it, now); refusal != nil {
		return nil, refusal
	}
	for q.lacksRoomFor(it) {
		victim := q.victim(it)
		if victim == nil {
			return evicted, q.refuse(ReasonQueueFull, it.Tier)
		}
		q.unlink(victim)
		evicted = append(evicted, Dropped{victim, q.refuse(ReasonEvicted, victim.Tier)})
	}
	q.link(it, now)
	return evicted, nil
}

// refuseEarly applies the checks that do not depend on the free capacity.
func (q *Queue) refuseEarly(it *Item, now time.Time) *Refusal {
	if f := q.Floor(now); f != NoFloor && int(it.Tier) > f {
		return &Refusal{ReasonBelowFloor, it.Tier, q.floorRetry(it.Tier, now)}
	}
	if it.missesDeadline(now) {
		return q.refuse(ReasonDeadline, it.Tier)
	}
	return nil
}

func (q *Queue) lacksRoomFor(it *Item) bool {
	if q.length >= q.opt.Capacity {
		return true
	}
	over := q.opt.MaxTokens > 0 && q.cost+it.cost() > float64(q.opt.MaxTokens)
	return over && q.length > 0
}

// victim picks the item to evict in favour of it: of the lowest tier, the latest
// arrival. Items of higher tiers are never evicted, nor are those of the same tier
// unless FairEviction finds an account above its share.
func (q *Queue) victim(it *Item) *Item {
	low := q.lowest()
	if low < int(it.Tier) {
		return nil
	}
	b := &q.tiers[low]
	if low > int(it.Tier) {
		if q.opt.FairEviction {
			return b.latestOfLargest()
		}
		return b.latest()
	}
	if !q.opt.FairEviction {
		return nil
	}
	v := b.latestOfLargest()
	own := it.cost()
	if f := b.flows[it.Account]; f != nil {
		own += f.cost
	}
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	if v.Account == it.Account || v.flow.cost*weight <= own*v.flow.weight {
		return nil
	}
	return v
}

// lowest returns the rank of the lowest tier with waiting items, or -1.
func (q *Queue) lowest() int {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].length > 0 {
			return i
		}
	}
	return -1
}

// Peek returns the item that Pop would return, without removing it. Items found
// at the head that can no longer be served are removed and returned in dropped.
func (q *Queue) Peek(now time.Time) (head *Item, dropped []Dropped) {
	limit := q.Floor(now)
	for i := range q.tiers {
		for it := q.firstOfTier(i, now); it != nil; it = q.firstOfTier(i, now) {
			r := q.refuseExpired(it, limit, now)
			if r == nil {
				return it, dropped
			}
			q.unlink(it)
			dropped = append(dropped, Dropped{it, r})
		}
	}
	return nil, dropped
}

// firstOfTier returns the item of a tier that is served next.
func (q *Queue) firstOfTier(rank int, now time.Time) *Item {
	if q.opt.ByWorth {
		q.updateShares(rank, now)
		return q.tiers[rank].densest(now, anyItem)
	}
	return q.tiers[rank].peek()
}

// updateShares takes in what the accounts of a tier were served.
func (q *Queue) updateShares(rank int, now time.Time) {
	if q.opt.ShareByAccount {
		q.tiers[rank].shares.update(q.tiers[rank].ring, now)
	}
}

// Pop removes the next item: highest tier first, within a tier accounts by weighted
// round robin or items by density. Items found on the way that can no longer be served come back in dropped.
func (q *Queue) Pop(now time.Time) (head *Item, dropped []Dropped) {
	head, dropped = q.Peek(now)
	if head == nil {
		return nil, dropped
	}
	q.Take(head, now)
	return head, dropped
}

// Remove takes an item out, for example when its caller has left. It reports
// whether the item was waiting in this queue.
func (q *Queue) Remove(it *Item) bool {
	if it.queue != q {
		return false
	}
	q.unlink(it)
	return true
}

// Expire removes all items that can no longer be served: below the floor, too
// late for their deadline, or waiting longer than their tier allows. It visits
// every item; callers use it on a timer, not per request.
func (q *Queue) Expire(now time.Time) []Dropped {
	var out []Dropped
	limit := q.Floor(now)
	for rank := range q.tiers {
		for it := range q.tiers[rank].items {
			if r := q.refuseExpired(it, limit, now); r != nil {
				out = append(out, Dropped{it, r})
			}
		}
	}
	q.unlinkAll(out)
	late := q.unservable(now)
	q.unlinkAll(late)
	return append(out, late...)
}

func (q *Queue) unlinkAll(dropped []Dropped) {
	for _, d := range dropped {
		q.unlink(d.Item)
	}
}

func (q *Queue) refuseExpired(it *Item, limit int, now time.Time) *Refusal {
	if limit != NoFloor && int(it.Tier) > limit {
		return &Refusal{ReasonBelowFloor, it.Tier, q.floorRetry(it.Tier, now)}
	}
	if it.missesDeadline(now) {
		return q.refuse(ReasonDeadline, it.Tier)
	}
	if bound := q.maxQueueTime(it.Tier); bound > 0 && now.Sub(it.queued) >= bound && q.canShed(it.Tier, now) {
		return q.refuse(ReasonQueueTime, it.Tier)
	}
	return nil
}

func (q *Queue) canShed(tier account.Tier, now time.Time) bool {
	return q.mayShed == nil || q.mayShed(tier, now)
}

func (q *Queue) maxQueueTime(tier account.Tier) time.Duration {
	if int(tier) >= len(q.opt.MaxQueueTime) {
		return 0
	}
	return q.opt.MaxQueueTime[tier]
}

// HandBack empties the queue for a shutdown.
func (q *Queue) HandBack() []Dropped {
	var out []Dropped
	for i := range q.tiers {
		for it := q.tiers[i].peek(); it != nil; it = q.tiers[i].peek() {
			q.unlink(it)
			out = append(out, Dropped{it, &Refusal{ReasonHandedBack, it.Tier, MinRetryAfter}})
		}
	}
	return out
}

// refuse builds a refusal whose RetryAfter is the time to serve the work that
// ranks at least as high.
func (q *Queue) refuse(reason Reason, tier account.Tier) *Refusal {
	ahead := 0.0
	for i := range q.tiers {
		if i <= int(tier) {
			ahead += q.tiers[i].cost
		}
	}
	return &Refusal{reason, tier, clampRetry(q.tokenRate.timeToServe(ahead))}
}

func (q *Queue) link(it *Item, now time.Time) {
	for len(q.tiers) <= int(it.Tier) {
		q.tiers = append(q.tiers, tierQueue{})
	}
	if q.length == 0 {
		// Rates are measured only while items wait; idle time does not count.
		q.workRate.restart(now)
		q.arrived.startOverload(now)
	}
	q.seq++
	it.seq = q.seq
	it.queued = now
	it.queue = q
	q.tiers[it.Tier].push(it)
	if q.opt.ShareByAccount && it.flow.head == it {
		q.tiers[it.Tier].shares.judge(it.flow, now)
	}
	if q.opt.ByWorth && !it.Requeued {
		q.arrived.add(it, now)
	}
	q.length++
	q.cost += it.cost()
}

func (q *Queue) unlink(it *Item) {
	q.tiers[it.Tier].remove(it)
	q.untrack(it)
}

func (q *Queue) untrack(it *Item) {
	it.queue = nil
	q.length--
	q.cost -= it.cost()
}
