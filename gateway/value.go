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
	// sizeGain is the weight of one request in the mean size of its route.
	sizeGain = 0.02
)

// sizeMeans learns the mean size of the requests of each route.
type sizeMeans struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

// observe adds a size and returns the mean.
func (m *sizeMeans) observe(route string, size float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byRoute == nil {
		m.byRoute = make(map[string]float64)
	}
	mean, known := m.byRoute[route]
	if !known {
		mean = size
	}
	mean += sizeGain * (size - mean)
	m.byRoute[route] = mean
	return mean
}

// value estimates what a timely answer to a call is worth against others of its tier, the
// seconds of an endpoint that it takes, and the time to the beginning of its answer.
func (g *Gateway) value(c *call) (worth, work float64, start time.Duration) {
	if c.ingress == nil {
		return 1, 1, 0
	}
	worth = math.Pow(rankWorth, float64(c.ingress.Tier))
	if c.promptTokens+c.answerTokens == 0 {
		return worth, 1, 0
	}
	size := float64(c.promptTokens + answerSize*c.answerTokens)
	mean := g.sizes.observe(c.ingress.Name, size)
	worth *= min(size/max(mean, 1), mostWorth)
	prefill, decode := g.routing.Load().snapshot.Speeds(c.service.Name)
	first := float64(c.promptTokens) / prefill
	work = first + float64(c.answerTokens)/(decode*float64(max(c.service.Slots, 1)))
	return worth, work, time.Duration(first * float64(time.Second))
}
