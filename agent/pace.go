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
	// starts holds the times of the last starts; next is the oldest one.
	starts []time.Time
	next   int
}

// limit sets the requests in one second; 0 means no bound. Starts before the bound are kept
// as far as it reaches. used stands for starts that are not known: when the agent started,
// since an earlier agent of the endpoint may have made some.
func (p *pace) limit(n int, used time.Time) {
	if n == len(p.starts) {
		return
	}
	old := append(append([]time.Time(nil), p.starts[p.next:]...), p.starts[:p.next]...)
	p.starts = make([]time.Time, n)
	p.next = 0
	for i := range p.starts {
		p.starts[i] = used
	}
	for i := range min(n, len(old)) {
		p.starts[n-1-i] = old[len(old)-1-i]
	}
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
