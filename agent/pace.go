package agent

import (
	"math"
	"time"
)

// paceWindow is the time in which a cold endpoint bears a number of requests.
const paceWindow = time.Second

const (
	// paceShare and paceSlack are what an endpoint bears beyond its rate when it is cold.
	// Endpoints turn cold unannounced, so the bound holds at any time; a warm endpoint
	// seldom ends more requests in a second.
	paceShare = 1.2
	paceSlack = 2
)

// pace bounds the requests given to an endpoint in any one second. The zero value has no
// bound.
type pace struct {
	// starts holds the times of the last starts; next is the oldest one.
	starts []time.Time
	next   int
}

// limit sets the rate in requests a second; 0 means no bound. A new bound counts as used
// up at a time: when the agent started, since an earlier agent of the endpoint may have
// made those starts.
func (p *pace) limit(rate float64, used time.Time) {
	n := 0
	if rate > 0 {
		n = int(math.Max(1, rate*paceShare+paceSlack))
	}
	if n == len(p.starts) {
		return
	}
	p.starts = make([]time.Time, n)
	for i := range p.starts {
		p.starts[i] = used
	}
	p.next = 0
}

// wait returns the time until the next start is allowed, 0 when it is now.
func (p *pace) wait(now time.Time) time.Duration {
	if len(p.starts) == 0 {
		return 0
	}
	return max(0, paceWindow-now.Sub(p.starts[p.next]))
}

// take records a start.
func (p *pace) take(now time.Time) {
	if len(p.starts) == 0 {
		return
	}
	p.starts[p.next] = now
	p.next = (p.next + 1) % len(p.starts)
}
