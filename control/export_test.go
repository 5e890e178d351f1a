package control

import "toucantiller.dev/usage"

// Usage returns the collector of the present term.
func (s *Server) Usage() *usage.Collector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}
