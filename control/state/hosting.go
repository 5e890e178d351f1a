package state

import (
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Hosting says where the agent of an endpoint runs that announced itself with an agent. An
// endpoint without a Hosting is taken to have its agent beside it.
type Hosting struct {
	// Service is the endpoint's service when the hosting was set.
	Service string
	// Beside is set once an agent was found beside the endpoint.
	Beside bool
	// Host is the process that runs the agent in place of one beside the endpoint. While it is
	// empty and Beside is not set, no agent may act: gateways may still use the one before.
	Host instance.ID
	// Unpublished is set while gateways have learned of no agent of the endpoint, so that none
	// can still be in use.
	Unpublished bool
}

// SetHostings changes where agents run.
type SetHostings struct {
	// Hostings holds the changes by the endpoint's target.
	Hostings map[string]Hosting
}

// setHostings takes over changes for endpoints that are registered.
func (s *State) setHostings(c *SetHostings) *Result {
	published := false
	for _, r := range s.data.Registrations {
		e := r.Endpoint
		if e == nil {
			continue
		}
		next, changed := c.Hostings[e.Target]
		if !changed {
			continue
		}
		before := s.attended(*e)
		next.Service = e.Service
		s.data.Hostings[e.Target] = &next
		published = published || s.attended(*e) != before
	}
	if published {
		s.raiseDirectory()
	}
	return &Result{}
}

// withhold keeps a new endpoint from gateways if agents of its service run elsewhere, until
// control has looked whether it has one: another process can then take it at once.
func (s *State) withhold(e *endpoint.Endpoint) {
	if !e.Watched() || s.data.Hostings[e.Target] != nil {
		return
	}
	for _, h := range s.data.Hostings {
		if h.Service == e.Service && !h.Beside {
			s.data.Hostings[e.Target] = &Hosting{Service: e.Service, Unpublished: true}
			return
		}
	}
}

// attended returns an endpoint as gateways see it: with the address of the agent that may
// act.
func (s *State) attended(e endpoint.Endpoint) endpoint.Endpoint {
	if !e.Watched() {
		return e
	}
	h := s.data.Hostings[e.Target]
	switch {
	case h == nil || h.Beside:
		return e
	case h.Host != "":
		if r, ok := s.data.Registrations[h.Host]; ok && r.Instance.AgentAddress != "" {
			e.Address = endpoint.HostedAddress(r.Instance.AgentAddress, e.Target)
			return e
		}
	}
	e.Address = ""
	e.Unattended = true
	return e
}

// forgetHostings drops the hostings of targets at which no endpoint is registered.
func (s *State) forgetHostings() {
	if len(s.data.Hostings) == 0 {
		return
	}
	known := make(map[string]bool, len(s.data.Registrations))
	for _, r := range s.data.Registrations {
		if r.Endpoint != nil {
			known[r.Endpoint.Target] = true
		}
	}
	for target := range s.data.Hostings {
		if !known[target] {
			delete(s.data.Hostings, target)
		}
	}
}

// AgentClaim is an endpoint that announced itself with an agent.
type AgentClaim struct {
	Endpoint endpoint.Endpoint
	// Hosting is where its agent runs, nil where that is not known.
	Hosting *Hosting
}

// AgentClaims returns the endpoints that announced themselves with an agent.
func (s *State) AgentClaims() []AgentClaim {
	var out []AgentClaim
	for _, r := range s.data.Registrations {
		if r.Endpoint == nil || !r.Endpoint.Watched() {
			continue
		}
		c := AgentClaim{Endpoint: *r.Endpoint}
		if h := s.data.Hostings[r.Endpoint.Target]; h != nil {
			copied := *h
			c.Hosting = &copied
		}
		out = append(out, c)
	}
	return out
}

// Hosts returns the registered processes that run agents for others.
func (s *State) Hosts() []instance.Instance {
	var out []instance.Instance
	for _, r := range s.data.Registrations {
		if r.Endpoint == nil && r.Instance.AgentAddress != "" {
			out = append(out, r.Instance)
		}
	}
	return out
}

// LostSince returns when the lease of a process ended in silence; ok is false where it did
// not, or long ago.
func (s *State) LostSince(id instance.ID) (at time.Time, ok bool) {
	l := s.data.Lost[id]
	if l == nil {
		return time.Time{}, false
	}
	return l.At, true
}

// ServeStale returns how long a process that is cut off acts on what it knows.
func (s *State) ServeStale() time.Duration { return s.serveStale() }
