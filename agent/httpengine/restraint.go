package httpengine

import (
	"sync"
	"time"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Wishes are what an answer says about further requests from this process.
type Wishes struct {
	// Leaving is set if the endpoint leaves: it gets no further request.
	Leaving bool
	// RetryAfter is how long the endpoint wants no request, 0 if it did not say.
	RetryAfter time.Duration
}

// maxRestraints bounds the endpoints remembered at one address; the one heard of longest ago
// yields.
const maxRestraints = 8

// endpointStart identifies one start of an endpoint.
type endpointStart struct {
	id          endpoint.ID
	incarnation instance.Incarnation
}

// restraint is what one start of an endpoint has asked for.
type restraint struct {
	of      endpointStart
	leaving bool
	until   time.Time
}

// restraints keeps requests from endpoints that have asked for none.
type restraints struct {
	mu   sync.Mutex
	list []restraint
}

// check returns the refusal of a request that must not be sent, nil for others.
func (s *restraints) check(r *endpoint.Request, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(endpointStart{r.Endpoint, r.Incarnation})
	if i < 0 {
		return nil
	}
	if s.list[i].leaving {
		return &endpoint.RefusedError{Leaving: true}
	}
	if wait := s.list[i].until.Sub(now); wait > 0 {
		return &endpoint.RefusedError{RetryAfter: wait}
	}
	return nil
}

// record remembers what the answer to a request asks for.
func (s *restraints) record(r *endpoint.Request, w Wishes, now time.Time) {
	if !w.Leaving && w.RetryAfter <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	of := endpointStart{r.Endpoint, r.Incarnation}
	next := restraint{of: of, leaving: w.Leaving, until: now.Add(w.RetryAfter)}
	if i := s.find(of); i >= 0 {
		old := s.list[i]
		next.leaving = next.leaving || old.leaving
		if old.until.After(next.until) {
			next.until = old.until
		}
		s.list = append(s.list[:i], s.list[i+1:]...)
	}
	s.list = append(s.list, next)
	s.list = s.list[max(0, len(s.list)-maxRestraints):]
}

// find returns the index of a start of an endpoint, -1 if nothing is remembered of it.
func (s *restraints) find(of endpointStart) int {
	for i := range s.list {
		if s.list[i].of == of {
			return i
		}
	}
	return -1
}
