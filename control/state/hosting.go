package state

import (
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Hosting records where the agent of a self-announced endpoint runs. An endpoint without a
// Hosting is assumed to have its agent beside it.
type Hosting struct {
	// Service is the endpoint's service when the hosting was set.
	Service string
	// Beside is set once an agent was found beside the endpoint.
	Beside bool
	// Host is the process that runs the agent instead of one beside the endpoint. While it is
	// empty and Beside is not set, no agent may act, as gateways may still use the previous one.
	Host instance.ID
	// Unpublished is set while no agent of the endpoint was ever published to gateways, so that
	// no previous one can still be in use.
	Unpublished bool
}

// SetHostings changes where agents run.
type SetHostings struct {
	// Hostings holds the changes by the endpoint's target.
	Hostings map[string]Hosting
}

// setHostings stores the changes for endpoints that are registered and ignores the others.
func (s *State) setHostings(c *SetHostings) *Result {
	directoryChanged := false
	for _, r := range s.data.Registrations {
		e := r.Endpoint
		if e == nil {
			continue
		}
		next, changed := c.Hostings[e.Target]
		if !changed {
			continue
		}
		before := s.publishedEndpoint(*e)
		next.Service = e.Service
		s.data.Hostings[e.Target] = &next
		directoryChanged = directoryChanged || s.publishedEndpoint(*e) != before
	}
	if directoryChanged {
		s.raiseDirectoryRevision()
	}
	return &Result{}
}

// withholdEndpoint keeps the agent of a new endpoint unpublished if other endpoints of its
// service have no agent beside them. Once control has found that this one has none either,
// another process can run its agent at once, as gateways cannot be using one.
func (s *State) withholdEndpoint(e *endpoint.Endpoint) {
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

// publishedEndpoint returns an endpoint as it is published to gateways: with the address of the
// agent that may act, or with no address and Unattended set while none may.
func (s *State) publishedEndpoint(e endpoint.Endpoint) endpoint.Endpoint {
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

// dropUnusedHostings removes the hostings of targets at which no endpoint is registered.
func (s *State) dropUnusedHostings() {
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

// AgentPlacement is a self-announced endpoint that has an agent, and where the agent runs.
type AgentPlacement struct {
	Endpoint endpoint.Endpoint
	// Hosting is where its agent runs, nil if that is not recorded yet.
	Hosting *Hosting
}

// AgentPlacements returns the registered self-announced endpoints that have an agent, in no
// order.
func (s *State) AgentPlacements() []AgentPlacement {
	var out []AgentPlacement
	for _, r := range s.data.Registrations {
		if r.Endpoint == nil || !r.Endpoint.Watched() {
			continue
		}
		p := AgentPlacement{Endpoint: *r.Endpoint}
		if h := s.data.Hostings[r.Endpoint.Target]; h != nil {
			copied := *h
			p.Hosting = &copied
		}
		out = append(out, p)
	}
	return out
}

// Hosts returns the registered processes that can run agents of other endpoints, in no order.
func (s *State) Hosts() []instance.Instance {
	var out []instance.Instance
	for _, r := range s.data.Registrations {
		if r.Endpoint == nil && r.Instance.AgentAddress != "" {
			out = append(out, r.Instance)
		}
	}
	return out
}

// LostSince returns when the lease of a process expired without a request to leave. ok is
// false if it did not, or if its record has been removed.
func (s *State) LostSince(id instance.ID) (at time.Time, ok bool) {
	l := s.data.Lost[id]
	if l == nil {
		return time.Time{}, false
	}
	return l.At, true
}

// ServeStale returns how long a process without contact to control acts on its last
// configuration and directory.
func (s *State) ServeStale() time.Duration { return s.serveStale() }
