package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// TestPickMatchesNaivePick guards against a pick of an endpoint that a filter
// excludes, a wrong reason for none, and a choice far from the best estimate.
func TestPickMatchesNaivePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		in := fleet(n, 1)
		s := NewSnapshot(in)
		now := start.Add(time.Second)
		loads := map[endpoint.ID]endpoint.Load{}
		own := map[endpoint.ID]int{}
		for _, c := range s.Candidates("model-0") {
			load := endpoint.Load{
				Limit: rapid.IntRange(1, 8).Draw(t, "limit"), Running: rapid.IntRange(0, 10).Draw(t, "running"),
				PrefillRate: rapid.Float64Range(500, 8000).Draw(t, "prefill"), DecodeRate: rapid.Float64Range(10, 80).Draw(t, "decode"),
				Floor: rapid.IntRange(-1, 2).Draw(t, "floor"), Cold: rapid.Bool().Draw(t, "cold"), Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
			}
			c.Observe(load, now)
			loads[c.Endpoint.ID] = load
			own[c.Endpoint.ID] = rapid.IntRange(0, 3).Draw(t, "own")
			for range own[c.Endpoint.ID] {
				c.AddOutstanding(100, 50)
			}
		}
		r := &Request{Service: "model-0", Version: "v1", Tier: 1, PromptTokens: rapid.IntRange(1, 5000).Draw(t, "prompt"), AnswerTokens: rapid.IntRange(1, 500).Draw(t, "answer")}
		if rapid.Bool().Draw(t, "exclude") {
			r.Excluded = []endpoint.ID{in.Endpoints[0].ID}
		}
		cost := map[endpoint.ID]float64{}
		best := math.Inf(1)
		for _, e := range in.Endpoints {
			load, o := loads[e.ID], float64(own[e.ID])
			requests := o + float64(load.Running)
			room := float64(load.Limit)
			if !load.Cold {
				room = math.Ceil(room * (1 + overcommitShare))
			}
			out := load.Leaving || slices.Contains(r.Excluded, e.ID) || (load.Floor >= 0 && 1 > load.Floor) || requests+1 > room
			if !out {
				cost[e.ID] = naiveCost(in, e, load, o, r)
				best = math.Min(best, cost[e.ID])
			}
		}
		d := s.Pick(r, now, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if len(cost) == 0 {
			assert.Assert(t, d.Candidate == nil && d.Reason != ReasonNone, d)
			return
		}
		assert.Assert(t, d.Candidate != nil, "%v, eligible %v", d, cost)
		got, ok := cost[d.Candidate.Endpoint.ID]
		assert.Assert(t, ok, "picked the excluded %s", d)
		assert.Assert(t, got <= best*(1+nearShare)+nearSlack+1e-9, "picked cost %f, best %f", got, best)
	})
}

// TestSaturatedFilterMatchesNaive guards against a saturated endpoint that is kept, and
// one with room that is dropped, by the shortcut or by the sum of signs.
func TestSaturatedFilterMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSnapshot(fleet(rapid.IntRange(1, MaxCandidates).Draw(t, "endpoints"), 1))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		busy := rapid.IntRange(0, 20).Draw(t, "busy")
		for _, c := range s.Candidates("model-0") {
			c.Observe(endpoint.Load{Limit: 1 + rng.IntN(8), Running: rng.IntN(busy + 1), Cold: rng.IntN(2) == 0, Floor: -1}, start)
		}
		svc := s.services["model-0"]
		x := &scratch{n: len(svc.states), states: svc.states, nanos: s.base.nanos(start)}
		x.estimateLoads()
		r := &Request{PromptTokens: 100, Prefixes: []Prefix{{1, 80}}}
		var want []uint8
		for i := range x.live {
			x.cachedTokens[i] = float64(rng.IntN(2) * 80)
			room := float64(x.reports[i].capacity)
			if x.cachedTokens[i] > 50 {
				room = float64(x.reports[i].holderCapacity())
			}
			if x.requests[i]+1 <= room+estimateSlack {
				want = append(want, uint8(i))
			}
		}
		saturatedFilter{}.Apply(x, r)
		assert.Assert(t, slices.Equal(x.live, want), "got %v, want %v", x.live, want)
	})
}

