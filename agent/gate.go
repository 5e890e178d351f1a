package agent

import (
	"slices"
	"sync"

	"toucantiller.dev/account"
	"toucantiller.dev/dispatch"
)

// Bounds of the first version of the gate.
const (
	fixedLimit  = 8
	queueLength = 256
)

// waiter is one queued dispatch. Exactly one value arrives on turn: the empty code
// grants the dispatch a place, another code refuses it.
type waiter struct {
	tier account.Tier
	turn chan dispatch.Code
}

// gate bounds the requests in the engine and queues the rest by tier.
type gate struct {
	mu      sync.Mutex
	running int
	queue   []*waiter
}

func newGate() *gate { return &gate{} }

// enter queues a dispatch. When the queue is full, the lowest tier is refused first
// and the latest arrival within it.
func (g *gate) enter(tier account.Tier) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{tier: tier, turn: make(chan dispatch.Code, 1)}
	at, _ := slices.BinarySearchFunc(g.queue, tier, func(q *waiter, t account.Tier) int {
		if q.tier <= t {
			return -1
		}
		return 1
	})
	g.queue = slices.Insert(g.queue, at, w)
	if len(g.queue) > queueLength {
		last := g.queue[len(g.queue)-1]
		g.queue = g.queue[:len(g.queue)-1]
		last.turn <- dispatch.CodeQueueFull
	}
	g.grant()
	return w
}

// leave withdraws a waiter; it returns false when its turn has already come.
func (g *gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// release returns a place.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.grant()
}

func (g *gate) grant() {
	for g.running < fixedLimit && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		w.turn <- ""
	}
}

func (g *gate) evictAll(code dispatch.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.queue {
		w.turn <- code
	}
	g.queue = nil
}

func (g *gate) load() (running, queued, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue), fixedLimit
}
