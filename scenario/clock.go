// Package scenario measures the decision packages against a naive scheduler.
// Small fake engines run on a virtual clock; the product side joins schedule,
// admission and limit as gateways and agents do.
package scenario

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs events in order of time, then of scheduling.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

type event struct {
	at  int64 // nanoseconds since the epoch
	seq uint64
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].seq < h[j].seq
	}
	return h[i].at < h[j].at
}

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, &event{c.now.UnixNano() + d.Nanoseconds(), c.seq, run})
}

// every runs an event at a fixed interval until the run ends.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at <= end.UnixNano() {
		e := heap.Pop(&c.events).(*event)
		c.now = c.now.Add(time.Duration(e.at - c.now.UnixNano()))
		e.run()
	}
	c.now = end
}
