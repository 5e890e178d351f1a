package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

// Guards against a free slot that is offered to two gateways, and one that stays held for a
// gateway that does not use it.
func TestOffers(t *testing.T) {
	now := time.Unix(0, 0)
	var o offers
	_, ok := o.offer(1, now)
	assert.Assert(t, !ok, "nobody waits")
	o.recordWaiting(1, dispatch.Waiting{Requests: 1}, now)
	g, ok := o.offer(1, now)
	assert.Assert(t, ok && g == 1)
	_, ok = o.offer(1, now)
	assert.Assert(t, !ok, "the only request that waits has a slot")
	assert.Assert(t, !o.takeHold(2, now))
	assert.Assert(t, o.takeHold(1, now))
	assert.Assert(t, !o.takeHold(1, now), "a slot was used twice")

	o.recordWaiting(1, dispatch.Waiting{Requests: 1}, now)
	_, _ = o.offer(1, now)
	later := now.Add(holdTimeout)
	assert.Assert(t, !o.takeHold(1, later), "the hold has ended")
	assert.Assert(t, o.expire(later).IsZero())
	_, ok = o.offer(1, later)
	assert.Assert(t, !ok, "a gateway that did not use its offer waits no longer")
}

// Guards against a slot offered to a gateway with only lower tiers or less dense requests while
// a higher tier or a denser request waits at another one, and against one gateway that gets
// all slots because its first request ranks highest.
func TestOffersFollowTierAndDensity(t *testing.T) {
	now := time.Unix(0, 0)
	var o offers
	o.recordWaiting(1, dispatch.Waiting{Requests: 50, Tier: 1, Density: 0.1, Reserve: 1}, now)
	o.recordWaiting(2, dispatch.Waiting{Requests: 2, Tier: 1, Density: 2}, now)
	o.recordWaiting(3, dispatch.Waiting{Requests: 1, Tier: 0, Density: 0.5}, now)
	o.recordWaiting(4, dispatch.Waiting{Requests: 5, Tier: 1, Density: 1.5}, now)
	var got []instance.Incarnation
	for range 4 {
		g, ok := o.offer(2, now)
		assert.Assert(t, ok)
		got = append(got, g)
	}
	assert.DeepEqual(t, got, []instance.Incarnation{3, 2, 4, 2})
	var long offers
	long.recordWaiting(1, dispatch.Waiting{Requests: 50, Tier: 1, Density: 0.1, Reserve: 1}, now)
	_, ok := long.offer(1, now)
	assert.Assert(t, !ok, "the last free slot went to a request that must leave one free")
	g, ok := long.offer(2, now)
	assert.Assert(t, ok && g == 1)
}

// Guards against a gateway that crashed while it waited and is offered slots forever.
func TestWaitingReportExpires(t *testing.T) {
	now := time.Unix(0, 0)
	var o offers
	o.recordWaiting(1, dispatch.Waiting{Requests: 5}, now)
	_, ok := o.offer(1, now.Add(waitingTTL+time.Millisecond))
	assert.Assert(t, !ok)
}

// Guards against more starts in any second than the bound allows, also when the bound changes
// and when an earlier agent of the endpoint made starts that are unknown.
func TestPaceBoundsStartsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pace
		now := time.Unix(100, 0)
		bound := rapid.IntRange(1, 20).Draw(t, "bound")
		p.setBound(bound, now)
		var starts []time.Time
		for range bound {
			starts = append(starts, now) // the earlier agent's
		}
		highest := bound
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				bound = rapid.IntRange(1, 20).Draw(t, "bound")
				highest = max(highest, bound)
				p.setBound(bound, now.Add(-paceWindow))
			}
			if p.wait(now) == 0 {
				p.recordStart(now)
				starts = append(starts, now)
			}
		}
		for i, from := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(from) < paceWindow {
					n++
				}
			}
			assert.Assert(t, n <= highest, "%d starts in a second", n)
		}
	})
}

// Guards against a pace that gives a cold endpoint more than the deployment allows, or more than
// its rate to one known to be cold.
func TestPaceBound(t *testing.T) {
	p := Pace{Overrun: 1.5, Slack: 5}
	assert.Equal(t, p.startsPerWindow(9.1, false), 17)
	assert.Equal(t, p.startsPerWindow(9.1, true), 9)
	assert.Equal(t, p.startsPerWindow(0, true), 0)
	assert.Equal(t, p.startsPerWindow(0.1, true), 1)
}

func exactHeader(gateway instance.Incarnation, waiting int) *dispatch.Header {
	return &dispatch.Header{ID: dispatch.ID{Request: "r", Gateway: gateway}, Timeout: time.Second, Waiting: dispatch.Waiting{Requests: waiting}, Engine: &dispatch.Engine{ID: "e", Slots: 1}}
}

// Guards against dispatches that wait at a full endpoint while another has room, and against a
// held slot that another gateway takes.
func TestFullGateRefusesAndOffers(t *testing.T) {
	g := newGate(DefaultPace)
	g.declare(dispatch.Engine{ID: "e", Slots: 1})
	now := time.Now()
	first := g.acquire(exactHeader(1, 0), now)
	assert.Equal(t, (<-first.decision).code, dispatch.Code(""))
	second := g.acquire(exactHeader(2, 0), now)
	assert.Equal(t, (<-second.decision).code, dispatch.CodeQueueFull)
	follower, stop := g.watch(2)
	defer stop()
	first.finish(outcome{})
	<-follower.slotOffered
	assert.Equal(t, g.loadFor(2, time.Now()).Running, 0)
	assert.Equal(t, g.loadFor(1, time.Now()).Running, 1, "the slot is kept for another gateway")
	third := g.acquire(exactHeader(1, 0), time.Now())
	assert.Equal(t, (<-third.decision).code, dispatch.CodeQueueFull)
	fourth := g.acquire(exactHeader(2, 0), time.Now())
	assert.Equal(t, (<-fourth.decision).code, dispatch.Code(""))
}
