package scenario

import (
	"fmt"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/limit"
)

// agentQueue is the capacity of an agent's queue in requests.
const agentQueue = 32

// agentDown is how long a killed agent takes to come back.
const agentDown = time.Second

// dispatchState is the ledger's record of one dispatch.
type dispatchState int

const (
	dispatchNone dispatchState = iota
	dispatchQueued
	dispatchCommitted
	dispatchDone
	dispatchSealed
)

// dispatch is one attempt of a gateway to run a call at an agent.
type dispatch struct {
	call        *call
	gateway     *gateway
	agent       *agent
	incarnation instance.Incarnation
	entry       *entry
	state       dispatchState
	item        *admission.Item
	run         *run
	ticket      limit.Ticket
	started     time.Time
	firstAt     time.Time
	cancelled   bool
	// settled is set once the gateway knows the outcome.
	settled bool
}

// agent owns the limit, the queue and the ledger of one engine.
type agent struct {
	w           *world
	engine      *engine
	self        endpoint.Endpoint
	queue       *admission.Queue
	limiter     *limit.Limiter
	incarnation instance.Incarnation
	down        bool
	open        map[*dispatch]bool
	reports     []datedLoad
}

type datedLoad struct {
	at   time.Time
	load endpoint.Load
}

func newAgent(w *world, i int, e *engine) *agent {
	a := &agent{w: w, engine: e, incarnation: 1}
	a.self = endpoint.Endpoint{
		ID: endpoint.ID(fmt.Sprintf("engine-%02d", i)), Incarnation: 1,
		Service: serviceName, Version: "v1", Domain: domains[i%len(domains)],
	}
	a.reset()
	return a
}

func (a *agent) reset() {
	a.queue = admission.NewQueue(admission.QueueOptions{Capacity: agentQueue, Tiers: tiers})
	a.limiter = limit.New(limit.Options{})
	a.open = map[*dispatch]bool{}
	a.reports = nil
}

func (a *agent) now() time.Time { return a.w.clock.now }

// receive takes a dispatch from the network.
func (a *agent) receive(d *dispatch) {
	if a.down || d.incarnation != a.incarnation {
		a.reply(d, func() { d.gateway.refusedByAgent(d, "incarnation") })
		return
	}
	if d.state == dispatchSealed || d.cancelled {
		return
	}
	c := d.call
	d.item = &admission.Item{
		Tier: c.tier, Account: c.account, Cost: c.prompt, Deadline: c.deadline,
		MinServiceTime: a.limiter.RequiredTime(c.prompt-c.prefixTokens, d.entry.expected, a.queue.Len()), Value: d,
	}
	evicted, refusal := a.queue.Push(d.item, a.now())
	a.drop(evicted)
	if refusal != nil {
		d.state = dispatchSealed
		a.reply(d, func() { d.gateway.refusedByAgent(d, refusal.Reason) })
		return
	}
	d.state = dispatchQueued
	a.open[d] = true
	a.reply(d, nil)
	a.pump()
}

// drop hands evicted and expired dispatches back as not run.
func (a *agent) drop(list []admission.Dropped) {
	for _, x := range list {
		d := x.Item.Value.(*dispatch)
		d.state = dispatchSealed
		delete(a.open, d)
		reason := x.Refusal.Reason
		a.reply(d, func() { d.gateway.refusedByAgent(d, reason) })
	}
}

// pump commits queued dispatches while the limit allows.
func (a *agent) pump() {
	for {
		head, dropped := a.queue.Peek(a.now())
		a.drop(dropped)
		if head == nil || !a.limiter.Allows(head.Cost) {
			return
		}
		_, _ = a.queue.Pop(a.now())
		a.commit(head.Value.(*dispatch))
	}
}

func (a *agent) commit(d *dispatch) {
	d.started = a.now()
	incarnation := a.incarnation
	d.run = a.engine.submit(d.call,
		func() { a.firstToken(d, incarnation) },
		func(ok bool) { a.ended(d, ok, incarnation) })
	if d.run == nil {
		d.state = dispatchSealed
		delete(a.open, d)
		a.reply(d, func() { d.gateway.refusedByAgent(d, "engine") })
		return
	}
	d.state = dispatchCommitted
	d.ticket = a.limiter.Start(a.now(), d.call.prompt)
	if a.w.rng.Float64() < a.w.loseReply {
		// The connection goes silent: the gateway settles by a seal after a while.
		a.w.clock.after(silence, func() { d.gateway.settle(d) })
		d.gateway.deaf(d)
	}
}

