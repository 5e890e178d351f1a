package gateway

import (
	"maps"
	"math"
	"sync"
)

const (
	// refusedGain is the weight of one request in the moving average of refused dense requests;
	// servedGain is that in the averages of served requests, which change more slowly. A
	// request is dense unless its rating is sparse.
	refusedGain, servedGain = 0.05, 0.02
	// maxReserveRefusedShare is the share of dense requests refused at which long requests of
	// low worth leave the most slots free.
	maxReserveRefusedShare = 0.1
	// minReserveShare and maxReserveShare are the shares of an endpoint's slots that such
	// requests leave free, when no dense request is refused and at maxReserveRefusedShare.
	minReserveShare, maxReserveShare = 0.2, 0.75
	// minRouteAcceptance is the served share of a route's requests, relative to that of the
	// whole service, below which the route gets priority. minLargeAcceptance is the same for
	// the route's large requests, relative to all requests of the route.
	minRouteAcceptance, minLargeAcceptance = 0.4, 0.55
	// largeSizeRatio is the size, relative to the route's mean, above which a request is large.
	largeSizeRatio = 1.5
)

// acceptanceTracker tracks which requests of a service are served. A long request holds a slot
// that dense requests of the next second would use, so the more of those are refused, the more
// slots long requests leave free. Each route still keeps a part of the service. The zero value
// is ready to use.
type acceptanceTracker struct {
	mu sync.Mutex
	// refusedDense is the share of dense requests that are refused.
	refusedDense float64
	overall      acceptanceRate
	classes      map[requestClass]*acceptanceRate
}

// acceptanceRate is a moving average of the share of requests that are served.
type acceptanceRate struct {
	share float64
	known bool
}

func (s *acceptanceRate) add(outcome float64) {
	if !s.known {
		s.share, s.known = outcome, true
	}
	s.share += servedGain * (outcome - s.share)
}

// requestClass groups requests by route and by size.
type requestClass struct {
	route string
	large bool
}

// observe records the end of a request: whether it was placed at an endpoint, and whether it is
// dense.
func (p *acceptanceTracker) observe(k requestClass, placed, dense bool) {
	outcome := 0.0
	if placed {
		outcome = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if dense {
		p.refusedDense += refusedGain * (1 - outcome - p.refusedDense)
	}
	p.overall.add(outcome)
	p.rateOf(requestClass{route: k.route}).add(outcome)
	if k.large {
		p.rateOf(k).add(outcome)
	}
}

// rateOf must be called with mu held.
func (p *acceptanceTracker) rateOf(k requestClass) *acceptanceRate {
	s := p.classes[k]
	if s == nil {
		if p.classes == nil {
			p.classes = make(map[requestClass]*acceptanceRate)
		}
		s = &acceptanceRate{}
		p.classes[k] = s
	}
	return s
}

// starved reports whether a route is served far less often than the whole service, or the large
// requests of a route far less often than the route as a whole.
func (p *acceptanceTracker) starved(k requestClass) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	route := p.rateOf(requestClass{route: k.route})
	if route.known && route.share < minRouteAcceptance*p.overall.share {
		return true
	}
	large := p.rateOf(requestClass{k.route, true})
	return k.large && large.known && large.share < minLargeAcceptance*route.share
}

// retainRoutes drops the statistics of routes that no longer exist.
func (p *acceptanceTracker) retainRoutes(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.classes, func(k requestClass, _ *acceptanceRate) bool { return !known[k.route] })
}

// reservedSlots returns the number of slots that a long request of low worth leaves free.
func (p *acceptanceTracker) reservedSlots(slots int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	level := min(1, p.refusedDense/maxReserveRefusedShare)
	return int(math.Ceil(float64(slots) * (minReserveShare + level*(maxReserveShare-minReserveShare))))
}
