package gateway

import (
	"container/list"
	"context"
	"net"
	"net/http"
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

// callerConnections keeps the open connections of callers, and closes those that have been idle
// for the timeout.
type callerConnections struct {
	timeout func() time.Duration

	mu sync.Mutex
	// open holds the open connections with their elements of idle; nil for those in use.
	open map[net.Conn]*list.Element
	// idle holds *idleCaller, the connection that has been idle longest first.
	idle *list.List
	// checkScheduled is set while a check is due.
	checkScheduled bool
	// closing counts the connections that were made to close and have not closed yet.
	closing int64

	account *memoryAccount
	// evictionScheduled is set while an eviction is due.
	evictionScheduled atomic.Bool
	// evicted is called with the number of connections that an eviction closes.
	evicted func(n int)
}

// idleCaller is a connection of a caller that carries no request.
type idleCaller struct {
	conn  net.Conn
	since time.Time
	// closing is set once the connection was made to close.
	closing bool
}

func newCallerConnections(timeout func() time.Duration, account *memoryAccount) *callerConnections {
	return &callerConnections{timeout: timeout, open: make(map[net.Conn]*list.Element), idle: list.New(), account: account}
}

// observe is the server's ConnState hook.
func (c *callerConnections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
		if e.Value.(*idleCaller).closing {
			c.closing--
		}
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = nil
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(&idleCaller{conn: conn, since: time.Now()})
		c.scheduleCheck()
		if c.account.excess() > 0 {
			c.scheduleEviction()
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		c.account.release(callerConnectionCost)
	}
}

// scheduleCheck schedules a check for when the first connection is due, unless one is
// scheduled. It must be called with mu held.
func (c *callerConnections) scheduleCheck() {
	first := c.idle.Front()
	if c.checkScheduled || first == nil {
		return
	}
	c.checkScheduled = true
	due := time.Until(first.Value.(*idleCaller).since.Add(c.timeout()))
	time.AfterFunc(min(due, maxIdleCheckDelay), c.check)
}

// check closes the connections that are due.
func (c *callerConnections) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkScheduled = false
	now, timeout := time.Now(), c.timeout()
	for e := c.idle.Front(); e != nil && now.Sub(e.Value.(*idleCaller).since) >= timeout; e = c.idle.Front() {
		c.closeIdle(e, now)
	}
	c.scheduleCheck()
}

// closeIdle makes the server close an idle connection: its read fails. A request of which the
// server has already read a byte is still served. The connection stays in the list, to be closed
// again should the server not have started that read. It must be called with mu held.
func (c *callerConnections) closeIdle(e *list.Element, now time.Time) {
	i := e.Value.(*idleCaller)
	_ = i.conn.SetReadDeadline(now) // fails only if the connection is closed
	i.since = now
	if !i.closing {
		i.closing = true
		c.closing++
	}
	c.idle.MoveToBack(e)
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
	n := 0
	c.mu.Lock()
	defer func() {
		c.mu.Unlock()
		if n > 0 {
			c.evicted(n)
		}
	}()
	now := time.Now()
	for e := c.idle.Front(); e != nil && c.account.excess() > c.closing*callerConnectionCost; e = c.idle.Front() {
		if now.Sub(e.Value.(*idleCaller).since) < evictionDelay {
			c.scheduleEviction()
			return
		}
		c.closeIdle(e, now)
		n++
	}
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
