package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// rankWorth is the worth of a route against one of the next higher rank. Routes are ranked
	// by the operator; what a rank is worth is not stated.
	rankWorth = 0.4
	// mostWorth bounds the worth of a generation against a mean one of its route. Below it
	// worth grows with the size as work does, so that large and small ones of a route take
	// turns.
	mostWorth = 4.0
	// answerSize is the size of a token of the answer in tokens of the prompt.
	answerSize = 10
	// meanGain is the weight of one request in the means of its route and its service.
	meanGain = 0.02
)

// means learns means by name. The zero value has learned nothing.
type means struct {
	mu     sync.Mutex
	byName map[string]float64
}

// observe adds a value and returns the mean.
func (m *means) observe(name string, value float64) float64 {
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

// rating is what decides the order and the place of a call.
type rating struct {
	// worth is what a timely answer is worth against others of its tier, work the seconds for
	// which it holds a slot of an endpoint, and start the time to the beginning of its answer.
	worth, work float64
	start       time.Duration
	// reserve is the number of slots that the call must leave free at its endpoint.
	reserve int
	// sparse is set for a call that is worth little for its work.
	sparse bool
	// large is set for a call that is large for its route.
	large bool
}

const (
	// lowDensity is the worth for its work, as a share of the mean of the service, below which
	// a request leaves slots free: it would hold one for long while others come that are
	// worth far more.
	lowDensity = 0.25
	// leastReserved is the number of slots from which some are left free.
	leastReserved = 3
)

// observePressure takes in how a call ended. What its caller gave up says nothing.
func (g *Gateway) observePressure(c *call, p *Problem) {
	q := g.queue(c)
	if q == nil || !c.rated || c.ingress == nil || p != nil && p.Status == statusClientClosed {
		return
	}
	q.pressure.observe(kind{c.ingress.Name, c.rating.large}, c.runs > 0, !c.rating.sparse)
}

// rate estimates the rating of a call.
func (q *serviceQueue) rate(c *call) rating {
	if c.ingress == nil {
		return rating{worth: 1, work: 1}
	}
	worth := math.Pow(rankWorth, float64(c.ingress.Tier))
	if c.promptTokens+c.answerTokens == 0 {
		return rating{worth: worth, work: 1}
	}
	size := float64(c.promptTokens + answerSize*c.answerTokens)
	mean := q.gateway.sizes.observe(c.ingress.Name, size)
	worth *= min(size/max(mean, 1), mostWorth)
	prefill, decode := q.gateway.routing.Load().snapshot.Speeds(q.service)
	first := float64(c.promptTokens) / prefill
	r := rating{
		worth: worth, work: first + float64(c.answerTokens)/decode, start: time.Duration(first * float64(time.Second)),
		large: size > largeSize*mean,
	}
	q.balance(c, &r)
	return r
}

// balance keeps slots free of a call that is worth little for its work, and lets a call of a
// kind that is served too seldom take turns with the mean request of the service.
func (q *serviceQueue) balance(c *call, r *rating) {
	density := r.worth / r.work
	mean := q.gateway.densities.observe(q.service, density)
	if slots := c.service.Slots; density < lowDensity*mean && slots >= leastReserved {
		r.sparse = true
		r.reserve = q.pressure.reserve(slots)
	}
	if q.pressure.starved(kind{c.ingress.Name, r.large}) {
		r.reserve = 0
		r.worth = max(r.worth, mean*r.work)
	}
}
