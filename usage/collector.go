package usage

import (
	"math/rand/v2"
	"sync"
	"time"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

const (
	// recentlyHeard is how long after its last report a process that is not expected is waited for.
	recentlyHeard = 3 * ReportInterval
	// forgetAfter is how long a process without counts is kept after its last report.
	forgetAfter = time.Minute
	// forgetInterval is the time between two searches for what is too old to be kept.
	forgetInterval = time.Second
	// maxNames bounds the account names that are kept once for all processes.
	maxNames = 1 << 14
)

type processKey struct {
	id          instance.ID
	incarnation instance.Incarnation
}

// process is what one incarnation of a process has reported.
type process struct {
	since, through int64
	final          bool
	heard          time.Duration
	windows        map[int64]Counts
}

// reports reports whether the process has reported a window.
func (p *process) reports(number int64) bool {
	return len(p.windows[number]) > 0 || p.since <= number && number < p.through
}

// Collector adds up the counts of all processes. It is safe for concurrent use.
type Collector struct {
	length  time.Duration
	session uint64

	mu sync.Mutex
	// origin is the first moment that the collector was told; positions count from it.
	origin    uptime.Instant
	hasOrigin bool
	agreement agreement
	readings  map[processKey]reading
	processes map[processKey]*process
	names     map[string]string
	// next is the first window that is not fixed; 0 if none is fixed yet.
	next int64
	// forgotten is the position of the last search for what is too old.
	forgotten time.Duration
}

// NewCollector returns an empty collector of windows of a length; length 0 counts nothing.
func NewCollector(length time.Duration) *Collector {
	return &Collector{
		length:    length,
		session:   rand.Uint64() | 1, //nolint:gosec // it only tells sessions apart
		readings:  make(map[processKey]reading),
		processes: make(map[processKey]*process),
		names:     make(map[string]string),
	}
}

// Report takes over a report that arrived at a moment, at which the leader's wall clock shows
// wall. next is the first window that is not fixed, 0 if none is fixed yet.
func (c *Collector) Report(r *Report, at uptime.Instant, wall time.Time, next int64) Reply {
	if c.length == 0 {
		return Reply{Session: c.session}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	position := c.position(at)
	c.fixedBefore(next)
	if r.Length == c.length {
		// A log that was lost or restored may know less than the processes.
		c.fixedBefore(r.Next)
		c.readClocks(r, position, wall)
		c.agreement.update(c.readings, position)
		c.add(r, position)
		c.forgetOld(position)
	}
	reply := Reply{Session: c.session, Length: c.length, Position: position, Next: c.next}
	if c.agreement.known {
		reply.Agreed = c.agreement.zero
	}
	return reply
}

// readClocks keeps the clocks that a report states, and the leader's own.
func (c *Collector) readClocks(r *Report, position time.Duration, wall time.Time) {
	c.readings[processKey{}] = reading{wall: wall.UnixNano() - int64(position), heard: position}
	if r.Session == c.session {
		c.readings[processKey{r.Process, r.Incarnation}] = reading{wall: r.Wall, agreed: r.Agreed, heard: position}
	}
}

// add keeps the largest of each cumulative count, so that reports may come repeatedly and in any
// order.
func (c *Collector) add(r *Report, position time.Duration) {
	p := c.process(processKey{r.Process, r.Incarnation})
	p.heard = position
	if r.Base == c.session {
		// Other reports leave out what only an earlier leader has seen.
		p.final = p.final || r.Final
		p.through = max(p.through, r.Through)
		p.since = max(p.since, r.Since)
	}
	for _, w := range r.Windows {
		if c.keeps(p, w.Number, position) {
			c.merge(p, w)
		}
	}
}

func (c *Collector) process(key processKey) *process {
	p, ok := c.processes[key]
	if !ok {
		p = &process{windows: make(map[int64]Counts)}
		c.processes[key] = p
	}
	return p
}

// keeps reports whether the collector holds a process's window: it is not fixed yet, not in the
// future, and within what is kept.
func (c *Collector) keeps(p *process, number int64, position time.Duration) bool {
	if number < c.next {
		return false
	}
	if _, held := p.windows[number]; held {
		return true
	}
	if !c.agreement.known {
		return len(p.windows) < MaxWindows
	}
	current := c.windowAt(position)
	return number <= current+1 && number > current-MaxWindows
}

func (c *Collector) merge(p *process, w WindowCounts) {
	counts, ok := p.windows[w.Number]
	if !ok {
		counts = make(Counts, len(w.Counts))
		p.windows[w.Number] = counts
	}
	for account, n := range w.Counts {
		counts[c.name(account)] = max(counts[account], n)
	}
}

// name returns one copy of an account's name for all processes.
func (c *Collector) name(account string) string {
	if known, ok := c.names[account]; ok {
		return known
	}
	if len(c.names) >= maxNames {
		clear(c.names)
	}
	c.names[account] = account
	return account
}

// Now returns the agreed time; ok is false while it is unknown.
func (c *Collector) Now(at uptime.Instant) (now time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, c.agreement.zero+int64(c.position(at))), c.agreement.known
}

// position returns the time since the collector began.
func (c *Collector) position(at uptime.Instant) time.Duration {
	if !c.hasOrigin {
		c.hasOrigin = true
		c.origin = at
	}
	return at.Sub(c.origin)
}

func (c *Collector) windowAt(position time.Duration) int64 {
	return windowAt(c.agreement.zero+int64(position), c.length)
}

// fixedBefore drops the windows before next, which are fixed.
func (c *Collector) fixedBefore(next int64) {
	if next <= c.next {
		return
	}
	c.next = next
	c.dropBefore(next)
}

func (c *Collector) dropBefore(number int64) {
	for _, p := range c.processes {
		for n := range p.windows {
			if n < number {
				delete(p.windows, n)
			}
		}
	}
}

// forgetOld bounds what is held although nobody asks for windows that are due.
func (c *Collector) forgetOld(position time.Duration) {
	if position-c.forgotten >= forgetInterval {
		c.forget(position)
	}
}

// forget drops processes that are gone, and what is too old to be kept.
func (c *Collector) forget(position time.Duration) {
	c.forgotten = position
	c.dropBefore(c.windowAt(position) - MaxWindows + 1)
	for key, p := range c.processes {
		if len(p.windows) == 0 && position-p.heard > forgetAfter {
			delete(c.processes, key)
		}
	}
}
