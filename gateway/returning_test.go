package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// Guards against taking a caller that returns after a refusal for a first try whose answer can
// still meet its objective, so that it is served before callers whose answers can.
func TestReturningCallersAreRecognized(t *testing.T) {
	var s statedWaits
	const route = "audit"
	for i := range 20 {
		stated := 5*time.Second - time.Duration(i)*35*time.Millisecond
		assert.Equal(t, s.elapsed(route, "a", stated), time.Duration(0), "a first try is taken for a repeat")
	}
	assert.Assert(t, s.elapsed(route, "a", 2700*time.Millisecond) >= 1100*time.Millisecond)
	assert.Equal(t, s.elapsed(route, "a", 0), time.Duration(0), "a caller that does not say how long it waits")
	assert.Equal(t, s.elapsed("other", "a", 2700*time.Millisecond), time.Duration(0))
}

// Guards against callers of an account with short waits that are always taken for returning
// ones because callers of other accounts wait longer.
func TestImpatientAccountIsNotReturning(t *testing.T) {
	var s statedWaits
	for range 20 {
		s.elapsed("audit", "patient", 5*time.Second)
		s.elapsed("audit", "brief", time.Second)
	}
	assert.Equal(t, s.elapsed("audit", "brief", time.Second), time.Duration(0))
	s.retainRoutes(nil)
	assert.Equal(t, len(s.byName), 0)
}

// fixedView is a view of a deployment that does not change.
type fixedView struct{ config *contract.Config }

func (v fixedView) Config() *contract.Config     { return v.config }
func (fixedView) Directory() *api.Directory      { return nil }
func (fixedView) UnprovenAllowed(time.Time) bool { return true }
func (fixedView) MayServe(time.Time) bool        { return true }
func (fixedView) ObserveRevision(uint64, string) {}

// Guards against placing a returning caller as if its present attempt were the first.
func TestObjectiveCountsFromTheFirstTry(t *testing.T) {
	config := contract.NewConfig(contract.Parts{
		Revision: 1, Services: []*contract.Service{{Name: "lm"}},
		Ingress: contract.NewIngress(1, []contract.IngressRoute{{
			Name: "audit", Host: "h", Prefix: "/", Public: true, Objective: 800 * time.Millisecond, Timeout: 5 * time.Second,
			Split: []contract.WeightedService{{Service: "lm", Weight: 1}},
		}}),
	})
	g := &Gateway{opt: Options{View: fixedView{config}}}
	objective := func(wait time.Duration) time.Duration {
		now := time.Now()
		c, p := g.beginIngressRequest(&IngressRequest{ID: "1", Host: "h", Path: "/", Timeout: wait})
		assert.Assert(t, p == nil, "%+v", p)
		return c.objective.Sub(now)
	}
	for range 6 {
		assert.Assert(t, objective(5*time.Second) >= 800*time.Millisecond)
	}
	assert.Assert(t, objective(2700*time.Millisecond) < 0)
}
