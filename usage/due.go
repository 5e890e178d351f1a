package usage

import (
	"time"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

// Due returns the windows from number first on that may be fixed now, oldest first and without a
// gap: they have ended in agreed time, a process has reported past them, and either all processes
// have, or Patience has passed. expected are the processes that should report. With first 0 the
// earliest window that has counts, or that a process has counted from its beginning, is the first.
// There are none while agreed time is unknown. Windows that a process knows to be fixed, and those
// older than MaxWindows, are left out: their counts are gone, and others must not be sent.
func (c *Collector) Due(at uptime.Instant, first int64, expected []instance.ID) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := c.position(at)
	if c.length == 0 || !c.agreement.known {
		return nil
	}
	c.fixedBefore(first)
	c.forget(position)
	if first == 0 {
		first = c.earliest()
	}
	current := c.windowAt(position)
	if first != 0 {
		first = max(first, c.next, current-MaxWindows+1)
	}
	var out []Window
	for n := first; n != 0 && n < current && len(out) < MaxWindows; n++ {
		if !c.mayFix(n, position, expected) {
			break
		}
		out = append(out, c.window(n))
	}
	return out
}

// earliest returns the first window that has counts or was counted from its beginning; 0 if there
// is none.
func (c *Collector) earliest() int64 {
	var first int64
	take := func(number int64) {
		if number != 0 && (first == 0 || number < first) {
			first = number
		}
	}
	for _, p := range c.processes {
		take(p.since)
		for n := range p.windows {
			take(n)
		}
	}
	return first
}

// mayFix reports whether no more counts of a window that has ended are waited for.
func (c *Collector) mayFix(number int64, position time.Duration, expected []instance.ID) bool {
	if !c.reportedPast(number) {
		return false
	}
	// A new collector gives the processes the time to report again.
	end := time.Duration((number+1)*int64(c.length) - c.agreement.zero)
	if position >= max(end, 0)+Patience {
		return true
	}
	return len(expected) > 0 && c.complete(number, position, expected)
}

// reportedPast reports whether any process has reported past a window.
func (c *Collector) reportedPast(number int64) bool {
	for _, p := range c.processes {
		if p.through > number {
			return true
		}
	}
	return false
}

// complete reports whether all processes that are expected or were heard just now have reported
// past a window. One incarnation of a process that did is enough: it began after the others.
func (c *Collector) complete(number int64, position time.Duration, expected []instance.ID) bool {
	past := make(map[instance.ID]bool, len(c.processes))
	for key, p := range c.processes {
		if p.through > number {
			past[key.id] = true
		}
	}
	for key, p := range c.processes {
		if !past[key.id] && !p.final && position-p.heard < recentlyHeard {
			return false
		}
	}
	for _, id := range expected {
		if !past[id] {
			return false
		}
	}
	return true
}

// window adds up the counts of a window.
func (c *Collector) window(number int64) Window {
	out := Window{Number: number, Counts: make(Counts)}
	for _, p := range c.processes {
		if !p.reports(number) {
			continue
		}
		out.Processes++
		for account, n := range p.windows[number] {
			out.Counts[account] += n
		}
	}
	return out
}
