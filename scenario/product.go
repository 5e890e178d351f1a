package scenario

import (
	"slices"
	"time"

	"toucantiller.dev/endpoint"
)

// tickInterval is the interval of the gateways' and agents' timers.
const tickInterval = 50 * time.Millisecond

// heartbeat is the interval at which agents report to gateways with open streams.
const heartbeat = 500 * time.Millisecond

// cacheDelay and cacheLoss are the lag of cache events and the share lost.
const (
	cacheDelay = time.Second
	cacheLoss  = 0.1
)

// product is the scheduler built from schedule, admission and limit.
type product struct {
	w        *world
	gateways []*gateway
	agents   []*agent
}

func newProduct(w *world) *product {
	p := &product{w: w}
	w.system = p
	for i, e := range w.engines {
		p.agents = append(p.agents, newAgent(w, i, e))
	}
	for i := range w.gates {
		p.gateways = append(p.gateways, newGateway(p, i))
	}
	w.clock.every(tickInterval, p.tick)
	w.clock.every(heartbeat, p.beat)
	return p
}

func (p *product) tick() {
	for _, a := range p.agents {
		a.tick()
	}
	for _, g := range p.gateways {
		g.tick()
	}
}

// beat sends each agent's load to every gateway.
func (p *product) beat() {
	for _, a := range p.agents {
		if a.down {
			continue
		}
		load := a.load()
		events := a.takeEvents()
		for _, g := range p.gateways {
			p.w.clock.after(netDelay, func() {
				if !g.down {
					g.observe(a, load)
				}
			})
			p.w.clock.after(cacheDelay, func() { g.observeCache(a, events) })
		}
	}
}

func (p *product) agentOf(id endpoint.ID) *agent {
	i := slices.IndexFunc(p.agents, func(a *agent) bool { return a.self.ID == id })
	return p.agents[i]
}

func (p *product) arrive(c *call, i int) {
	for p.gateways[i].down {
		i = (i + 1) % len(p.gateways)
	}
	p.gateways[i].arrive(c)
}

// killGateway breaks the connections of its callers, who call again elsewhere as
// long as their time allows. Agents see the streams close and cancel the work.
func (p *product) killGateway(i int) {
	g := p.gateways[i]
	g.down = true
	for _, e := range sortedEntries(g.open) {
		if d := e.sent; d != nil && !d.settled {
			d.settled = true
			p.w.clock.after(netDelay, func() { d.agent.cancel(d) })
		}
		p.w.again(e.call, i)
	}
}

func (p *product) killAgent(i int) { p.agents[i].kill() }

func (p *product) restartEngine(i int) { p.w.engines[i].restart() }

func (p *product) lowestWaiting() int {
	lowest := -1
	for tier := range tiers {
		for _, g := range p.gateways {
			if !g.down && g.queue.LenTier(tierOf(tier)) > 0 {
				lowest = tier
			}
		}
		for _, a := range p.agents {
			if a.queue.LenTier(tierOf(tier)) > 0 {
				lowest = tier
			}
		}
	}
	return lowest
}

func sortedEntries(open map[*entry]bool) []*entry {
	out := make([]*entry, 0, len(open))
	for e := range open {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return a.call.id - b.call.id })
	return out
}

func sortedDispatches(open map[*dispatch]bool) []*dispatch {
	out := make([]*dispatch, 0, len(open))
	for d := range open {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *dispatch) int { return a.call.id - b.call.id })
	return out
}
