package gateway

import (
	"maps"
	"sync"
	"time"
)

// Callers that were refused come back, at any gateway and as new requests. The timeout that
// they state tells them apart: it is what remains of their wait, well below what first tries on
// the route state.
const (
	// firstTryShare is the share of the longest stated wait above which a request may be a
	// first try; the stated waits of first tries vary by less.
	firstTryShare = 0.8
	// longestDecay is the share by which the longest stated wait decays with each request.
	longestDecay = 0.002
	// minAccountRequests is the number of requests of an account on a route from which its own
	// longest wait is used instead of that of all accounts.
	minAccountRequests = 4
)

// statedWaits estimates the wait that callers state on their first try. The zero value is ready
// to use.
type statedWaits struct {
	mu     sync.Mutex
	byName map[waitKey]*longestWait
}

// waitKey names an account on a route; the empty account stands for all accounts.
type waitKey struct{ route, account string }

type longestWait struct {
	wait     time.Duration
	requests int
}

// elapsed records the wait that a caller states and returns the least time for which the caller
// must already have been trying.
func (s *statedWaits) elapsed(route, account string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.observe(waitKey{route: route}, stated)
	if own := s.observe(waitKey{route, account}, stated); own.requests >= minAccountRequests {
		longest = own
	}
	return max(0, time.Duration(firstTryShare*float64(longest.wait))-stated)
}

func (s *statedWaits) observe(key waitKey, stated time.Duration) *longestWait {
	if s.byName == nil {
		s.byName = make(map[waitKey]*longestWait)
	}
	l := s.byName[key]
	if l == nil {
		l = &longestWait{}
		s.byName[key] = l
	}
	l.requests++
	l.wait = max(stated, time.Duration((1-longestDecay)*float64(l.wait)))
	return l
}

// retainRoutes drops the statistics of routes that no longer exist.
func (s *statedWaits) retainRoutes(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byName, func(key waitKey, _ *longestWait) bool { return !known[key.route] })
}
