package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// windowOld is the least number of old answers in a window for a comparison at the
	// same time; with fewer the new answers are compared with the reference.
	windowOld = 8
	// A window holds about newPerWindow new answers, within bounds. It closes on its
	// total count or age, never on what the new version answered.
	newPerWindow = 2.0
	oldPerWindow = 16.0
	minWindow    = 24
	maxWindow    = 128
	maxWindowAge = 45 * time.Second
	minWindowAge = 2 * time.Second
	minAgedSize  = 12
	// agePart is the part of a stage's planned time that a window may last.
	agePart = 0.25
	// anyDomain is the window of new answers in domains without old ones.
	anyDomain = -1
	// fullEnough is the share from which old answers at the same time are too rare.
	fullEnough = 0.97
	// leastPast is the number of past answers that a comparison of times needs.
	leastPast = 16

	// latencyMargin is the logarithm of the slowdown that is not held against a new
	// version: endpoints of one kind differ by tens of percent, and a few of them do not
	// average out. referenceMargin is the one where the comparison is with the past.
	latencyMargin   = 0.22
	referenceMargin = 0.35
	// errorMargin and referenceErrors are the same for the share of failed answers.
	errorMargin     = 0.005
	referenceErrors = 0.02
	// unknownErrors is the tolerated share where the old version was never observed, as
	// after a change of leader during the watch.
	unknownErrors = 0.10
	// referenceSize is the number of old answers kept for comparison with the past.
	referenceSize = 512
	// referenceN is the weight of the reference for errors, in answers.
	referenceN = 64
)

// answer is an observation reduced to what is compared.
type answer struct {
	isNew            bool
	endpoint, domain int
	failed           bool
	// tolerated is the old version's share of failed answers at this load.
	tolerated float64
	// times holds residuals of the two latencies; NaN where there is none to compare.
	times [2]float64
	// raw holds the latencies in seconds.
	raw [2]float64
	// beyond is set where the old version was not seen at such a load.
	beyond bool
}

// timeMeasures are the measures of answer.times.
var timeMeasures = [2]Measure{MeasureFirstToken, MeasureBetweenTokens}

// window gathers the answers of one route and domain over a short time. As requests are
// assigned to versions at random, every order of its answers is equally likely if the
// versions are alike, whatever bursts or faults the window saw.
type window struct {
	answers []answer
	since   time.Time
}

// windowSize returns the count at which windows close: enough for about newPerWindow new
// answers and oldPerWindow old ones.
func windowSize(share float64) int {
	if share >= fullEnough {
		return 1
	}
	size := max(newPerWindow/max(share, 1e-6), oldPerWindow/(1-share))
	return int(min(maxWindow, max(minWindow, size)))
}

func (w *window) aged(now time.Time, age time.Duration) bool {
	return len(w.answers) > 0 && now.Sub(w.since) >= age
}

// put adds an answer and returns the windows it went into. Every old answer also joins
// the window over all domains.
func (l *line) put(a *answer, now time.Time) (own, rest *window) {
	if a.isNew {
		return l.into(a.domain, a, now), nil
	}
	l.remember(a)
	return l.into(a.domain, a, now), l.into(anyDomain, a, now)
}

func (l *line) into(domain int, a *answer, now time.Time) *window {
	w := l.windows[domain]
	if w == nil {
		w = &window{}
		l.windows[domain] = w
	}
	if len(w.answers) == 0 {
		w.since = now
	}
	w.answers = append(w.answers, *a)
	return w
}

// hand gives the new answers of a domain without enough old ones to the window over all
// domains and empties the domain's window.
func (l *line) hand(w *window, now time.Time) {
	for i := range w.answers {
		if w.answers[i].isNew {
			l.into(anyDomain, &w.answers[i], now)
		}
	}
	w.answers = w.answers[:0]
}

func (w *window) countOld() int {
	n := 0
	for i := range w.answers {
		if !w.answers[i].isNew {
			n++
		}
	}
	return n
}

// line is the comparison of one route, or of all routes: its components, its windows by
// failure domain and its reference of past old answers.
type line struct {
	errors    *component
	times     [2]*component
	windows   map[int]*window
	reference [2]reference
	oldRate   recent
	judged    int
	observed  int
}

func newLine(route string, weight float64) *line {
	l := &line{windows: make(map[int]*window)}
	each := weight / 3
	l.errors = newComponent(route, MeasureErrors, each)
	for i, m := range timeMeasures {
		l.times[i] = newComponent(route, m, each)
	}
	return l
}

