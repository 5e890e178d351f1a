package schedule

import (
	"math"
	"sync/atomic"
	"time"

	"toucantiller.dev/capacity"
	"toucantiller.dev/endpoint"
)

// Candidate is one endpoint with what this gateway knows about its load. Its
// methods are safe for concurrent use.
type Candidate struct {
	state *state
	hash  uint64
	// distance is the one-way latency from this gateway, in seconds.
	distance float64
	Endpoint endpoint.Endpoint
}

// state is the mutable part of a candidate. It outlives snapshots.
type state struct {
	report atomic.Pointer[report]
	// flags holds flagSuspended and flagCache once they have applied, and flagFailing
	// while the last answers failed.
	flags    atomic.Uint32
	requests atomic.Int64
	// inTransit counts requests that the endpoint has not accepted or refused yet.
	inTransit         atomic.Int64
	outstandingPrompt atomic.Int64
	outstandingAnswer atomic.Int64
	// suspended is kept as a time.Time, whose monotonic part ignores clock steps.
	suspended atomic.Pointer[time.Time]
	failures  failures
	cache     prefixCache
	history   history
	base      *timeBase
	// capacity is what the endpoint's answers taught, for an endpoint without an agent. It is
	// guarded by answers.mu and nil before the first answer.
	capacity *capacity.Endpoint
	answers  *serviceAnswers
}

// report is an immutable load report with what was known when it arrived. It holds
// what every pick reads and fills one cache line.
type report struct {
	// madeNanos is when the agent made the report, as an offset from the time base.
	madeNanos int64
	// perLimit, perPrefill and perDecode are the inverses of the limit and the speeds; a
	// pick multiplies by them.
	perLimit, perPrefill, perDecode float64
	// otherRequests and otherQueuedTokens are the requests and queued prompt tokens of other
	// gateways: the report less this gateway's own work.
	otherRequests, otherQueuedTokens float32
	// meanOtherRequests is the slow mean of otherRequests. The estimate from an old report
	// decays to it, since a missing report does not mean that there is no load.
	meanOtherRequests float32
	limit             float32
	// capacity is the number of requests up to which the endpoint is not saturated.
	capacity float32
	flags    flagSet
	// speedExpires is when the learned speeds become outdated, as an offset from the time base.
	speedExpires int64
	// exact is set where otherRequests counts all requests at the endpoint, this gateway's too.
	exact bool
	*detail
}

// detail is the part of a report that few picks read.
type detail struct {
	load   endpoint.Load
	madeAt time.Time
	// excess is the share by which the stated slowdown exceeded its mean at madeNanos.
	excess float64
	// work is nil if the endpoint's answers taught nothing to this gateway.
	work *workTimes
}

// newReport prepares what picks read from a load report.
func newReport(load endpoint.Load) *report {
	limit := math.Max(1, float64(load.Limit))
	r := &report{
		perLimit:          1 / limit,
		perPrefill:        1 / rateOrDefault(load.PrefillRate, defaultPrefillRate),
		perDecode:         1 / rateOrDefault(load.DecodeRate, defaultDecodeRate),
		otherQueuedTokens: float32(load.QueuedTokens),
		limit:             float32(limit),
		capacity:          float32(limit),
		detail:            &detail{load: load},
	}
	if !load.Cold && !load.Exact {
		r.capacity += float32(math.Ceil(overcommitShare * limit))
	}
	r.exact = load.Exact
	if load.Full {
		r.capacity = 0
	}
	if load.PrefillRate <= 0 {
		r.flags |= flagNoPrefill
	}
	if load.DecodeRate <= 0 {
		r.flags |= flagNoDecode
	}
	if load.Leaving {
		r.flags |= flagLeaving
	}
	if load.Floor >= 0 {
		r.flags |= flagFloor
	}
	if r.excess = excessOf(load.Slowdown); r.excess != 0 {
		r.flags |= flagSlowdown
	}
	return r
}

// holderCapacity is the capacity for requests whose prefix the endpoint holds.
func (r *report) holderCapacity() float32 {
	if r.exact {
		return r.capacity
	}
	return r.limit * (1 + holderOvercommitShare)
}

// overcommitShare is the share of its limit that a warm endpoint may hold in addition,
// so that its agent always has the next request at hand.
const overcommitShare = 0.25

