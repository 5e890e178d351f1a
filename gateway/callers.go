package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultCallerIdleTimeout applies where the configuration states none.
	defaultCallerIdleTimeout = 2 * time.Minute
	// maxIdleCheckDelay is the longest time between two checks for idle connections, so that a
	// shorter timeout in a new configuration takes effect.
	maxIdleCheckDelay = time.Second
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
}

// idleCaller is a connection of a caller that carries no request.
type idleCaller struct {
	conn  net.Conn
	since time.Time
}

func newCallerConnections(timeout func() time.Duration) *callerConnections {
	return &callerConnections{timeout: timeout, open: make(map[net.Conn]*list.Element), idle: list.New()}
}

// observe is the server's ConnState hook.
func (c *callerConnections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = nil
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(&idleCaller{conn: conn, since: time.Now()})
		c.scheduleCheck()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
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
	c.idle.MoveToBack(e)
}
