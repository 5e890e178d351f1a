package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/schedule"
)

const serviceName = "weft-lm"

var domains = []failuredomain.ID{"lagos-a", "lagos-b", "lagos-c"}

// gatewayQueue is the capacity of a gateway's queue in requests.
const gatewayQueue = 48

// A gateway with waiting requests asks probeCount agents for their load every
// probeTicks ticks.
const (
	probeTicks = 2
	probeCount = 4
)

// maxQueueTime bounds the wait in a gateway's queue for every tier.
const maxQueueTime = 4 * time.Second

// entry is a call that a gateway works on.
type entry struct {
	call     *call
	item     *admission.Item
	excluded []endpoint.ID
	// late counts the agents that could not meet the deadline.
	late     int
	expected int
	sent     *dispatch
	target   *schedule.Candidate
	// prompt is the prompt tokens still counted as outstanding at target.
	prompt int
}

// gateway queues and routes calls as cmd/toucan-gateway does.
type gateway struct {
	w         *world
	p         *product
	index     int
	rng       *rand.Rand
	down      bool
	snapshot  *schedule.Snapshot
	queue     *admission.ServiceQueue
	estimator schedule.AnswerEstimator
	ticks     int
	probed    int
	open      map[*entry]bool
	deafTo    map[*dispatch]bool
}

func newGateway(p *product, i int) *gateway {
	g := &gateway{w: p.w, p: p, index: i, open: map[*entry]bool{}, deafTo: map[*dispatch]bool{}}
	g.rng = rand.New(rand.NewPCG(uint64(i), p.w.rng.Uint64()))
	bound := make([]time.Duration, tiers)
	for i := range bound {
		bound[i] = maxQueueTime
	}
	g.queue = admission.NewServiceQueue(admission.ServiceOptions{
		QueueOptions: admission.QueueOptions{Capacity: gatewayQueue, Tiers: tiers, MaxQueueTime: bound, FairEviction: true},
	})
	g.rebuild()
	return g
}

// rebuild makes a snapshot of the present endpoints.
func (g *gateway) rebuild() {
	cfg := contract.Parts{
		Domains:  map[failuredomain.ID]failuredomain.Domain{},
		Services: []*contract.Service{{Name: serviceName, Versions: []contract.VersionShare{{Version: "v1", Share: 1}}}},
	}
	for _, d := range domains {
		cfg.Domains[d] = failuredomain.Domain{ID: d, Region: "lagos", State: failuredomain.StateActive}
	}
	in := schedule.SnapshotInput{Gateway: "gateway", Domain: domains[g.index%len(domains)], Config: contract.NewConfig(cfg), Previous: g.snapshot}
	for _, a := range g.p.agents {
		in.Endpoints = append(in.Endpoints, a.self)
	}
	g.snapshot = schedule.NewSnapshot(in)
}

func (g *gateway) now() time.Time { return g.w.clock.now }

func (g *gateway) arrive(c *call) {
	e := &entry{call: c}
	e.expected = g.estimator.Estimate("chat", c.account)
	g.open[e] = true
	c.onSettle = func() { g.forget(e) }
	g.push(e)
	g.w.clock.after(c.deadline.Sub(g.now()), func() { g.giveUp(e) })
}

// push queues an entry, anew after a proven not-run.
func (g *gateway) push(e *entry) {
	c := e.call
	e.item = &admission.Item{
		Tier: c.tier, Account: c.account, Cost: c.prompt + e.expected,
		Deadline: c.deadline, Value: e,
		// Half of the expected answer allows for answers shorter than usual.
		MinServiceTime: g.snapshot.MinCompletionTime(serviceName, c.prompt-c.prefixTokens, e.expected/2),
	}
	evicted, refusal := g.queue.Push(e.item, g.now())
	g.drop(evicted)
	g.w.result.EarlyShed = max(g.w.result.EarlyShed, g.queue.EarlySheds())
	if refusal != nil {
		g.w.refuse(c, refusal.Reason != admission.ReasonDeadline)
	}
	g.raise()
	g.pump()
}

func (g *gateway) drop(list []admission.Dropped) {
	for _, d := range list {
		g.w.refuse(d.Item.Value.(*entry).call, d.Refusal.Reason != admission.ReasonDeadline)
	}
}

// raise sends the floor that the queue needs to every agent.
func (g *gateway) raise() {
	tier, ok := g.queue.FloorRequest(g.now())
	if !ok {
		return
	}
	for _, a := range g.p.agents {
		g.w.clock.after(netDelay, func() {
			a.queue.RaiseFloor(tier, a.now())
			a.tick()
		})
	}
}

// pump dispatches the head of the queue while an endpoint has room.
func (g *gateway) pump() {
	for !g.down {
		head, dropped := g.queue.Peek(g.now())
		g.drop(dropped)
		if head == nil {
			return
		}
		e := head.Value.(*entry)
		c := e.call
		r := &schedule.Request{
			Service: serviceName, UnprovenAllowed: true, Hash: uint64(c.id), Tier: c.tier,
			PromptTokens: c.prompt, AnswerTokens: e.expected, Excluded: e.excluded,
		}
		if c.prefix != 0 {
			r.Prefixes = []schedule.Prefix{{Hash: c.prefix, Tokens: c.prefixTokens}}
		}
		d := g.snapshot.Pick(r, g.now(), g.rng)
		if d.Candidate == nil {
			if d.Reason == schedule.ReasonAllTried {
				e.excluded = nil
			}
			return
		}
		_, _ = g.queue.Pop(g.now())
		g.send(e, d.Candidate)
	}
}

