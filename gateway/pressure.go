package gateway

import (
	"maps"
	"math"
	"sync"
)

const (
	// refusedGain is the weight of one request in the share of dense requests that are refused,
	// servedGain that in the shares of requests that are served, which change more slowly.
	refusedGain, servedGain = 0.05, 0.02
	// fullPressure is the share of dense requests that are not served from which long ones of
	// low worth leave the most slots free.
	fullPressure = 0.1
	// leastReserve and mostReserve are the shares of an endpoint's slots that such requests
	// leave free, without pressure and under full pressure.
	leastReserve, mostReserve = 0.2, 0.75
	// leastServed is the share of requests of a route that are served, against that of all of
	// the service, below which the route goes first. leastLarge is the same for its large
	// requests against those of the route.
	leastServed, leastLarge = 0.4, 0.55
	// largeSize is the size against the mean of the route from which a request is large.
	largeSize = 1.5
)

// pressure follows which requests of a service are served. A long request holds a slot that
// dense work of the next second would use, so the more of that is refused, the more slots
// long requests leave free; but each route keeps a part of the service. The zero value has
// seen no request.
type pressure struct {
	mu sync.Mutex
	// refused is the share of dense requests that are refused.
	refused float64
	all     served
	kinds   map[kind]*served
}

// served is the share of requests that are served.
type served struct {
	share float64
	known bool
}

func (s *served) add(outcome float64) {
	if !s.known {
		s.share, s.known = outcome, true
	}
	s.share += servedGain * (outcome - s.share)
}

// kind is what requests are told apart by.
type kind struct {
	route string
	large bool
}

// observe takes in the end of a request: whether it was placed at an endpoint, and whether it
// is dense.
func (p *pressure) observe(k kind, placed, dense bool) {
	outcome := 0.0
	if placed {
		outcome = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if dense {
		p.refused += refusedGain * (1 - outcome - p.refused)
	}
	p.all.add(outcome)
	p.of(kind{route: k.route}).add(outcome)
	if k.large {
		p.of(k).add(outcome)
	}
}

// of must be called with mu held.
func (p *pressure) of(k kind) *served {
	s := p.kinds[k]
	if s == nil {
		if p.kinds == nil {
			p.kinds = make(map[kind]*served)
		}
		s = &served{}
		p.kinds[k] = s
	}
	return s
}

// starved reports whether a route is served far less often than all of the service, or the
// large requests of a route less often than its others.
func (p *pressure) starved(k kind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	route := p.of(kind{route: k.route})
	if route.known && route.share < leastServed*p.all.share {
		return true
	}
	large := p.of(kind{k.route, true})
	return k.large && large.known && large.share < leastLarge*route.share
}

// keep drops what is known of routes that are gone.
func (p *pressure) keep(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.kinds, func(k kind, _ *served) bool { return !known[k.route] })
}

// reserve returns the number of slots that a long request of low worth leaves free.
func (p *pressure) reserve(slots int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	level := min(1, p.refused/fullPressure)
	return int(math.Ceil(float64(slots) * (leastReserve + level*(mostReserve-leastReserve))))
}
