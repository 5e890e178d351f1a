// Package intake accounts for what clients send before it is a request: the connections that they
// open, and the bytes of heads and messages that are not complete. It bounds both for each process
// and takes what is short from the connections that make the least progress.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	// memoryShare is the part of a process's memory limit that heads and messages may hold.
	memoryShare = 0.125
	// defaultMemory is what they may hold without a limit, in bytes.
	defaultMemory = 64 << 20
	// sweepDelay is the time between two looks for heads that take too long.
	sweepDelay = 250 * time.Millisecond
)

// Account bounds what the clients of one process may take. It has nothing to do with client accounts
// (package account). It is safe for concurrent use.
type Account struct {
	memory      int64
	descriptors int
	epoch       time.Time
	held        atomic.Int64
	report      report

	sweepScheduled atomic.Bool
	// relieving is held while a connection is chosen, so that one shortage closes one connection.
	relieving sync.Mutex

	mu        sync.Mutex
	listeners []*Listener
}

// New returns the account of a process with a limit on its memory in bytes and on its descriptors;
// 0 means no limit.
func New(memoryLimit int64, descriptors int, logger log.Logger) *Account {
	a := &Account{memory: defaultMemory, descriptors: descriptors, epoch: time.Now()}
	if memoryLimit > 0 {
		a.memory = int64(memoryShare * float64(memoryLimit))
	}
	a.report.logger = logger
	return a
}

// now returns the nanoseconds since the epoch.
func (a *Account) now() int64 { return int64(time.Since(a.epoch)) }

func (a *Account) add(l *Listener) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, l)
}

// connections returns the open connections of all listeners.
func (a *Account) connections() []*Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Conn
	for _, l := range a.listeners {
		out = append(out, l.connections()...)
	}
	return out
}

// hold waits until n more bytes can be held for a connection. What is larger than the account is
// held alone. It returns false once the connection is closed.
func (a *Account) hold(c *Conn, n int64) bool {
	defer c.endWait()
	for !a.tryHold(c, n) {
		c.waiting.Store(true)
		if c.closed.Load() {
			return false
		}
		if !a.relieve(a.holders(), reasonMemory) {
			time.Sleep(retryDelay)
		}
	}
	if c.closed.Load() {
		c.release()
		return false
	}
	return true
}

// endWait lets a connection make progress again.
func (c *Conn) endWait() {
	if c.waiting.Load() {
		c.progress.Store(c.account().now())
		c.waiting.Store(false)
	}
}

func (a *Account) tryHold(c *Conn, n int64) bool {
	for {
		held := a.held.Load()
		if held+n > a.memory && held > c.held.Load() {
			return false
		}
		if a.held.CompareAndSwap(held, held+n) {
			c.held.Add(n)
			return true
		}
	}
}

func (a *Account) release(n int64) { a.held.Add(-n) }

// holders returns the connections for which bytes are held.
func (a *Account) holders() []*Conn {
	var out []*Conn
	for _, c := range a.connections() {
		if c.held.Load() > 0 {
			out = append(out, c)
		}
	}
	return out
}

// relieve closes the connection that makes the least progress. It returns false if each makes some.
func (a *Account) relieve(connections []*Conn, why reason) bool {
	a.relieving.Lock()
	defer a.relieving.Unlock()
	now := a.now()
	open := connections[:0]
	var snapshots []Snapshot
	for _, c := range connections {
		if !c.closed.Load() {
			open, snapshots = append(open, c), append(snapshots, c.snapshot(now))
		}
	}
	i := Choose(snapshots)
	if i < 0 {
		return false
	}
	a.closing(open[i].listener, why)
	_ = open[i].Close()
	return true
}

// scheduleSweep schedules a sweep, unless one is scheduled.
func (a *Account) scheduleSweep() {
	if !a.sweepScheduled.Load() && a.sweepScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(sweepDelay, a.sweep)
	}
}

// sweep closes the connections whose heads take too long.
func (a *Account) sweep() {
	a.sweepScheduled.Store(false)
	now, open := a.now(), a.connections()
	for _, c := range open {
		limit := c.listener.opt.headTimeout()
		if s := c.snapshot(now); limit > 0 && s.Phase == PhaseHead && !s.Waiting && s.Age > limit {
			a.closing(c.listener, reasonHeadTime)
			_ = c.Close()
		}
	}
	if len(open) > 0 {
		a.scheduleSweep()
	}
}
