package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/budget"
	"toucantiller.dev/instance"
)

// Guards against gateways that together admit more in any 8 s than the limit, its overrun and its
// slack allow: with more asked than the limit everywhere, while leaders change, two of them grant for a
// while, calls come late or their answers are lost, gateways die, restart and are cut off, and limits
// change.
func TestLeasesKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := budget.Limit{Rate: 100_000, Burst: 100_000}
		n := rapid.SampledFrom([]int{2, 8, 16}).Draw(t, "gateways")
		s := newSite(n, limit, rapid.Uint64().Draw(t, "seed"), false)
		var all []spent
		for i := range 1250 {
			if i%25 == 0 {
				s.disturb(t)
			}
			s.advance()
			pressure := 2 + s.random.IntN(5)
			for range pressure {
				g := s.gateways[s.random.IntN(n)]
				cost := float64(100 + s.random.IntN(2900))
				if !g.dead && s.ask(g, cost) {
					all = append(all, spent{at: s.now, cost: cost})
				}
			}
		}
		assertWithinLimit(t, limit, all)
	})
}

// Guards against shares of a limit that are in use at two gateways at a time, whatever messages are lost or
// late, and however leaders and gateways change.
func TestSharesInUseAreLeasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.SampledFrom([]int{2, 3, 5}).Draw(t, "gateways"), budget.Limit{Rate: 100_000, Burst: 100_000}, rapid.Uint64().Draw(t, "seed"), false)
		hot := 0
		for i := range 1250 {
			if i%25 == 0 {
				s.disturb(t)
				hot = s.random.IntN(len(s.gateways))
			}
			s.advance()
			s.ask(s.gateways[hot], 2000)
			sum := 0.0
			for _, g := range s.gateways {
				if !g.dead {
					sum += g.wallet.Share(s.now)
				}
			}
			assert.Assert(t, sum <= 0.9+1e-9, "step %d: %.3f of the limit are in use on lease", i, sum)
		}
	})
}

// Guards against tokens that are granted twice: without slack, bursts after idle times get no more than one
// bucket with the widened limit has, and the last request in advance.
func TestLeasesAndDrawsShareOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := budget.Limit{Rate: 100_000, Burst: 100_000}
		s := newSite(5, limit, rapid.Uint64().Draw(t, "seed"), false)
		s.tolerance = budget.Tolerance{Overrun: 0.1}
		s.leader.pool = nil
		s.stale, s.leader = nil, nil
		s.newLeader(s.fleet())
		const cost = 1000.0
		lowered := rapid.IntRange(300, 900).Draw(t, "lowered at step")
		var all []spent
		busy := false
		for i := range 1250 {
			if i%50 == 0 {
				busy = rapid.Bool().Draw(t, "busy")
				s.away = rapid.IntRange(0, 9).Draw(t, "away") == 0
			}
			if i == lowered {
				limit = budget.Limit{Rate: 40_000, Burst: 40_000}
				s.limit, s.leader.limit = limit, limit
				for _, g := range s.gateways {
					s.configure(g)
				}
				all = nil
			}
			s.advance()
			for range 60 {
				if busy && s.ask(s.gateways[s.random.IntN(5)], cost) {
					all = append(all, spent{at: s.now, cost: cost})
				}
			}
			if i == lowered-1 || i == 1249 {
				for _, window := range []time.Duration{time.Second / 10, time.Second, 8 * time.Second} {
					assertAtMost(t, window, 1.05*(limit.Rate*window.Seconds()+limit.Burst)+cost, all)
				}
			}
		}
	})
}

// Guards against a wallet that passes on to the pool what it got without it, or spends a lease after its end.
func TestWalletAtTheEndOfItsLease(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := budget.Limit{Rate: 1000, Burst: 1000}
	lease := func() budget.Lease { return budget.Lease{Share: 0.9, Overdraft: 500, End: now.Add(time.Second)} }
	w := &budget.Wallet{}
	w.Configure(limit, 1, now)
	w.Hold(lease(), now)
	w.RecordDrawFailure(now)
	ok, _, _, _ := w.Take(500, now)
	assert.Assert(t, ok, "within the overdraft")
	ok, _, _, wait := w.Take(100, now)
	assert.Assert(t, !ok && wait > 0 && wait <= 200*time.Millisecond, "%t, wait %s", ok, wait)
	now = now.Add(10 * time.Second)
	ok, _, _, _ = w.Take(500, now)
	assert.Assert(t, ok, "a tenth of the limit for 9 s")
	ok, _, _, _ = w.Take(1, now)
	assert.Assert(t, !ok, "spends the lease after its end")

	now = now.Add(10 * time.Second)
	w.Hold(lease(), now)
	ok, draw, _, _ := w.Take(1, now)
	assert.Assert(t, !ok && draw, "keeps beside its lease what it got without one")

	// While nobody looks at the wallet it overflows. The pool must not take for new what it had no room for.
	w = &budget.Wallet{}
	w.Configure(limit, 1, now)
	w.Hold(budget.Lease{Share: 0.9, End: now.Add(time.Minute)}, now)
	w.Returns(now)
	now = now.Add(5 * time.Second)
	returned := w.Returns(now)
	assert.Assert(t, len(returned) == 1 && returned[0].Tokens > 0 && returned[0].Age == 5*time.Second, "%v", returned)
}

