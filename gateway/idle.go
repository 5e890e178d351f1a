package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleKept is the number of idle connections to agents that a gateway keeps open. Both
	// ends probe an open one, which costs 90 to 113 bytes/s: 2,200 would exceed the
	// 10 KB/s of a node many times.
	idleKept = 16
	// idleAge and idleSweep together are as long as link.ProbeInterval, so that connections
	// are closed before their first probe. Without an age, a sweep under full load would
	// close connections between two requests.
	idleAge   = 400 * time.Millisecond
	idleSweep = 100 * time.Millisecond
)

// idleLinks closes the connections to agents that have carried no request for idleAge,
// except for the idleKept that were used last. A connection that carries a request is never closed.
type idleLinks struct {
	peers  *sync.Map // address -> *peer
	opened time.Time
	armed  atomic.Bool
}

func newIdleLinks(peers *sync.Map) *idleLinks {
	return &idleLinks{peers: peers, opened: time.Now()}
}

// use is the requests that a peer's connection carries, and when it carried the last.
type use struct {
	links   *idleLinks
	carried atomic.Int32
	last    atomic.Int64 // time.Duration since links.opened; 0 when there is nothing to close
}

// begin counts a request.
func (u *use) begin() { u.carried.Add(1) }

// end uncounts a request whose answer was read or given up.
func (u *use) end() {
	u.last.Store(max(int64(time.Since(u.links.opened)), 1))
	u.carried.Add(-1)
	u.links.arm()
}

// arm makes a sweep follow soon. Requests share no lock here, and write to shared memory
// only when no sweep is due.
func (l *idleLinks) arm() {
	if !l.armed.Load() && l.armed.CompareAndSwap(false, true) {
		time.AfterFunc(idleSweep, l.sweep)
	}
}

func (l *idleLinks) sweep() {
	l.armed.Store(false)
	type idle struct {
		*peer
		last int64
	}
	var found []idle
	l.peers.Range(func(_, value any) bool {
		p := value.(*peer)
		if last := p.use.last.Load(); last > 0 && p.use.carried.Load() == 0 {
			found = append(found, idle{p, last})
		}
		return true
	})
	if len(found) <= idleKept {
		return
	}
	slices.SortFunc(found, func(a, b idle) int { return cmp.Compare(b.last, a.last) })
	now := time.Since(l.opened)
	for _, p := range found[idleKept:] {
		switch {
		case now-time.Duration(p.last) < idleAge:
			l.arm()
		case p.use.last.CompareAndSwap(p.last, 0):
			// Else a request has ended meanwhile and made another sweep follow.
			p.close()
		}
	}
}
