package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/budget"
)

// outage plays an account that asks for 0.7 of its limit at 16 gateways, unevenly and at random
// moments. The leader is gone for four seconds from the given step of the traffic on. It returns the
// shares of the tokens asked for that were admitted before, in and after that time, and the draws
// for each request after it.
func outage(seed uint64, from int, without bool) (before, during, after, draws float64) {
	limit := budget.Limit{Rate: 90_000, Burst: 90_000}
	s := newSite(16, limit, seed, without)
	s.step = 10 * time.Millisecond
	for range 1400 { // the machines run for a while before the traffic begins
		s.advance()
	}
	weights, sum := make([]float64, 16), 0.0
	for i := range weights {
		weights[i] = 1 + 3*s.random.Float64()
		sum += weights[i]
	}
	var asked, admitted [3]float64
	requests, drawsBefore := 0, 0
	for i := range from + 1500 {
		s.advance()
		phase := 0
		switch {
		case i >= from+400:
			phase = 2
		case i >= from:
			phase = 1
		}
		s.away = phase == 1
		if i == from+400 {
			s.newLeader(s.fleet())
			drawsBefore = s.draws
			requests = 0
		}
		for j, g := range s.gateways {
			const cost = 2200.0
			if s.random.Float64() >= 0.7*limit.Rate*s.step.Seconds()*weights[j]/sum/cost {
				continue
			}
			requests++
			asked[phase] += cost
			if s.ask(g, cost) {
				admitted[phase] += cost
			}
		}
	}
	draws = float64(s.draws-drawsBefore) / float64(requests)
	return admitted[0] / asked[0], admitted[1] / asked[1], admitted[2] / asked[2], draws
}

// Guards against accounts within their limits that are refused when the leader is lost: soon after the
// traffic began, before it knows where they ask, and later on. And against leases that need more draws
// than there were without them.
func TestLeaderLostUnderTraffic(t *testing.T) {
	const runs = 20
	for _, c := range []struct {
		name           string
		from           int
		leased, unlike float64
	}{
		{"0.57 s after the traffic began", 57, 0.75, 3},
		{"6 s after the traffic began", 600, 0.9, 3},
	} {
		var sums [2][4]float64
		for seed := range uint64(runs) {
			for i, without := range []bool{false, true} {
				before, during, after, draws := outage(seed, c.from, without)
				for j, v := range []float64{before, during, after, draws} {
					sums[i][j] += v / runs
				}
			}
		}
		for i, name := range []string{"with leases", "without"} {
			t.Logf("%s, %s: admitted %.3f before, %.3f while the leader is gone, %.3f afterwards; %.2f draws a request", c.name, name, sums[i][0], sums[i][1], sums[i][2], sums[i][3])
		}
		leased, drawn := sums[0], sums[1]
		assert.Assert(t, leased[1] > c.leased, "%.3f admitted", leased[1])
		assert.Assert(t, leased[1] > c.unlike*drawn[1], "%.3f with leases, %.3f without", leased[1], drawn[1])
		assert.Assert(t, leased[0] > 0.98 && leased[2] > 0.98, "%.3f before, %.3f afterwards", leased[0], leased[2])
		assert.Assert(t, leased[3] < 0.5*drawn[3], "%.2f draws with leases, %.2f without", leased[3], drawn[3])
	}
}

// Guards against a share that stays with gateways whose callers have left: after some seconds leases
// are where the requests are.
func TestLeasesFollowTheTraffic(t *testing.T) {
	limit := budget.Limit{Rate: 100_000, Burst: 100_000}
	s := newSite(8, limit, 1, false)
	s.calm = true
	s.step = 10 * time.Millisecond
	for i := range 1600 {
		s.advance()
		hot := s.gateways[i/800]
		if i%800 == 500 {
			s.away = true
		}
		if i%800 == 799 {
			s.away = false
		}
		ok := s.ask(hot, 500)
		assert.Assert(t, ok || i%800 < 300, "step %d: 50,000 of 100,000 tokens a second were asked for", i)
	}
}

// inTouch plays an account that asks for 0.9 of its limit at 29 gateways at random moments, in requests
// that cost more than a wallet keeps, and returns the share of its tokens that was admitted.
func inTouch(seed uint64, without bool) float64 {
	limit := budget.Limit{Rate: 90_000, Burst: 90_000}
	s := newSite(29, limit, seed, without)
	s.step, s.calm = 10*time.Millisecond, true
	asked, admitted := 0.0, 0.0
	for i := range 4000 {
		s.advance()
		for _, g := range s.gateways {
			const cost = 6000.0
			if i < 1000 || s.random.Float64() >= 0.9*limit.Rate*s.step.Seconds()/29/cost {
				continue
			}
			asked += cost
			if s.ask(g, cost) {
				admitted += cost
			}
		}
	}
	return admitted / asked
}

// Guards against leases that refuse within the limit while the leader is in touch.
func TestLeasesRefuseNoMoreThanDraws(t *testing.T) {
	const runs = 20
	leased, drawn := 0.0, 0.0
	for seed := range uint64(runs) {
		leased += inTouch(seed, false) / runs
		drawn += inTouch(seed, true) / runs
	}
	t.Logf("admitted %.3f with leases, %.3f without", leased, drawn)
	assert.Assert(t, leased >= 0.98*drawn, "admitted %.3f with leases, %.3f without", leased, drawn)
}
