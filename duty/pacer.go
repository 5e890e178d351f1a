package duty

import (
	"time"

	"toucantiller.dev/uptime"
)

// Times between calls.
const (
	// One duty takes one part in rateDivisor of the outside system's rate: others share it.
	rateDivisor = 4
	// firstRetry is the pause after the first failed call; each further failure doubles it, up to
	// lastRetry.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 2 * time.Second
	// maxRetryAfter bounds the pause that the outside system asks for.
	maxRetryAfter = 10 * time.Second
)

// Pacer says when the next call of a duty may begin. It is not safe for concurrent use.
type Pacer struct {
	interval time.Duration
	failures int
	// ended and pause: the next call begins a pause after the last one ended.
	ended uptime.Instant
	pause time.Duration
}

// NewPacer returns a pacer for an outside system that takes perSecond calls a second from all
// processes together.
func NewPacer(perSecond float64) *Pacer {
	return &Pacer{interval: time.Duration(rateDivisor / perSecond * float64(time.Second))}
}

// Ready reports whether a call may begin.
func (p *Pacer) Ready(now uptime.Instant) bool { return now.Sub(p.ended) >= p.pause }

// Succeeded records a call that ended well.
func (p *Pacer) Succeeded(now uptime.Instant) {
	p.failures, p.ended, p.pause = 0, now, p.interval
}

// Failed records a call that has to be repeated; retryAfter is the pause that was asked for, 0 if
// none was.
func (p *Pacer) Failed(now uptime.Instant, retryAfter time.Duration) {
	backoff := min(lastRetry, firstRetry<<min(p.failures, 8))
	p.failures++
	p.ended = now
	p.pause = max(p.interval, backoff, min(retryAfter, maxRetryAfter))
}
