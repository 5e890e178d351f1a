package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/schedule"
)

// unlikeEndpoints returns a snapshot of endpoints with eight slots and the given loads.
func unlikeEndpoints(loads []endpoint.Load, now time.Time) *schedule.Snapshot {
	config := contract.Parts{
		Domains:  map[failuredomain.ID]failuredomain.Domain{"a": {ID: "a", State: failuredomain.StateActive}},
		Services: []*contract.Service{{Name: "s", Versions: []contract.VersionShare{{Version: "1", Share: 1}}}},
	}
	in := schedule.SnapshotInput{Config: contract.NewConfig(config)}
	for i := range loads {
		in.Endpoints = append(in.Endpoints, endpoint.Endpoint{ID: endpoint.ID(fmt.Sprint("e", i)), Service: "s", Version: "1", Domain: "a"})
	}
	s := schedule.NewSnapshot(in)
	for i, load := range loads {
		load.Limit, load.Exact, load.Floor = 8, true, -1
		s.Candidate("s", endpoint.ID(fmt.Sprint("e", i))).Observe(load, now)
	}
	return s
}

// Guards against a long answer that takes the free slot of a slow endpoint while the fast ones
// are full: it would hold the slot until its caller leaves, and earn nothing.
func TestLongAnswerWaitsForAFastEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	fast := endpoint.Load{PrefillRate: 80_000, DecodeRate: 320, Running: 8}
	slow := endpoint.Load{PrefillRate: 18_000, DecodeRate: 75}
	s := unlikeEndpoints([]endpoint.Load{fast, fast, slow}, now)

	long := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 3000, AnswerTokens: 1000, FinishWithin: 12 * time.Second}
	d := s.Pick(long, now, rng)
	assert.Equal(t, d.Reason, schedule.ReasonSaturated)
	assert.Equal(t, d.Dropped[schedule.ReasonTooSlow], uint16(1))

	short := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 1800, AnswerTokens: 20, FinishWithin: 12 * time.Second, StartWithin: 600 * time.Millisecond}
	d = s.Pick(short, now, rng)
	assert.Equal(t, d.Candidate.Endpoint.ID, endpoint.ID("e2"))

	// Its prefill takes 2 s at the slow endpoint and 0.5 s at a fast one.
	large := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 36_000, AnswerTokens: 20, StartWithin: time.Second}
	assert.Equal(t, s.Pick(large, now, rng).Reason, schedule.ReasonSaturated)
	// The objective is over: any slot will do.
	large.StartWithin, large.FinishWithin = 0, 10*time.Second
	assert.Equal(t, s.Pick(large, now, rng).Candidate.Endpoint.ID, endpoint.ID("e2"))
}

// Guards against long answers at an endpoint whose speed is not known yet: one in three may be
// four times slower than the others. Short requests teach the speed.
func TestUnknownSpeedIsLearnedFromShortAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	fast := endpoint.Load{PrefillRate: 80_000, DecodeRate: 320, Running: 8}
	slow := endpoint.Load{PrefillRate: 18_000, DecodeRate: 75, Running: 8}
	s := unlikeEndpoints([]endpoint.Load{fast, slow, {}}, now)

	long := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 3000, AnswerTokens: 1000, FinishWithin: 12 * time.Second}
	assert.Equal(t, s.Pick(long, now, rng).Reason, schedule.ReasonSaturated)
	short := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 1800, AnswerTokens: 20, FinishWithin: 12 * time.Second}
	assert.Equal(t, s.Pick(short, now, rng).Candidate.Endpoint.ID, endpoint.ID("e2"))
}

// Guards against a request that no endpoint can finish in time and that finds none: estimates
// are often too high, and the fastest endpoints remain.
func TestFastestEndpointsAreNeverTooSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	fast := endpoint.Load{PrefillRate: 80_000, DecodeRate: 320}
	s := unlikeEndpoints([]endpoint.Load{{PrefillRate: 18_000, DecodeRate: 75}, fast, fast}, now)
	r := &schedule.Request{Service: "s", UnprovenAllowed: true, PromptTokens: 3000, AnswerTokens: 9000, FinishWithin: 12 * time.Second, StartWithin: time.Millisecond}
	for range 20 {
		assert.Assert(t, s.Pick(r, now, rng).Candidate.Endpoint.ID != "e0")
	}
}
