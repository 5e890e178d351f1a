package capacity

import (
	"math"
	"time"
)

const (
	// MaxLevels is the number of levels of concurrency that are told apart. Where an endpoint
	// runs more at once, several numbers of requests share a level.
	MaxLevels = 32
	// levelMemory is the time in which evidence at a level loses two thirds of its weight.
	levelMemory = 30 * time.Second
	// minRatio and maxRatio bound what one answer says of its endpoint.
	minRatio = 0.1
	maxRatio = 10.0
	// windowAnswers is the number of answers whose means are one piece of evidence, and maxWindow
	// the longest time between the first and the last of them.
	windowAnswers = 4
	maxWindow     = 4 * time.Second
	// minTimeWeight is the evidence from which the time at a level is known.
	minTimeWeight = 0.5
	// minKneeWeight is the same for a decision on the limit.
	minKneeWeight = 3.0
	// minGain is the least rise of throughput, as a share of the rise of requests, for which more
	// requests are worth the longer time of all.
	minGain = 0.25
	// confidence is the number of standard errors by which the limit's evidence must stand where the
	// endpoint states its slowdown, and unstatedConfidence elsewhere: an unknown disturbance lasts
	// for many windows.
	confidence         = 1.0
	unstatedConfidence = 2.0
	// slowRatio is the multiple of the least time at which work at the limit is so slow that fewer
	// requests are tried.
	slowRatio = 1.5
	// leastRise is the share by which the least time rises with each window of answers, so that an
	// old one is replaced after some thousand windows.
	leastRise = 1e-4
	// minTrialPause and maxTrialPause bound the pause between two trials of fewer requests. It
	// doubles as long as they find that more requests give more throughput.
	minTrialPause = 15 * time.Second
	maxTrialPause = 4 * time.Minute
	// minSpread is the least standard deviation of windows, as a share of their mean, that is
	// assumed. The spread of a few windows alone may be small by chance.
	minSpread = 0.2
	// raiseInterval is the least time between a change of the limit and its next rise.
	raiseInterval = 3 * time.Second
)

// Answer is a complete answer of an endpoint.
type Answer struct {
	// Kind names work that takes alike, such as the requests of one route.
	Kind string
	Took time.Duration
	// Running is the number of requests at the endpoint beside which it ran, itself included, and
	// Waiting that of those which waited there for a slot.
	Running, Waiting int
}

// seconds is the time for which the work held a slot. By Little's law a request waits in
// proportion to those that wait.
func (a *Answer) seconds() float64 {
	running := float64(max(a.Running, 1))
	return a.Took.Seconds() * running / (running + float64(max(a.Waiting, 0)))
}

// Endpoint learns the time of work at one endpoint by the number of requests that run there, and
// from it the number up to which more requests give more throughput: the knee.
type Endpoint struct {
	// Slowdown is what the endpoint says of its machine.
	Slowdown Slowdown

	declared int
	limit    int
	// changedAt is when the limit last changed, loweredAt when it was last lowered without evidence
	// of the throughput at the lower one.
	changedAt, loweredAt time.Time
	// trialPause is the least time until the limit is lowered so again.
	trialPause time.Duration
	// least is the least mean ratio seen at any level, which rises slowly.
	least  float64
	window window
	levels [MaxLevels + 1]level
}

// window collects answers that ended shortly after each other. The requests that run at the end of
// an answer are not those that ran beside it, but over several answers the means agree.
type window struct {
	answers, running int
	ratios           float64
	began            time.Time
}

func (w *window) add(ratio float64, running int, now time.Time) {
	if w.answers == 0 || now.Sub(w.began) > maxWindow {
		*w = window{began: now}
	}
	w.answers++
	w.running += max(running, 1)
	w.ratios += ratio
}

// take returns the means of a complete window and begins the next one.
func (w *window) take() (ratio float64, running int, ok bool) {
	if w.answers < windowAnswers {
		return 0, 0, false
	}
	n := float64(w.answers)
	ratio, running = w.ratios/n, int(math.Round(float64(w.running)/n))
	*w = window{}
	return ratio, running, true
}

// level is the evidence at one level of concurrency: decaying sums over the ratios of the times
// of answers to the usual times of their kinds.
type level struct {
	weight, sum, squares float64
	at                   time.Time
}