// renewal asks for a lease of a gateway that holds a share until the lease's duration from now has passed.
func renewal(id instance.ID, asked, share float64, term uint64) *budget.Renewal {
	r := &budget.Renewal{Gateway: id, Incarnation: 1, Duration: leaseDuration, Asked: map[string]float64{account: asked}}
	if share > 0 {
		r.Held = budget.Held{Term: term, Left: leaseDuration, Shares: budget.Shares{Other: share}}
	}
	return r
}

// Guards against a wallet that hoards while draws for a request that it cannot pay are answered with nothing.
func TestRefusedDrawsDoNotFillAWallet(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &budget.Wallet{}
	w.Configure(budget.Limit{Rate: 1000, Burst: 1000}, 1, now)
	w.Hold(budget.Lease{Share: 0.9, End: now.Add(time.Minute)}, now)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		_, draw, _, _ := w.Take(20_000, now)
		assert.Assert(t, draw)
		w.Credit(0, now)
	}
	ok, _, _, _ := w.Take(1000, now)
	assert.Assert(t, !ok, "it may keep 750")
}

// Guards against two leaders that grant the same share, while the earlier one does not know yet that it
// was replaced.
func TestReplacedLeaderGrantsNoShareTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := budget.Fleet{"g": 1, "h": 1}
	terms := budget.LeaseTerms{Term: 1, Duration: leaseDuration, Longest: leaseDuration, Overlap: staleFor, MessageLife: delay}
	share := func(p *budget.Pool, r *budget.Renewal, now time.Time) float64 {
		grant, err := p.Renew(r, fleet, leaseDuration, now)
		assert.NilError(t, err)
		return grant.Shares.Of(account)
	}
	old := budget.NewLeasingPool(tolerance, terms, nil, now)
	assert.Equal(t, share(old, renewal("g", 0, 0, 0), now), 0.45)
	assert.Equal(t, share(old, renewal("h", 0, 0, 0), now), 0.45)

	// h renews at the new leader shortly before its lease ends. The old one must not pass it on then.
	began := now.Add(5 * time.Second)
	terms.Term = 2
	next := budget.NewLeasingPool(tolerance, terms, fleet, began)
	assert.Equal(t, share(next, renewal("h", 1000, 0.45, 1), began), 0.45)
	assert.Equal(t, share(old, renewal("g", 1000, 0.45, 1), began.Add(staleFor)), 0.45)
	_, err := old.Renew(renewal("h", 1000, 0.45, 2), fleet, leaseDuration, began)
	assert.ErrorIs(t, err, budget.ErrSuperseded)

	// What g told may be out of date as long as the old leader, or a message on its way, can change it.
	assert.Equal(t, share(next, renewal("g", 0, 0.1, 1), began), 0.1)
	assert.Equal(t, share(next, renewal("h", 1000, 0.45, 2), began.Add(staleFor)), 0.45, "all have told")
	later := began.Add(staleFor + delay + time.Millisecond)
	share(next, renewal("g", 0, 0.1, 2), later)
	assert.Assert(t, share(next, renewal("h", 1000, 0.45, 2), later) > 0.45)
}

// Guards against a limit that was lowered and that leases granted before exceed, once all gateways know it.
func TestLoweredLimitHoldsOverLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high, low := budget.Limit{Rate: 200_000, Burst: 200_000}, budget.Limit{Rate: 20_000, Burst: 20_000}
		s := newSite(8, high, rapid.Uint64().Draw(t, "seed"), false)
		lowered := rapid.IntRange(100, 400).Draw(t, "lowered at step")
		lost := rapid.IntRange(0, 750).Draw(t, "leader lost at step")
		var all []spent
		for i := range 1250 {
			if i == lowered {
				s.limit, s.leader.limit = low, low
				for _, g := range s.gateways {
					s.configure(g)
				}
			}
			if i == lost {
				s.newLeader(s.fleet())
			}
			s.advance()
			for range 6 {
				if cost := 2000.0; s.ask(s.gateways[s.random.IntN(8)], cost) && i >= lowered {
					all = append(all, spent{at: s.now, cost: cost})
				}
			}
		}
		assertWithinLimit(t, low, all)
	})
}

// Guards against refusals of an account within its share of the limit at each gateway, while leaders
// change and are away, and gateways are cut off for less than a lease lasts.
func TestAccountWithinItsShareIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := budget.Limit{Rate: 100_000, Burst: 100_000}
		s := newSite(8, limit, rapid.Uint64().Draw(t, "seed"), false)
		weights := make([]float64, 8)
		sum := 0.0
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
			sum += weights[i]
		}
		owed := make([]float64, 8)
		outage := rapid.IntRange(25, 175).Draw(t, "outage steps")
		for i := range 1500 {
			s.advance()
			if i > 250 && i%500 == 0 {
				s.away = rapid.Bool().Draw(t, "away")
				for _, g := range s.gateways {
					g.cut = rapid.Bool().Draw(t, "cut")
				}
				if rapid.Bool().Draw(t, "new leader") {
					s.newLeader(s.fleet())
				}
			}
			if i%500 == outage {
				s.away = false
				for _, g := range s.gateways {
					g.cut = false
				}
			}
			for j, g := range s.gateways {
				owed[j] += 0.65 * limit.Rate * s.step.Seconds() * weights[j] / sum
				for owed[j] >= 1000 {
					owed[j] -= 1000
					assert.Assert(t, s.ask(g, 1000) || i < 250, "step %d: gateway %d refused", i, j)
				}
			}
		}
	})
}
