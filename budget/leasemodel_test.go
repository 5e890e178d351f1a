package budget_test

import (
	"fmt"
	"math/rand/v2"
	"time"

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
