package usage

import (
	"maps"
	"slices"
	"time"

	"toucantiller.dev/uptime"
)

// Report returns what the process has to tell the collector at a moment, at which its wall clock
// shows wall.
func (c *Counter) Report(at uptime.Instant, wall time.Time) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := at.Sub(c.origin)
	current := c.bucketAt(position)
	c.assign()
	c.dropBefore(c.oldestKept(position))
	r := &Report{Process: c.process, Incarnation: c.incarnation, Length: c.length, Base: c.session}
	c.clock.describe(r, position, wall)
	c.through = max(c.through, c.closedThrough(current, position))
	r.Since, r.Through, r.Next = c.since, c.through, c.next
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		if changed := c.windows[number].unacknowledged(); len(changed) > 0 {
			r.Windows = append(r.Windows, WindowCounts{Number: number, Counts: changed})
		}
	}
	return r
}

// closedThrough returns the first window that may still grow; 0 while agreed time is unknown.
func (c *Counter) closedThrough(current *bucket, position time.Duration) int64 {
	if !c.clock.known {
		return 0
	}
	return min(c.windowOf(position-lateAddTime), current.number)
}

// oldestKept returns the first window that is kept for the collector.
func (c *Counter) oldestKept(position time.Duration) int64 {
	if !c.clock.known {
		return 0
	}
	return max(c.next, c.windowOf(position)-MaxWindows+1)
}

// dropBefore drops the windows before a number, which are fixed or too old.
func (c *Counter) dropBefore(number int64) {
	for n, w := range c.windows {
		if n < number {
			c.late.Add(w.missing())
			delete(c.windows, n)
		}
	}
}

// unacknowledged returns the cumulative counts that the session has not acknowledged.
func (w *window) unacknowledged() Counts {
	out := w.sum()
	for account, n := range out {
		if n <= w.acknowledged[account] {
			delete(out, account)
		}
	}
	return out
}

// Replied takes over the reply to a report that was sent and received at the given moments. It
// reports whether the collector counts windows of this length.
func (c *Counter) Replied(sent *Report, reply *Reply, sentAt, receivedAt uptime.Instant) (counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Length != c.length {
		return false
	}
	c.clock.observe(reply, sentAt.Sub(c.origin), receivedAt.Sub(c.origin))
	if reply.Session != c.session {
		// The new session has seen none of the earlier reports.
		c.session = reply.Session
		for _, w := range c.windows {
			clear(w.acknowledged)
		}
	}
	for _, s := range sent.Windows {
		if w, ok := c.windows[s.Number]; ok {
			w.acknowledge(s.Counts)
		}
	}
	c.next = max(c.next, reply.Next)
	c.dropBefore(c.next)
	return true
}

func (w *window) acknowledge(counts Counts) {
	for account, n := range counts {
		w.acknowledged[account] = max(w.acknowledged[account], n)
	}
}