func (a *agent) firstToken(d *dispatch, incarnation instance.Incarnation) {
	d.firstAt = a.now()
	if a.incarnation != incarnation {
		return
	}
	a.limiter.FirstToken(d.ticket, a.now())
	a.reply(d, func() { d.gateway.firstToken(d) })
}

func (a *agent) ended(d *dispatch, ok bool, incarnation instance.Incarnation) {
	d.state = dispatchDone
	if a.incarnation != incarnation {
		return
	}
	delete(a.open, d)
	if !ok {
		a.limiter.Finish(d.ticket, limit.Sample{Failed: true}, a.now())
		if d.run.crashed {
			a.limiter.Restart()
		}
		a.reply(d, func() { d.gateway.lostByAgent(d) })
		return
	}
	a.limiter.Finish(d.ticket, limit.Sample{
		FirstToken: d.firstAt.Sub(d.started), Total: a.now().Sub(d.started),
		PromptTokens: int(d.run.work), AnswerTokens: d.call.answer,
	}, a.now())
	a.reply(d, func() { d.gateway.ended(d) })
	a.pump()
}

// cancel stops a dispatch whose caller or gateway has gone.
func (a *agent) cancel(d *dispatch) {
	d.cancelled = true
	if !a.open[d] {
		return
	}
	delete(a.open, d)
	if d.state == dispatchQueued {
		a.queue.Remove(d.item)
		d.state = dispatchSealed
		return
	}
	sample := limit.Sample{Total: a.now().Sub(d.started)}
	if d.run.first {
		sample.FirstToken = d.firstAt.Sub(d.started)
		sample.AnswerTokens = d.call.answer - int(d.run.pool.left(d.run.job))
	}
	a.engine.cancel(d.run)
	a.limiter.Cancel(d.ticket, sample, a.now())
	a.pump()
}

// seal settles a dispatch: one that was not committed never will be.
func (a *agent) seal(d *dispatch) dispatchState {
	switch d.state {
	case dispatchCommitted, dispatchDone:
		return d.state
	case dispatchQueued:
		a.queue.Remove(d.item)
		delete(a.open, d)
	}
	d.state = dispatchSealed
	return dispatchSealed
}

// reply sends a frame with a load report. then runs at the gateway unless the
// connection is silent.
func (a *agent) reply(d *dispatch, then func()) {
	load := a.load()
	a.w.clock.after(netDelay, func() {
		if d.settled || d.gateway.down || d.gateway.deafTo[d] {
			return
		}
		d.gateway.observe(a, load)
		if then != nil {
			then()
		}
	})
}

// load returns the latest report that is at least as old as the staleness of the
// scenario; the floor is the agent's own and always current.
func (a *agent) load() endpoint.Load {
	now := a.now()
	requests, tokens := a.limiter.Outstanding()
	prefill, decode := a.limiter.Rates()
	a.reports = append(a.reports, datedLoad{now, endpoint.Load{
		Limit: a.limiter.Limit(), Running: requests, Queued: a.queue.Len(),
		QueuedTokens: a.queue.Tokens(), RunningTokens: tokens,
		PrefillRate: prefill, DecodeRate: decode, Cold: a.limiter.Cold(),
	}})
	for len(a.reports) > 1 && now.Sub(a.reports[1].at) >= a.w.staleness {
		a.reports = a.reports[1:]
	}
	load := a.reports[0].load
	load.Age = now.Sub(a.reports[0].at)
	load.Floor = a.queue.Floor(now)
	return load
}

func (a *agent) tick() {
	if a.down {
		return
	}
	a.drop(a.queue.Expire(a.now()))
	a.limiter.LowerOnOverdue(a.now())
	a.pump()
}

// kill ends the agent's process; the engine goes on with what it runs.
func (a *agent) kill() {
	a.down = true
	lost := a.open
	a.reset()
	a.incarnation++
	for _, d := range sortedDispatches(lost) {
		a.w.clock.after(netDelay, func() { d.gateway.connectionLost(d) })
	}
	a.w.clock.after(agentDown, func() {
		a.down = false
		a.self.Incarnation = a.incarnation
		for _, g := range a.w.system.(*product).gateways {
			g.rebuild()
		}
	})
}

// takeEvents returns the engine's cache events since the last call; some are lost.
func (a *agent) takeEvents() []endpoint.CacheEvent {
	var out []endpoint.CacheEvent
	for _, e := range a.engine.events {
		if a.w.rng.Float64() >= cacheLoss {
			out = append(out, e)
		}
	}
	a.engine.events = nil
	return out
}