// naiveCost adds up what the plugins of the default profile charge, in seconds.
func naiveCost(in SnapshotInput, e endpoint.Endpoint, load endpoint.Load, own float64, r *Request) float64 {
	requests := own + float64(load.Running)
	limit := float64(load.Limit)
	answer := float64(r.AnswerTokens)
	first := (100*own+float64(r.PromptTokens))/load.PrefillRate + 2*distance(in.Config.Domains[in.Domain], in.Config.Domains[e.Domain]).Seconds()
	if over := requests + 1 - limit; over > 0 {
		held := answer
		if own > 0 {
			held = math.Max(answer, 50)
		}
		first += over / limit * held / load.DecodeRate
	}
	rest := answer / load.DecodeRate * (1 + crowdingSlowdown*(requests/limit)*(requests/limit))
	prefill := float64(r.PromptTokens) / load.PrefillRate
	return weightFirstToken*first + weightPrefill*prefill + weightFinish*rest + weightOccupancy*occupancyCost*requests/limit
}

// observeIdle reports every endpoint idle, with the given limit.
func observeIdle(s *Snapshot, limit int, now time.Time) []*Candidate {
	list := s.Candidates("model-0")
	for _, c := range list {
		c.Observe(endpoint.Load{Limit: limit, PrefillRate: 4000, DecodeRate: 40, Floor: -1}, now)
	}
	return list
}

// TestNoHerding guards against gateways that read the same stale report and all
// choose the endpoint that was idle when it was made.
func TestNoHerding(t *testing.T) {
	const gateways, picks = 30, 3
	total := map[endpoint.ID]int{}
	for g := range gateways {
		in := fleet(20, 1)
		in.Gateway = instance.ID(fmt.Sprint("gateway-", g))
		s := NewSnapshot(in)
		for i, c := range observeIdle(s, 64, start) {
			// One endpoint looks idle, the others have a little work.
			running := 4
			if i == 7 {
				running = 0
			}
			c.Observe(endpoint.Load{Limit: 64, Running: running, PrefillRate: 4000, DecodeRate: 40, Floor: -1}, start.Add(time.Millisecond))
		}
		rng := rand.New(rand.NewPCG(uint64(g), 9))
		for range picks {
			c := s.Pick(&Request{Service: "model-0", PromptTokens: 200, AnswerTokens: 100}, start.Add(5*time.Second), rng).Candidate
			c.AddOutstanding(200, 100)
			total[c.Endpoint.ID]++
		}
	}
	fair := gateways * picks / 20
	for id, n := range total {
		assert.Check(t, n <= 3*fair, "%s got %d, fair is %d", id, n, fair)
	}
}

// TestLongCallDoesNotBlockFreeSlots guards against an endpoint with a free slot that counts
// as busy because one of its calls has a 100 times longer answer.
func TestLongCallDoesNotBlockFreeSlots(t *testing.T) {
	s := NewSnapshot(fleet(2, 1))
	list := observeIdle(s, 8, start)
	list[0].AddOutstanding(100, 10000)
	list[0].PrefillDone(100)
	list[1].AddOutstanding(100, 100)
	list[1].PrefillDone(100)
	seen := map[endpoint.ID]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		d := s.Pick(&Request{Service: "model-0", PromptTokens: 200, AnswerTokens: 100}, start, rng)
		assert.Assert(t, d.FirstToken < 100*time.Millisecond, d)
		seen[d.Candidate.Endpoint.ID]++
	}
	assert.Check(t, seen[list[0].Endpoint.ID] > 50, "%v", seen)
	// With every slot of the first held by long calls, short calls go to the other.
	for range 7 {
		list[0].AddOutstanding(0, 10000)
		list[1].AddOutstanding(0, 100)
	}
	for range 100 {
		d := s.Pick(&Request{Service: "model-0", PromptTokens: 200, AnswerTokens: 100}, start, rng)
		assert.Equal(t, d.Candidate.Endpoint.ID, list[1].Endpoint.ID)
	}
}

