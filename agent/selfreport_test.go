package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// Guards against a slowdown that an endpoint states and that doesn't reach gateways, one that is
// reported long after it has passed, and one that is kept for another endpoint.
func TestStatedSlowdownIsReported(t *testing.T) {
	g := newGate(Pace{})
	now := time.Now()
	g.declare(dispatch.Engine{ID: "e", Slots: 4})
	w := g.acquire(&dispatch.Header{Timeout: time.Minute}, now)
	assert.Equal(t, (<-w.decision).code, dispatch.Code(""))
	defer w.finish(outcome{})
	w.recordSelfReport(endpoint.SelfReport{Running: 1, Slots: 4}, now)
	assert.Assert(t, !g.slowdown.Known())
	for i := range 100 {
		w.recordSelfReport(endpoint.SelfReport{Running: 1, Slots: 4, Slowdown: 1}, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	now = now.Add(time.Second)
	assert.Equal(t, g.load(now).Slowdown, uint16(0))
	w.recordSelfReport(endpoint.SelfReport{Running: 1, Slots: 4, Slowdown: 2.5}, now)
	assert.Assert(t, g.load(now).Slowdown > 200, "%d", g.load(now).Slowdown)
	assert.Equal(t, g.load(now.Add(2*time.Second)).Slowdown, uint16(0))
	g.declare(dispatch.Engine{ID: "other", Slots: 4})
	assert.Equal(t, g.load(now).Slowdown, uint16(0))
}

// Guards against a report with a field that a gateway of an earlier version cannot read.
func TestSlowdownIsSentToThoseWhoReadIt(t *testing.T) {
	g := newGate(Pace{})
	now := time.Now()
	g.slowdown.Observe(1, now.Add(-time.Second))
	g.slowdown.Observe(3, now)
	earlier, stopEarlier := g.watch(1)
	defer stopEarlier()
	later, stopLater := g.watch(2)
	defer stopLater()
	g.sendSlowdownTo(later)
	assert.Equal(t, g.loadReportTo(earlier, now).Slowdown, uint16(0))
	assert.Equal(t, g.loadFor(1, now).Slowdown, uint16(0))
	assert.Equal(t, g.loadFor(3, now).Slowdown, uint16(0))
	assert.Assert(t, g.loadReportTo(later, now).Slowdown > 150)
	assert.Assert(t, g.loadFor(2, now).Slowdown > 150)
}
