package scenario

import (
	"slices"
	"time"
)

// naiveAttempts bounds the attempts of a naive gateway per call.
const naiveAttempts = 4

// naive is round robin with one first-in-first-out list, no limits and a retry on
// any error. Engines admit at once, so its list is never longer than one call.
type naive struct {
	w    *world
	next int
	gate []map[*attempt]bool
	down []bool
	open []map[*attempt]bool
}

// attempt is one try of a call at one engine.
type attempt struct {
	call    *call
	gateway int
	engine  int
	number  int
	run     *run
	over    bool
}

func newNaive(w *world) *naive {
	n := &naive{w: w, down: make([]bool, w.gates)}
	w.system = n
	for range w.gates {
		n.gate = append(n.gate, map[*attempt]bool{})
	}
	for range w.engines {
		n.open = append(n.open, map[*attempt]bool{})
	}
	return n
}

func (n *naive) arrive(c *call, gateway int) {
	for n.down[gateway] {
		gateway = (gateway + 1) % len(n.down)
	}
	n.try(c, gateway, 1)
	n.w.clock.after(c.deadline.Sub(n.w.clock.now), func() { n.w.lose(c, lostToDeadline) })
}

func (n *naive) try(c *call, gateway, number int) {
	if c.settled {
		return
	}
	a := &attempt{call: c, gateway: gateway, engine: n.next % len(n.w.engines), number: number}
	n.next++
	n.gate[gateway][a] = true
	n.open[a.engine][a] = true
	c.onSettle = func() { n.stop(a) }
	if n.w.rng.Float64() < n.w.loseRequest {
		n.w.clock.after(silence, func() { n.failed(a) })
		return
	}
	n.w.clock.after(netDelay, func() { n.start(a) })
}

func (n *naive) start(a *attempt) {
	if a.over {
		return
	}
	a.run = n.w.engines[a.engine].submit(a.call,
		func() { a.call.firstAt = n.w.clock.now },
		func(ok bool) {
			if a.over {
				return
			}
			if ok {
				n.w.finish(a.call)
				return
			}
			n.failed(a)
		})
	if a.run == nil {
		n.failed(a)
		return
	}
	if n.w.rng.Float64() < n.w.loseReply {
		n.w.clock.after(silence, func() { n.failed(a) })
		n.drop(a)
	}
}

// drop forgets an attempt whose answer will not be seen; the engine goes on.
func (n *naive) drop(a *attempt) {
	a.over = true
	delete(n.gate[a.gateway], a)
	delete(n.open[a.engine], a)
	a.call.onSettle = nil
}

func (n *naive) stop(a *attempt) {
	n.drop(a)
	if a.run != nil {
		n.w.engines[a.engine].cancel(a.run)
	}
}

func (n *naive) failed(a *attempt) {
	n.drop(a)
	if a.number >= naiveAttempts {
		n.w.lose(a.call, lostToErrors)
		return
	}
	n.try(a.call, a.gateway, a.number+1)
}

func (n *naive) killGateway(i int) {
	n.down[i] = true
	for _, a := range sortedAttempts(n.gate[i]) {
		n.stop(a)
		n.w.again(a.call, i)
	}
}

// killAgent breaks the connections through the agent; the engine goes on.
func (n *naive) killAgent(i int) {
	for _, a := range sortedAttempts(n.open[i]) {
		n.drop(a)
		n.w.clock.after(netDelay, func() { n.failed(a) })
	}
}

func (n *naive) restartEngine(i int) { n.w.engines[i].restart() }

func (n *naive) lowestWaiting() int { return -1 }

// retryDelay is the time after which a caller with a broken connection calls again.
const retryDelay = 100 * time.Millisecond

func sortedAttempts(open map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(open))
	for a := range open {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return a.call.id - b.call.id })
	return out
}
