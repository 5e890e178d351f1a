package state

import (
	"time"

	"toucantiller.dev/quarantine"
)

const (
	// QuarantineRetention is how long a part of prompts is held back after requests with it came
	// last.
	QuarantineRetention = 10 * time.Minute
	// MaxQuarantined bounds the parts held back; the one that came longest ago yields.
	MaxQuarantined = 256
)

// SetQuarantine holds parts of prompts back, or lets them pass again. Held lists parts that are
// new or came again.
type SetQuarantine struct {
	Held     []quarantine.Part
	Released []quarantine.Part
}

func (s *State) setQuarantine(c *SetQuarantine) *Result {
	changed := false
	for _, p := range c.Held {
		if _, known := s.data.Quarantined[p]; !known {
			s.makeQuarantineRoom()
			changed = true
		}
		s.data.Quarantined[p] = s.data.Now
	}
	for _, p := range c.Released {
		if _, known := s.data.Quarantined[p]; known {
			delete(s.data.Quarantined, p)
			changed = true
		}
	}
	if changed {
		s.raiseDirectoryRevision()
	}
	return &Result{}
}

func (s *State) makeQuarantineRoom() {
	if len(s.data.Quarantined) < MaxQuarantined {
		return
	}
	var oldest quarantine.Part
	var at time.Time
	for p, t := range s.data.Quarantined {
		// Equal times are ordered by part, so that all replicas drop the same one.
		if at.IsZero() || t.Before(at) || t.Equal(at) && p < oldest {
			oldest, at = p, t
		}
	}
	delete(s.data.Quarantined, oldest)
}

// releaseQuarantined lets parts pass again that have not come for QuarantineRetention.
func (s *State) releaseQuarantined() {
	released := false
	for p, at := range s.data.Quarantined {
		if s.data.Now.Sub(at) > QuarantineRetention {
			delete(s.data.Quarantined, p)
			released = true
		}
	}
	if released {
		s.raiseDirectoryRevision()
	}
}

// Quarantined returns when requests with a part that is held back last came; held is false for
// other parts.
func (s *State) Quarantined(p quarantine.Part) (at time.Time, held bool) {
	at, held = s.data.Quarantined[p]
	return at, held
}
