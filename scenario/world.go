package scenario

import (
	"math"
	"math/rand/v2"
	"time"

	"toucantiller.dev/account"
)

// netDelay is the one-way latency between processes.
const netDelay = time.Millisecond

// silence is how long a gateway waits for a frame before it settles a dispatch.
const silence = 1500 * time.Millisecond

// Load describes the calls that arrive.
type load struct {
	// rate returns arrivals per second.
	rate func(at time.Duration) float64
	// plain calls are short, not idempotent and have no answer stream.
	plain bool
	// longShare is the share of calls with 100 times the usual answer.
	longShare float64
	// prefixes is the number of shared prefixes; 0 means none.
	prefixes int
	timeout  time.Duration
}

// call is one call of a client.
type call struct {
	id           int
	tier         account.Tier
	account      string
	prompt       int
	answer       int
	prefix       uint64
	prefixTokens int
	arrived      time.Time
	deadline     time.Time
	long         bool
	measured     bool

	runs int
	// prefilled is the prefill spent on the call, lastWork that of its last run.
	prefilled float64
	lastWork  float64
	settled   bool
	refused   bool
	good      bool
	firstAt   time.Time
	onSettle  func()
	// lostTo is why the outcome is unknown or failed.
	lostTo lossCause
}

// system is a scheduler under test.
type system interface {
	arrive(c *call, gateway int)
	killGateway(i int)
	killAgent(i int)
	restartEngine(i int)
	// waiting returns the lowest tier that waits anywhere, or -1.
	lowestWaiting() int
}

// world joins clock, engines, load and results.
type world struct {
	clock   clock
	rng     *rand.Rand
	engines []*engine
	result  *Result
	calls   []*call
	gates   int
	system  system
	// loseReply is the probability that a message from an agent is lost with its
	// connection; loseRequest is that of a dispatch.
	loseReply, loseRequest float64
	staleness              time.Duration
}

func newWorld(sc *scenario, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x5eed)), result: newResult(), gates: sc.gateways, staleness: sc.staleness}
	w.clock.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, speed := range sc.speeds {
		w.engines = append(w.engines, newEngine(w, speed))
	}
	return w
}

// tierShares is the cumulative share of calls by tier.
var tierShares = [...]float64{0.2, 0.5, 1}

const tiers = len(tierShares)

// accounts are the client accounts by tier.
var accounts = [tiers][]string{{"mill-north", "mill-south"}, {"mill-east", "dues"}, {"batch", "reports"}}

// Mean sizes of calls.
const (
	meanPrompt = 400
	meanAnswer = 100
)

func (w *world) newCall(l *load, measured bool) *call {
	c := &call{id: len(w.calls), arrived: w.clock.now, measured: measured}
	draw := w.rng.Float64()
	for draw >= tierShares[c.tier] {
		c.tier++
	}
	c.account = accounts[c.tier][w.rng.IntN(2)]
	c.prompt = meanPrompt/2 + w.rng.IntN(meanPrompt)
	c.answer = meanAnswer/2 + w.rng.IntN(meanAnswer)
	if w.rng.Float64() < l.longShare {
		c.long = true
		c.answer *= 100
		c.account += "-long"
	}
	if l.plain {
		c.prompt /= 4
		c.answer = 1
	}
	if l.prefixes > 0 {
		c.prefix = uint64(1+w.rng.IntN(l.prefixes)) * 0x9e3779b97f4a7c15
		c.prefixTokens = 10 * meanPrompt
		c.prompt += c.prefixTokens
	}
	timeout := l.timeout
	if c.long {
		timeout *= 100
	}
	c.deadline = w.clock.now.Add(timeout)
	w.calls = append(w.calls, c)
	return c
}

// generate issues calls as a Poisson process from now until end.
func (w *world) generate(l *load, start, end time.Time, measureFrom time.Time) {
	rate := l.rate(w.clock.now.Sub(start))
	wait := -math.Log(1-w.rng.Float64()) / rate
	w.clock.after(time.Duration(wait*1e9), func() {
		if w.clock.now.After(end) {
			return
		}
		c := w.newCall(l, !w.clock.now.Before(measureFrom))
		w.result.offered(c)
		w.system.arrive(c, w.rng.IntN(w.gates))
		w.generate(l, start, end, measureFrom)
	})
}

// capacity is the number of usual calls per second that the warm engines bear.
func capacity(speeds []float64, l *load) float64 {
	prompt, answer := float64(meanPrompt), float64(meanAnswer)
	answer *= 1 + 99*l.longShare
	if l.plain {
		prompt, answer = prompt/4, 1
	}
	total := 0.0
	for _, s := range speeds {
		total += s / math.Max(prompt/prefillRate, answer/(decodeRate*batchSlots))
	}
	return total
}

// finish settles a call with a complete answer.
func (w *world) finish(c *call) {
	if w.settle(c) {
		c.good = true
		w.result.good(c, w.clock.now)
	}
}

// refuse tells the caller that the call did not run. shed is set when the cause is
// load and not the call's own deadline or its account.
func (w *world) refuse(c *call, shed bool) {
	if !w.settle(c) {
		return
	}
	c.refused = true
	w.result.refused(c)
	if shed && w.system.lowestWaiting() > int(c.tier) {
		w.result.TierInversions++
	}
}

// lose tells the caller that the outcome is unknown or failed.
func (w *world) lose(c *call, cause lossCause) {
	if w.settle(c) {
		c.lostTo = cause
		w.result.lost(c)
	}
}

func (w *world) settle(c *call) bool {
	if c.settled {
		return false
	}
	c.settled = true
	if c.onSettle != nil {
		c.onSettle()
	}
	return true
}
