package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeEndpoint answers work of 30 ms, with as many requests at once as its limit and the load allow.
type fakeEndpoint struct {
	e     *Endpoint
	kinds *Kinds
	rng   *rand.Rand
	now   time.Time
	speed float64
	// knee is the number of requests from which the endpoint slows down so that it gets no more
	// done, 0 for none.
	knee int
	// batching makes all work slower with each request, though more is done.
	batching bool
	// noise makes the machine 2.5 times slower in one second of four; it says so if stated is set.
	noise, stated bool
	// full keeps as many requests there as the limit allows, at all times, and quiet only one.
	full, quiet bool
}

func newFakeEndpoint(slots int) *fakeEndpoint {
	return &fakeEndpoint{e: NewEndpoint(slots), kinds: &Kinds{}, rng: rand.New(rand.NewPCG(1, 1)), now: start, speed: 1}
}

// serve plays a load that changes between one request and as many as the limit allows.
func (f *fakeEndpoint) serve(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		running := 1 + f.rng.IntN(f.e.Limit())
		switch {
		case f.quiet:
			running = 1
		case f.full:
			running = f.e.Limit()
		}
		took := 0.03 / f.speed
		if f.knee > 0 {
			took *= math.Pow(max(1, float64(running)/float64(f.knee)), 1.5)
		}
		if f.batching {
			took *= math.Pow(float64(running), 0.6)
		}
		factor := 1.0
		if f.noise && f.now.Unix()%4 == 0 {
			factor = 2.5
		}
		if f.stated {
			f.e.Slowdown.Observe(factor, f.now)
		}
		for range 4 * windowAnswers {
			f.now = f.now.Add(time.Duration(took * factor / float64(running) * 1e9))
			f.e.Observe(Answer{Kind: "k", Took: time.Duration(took * factor * 1e9), Running: running}, f.kinds, f.now)
		}
	}
}

// Load: an endpoint that slows down from the fourth of six requests on, and recovers later. Guards
// against a limit that stays at the slots, and against one that stays low.
func TestKneeIsFoundAndFollowed(t *testing.T) {
	f := newFakeEndpoint(6)
	f.knee = 3
	f.serve(20 * time.Second)
	assert.Assert(t, f.e.Limit() == 3 || f.e.Limit() == 4, "limit %d", f.e.Limit())
	f.knee = 0
	f.serve(3 * time.Minute)
	assert.Equal(t, f.e.Limit(), 6)
}

// Load: an endpoint that gets a little less done with its last slot. Guards against a limit that falls
// for great slowdowns alone.
func TestLastSlotWithoutGainIsLeftFree(t *testing.T) {
	f := newFakeEndpoint(6)
	f.knee = 5
	f.serve(20 * time.Second)
	assert.Equal(t, f.e.Limit(), 5)
}

// Load: an endpoint that slows down from the fourth request on and is filled from the first second of
// the load on. Guards against a limit that stays, as nothing is ever known of fewer requests.
func TestKneeIsFoundUnderSteadyLoad(t *testing.T) {
	f := newFakeEndpoint(6)
	f.knee = 3
	f.quiet = true
	f.serve(time.Second)
	f.quiet, f.full = false, true
	f.serve(30 * time.Second)
	assert.Assert(t, f.e.Limit() == 3 || f.e.Limit() == 4, "limit %d", f.e.Limit())
}

// Load: an endpoint at which each request slows the others and which still gets more done with each,
// filled from the first second of the load on. Guards against a limit by times alone.
func TestLimitFollowsThroughput(t *testing.T) {
	f := newFakeEndpoint(6)
	f.batching, f.quiet = true, true
	f.serve(time.Second)
	f.quiet, f.full = false, true
	const seconds = 600
	lowered := 0
	for range seconds {
		f.serve(time.Second)
		if f.e.Limit() < 6 {
			lowered++
		}
	}
	assert.Assert(t, lowered <= seconds/50, "lowered for %d of %d s", lowered, seconds)
}

// Load: an endpoint that runs all its slots well, on a slow machine, and with neighbours that slow it
// down for a second at a time. Guards against a limit that falls for either.
func TestHealthyEndpointKeepsItsSlots(t *testing.T) {
	for _, stated := range []bool{true, false} {
		f := newFakeEndpoint(6)
		f.speed, f.noise, f.stated = 0.6, true, stated
		least := 6
		for range 60 {
			f.serve(time.Second)
			least = min(least, f.e.Limit())
		}
		assert.Assert(t, least >= 5 || !stated, "limit fell to %d", least)
		assert.Assert(t, f.e.Limit() >= 5, "limit %d, stated %v", f.e.Limit(), stated)
	}
}

