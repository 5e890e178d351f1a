package usage

import "time"

const (
	// maxRoundTrip is the longest exchange from which a process takes the time. Half of it bounds
	// the error of agreed time.
	maxRoundTrip = 250 * time.Millisecond
	// exchangeAge is how long an exchange is preferred for its short round trip. The oscillators of
	// two machines drift apart by about a millisecond in this time.
	exchangeAge = 10 * time.Second
)

// exchange is a report and its reply, as seen by the process that sent the report.
type exchange struct {
	received, roundTrip time.Duration
	// ahead is how far the process's own position is ahead of the session's clock.
	ahead time.Duration
}

// clock is a process's agreed time, anchored to its own position: the time since its start, on a
// clock that never jumps.
type clock struct {
	session uint64
	// exchanges are the recent ones of the session, oldest first.
	exchanges []exchange
	// zero is the agreed time at position 0, in nanoseconds since 1970. It stays in force over a
	// change of session until the new one has agreed on a time.
	zero  int64
	known bool
}

// observe takes over the time of a reply to a report that was sent and received at the given
// positions.
func (c *clock) observe(r *Reply, sent, received time.Duration) {
	if r.Session != c.session {
		c.session = r.Session
		c.exchanges = nil
	}
	if roundTrip := received - sent; roundTrip <= maxRoundTrip {
		c.add(exchange{received: received, roundTrip: roundTrip, ahead: sent + roundTrip/2 - r.Position})
	}
	best, ok := c.best()
	if ok && r.Agreed != 0 {
		c.zero = r.Agreed - int64(best.ahead)
		c.known = true
	}
}

// add keeps an exchange and drops those that are too old.
func (c *clock) add(e exchange) {
	old := 0
	for old < len(c.exchanges) && c.exchanges[old].received < e.received-exchangeAge {
		old++
	}
	c.exchanges = append(c.exchanges[old:], e)
}

// best returns the exchange with the shortest round trip, which bounds its error.
func (c *clock) best() (best exchange, ok bool) {
	for i, e := range c.exchanges {
		if i == 0 || e.roundTrip < best.roundTrip {
			best = e
		}
	}
	return best, len(c.exchanges) > 0
}

// at returns the agreed time at a position, in nanoseconds since 1970.
func (c *clock) at(position time.Duration) int64 { return c.zero + int64(position) }

// positionOf returns the position at which agreed time shows a moment.
func (c *clock) positionOf(unix int64) time.Duration { return time.Duration(unix - c.zero) }

// describe states the process's clocks relative to the session's clock.
func (c *clock) describe(r *Report, position time.Duration, wall time.Time) {
	best, ok := c.best()
	if !ok {
		return
	}
	r.Session = c.session
	r.Wall = wall.UnixNano() - int64(position-best.ahead)
	if c.known {
		r.Agreed = c.zero + int64(best.ahead)
	}
}
