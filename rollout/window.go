package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// minOldAnswers is the number of old answers that a window needs for a comparison of
	// concurrent answers; with fewer, the new ones are compared with the reference.
	minOldAnswers = 8
	// A window holds about newPerWindow new answers, within bounds. It closes on its
	// total count or age, never depending on the new version's answers: that would bias
	// the test.
	newPerWindow      = 2.0
	oldPerWindow      = 16.0
	minWindowSize     = 24
	maxWindowSize     = 128
	maxWindowAge      = 45 * time.Second
	minWindowAge      = 2 * time.Second
	minAgedWindowSize = 12
	// windowAgeFraction is the fraction of a stage's planned time that a window may last.
	windowAgeFraction = 0.25
	// allDomains is the key of the window over all domains, for new answers in domains
	// with too few old ones.
	allDomains = -1
	// pastOnlyShare is the share from which concurrent old answers are too rare, so that
	// new answers are compared with the past only.
	pastOnlyShare = 0.97
	// minPastAnswers is the number of past answers that a comparison of latencies needs.
	minPastAnswers = 16

	// latencyMargin is the logarithm of the slowdown tolerated in a new version: endpoints
	// of one kind differ by tens of percent, and a few of them do not average out.
	// referenceMargin applies where the comparison is with the past.
	latencyMargin   = 0.22
	referenceMargin = 0.35
	// errorMargin and referenceErrorMargin are the same for the share of failed answers.
	errorMargin          = 0.005
	referenceErrorMargin = 0.02
	// unknownErrorRate is the tolerated share of failed answers while the old version was
	// hardly or never observed, as after a change of leader during the watch.
	unknownErrorRate = 0.10
	// referenceSize is the number of old answers kept for comparison with the past.
	referenceSize = 512
	// referenceErrorWeight is the weight of the past share of failed answers, in answers.
	referenceErrorWeight = 64
)

// answer holds the values of an observation that are compared.
type answer struct {
	isNew            bool
	endpoint, domain int
	failed           bool
	// toleratedErrors is the old version's share of failed answers at this load.
	toleratedErrors float64
	// residuals holds the residuals of the latencies in the order of timeMeasures; NaN
	// where there is none to compare.
	residuals [2]float64
	// seconds holds the latencies in the same order.
	seconds [2]float64
	// loadUnseen is set where the load is above loadTarget and the old version was not
	// observed at such a load; failures are then not compared.
	loadUnseen bool
}

// latencyMeasures are the measures of answer.residuals and answer.seconds.
var latencyMeasures = [2]Measure{MeasureFirstToken, MeasureBetweenTokens}

// window holds the answers of one route and domain over a short time. Requests are assigned
// to versions at random, so every order of its answers is equally likely if the versions are
// alike, whatever bursts or faults happened meanwhile.
type window struct {
	answers []answer
	since   time.Time
}

// windowSize returns the number of answers at which windows close: enough for about
// newPerWindow new answers and oldPerWindow old ones.
func windowSize(share float64) int {
	if share >= pastOnlyShare {
		return 1
	}
	size := max(newPerWindow/max(share, 1e-6), oldPerWindow/(1-share))
	return int(min(maxWindowSize, max(minWindowSize, size)))
}

func (w *window) olderThan(now time.Time, age time.Duration) bool {
	return len(w.answers) > 0 && now.Sub(w.since) >= age
}

// addAnswer adds an answer to the window of its domain, and an old one also to the window
// over all domains. It returns both windows; rest is nil for a new answer.
func (rc *routeComparison) addAnswer(a *answer, now time.Time) (own, rest *window) {
	if a.isNew {
		return rc.addToWindow(a.domain, a, now), nil
	}
	rc.keepForReference(a)
	return rc.addToWindow(a.domain, a, now), rc.addToWindow(allDomains, a, now)
}

func (rc *routeComparison) addToWindow(domain int, a *answer, now time.Time) *window {
	w := rc.windows[domain]
	if w == nil {
		w = &window{}
		rc.windows[domain] = w
	}
	if len(w.answers) == 0 {
		w.since = now
	}
	w.answers = append(w.answers, *a)
	return w
}

