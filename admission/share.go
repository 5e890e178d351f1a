package admission

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time over which served work counts against an account. It is longer
	// than the objectives of requests, so that a caller who was refused and returns finds the
	// shares that it left.
	shareTimeConstant = 2 * time.Second
	// shareInterval is the time between two updates of the factors.
	shareInterval = 50 * time.Millisecond
	// maxShareFactor bounds how far shares change the order by worth, either way.
	maxShareFactor = 4.0
	// starvedShare is the part of its fair share below which an account goes before all that are
	// not starved.
	starvedShare = 0.25
	// forgottenWork is the work in seconds below which an account that does not wait is dropped.
	forgottenWork = 1e-3
)

// accountShares turns the work that was served for each account of a tier into a factor on the
// density of the account's waiting items. It answers accounts that compete, each within its
// limits, for less room than they need together.
type accountShares struct {
	byName  map[string]*servedWork
	updated time.Time
	// perWeight is the fair work for one unit of weight, in seconds, as of updated.
	perWeight float64
}

// servedWork is the work of an account in seconds, decayed with shareTimeConstant.
type servedWork struct {
	weight, work float64
	at           time.Time
	waiting      bool
}

// add counts work that is served for an account.
func (s *accountShares) add(account string, weight, work float64, now time.Time) {
	a := s.get(account, weight, now)
	a.decay(now)
	a.work += work
}

// get returns the entry of an account, with which it starts if it has none.
func (s *accountShares) get(account string, weight float64, now time.Time) *servedWork {
	if s.byName == nil {
		s.byName = make(map[string]*servedWork)
	}
	a := s.byName[account]
	if a == nil {
		a = &servedWork{at: now}
		s.byName[account] = a
	}
	a.weight = weight
	return a
}

func (a *servedWork) decay(now time.Time) {
	elapsed := max(0, now.Sub(a.at).Seconds())
	a.work *= math.Exp(-elapsed / shareTimeConstant.Seconds())
	a.at = now
}

// update computes the factors anew, at most once an interval, and sets them in the flows.
func (s *accountShares) update(flows []*flow, now time.Time) {
	if now.Sub(s.updated) < shareInterval {
		return
	}
	s.updated = now
	for _, a := range s.byName {
		a.waiting = false
	}
	for _, f := range flows {
		s.get(f.account, f.weight, now).waiting = true
	}
	s.perWeight = s.workPerWeight(now)
	for _, f := range flows {
		s.judge(f, now)
	}
}

// workPerWeight returns the mean work for one unit of weight, over the accounts that wait or were
// served lately. It drops the others.
func (s *accountShares) workPerWeight(now time.Time) float64 {
	work, weight := 0.0, 0.0
	for name, a := range s.byName {
		a.decay(now)
		if !a.waiting && a.work < forgottenWork {
			delete(s.byName, name)
			continue
		}
		work += a.work
		weight += a.weight
	}
	if weight <= 0 {
		return 0
	}
	return work / weight
}

// judge sets how far a flow is ahead of its fair share or behind it. An account without an entry was
// served nothing.
func (s *accountShares) judge(f *flow, now time.Time) {
	work, fair := 0.0, s.perWeight*f.weight
	if a := s.byName[f.account]; a != nil {
		a.decay(now)
		work = a.work
	}
	f.starved = work < starvedShare*fair
	f.factor = shareFactor(work, fair)
}

// shareFactor is the factor on the density of an account that was served work seconds where fair
// seconds were its share.
func shareFactor(work, fair float64) float64 {
	if fair <= 0 {
		return 1
	}
	return min(max(fair/max(work, fair/maxShareFactor), 1/maxShareFactor), maxShareFactor)
}
