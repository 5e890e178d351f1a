package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/endpoint"
	"toucantiller.dev/policy"
)

// pickShare is the share of picks of a request that go to a candidate.
func pickShare(s *Snapshot, r Request, c *Candidate, now time.Time) float64 {
	const picks = 400
	rng := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range picks {
		if s.Pick(&r, now, rng).Candidate == c {
			n++
		}
	}
	return float64(n) / picks
}

// Load: a machine whose neighbours make it 2.5 times slower for tenths of a second. Guards against
// work that goes there meanwhile, and against an endpoint that is avoided for longer.
func TestStatedSlowdownCountsWhileFresh(t *testing.T) {
	r := Request{Service: "model-0", PromptTokens: 200, AnswerTokens: 20}
	for _, off := range []policy.Off{nil, {policy.EndpointSpeed: true}} {
		in := fleet(3, 1)
		in.Profile = ProfileWithout(off)
		for i := range in.Endpoints {
			in.Endpoints[i].Domain = in.Domain
		}
		s := NewSnapshot(in)
		list := observeIdle(s, 8, start)
		slow := list[0]
		slow.Observe(endpoint.Load{Limit: 8, PrefillRate: 4000, DecodeRate: 40, Floor: -1, Slowdown: 250}, start)
		fresh, later := pickShare(s, r, slow, start), pickShare(s, r, slow, start.Add(2*time.Second))
		if off.InForce(policy.EndpointSpeed) {
			assert.Equal(t, fresh, 0.0)
		} else {
			assert.Assert(t, fresh > 0.2, "%f without the policy", fresh)
		}
		assert.Assert(t, later > 0.2, "%f later", later)
	}
}

// Guards against a short disturbance that is charged for the whole of a long answer.
func TestDisturbanceCostsLongWorkLittle(t *testing.T) {
	assert.Assert(t, slowdownTime(1.5, 0.01) > 0.01)
	assert.Assert(t, slowdownTime(1.5, 20) < 0.31)
	assert.Equal(t, slowdownTime(0, 1), 0.0)
	assert.Assert(t, excessOf(65535) <= maxExcess && excessOf(1) > -1)
	assert.Equal(t, excessOf(0), 0.0)
}

// plainFleet returns a service of endpoints without agents.
func plainFleet(n int) *Snapshot {
	in := fleet(n, 1)
	for i := range in.Endpoints {
		in.Endpoints[i].Domain, in.Endpoints[i].Target, in.Endpoints[i].Slots = in.Domain, "10.0.0.1:80", 6
	}
	return NewSnapshot(in)
}

// observeAnswers observes answers that take so long at a candidate, until now.
func observeAnswers(c *Candidate, took time.Duration, report endpoint.SelfReport, now time.Time) {
	const answers = 40
	for i := range answers {
		c.ObserveAnswer(Answered{Kind: "k", Took: took, Report: report}, now.Add(time.Duration(i-answers+1)*10*time.Millisecond))
	}
}

// Load: endpoints of a plain service that differ in speed by three. Guards against work spread by free
// slots alone, and against an endpoint of unknown speed that is never tried.
func TestPlainWorkGoesToFastEndpoints(t *testing.T) {
	s := plainFleet(3)
	list := s.Candidates("model-0")
	idle := endpoint.SelfReport{Running: 1, Slots: 6}
	observeAnswers(list[0], 51*time.Millisecond, idle, start)
	observeAnswers(list[1], 17*time.Millisecond, idle, start)
	r := Request{Service: "model-0"}
	assert.Equal(t, pickShare(s, r, list[0], start), 0.0)
	assert.Assert(t, pickShare(s, r, list[2], start) > 0.2, "the unknown one isn't tried")
	r.Excluded = []endpoint.ID{list[1].Endpoint.ID, list[2].Endpoint.ID}
	assert.Equal(t, pickShare(s, r, list[0], start), 1.0)
}

// Load: endpoints without agents that other gateways fill. Guards against requests sent to one that
// has just said that it is full, and against one that is then never asked again.
func TestStatedLoadKeepsRequestsAwayForAMoment(t *testing.T) {
	s := plainFleet(2)
	list := s.Candidates("model-0")
	observeAnswers(list[0], 20*time.Millisecond, endpoint.SelfReport{Running: 6, Waiting: 3, Slots: 6}, start)
	observeAnswers(list[1], 20*time.Millisecond, endpoint.SelfReport{Running: 1, Slots: 6}, start)
	r := Request{Service: "model-0", Excluded: []endpoint.ID{list[1].Endpoint.ID}}
	assert.Equal(t, s.Pick(&r, start, rand.New(rand.NewPCG(1, 1))).Reason, ReasonSaturated)
	assert.Equal(t, pickShare(s, r, list[0], start.Add(time.Second)), 1.0)
}

// Guards against what was learned that is lost with each new routing snapshot.
func TestSnapshotKeepsWhatAnswersTaught(t *testing.T) {
	in := fleet(1, 1)
	in.Endpoints[0].Target, in.Endpoints[0].Slots = "10.0.0.1:80", 6
	s := NewSnapshot(in)
	observeAnswers(s.Candidates("model-0")[0], 20*time.Millisecond, endpoint.SelfReport{Running: 1, Slots: 6}, start)
	in.Previous = s
	next := NewSnapshot(in)
	assert.Assert(t, next.Candidates("model-0")[0].state.answers == next.answers["model-0"])
	assert.Assert(t, next.answers["model-0"].kinds.MeanTime() > 0)
}

// Load: an endpoint that was slow recovers while the others are never full. Guards against one that gets
// no work for good, since no answer shows its recovery.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	s := plainFleet(2)
	list := s.Candidates("model-0")
	idle := endpoint.SelfReport{Running: 1, Slots: 6}
	observeAnswers(list[0], 51*time.Millisecond, idle, start)
	for age := time.Duration(0); age <= 20*time.Second; age += time.Second {
		now := start.Add(age)
		observeAnswers(list[1], 17*time.Millisecond, idle, now)
		share := pickShare(s, Request{Service: "model-0"}, list[0], now)
		assert.Assert(t, (share > 0) == (age >= 15*time.Second), "share %f after %s", share, age)
	}
}

// Load: calls without an answer. Guards against a cut link or a frozen gateway that makes an endpoint look
// slow, and against one that answers few calls in time and looks as fast as before.
func TestOverdueCallsCountIfOthersAreAnswered(t *testing.T) {
	s := plainFleet(1)
	c := s.Candidates("model-0")[0]
	idle := endpoint.SelfReport{Running: 1, Slots: 6}
	expected := func() float64 { return c.state.report.Load().work.at(0) }
	observeAnswers(c, 20*time.Millisecond, idle, start)
	before := expected()
	for i := range 50 {
		c.ObserveOverdue("k", time.Second, start.Add(2*time.Second+time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, expected(), before)
	now := start.Add(3 * time.Second)
	for range 50 {
		c.ObserveAnswer(Answered{Report: idle, Failed: true}, now)
		c.ObserveOverdue("k", time.Second, now.Add(10*time.Millisecond))
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, expected() > 2*before, "%f, %f before", expected(), before)
}
