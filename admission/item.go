package admission

import (
	"time"

	"toucantiller.dev/account"
)

// Item is one waiting request. The caller owns it; a queue links it while it waits.
type Item struct {
	Tier    account.Tier
	Account string
	// Weight is the account's share within the tier; 0 counts as 1.
	Weight float64
	// Cost is the work of the request, in tokens; values below 1 count as 1.
	Cost int
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time
	// MinServiceTime is the time the request needs if it is placed at once.
	MinServiceTime time.Duration
	// Worth and Work decide the order where QueueOptions.ByWorth is set: the
	// relative worth of a timely answer, and the seconds of one endpoint slot that it takes.
	Worth, Work float64
	// Objective is when the answer should begin, zero without an objective; StartTime is the
	// time from placing the request to the beginning of its answer.
	Objective time.Time
	StartTime time.Duration
	// Reserve is the number of slots that the item must leave free at its endpoint.
	Reserve int
	// StartBy is when the caller leaves if its answer has not begun; zero if only Deadline
	// counts.
	StartBy time.Time
	// Requeued is set for an item that waited before and found no room at its endpoint.
	Requeued bool
	// Arrived is when the request came; zero means when it was pushed.
	Arrived time.Time
	// Value is the caller's request.
	Value any

	queued time.Time
	seq    uint64
	queue  *Queue
	flow   *flow
	next   *Item
	prev   *Item
}

// Queued returns the time of the push.
func (it *Item) Queued() time.Time { return it.queued }

func (it *Item) cost() float64 { return float64(max(it.Cost, 1)) }

// missesDeadline reports whether the deadline cannot be met even if the item is placed now.
func (it *Item) missesDeadline(now time.Time) bool {
	return !it.Deadline.IsZero() && now.Add(it.MinServiceTime).After(it.Deadline) ||
		!it.StartBy.IsZero() && now.Add(it.StartTime).After(it.StartBy)
}

// Dropped is an item that left a queue unserved.
type Dropped struct {
	Item    *Item
	Refusal *Refusal
}
