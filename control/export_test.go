package control

import (
	"time"

	"toucantiller.dev/usage"
)

// SetUsageWindow sets the length of windows before Start.
func (s *Server) SetUsageWindow(length time.Duration) { s.usageWindow = length }

// Usage returns the collector of the present term.
func (s *Server) Usage() *usage.Collector {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}
