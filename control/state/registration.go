package state

import (
	"fmt"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// register grants a lease to a process. A resend by the same incarnation keeps its lease;
// another incarnation gets a new lease, which ends that of the former.
func (s *State) register(c *api.Register) *Result {
	id := c.Instance.ID
	if id == "" || c.Instance.Incarnation == 0 {
		return &Result{Refused: "the instance has no ID or no incarnation"}
	}
	if c.Endpoint != nil && c.Endpoint.ID != id {
		return &Result{Refused: fmt.Sprintf("endpoint %s is announced by instance %s", c.Endpoint.ID, id)}
	}
	if c.Endpoint != nil && c.Endpoint.Target != "" {
		if reason := s.checkAnnouncement(c.Endpoint); reason != "" {
			return &Result{Refused: reason}
		}
		if earlier := s.registrationAtTarget(c.Endpoint); earlier != nil {
			s.unregister(earlier)
		}
	}
	if c.Endpoint != nil {
		s.withholdEndpoint(c.Endpoint)
	}
	r, ok := s.data.Registrations[id]
	if ok && r.Instance == c.Instance && sameEndpoint(r.Endpoint, c.Endpoint) {
		return &Result{Register: r}
	}
	if !ok || r.Instance.Incarnation != c.Instance.Incarnation {
		if ok {
			delete(s.leases, r.Lease)
		}
		s.data.NextLease++
		r = &Registration{Lease: s.data.NextLease}
		s.data.Registrations[id] = r
		s.leases[r.Lease] = id
	}
	r.Instance = c.Instance
	r.Endpoint = c.Endpoint
	delete(s.data.Lost, id)
	s.raiseDirectoryRevision()
	return &Result{Register: r}
}

func sameEndpoint(a, b *endpoint.Endpoint) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func (s *State) endLeases(c *EndLeases) *Result {
	for _, end := range c.Leases {
		id, ok := s.leases[end.Lease]
		if !ok {
			continue
		}
		r := s.data.Registrations[id]
		s.unregister(r)
		if !end.Left {
			s.data.Lost[id] = &Lost{Instance: r.Instance, Revision: end.Revision, At: s.data.Now}
		}
		s.raiseDirectoryRevision()
	}
	return &Result{}
}

// unregister removes a process and its lease.
func (s *State) unregister(r *Registration) {
	delete(s.leases, r.Lease)
	delete(s.data.Registrations, r.Instance.ID)
}

// raiseDirectoryRevision records a change of the directory and discards the cached one.
func (s *State) raiseDirectoryRevision() {
	s.data.DirectoryRevision++
	s.directory = nil
}

// HoldsLease reports whether a process is registered with this incarnation.
func (s *State) HoldsLease(id instance.ID, incarnation instance.Incarnation) bool {
	return s.holdsLease(id, incarnation)
}

func (s *State) holdsLease(owner instance.ID, incarnation instance.Incarnation) bool {
	r, ok := s.data.Registrations[owner]
	return ok && r.Instance.Incarnation == incarnation
}

func (s *State) serveStale() time.Duration {
	if s.config == nil {
		return 0
	}
	return s.config.ServeStale
}
