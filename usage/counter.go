package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

const (
	// unassignedLength is the length of the buckets that count before agreed time is known.
	unassignedLength = 100 * time.Millisecond
	// maxUnassigned bounds these buckets, to one minute.
	maxUnassigned = 600
	// lateAddTime is how long after a window's end a request that saw its bucket may still be added.
	lateAddTime = 100 * time.Millisecond
)

// bucket holds the requests that began in a span of positions.
type bucket struct {
	start, end time.Duration
	// number is that of the window; 0 if agreed time was unknown.
	number int64
	counts sync.Map // name of the account -> *atomic.Uint64
}

func (b *bucket) add(account string) {
	n, ok := b.counts.Load(account)
	if !ok {
		n, _ = b.counts.LoadOrStore(account, new(atomic.Uint64))
	}
	n.(*atomic.Uint64).Add(1)
}

// window holds the buckets of one window and what the session has acknowledged of it.
type window struct {
	buckets      []*bucket
	acknowledged Counts
}

// sum returns the window's counts so far.
func (w *window) sum() Counts {
	out := make(Counts)
	for _, b := range w.buckets {
		b.counts.Range(func(account, n any) bool {
			out[account.(string)] += n.(*atomic.Uint64).Load()
			return true
		})
	}
	return out
}

// missing returns the number of requests that the session has not acknowledged.
func (w *window) missing() uint64 {
	var n uint64
	for account, count := range w.sum() {
		n += count - min(count, w.acknowledged[account])
	}
	return n
}

// Counter counts the requests that begin to run through one process, and holds what it reports.
// It is safe for concurrent use.
type Counter struct {
	process     instance.ID
	incarnation instance.Incarnation
	length      time.Duration
	origin      uptime.Instant
	// current is replaced under mu; requests only load it.
	current atomic.Pointer[bucket]
	late    atomic.Uint64

	mu    sync.Mutex
	clock clock
	// unassigned are past buckets without a window, oldest first.
	unassigned []*bucket
	windows    map[int64]*window
	// session is the one that has acknowledged counts.
	session uint64
	// since is the first window that was counted from its beginning, through that of the last
	// report, and next the first window that is not fixed.
	since, through, next int64
}

// NewCounter returns a counter of windows of a length for a process that starts at a moment.
func NewCounter(process instance.ID, incarnation instance.Incarnation, length time.Duration, start uptime.Instant) *Counter {
	c := &Counter{process: process, incarnation: incarnation, length: length, origin: start, windows: make(map[int64]*window)}
	c.current.Store(&bucket{end: unassignedLength})
	return c
}

// Begin counts a request of an account that begins to run.
func (c *Counter) Begin(account string, at uptime.Instant) {
	position := at.Sub(c.origin)
	b := c.current.Load()
	if position >= b.end {
		c.mu.Lock()
		b = c.bucketAt(position)
		c.mu.Unlock()
	}
	b.add(account)
}

// Late returns the number of requests that came too late to be reported.
func (c *Counter) Late() uint64 { return c.late.Load() }

// Now returns the agreed time; ok is false while it is unknown.
func (c *Counter) Now(at uptime.Instant) (now time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, c.clock.at(at.Sub(c.origin))), c.clock.known
}

// bucketAt returns the bucket for a position and replaces the current one if it has ended. Call it
// with mu held.
func (c *Counter) bucketAt(position time.Duration) *bucket {
	old := c.current.Load()
	learned := old.number == 0 && c.clock.known
	if position < old.end && !learned {
		return old
	}
	b := &bucket{start: position, end: position + unassignedLength}
	if c.clock.known {
		// A correction of the clock never goes back to a window that was left.
		b.number = max(c.windowOf(position), old.number)
		b.end = c.clock.positionOf((b.number + 1) * int64(c.length))
		c.windowFor(b.number).buckets = append(c.windowFor(b.number).buckets, b)
	}
	c.current.Store(b)
	if old.number == 0 {
		c.keepUnassigned(old)
	}
	return b
}

func (c *Counter) windowOf(position time.Duration) int64 {
	return windowAt(c.clock.at(position), c.length)
}

func (c *Counter) windowFor(number int64) *window {
	w, ok := c.windows[number]
	if !ok {
		w = &window{acknowledged: make(Counts)}
		c.windows[number] = w
	}
	return w
}

// keepUnassigned keeps a bucket until agreed time is known.
func (c *Counter) keepUnassigned(b *bucket) {
	c.unassigned = append(c.unassigned, b)
	if len(c.unassigned) > maxUnassigned {
		c.late.Add((&window{buckets: c.unassigned[:1]}).missing())
		c.unassigned = c.unassigned[1:]
	}
}

// assign gives the past buckets their windows once agreed time is known.
func (c *Counter) assign() {
	if !c.clock.known {
		return
	}
	if c.since == 0 {
		c.since = c.windowOf(c.firstPosition()) + 1
	}
	for _, b := range c.unassigned {
		w := c.windowFor(c.windowOf((b.start + b.end) / 2))
		w.buckets = append(w.buckets, b)
	}
	c.unassigned = nil
}

// firstPosition returns the position from which all requests are held.
func (c *Counter) firstPosition() time.Duration {
	if len(c.unassigned) > 0 {
		return c.unassigned[0].start
	}
	return c.current.Load().start
}
