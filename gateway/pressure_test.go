package gateway

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	briefClass = requestClass{route: "brief"}
	longClass  = requestClass{route: "long"}
)

// Guards against long requests that hold the slots of dense work while much of that is refused,
// and against slots that stay reserved once it is served again.
func TestLongRequestsLeaveMoreSlotsFreeUnderPressure(t *testing.T) {
	var p acceptanceTracker
	assert.Equal(t, p.reservedSlots(4), 1)
	for range 50 {
		p.observe(briefClass, false, true)
	}
	assert.Equal(t, p.reservedSlots(4), 3)
	assert.Equal(t, p.reservedSlots(7), 6)
	for range 200 {
		p.observe(longClass, false, false) // refused long requests are no pressure
		p.observe(briefClass, true, true)
	}
	assert.Equal(t, p.reservedSlots(4), 1)
}

// Guards against overload that refuses all requests of a route, or all its large ones.
func TestOverloadShutsOutNoRouteOrSize(t *testing.T) {
	var p acceptanceTracker
	for range 200 {
		p.observe(briefClass, true, true)
		p.observe(longClass, false, false)
		p.observe(requestClass{"brief", true}, false, true)
	}
	assert.Assert(t, p.starved(longClass))
	assert.Assert(t, !p.starved(briefClass))
	assert.Assert(t, p.starved(requestClass{"brief", true}))
	for range 400 {
		p.observe(longClass, true, false)
		p.observe(requestClass{"brief", true}, true, true)
	}
	assert.Assert(t, !p.starved(longClass))
	assert.Assert(t, !p.starved(requestClass{"brief", true}))
	p.retainRoutes(map[string]bool{"long": true})
	assert.Equal(t, len(p.classes), 2)
}

// slotServer simulates a server with four slots on which requests arrive faster than it serves.
type slotServer struct {
	pressure    acceptanceTracker
	ends        []int // of the running requests, in ms
	servedWorth float64
	served      map[string]int
	asked       map[string]int
}

// offer serves a request if the slots allow it; reserve is the number of slots it must leave
// free.
func (s *slotServer) offer(now int, k requestClass, length, reserve int, worth float64, dense bool) {
	s.asked[k.route]++
	running := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			running = append(running, end)
		}
	}
	s.ends = running
	placed := len(running)+reserve < 4
	if placed {
		s.ends = append(s.ends, now+length)
		s.servedWorth += worth
		s.served[k.route]++
	}
	s.pressure.observe(k, placed, dense)
}

// replaySlots simulates five minutes in which brief requests and long ones of low worth arrive
// at random and exceed the capacity of four slots. fixed is the number of slots that long ones
// leave free, -1 to use reservedSlots.
func replaySlots(fixed int) *slotServer {
	s := &slotServer{served: make(map[string]int), asked: make(map[string]int)}
	rng := rand.New(rand.NewPCG(7, 7)) //nolint:gosec // a replay
	for ms := range 300_000 {
		if rng.Float64() < 1.0/110 {
			s.offer(ms, briefClass, 250, 0, 1, true)
		}
		if rng.Float64() < 1.0/450 {
			reserve := fixed
			if fixed < 0 {
				reserve = s.pressure.reservedSlots(4)
				if s.pressure.starved(longClass) {
					reserve = 0
				}
			}
			s.offer(ms, longClass, 1800, reserve, 0.16, false)
		}
	}
	return s
}

// Guards against a fixed reserve for dense work, which refuses more of it when more arrives
// than can be served. Long requests must still keep their part.
func TestReserveFollowsPressure(t *testing.T) {
	fixed, following := replaySlots(1), replaySlots(-1)
	share := func(s *slotServer, k requestClass) float64 {
		return float64(s.served[k.route]) / float64(s.asked[k.route])
	}
	t.Logf("earned %.0f and %.0f; long served %.2f and %.2f", fixed.servedWorth, following.servedWorth, share(fixed, longClass), share(following, longClass))
	assert.Assert(t, 1-share(following, briefClass) < 0.9*(1-share(fixed, briefClass)))
	assert.Assert(t, following.servedWorth > fixed.servedWorth)
	assert.Assert(t, share(following, longClass) > 0.25*share(following, briefClass))
}
