package agent

import (
	"sync"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/capacity"
	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/limit"
)

const (
	// maxQueueLength bounds the number of dispatches queued in front of the engine.
	maxQueueLength = 256
	// checkInterval is the time between checks for overdue calls and expired waiters.
	checkInterval = 50 * time.Millisecond
)

// waiter is one dispatch at the gate. Exactly one value is sent on decision: an empty refusal
// grants the dispatch a slot.
type waiter struct {
	gate     *gate
	item     admission.Item
	prompt   int
	tokens   int
	decision chan refusal

	// The fields below are guarded by gate.mu.
	ticket  limit.Ticket
	running bool
	granted time.Time
	first   time.Time
	// runningAtStart is the number of dispatches in the engine when this one started, itself
	// included.
	runningAtStart int
}

// outcome describes how a dispatch ended at the engine.
type outcome struct {
	answerTokens int
	failed       bool
	// cancelled is set when the caller left or its deadline passed.
	cancelled bool
	// unreachable is set when the engine could not be reached; it is assumed to be cold when it
	// returns.
	unreachable bool
}

// gate bounds the number of requests in the engine by an adaptive limit and queues the rest
// by tier.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	limiter *limit.Limiter
	// slowdown is what the endpoint says of its machine.
	slowdown capacity.Slowdown
	config   *contract.Config
	running  int
	tokens   int
	closed   bool
	timer    *time.Timer
	timerSet bool
	// engine is the description of the endpoint that gateways send; the zero value when the
	// endpoint does not announce itself.
	engine      dispatch.Engine
	pace        pace
	paceOptions Pace
	// started is the time at which the agent started.
	started  time.Time
	watchers map[*watcher]struct{}
	offers   offers
	// offerTimer fires when the next unused hold expires.
	offerTimer *time.Timer
}

// watch registers a gateway that follows the load.
func (g *gate) watch(gateway instance.Incarnation) (w *watcher, stop func()) {
	w = &watcher{gateway: gateway, roomChanged: make(chan struct{}, 1), loadChanged: make(chan struct{}, 1), slotOffered: make(chan struct{}, 1)}
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

// notifyWatchers signals each watcher: roomChanged if its gateway gained or lost the
// possibility to send a request, otherwise loadChanged, which is reported with a longer
// delay. It must be called with mu held.
func (g *gate) notifyWatchers() {
	now := time.Now()
	for w := range g.watchers {
		if g.hasRoom(w.gateway, now) != w.reportedRoom {
			signal(w.roomChanged)
		} else {
			signal(w.loadChanged)
		}
	}
}

// hasRoom reports whether a gateway may send a request now. It must be called with mu held.
func (g *gate) hasRoom(gateway instance.Incarnation, now time.Time) bool {
	held, own := g.offers.held(gateway, now)
	return g.running+held-own < g.limiter.Limit() && g.pace.wait(now) == 0
}

// loadReportTo returns the load report for a watcher.
func (g *gate) loadReportTo(w *watcher, now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.reportedRoom = g.hasRoom(w.gateway, now)
	return g.loadReportFor(w.gateway, now)
}

// recordWaiting records the requests waiting at a gateway and offers free slots.
func (g *gate) recordWaiting(gateway instance.Incarnation, waiting dispatch.Waiting, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offers.recordWaiting(gateway, waiting, now)
	g.offerSlots(now)
}

// offerSlots holds free slots for gateways with waiting requests. It must be called with mu
// held.
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
		next = now.Add(holdTimeout)
		for w := range g.watchers {
			if w.gateway == gateway {
				signal(w.slotOffered)
			}
		}
	}
	if !next.IsZero() {
		g.offerTimer.Reset(next.Sub(now) + time.Millisecond)
	}
}

// expireHolds offers slots again after a hold expired unused.
func (g *gate) expireHolds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offerSlots(time.Now())
	g.notifyWatchers()
}

// declare stores the description of the endpoint that a gateway sent and reports whether its
// endpoint ID differs from the previous one.
func (g *gate) declare(e dispatch.Engine) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.engine == e {
		return false
	}
	changed = g.engine.ID != e.ID
	if changed {
		// The starts of the last second are kept. Gateways learn of a new endpoint one after
		// another, so the ID alternates between old and new for a while, and each change would
		// otherwise clear the starts.
		g.limiter.Restart()
		g.slowdown = capacity.Slowdown{}
	}
	g.engine = e
	g.limiter.SetDeclaredLimit(e.Slots)
	g.pace.setBound(g.paceOptions.startsPerWindow(e.ColdRate, e.Cold), g.started)
	return changed
}