// holderOvercommitShare is the same for requests whose prefix the endpoint has cached. It is
// larger because a prefill elsewhere takes the time of another endpoint and evicts
// a prefix there; under load, requests that leave their holders cause more misses.
const holderOvercommitShare = 1.0

// meanOthersWindow is the time over which meanOtherRequests is a mean, in seconds. It spans
// several reports that are a few seconds old.
const meanOthersWindow = 10.0

// Defaults for endpoints whose speeds are not known yet, in tokens per second.
const (
	defaultPrefillRate = 2000.0
	defaultDecodeRate  = 30.0
)

// Observe stores a load report that arrived now. Reports older than the one
// known are ignored.
func (c *Candidate) Observe(load endpoint.Load, now time.Time) { c.observe(load, nil, now) }

// observe stores a load report with the times of work that the endpoint's answers taught, if any.
func (c *Candidate) observe(load endpoint.Load, work *workTimes, now time.Time) {
	made := now.Add(-load.Age)
	old := c.state.report.Load()
	if old != nil && made.Before(old.madeAt) {
		return
	}
	own := c.state.ownRequestsAt(c.state.base.nanos(made), c.state.base.nanos(now))
	r := newReport(load)
	r.setWork(work)
	r.madeNanos = c.state.base.nanos(made)
	r.speedExpires = r.madeNanos + (speedLifetime - load.SpeedAge).Nanoseconds()
	r.madeAt = made
	r.otherRequests = float32(math.Max(0, float64(load.Running+load.Queued)-own))
	if load.Exact {
		// Subtracting own requests that the endpoint refuses would show free capacity that it
		// does not have.
		r.otherRequests = float32(load.Running + load.Queued)
	}
	r.meanOtherRequests = r.otherRequests
	if old != nil {
		gain := float32(min(1, made.Sub(old.madeAt).Seconds()/meanOthersWindow))
		r.meanOtherRequests = old.meanOtherRequests + gain*(r.otherRequests-old.meanOtherRequests)
	}
	c.state.report.CompareAndSwap(old, r)
}

func rateOrDefault(rate, standard float64) float64 {
	if rate <= 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return standard
	}
	return rate
}

// AddOutstanding counts a request given to the endpoint.
func (c *Candidate) AddOutstanding(promptTokens, answerTokens int) {
	c.state.requests.Add(1)
	c.state.inTransit.Add(1)
	c.state.outstandingPrompt.Add(int64(promptTokens))
	c.state.outstandingAnswer.Add(int64(answerTokens))
}

// RemoveInTransit no longer counts a request as in transit, because the endpoint has accepted
// or refused it or because it never arrived. AddOutstanding counted it. Call it once, before
// the report that came with the reply is observed.
func (c *Candidate) RemoveInTransit() { c.state.inTransit.Add(-1) }

// PrefillDone records that the answer of a request has begun: its prompt no
// longer waits. RemoveOutstanding is then called with promptTokens 0.
func (c *Candidate) PrefillDone(promptTokens int) {
	c.state.outstandingPrompt.Add(-int64(promptTokens))
}

// RemoveOutstanding ends a request counted by AddOutstanding.
func (c *Candidate) RemoveOutstanding(promptTokens, answerTokens int) {
	c.state.requests.Add(-1)
	c.state.outstandingPrompt.Add(-int64(promptTokens))
	c.state.outstandingAnswer.Add(-int64(answerTokens))
}

// Outstanding returns this gateway's requests at the endpoint.
func (c *Candidate) Outstanding() int { return int(c.state.requests.Load()) }

// Suspend leaves the candidate out until a time, for example after a lost
// connection.
func (c *Candidate) Suspend(until time.Time) {
	c.state.suspended.Store(&until)
	c.state.flags.Or(uint32(flagSuspended))
}

// Resume ends a suspension, also for picks that have read their clock before.
func (c *Candidate) Resume() { c.state.suspended.Store(&time.Time{}) }

// Load returns the latest report and when it was made; ok is false before the
// first.
func (c *Candidate) Load() (load endpoint.Load, made time.Time, ok bool) {
	r := c.state.report.Load()
	if r == nil {
		return endpoint.Load{}, time.Time{}, false
	}
	return r.load, r.madeAt, true
}
