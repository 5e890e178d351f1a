package agent

import "time"

// paceWindow is the window over which starts are counted.
const paceWindow = time.Second

// Pace bounds the requests started at an endpoint in any one second, based on the rate that the
// endpoint can take while cold. The bound applies at all times, because endpoints turn cold
// unannounced.
type Pace struct {
	// Overrun and Slack apply to an endpoint that is not known to be cold: rate x Overrun + Slack
	// is the highest number of requests per second that a cold one may get.
	Overrun, Slack float64
}

// DefaultPace is used when the deployment sets none.
var DefaultPace = Pace{Overrun: 1.2, Slack: 2}

// paceMargin is the number of requests by which the pace stays below the bound, because two
// requests may arrive at an endpoint closer together than they were sent.
const paceMargin = 1

// coldShare is the share of its rate that an endpoint known to be cold gets.
const coldShare = 1.0

// startsPerWindow returns the number of starts allowed in one second; 0 means no bound.
func (p Pace) startsPerWindow(rate float64, cold bool) int {
	if rate <= 0 {
		return 0
	}
	if cold {
		return max(1, int(coldShare*rate))
	}
	return max(1, int(rate*p.Overrun+p.Slack)-paceMargin)
}

// pace bounds the starts at an endpoint in any one second. The zero value has no bound.
type pace struct {
	bound int
	// starts holds the times of the starts in the last second, oldest first.
	starts []time.Time
}

// setBound sets the number of starts allowed in one second; 0 means no bound. Starts before the
// first bound are unknown, so as many as the bound allows are assumed to have happened at used.
func (p *pace) setBound(n int, used time.Time) {
	if p.bound == 0 {
		for range n {
			p.starts = append(p.starts, used)
		}
	}
	p.bound = n
}

// wait returns the time until the next start is allowed, 0 if it is allowed now.
func (p *pace) wait(now time.Time) time.Duration {
	if p.bound == 0 || len(p.starts) < p.bound {
		return 0
	}
	return max(0, paceWindow-now.Sub(p.starts[len(p.starts)-p.bound]))
}

// recordStart records a start.
func (p *pace) recordStart(now time.Time) {
	if p.bound == 0 {
		return
	}
	old := 0
	for old < len(p.starts) && now.Sub(p.starts[old]) >= paceWindow {
		old++
	}
	p.starts = append(p.starts[old:], now)
}
