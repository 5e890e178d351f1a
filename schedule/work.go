package schedule

import (
	"math"
	"sync"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/capacity"
	"toucantiller.dev/endpoint"
)

const (
	// slowdownFadeNanos is capacity.SlowdownFade in nanoseconds.
	slowdownFadeNanos = float64(capacity.SlowdownFade)
	// minExcess is the share by which a machine must be slower or faster than it usually is for
	// a pick to count it.
	minExcess = 0.2
	// maxExcess bounds what a pick believes.
	maxExcess = 9.0
	// usualSlowdown is endpoint.Load.Slowdown of a machine that is as fast as it usually is.
	usualSlowdown = 100
	// statedLoadAging is how much faster the load that an endpoint stated with an answer fades
	// than an agent's report. No further statement comes unless a request is sent, so an old one
	// must not keep requests away.
	statedLoadAging = 8
)

// workLifetimeNanos is the age from which learned times count as unknown. An endpoint that was slow
// gets no work while others are fast, so no answer would ever show that it has recovered.
const workLifetimeNanos = int64(15 * time.Second)

// Answered is a request that an endpoint without an agent has answered.
type Answered struct {
	// Kind names requests that take alike.
	Kind string
	// Took is the time to the end of the answer.
	Took time.Duration
	// Report is what the endpoint said of its load.
	Report endpoint.SelfReport
	// Failed is set for an answer that says nothing of the endpoint's speed.
	Failed bool
}

// serviceAnswers is what the answers of a service's endpoints without agents taught.
type serviceAnswers struct {
	mu    sync.Mutex
	kinds capacity.Kinds
}

func answersOf(previous *Snapshot, service string) *serviceAnswers {
	if previous != nil {
		if a := previous.answers[service]; a != nil {
			return a
		}
	}
	return &serviceAnswers{}
}

// workTimes are the expected times of the service's mean work at one endpoint by the number of
// requests that run there, the work itself included, in seconds.
type workTimes struct {
	// declared is the number of requests that the endpoint runs at once. Work beyond it waits.
	declared int
	byLevel  [capacity.MaxLevels]float32
}

// at is the expected time beside so many other requests.
func (w *workTimes) at(others float64) float64 {
	running := min(max(int(others)+1, 1), w.declared)
	seconds := float64(w.byLevel[(running-1)*min(w.declared, capacity.MaxLevels)/w.declared])
	if waiting := others + 1 - float64(w.declared); waiting > 0 {
		seconds += seconds * waiting / float64(w.declared)
	}
	return seconds
}

// ObserveAnswer learns from an answer of an endpoint without an agent, which no agent reports on.
// It returns the number of requests that the endpoint takes well, and whether that has changed.
func (c *Candidate) ObserveAnswer(a Answered, now time.Time) (limit int, changed bool) {
	slots := a.Report.Slots
	if declared := c.Endpoint.Slots; declared > 0 {
		slots = min(slots, declared)
	}
	s := c.state.answers
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state.capacity == nil {
		c.state.capacity = capacity.NewEndpoint(slots)
	}
	e := c.state.capacity
	before := e.Limit()
	e.Declare(slots)
	if a.Report.Slowdown > 0 {
		e.Slowdown.Observe(a.Report.Slowdown, now)
	}
	if !a.Failed {
		e.Observe(capacity.Answer{Kind: a.Kind, Took: a.Took, Running: a.Report.Running, Waiting: a.Report.Waiting}, &s.kinds, now)
	}
	c.observe(endpoint.Load{
		Limit: e.Limit(), Running: a.Report.Running, Queued: a.Report.Waiting, Floor: admission.NoFloor,
		Slowdown: capacity.Percent(e.Slowdown.Relative(now)),
	}, s.workTimes(e, now), now)
	return e.Limit(), e.Limit() != before
}

// ObserveOverdue learns from a call that had no answer when its deadline passed. It counts only if the
// endpoint answered another call meanwhile: otherwise the link may be cut, or this process was frozen.
func (c *Candidate) ObserveOverdue(kind string, took time.Duration, now time.Time) {
	s := c.state.answers
	s.mu.Lock()
	defer s.mu.Unlock()
	load, made, ok := c.Load()
	if e := c.state.capacity; e != nil && ok && made.After(now.Add(-took)) {
		e.ObserveOverdue(capacity.Answer{Kind: kind, Took: took, Running: load.Running, Waiting: load.Queued}, &s.kinds, now)
		load.Limit, load.Age = e.Limit(), now.Sub(made)
		c.observe(load, s.workTimes(e, now), now)
	}
}

