package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultCallerIdleTimeout applies where the configuration states none.
	defaultCallerIdleTimeout = 2 * time.Minute
	// maxIdleCheckDelay is the longest time between two checks for idle connections, so that a
	// shorter timeout in a new configuration takes effect.
	maxIdleCheckDelay = time.Second
	// evictionDelay is the time between two evictions while memory is short, and the least time
	// that a connection has been idle when it is closed: the server starts its read just after it
	// has reported the connection as idle.
	evictionDelay = 20 * time.Millisecond
	// acceptDelay is the time between two checks whether there is memory for a new connection.
	acceptDelay = 5 * time.Millisecond
)

// callerIdleTimeout returns how long a caller's connection may stay idle.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if c := g.opt.View.Config(); c != nil && c.CallerIdleTimeout > 0 {
		return c.CallerIdleTimeout
	}
	return defaultCallerIdleTimeout
}

// callerConnections keeps the open connections of callers. It closes those that have been idle
// for the timeout, and while memory is short those that have been idle longest. Requests share
// no lock here.
type callerConnections struct {
	timeout func() time.Duration
	account *memoryAccount
	// evicted is called with the number of connections that an eviction closes.
	evicted func(n int)
	epoch   time.Time
	open    sync.Map // net.Conn -> *callerConnection
	// closing counts the connections that were made to close and have not closed yet.
	closing                           atomic.Int64
	checkScheduled, evictionScheduled atomic.Bool
	// sweep is held while idle connections are closed.
	sweep sync.Mutex
}

// callerConnection is an open connection of a caller.
type callerConnection struct {
	net.Conn
	// idleSince is when the connection became idle, or was made to close after that, as a
	// time.Duration since callerConnections.epoch; 0 while it carries a request.
	idleSince atomic.Int64
	// closing is set once the connection was made to close.
	closing atomic.Bool
}

func newCallerConnections(timeout func() time.Duration, account *memoryAccount) *callerConnections {
	return &callerConnections{timeout: timeout, account: account, epoch: time.Now()}
}

// now returns the time since the epoch, above 0.
func (c *callerConnections) now() int64 { return max(int64(time.Since(c.epoch)), 1) }

// observe is the server's ConnState hook.
func (c *callerConnections) observe(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		c.open.Store(conn, &callerConnection{Conn: conn})
		return
	}
	value, ok := c.open.Load(conn)
	if !ok {
		return
	}
	i := value.(*callerConnection)
	switch state {
	case http.StateActive:
		c.setInUse(i)
	case http.StateIdle:
		i.idleSince.Store(c.now())
		c.scheduleCheck(c.timeout())
		if c.account.excess() > 0 {
			c.scheduleEviction()
		}
	case http.StateClosed, http.StateHijacked:
		c.setInUse(i)
		c.open.Delete(conn)
		c.account.release(callerConnectionCost)
	}
}

// setInUse lets a connection carry a request, even if it was made to close in the meantime.
func (c *callerConnections) setInUse(i *callerConnection) {
	i.idleSince.Store(0)
	if i.closing.Swap(false) {
		c.closing.Add(-1)
		_ = i.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// scheduleCheck schedules a check, unless one is scheduled.
func (c *callerConnections) scheduleCheck(delay time.Duration) {
	if !c.checkScheduled.Load() && c.checkScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(min(delay, maxIdleCheckDelay), c.check)
	}
}

// check closes the connections that are due and schedules the next check.
func (c *callerConnections) check() {
	c.checkScheduled.Store(false)
	c.sweep.Lock()
	defer c.sweep.Unlock()
	now, timeout := c.now(), c.timeout()
	next, found := timeout, false
	for _, i := range c.idle() {
		left := timeout - time.Duration(now-i.since)
		if left <= 0 {
			c.closeIdle(i, now)
			left = timeout
		}
		next, found = min(next, left), true
	}
	if found {
		c.scheduleCheck(next)
	}
}

// idleCaller is a connection that was idle when it was found.
type idleCaller struct {
	*callerConnection
	since int64
}

// idle returns the idle connections.
func (c *callerConnections) idle() []idleCaller {
	var found []idleCaller
	c.open.Range(func(_, value any) bool {
		i := value.(*callerConnection)
		if since := i.idleSince.Load(); since > 0 {
			found = append(found, idleCaller{i, since})
		}
		return true
	})
	return found
}

// closeIdle makes the server close a connection that is still idle: its read fails. If a request
// arrives at the same time, it is served. Should the server not have begun to read yet, the
// connection is closed at a later check. It must be called with sweep held.
func (c *callerConnections) closeIdle(i idleCaller, now int64) {
	if !i.idleSince.CompareAndSwap(i.since, now) {
		return
	}
	if !i.closing.Swap(true) {
		c.closing.Add(1)
	}
	_ = i.SetReadDeadline(time.Now()) // fails only if the connection is closed
	if i.idleSince.Load() == 0 {
		c.setInUse(i.callerConnection)
		_ = i.SetReadDeadline(time.Time{})
	}
}

// scheduleEviction schedules the close of idle connections, unless it is scheduled.
func (c *callerConnections) scheduleEviction() {
	if !c.evictionScheduled.Load() && c.evictionScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(evictionDelay, c.evict)
	}
}

// evict closes the connections that have been idle longest until enough memory will be free.
func (c *callerConnections) evict() {
	c.evictionScheduled.Store(false)
	c.sweep.Lock()
	defer c.sweep.Unlock()
	if !c.needsEviction() {
		return
	}
	idle := c.idle()
	slices.SortFunc(idle, func(a, b idleCaller) int { return cmp.Compare(a.since, b.since) })
	now, closed := c.now(), 0
	for _, i := range idle {
		if !c.needsEviction() {
			break
		}
		if time.Duration(now-i.since) < evictionDelay {
			c.scheduleEviction()
			break
		}
		c.closeIdle(i, now)
		closed++
	}
	if closed > 0 {
		c.evicted(closed)
	}
}

// needsEviction reports whether too much is held even without the connections that are closing.
func (c *callerConnections) needsEviction() bool {
	return c.account.excess() > c.closing.Load()*callerConnectionCost
}

// recordEviction counts idle connections that are closed because memory is short.
func (g *Gateway) recordEviction(n int) {
	g.metrics.callersClosed.Add(context.Background(), int64(n))
	g.logShortMemory("idle connections are closed", g.memory.held.Load())
}

// boundedListener accepts a connection only while the budget has room for it. Others wait in the
// system's queue.
type boundedListener struct {
	net.Listener
	account *memoryAccount
	closed  chan struct{}
	once    sync.Once
}

func newBoundedListener(l net.Listener, a *memoryAccount) *boundedListener {
	return &boundedListener{Listener: l, account: a, closed: make(chan struct{})}
}

// Accept accepts a connection and holds its memory, which the server's ConnState hook releases.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.account.budget.Fits(l.account.held.Load(), callerConnectionCost) {
		select {
		case <-l.closed:
			_ = conn.Close()
			return nil, net.ErrClosed
		case <-time.After(acceptDelay):
		}
	}
	l.account.hold(callerConnectionCost)
	return conn, nil
}

// Close closes the listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
