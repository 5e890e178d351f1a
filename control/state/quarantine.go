package state

import (
	"time"

	"toucantiller.dev/quarantine"
)

const (
	// QuarantineTime is how long a part of prompts is held back. It then passes on probation, so
	// that a sound part, or one that endpoints bear by now, is not held back for ever.
	QuarantineTime = 10 * time.Minute
	// ProbationTime is how long a part is on probation.
	ProbationTime = time.Hour
	// MaxQuarantined bounds the parts held back, and those on probation; the one that was added
	// longest ago yields.
	MaxQuarantined = 256
)

// SetQuarantine holds parts of prompts back, or lets parts pass again that endpoints have
// answered.
type SetQuarantine struct {
	Held     []quarantine.Part
	Released []quarantine.Part
}

// quarantined holds when each part was added.
type quarantined map[quarantine.Part]time.Time

// add adds a part, in place of the oldest one if there is no room.
func (q quarantined) add(p quarantine.Part, now time.Time) {
	if len(q) >= MaxQuarantined {
		delete(q, q.oldest())
	}
	q[p] = now
}

// oldest returns the part that was added first. Equal times are ordered by part, so that all
// replicas drop the same one.
func (q quarantined) oldest() quarantine.Part {
	var oldest quarantine.Part
	var at time.Time
	for p, t := range q {
		if at.IsZero() || t.Before(at) || t.Equal(at) && p < oldest {
			oldest, at = p, t
		}
	}
	return oldest
}

func (s *State) setQuarantine(c *SetQuarantine) *Result {
	changed := false
	for _, p := range c.Held {
		if !s.Quarantined(p) {
			s.data.Quarantined.add(p, s.data.Now)
			delete(s.data.Probation, p)
			changed = true
		}
	}
	for _, p := range c.Released {
		changed = changed || s.Quarantined(p)
		delete(s.data.Quarantined, p)
	}
	if changed {
		s.raiseDirectoryRevision()
	}
	return &Result{}
}

// endQuarantines puts parts on probation that have been held back for QuarantineTime, and ends
// probations.
func (s *State) endQuarantines() {
	released := false
	for p, at := range s.data.Quarantined {
		if s.data.Now.Sub(at) > QuarantineTime {
			delete(s.data.Quarantined, p)
			s.data.Probation.add(p, s.data.Now)
			released = true
		}
	}
	for p, at := range s.data.Probation {
		if s.data.Now.Sub(at) > ProbationTime {
			delete(s.data.Probation, p)
		}
	}
	if released {
		s.raiseDirectoryRevision()
	}
}

// Quarantined reports whether a part is held back.
func (s *State) Quarantined(p quarantine.Part) bool {
	_, held := s.data.Quarantined[p]
	return held
}

// OnProbation reports whether a part was held back until lately.
func (s *State) OnProbation(p quarantine.Part) bool {
	_, known := s.data.Probation[p]
	return known
}