// NewEndpoint returns an endpoint that declares the number of requests it runs at once. The
// declared number is the limit until there is evidence of a lower one; it is never exceeded.
func NewEndpoint(declared int) *Endpoint {
	declared = max(declared, 1)
	return &Endpoint{declared: declared, limit: declared}
}

// Limit is the number of requests that the endpoint takes well, from 1 to the declared number.
func (e *Endpoint) Limit() int { return e.limit }

// Declared is the number of requests that the endpoint says it runs at once.
func (e *Endpoint) Declared() int { return e.declared }

// Declare changes the declared number.
func (e *Endpoint) Declare(slots int) {
	if slots < 1 || slots == e.declared {
		return
	}
	next := NewEndpoint(slots)
	next.Slowdown = e.Slowdown
	*e = *next
}

// Observe learns from a complete answer. The time of a call that was cut off or failed says
// nothing of the endpoint's speed and must not be observed.
func (e *Endpoint) Observe(a Answer, kinds *Kinds, now time.Time) {
	seconds := a.seconds()
	if seconds <= 0 {
		return
	}
	seconds /= e.Slowdown.During(a.Took)
	if usual := kinds.Time(a.Kind).Seconds(); usual > 0 {
		e.window.add(boundRatio(seconds/usual), a.Running, now)
		if ratio, running, ok := e.window.take(); ok {
			l := &e.levels[e.levelOf(running)]
			l.add(ratio, now)
			e.recordLeast(l)
			e.follow(now)
		}
	}
	// A kind is as long as its work would be at an average endpoint and load, however many of its
	// requests ran elsewhere.
	ratio, _ := e.RelativeTime(a.Running, now)
	kinds.learn(a.Kind, seconds/ratio)
}

// ObserveOverdue learns from a call that was given up after a time. It is evidence only where
// an answer would have been due: its true time is longer.
func (e *Endpoint) ObserveOverdue(a Answer, kinds *Kinds, now time.Time) {
	usual := kinds.Time(a.Kind).Seconds()
	if usual == 0 {
		return
	}
	ratio := boundRatio(a.seconds() / e.Slowdown.During(a.Took) / usual)
	if known, ok := e.RelativeTime(a.Running, now); ok && ratio > known {
		e.levels[e.levelOf(a.Running)].add(ratio, now)
		e.follow(now)
	}
}

func boundRatio(ratio float64) float64 { return min(max(ratio, minRatio), maxRatio) }

// RelativeTime is the expected time of work beside which so many requests run, itself included,
// on the undisturbed machine, as a multiple of its kind's usual time. It is that of the next
// level below with evidence, otherwise of the next above.
func (e *Endpoint) RelativeTime(running int, now time.Time) (ratio float64, known bool) {
	at := e.levelOf(running)
	for i := at; i >= 1; i-- {
		if l := e.levels[i].decayed(now); l.weight >= minTimeWeight {
			return l.mean(), true
		}
	}
	for i := at + 1; i <= MaxLevels; i++ {
		if l := e.levels[i].decayed(now); l.weight >= minTimeWeight {
			return l.mean(), true
		}
	}
	return 1, false
}

// levelOf is the level of a number of running requests.
func (e *Endpoint) levelOf(running int) int {
	running = min(max(running, 1), e.declared)
	return (running + e.step() - 1) / e.step()
}

// step is the number of requests that share a level.
func (e *Endpoint) step() int { return (e.declared + MaxLevels - 1) / MaxLevels }

// follow moves the limit by the evidence up to now.
func (e *Endpoint) follow(now time.Time) {
	knee, above := e.knee(now)
	switch {
	case e.slowsDown(now):
		e.lower(now)
	case above && knee < e.limit:
		e.limit, e.changedAt, e.trialPause = knee, now, 0
	case now.Sub(e.changedAt) < raiseInterval || e.limit == e.declared:
	case knee > e.limit:
		e.limit, e.changedAt = knee, now
	case !e.knownAbove(now):
		// Where nothing is known of more requests any longer, one more is tried. Its callers wait
		// a little longer at worst, and each further step needs evidence of its own.
		e.limit, e.changedAt = e.limit+1, now
	}
}