// Load: healthy endpoints of few and of many slots, whose work varies by half and whose machines are
// disturbed for tenths of a second. Guards against a limit that drifts down by chance.
func TestChanceDoesNotLowerTheLimit(t *testing.T) {
	for _, stated := range []bool{true, false} {
		for _, slots := range []int{2, 6, 20, 100} {
			if slots > 20 && !stated {
				continue // a limit of the method, named in docs/design/endpoint-speed.md
			}
			rng := rand.New(rand.NewPCG(1, 1))
			e, kinds, now, until := NewEndpoint(slots), &Kinds{}, start, start
			factor, sum := 1.0, 0
			const answers = 20000
			for range answers {
				if !now.Before(until) {
					factor = []float64{1, 1, 1, 2.5}[rng.IntN(4)]
					until = now.Add(time.Duration(rng.ExpFloat64() * 0.3e9))
				}
				if stated {
					e.Slowdown.Observe(factor, now)
				}
				running := 1 + rng.IntN(e.Limit())
				seconds := 0.03 * factor * (0.5 + rng.Float64())
				now = now.Add(time.Duration(seconds / float64(running) * 1e9))
				e.Observe(Answer{Kind: "k", Took: time.Duration(seconds * 1e9), Running: running}, kinds, now)
				sum += e.Limit()
			}
			assert.Check(t, float64(sum) >= 0.9*float64(slots)*answers, "mean limit %d of %d, stated %v", sum/answers, slots, stated)
		}
	}
}

// Guards against the usual time of a kind that moves with the load, after which evidence from before
// points the wrong way.
func TestUsualTimeDoesNotMoveWithLoad(t *testing.T) {
	f := newFakeEndpoint(6)
	f.batching, f.quiet = true, true
	f.serve(10 * time.Second)
	before := f.kinds.Time("k").Seconds()
	f.quiet, f.full = false, true
	f.serve(20 * time.Second)
	assert.Assert(t, math.Abs(f.kinds.Time("k").Seconds()-before) < 0.1*before, "%s, %f s before", f.kinds.Time("k"), before)
}

// Guards against noise that is learned as the endpoint's own speed although the endpoint states it,
// and against a lasting slowdown that isn't learned.
func TestStatedNoiseIsNotTheSpeed(t *testing.T) {
	f := newFakeEndpoint(6)
	f.noise, f.stated = true, true
	f.serve(time.Minute)
	assert.Assert(t, math.Abs(f.kinds.MeanTime().Seconds()-0.03) < 0.003, "%s", f.kinds.MeanTime())
	assert.Assert(t, f.e.Slowdown.Mean() > 1.2 && f.e.Slowdown.Mean() < 1.8, "%f", f.e.Slowdown.Mean())

	other := NewEndpoint(6)
	for i := range 200 {
		other.Observe(Answer{Kind: "k", Took: 75 * time.Millisecond, Running: 1}, f.kinds, f.now.Add(time.Duration(i)*100*time.Millisecond))
	}
	ratio, known := other.RelativeTime(1, f.now.Add(20*time.Second))
	assert.Assert(t, known && ratio > 1.3, "%f", ratio)
}

// Load: short and long work on two like endpoints, of which one gets most of the long work. Guards
// against long work that looks like a slow machine.
func TestLongWorkIsNotASlowMachine(t *testing.T) {
	kinds, a, b := &Kinds{}, NewEndpoint(6), NewEndpoint(6)
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		kind, took, to := "short", 20*time.Millisecond, a
		if rng.IntN(4) == 0 {
			kind, took = "long", 400*time.Millisecond
		}
		if (kind == "long") != (rng.IntN(10) == 0) {
			to = b
		}
		to.Observe(Answer{Kind: kind, Took: took, Running: 3}, kinds, now)
	}
	onA, _ := a.RelativeTime(3, now)
	onB, _ := b.RelativeTime(3, now)
	assert.Assert(t, math.Abs(onA-onB) < 0.05, "%f and %f", onA, onB)
}

