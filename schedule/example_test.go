package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/schedule"
)

func ExampleSnapshot_Pick() {
	config := contract.Parts{
		Domains: map[failuredomain.ID]failuredomain.Domain{
			"lagos-a": {ID: "lagos-a", Region: "lagos", State: failuredomain.StateActive},
			"lagos-b": {ID: "lagos-b", Region: "lagos", State: failuredomain.StateDrained},
		},
		Services: []*contract.Service{{Name: "weft-lm", Versions: []contract.VersionShare{{Version: "v1", Share: 1}}}},
	}
	snapshot := schedule.NewSnapshot(schedule.SnapshotInput{
		Gateway: "gateway-1", Domain: "lagos-a", Config: contract.NewConfig(config),
		Endpoints: []endpoint.Endpoint{
			{ID: "engine-1", Incarnation: 1, Service: "weft-lm", Version: "v1", Domain: "lagos-a"},
			{ID: "engine-2", Incarnation: 1, Service: "weft-lm", Version: "v1", Domain: "lagos-a"},
			{ID: "engine-3", Incarnation: 1, Service: "weft-lm", Version: "v1", Domain: "lagos-b"},
		},
	})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	snapshot.Candidate("weft-lm", "engine-1").Observe(endpoint.Load{Limit: 4, Running: 5, PrefillRate: 4000, DecodeRate: 40, Floor: -1}, now)
	snapshot.Candidate("weft-lm", "engine-2").Observe(endpoint.Load{Limit: 4, Running: 1, PrefillRate: 4000, DecodeRate: 40, Floor: -1}, now)

	request := &schedule.Request{Service: "weft-lm", PromptTokens: 400, AnswerTokens: 100}
	d := snapshot.Pick(request, now, rand.New(rand.NewPCG(1, 2)))
	fmt.Println(d.Candidate.Endpoint.ID, d.FirstToken)
	// Output: engine-2 100ms
}

func ExamplePickVersion() {
	shares := []contract.VersionShare{
		{Version: "v1", Share: 0.9},
		{Version: "v2", Share: 0.1, Unproven: true},
	}
	count := map[string]int{}
	for request := range uint64(1000) {
		count[schedule.PickVersion(shares, true, request)]++
	}
	fmt.Println(count["v2"] > 70, count["v2"] < 130)
	fmt.Println(schedule.PickVersion(shares, false, 7))
	// Output:
	// true true
	// v1
}
