package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/budget"
)

// gateways draw from one pool; some are cut off from it for a while.
type gateways struct {
	pool    *budget.Pool
	wallets []*budget.Wallet
	cut     []bool
	limit   budget.Limit
	// returns counts the returns of all gateways.
	returns uint64
}

// tolerance is that of the users' platform.
var tolerance = budget.Tolerance{Overrun: 0.1, Slack: 110_000}

// newGateways returns eight gateways on one pool.
func newGateways(limit budget.Limit, now time.Time) *gateways {
	g := &gateways{pool: budget.NewPool(tolerance), limit: limit, cut: make([]bool, 8)}
	for range g.cut {
		w := &budget.Wallet{}
		w.Configure(limit, 1.0/8, now)
		g.wallets = append(g.wallets, w)
	}
	return g
}

func (g *gateways) spend(i int, cost float64, now time.Time) bool {
	w := g.wallets[i]
	ok, draw, want, _ := w.Take(cost, now)
	if !draw {
		return ok
	}
	if g.cut[i] {
		w.RecordDrawFailure(now)
		ok, _, _, _ = w.Take(cost, now)
		return ok
	}
	g.returns++
	id, returned := budget.ReturnID{Gateway: "g", Number: g.returns}, w.Returns(now)
	for range 2 { // a call whose answer was lost is repeated
		g.pool.Return("a", g.limit, id, returned, now)
	}
	if got, _ := g.pool.Draw("a", g.limit, want, cost, now); got > 0 {
		w.Credit(got, now)
	}
	ok, _, _, _ = w.Take(cost, now)
	return ok
}

// spent is the cost of a request that ran.
type spent struct {
	at      time.Time
	gateway int
	cost    float64
}

// assertWithinLimit fails the test if the requests of any 8 s cost more than the limit and its
// tolerance allow. They are in order of time.
func assertWithinLimit(t *rapid.T, limit budget.Limit, all []spent) {
	const window = 8 * time.Second
	assertAtMost(t, window, (limit.Rate*window.Seconds()+limit.Burst)*(1+tolerance.Overrun)+tolerance.Slack, all)
}

// assertAtMost fails the test if the requests of any window cost more than the bound. They are in order of
// time.
func assertAtMost(t *rapid.T, window time.Duration, bound float64, all []spent) {
	sum, from := 0.0, 0
	for _, s := range all {
		sum += s.cost
		for s.at.Sub(all[from].at) >= window {
			sum -= all[from].cost
			from++
		}
		assert.Assert(t, sum <= bound, "%.0f tokens in %s, allowed are %.0f", sum, window, bound)
	}
}

// Guards against gateways that together admit more tokens in any 8 s than the limit, its
// overrun and its slack allow, while traffic moves between them, up to three of eight are
// cut off and a new leader starts with an empty pool.
func TestLimitHoldsOverAllGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := budget.Limit{Rate: 100_000, Burst: 100_000}
		now := time.Unix(0, 0)
		g := newGateways(limit, now)
		var all []spent
		leaderLost := rapid.IntRange(0, 2000).Draw(t, "leader lost at step")
		hot := 0
		for step := range 2000 {
			now = now.Add(10 * time.Millisecond)
			if step == leaderLost {
				g.pool = budget.NewPool(tolerance)
			}
			if step%200 == 0 {
				hot = rapid.IntRange(0, 7).Draw(t, "hot")
				for i := range 3 {
					g.cut[i] = rapid.Bool().Draw(t, "cut")
				}
			}
			for range 3 {
				i := hot
				if rapid.Bool().Draw(t, "elsewhere") {
					i = rapid.IntRange(0, 7).Draw(t, "gateway")
				}
				cost := float64(rapid.IntRange(100, 6000).Draw(t, "cost"))
				if g.spend(i, cost, now) {
					all = append(all, spent{at: now, cost: cost})
				}
			}
		}
		assertWithinLimit(t, limit, all)
	})
}

// Guards against gateways that spend refunds of requests that hung for seconds beside what the pool
// refilled meanwhile, with cut-off gateways and a new leader in between.
func TestRefundsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := budget.Limit{Rate: 100_000, Burst: 100_000}
		now := time.Unix(0, 0)
		g := newGateways(limit, now)
		hang := time.Duration(rapid.IntRange(500, 7000).Draw(t, "hang ms")) * time.Millisecond
		from := rapid.IntRange(0, 500).Draw(t, "hangs from step")
		lost := rapid.IntRange(0, 2000).Draw(t, "leader lost at step")
		var hanging, ran []spent
		for step := range 2000 {
			now = now.Add(10 * time.Millisecond)
			if step == lost {
				g.pool = budget.NewPool(tolerance)
			}
			if step%200 == 0 {
				for i := range 3 {
					g.cut[i] = rapid.Bool().Draw(t, "cut")
				}
			}
			for len(hanging) > 0 && now.Sub(hanging[0].at) >= hang {
				g.wallets[hanging[0].gateway].Refund(hanging[0].cost, hanging[0].at)
				hanging = hanging[1:]
			}
			hangs := step >= from && step < from+int(hang/(10*time.Millisecond))
			for i := range g.wallets {
				r := spent{at: now, gateway: i, cost: 2000}
				switch {
				case !g.spend(i, r.cost, now):
				case hangs:
					hanging = append(hanging, r)
				default:
					ran = append(ran, r)
				}
			}
		}
		assertWithinLimit(t, limit, ran)
	})
}

