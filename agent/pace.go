package agent

import "time"

// paceWindow is the time in which a cold endpoint bears a number of requests.
const paceWindow = time.Second

// Pace is how many requests an endpoint is given in any one second, from the rate that it
// bears while cold. Endpoints turn cold unannounced, so a bound holds at any time.
type Pace struct {
	// Overrun and Slack bound an endpoint that is not known to be cold: rate x Overrun + Slack
	// is what a cold one may get at the most.
	Overrun, Slack float64
}

// DefaultPace is the pace where the deployment states none.
var DefaultPace = Pace{Overrun: 1.2, Slack: 2}

// paceMargin is the requests by which the pace stays below the bound, since an endpoint may
// see two requests closer together than they were sent.
const paceMargin = 1

// coldShare is the share of its rate that an endpoint gets that is known to be cold.
const coldShare = 1.0

// bound returns the requests in one second; 0 means no bound.
func (p Pace) bound(rate float64, cold bool) int {
	if rate <= 0 {
		return 0
	}
	if cold {
		return max(1, int(coldShare*rate))
	}
	return max(1, int(rate*p.Overrun+p.Slack)-paceMargin)
}

// pace bounds the requests given to an endpoint in any one second. The zero value has no
// bound.
type pace struct {
	bound int
	// starts holds the times of the starts of the last second, the oldest first.
	starts []time.Time
}

// limit sets the requests in one second; 0 means no bound. Starts before the first bound are
// not known; used stands for as many as it allows.
func (p *pace) limit(n int, used time.Time) {
	if p.bound == 0 {
		for range n {
			p.starts = append(p.starts, used)
		}
	}
	p.bound = n
}

// wait returns the time until the next start is allowed, 0 when it is now.
func (p *pace) wait(now time.Time) time.Duration {
	if p.bound == 0 || len(p.starts) < p.bound {
		return 0
	}
	return max(0, paceWindow-now.Sub(p.starts[len(p.starts)-p.bound]))
}

// take records a start.
func (p *pace) take(now time.Time) {
	if p.bound == 0 {
		return
	}
	old := 0
	for old < len(p.starts) && now.Sub(p.starts[old]) >= paceWindow {
		old++
	}
	p.starts = append(p.starts[old:], now)
}
