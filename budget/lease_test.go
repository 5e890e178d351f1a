package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/budget"
	"toucantiller.dev/instance"
)

const (
	leaseDuration = 6 * time.Second
	// staleFor is how long a replaced leader goes on granting; delay is the longest transit of a message.
	staleFor = 1500 * time.Millisecond
	delay    = 2 * time.Second
	account  = "a"
)

// site is a model of gateways with leases and the leaders that grant them.
type site struct {
	limit budget.Limit
	// tolerance is that of the leaders.
	tolerance budget.Tolerance
	now       time.Time
	step      time.Duration
	leader    *leader
	stale     *leader // the one before, which may not know that it was replaced
	gateways  []*leasedGateway
	late      []lateMessage
	random    *rand.Rand
	// away is set while gateways reach no leader.
	away bool
	// without is set for gateways that only draw.
	without bool
	// calm is set while no message is lost or late.
	calm    bool
	returns uint64
	// draws counts the draws that reached a leader.
	draws int
}

type leader struct {
	pool  *budget.Pool
	term  uint64
	limit budget.Limit
	until time.Time
}

type leasedGateway struct {
	id          instance.ID
	incarnation instance.Incarnation
	wallet      *budget.Wallet
	limit       budget.Limit
	held        budget.Grant
	end, asked  time.Time
	offline     bool
	dead, cut   bool
	// usesStale is set while the gateway takes the replaced leader for the leader.
	usesStale bool
}

// lateMessage is a copy of a renewal that a leader gets late; its answer is lost.
type lateMessage struct {
	at      time.Time
	leader  *leader
	renewal budget.Renewal
}

func newSite(n int, limit budget.Limit, seed uint64, without bool) *site {
	s := &site{limit: limit, tolerance: tolerance, now: time.Unix(1000, 0), step: 20 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1)), without: without}
	for i := range n {
		s.gateways = append(s.gateways, &leasedGateway{id: instance.ID(fmt.Sprint("g", i))})
	}
	s.newLeader(budget.Fleet{})
	for i := range s.gateways {
		s.restart(i)
	}
	return s
}

func (s *site) fleet() budget.Fleet {
	f := make(budget.Fleet)
	for _, g := range s.gateways {
		if g.incarnation > 0 {
			f[g.id] = g.incarnation
		}
	}
	return f
}

// newLeader replaces the leader; the former one goes on for a while.
func (s *site) newLeader(fleet budget.Fleet) {
	s.stale = s.leader
	term := uint64(1)
	if s.stale != nil {
		s.stale.until = s.now.Add(staleFor)
		term += s.stale.term
	}
	terms := budget.LeaseTerms{Term: term, Duration: leaseDuration, Longest: leaseDuration, Overlap: staleFor, MessageLife: delay}
	s.leader = &leader{pool: budget.NewLeasingPool(s.tolerance, terms, fleet, s.now), term: term, limit: s.limit}
	if s.without {
		s.leader.pool = budget.NewPool(s.tolerance)
	}
	for _, g := range s.gateways {
		g.usesStale = s.stale != nil && s.random.IntN(2) == 0
	}
}

// restart starts another incarnation of a gateway with an empty wallet.
func (s *site) restart(i int) {
	g := s.gateways[i]
	*g = leasedGateway{id: g.id, incarnation: g.incarnation + 1, wallet: &budget.Wallet{}, cut: g.cut}
	s.configure(g)
}

// configure gives a gateway the present limit.
func (s *site) configure(g *leasedGateway) {
	g.limit = s.limit
	g.wallet.Configure(s.limit, 1/float64(len(s.gateways)), s.now)
}

// reached returns the leader that a gateway reaches; nil if there is none.
func (s *site) reached(g *leasedGateway) *leader {
	if g.usesStale && s.now.After(s.stale.until) {
		g.usesStale = false
	}
	switch {
	case s.away || g.cut || g.dead:
		return nil
	case g.usesStale:
		return s.stale
	default:
		return s.leader
	}
}