func newGate(paces Pace) *gate {
	g := &gate{paceOptions: paces, queue: admission.NewQueue(admission.QueueOptions{Capacity: maxQueueLength}), limiter: limit.New(limit.Options{}), started: time.Now()}
	g.timer = time.AfterFunc(checkInterval, g.checkWaiting)
	g.timer.Stop()
	g.offerTimer = time.AfterFunc(holdTimeout, g.expireHolds)
	g.offerTimer.Stop()
	return g
}

// configure applies the queue time bounds of the tiers from the configuration.
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
	g.queue.SetOptions(admission.QueueOptions{Capacity: maxQueueLength, MaxQueueTime: maxQueueTimes(c), Tiers: len(c.Tiers)})
}

func maxQueueTimes(c *contract.Config) []time.Duration {
	out := make([]time.Duration, len(c.Tiers))
	for i, t := range c.Tiers {
		out[i] = t.MaxQueueTime
	}
	return out
}

// acquire grants the dispatch a slot, queues it or refuses it.
func (g *gate) acquire(h *dispatch.Header, now time.Time) *waiter {
	w := &waiter{gate: g, prompt: h.PromptTokens, tokens: h.PromptTokens + h.AnswerTokens, decision: make(chan refusal, 1)}
	w.item = admission.Item{Tier: h.Tier, Account: h.Account, Cost: w.tokens, Deadline: now.Add(h.Timeout), Value: w}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		w.decision <- refusal{code: dispatch.CodeDraining}
		return w
	}
	if g.engine.Slots > 0 {
		g.acquireExact(w, h, now)
		return w
	}
	w.item.MinServiceTime = g.limiter.RequiredTime(h.PromptTokens, h.AnswerTokens, g.queue.Len())
	evicted, refused := g.queue.Push(&w.item, now)
	g.refuseDropped(evicted)
	if refused != nil {
		w.decision <- newRefusal(refused)
		return w
	}
	g.grantWaiting(now)
	return w
}

// acquireExact grants a slot at once or refuses, for endpoints whose number of slots is known.
// It does not queue: gateways learn of a free slot within milliseconds, and a dispatch queued
// here could not move to another endpoint that has room earlier. It must be called with mu
// held.
func (g *gate) acquireExact(w *waiter, h *dispatch.Header, now time.Time) {
	g.offers.recordWaiting(h.ID.Gateway, h.Waiting, now)
	offered := g.offers.takeHold(h.ID.Gateway, now)
	held, _ := g.offers.held(0, now)
	if (offered || g.running+held+h.Reserve < g.engine.Slots) && g.canStart(w, now) {
		g.start(w, now)
		return
	}
	// The refused request returns to its gateway's queue, so it is counted as waiting.
	waiting := h.Waiting
	waiting.Requests++
	g.offers.recordWaiting(h.ID.Gateway, waiting, now)
	w.decision <- refusal{code: dispatch.CodeQueueFull, retryAfter: admission.MinRetryAfter}
}

// withdraw removes a waiter from the queue; it returns false when its decision has already
// been sent.
func (g *gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(&w.item)
}

// release frees the waiter's slot if it still holds one.
func (g *gate) release(w *waiter) {
	w.finish(outcome{cancelled: true})
}

// grantWaiting starts queued waiters while the limit allows. It must be called with mu held.
func (g *gate) grantWaiting(now time.Time) {
	for {
		head, dropped := g.queue.Peek(now)
		g.refuseDropped(dropped)
		if head == nil {
			break
		}
		w := head.Value.(*waiter)
		if !g.canStart(w, now) {
			break
		}
		_, _ = g.queue.Pop(now)
		g.start(w, now)
	}
	g.armTimer()
}

// canStart reports whether the engine can take another dispatch now.
func (g *gate) canStart(w *waiter, now time.Time) bool {
	if g.engine.Slots > 0 && g.running >= g.engine.Slots {
		return false
	}
	if g.engine.Slots == 0 && !g.limiter.Allows(w.prompt) {
		return false
	}
	if wait := g.pace.wait(now); wait > 0 {
		g.timerSet = true
		g.timer.Reset(wait)
		g.notifyWatchers()
		return false
	}
	return true
}

func (g *gate) start(w *waiter, now time.Time) {
	g.pace.recordStart(now)
	w.ticket = g.limiter.Start(now, w.prompt)
	w.running = true
	w.granted = now
	g.running++
	w.runningAtStart = g.running
	g.tokens += w.tokens
	g.notifyWatchers()
	w.decision <- refusal{}
}

func (g *gate) refuseDropped(dropped []admission.Dropped) {
	for _, d := range dropped {
		d.Item.Value.(*waiter).decision <- newRefusal(d.Refusal)
	}
}

