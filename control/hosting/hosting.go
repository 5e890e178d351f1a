// Package hosting decides where the agents of endpoints run that announce themselves with an
// agent: beside the endpoint, or in another process where there is none. Decide is pure.
//
// Two agents of one endpoint that act at once would both keep to the bound on a cold
// endpoint's starts, and together exceed it. So the agent of an endpoint changes through a
// time in which none may act, unless the one before has certainly ended.
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
	// AbsentTime is how long a new endpoint must have had no agent beside it before another
	// process runs one: both may just be starting.
	AbsentTime = time.Second
	// LostTime is the same for an endpoint that had an agent beside it, which may restart.
	LostTime = 10 * time.Second
	// Margin is added to the time for which processes act on what they know, since the clocks
	// of processes do not run alike.
	Margin = time.Second
)

// Finding is the outcome of a look for an agent beside an endpoint.
type Finding int

// Findings.
const (
	// Unknown: nothing answered, so there may be an agent that cannot be reached.
	Unknown Finding = iota
	// Present: an agent answered.
	Present
	// Absent: the instance refused the connection, or something else than an agent answered.
	Absent
)

// Look is what a leader has found out about one endpoint's agent.
type Look struct {
	Last Finding
	// AbsentSince is when the first of the latest looks found no agent; zero if the last look
	// found another thing.
	AbsentSince time.Time
	// WithdrawnSince is when the leader first saw that no agent may act; zero while one may.
	WithdrawnSince time.Time
}

// Observe adds a finding.
func (l *Look) Observe(f Finding, now time.Time) {
	l.Last = f
	switch {
	case f != Absent:
		l.AbsentSince = time.Time{}
	case l.AbsentSince.IsZero():
		l.AbsentSince = now
	}
}

// absentFor reports whether no agent has been found for a time.
func (l *Look) absentFor(d time.Duration, now time.Time) bool {
	return !l.AbsentSince.IsZero() && now.Sub(l.AbsentSince) >= d
}

// Claim is an endpoint that announced itself with an agent.
type Claim struct {
	Target string
	Domain failuredomain.ID
	// State is where its agent runs at present.
	State State
	// Host is set for Hosted.
	Host instance.ID
	Look Look
}

// State is where the agent of an endpoint runs.
type State int

// States of claims.
const (
	// Assumed: gateways use the address of an agent beside the endpoint, which was not found yet.
	Assumed State = iota
	// Beside: an agent was found beside the endpoint.
	Beside
	// Unpublished: gateways have learned of no agent of the endpoint.
	Unpublished
	// Withdrawn: no agent may act.
	Withdrawn
	// Hosted: another process runs the agent.
	Hosted
)

// Fleet is what Decide knows beside the claims.
type Fleet struct {
	// Hosts are the registered processes that run agents for others.
	Hosts []instance.Instance
	// LostAt returns when a process was lost, false where it left or is long gone.
	LostAt func(instance.ID) (time.Time, bool)
	// ActsFor is how long a process that is cut off acts on what it knows.
	ActsFor time.Duration
}

// Change is a new place of an agent.
type Change struct {
	State State
	// Host is set for Hosted.
	Host instance.ID
}

// Decide returns the changes that are due, by the target of the endpoint.
func Decide(now time.Time, claims []Claim, f Fleet) map[string]Change {
	p := newPlacement(claims, f)
	out := make(map[string]Change)
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Target, b.Target) })
	for i := range claims {
		if next, ok := p.decide(now, &claims[i]); ok {
			out[claims[i].Target] = next
		}
	}
	return out
}

// placement counts the agents that each host runs.
type placement struct {
	fleet Fleet
	hosts map[instance.ID]*host
}

type host struct {
	id     instance.ID
	domain failuredomain.ID
	agents int
}

func newPlacement(claims []Claim, f Fleet) *placement {
	p := &placement{fleet: f, hosts: make(map[instance.ID]*host, len(f.Hosts))}
	for _, h := range f.Hosts {
		p.hosts[h.ID] = &host{id: h.ID, domain: h.Domain}
	}
	for _, c := range claims {
		if h := p.hosts[c.Host]; h != nil && c.State == Hosted {
			h.agents++
		}
	}
	return p
}

func (p *placement) decide(now time.Time, c *Claim) (Change, bool) {
	switch c.State {
	case Assumed:
		if c.Look.Last == Present {
			return Change{State: Beside}, true
		}
		return Change{State: Withdrawn}, c.Look.absentFor(AbsentTime, now)
	case Beside:
		return Change{State: Withdrawn}, c.Look.absentFor(LostTime, now)
	case Unpublished:
		return p.assign(c)
	case Withdrawn:
		if now.Sub(c.Look.WithdrawnSince) < p.fleet.ActsFor+Margin {
			return Change{}, false
		}
		return p.assign(c)
	case Hosted:
		return p.review(now, c)
	}
	return Change{}, false
}

// assign places an agent where none acts.
func (p *placement) assign(c *Claim) (Change, bool) {
	switch c.Look.Last {
	case Present:
		return Change{State: Beside}, true
	case Absent:
		if h := p.choose(c); h != nil {
			h.agents++
			return Change{State: Hosted, Host: h.id}, true
		}
	case Unknown:
	}
	return Change{}, false
}

// review looks whether a hosted agent must move.
func (p *placement) review(now time.Time, c *Claim) (Change, bool) {
	if c.Look.Last == Present {
		return Change{State: Withdrawn}, true
	}
	if p.hosts[c.Host] != nil {
		return Change{}, false
	}
	if at, lost := p.fleet.LostAt(c.Host); lost && now.Sub(at) < p.fleet.ActsFor+Margin {
		return Change{}, false // it may still act
	}
	return p.assign(c)
}

// choose returns the host with the fewest agents, one of the endpoint's failure domain where
// there is any: it shares the endpoint's fate and saves bytes between domains.
func (p *placement) choose(c *Claim) *host {
	all := slices.Collect(maps.Values(p.hosts))
	if len(all) == 0 {
		return nil
	}
	return slices.MinFunc(all, func(a, b *host) int {
		return cmp.Or(
			cmp.Compare(away(a, c), away(b, c)),
			cmp.Compare(a.agents, b.agents),
			cmp.Compare(a.id, b.id),
		)
	})
}

// away returns 0 for a host in the endpoint's failure domain, else 1.
func away(h *host, c *Claim) int {
	if h.domain == c.Domain {
		return 0
	}
	return 1
}
