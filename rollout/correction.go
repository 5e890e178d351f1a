package rollout

import "math"

const (
	loadBins = 24
	// binsPerLoad sets the width of a bin to a tenth of an endpoint's limit.
	binsPerLoad = 10
	// leastBin is the number of old answers from which a bin's mean is used.
	leastBin = 12
	// warmUp is the number of answers that only the effect of size learns from: an unfitted
	// size would leave its whole error in the first bins of load and thus in their slope.
	warmUp = 24
	// slopeBins is the number of bins from the lowest seen one whose slope is continued
	// below it.
	slopeBins = 4
	// slopeBin is the number of old answers from which a bin counts for the slope, and
	// leastSpread the least variance of the squared load.
	slopeBin    = 50
	leastSpread = 1e-3
	// mostExtrapolated bounds how much faster than seen an idle endpoint is expected. Below
	// latencyMargin, a wrong slope alone cannot take a good version back.
	mostExtrapolated = 0.2
	features         = 3
)

// regression is recursive least squares on a few features.
type regression struct {
	weights [features]float64
	inverse [features][features]float64
	started bool
}

// initialVariance makes the starting weights of no consequence after a few observations.
const initialVariance = 100

func (r *regression) predict(x [features]float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += v * r.weights[i]
	}
	return sum
}

func (r *regression) learn(x [features]float64, y float64) {
	if !r.started {
		for i := range features {
			r.inverse[i][i] = initialVariance
		}
		r.started = true
	}
	var px [features]float64
	denominator := 1.0
	for i := range features {
		for j := range features {
			px[i] += r.inverse[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	miss := y - r.predict(x)
	for i := range features {
		r.weights[i] += px[i] / denominator * miss
		for j := range features {
			r.inverse[i][j] -= px[i] * px[j] / denominator
		}
	}
}

// correction predicts the logarithm of a time of the old version from size and load. It
// learns from the old version only, so a slow new version cannot raise what is expected.
type correction struct {
	n    int
	size regression
	load [loadBins]effect
	// domains holds the effect of each failure domain, as their hardware may differ.
	domains map[string]*effect
}

// effect is a running mean of what remains to be explained.
type effect struct{ n, mean float64 }

// effectMemory bounds the weight of the past in a mean, in answers.
const effectMemory = 200

func (e *effect) learn(rest float64) {
	e.n++
	e.mean += (rest - e.mean) / math.Min(e.n, effectMemory)
}

func sizes(o *Observation) [features]float64 {
	return [features]float64{1, math.Log1p(float64(o.PromptTokens)), math.Log1p(float64(o.AnswerTokens))}
}

func loadBin(load float64) int {
	return min(loadBins-1, max(0, int(load*binsPerLoad)))
}

// learn adds an answer of the old version that took seconds.
func (c *correction) learn(o *Observation, seconds float64) {
	if c.domains == nil {
		c.domains = make(map[string]*effect)
	}
	domain := c.domains[o.Domain]
	if domain == nil {
		domain = &effect{}
		c.domains[o.Domain] = domain
	}
	x := sizes(o)
	y := math.Log(seconds)
	if c.n++; c.n <= warmUp {
		c.size.learn(x, y)
		return
	}
	load := &c.load[loadBin(o.Load)]
	size, byLoad, byDomain := c.size.predict(x), load.mean, domain.mean
	load.learn(y - size - byDomain)
	domain.learn(y - size - byLoad)
	c.size.learn(x, y-byLoad-byDomain)
}

// domainEffect is known only where the old version was seen: another domain may have
// other hardware.
func (c *correction) domainEffect(name string) (float64, bool) {
	if d := c.domains[name]; d != nil && d.n >= leastBin {
		return d.mean, true
	}
	return 0, false
}

// residual returns the logarithm of the time over what the old version would have taken
// at the same size, load and
// failure domain. ok is false where the old version was not seen at such a load
// or in the domain.
func (c *correction) residual(o *Observation, seconds float64) (value float64, ok bool) {
	load, seenLoad := c.loadEffect(o.Load)
	domain, seenDomain := c.domainEffect(o.Domain)
	return math.Log(seconds) - c.size.predict(sizes(o)) - load - domain, seenLoad && seenDomain
}

// loadEffect interpolates between the centres of bins, as a step at a bin's edge would
// bias versions that run at different loads.
func (c *correction) loadEffect(load float64) (float64, bool) {
	if lowest, ok := c.lowest(); ok && load < binCentre(lowest) {
		return c.extrapolated(load, lowest), true
	}
	at := load*binsPerLoad - 0.5
	i := min(loadBins-1, max(0, int(math.Floor(at))))
	j := min(loadBins-1, i+1)
	lo, hi := c.load[i], c.load[j]
	switch {
	case lo.n >= leastBin && hi.n >= leastBin:
		t := math.Min(1, math.Max(0, at-float64(i)))
		return lo.mean*(1-t) + hi.mean*t, true
	case c.load[loadBin(load)].n >= leastBin:
		return c.load[loadBin(load)].mean, true
	default:
		return c.nearest(loadBin(load))
	}
}

// nearest uses the next bin of a higher load at any distance, as time does not fall with
// load and the comparison then favours the new version, and otherwise only the bin below:
// the time at a load that the old version never had cannot be known.
func (c *correction) nearest(bin int) (float64, bool) {
	for i := bin + 1; i < loadBins; i++ {
		if c.load[i].n >= leastBin {
			return c.load[i].mean, true
		}
	}
	if bin > 0 && c.load[bin-1].n >= leastBin {
		return c.load[bin-1].mean, true
	}
	return 0, false
}

// lowest returns the first bin in which the old version was seen.
func (c *correction) lowest() (bin int, ok bool) {
	for i := range c.load {
		if c.load[i].n >= leastBin {
			return i, true
		}
	}
	return 0, false
}

func binCentre(bin int) float64 { return (float64(bin) + 0.5) / binsPerLoad }

// extrapolated continues the effect below the lowest seen bin as a line in the square of
// the load, fitted to the seen bins next to it. A line in the load itself would expect too
// little of an idle endpoint where time is convex in load, and thus blame a good version.
func (c *correction) extrapolated(load float64, lowest int) float64 {
	var n, x, y, xx, xy float64
	for i := lowest; i < min(loadBins, lowest+slopeBins); i++ {
		if c.load[i].n < slopeBin {
			continue
		}
		square, weight := binCentre(i)*binCentre(i), math.Min(c.load[i].n, effectMemory)
		n += weight
		x += weight * square
		y += weight * c.load[i].mean
		xx += weight * square * square
		xy += weight * square * c.load[i].mean
	}
	edge := c.load[lowest].mean
	if n == 0 {
		return edge
	}
	x, y = x/n, y/n
	spread := xx/n - x*x
	if spread < leastSpread {
		return edge
	}
	slope := (xy/n - x*y) / spread
	return min(edge, max(edge-mostExtrapolated, y+slope*(load*load-x)))
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

// at returns the rate around a load, and whether the old version was seen there.
func (f *failureRate) at(load float64) (float64, bool) {
	bin := loadBin(load)
	n, failed := 0.0, 0.0
	for i := max(0, bin-1); i <= min(loadBins-1, bin+1); i++ {
		n += f.bins[i].n
		failed += f.bins[i].failed
	}
	if n < leastBin {
		return 0, false
	}
	return failed / n, true
}
