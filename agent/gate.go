package agent

import (
	"sync"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/limit"
)

const (
	// queueLength bounds the dispatches that wait in front of the engine.
	queueLength = 256
	// gateInterval is the time between checks for overdue calls and expired waiters.
	gateInterval = 50 * time.Millisecond
)

// waiter is one dispatch at the gate. Exactly one value arrives on turn: the empty
// refusal grants the dispatch a place.
type waiter struct {
	gate   *gate
	item   admission.Item
	prompt int
	tokens int
	turn   chan refusal

	// The fields below belong to the gate's lock.
	ticket  limit.Ticket
	placed  bool
	granted time.Time
	first   time.Time
	// beside is the number of dispatches in the engine when this one was placed, itself
	// included.
	beside int
}

// outcome is how a dispatch ended at the engine.
type outcome struct {
	answerTokens int
	failed       bool
	// cancelled: the caller left or its deadline passed.
	cancelled bool
	// gone: the engine could not be reached; when it is back it is cold.
	gone bool
}

// gate bounds the requests in the engine by an adaptive limit and queues the rest by
// tier.
type gate struct {
	mu       sync.Mutex
	queue    *admission.Queue
	limiter  *limit.Limiter
	config   *contract.Config
	running  int
	tokens   int
	closed   bool
	timer    *time.Timer
	timerSet bool
	// engine is what gateways say of the endpoint, the zero value where the agent serves
	// one that does not announce itself.
	engine dispatch.Engine
	pace   pace
	paces  Pace
	// started is when the agent started.
	started  time.Time
	watchers map[*watcher]struct{}
	offers   offers
	// offerTimer ends holds that were not used.
	offerTimer *time.Timer
}

// watch adds a gateway that follows the load.
func (g *gate) watch(gateway instance.Incarnation) (w *watcher, stop func()) {
	w = &watcher{gateway: gateway, changed: make(chan struct{}, 1), counted: make(chan struct{}, 1), offered: make(chan struct{}, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watchers == nil {
		g.watchers = make(map[*watcher]struct{})
	}
	g.watchers[w] = struct{}{}
	return w, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.watchers, w)
	}
}

// changed tells the watchers: soon where a gateway gains or loses its room here, and later
// where only a count has changed. It must be called with mu held.
func (g *gate) changed() {
	now := time.Now()
	for w := range g.watchers {
		if g.room(w.gateway, now) != w.room {
			signal(w.changed)
		} else {
			signal(w.counted)
		}
	}
}

// room reports whether a gateway may send a request now. It must be called with mu held.
func (g *gate) room(gateway instance.Incarnation, now time.Time) bool {
	held, own := g.offers.held(gateway, now)
	return g.running+held-own < g.limiter.Limit() && g.pace.wait(now) == 0
}

// reportTo returns the load report for a watcher.
func (g *gate) reportTo(w *watcher, now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.room = g.room(w.gateway, now)
	return g.reportFor(w.gateway, now)
}

// want takes in what waits at a gateway.
func (g *gate) want(gateway instance.Incarnation, waiting dispatch.Waiting, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offers.want(gateway, waiting, now)
	g.offerSlots(now)
}

// offerSlots keeps free slots for gateways that wait. It must be called with mu held.
func (g *gate) offerSlots(now time.Time) {
	if g.engine.Slots == 0 || g.closed {
		return
	}
	next := g.offers.expire(now)
	for {
		held, _ := g.offers.held(0, now)
		free := g.engine.Slots - g.running - held
		if free <= 0 || g.pace.wait(now) > 0 {
			break
		}
		gateway, ok := g.offers.offer(free, now)
		if !ok {
			break
		}
		next = now.Add(holdTime)
		for w := range g.watchers {
			if w.gateway == gateway {
				signal(w.offered)
			}
		}
	}
	if !next.IsZero() {
		g.offerTimer.Reset(next.Sub(now) + time.Millisecond)
	}
}

// endHolds offers slots anew after a hold was not used.
func (g *gate) endHolds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offerSlots(time.Now())
	g.changed()
}