// TestGatewaysAgreeOnHolder guards against prefixes that are prefilled at every endpoint because
// the gateways disagree on their holder.
func TestGatewaysAgreeOnHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Uint64().Draw(t, "prefix")
		holders := map[endpoint.ID]bool{}
		var s *Snapshot
		pick := func(seed uint64) Decision {
			r := &Request{Service: "model-0", PromptTokens: 4400, AnswerTokens: 50, Prefixes: []Prefix{{prefix, 4000}}}
			return s.Pick(r, start, rand.New(rand.NewPCG(seed, 1)))
		}
		for g := range uint64(3) {
			in := fleet(20, 1)
			in.Gateway = instance.ID(fmt.Sprint("gateway-", g))
			s = NewSnapshot(in)
			observeIdle(s, 8, start)
			for k := range uint64(5) {
				holders[pick(k).Candidate.Endpoint.ID] = true
			}
		}
		assert.Equal(t, len(holders), 1, "holders %v", holders)
		holder := pick(0).Candidate
		// A bounded load: a holder far above the mean gives the prefix to another one.
		for range 7 {
			holder.AddOutstanding(0, 100)
		}
		assert.Assert(t, pick(1).Candidate != holder)
		for range 7 {
			holder.RemoveOutstanding(0, 100)
		}
		// An event that another endpoint stored the prefix outweighs the guess.
		list := s.Candidates("model-0")
		other := list[rapid.IntRange(0, len(list)-1).Draw(t, "other")]
		if other == holder {
			return
		}
		other.ObserveCache([]endpoint.CacheEvent{{Seq: 5, Prefix: prefix}})
		assert.Assert(t, pick(2).Candidate == other)
		assert.Equal(t, pick(2).CachedTokens, 4000)
		// A late event of the past changes nothing; a gap may hide an eviction.
		other.ObserveCache([]endpoint.CacheEvent{{Seq: 4, Prefix: prefix, Evicted: true}})
		assert.Assert(t, pick(2).Candidate == other)
		other.ObserveCache([]endpoint.CacheEvent{{Seq: 9, Prefix: prefix + 1<<20}})
		assert.Assert(t, pick(3).Candidate == holder)
		other.ObserveCache([]endpoint.CacheEvent{{Seq: 10, Prefix: prefix, Evicted: true}})
		assert.Assert(t, pick(4).Candidate == holder)
	})
}

// TestSampleIsFair guards against candidates that a large service never picks, against
// picks far from the best, and against a sample that misses the prefix holder.
func TestSampleIsFair(t *testing.T) {
	s := NewSnapshot(fleet(200, 1))
	list := observeIdle(s, 8, start)
	rng := rand.New(rand.NewPCG(4, 2))
	picked := map[endpoint.ID]bool{}
	holders := map[endpoint.ID]bool{}
	for range 4000 {
		d := s.Pick(&Request{Service: "model-0", PromptTokens: 100, AnswerTokens: 50}, start, rng)
		picked[d.Candidate.Endpoint.ID] = true
		d = s.Pick(&Request{Service: "model-0", PromptTokens: 4400, AnswerTokens: 50, Prefixes: []Prefix{{77, 4000}}}, start, rng)
		holders[d.Candidate.Endpoint.ID] = true
	}
	assert.Equal(t, len(picked), len(list))
	assert.Equal(t, len(holders), 1)
	// Slow endpoints are not picked as long as a sample holds fast ones.
	for i, c := range list {
		c.Observe(endpoint.Load{Limit: 8, PrefillRate: 400 + float64(i%10/8)*40000, DecodeRate: 40, Floor: -1}, start.Add(time.Second))
	}
	for range 1000 {
		d := s.Pick(&Request{Service: "model-0", PromptTokens: 1000, AnswerTokens: 50}, start.Add(time.Second), rng)
		assert.Assert(t, d.FirstToken < time.Second, "%s", d)
	}
}