func newRefusal(r *admission.Refusal) refusal {
	code := dispatch.Code(r.Reason)
	if r.Reason == admission.ReasonHandedBack {
		code = dispatch.CodeDraining
	}
	return refusal{code: code, retryAfter: r.RetryAfter}
}

// recordFirstByte records that the answer has begun.
func (w *waiter) recordFirstByte(now time.Time) {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.first = now
	w.gate.limiter.FirstToken(w.ticket, now)
}

// recordSelfReport records what the endpoint said of its machine with the start of an answer.
func (w *waiter) recordSelfReport(r endpoint.SelfReport, now time.Time) {
	if r.Slowdown <= 0 {
		return
	}
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.gate.slowdown.Observe(r.Slowdown, now)
}

// finish records the outcome at the engine and frees the slot. Later calls do nothing.
func (w *waiter) finish(o outcome) {
	g := w.gate
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.running {
		return
	}
	w.running = false
	defer g.notifyWatchers()
	g.running--
	g.tokens -= w.tokens
	s := w.limitSample(o, now)
	if o.cancelled {
		g.limiter.Cancel(w.ticket, s, now)
	} else {
		g.limiter.Finish(w.ticket, s, now)
	}
	if o.unreachable {
		g.limiter.Restart()
	}
	g.grantWaiting(now)
	g.offerSlots(now)
}

func (w *waiter) limitSample(o outcome, now time.Time) limit.Sample {
	s := limit.Sample{Total: now.Sub(w.granted), PromptTokens: w.prompt, AnswerTokens: o.answerTokens, Failed: o.failed}
	if !w.first.IsZero() {
		s.FirstToken = w.first.Sub(w.granted)
	}
	return s
}

// raiseFloor sets the admission floor and evicts queued dispatches below it.
func (g *gate) raiseFloor(r dispatch.FloorRequest, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RaiseFloor(r.Tier, now)
	g.refuseDropped(g.queue.Expire(now))
	g.armTimer()
}

// close hands all queued dispatches back and refuses later ones.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.refuseDropped(g.queue.HandBack())
}

// armTimer schedules checkWaiting while there are running or queued dispatches.
func (g *gate) armTimer() {
	if !g.timerSet && (g.running > 0 || g.queue.Len() > 0) {
		g.timerSet = true
		g.timer.Reset(checkInterval)
	}
}

// checkWaiting expires waiters and lets calls that take too long lower the limit.
func (g *gate) checkWaiting() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerSet = false
	g.limiter.LowerOnOverdue(now)
	g.refuseDropped(g.queue.Expire(now))
	g.grantWaiting(now)
	g.offerSlots(now)
	g.notifyWatchers()
}

// loadFor returns the load report for one gateway. Slots held for other gateways count as
// running.
func (g *gate) loadFor(gateway instance.Incarnation, now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadReportFor(gateway, now)
}

// loadReportFor is loadFor for callers that hold mu.
func (g *gate) loadReportFor(gateway instance.Incarnation, now time.Time) endpoint.Load {
	l := g.loadReport(now)
	all, own := g.offers.held(gateway, now)
	l.Running += all - own
	if l.Slowdown > 0 && !g.readsSlowdown(gateway) {
		l.Slowdown = 0
	}
	return l
}

// sendSlowdownTo makes the reports to the watcher's gateway contain the slowdown.
func (g *gate) sendSlowdownTo(w *watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.readsSlowdown = true
}

// readsSlowdown reports whether a gateway has asked for the slowdown. It must be called with mu held.
func (g *gate) readsSlowdown(gateway instance.Incarnation) bool {
	for w := range g.watchers {
		if w.gateway == gateway && w.readsSlowdown {
			return true
		}
	}
	return false
}

// load returns the load report without the slots held for gateways.
func (g *gate) load(now time.Time) endpoint.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadReport(now)
}

// loadReport builds the load report. It must be called with mu held.
func (g *gate) loadReport(now time.Time) endpoint.Load {
	prefill, decode := g.limiter.Rates()
	return endpoint.Load{
		Limit: g.limiter.Limit(), Exact: g.engine.Slots > 0, Full: g.pace.wait(now) > 0, Cold: g.limiter.Cold(),
		Running: g.running, RunningTokens: g.tokens,
		Queued: g.queue.Len(), QueuedTokens: g.queue.Tokens(),
		PrefillRate: prefill, DecodeRate: decode, SpeedAge: g.limiter.SpeedAge(now),
		Floor: g.queue.Floor(now), Slowdown: capacity.Percent(g.slowdown.Relative(now)),
	}
}
