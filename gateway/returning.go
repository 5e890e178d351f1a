package gateway

import (
	"maps"
	"sync"
	"time"
)

// Callers that were refused come back, to any gateway and as new requests. What they say of
// the time for which they still wait tells them apart: it is well below what callers of the
// route say at first.
const (
	// firstShare is the share of the longest stated wait above which a caller may be here for
	// the first time; first waits vary by less.
	firstShare = 0.8
	// longestFades is the share by which the longest stated wait fades with each request.
	longestFades = 0.002
	// knownAfter is the number of requests of an account on a route from which its own longest
	// wait counts, and not that of all accounts.
	knownAfter = 4
)

// statedWaits learns how long callers say at first that they wait. The zero value has
// learned nothing.
type statedWaits struct {
	mu     sync.Mutex
	byName map[waitKey]*longestWait
}

// waitKey names an account on a route; the empty account stands for all of them.
type waitKey struct{ route, account string }

type longestWait struct {
	wait time.Duration
	seen int
}

// elapsed takes in what a caller states and returns for how long it has been trying, at the
// least.
func (s *statedWaits) elapsed(route, account string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.observe(waitKey{route: route}, stated)
	if own := s.observe(waitKey{route, account}, stated); own.seen >= knownAfter {
		longest = own
	}
	return max(0, time.Duration(firstShare*float64(longest.wait))-stated)
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
	l.seen++
	l.wait = max(stated, time.Duration((1-longestFades)*float64(l.wait)))
	return l
}

// keep drops what was learned of routes that are gone.
func (s *statedWaits) keep(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byName, func(key waitKey, _ *longestWait) bool { return !known[key.route] })
}
