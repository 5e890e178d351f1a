// Package hosting decides where the agents of self-announced endpoints run: beside the
// endpoint, or in another process (the host) if there is none. Decide is a pure function.
//
// Two agents of one endpoint that act at the same time would each keep the bound on the rate of
// starts on a cold endpoint, and exceed it together. The agent of an endpoint is therefore
// replaced only after a time in which none may act, unless the previous one has certainly ended.
package hosting

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

const (
	// StartGrace is how long no agent must have been found beside a new endpoint before another
	// process may run one: the endpoint and its agent may just be starting.
	StartGrace = time.Second
	// RestartGrace is the same time for an endpoint whose agent was found before and may restart.
	RestartGrace = 10 * time.Second
	// Margin is added to the time for which a process acts on its last configuration, since the
	// clocks of processes run at different rates.
	Margin = time.Second
)

// Finding is the result of one probe for an agent beside an endpoint.
type Finding int

// Findings.
const (
	// Unknown: nothing answered, so there may be an agent that is unreachable.
	Unknown Finding = iota
	// Present: an agent answered.
	Present
	// Absent: the connection was refused, or something other than an agent answered.
	Absent
)

// ProbeHistory holds what a leader has found out about the agent of one endpoint by probing for
// it.
type ProbeHistory struct {
	// Last is the latest finding.
	Last Finding
	// AbsentSince is the time of the first of the latest consecutive Absent findings; zero if
	// the latest finding is not Absent.
	AbsentSince time.Time
	// WithdrawnSince is when this leader first saw that no agent may act; zero while one may.
	WithdrawnSince time.Time
}

// Observe records a finding made at now.
func (h *ProbeHistory) Observe(f Finding, now time.Time) {
	h.Last = f
	switch {
	case f != Absent:
		h.AbsentSince = time.Time{}
	case h.AbsentSince.IsZero():
		h.AbsentSince = now
	}
}

// absentFor reports whether the findings have been Absent for at least d.
func (h *ProbeHistory) absentFor(d time.Duration, now time.Time) bool {
	return !h.AbsentSince.IsZero() && now.Sub(h.AbsentSince) >= d
}

// Agent is the agent of a self-announced endpoint.
type Agent struct {
	Target string
	Domain failuredomain.ID
	// State is where the agent runs now.
	State State
	// Host is set for Hosted.
	Host   instance.ID
	Probes ProbeHistory
}

// State is where the agent of an endpoint runs.
type State int

// States of agents.
const (
	// Assumed: gateways use the address of an agent beside the endpoint that no probe has found
	// yet.
	Assumed State = iota
	// Beside: an agent was found beside the endpoint.
	Beside
	// Unpublished: no agent of the endpoint was ever published to gateways.
	Unpublished
	// Withdrawn: no agent may act.
	Withdrawn
	// Hosted: another process runs the agent.
	Hosted
)

// Fleet describes the processes that can run agents.
type Fleet struct {
	// Hosts are the registered processes that can run agents of other endpoints.
	Hosts []instance.Instance
	// LostAt returns when the lease of a process expired, and false if the process asked to
	// leave or if its record was removed.
	LostAt func(instance.ID) (time.Time, bool)
	// ServeStale is how long a process without contact to control acts on its last
	// configuration and directory.
	ServeStale time.Duration
}

// Change is a new state of an endpoint's agent.
type Change struct {
	State State
	// Host is set for Hosted.
	Host instance.ID
}

// Decide returns the changes that are due at now, by the target of the endpoint. It sorts
// agents by target.
func Decide(now time.Time, agents []Agent, f Fleet) map[string]Change {
	p := newPlacement(agents, f)
	out := make(map[string]Change)
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.Target, b.Target) })
	for i := range agents {
		if next, ok := p.decide(now, &agents[i]); ok {
			out[agents[i].Target] = next
		}
	}
	return out
}

// placement assigns agents to hosts and counts the agents of each host.
type placement struct {
	fleet Fleet
	hosts map[instance.ID]*host
}

type host struct {
	id     instance.ID
	domain failuredomain.ID
	agents int
}

func newPlacement(agents []Agent, f Fleet) *placement {
	p := &placement{fleet: f, hosts: make(map[instance.ID]*host, len(f.Hosts))}
	for _, h := range f.Hosts {
		p.hosts[h.ID] = &host{id: h.ID, domain: h.Domain}
	}
	for _, a := range agents {
		if h := p.hosts[a.Host]; h != nil && a.State == Hosted {
			h.agents++
		}
	}
	return p
}

// decide returns the change that is due for one endpoint, and false if there is none.
func (p *placement) decide(now time.Time, agent *Agent) (Change, bool) {
	switch agent.State {
	case Assumed:
		if agent.Probes.Last == Present {
			return Change{State: Beside}, true
		}
		return Change{State: Withdrawn}, agent.Probes.absentFor(StartGrace, now)
	case Beside:
		return Change{State: Withdrawn}, agent.Probes.absentFor(RestartGrace, now)
	case Unpublished:
		return p.assignAgent(agent)
	case Withdrawn:
		if now.Sub(agent.Probes.WithdrawnSince) < p.fleet.ServeStale+Margin {
			return Change{}, false
		}
		return p.assignAgent(agent)
	case Hosted:
		return p.reviewHosted(now, agent)
	}
	return Change{}, false
}

// assignAgent returns where the agent of an endpoint without an acting agent runs next: beside
// the endpoint if one was found there, otherwise in a host.
func (p *placement) assignAgent(agent *Agent) (Change, bool) {
	switch agent.Probes.Last {
	case Present:
		return Change{State: Beside}, true
	case Absent:
		if h := p.chooseHost(agent); h != nil {
			h.agents++
			return Change{State: Hosted, Host: h.id}, true
		}
	case Unknown:
	}
	return Change{}, false
}

// reviewHosted returns the change for a hosted agent: it is withdrawn if an agent was found
// beside the endpoint, and assigned again once its host has gone and can no longer act.
func (p *placement) reviewHosted(now time.Time, agent *Agent) (Change, bool) {
	if agent.Probes.Last == Present {
		return Change{State: Withdrawn}, true
	}
	if p.hosts[agent.Host] != nil {
		return Change{}, false
	}
	if at, lost := p.fleet.LostAt(agent.Host); lost && now.Sub(at) < p.fleet.ServeStale+Margin {
		return Change{}, false // the lost host may still act
	}
	return p.assignAgent(agent)
}

// chooseHost returns the host with the fewest agents among those in the endpoint's failure
// domain, or among all hosts if it has none; nil without hosts. A host in the same domain fails
// together with the endpoint and saves traffic between domains.
func (p *placement) chooseHost(agent *Agent) *host {
	all := slices.Collect(maps.Values(p.hosts))
	if len(all) == 0 {
		return nil
	}
	return slices.MinFunc(all, func(a, b *host) int {
		return cmp.Or(
			cmp.Compare(outsideDomain(a, agent), outsideDomain(b, agent)),
			cmp.Compare(a.agents, b.agents),
			cmp.Compare(a.id, b.id),
		)
	})
}

// outsideDomain returns 0 for a host in the endpoint's failure domain and 1 for any other, as a
// sort key.
func outsideDomain(h *host, agent *Agent) int {
	if h.domain == agent.Domain {
		return 0
	}
	return 1
}