// Learned is what a gateway has learned of an endpoint without an agent.
type Learned struct {
	Endpoint endpoint.ID
	Service  string
	// Limit is the number of requests that the endpoint takes well, of Slots that it says it runs.
	Limit, Slots int
	// Slowness is the time of work beside no other, as a multiple of that at the fastest endpoint
	// of the service; 0 if it isn't known.
	Slowness float64
}

// Learned returns what this gateway has learned from the answers of endpoints without agents.
func (s *Snapshot) Learned(now time.Time) []Learned {
	var out []Learned
	for name, svc := range s.services {
		out = append(out, svc.learned(name, s.answers[name], now)...)
	}
	return out
}

func (svc *service) learned(name string, a *serviceAnswers, now time.Time) []Learned {
	var out []Learned
	least := math.Inf(1)
	a.mu.Lock()
	for _, c := range svc.candidates {
		e := c.state.capacity
		if e == nil {
			continue
		}
		l := Learned{Endpoint: c.Endpoint.ID, Service: name, Limit: e.Limit(), Slots: e.Declared()}
		if ratio, known := e.RelativeTime(1, now); known {
			l.Slowness = ratio
			least = min(least, ratio)
		}
		out = append(out, l)
	}
	a.mu.Unlock()
	for i := range out {
		out[i].Slowness /= least
	}
	return out
}

// workTimes must be called with mu held.
func (s *serviceAnswers) workTimes(e *capacity.Endpoint, now time.Time) *workTimes {
	w := &workTimes{declared: e.Declared()}
	usual := s.kinds.MeanTime().Seconds() * e.Slowdown.Mean()
	levels := min(w.declared, capacity.MaxLevels)
	for i := range levels {
		running := (i*w.declared+levels-1)/levels + 1
		if ratio, known := e.RelativeTime(running, now); known {
			w.byLevel[i] = float32(usual * ratio)
		}
	}
	return w
}

// setWork sets the times of work. What the endpoint stated counts all requests there, so that
// there is no need for spare ones beyond its limit.
func (r *report) setWork(w *workTimes) {
	if w == nil {
		return
	}
	r.work = w
	r.flags |= flagWork
	r.capacity = r.limit
}

// excessOf returns the share by which a slowdown exceeds its mean, 0 if it is as usual.
func excessOf(slowdown uint16) float64 {
	if slowdown == 0 {
		return 0
	}
	excess := float64(slowdown)/usualSlowdown - 1
	if math.Abs(excess) < minExcess {
		return 0
	}
	return min(excess, maxExcess)
}

// excessAt returns the share by which the endpoint's machine is expected to be slower at a time.
func (r *report) excessAt(nanos int64) float64 {
	excess := r.excess * approxExpNeg(float64(nanos-r.madeNanos)*(1/slowdownFadeNanos))
	if math.Abs(excess) < minExcess {
		return 0
	}
	return excess
}

// slowdownTime is the time by which work of so many seconds takes longer on a machine that is slower
// by a share which fades. Long work outlasts a neighbour's short disturbance.
func slowdownTime(excess, seconds float64) float64 {
	const fade = slowdownFadeNanos / 1e9
	return excess * fade * (1 - approxExpNeg(seconds/fade))
}

// workTime is the expected time of the service's mean work at a candidate, in seconds. One whose
// time isn't known counts as the fastest, so that work finds it out.
func (x *scratch) workTime(i uint8) float64 {
	if seconds := x.knownWorkTime(i); seconds > 0 {
		return seconds
	}
	return x.leastWork
}

// knownWorkTime is the same, 0 if the time isn't known or is outdated.
func (x *scratch) knownWorkTime(i uint8) float64 {
	r := x.reports[i]
	if r.work == nil || x.nanos-r.madeNanos >= workLifetimeNanos {
		return 0
	}
	return r.work.at(x.requests[i])
}

func (x *scratch) findLeastWork() {
	x.leastWork = 0
	for _, i := range x.live {
		if seconds := x.knownWorkTime(i); seconds > 0 && (x.leastWork == 0 || seconds < x.leastWork) {
			x.leastWork = seconds
		}
	}
}