// slowsDown reports whether work at the limit takes far longer than the least that was seen, and
// nothing is known of the throughput between the number of requests that the least time would bear
// and the limit.
func (e *Endpoint) slowsDown(now time.Time) bool {
	at := e.levelOf(e.limit)
	present := e.levels[at].decayed(now)
	if at == 1 || present.weight < minKneeWeight || now.Sub(e.loweredAt) < e.trialPause {
		return false
	}
	target := e.levelOf(e.bearable(&present))
	for i := target; i <= max(target, at*2/3); i++ {
		if l := e.levels[i].decayed(now); l.weight >= minKneeWeight {
			return false
		}
	}
	return present.lower(e.confidence()) > slowRatio*e.least
}

func (e *Endpoint) confidence() float64 {
	if e.Slowdown.Known() {
		return confidence
	}
	return unstatedConfidence
}

// bearable is the number of requests below the limit that the least time seen would bear.
func (e *Endpoint) bearable(present *level) int {
	requests := int(math.Ceil(float64(e.limit) * e.least / present.mean()))
	return max(1, min(e.limit-1, requests))
}

// lower lowers the limit, so that the throughput with fewer requests becomes known.
func (e *Endpoint) lower(now time.Time) {
	present := e.levels[e.levelOf(e.limit)].decayed(now)
	e.limit = e.bearable(&present)
	e.loweredAt, e.changedAt = now, now
	e.trialPause = min(max(2*e.trialPause, minTrialPause), maxTrialPause)
}

// recordLeast takes the mean at a level as the least one if it is lower.
func (e *Endpoint) recordLeast(l *level) {
	if l.weight < minKneeWeight {
		return
	}
	if mean := l.mean(); e.least == 0 || mean < e.least {
		e.least = mean
		return
	}
	e.least *= 1 + leastRise
}

// knee is the lowest number of requests beyond which no level with evidence gives clearly more
// throughput, 0 if there is no evidence. By Little's law the throughput at a level is the number of
// requests over their time. above is false if there is no evidence beyond the knee, so that the
// throughput may still rise.
func (e *Endpoint) knee(now time.Time) (requests int, above bool) {
	var known [MaxLevels]int
	var levels [MaxLevels + 1]level
	n := 0
	for i := 1; i <= MaxLevels; i++ {
		levels[i] = e.levels[i].decayed(now)
		if levels[i].weight >= minKneeWeight {
			known[n] = i
			n++
		}
	}
	for at, low := range known[:n] {
		if !gains(&levels, low, known[at+1:n], e.confidence()) {
			return min(low*e.step(), e.declared), at < n-1
		}
	}
	return 0, false
}

// knownAbove reports whether there is evidence, even if faded, at a level above the limit.
func (e *Endpoint) knownAbove(now time.Time) bool {
	for i := e.levelOf(e.limit) + 1; i <= MaxLevels; i++ {
		if l := e.levels[i].decayed(now); l.weight >= minTimeWeight {
			return true
		}
	}
	return false
}

// gains reports whether one of the higher levels may give clearly more throughput than the low one.
// The doubt is the higher levels': less work at once than an endpoint takes costs throughput.
func gains(levels *[MaxLevels + 1]level, low int, higher []int, confidence float64) bool {
	least := float64(low) / levels[low].upper(confidence)
	for _, i := range higher {
		more := float64(i-low) / float64(low)
		if float64(i)/levels[i].lower(confidence) > (1+minGain*more)*least {
			return true
		}
	}
	return false
}

func (l *level) add(ratio float64, now time.Time) {
	*l = l.decayed(now)
	l.weight++
	l.sum += ratio
	l.squares += ratio * ratio
	l.at = now
}

func (l *level) decayed(now time.Time) level {
	if l.weight == 0 {
		return level{at: now}
	}
	keep := math.Exp(-max(0, now.Sub(l.at).Seconds()) / levelMemory.Seconds())
	return level{weight: l.weight * keep, sum: l.sum * keep, squares: l.squares * keep, at: now}
}

func (l *level) mean() float64 { return l.sum / l.weight }

// deviation is the standard error of the mean.
func (l *level) deviation() float64 {
	mean := l.mean()
	spread := max(minSpread*mean, math.Sqrt(max(0, l.squares/l.weight-mean*mean)))
	return spread / math.Sqrt(l.weight)
}

// lower and upper bound the true mean by so many standard errors; the lower one is above 0.
func (l *level) lower(errors float64) float64 {
	return max(l.mean()-errors*l.deviation(), l.mean()/4)
}

func (l *level) upper(errors float64) float64 { return l.mean() + errors*l.deviation() }
