package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/schedule"
)

// TestIdleColdEndpointIsNotSaturated guards against an idle endpoint with a limit of 1 that stays
// saturated forever after it had work of other gateways: it gets no more requests, and they
// wait until their queue time ends.
func TestIdleColdEndpointIsNotSaturated(t *testing.T) {
	config := contract.Parts{
		Domains:  map[failuredomain.ID]failuredomain.Domain{"a": {ID: "a", State: failuredomain.StateActive}},
		Services: []*contract.Service{{Name: "s", Versions: []contract.VersionShare{{Version: "1", Share: 1}}}},
	}
	s := schedule.NewSnapshot(schedule.SnapshotInput{Config: contract.NewConfig(config), Endpoints: []endpoint.Endpoint{{ID: "e", Service: "s", Version: "1", Domain: "a"}}})
	now := time.Unix(1000, 0)
	c := s.Candidate("s", "e")
	report := endpoint.Load{Limit: 1, Cold: true, Floor: -1, Running: 1}
	c.Observe(report, now)
	report.Running = 0
	now = now.Add(time.Second)
	c.Observe(report, now)
	r := &schedule.Request{Service: "s", UnprovenAllowed: true}
	d := s.Pick(r, now.Add(time.Millisecond), rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, d.Reason, schedule.ReasonNone)

	c.AddOutstanding(1, 1)
	d = s.Pick(r, now.Add(time.Millisecond), rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, d.Reason, schedule.ReasonSaturated)
}
