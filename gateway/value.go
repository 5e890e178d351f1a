package gateway

import (
	"math"
	"sync"
	"time"

	"toucantiller.dev/policy"
)

const (
	// tierWorthFactor is the worth of a request relative to one of the next higher tier.
	// Operators order the tiers but do not state what a tier is worth.
	tierWorthFactor = 0.4
	// maxSizeWorth bounds the worth of a request relative to the mean of its route. Below the
	// bound, worth grows with size as work does, so that large and small requests of a route
	// alternate.
	maxSizeWorth = 4.0
	// answerTokenSize is the size of one answer token, in prompt tokens.
	answerTokenSize = 10
	// meanGain is the weight of one request in the moving averages of its route and service.
	meanGain = 0.02
)

// runningMeans holds exponential moving averages by name. The zero value is ready to use.
type runningMeans struct {
	mu     sync.Mutex
	byName map[string]float64
}

// observe adds a value and returns the updated mean.
func (m *runningMeans) observe(name string, value float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byName == nil {
		m.byName = make(map[string]float64)
	}
	mean, known := m.byName[name]
	if !known {
		mean = value
	}
	mean += meanGain * (value - mean)
	m.byName[name] = mean
	return mean
}

// rating determines a call's order in the queue and its placement.
type rating struct {
	// worth is the value of a timely answer, work the time in seconds for which the call holds
	// a slot of an endpoint, and timeToStart the expected time until the answer begins.
	worth, work float64
	timeToStart time.Duration
	// reserve is the number of slots that the call must leave free at its endpoint.
	reserve int
	// sparse is set if the call has a low worth for its work.
	sparse bool
	// large is set for a call that is large for its route.
	large bool
}

const (
	// sparseDensityRatio is the worth per work, relative to the mean of the service, below
	// which a request leaves slots free: it would hold a slot for long while requests of far
	// higher worth arrive.
	sparseDensityRatio = 0.25
	// minSlotsForReserve is the least number of slots at which some are left free.
	minSlotsForReserve = 3
)

// observeAcceptance records how a call ended. A call that its caller cancelled is not counted.
func (g *Gateway) observeAcceptance(c *call, p *Problem) {
	q := g.queue(c)
	if q == nil || !c.rated || c.ingress == nil || p != nil && p.Status == statusClientClosed {
		return
	}
	q.acceptance.observe(requestClass{c.ingress.Name, c.rating.large}, c.runs > 0, !c.rating.sparse)
}

// estimateRating estimates the rating of a call.
func (q *serviceQueue) estimateRating(c *call) rating {
	off := q.gateway.opt.Without
	if c.ingress == nil {
		return rating{worth: 1, work: 1}
	}
	worth := math.Pow(tierWorthFactor, float64(c.ingress.Tier))
	if c.promptTokens+c.answerTokens == 0 {
		return rating{worth: worth, work: 1}
	}
	size := float64(c.promptTokens + answerTokenSize*c.answerTokens)
	mean := q.gateway.meanSizes.observe(c.ingress.Name, size)
	worth *= min(size/max(mean, 1), maxSizeWorth)
	speeds := q.gateway.routing.Load().snapshot.Speeds(q.service)
	work := float64(c.promptTokens)/speeds.Prefill + float64(c.answerTokens)/speeds.Decode
	if off.InForce(policy.FinishChance) {
		worth *= endsInTime(work, time.Until(c.deadline).Seconds())
	}
	// Large prompts go to the fastest endpoints.
	start := float64(c.promptTokens) / speeds.BestPrefill
	r := rating{
		worth: worth, work: work, timeToStart: time.Duration(start * float64(time.Second)),
		large: size > largeSizeRatio*mean,
	}
	q.applyReserve(c, &r)
	return r
}

// finishSteepness is how steeply the chance to end in time falls around the point at which an
// answer is expected to take all the time that is left. It fits answers that vary by a factor of
// 1.7 around callers' estimates.
const finishSteepness = 3.4

// endsInTime estimates the probability that an answer which is expected to take needed seconds
// ends within left seconds.
func endsInTime(needed, left float64) float64 {
	if left <= 0 {
		return 0
	}
	return 1 / (1 + math.Pow(needed/left, finishSteepness))
}

// applyReserve makes a call of low worth for its work leave slots free, and lets a starved
// class of requests alternate with the mean request of the service.
func (q *serviceQueue) applyReserve(c *call, r *rating) {
	density := r.worth / r.work
	mean := q.gateway.meanDensities.observe(q.service, density)
	if slots := c.service.Slots; density < sparseDensityRatio*mean && slots >= minSlotsForReserve {
		r.sparse = true
	}
	off := q.gateway.opt.Without
	if r.sparse && off.InForce(policy.SlotReserve) {
		r.reserve = q.acceptance.reservedSlots(c.service.Slots)
	}
	if off.InForce(policy.ClassFloor) && q.acceptance.starved(requestClass{c.ingress.Name, r.large}) {
		r.reserve = 0
		r.worth = max(r.worth, mean*r.work)
	}
}