// TestOldReportsDecay guards against an old report being taken for the present: it
// counts the gateway's own requests of its time, and decays to the mean load.
func TestOldReportsDecay(t *testing.T) {
	s := NewSnapshot(fleet(1, 1))
	c := s.Candidates("model-0")[0]
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(endpoint.Load{Limit: 16, Running: 8, Floor: -1}, now)
	}
	for range 4 {
		c.AddOutstanding(10, 10)
	}
	now = now.Add(300 * time.Millisecond)
	c.Observe(endpoint.Load{Limit: 16, Running: 4, Floor: -1}, now)
	for range 4 {
		c.RemoveOutstanding(10, 10)
	}
	now = now.Add(2 * time.Second)
	c.Observe(endpoint.Load{Limit: 16, Running: 4, Floor: -1, Age: 2 * time.Second}, now)
	assert.Equal(t, c.state.report.Load().otherRequests, float32(0))
	fresh, old := &scratch{n: 1, states: []*state{c.state}}, &scratch{n: 1, states: []*state{c.state}}
	fresh.nanos, old.nanos = s.base.nanos(now.Add(-2*time.Second)), s.base.nanos(now.Add(time.Minute))
	fresh.estimateLoads()
	old.estimateLoads()
	assert.Assert(t, fresh.requests[0] < 0.5, "fresh %f", fresh.requests[0])
	assert.Assert(t, old.requests[0] > 6, "old %f", old.requests[0])
	c.Observe(endpoint.Load{Limit: 1, Floor: -1, Age: time.Hour}, now)
	load, _, _ := c.Load()
	assert.Equal(t, load.Limit, 16)
}

// TestPrefixLongerThanPromptIsPicked guards against a panic of the picker when a prefix
// counts more tokens than its prompt and the cost falls below 0.
func TestPrefixLongerThanPromptIsPicked(t *testing.T) {
	s := NewSnapshot(fleet(1, 1))
	observeIdle(s, 8, start)
	r := &Request{Service: "model-0", PromptTokens: 10, Prefixes: []Prefix{{1, 100_000}}}
	assert.Assert(t, s.Pick(r, start, rand.New(rand.NewPCG(1, 1))).Candidate != nil)
}

// TestSubset guards against a subset that loses a failure domain or version, that is
// larger than the bound, or that changes with the fleet.
func TestSubset(t *testing.T) {
	in := fleet(3000, 1)
	for i := range in.Endpoints {
		in.Endpoints[i].Version = []string{"v1", "v1", "v1", "v2"}[i/13%4]
	}
	list := subset("gateway-1", in.Endpoints)
	assert.Equal(t, len(list), MaxCandidates)
	groups := map[subsetGroup]int{}
	for _, e := range list {
		groups[groupOf(e)]++
	}
	assert.Equal(t, len(groups), 26)
	for g, n := range groups {
		assert.Check(t, n >= 3, "%v has %d", g, n)
	}
	kept := map[endpoint.ID]bool{}
	for _, e := range subset("gateway-1", in.Endpoints[:2970]) {
		kept[e.ID] = true
	}
	same := 0
	for _, e := range list {
		if kept[e.ID] {
			same++
		}
	}
	assert.Check(t, same >= 190, "%d of 200 stay after 1%% of the fleet left", same)
	shared := 0
	for _, e := range subset("gateway-2", in.Endpoints) {
		if slices.ContainsFunc(list, func(o endpoint.Endpoint) bool { return o.ID == e.ID }) {
			shared++
		}
	}
	assert.Check(t, shared < 60, "two gateways share %d", shared)
}

