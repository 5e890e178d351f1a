package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
)

// Guards against starts that are forgotten when an endpoint restarts under another ID. Gateways
// send the old and the new ID alternately for a moment while the new endpoint is cold.
func TestPaceKeepsStartsAcrossEndpointChange(t *testing.T) {
	g := newGate(Pace{Overrun: 1.5, Slack: 5})
	now := time.Now()
	g.started = now.Add(-time.Hour)
	before := dispatch.Engine{ID: "before", Slots: 1000, ColdRate: 23}
	after := dispatch.Engine{ID: "after", Slots: 1000, ColdRate: 23, Cold: true}
	started := 0
	for i := range 400 {
		now = now.Add(2 * time.Millisecond)
		engine := after
		if i%3 == 0 {
			engine = before
		}
		g.declare(engine)
		w := g.acquire(&dispatch.Header{Timeout: time.Minute}, now)
		if r := <-w.decision; r.code == "" {
			started++
			w.finish(outcome{})
		}
	}
	assert.Assert(t, started > 0 && started <= 39, "%d starts in 0.8 s", started)
}
