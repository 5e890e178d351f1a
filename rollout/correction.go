package rollout

import "math"

const (
	loadBins = 24
	// binsPerLoad sets the width of a bin to a tenth of an endpoint's limit.
	binsPerLoad = 10
	// minBinAnswers is the number of old answers from which a bin's mean is used.
	minBinAnswers = 12
	// warmUpAnswers is the number of first answers that train only the effect of size: the
	// error of an untrained regression would go into the first load bins and their slope.
	warmUpAnswers = 24
	// slopeBins is the number of bins, from the lowest one with answers, whose slope is
	// extrapolated to lower loads.
	slopeBins = 4
	// minSlopeAnswers is the number of old answers from which a bin counts for the slope, and
	// minLoadVariance the least variance of the squared load that a slope is fitted to.
	minSlopeAnswers = 50
	minLoadVariance = 1e-3
	// maxExtrapolation bounds how far the expected logarithm of a latency falls below the
	// lowest bin with answers. As it is below latencyMargin, a wrong slope alone cannot take a
	// good version back.
	maxExtrapolation = 0.2
	featureCount     = 3
)

// regression is a linear regression fitted by recursive least squares.
type regression struct {
	weights [featureCount]float64
	inverse [featureCount][featureCount]float64
	started bool
}

// initialVariance is so large that the initial weights have no influence after a few observations.
const initialVariance = 100

func (r *regression) predict(x [featureCount]float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += v * r.weights[i]
	}
	return sum
}

