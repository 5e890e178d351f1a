package state

import (
	"fmt"
	"slices"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// applyDocument puts a document in force if its version is above that of the document in
// force. Any other valid document is acknowledged without effect, so that a resend is never
// refused.
func (s *State) applyDocument(d *contract.Document) *Result {
	if err := d.Validate(); err != nil {
		return &Result{Refused: err.Error()}
	}
	if s.data.Document != nil && d.Version <= s.data.Document.Version {
		return &Result{}
	}
	s.data.Document = d
	s.raiseRevision()
	s.compileConfig()
	return &Result{}
}

// Document returns the document in force, nil before the first. It is immutable.
func (s *State) Document() *contract.Document { return s.data.Document }

// setEvacuated drains a domain or makes it active. A repeated command changes nothing. The
// domain need not be known yet, as its endpoints may register later.
func (s *State) setEvacuated(c *SetEvacuated) *Result {
	next := failuredomain.StateActive
	if c.Evacuated {
		next = failuredomain.StateDrained
	}
	d, known := s.data.Domains[c.Domain]
	if !known {
		d = failuredomain.Domain{ID: c.Domain, State: failuredomain.StateActive}
	}
	if d.State == next {
		return &Result{}
	}
	s.changeDomain(d, next)
	return &Result{}
}

// startDocumentMove starts a move of a service of the document. It has no effect when the
// service's latest move is to the same version, since operators resend a command until it is
// acknowledged.
func (s *State) startDocumentMove(c *StartMove) *Result {
	if s.data.Document == nil || !slices.ContainsFunc(s.data.Document.Services, func(x *contract.Service) bool { return x.Name == c.Service }) {
		return &Result{Refused: fmt.Sprintf("there is no service %q", c.Service)}
	}
	m := s.data.Moves[c.Service]
	if m != nil && m.To == c.To {
		return &Result{}
	}
	if m != nil && inProgress(m) {
		return &Result{Refused: fmt.Sprintf("service %s has a move to %s in progress", c.Service, m.To)}
	}
	from := s.versionInForce(c.Service, c.To)
	s.raiseRevision()
	if from == "" {
		// Nothing else serves, so there is nothing to move from.
		s.data.Moves[c.Service] = &api.Move{
			ID: s.data.Revision, Service: c.Service, To: c.To, State: api.MoveDone, Share: 1,
			Started: s.data.Now, Ended: s.data.Now, Cause: "no other version serves",
		}
		s.compileConfig()
		return &Result{}
	}
	s.data.Versions[c.Service] = from
	s.startMove(&contract.MoveSpec{Service: c.Service, From: from, To: c.To, Within: c.Within, Watch: c.Watch})
	s.compileConfig()
	return &Result{}
}

// versionInForce returns the version from which a move to another version starts: the recorded
// version of the service, otherwise the one that most endpoints serve, "" without either. to
// is never returned.
func (s *State) versionInForce(service, to string) string {
	if v, ok := s.data.Versions[service]; ok && v != to {
		return v
	}
	count := make(map[string]int)
	for _, r := range s.data.Registrations {
		if r.Endpoint != nil && r.Endpoint.Service == service && r.Endpoint.Version != to {
			count[r.Endpoint.Version]++
		}
	}
	best := ""
	for v, n := range count {
		if n > count[best] || (n == count[best] && v < best) {
			best = v
		}
	}
	return best
}

// checkAnnouncement returns why the announcement of an endpoint is out of date, or "".
func (s *State) checkAnnouncement(e *endpoint.Endpoint) string {
	if ended, ok := s.data.Ended[e.ID]; ok && e.Incarnation <= ended.Incarnation {
		return fmt.Sprintf("endpoint %s has ended", e.ID)
	}
	if r, ok := s.data.Registrations[e.ID]; ok && r.Instance.Incarnation > e.Incarnation {
		return fmt.Sprintf("endpoint %s has a later incarnation", e.ID)
	}
	if r := s.registrationAtTarget(e); r != nil && r.Instance.Incarnation > e.Incarnation {
		return fmt.Sprintf("endpoint %s has the address since", r.Instance.ID)
	}
	return ""
}

// registrationAtTarget returns the registration of another endpoint with the same target, nil
// without one. There is at most one, as registering an endpoint unregisters the one before it.
func (s *State) registrationAtTarget(e *endpoint.Endpoint) *Registration {
	for id, r := range s.data.Registrations {
		if r.Endpoint != nil && r.Endpoint.Target == e.Target && id != e.ID {
			return r
		}
	}
	return nil
}

// endEndpoint unregisters an endpoint that leaves and records its end. Incarnation 0 stands
// for the registered one.
func (s *State) endEndpoint(c *EndEndpoint) *Result {
	r, ok := s.data.Registrations[c.ID]
	incarnation := c.Incarnation
	if incarnation == 0 && ok {
		incarnation = r.Instance.Incarnation
	}
	if e := s.data.Ended[c.ID]; e.Incarnation < incarnation {
		s.data.Ended[c.ID] = Ended{Incarnation: incarnation, At: s.data.Now}
	}
	if ok && r.Instance.Incarnation <= incarnation {
		s.unregister(r)
		s.raiseDirectoryRevision()
	}
	return &Result{}
}

// Registration returns the registration of a process, nil without one. Callers must not modify
// it.
func (s *State) Registration(id instance.ID) *Registration { return s.data.Registrations[id] }

// EndedIncarnation returns the latest incarnation of an endpoint that ended, 0 if none did
// within EndedRetention.
func (s *State) EndedIncarnation(id endpoint.ID) instance.Incarnation {
	return s.data.Ended[id].Incarnation
}

func (s *State) setControl(c *SetControl) *Result {
	if !slices.Equal(s.data.Control, c.Addresses) {
		s.data.Control = slices.Clone(c.Addresses)
		s.raiseDirectoryRevision()
	}
	s.data.ControlSize = max(s.data.ControlSize, c.Size)
	return &Result{}
}

// ControlSize returns the number of voters that the control group is to have, 0 before the
// first record.
func (s *State) ControlSize() int { return s.data.ControlSize }

// Control returns the recorded link addresses of the control replicas, in order.
func (s *State) Control() []string { return slices.Clone(s.data.Control) }