// declare takes over what a gateway says of the endpoint and reports whether another
// endpoint is meant than before.
func (g *gate) declare(e dispatch.Engine) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.engine == e {
		return false
	}
	changed = g.engine.ID != e.ID
	if changed {
		// The starts of the last second stay: gateways learn of a new endpoint one after the
		// other, and those that mean the old one would make them forgotten again and again.
		g.limiter.Restart()
	}
	g.engine = e
	g.limiter.Declare(e.Slots)
	g.pace.limit(g.paces.bound(e.ColdRate, e.Cold), g.started)
	return changed
}

func newGate(paces Pace) *gate {
	g := &gate{paces: paces, queue: admission.NewQueue(admission.QueueOptions{Capacity: queueLength}), limiter: limit.New(limit.Options{}), started: time.Now()}
	g.timer = time.AfterFunc(gateInterval, g.check)
	g.timer.Stop()
	g.offerTimer = time.AfterFunc(holdTime, g.endHolds)
	g.offerTimer.Stop()
	return g
}

// configure takes the bounds of the tiers from the configuration.
func (g *gate) configure(c *contract.Config) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == c {
		return
	}
	g.config = c
	g.queue.SetOptions(admission.QueueOptions{Capacity: queueLength, MaxQueueTime: maxQueueTimes(c), Tiers: len(c.Tiers)})
}

func maxQueueTimes(c *contract.Config) []time.Duration {
	out := make([]time.Duration, len(c.Tiers))
	for i, t := range c.Tiers {
		out[i] = t.MaxQueueTime
	}
	return out
}

// enter grants the dispatch a place, queues it or refuses it.
func (g *gate) enter(h *dispatch.Header, now time.Time) *waiter {
	w := &waiter{gate: g, prompt: h.PromptTokens, tokens: h.PromptTokens + h.AnswerTokens, turn: make(chan refusal, 1)}
	w.item = admission.Item{Tier: h.Tier, Account: h.Account, Cost: w.tokens, Deadline: now.Add(h.Timeout), Value: w}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		w.turn <- refusal{code: dispatch.CodeDraining}
		return w
	}
	if g.engine.Slots > 0 {
		g.enterExact(w, h, now)
		return w
	}
	w.item.LeastTime = g.limiter.LeastTime(h.PromptTokens, h.AnswerTokens, g.queue.Len())
	evicted, refused := g.queue.Push(&w.item, now)
	g.refuse(evicted)
	if refused != nil {
		w.turn <- asRefusal(refused)
		return w
	}
	g.grant(now)
	return w
}

// enterExact places a waiter at once or refuses it, where the slots are known: gateways see
// a free slot within milliseconds, and what waits here could not go to the endpoint that
// has room first. It must be called with mu held.
func (g *gate) enterExact(w *waiter, h *dispatch.Header, now time.Time) {
	g.offers.want(h.ID.Gateway, h.Waiting, now)
	offered := g.offers.take(h.ID.Gateway, now)
	held, _ := g.offers.held(0, now)
	if (offered || g.running+held+h.Reserve < g.engine.Slots) && g.allows(w, now) {
		g.place(w, now)
		return
	}
	// The request goes back to its gateway's queue.
	waiting := h.Waiting
	waiting.Requests++
	g.offers.want(h.ID.Gateway, waiting, now)
	w.turn <- refusal{code: dispatch.CodeQueueFull, retryAfter: admission.MinRetryAfter}
}

// leave withdraws a waiter; it returns false when its turn has already come.
func (g *gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(&w.item)
}

// release returns the waiter's place, when it still has one.
func (g *gate) release(w *waiter) {
	w.ended(outcome{cancelled: true})
}

// grant gives places to waiters while the limit allows. It must be called with mu held.
func (g *gate) grant(now time.Time) {
	for {
		head, dropped := g.queue.Peek(now)
		g.refuse(dropped)
		if head == nil {
			break
		}
		w := head.Value.(*waiter)
		if !g.allows(w, now) {
			break
		}
		_, _ = g.queue.Pop(now)
		g.place(w, now)
	}
	g.arm()
}

