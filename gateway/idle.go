package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdleLinks is the number of idle connections to agents that a gateway keeps open. Both
	// ends probe an open connection, at 90 to 113 bytes/s: 2,200 of them would exceed the 10
	// KB/s allowed for a node many times over.
	maxIdleLinks = 16
	// minIdleAge and idleSweepDelay add up to link.ProbeInterval, so that connections are
	// closed before their first probe. Without a minimum age, a sweep under full load would
	// close connections between two requests.
	minIdleAge     = 400 * time.Millisecond
	idleSweepDelay = 100 * time.Millisecond
)

// idleLinks closes the connections to agents that have carried no request for minIdleAge,
// except for the maxIdleLinks most recently used. A connection that carries a request is never
// closed.
type idleLinks struct {
	peers          *sync.Map // address -> *peer
	epoch          time.Time
	sweepScheduled atomic.Bool
}

func newIdleLinks(peers *sync.Map) *idleLinks {
	return &idleLinks{peers: peers, epoch: time.Now()}
}

// connectionUse counts the requests in flight on a peer's connection and records when the last
// one ended.
type connectionUse struct {
	links    *idleLinks
	inFlight atomic.Int32
	lastUsed atomic.Int64 // time.Duration since links.opened; 0 when there is nothing to close
}

// begin counts a request as in flight.
func (u *connectionUse) begin() { u.inFlight.Add(1) }

// end counts out a request whose answer was read or abandoned.
func (u *connectionUse) end() {
	u.lastUsed.Store(max(int64(time.Since(u.links.epoch)), 1))
	u.inFlight.Add(-1)
	u.links.scheduleSweep()
}

// scheduleSweep schedules a sweep unless one is due already. Requests share no lock here, and
// write to shared memory only when no sweep is due.
func (l *idleLinks) scheduleSweep() {
	if !l.sweepScheduled.Load() && l.sweepScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(idleSweepDelay, l.sweep)
	}
}

func (l *idleLinks) sweep() {
	l.sweepScheduled.Store(false)
	type idle struct {
		*peer
		last int64
	}
	var found []idle
	l.peers.Range(func(_, value any) bool {
		p := value.(*peer)
		if last := p.use.lastUsed.Load(); last > 0 && p.use.inFlight.Load() == 0 {
			found = append(found, idle{p, last})
		}
		return true
	})
	if len(found) <= maxIdleLinks {
		return
	}
	slices.SortFunc(found, func(a, b idle) int { return cmp.Compare(b.last, a.last) })
	now := time.Since(l.epoch)
	for _, p := range found[maxIdleLinks:] {
		switch {
		case now-time.Duration(p.last) < minIdleAge:
			l.scheduleSweep()
		case p.use.lastUsed.CompareAndSwap(p.last, 0):
			// Otherwise a request has ended in the meantime and scheduled another sweep.
			p.close()
		}
	}
}
