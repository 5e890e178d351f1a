package state

// NextUsageWindow returns the first window of usage that is not fixed, 0 if none is fixed yet.
func (s *State) NextUsageWindow() int64 { return 0 }