func (g *gateway) send(e *entry, target *schedule.Candidate) {
	a := g.p.agentOf(target.Endpoint.ID)
	e.target = target
	e.prompt = e.call.prompt
	target.AddOutstanding(e.prompt, e.expected)
	d := &dispatch{call: e.call, gateway: g, agent: a, entry: e, incarnation: target.Endpoint.Incarnation}
	e.sent = d
	if g.w.rng.Float64() < g.w.loseRequest {
		g.w.clock.after(silence, func() { g.settle(d) })
		return
	}
	g.w.clock.after(netDelay, func() { a.receive(d) })
}

// release ends the outstanding work of an entry at its endpoint.
func (g *gateway) release(e *entry) {
	if e.target != nil {
		e.target.RemoveOutstanding(e.prompt, e.expected)
		e.target = nil
	}
	if e.sent != nil {
		e.sent.settled = true
		delete(g.deafTo, e.sent)
	}
}

func (g *gateway) forget(e *entry) {
	g.release(e)
	g.queue.Remove(e.item)
	delete(g.open, e)
}

func (g *gateway) observe(a *agent, load endpoint.Load) {
	if c := g.snapshot.Candidate(serviceName, a.self.ID); c != nil {
		c.Observe(load, g.now())
	}
	g.queue.ObserveFloor(load.Floor, g.now())
	if load.Floor >= 0 {
		g.drop(g.queue.Expire(g.now()))
	}
	g.pump()
}

func (g *gateway) observeCache(a *agent, events []endpoint.CacheEvent) {
	if c := g.snapshot.Candidate(serviceName, a.self.ID); c != nil && !g.down {
		c.ObserveCache(events)
	}
}

func (g *gateway) firstToken(d *dispatch) {
	d.call.firstAt = g.now()
	if d.entry.target != nil {
		d.entry.target.PrefillDone(d.entry.prompt)
		d.entry.prompt = 0
	}
}

func (g *gateway) ended(d *dispatch) {
	g.estimator.Observe("chat", d.call.account, d.call.answer)
	g.answered(d, false)
	g.w.finish(d.call)
	g.pump()
}

// refusedByAgent places a call elsewhere: the refusal proves that it did not run.
func (g *gateway) refusedByAgent(d *dispatch, reason admission.Reason) {
	e := d.entry
	g.release(e)
	e.sent = nil
	if reason == admission.ReasonBelowFloor {
		g.w.refuse(d.call, true)
		return
	}
	if reason == admission.ReasonDeadline {
		e.late++
	}
	if e.late == len(g.p.agents) {
		g.w.refuse(d.call, false)
		return
	}
	e.excluded = append(slices.Clone(e.excluded), d.agent.self.ID)
	g.push(e)
}

func (g *gateway) answered(d *dispatch, failed bool) {
	if d.entry.target != nil {
		d.entry.target.RecordAnswer(failed, g.now())
	}
}

func (g *gateway) lostByAgent(d *dispatch) {
	g.answered(d, true)
	g.w.lose(d.call, lostToEngine)
	g.pump()
}

// connectionLost settles a dispatch whose agent died: it may have run.
func (g *gateway) connectionLost(d *dispatch) {
	if !d.settled {
		g.w.lose(d.call, lostToAgent)
		g.pump()
	}
}

// deaf marks a connection as silent: no further frame of the dispatch arrives.
func (g *gateway) deaf(d *dispatch) { g.deafTo[d] = true }

// settle asks the agent over a new connection what became of a silent dispatch.
func (g *gateway) settle(d *dispatch) {
	if d.settled || g.down {
		return
	}
	g.w.clock.after(2*netDelay, func() {
		if d.settled {
			return
		}
		if d.agent.down || d.agent.incarnation != d.incarnation || d.agent.seal(d) != dispatchSealed {
			g.w.lose(d.call, lostToSilence)
			return
		}
		g.refusedByAgent(d, "sealed")
	})
}

// giveUp ends a call at its deadline.
func (g *gateway) giveUp(e *entry) {
	c := e.call
	if c.settled || g.down {
		return
	}
	d := e.sent
	if d == nil {
		g.w.refuse(c, false)
		return
	}
	g.w.lose(c, lostToDeadline)
	g.w.clock.after(netDelay, func() { d.agent.cancel(d) })
}

func (g *gateway) tick() {
	if g.down {
		return
	}
	g.drop(g.queue.Expire(g.now()))
	g.raise()
	g.pump()
	if g.ticks++; g.ticks%probeTicks == 0 && g.queue.Len() > 0 {
		g.probe()
	}
}

// probe asks the next few agents for their load, and with it their floor. Frames of
// running calls may be too far apart to learn of a floor within ShedDelay.
func (g *gateway) probe() {
	for range min(probeCount, len(g.p.agents)) {
		g.probed++
		a := g.p.agents[g.probed%len(g.p.agents)]
		g.w.clock.after(netDelay, func() {
			if a.down {
				return
			}
			load := a.load()
			g.w.clock.after(netDelay, func() {
				if !g.down {
					g.observe(a, load)
				}
			})
		})
	}
}
