package control

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Heartbeat is the periodic announcement of an endpoint.
type Heartbeat struct {
	Endpoint endpoint.Endpoint
	// Seq increases with each heartbeat of an incarnation; a heartbeat is late if its Seq is
	// not above the highest one received.
	Seq uint64
}

// lastHeartbeat identifies the last heartbeat that the leader accepted from an endpoint.
type lastHeartbeat struct {
	incarnation instance.Incarnation
	seq         uint64
}

// Heartbeat keeps an endpoint registered. Only changed content is written to the log;
// otherwise its lease is renewed. A late heartbeat is acknowledged without effect.
func (s *Server) Heartbeat(b Heartbeat) error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	if b.Endpoint.ID == "" || b.Endpoint.Incarnation == 0 || b.Endpoint.Target == "" {
		return &InvalidOrderError{"the endpoint has no ID, no incarnation or no address"}
	}
	if !s.acceptHeartbeat(b) {
		return nil
	}
	if s.renewUnchanged(&b.Endpoint) {
		return nil
	}
	in := &api.Register{
		Instance: instance.Instance{ID: b.Endpoint.ID, Role: instance.RoleAgent, Domain: b.Endpoint.Domain, Incarnation: b.Endpoint.Incarnation},
		Endpoint: &b.Endpoint,
	}
	result, err := s.propose(&state.Command{Register: in})
	if err != nil {
		s.forgetHeartbeat(b)
		return err
	}
	if result.Register == nil {
		_ = s.opts.Logger.Log("msg", "heartbeat ignored", "endpoint", b.Endpoint.ID, "reason", result.Refused)
		return nil
	}
	s.mu.Lock()
	s.leases.Grant(result.Register.Lease, time.Now())
	s.mu.Unlock()
	count(s.counts.registrations, 1)
	_ = s.opts.Logger.Log("msg", "endpoint registered", "endpoint", b.Endpoint.ID, "service", b.Endpoint.Service,
		"version", b.Endpoint.Version, "target", b.Endpoint.Target, "leaving", b.Endpoint.Leaving, "seq", b.Seq)
	return nil
}

// acceptHeartbeat records a heartbeat; it returns false for a late one.
func (s *Server) acceptHeartbeat(b Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.lastHeartbeats[b.Endpoint.ID]
	if known && (b.Endpoint.Incarnation < last.incarnation || b.Endpoint.Incarnation == last.incarnation && b.Seq <= last.seq) {
		return false
	}
	s.lastHeartbeats[b.Endpoint.ID] = lastHeartbeat{b.Endpoint.Incarnation, b.Seq}
	return true
}

// forgetHeartbeat allows the same heartbeat to be resent after its log write failed.
func (s *Server) forgetHeartbeat(b Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastHeartbeats[b.Endpoint.ID] == (lastHeartbeat{b.Endpoint.Incarnation, b.Seq}) {
		delete(s.lastHeartbeats, b.Endpoint.ID)
	}
}

// renewUnchanged renews the lease of an endpoint whose announcement equals its registration.
func (s *Server) renewUnchanged(e *endpoint.Endpoint) bool {
	held := uint64(0)
	s.machine.read(func(st *state.State) {
		if r := st.Registration(e.ID); r != nil && r.Endpoint != nil && *r.Endpoint == *e {
			held = r.Lease
		}
	})
	if held == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Grant(held, time.Now())
	return true
}

// EndEndpoint ends an endpoint that announced its departure. incarnation is 0 if the
// announcement named none. It returns once the end is durable.
func (s *Server) EndEndpoint(id endpoint.ID, incarnation instance.Incarnation) error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	held, ended := uint64(0), false
	s.machine.read(func(st *state.State) {
		r := st.Registration(id)
		if r != nil {
			held = r.Lease
		}
		ended = r == nil && (incarnation == 0 || incarnation <= st.EndedIncarnation(id))
	})
	if ended {
		return nil
	}
	_, err := s.propose(&state.Command{EndEndpoint: &state.EndEndpoint{ID: id, Incarnation: incarnation}})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.leases.Remove(held)
	s.mu.Unlock()
	_ = s.opts.Logger.Log("msg", "endpoint ended", "endpoint", id, "incarnation", uint64(incarnation))
	return nil
}