// TestSnapshotFilters guards against work for a drained domain, a leaving or a
// suspended endpoint, and against load that is lost when the snapshot is rebuilt.
func TestSnapshotFilters(t *testing.T) {
	in := fleet(4, 1)
	s := NewSnapshot(in)
	rng := rand.New(rand.NewPCG(1, 1))
	r := &Request{Service: "model-0"}
	list := observeIdle(s, 4, start)
	list[1].AddOutstanding(10, 10)
	d := in.Config.Domains["domain-0"]
	d.State = failuredomain.StateDrained
	in.Config.Domains["domain-0"] = d
	in.Endpoints[2].Leaving = true
	in.Previous = s
	next := NewSnapshot(in)
	assert.Equal(t, len(next.Candidates("model-0")), 2)
	assert.Equal(t, next.Candidate("model-0", "endpoint-1").Outstanding(), 1)
	assert.Equal(t, next.MinCompletionTime("model-0", 4000, 40), 2*time.Second)
	next.Candidate("model-0", "endpoint-3").Suspend(start.Add(time.Second))
	for range 50 {
		assert.Equal(t, next.Pick(r, start, rng).Candidate.Endpoint.ID, endpoint.ID("endpoint-1"))
	}
	next.Candidate("model-0", "endpoint-1").Suspend(start.Add(time.Second))
	assert.Equal(t, next.Pick(r, start, rng).Reason, ReasonUnreachable)
	assert.Assert(t, next.Pick(r, start.Add(time.Second), rng).Candidate != nil)
	// A pick that read its clock before the end of the suspension must not find it in force.
	next.Candidate("model-0", "endpoint-1").Resume()
	assert.Equal(t, next.Pick(r, start.Add(-time.Millisecond), rng).Candidate.Endpoint.ID, endpoint.ID("endpoint-1"))
	in.Endpoints[1].Leaving, in.Endpoints[3].Leaving = true, true
	assert.Equal(t, NewSnapshot(in).Pick(r, start, rng).Reason, ReasonDomainDrained)
	assert.Equal(t, next.Pick(&Request{Service: "other"}, start, rng).Reason, ReasonUnknownService)
	assert.Equal(t, next.Pick(&Request{Service: "model-0", Version: "v9"}, start, rng).Reason, ReasonNoVersion)
}

// TestPickVersion guards against shares that are not met, and against any traffic
// for an unproven version without a fresh beacon.
func TestPickVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		shares := []contract.VersionShare{{Version: "old", Share: 1 - share}, {Version: "new", Share: share, Unproven: true}}
		n := 0
		for i := range uint64(4000) {
			if PickVersion(shares, true, i) == "new" {
				n++
			}
			assert.Equal(t, PickVersion(shares, false, i), "old")
		}
		got := float64(n) / 4000
		assert.Check(t, math.Abs(got-share) < 0.04, "share %f, got %f", share, got)
	})
	assert.Equal(t, PickVersion(nil, true, 1), "")
}

// TestUnprovenFallsBack guards against a request that fails because the new version
// has no room, and against old traffic that spills over to the new version.
func TestUnprovenFallsBack(t *testing.T) {
	in := fleet(2, 1)
	in.Endpoints[1].Version = "v2"
	s := NewSnapshot(in)
	observeIdle(s, 1, start)
	rng := rand.New(rand.NewPCG(1, 1))
	r := &Request{Service: "model-0", UnprovenAllowed: true, Shares: []contract.VersionShare{{Version: "v1"}, {Version: "v2", Share: 1, Unproven: true}}}
	assert.Equal(t, s.Pick(r, start, rng).Version, "v2")
	for range 3 {
		s.Candidate("model-0", "endpoint-1").AddOutstanding(1, 1)
	}
	assert.Equal(t, s.Pick(r, start, rng).Candidate.Endpoint.Version, "v1")
	for range 3 {
		s.Candidate("model-0", "endpoint-0").AddOutstanding(1, 1)
		s.Candidate("model-0", "endpoint-1").RemoveOutstanding(1, 1)
	}
	r.Shares = []contract.VersionShare{{Version: "v1", Share: 1}, {Version: "v2", Unproven: true}}
	assert.Equal(t, s.Pick(r, start, rng).Reason, ReasonSaturated)
}

// TestPickAllocatesNothing guards against garbage on the request path.
func TestPickAllocatesNothing(t *testing.T) {
	s := NewSnapshot(fleet(200, 1))
	rng := rand.New(rand.NewPCG(1, 2))
	observeAll(s, rng)
	r := &Request{Service: "model-0", PromptTokens: 500, Prefixes: []Prefix{{1, 100}}, Excluded: []endpoint.ID{"endpoint-3"}}
	now := start.Add(time.Second)
	// A collection may empty the pool of working arrays once during the runs.
	assert.Assert(t, testing.AllocsPerRun(500, func() { s.Pick(r, now, rng) }) < 1)
}

