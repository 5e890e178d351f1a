package gateway

import (
	"time"

	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
)

// lease gives a new wallet the present lease. s.mu is held.
func (s *wallets) lease(name string, w *budget.Wallet, now time.Time) {
	if s.grant != nil {
		w.Hold(s.grant.Lease(name, s.asked), now)
	}
	if s.away {
		w.RecordDrawFailure(now)
	}
}

// hold gives all wallets a lease that was asked for at a time.
func (s *wallets) hold(g *budget.Grant, asked, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant, s.asked = g, asked
	for name, w := range s.all() {
		w.Hold(g.Lease(name, asked), now)
	}
}

// setAway records whether the leader is away, and returns the time left of the lease.
func (s *wallets) setAway(away bool, now time.Time) (left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	for _, w := range s.all() {
		if away {
			w.RecordDrawFailure(now)
		} else {
			w.Reach(now)
		}
	}
	return s.held(now).Left
}

// held returns what the wallets have on lease. s.mu is held.
func (s *wallets) held(now time.Time) budget.Held {
	if s.grant == nil {
		return budget.Held{}
	}
	left := s.grant.End(s.asked).Sub(now)
	if left <= 0 {
		return budget.Held{}
	}
	return budget.Held{Term: s.grant.Term, Seq: s.grant.Seq, Left: left, Shares: s.grant.Shares}
}

// endLease forgets a lease that has ended and reports whether there was one.
func (s *wallets) endLease(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grant == nil || s.held(now).Left > 0 {
		return false
	}
	s.grant = nil
	return true
}

// renewal returns a request for a lease with what the wallets have, what callers ask for, and the
// tokens that go back.
func (s *wallets) renewal(now time.Time) *api.RenewBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := &api.RenewBudget{Returned: make(map[string][]budget.Returned)}
	in.Held = s.held(now)
	in.Asked, in.Cost = make(map[string]float64), make(map[string]float64)
	for name, w := range s.all() {
		if asked, cost := w.Asked(now); asked > 0 {
			in.Asked[name], in.Cost[name] = asked, cost
		}
		if returned := w.Returns(now); len(returned) > 0 {
			in.Returned[name] = returned
		}
	}
	return in
}

// shifted reports whether what callers of an account ask for has changed much.
func (s *wallets) shifted(now time.Time) bool {
	for _, w := range s.all() {
		if w.Shifted(now) {
			return true
		}
	}
	return false
}

// leasedShare returns the mean share of the accounts' limits that the wallets have on lease.
func (s *wallets) leasedShare(now time.Time) float64 {
	all, sum := s.all(), 0.0
	for _, w := range all {
		sum += w.Share(now)
	}
	return sum / float64(max(1, len(all)))
}

// all returns the wallets by account.
func (s *wallets) all() map[string]*budget.Wallet {
	if m := s.byName.Load(); m != nil {
		return *m
	}
	return nil
}