// advance lets a step of time pass, in which gateways renew their leases when that is due.
func (s *site) advance() {
	s.now = s.now.Add(s.step)
	kept := s.late[:0]
	for _, m := range s.late {
		if s.now.Before(m.at) {
			kept = append(kept, m)
		} else if m.leader.until.IsZero() || s.now.Before(m.leader.until) {
			_, _ = m.leader.pool.Renew(&m.renewal, s.fleet(), leaseDuration, s.now)
		}
	}
	s.late = kept
	for _, g := range s.gateways {
		interval := time.Second
		if g.offline || g.wallet.Shifted(s.now) {
			interval = 250 * time.Millisecond
		}
		if !g.dead && !s.without && s.now.Sub(g.asked) >= interval {
			s.renew(g)
		}
	}
}

func (s *site) renew(g *leasedGateway) {
	g.asked = s.now.Add(-time.Duration(s.random.IntN(50)) * time.Millisecond) // when the call began
	r := budget.Renewal{Gateway: g.id, Incarnation: g.incarnation, Duration: leaseDuration, Asked: make(map[string]float64), Cost: make(map[string]float64)}
	if left := g.end.Sub(s.now); left > 0 {
		r.Held = budget.Held{Term: g.held.Term, Seq: g.held.Seq, Left: left, Shares: g.held.Shares}
	}
	if asked, cost := g.wallet.Asked(s.now); asked > 0 {
		r.Asked[account], r.Cost[account] = asked, cost
	}
	l := s.reached(g)
	if l == nil {
		g.offline = true
		g.wallet.RecordDrawFailure(s.now)
		return
	}
	if !s.calm && s.random.IntN(10) == 0 { // the client repeats the call, the first one comes late
		s.late = append(s.late, lateMessage{at: s.now.Add(time.Duration(s.random.Int64N(int64(delay)))), leader: l, renewal: r})
	}
	s.returned(g, l)
	grant, err := l.pool.Renew(&r, s.fleet(), leaseDuration, s.now)
	if !s.calm && s.random.IntN(10) == 0 || err != nil || grant.Duration <= 0 { // the answer is lost
		g.offline = true
		g.wallet.RecordDrawFailure(s.now)
		return
	}
	g.held, g.end, g.offline = grant, grant.End(g.asked), false
	if g.limit != s.limit {
		s.configure(g)
	}
	g.wallet.Hold(grant.Lease(account, g.asked), s.now)
}

// returned gives back to the leader what the gateway may not keep.
func (s *site) returned(g *leasedGateway, l *leader) {
	s.returns++
	l.pool.Return(account, l.limit, budget.ReturnID{Gateway: g.id, Number: s.returns}, g.wallet.Returns(s.now), s.now)
}

// ask reports whether a gateway admits a request. took is how long the request waited for a draw.
func (s *site) ask(g *leasedGateway, cost float64) (ok bool) {
	ok, draw, want, _ := g.wallet.Take(cost, s.now)
	if !draw {
		return ok
	}
	if l := s.reached(g); l != nil {
		s.draws++
		s.returned(g, l)
		granted, _ := l.pool.Draw(account, l.limit, want, min(want, cost), s.now)
		g.wallet.Credit(granted, s.now)
	} else {
		g.offline = true
		g.wallet.RecordDrawFailure(s.now)
	}
	if s.without {
		ok, _, _, _ = g.wallet.Take(cost, s.now)
		return ok
	}
	ok, _ = g.wallet.TakeDrawn(cost, s.now)
	return ok
}

// disturb changes leaders, links, processes and limits as rapid says.
func (s *site) disturb(t *rapid.T) {
	i := rapid.IntRange(0, len(s.gateways)-1).Draw(t, "gateway")
	g := s.gateways[i]
	switch rapid.SampledFrom([]string{"none", "leader", "away", "cut", "kill", "restart", "limit"}).Draw(t, "event") {
	case "leader":
		if s.stale == nil || s.now.After(s.stale.until) {
			s.newLeader(s.fleet())
		}
	case "away":
		s.away = !s.away
	case "cut":
		cut := 0
		for _, g := range s.gateways {
			if g.cut {
				cut++
			}
		}
		g.cut = !g.cut && cut < 3*len(s.gateways)/8
	case "kill":
		g.dead = true
	case "restart":
		s.restart(i)
	case "limit":
		rate := rapid.SampledFrom([]float64{20_000, 50_000, 100_000}).Draw(t, "rate")
		s.limit = budget.Limit{Rate: rate, Burst: rate}
		s.leader.limit = s.limit
	}
}

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