// Guards against a call that its caller gave up early and that counts as slow, and against an endpoint
// so slow that all callers give up and whose time is never learned.
func TestCallsGivenUp(t *testing.T) {
	f := newFakeEndpoint(6)
	f.serve(5 * time.Second)
	before, _ := f.e.RelativeTime(3, f.now)
	for range 20 {
		f.e.ObserveOverdue(Answer{Kind: "k", Took: 5 * time.Millisecond, Running: 3}, f.kinds, f.now)
	}
	after, _ := f.e.RelativeTime(3, f.now)
	assert.Equal(t, before, after)
	for range 500 {
		f.e.ObserveOverdue(Answer{Kind: "k", Took: time.Second, Running: 3}, f.kinds, f.now)
	}
	after, _ = f.e.RelativeTime(3, f.now)
	assert.Assert(t, after > 3*before, "%f, %f before", after, before)
}

// Guards against a stated slowdown that counts for longer than tenths of a second, or not at all.
func TestSlowdownFadesToItsMean(t *testing.T) {
	var s Slowdown
	assert.Equal(t, s.Relative(start), 1.0)
	now := start
	for i := range 400 {
		factor := 1.0
		if i%4 == 0 {
			factor = 2.5
		}
		now = now.Add(50 * time.Millisecond)
		s.Observe(factor, now)
	}
	s.Observe(2.5, now)
	assert.Assert(t, math.Abs(s.Mean()-1.375) < 0.2, "%f", s.Mean())
	assert.Assert(t, s.Relative(now) > 1.6)
	assert.Assert(t, s.Relative(now.Add(time.Second)) < 1.01)
	assert.Assert(t, s.During(2*time.Second) < s.Mean()+0.15)
	s.Observe(-1, now)
	s.Observe(9, now.Add(-time.Second))
	assert.Assert(t, s.Relative(now) < 2.5)
}

// Guards against a limit below one or above the slots, and figures that are no numbers, whatever
// times and counts come.
func TestLimitStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, kinds, now := NewEndpoint(rapid.IntRange(-1, 200).Draw(t, "slots")), &Kinds{}, start
		for range rapid.IntRange(0, 400).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 3000).Draw(t, "pause")) * time.Millisecond)
			a := Answer{
				Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Took: time.Duration(rapid.Int64Range(-1, 1e11).Draw(t, "took")),
				Running: rapid.IntRange(-1, 400).Draw(t, "running"), Waiting: rapid.IntRange(-1, 400).Draw(t, "waiting"),
			}
			e.Slowdown.Observe(rapid.Float64Range(-1, 1000).Draw(t, "slowdown"), now)
			e.Observe(a, kinds, now)
			e.ObserveOverdue(a, kinds, now)
			ratio, _ := e.RelativeTime(a.Running, now)
			assert.Assert(t, e.Limit() >= 1 && e.Limit() <= e.Declared(), "limit %d of %d", e.Limit(), e.Declared())
			assert.Assert(t, ratio > 0 && !math.IsInf(ratio, 0), "%f", ratio)
		}
	})
}

// Guards against memory that grows with the kinds that callers make up.
func TestKindsAreBounded(t *testing.T) {
	var k Kinds
	for i := range 10 * maxKinds {
		k.learn(string(rune('a'+i)), 1)
	}
	assert.Assert(t, len(k.means) <= maxKinds+1)
	assert.Equal(t, k.Time("unheard"), time.Second)
}

// Guards against one absurd time or statement that makes an endpoint look many times as fast or as slow.
func TestOneAbsurdFigureChangesLittle(t *testing.T) {
	for _, absurd := range []struct {
		took     time.Duration
		slowdown float64
	}{{time.Microsecond, 1}, {time.Hour, 1}, {30 * time.Millisecond, 1000}, {30 * time.Millisecond, 0.001}} {
		f := newFakeEndpoint(6)
		f.stated = true
		f.serve(20 * time.Second)
		f.e.Slowdown.Observe(absurd.slowdown, f.now)
		f.e.Observe(Answer{Kind: "k", Took: absurd.took, Running: 1}, f.kinds, f.now)
		f.e.Slowdown.Observe(1, f.now)
		for range windowAnswers - 1 {
			f.e.Observe(Answer{Kind: "k", Took: 30 * time.Millisecond, Running: 1}, f.kinds, f.now)
		}
		ratio, _ := f.e.RelativeTime(1, f.now)
		seconds := ratio * f.kinds.Time("k").Seconds()
		assert.Check(t, seconds > 0.02 && seconds < 0.045, "%v: %f s", absurd, seconds)
	}
}