// moveToAllDomains moves the new answers of a domain's window, which has too few old ones, to
// the window over all domains and empties the domain's window.
func (rc *routeComparison) moveToAllDomains(w *window, now time.Time) {
	for i := range w.answers {
		if w.answers[i].isNew {
			rc.addToWindow(allDomains, &w.answers[i], now)
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

// routeComparison compares the versions on one route or on all routes. It holds the
// components, the windows by failure domain and the past answers of the old version.
type routeComparison struct {
	errors      *component
	latencies   [2]*component
	windows     map[int]*window
	reference   [2]reference
	oldFailures recentValues
	judged      int
	observed    int
}

func newRouteComparison(route string, weight float64) *routeComparison {
	rc := &routeComparison{windows: make(map[int]*window)}
	each := weight / 3
	rc.errors = newComponent(route, MeasureErrors, each)
	for i, m := range latencyMeasures {
		rc.latencies[i] = newComponent(route, m, each)
	}
	return rc
}

func (rc *routeComparison) components() [3]*component {
	return [3]*component{rc.errors, rc.latencies[0], rc.latencies[1]}
}

// keepForReference stores an old answer for comparisons with the past.
func (rc *routeComparison) keepForReference(a *answer) {
	rc.oldFailures.add(indicator(a.failed))
	for i := range a.residuals {
		if !math.IsNaN(a.residuals[i]) {
			rc.reference[i].add(a.residuals[i])
		}
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// compareWindow updates the components with the answers of a window, which must be shuffled.
func (rc *routeComparison) compareWindow(answers []answer) {
	rc.compareErrors(answers)
	for i := range rc.latencies {
		rc.compareLatencies(answers, i)
	}
}

func (rc *routeComparison) compareErrors(answers []answer) {
	good, bad := 0.0, 0.0
	for i := range answers {
		if !answers[i].isNew {
			good += 1 - indicator(answers[i].failed)
			bad += indicator(answers[i].failed)
		}
	}
	for i := range answers {
		a := &answers[i]
		if !a.isNew {
			rc.errors.old.add(indicator(a.failed))
			continue
		}
		rc.errors.new.add(indicator(a.failed))
		rc.judged++
		if a.loadUnseen {
			continue
		}
		extra := (good + bad) * math.Max(errorMargin, a.toleratedErrors)
		rc.errors.multiply(failureFactors(a.failed, good, bad+extra), a.endpoint, a.domain)
		good += 1 - indicator(a.failed)
		bad += indicator(a.failed)
	}
}

// failureFactors returns the factors of one answer among good successes and bad failures,
// where every success ranks below every failure.
func failureFactors(failed bool, good, bad float64) factors {
	n := good + bad + 1
	if failed {
		return rankFactors(good, bad+1, n)
	}
	return rankFactors(0, good+1, n)
}

func (rc *routeComparison) compareLatencies(answers []answer, measure int) {
	pool := make([]float64, 0, len(answers))
	for i := range answers {
		if v := answers[i].residuals[measure]; !answers[i].isNew && !math.IsNaN(v) {
			pool = append(pool, v)
			rc.latencies[measure].old.add(answers[i].seconds[measure])
		}
	}
	if len(pool) < minOldAnswers {
		return
	}
	slices.Sort(pool)
	for i := range answers {
		a := &answers[i]
		if !a.isNew || math.IsNaN(a.residuals[measure]) {
			continue
		}
		rc.latencies[measure].new.add(a.seconds[measure])
		v := a.residuals[measure] - latencyMargin
		at, _ := slices.BinarySearch(pool, v)
		rc.latencies[measure].multiply(rankFactors(float64(at), 1, float64(len(pool)+1)), a.endpoint, a.domain)
		pool = slices.Insert(pool, at, v)
	}
}

// compareWithPast compares new answers with past old ones, where there are too few concurrent
// ones. Its margins are wider, as it is worse at telling a change of the whole deployment
// from a bad version.
func (rc *routeComparison) compareWithPast(answers []answer) {
	rate, known := rc.oldFailures.mean()
	for i := range answers {
		a := &answers[i]
		if !a.isNew {
			continue
		}
		rc.errors.new.add(indicator(a.failed))
		rc.judged++
		if a.loadUnseen {
			continue
		}
		tolerated := unknownErrorRate
		if known >= minOldAnswers {
			tolerated = math.Max(rate, a.toleratedErrors) + referenceErrorMargin
		}
		rc.errors.multiply(failureFactors(a.failed, referenceErrorWeight*(1-tolerated), referenceErrorWeight*tolerated), a.endpoint, a.domain)
		for m := range rc.latencies {
			rc.compareLatencyWithPast(a, m)
		}
	}
}

func (rc *routeComparison) compareLatencyWithPast(a *answer, measure int) {
	v := a.residuals[measure]
	if math.IsNaN(v) {
		return
	}
	rc.latencies[measure].new.add(a.seconds[measure])
	past := rc.reference[measure].sortedValues()
	if len(past) < minPastAnswers {
		return
	}
	at, _ := slices.BinarySearch(past, v-referenceMargin)
	rc.latencies[measure].multiply(rankFactors(float64(at), 1, float64(len(past)+1)), a.endpoint, a.domain)
}

// reference is a ring buffer of residuals of the old version, sorted on demand.
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

func (r *reference) sortedValues() []float64 {
	if len(r.sorted) == 0 {
		r.sorted = append(r.sorted, r.values...)
		slices.Sort(r.sorted)
	}
	return r.sorted
}
