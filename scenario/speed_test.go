package scenario

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/policy"
)

// compare plays a load with and without the policy, on some seeds.
func compare(t *testing.T, l unlikeLoad, check func(t *testing.T, on, off unlikeResult)) {
	t.Helper()
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			on, off := l.play(nil, seed), l.play(policy.Off{policy.EndpointSpeed: true}, seed)
			t.Logf("on %v, off %v", on, off)
			check(t, on, off)
		})
	}
}

// lateShares checks that the share of late answers on is at most so much of that off, of each kind.
func lateShares(most float64) func(*testing.T, unlikeResult, unlikeResult) {
	return func(t *testing.T, on, off unlikeResult) {
		t.Helper()
		for kind, share := range on.inTime {
			late, before := 1-share, 1-off.inTime[kind]
			assert.Check(t, late <= max(most*before, leastLate), "%s: %.4f late, without the policy %.4f", kind, late, before)
		}
	}
}

// leastLate is the share of late answers that is as good as none.
const leastLate = 0.003

var bookings = map[string]float64{"book": 1}

// Load: endpoints of unlike speed, and neighbours that make each 2.5 times slower for parts of a
// second. Guards against work that is spread evenly over unlike machines.
func TestNoiseOnUnlikeEndpoints(t *testing.T) {
	l := unlikeLoad{speeds: []float64{0.6, 1.7, 1.7}, knees: []int{6, 6, 6}, noise: true, kinds: bookings, rate: 350, gateways: 8, length: 2 * time.Minute}
	compare(t, l, lateShares(0.5))
}

// Load: the same endpoints, and one kind of work eight times as long as the other. Guards against
// long work that looks like a slow machine, and against short work that waits at a slow one.
func TestLongWorkOnUnlikeEndpoints(t *testing.T) {
	l := unlikeLoad{
		speeds: []float64{0.6, 1.7, 1.7}, knees: []int{6, 6, 6}, kinds: map[string]float64{"look": 1, "report": 8},
		rate: 100, gateways: 8, length: 2 * time.Minute,
	}
	compare(t, l, lateShares(0.1))
}

// Load: many gateways, each of which hears little from each endpoint. Guards against gateways that
// all choose the same endpoint.
func TestManyGatewaysDoNotHerd(t *testing.T) {
	l := unlikeLoad{speeds: []float64{0.6, 1.7, 1.7, 1}, knees: []int{6, 6, 6, 6}, noise: true, kinds: bookings, rate: 250, gateways: 23, length: 2 * time.Minute}
	compare(t, l, lateShares(0.5))
	like := unlikeLoad{speeds: []float64{1, 1, 1}, knees: []int{6, 6, 6}, kinds: bookings, rate: 420, gateways: 23, length: 2 * time.Minute}
	compare(t, like, func(t *testing.T, on, off unlikeResult) {
		assert.Check(t, on.inTime["book"] >= off.inTime["book"]-leastLate)
	})
}

// Load: one of three endpoints slows down from the fourth request on, although it has six slots, and
// the others are nearly full. Guards against an endpoint that is kept full and gets half as much done.
func TestEndpointThatSlowsAtHalfItsSlots(t *testing.T) {
	l := unlikeLoad{speeds: []float64{1, 1, 1}, knees: []int{6, 6, 3}, kinds: bookings, rate: 400, gateways: 1, length: 2 * time.Minute}
	compare(t, l, func(t *testing.T, on, off unlikeResult) {
		lateShares(0.1)(t, on, off)
		assert.Check(t, float64(on.served[2]) >= 1.25*float64(off.served[2]))
	})
	l.gateways = 8
	compare(t, l, lateShares(0.75))
}

// Load: the endpoint that slows down at half its slots recovers, as does one that was slow. Guards
// against a limit and a speed that are kept although they are no longer true.
func TestRecoveredEndpointIsUsed(t *testing.T) {
	l := unlikeLoad{
		speeds: []float64{1, 1, 1}, knees: []int{6, 6, 3}, kinds: bookings, rate: 450, gateways: 1, length: 6 * time.Minute,
		change: func(e []*plainEndpoint) { e[2].knee = 6 },
	}
	compare(t, l, func(t *testing.T, on, _ unlikeResult) {
		assert.Check(t, on.peak == 6 && float64(on.served[2]) >= 0.75*float64(on.served[1]), "%v", on)
	})
	slow := unlikeLoad{
		speeds: []float64{1.7, 1.7, 0.6}, knees: []int{6, 6, 6}, kinds: bookings, rate: 300, gateways: 8, length: 6 * time.Minute,
		change: func(e []*plainEndpoint) { e[2].speed = 1.7 },
	}
	compare(t, slow, func(t *testing.T, on, _ unlikeResult) {
		assert.Check(t, float64(on.served[2]) >= 0.6*float64(on.served[1]), "%v", on)
	})
}