func (r *regression) learn(x [featureCount]float64, y float64) {
	if !r.started {
		for i := range featureCount {
			r.inverse[i][i] = initialVariance
		}
		r.started = true
	}
	var px [featureCount]float64
	denominator := 1.0
	for i := range featureCount {
		for j := range featureCount {
			px[i] += r.inverse[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	predictionError := y - r.predict(x)
	for i := range featureCount {
		r.weights[i] += px[i] / denominator * predictionError
		for j := range featureCount {
			r.inverse[i][j] -= px[i] * px[j] / denominator
		}
	}
}

// latencyModel predicts the logarithm of a latency of the old version from size, load and
// failure domain. It learns from the old version only, so a slow new version cannot raise the
// expected latency.
type latencyModel struct {
	n    int
	size regression
	load [loadBins]effect
	// domains holds the effect of each failure domain, as their hardware may differ.
	domains map[string]*effect
}

// effect is a running mean of what the other effects of a latencyModel do not explain.
type effect struct{ n, mean float64 }

// effectMemory bounds the weight of past answers in a running mean.
const effectMemory = 200

func (e *effect) learn(unexplained float64) {
	e.n++
	e.mean += (unexplained - e.mean) / math.Min(e.n, effectMemory)
}

func sizeFeatures(o *Observation) [featureCount]float64 {
	return [featureCount]float64{1, math.Log1p(float64(o.PromptTokens)), math.Log1p(float64(o.AnswerTokens))}
}

func loadBin(load float64) int {
	return min(loadBins-1, max(0, int(load*binsPerLoad)))
}

// learn trains the model with a latency of the old version, in seconds.
func (m *latencyModel) learn(o *Observation, seconds float64) {
	if m.domains == nil {
		m.domains = make(map[string]*effect)
	}
	domain := m.domains[o.Domain]
	if domain == nil {
		domain = &effect{}
		m.domains[o.Domain] = domain
	}
	x := sizeFeatures(o)
	y := math.Log(seconds)
	if m.n++; m.n <= warmUpAnswers {
		m.size.learn(x, y)
		return
	}
	load := &m.load[loadBin(o.Load)]
	size, byLoad, byDomain := m.size.predict(x), load.mean, domain.mean
	load.learn(y - size - byDomain)
	domain.learn(y - size - byLoad)
	m.size.learn(x, y-byLoad-byDomain)
}

// domainEffect returns the effect of a failure domain, and false where the old version has too
// few answers there: other domains are no substitute, as their hardware may differ.
func (m *latencyModel) domainEffect(name string) (float64, bool) {
	if d := m.domains[name]; d != nil && d.n >= minBinAnswers {
		return d.mean, true
	}
	return 0, false
}

// residual returns the logarithm of a latency divided by the one expected of the old version
// at the same size, load and failure domain. ok is false where the old version was not
// observed at such a load or in the domain.
func (m *latencyModel) residual(o *Observation, seconds float64) (value float64, ok bool) {
	load, seenLoad := m.loadEffect(o.Load)
	domain, seenDomain := m.domainEffect(o.Domain)
	return math.Log(seconds) - m.size.predict(sizeFeatures(o)) - load - domain, seenLoad && seenDomain
}

// loadEffect interpolates between the centres of bins, as a step at a bin's edge would bias
// the comparison of versions that run at different loads.
func (m *latencyModel) loadEffect(load float64) (float64, bool) {
	if lowest, ok := m.lowestSeenBin(); ok && load < binCentre(lowest) {
		return m.extrapolatedLoadEffect(load, lowest), true
	}
	at := load*binsPerLoad - 0.5
	i := min(loadBins-1, max(0, int(math.Floor(at))))
	j := min(loadBins-1, i+1)
	lo, hi := m.load[i], m.load[j]
	switch {
	case lo.n >= minBinAnswers && hi.n >= minBinAnswers:
		t := math.Min(1, math.Max(0, at-float64(i)))
		return lo.mean*(1-t) + hi.mean*t, true
	case m.load[loadBin(load)].n >= minBinAnswers:
		return m.load[loadBin(load)].mean, true
	default:
		return m.nearestLoadEffect(loadBin(load))
	}
}

// nearestLoadEffect returns the effect of the next bin of a higher load at any distance:
// latency does not fall with load, so this favours the new version. Otherwise it uses only the
// bin just below, as the latency at loads that the old version never had is unknown.
func (m *latencyModel) nearestLoadEffect(bin int) (float64, bool) {
	for i := bin + 1; i < loadBins; i++ {
		if m.load[i].n >= minBinAnswers {
			return m.load[i].mean, true
		}
	}
	if bin > 0 && m.load[bin-1].n >= minBinAnswers {
		return m.load[bin-1].mean, true
	}
	return 0, false
}

// lowestSeenBin returns the lowest bin with enough answers of the old version.
func (m *latencyModel) lowestSeenBin() (bin int, ok bool) {
	for i := range m.load {
		if m.load[i].n >= minBinAnswers {
			return i, true
		}
	}
	return 0, false
}

func binCentre(bin int) float64 { return (float64(bin) + 0.5) / binsPerLoad }

// extrapolatedLoadEffect extrapolates the effect below the lowest seen bin by a line in the
// square of the load, fitted to that bin and the next ones. Where latency is convex in load, a
// line in the load itself would expect too short a latency of an idle endpoint and thus blame a
// good version.
func (m *latencyModel) extrapolatedLoadEffect(load float64, lowest int) float64 {
	var n, x, y, xx, xy float64
	for i := lowest; i < min(loadBins, lowest+slopeBins); i++ {
		if m.load[i].n < minSlopeAnswers {
			continue
		}
		square, weight := binCentre(i)*binCentre(i), math.Min(m.load[i].n, effectMemory)
		n += weight
		x += weight * square
		y += weight * m.load[i].mean
		xx += weight * square * square
		xy += weight * square * m.load[i].mean
	}
	edge := m.load[lowest].mean
	if n == 0 {
		return edge
	}
	x, y = x/n, y/n
	spread := xx/n - x*x
	if spread < minLoadVariance {
		return edge
	}
	slope := (xy/n - x*y) / spread
	return min(edge, max(edge-maxExtrapolation, y+slope*(load*load-x)))
}

// failureRate is the old version's share of failed answers by load.
type failureRate struct {
	bins [loadBins]struct{ n, failed float64 }
}

func (f *failureRate) learn(o *Observation) {
	bin := &f.bins[loadBin(o.Load)]
	bin.n++
	if o.Failed {
		bin.failed++
	}
	if bin.n > 1000 {
		bin.n /= 2
		bin.failed /= 2
	}
}

// around returns the rate in the load's bin and the two next to it, and whether the old
// version has enough answers there.
func (f *failureRate) around(load float64) (float64, bool) {
	bin := loadBin(load)
	n, failed := 0.0, 0.0
	for i := max(0, bin-1); i <= min(loadBins-1, bin+1); i++ {
		n += f.bins[i].n
		failed += f.bins[i].failed
	}
	if n < minBinAnswers {
		return 0, false
	}
	return failed / n, true
}