// allows reports whether the engine bears another dispatch now.
func (g *gate) allows(w *waiter, now time.Time) bool {
	if g.engine.Slots > 0 && g.running >= g.engine.Slots {
		return false
	}
	if g.engine.Slots == 0 && !g.limiter.Allows(w.prompt) {
		return false
	}
	if wait := g.pace.wait(now); wait > 0 {
		g.timerSet = true
		g.timer.Reset(wait)
		g.changed()
		return false
	}
	return true
}

func (g *gate) place(w *waiter, now time.Time) {
	g.pace.take(now)
	w.ticket = g.limiter.Start(now, w.prompt)
	w.placed = true
	w.granted = now
	g.running++
	w.beside = g.running
	g.tokens += w.tokens
	g.changed()
	w.turn <- refusal{}
}

func (g *gate) refuse(dropped []admission.Dropped) {
	for _, d := range dropped {
		d.Item.Value.(*waiter).turn <- asRefusal(d.Refusal)
	}
}

func asRefusal(r *admission.Refusal) refusal {
	code := dispatch.Code(r.Reason)
	if r.Reason == admission.ReasonHandedBack {
		code = dispatch.CodeDraining
	}
	return refusal{code: code, retryAfter: r.RetryAfter}
}

// firstByte records that the answer has begun.
func (w *waiter) firstByte(now time.Time) {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.first = now
	w.gate.limiter.FirstToken(w.ticket, now)
}

// ended records the outcome at the engine and returns the place. Later calls do nothing.
func (w *waiter) ended(o outcome) {
	g := w.gate
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.placed {
		return
	}
	w.placed = false
	defer g.changed()
	g.running--
	g.tokens -= w.tokens
	s := w.sample(o, now)
	if o.cancelled {
		g.limiter.Cancel(w.ticket, s, now)
	} else {
		g.limiter.Finish(w.ticket, s, now)
	}
	if o.gone {
		g.limiter.Restart()
	}
	g.grant(now)
	g.offerSlots(now)
}

func (w *waiter) sample(o outcome, now time.Time) limit.Sample {
	s := limit.Sample{Total: now.Sub(w.granted), PromptTokens: w.prompt, AnswerTokens: o.answerTokens, Failed: o.failed}
	if !w.first.IsZero() {
		s.FirstToken = w.first.Sub(w.granted)
	}
	return s
}

// raiseFloor refuses and evicts work below the tier.
func (g *gate) raiseFloor(r dispatch.FloorRequest, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RaiseFloor(r.Tier, now)
	g.refuse(g.queue.Expire(now))
	g.arm()
}

// close hands all queued work back and refuses what comes later.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.refuse(g.queue.HandBack())
}

// arm makes sure that check runs while there is something to check.
func (g *gate) arm() {
	if !g.timerSet && (g.running > 0 || g.queue.Len() > 0) {
		g.timerSet = true
		g.timer.Reset(gateInterval)
	}
}

// check expires waiters and lets calls that take too long lower the limit.
func (g *gate) check() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerSet = false
	g.limiter.Waiting(now)
	g.refuse(g.queue.Expire(now))
	g.grant(now)
	g.offerSlots(now)
	g.changed()
}

// loadFor returns the load report for one gateway. Slots that are kept for others are taken.
func (g *gate) loadFor(gateway instance.Incarnation, now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reportFor(gateway, now)
}

// reportFor is loadFor with mu held.
func (g *gate) reportFor(gateway instance.Incarnation, now time.Time) endpoint.Load {
	l := g.report(now)
	all, own := g.offers.held(gateway, now)
	l.Running += all - own
	return l
}

// load returns the load report of the gate, without what is kept for gateways.
func (g *gate) load(now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report(now)
}

// report returns the load. It must be called with mu held.
func (g *gate) report(now time.Time) endpoint.Load {
	prefill, decode := g.limiter.Rates()
	return endpoint.Load{
		Limit: g.limiter.Limit(), Exact: g.engine.Slots > 0, Full: g.pace.wait(now) > 0, Cold: g.limiter.Cold(),
		Running: g.running, RunningTokens: g.tokens,
		Queued: g.queue.Len(), QueuedTokens: g.queue.Tokens(),
		PrefillRate: prefill, DecodeRate: decode, SpeedAge: g.limiter.SpeedAge(now),
		Floor: g.queue.Floor(now),
	}
}
