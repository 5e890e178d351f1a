package limit

import "math"

// Weights of a sample in the baseline, which describes an endpoint without load.
const (
	modelMemory = 32.0
	aloneWeight = 1.0
	lightWeight = 0.25
	// fasterWeight is used under load for calls that were clearly faster than predicted.
	// Slower calls have no weight there: under lasting overload they would raise the
	// baseline, and with it the limit, without bound. A lasting slowdown is learned at
	// limit 1, where every call runs alone.
	fasterWeight    = 0.1
	fasterRatio     = 0.85
	minModelSamples = 2
	// minPrediction keeps predictions away from 0, in seconds.
	minPrediction = 1e-3
	// minSizeVariance is the relative variance of sizes above which a slope is fitted.
	minSizeVariance = 0.05
)

// loadLevel is the load of the endpoint when a call started.
type loadLevel int

const (
	levelAlone loadLevel = iota
	levelLight
	levelBusy
)

// latencyModel is a weighted least squares fit of time over size with exponential forgetting.
type latencyModel struct {
	samples             int
	n, x, y, xx, xy     float64
	intercept, slope    float64
	proportional, known bool
}

func (f *latencyModel) ready() bool { return f.samples >= minModelSamples }

// predict predicts the time of a call of size x, in seconds. While all sizes seen were
// alike, the cost of smaller calls is unknown and taken as equal, so that a small
// call does not look slow.
func (f *latencyModel) predict(x float64) float64 {
	if !f.known {
		return minPrediction
	}
	if f.proportional {
		mean := f.x / f.n
		return math.Max(minPrediction, f.y/f.n*math.Max(1, x/math.Max(mean, 1)))
	}
	return math.Max(minPrediction, f.intercept+f.slope*x)
}

// learn adds a sample and returns the time that was predicted for it and the
// ratio of the sample to the prediction.
func (f *latencyModel) learn(x, y float64, c loadLevel) (expected, ratio float64) {
	expected, ratio = y, 1
	if f.known {
		expected = f.predict(x)
		ratio = y / expected
	}
	f.samples++
	if weight := f.sampleWeight(ratio, c); weight > 0 {
		f.add(x, y, weight)
	}
	return expected, ratio
}

func (f *latencyModel) sampleWeight(ratio float64, c loadLevel) float64 {
	switch {
	case c == levelAlone || f.samples <= minModelSamples:
		return aloneWeight
	case c == levelLight:
		return lightWeight
	case ratio < fasterRatio:
		return fasterWeight
	}
	return 0
}

func (f *latencyModel) add(x, y, w float64) {
	keep := 1 - w/modelMemory
	f.n = f.n*keep + w
	f.x = f.x*keep + w*x
	f.y = f.y*keep + w*y
	f.xx = f.xx*keep + w*x*x
	f.xy = f.xy*keep + w*x*y
	f.known = true
	f.fit()
}

func (f *latencyModel) fit() {
	mean := f.x / f.n
	variance := f.xx/f.n - mean*mean
	f.proportional = variance < minSizeVariance*mean*mean
	if f.proportional {
		return
	}
	f.slope = (f.xy/f.n - mean*f.y/f.n) / variance
	f.intercept = f.y/f.n - f.slope*mean
	if f.slope < 0 {
		f.slope = 0
		f.intercept = f.y / f.n
	}
	if f.intercept < 0 {
		f.intercept = 0
		f.slope = f.xy / f.xx
	}
}

// rate is the size per second at the mean size; 0 means not known.
func (f *latencyModel) rate() float64 {
	if !f.known {
		return 0
	}
	mean := f.x / f.n
	return mean / f.predict(mean)
}

// retainedWeight is the weight that slowDown leaves to past samples.
const retainedWeight = 0.1

// slowDown multiplies the predicted times and lets the next samples outweigh the
// past ones.
func (f *latencyModel) slowDown(factor float64) {
	for _, sum := range [...]*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= retainedWeight
	}
	f.y *= factor
	f.xy *= factor
	f.intercept *= factor
	f.slope *= factor
}