// Guards against a budget that refuses within the limit because traffic is at one gateway,
// as a fixed split does.
func TestLimitFollowsTheTraffic(t *testing.T) {
	limit := budget.Limit{Rate: 100_000, Burst: 100_000}
	now := time.Unix(0, 0)
	g := newGateways(limit, now)
	for step := range 1000 {
		now = now.Add(20 * time.Millisecond)
		assert.Assert(t, g.spend(step/250, 1900, now), "step %d: 95,000 of 100,000 tokens a second were asked for", step)
	}
}

// Guards against large requests that are refused while small ones of the same account keep
// the balance low, and one larger than the burst that is never admitted.
func TestLargeRequestsAreAdmittedLikeSmallOnes(t *testing.T) {
	limit := budget.Limit{Rate: 10_000, Burst: 10_000}
	p := budget.NewPool(budget.Tolerance{})
	now := time.Unix(0, 0)
	asked, admitted := map[float64]int{}, map[float64]int{}
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		cost := 100.0
		if step%10 == 0 {
			cost = 15_000
		}
		asked[cost]++
		if granted, _ := p.Draw("a", limit, cost, cost, now); granted >= cost {
			admitted[cost]++
		}
	}
	small := float64(admitted[100]) / float64(asked[100])
	large := float64(admitted[15_000]) / float64(asked[15_000])
	assert.Assert(t, large > 0.7*small && large > 0, "%.3f of the large and %.3f of the small ones", large, small)
}

// Guards against a returned wait after which a draw is still refused.
func TestDrawSucceedsAfterTheWait(t *testing.T) {
	limit := budget.Limit{Rate: 1000, Burst: 1000}
	p := budget.NewPool(budget.Tolerance{})
	now := time.Unix(0, 0)
	granted, _ := p.Draw("a", limit, 5000, 5000, now)
	assert.Equal(t, granted, 5000.0)
	_, wait := p.Draw("a", limit, 1, 1, now)
	granted, _ = p.Draw("a", limit, 1, 1, now.Add(wait))
	assert.Assert(t, granted >= 1)
}

// Guards against gateways that admit too much when the leader is lost after the whole burst
// was spent and some of them cannot reach the new one. A run of TestLimitHoldsOverAllGateways found it:
// 1,104,454 tokens in 8 s where 1,100,000 are allowed (seed 4981562098016566986).
func TestLimitHoldsAcrossALostLeader(t *testing.T) {
	limit := budget.Limit{Rate: 100_000, Burst: 100_000}
	for cut := range 4 {
		now := time.Unix(0, 0)
		g := newGateways(limit, now)
		sum := 0.0
		for step := range 1800 { // ten idle seconds fill the bucket, then eight count
			now = now.Add(10 * time.Millisecond)
			if step < 1000 {
				_, _ = g.pool.Draw("a", limit, 0, 0, now)
				continue
			}
			if step == 1050 {
				g.pool = budget.NewPool(tolerance)
				for i := range cut {
					g.cut[i] = true
				}
			}
			for i := range g.wallets {
				for range 3 {
					if g.spend(i, 2000, now) {
						sum += 2000
					}
				}
			}
		}
		assert.Assert(t, sum <= 1_100_000, "%d cut off: %.0f tokens", cut, sum)
	}
}

// Guards against a new leader that refuses callers within their limit: after all processes were
// killed the requests of some seconds come at once.
func TestNewPoolServesReturningCallers(t *testing.T) {
	limit := budget.Limit{Rate: 36_000, Burst: 36_000}
	p := budget.NewPool(budget.Tolerance{Overrun: 0.1, Slack: 140_000})
	now := time.Unix(0, 0)
	granted := 0.0
	for range 20 {
		got, _ := p.Draw("a", limit, 2500, 2500, now)
		granted += got
	}
	assert.Equal(t, granted, 50_000.0, "1.4 s of the limit")
}

// Guards against tokens that come back once for each repeat of a call whose answer was lost.
func TestRepeatedReturnCountsOnce(t *testing.T) {
	limit := budget.Limit{Rate: 1000, Burst: 1000}
	p := budget.NewPool(budget.Tolerance{})
	now := time.Unix(0, 0)
	_, _ = p.Draw("a", limit, 1000, 1, now)
	now = now.Add(500 * time.Millisecond)
	drawn, _ := p.Draw("a", limit, 1000, 1, now)
	assert.Equal(t, drawn, 500.0)
	for range 9 {
		p.Return("a", limit, budget.ReturnID{Gateway: "g", Number: 1}, []budget.Returned{{Tokens: 100}}, now)
	}
	granted, _ := p.Draw("a", limit, 1000, 1, now)
	assert.Equal(t, granted, 100.0)
}
