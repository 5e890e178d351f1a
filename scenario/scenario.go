package scenario

import (
	"slices"
	"time"

	"toucantiller.dev/account"
)

// scenario is one load with its faults.
type scenario struct {
	name      string
	speeds    []float64
	gateways  int
	staleness time.Duration
	load      load
	// load factors of the capacity: usual before the measured time, measured within.
	usual, measured float64
	// drain is the time after the measured time for calls still open; 0 means drainTime.
	drain time.Duration
	// lossy loses messages between gateways and agents.
	lossy bool
	// faults are scheduled relative to the start of the measured time.
	faults func(w *world, s system)
}

// Phases of a run. The limits ramp up during warmTime.
const (
	warmTime     = 60 * time.Second
	measuredTime = 30 * time.Second
	drainTime    = 15 * time.Second
)

func even(n int) []float64 { return slices.Repeat([]float64{1}, n) }

func tierOf(rank int) account.Tier { return account.Tier(rank) }

// run plays a scenario with one of the two systems.
func (sc *scenario) run(seed uint64, isNaive bool) *Result {
	w := newWorld(sc, seed)
	var s system
	if isNaive {
		s = newNaive(w)
	} else {
		s = newProduct(w)
	}
	bear := capacity(sc.speeds, &sc.load)
	l := sc.load
	l.rate = func(at time.Duration) float64 {
		if at < warmTime {
			return sc.usual * bear
		}
		return sc.measured * bear
	}
	start := w.clock.now
	w.result.from = start.Add(warmTime)
	w.result.until = w.result.from.Add(measuredTime)
	w.generate(&l, start, w.result.until, w.result.from)
	w.clock.after(warmTime, func() {
		if sc.lossy {
			w.loseReply, w.loseRequest = 0.01, 0.01
		}
		if sc.faults != nil {
			sc.faults(w, s)
		}
	})
	w.clock.runUntil(w.result.until.Add(max(sc.drain, drainTime)))
	w.result.close(w.calls)
	return w.result
}

// again is what a caller does when its gateway died: it issues a new request at
// another gateway while its time allows. The caller of a non-idempotent call
// without a key cannot do so.
func (w *world) again(c *call, gateway int) {
	if c.settled {
		return
	}
	c.onSettle = nil
	if c.answer == 1 {
		w.lose(c, lostToGateway)
		return
	}
	c.settled = true
	c.lostTo = lostToGateway
	w.clock.after(retryDelay, func() {
		anew := *c
		anew.id = len(w.calls)
		anew.runs, anew.prefilled, anew.settled, anew.lostTo = 0, 0, false, ""
		w.calls = append(w.calls, &anew)
		if w.clock.now.Before(c.deadline) {
			w.system.arrive(&anew, (gateway+1)%w.gates)
		}
	})
}

// scenarios lists what the design page asks for.
func scenarios() []scenario {
	base := load{timeout: 10 * time.Second}
	six := even(6)
	with := func(change func(*load)) load {
		l := base
		change(&l)
		return l
	}
	return []scenario{
		{name: "steady", speeds: six, gateways: 3, load: base, usual: 0.7, measured: 0.7},
		{name: "burst2x", speeds: six, gateways: 3, load: base, usual: 0.8, measured: 2},
		{name: "burst4x", speeds: six, gateways: 3, load: base, usual: 0.8, measured: 4},
		{name: "long100x", speeds: six, gateways: 3, drain: 600 * time.Second, load: with(func(l *load) { l.longShare = 0.005 }), usual: 0.7, measured: 0.7},
		{name: "speeds1to4", speeds: []float64{1, 1, 1, 2, 2, 4}, gateways: 3, load: base, usual: 0.7, measured: 0.9},
		{name: "stale5s", speeds: six, gateways: 3, staleness: 5 * time.Second, load: base, usual: 0.7, measured: 0.9},
		{name: "prefixes", speeds: six, gateways: 3, load: with(func(l *load) { l.prefixes = 18 }), usual: 0.5, measured: 0.6},
		{name: "coldrestart", speeds: six, gateways: 3, load: base, usual: 0.6, measured: 0.6, faults: func(_ *world, s system) {
			s.restartEngine(0)
			s.restartEngine(3)
		}},
		{name: "slow10x", speeds: six, gateways: 3, load: base, usual: 0.6, measured: 0.6, faults: func(w *world, _ system) {
			w.engines[2].setSlow(10)
		}},
		{name: "failing", speeds: six, gateways: 3, load: base, usual: 0.6, measured: 0.6, faults: func(w *world, _ system) {
			w.engines[2].failing = 0.5
		}},
		{name: "failingfast", speeds: six, gateways: 3, load: base, usual: 0.6, measured: 0.6, faults: func(w *world, _ system) {
			w.engines[2].failing = 1
		}},
		{name: "gatewaykilled", speeds: six, gateways: 3, load: base, usual: 0.8, measured: 1.2, faults: func(w *world, s system) {
			w.clock.after(10*time.Second, func() { s.killGateway(1) })
		}},
		{name: "plainfaults", speeds: even(3), gateways: 2, lossy: true, load: with(func(l *load) { l.plain = true; l.timeout = 5 * time.Second }), usual: 0.5, measured: 0.5, faults: func(w *world, s system) {
			for i := range 3 {
				w.clock.after(time.Duration(5+8*i)*time.Second, func() { s.killAgent(i) })
			}
		}},
	}
}