func (l *line) components() [3]*component { return [3]*component{l.errors, l.times[0], l.times[1]} }

// remember keeps an old answer for comparisons with the past.
func (l *line) remember(a *answer) {
	l.oldRate.add(flag(a.failed))
	for i := range a.times {
		if !math.IsNaN(a.times[i]) {
			l.reference[i].add(a.times[i])
		}
	}
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// compare judges the answers of a window that was shuffled.
func (l *line) compare(answers []answer) {
	l.compareErrors(answers)
	for i := range l.times {
		l.compareTimes(answers, i)
	}
}

func (l *line) compareErrors(answers []answer) {
	good, bad := 0.0, 0.0
	for i := range answers {
		if !answers[i].isNew {
			good += 1 - flag(answers[i].failed)
			bad += flag(answers[i].failed)
		}
	}
	for i := range answers {
		a := &answers[i]
		if !a.isNew {
			l.errors.old.add(flag(a.failed))
			continue
		}
		l.errors.new.add(flag(a.failed))
		l.judged++
		if a.beyond {
			continue
		}
		extra := (good + bad) * math.Max(errorMargin, a.tolerated)
		l.errors.multiply(failureFactors(a.failed, good, bad+extra), a.endpoint, a.domain)
		good += 1 - flag(a.failed)
		bad += flag(a.failed)
	}
}

// failureFactors ranks a success below every failure, given the peers' counts.
func failureFactors(failed bool, good, bad float64) factors {
	n := good + bad + 1
	if failed {
		return rankFactors(good, bad+1, n)
	}
	return rankFactors(0, good+1, n)
}

func (l *line) compareTimes(answers []answer, measure int) {
	pool := make([]float64, 0, len(answers))
	for i := range answers {
		if v := answers[i].times[measure]; !answers[i].isNew && !math.IsNaN(v) {
			pool = append(pool, v)
			l.times[measure].old.add(answers[i].raw[measure])
		}
	}
	if len(pool) < windowOld {
		return
	}
	slices.Sort(pool)
	for i := range answers {
		a := &answers[i]
		if !a.isNew || math.IsNaN(a.times[measure]) {
			continue
		}
		l.times[measure].new.add(a.raw[measure])
		v := a.times[measure] - latencyMargin
		at, _ := slices.BinarySearch(pool, v)
		l.times[measure].multiply(rankFactors(float64(at), 1, float64(len(pool)+1)), a.endpoint, a.domain)
		pool = slices.Insert(pool, at, v)
	}
}

// compareWithPast judges new answers for which there are too few old ones at the same
// time. Its margins are wider, as it cannot tell a change of the whole deployment from a
// bad version so well.
func (l *line) compareWithPast(answers []answer) {
	rate, known := l.oldRate.mean()
	for i := range answers {
		a := &answers[i]
		if !a.isNew {
			continue
		}
		l.errors.new.add(flag(a.failed))
		l.judged++
		if a.beyond {
			continue
		}
		tolerated := unknownErrors
		if known >= windowOld {
			tolerated = math.Max(rate, a.tolerated) + referenceErrors
		}
		l.errors.multiply(failureFactors(a.failed, referenceN*(1-tolerated), referenceN*tolerated), a.endpoint, a.domain)
		for m := range l.times {
			l.timeWithPast(a, m)
		}
	}
}

func (l *line) timeWithPast(a *answer, measure int) {
	v := a.times[measure]
	if math.IsNaN(v) {
		return
	}
	l.times[measure].new.add(a.raw[measure])
	past := l.reference[measure].ordered()
	if len(past) < leastPast {
		return
	}
	at, _ := slices.BinarySearch(past, v-referenceMargin)
	l.times[measure].multiply(rankFactors(float64(at), 1, float64(len(past)+1)), a.endpoint, a.domain)
}

// reference keeps past old residuals, sorted on demand.
type reference struct {
	values []float64
	next   int
	sorted []float64
}

func (r *reference) add(v float64) {
	r.sorted = r.sorted[:0]
	if len(r.values) < referenceSize {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % referenceSize
}

func (r *reference) ordered() []float64 {
	if len(r.sorted) == 0 {
		r.sorted = append(r.sorted, r.values...)
		slices.Sort(r.sorted)
	}
	return r.sorted
}