// TestAnswerEstimator guards against estimates that mix accounts or routes, and
// against a pair that is unknown getting no estimate.
func TestAnswerEstimator(t *testing.T) {
	var e AnswerEstimator
	assert.Equal(t, e.Estimate("chat", "mill"), DefaultAnswerTokens)
	for range 100 {
		e.Observe("chat", "mill", 50)
		e.Observe("chat", "dues", 900)
		e.Observe("stock", "mill", 5)
	}
	assert.Equal(t, e.Estimate("chat", "mill"), 50)
	assert.Equal(t, e.Estimate("chat", "dues"), 900)
	assert.Equal(t, e.Estimate("stock", "mill"), 5)
	unknown := e.Estimate("chat", "new")
	assert.Check(t, unknown > 50 && unknown < 900, "%d", unknown)
}

// TestUnknownSpeedIsTried guards against an endpoint that returns beside faster ones and gets no
// work because its unknown speed is assumed to be low: its speed is then never learned.
func TestUnknownSpeedIsTried(t *testing.T) {
	in := fleet(3, 1)
	s := NewSnapshot(in)
	now := start.Add(time.Second)
	list := s.Candidates("model-0")
	for _, c := range list[1:] {
		c.Observe(endpoint.Load{Limit: 16, PrefillRate: 50000, DecodeRate: 400, Running: 2, Floor: -1}, now)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	tried := 0
	for range 200 {
		d := s.Pick(&Request{Service: "model-0", PromptTokens: 100, AnswerTokens: 50}, now, rng)
		if d.Candidate == list[0] {
			tried++
		}
	}
	assert.Assert(t, tried > 20, "picked %d times of 200", tried)
}

// TestOldSpeedIsTriedAgain guards against an endpoint that gets no work because of a low speed
// learned long ago, so that its present speed is never learned. In
// TestDrainedDomainGetsNoNewWork of systemtest such an endpoint gave 7 answers after a cold
// start, then none.
func TestOldSpeedIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		running int
		tried   bool
	}{
		{"fresh", time.Second, 0, false},
		{"old", speedLifetime, 0, true},
		{"old, under trial", speedLifetime, 1, false},
	} {
		s := NewSnapshot(fleet(3, 1))
		now := start.Add(time.Second)
		list := s.Candidates("model-0")
		for _, other := range list[1:] {
			other.Observe(endpoint.Load{Limit: 16, PrefillRate: 50000, DecodeRate: 400, Running: 2, Floor: -1}, now)
		}
		list[0].Observe(endpoint.Load{Limit: 16, PrefillRate: 500, DecodeRate: 4, Running: c.running, SpeedAge: c.age, Floor: -1}, now)
		rng := rand.New(rand.NewPCG(1, 2))
		tried := 0
		for range 200 {
			d := s.Pick(&Request{Service: "model-0", PromptTokens: 100, AnswerTokens: 50}, now, rng)
			if d.Candidate == list[0] {
				tried++
			}
		}
		assert.Equal(t, tried > 20, c.tried, "%s: picked %d times of 200", c.name, tried)
	}
}

// TestNearbyEndpointIsPreferred guards against bodies that cross failure domains without need,
// and against a gateway that adds load to its own domain's endpoints while others are idle.
func TestNearbyEndpointIsPreferred(t *testing.T) {
	in := fleet(6, 1)
	in.Domain = in.Endpoints[0].Domain
	s := NewSnapshot(in)
	now := start.Add(time.Second)
	report := func(running int) endpoint.Load {
		return endpoint.Load{Limit: 4, Exact: true, Running: running, PrefillRate: 4000, DecodeRate: 100, Floor: -1}
	}
	here := func(c *Candidate) bool { return c.Endpoint.Domain == in.Domain }
	for _, c := range s.Candidates("model-0") {
		c.Observe(report(1), now)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	r := &Request{Service: "model-0", PromptTokens: 1000, AnswerTokens: 50}
	for range 50 {
		assert.Assert(t, here(s.Pick(r, now, rng).Candidate))
	}
	now = now.Add(time.Millisecond)
	for _, c := range s.Candidates("model-0") {
		if !here(c) {
			c.Observe(report(0), now)
		}
	}
	local := 0
	for range 200 {
		if here(s.Pick(r, now, rng).Candidate) {
			local++
		}
	}
	assert.Assert(t, local < 50, "%d of 200 picks of a busier endpoint", local)
}
