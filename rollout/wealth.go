package rollout

import "math"

const (
	// falseAlarmRate bounds the chance per move that a good version is taken for a bad one,
	// over all routes and measures and however often the evidence is evaluated.
	falseAlarmRate = 1.0 / 1000
	// suspicionThreshold is the wealth from which the share is not raised.
	suspicionThreshold = 20.0

	// initialStake is the fraction of a component's capital that is staked at the start.
	// The rest is staked in stakeSlots equal parts over the move, so that a version that
	// turns bad late is detected as soon as one that is bad at once.
	initialStake = 0.3
	stakeSlots   = 600

	// pooledWeight is the fraction of the capital for the comparison over all routes.
	pooledWeight = 0.25
	// The firstRoutes routes seen first get firstRoutesShare of the rest in equal parts;
	// later routes get the terms of a falling series.
	firstRoutes      = 8
	firstRoutesShare = 0.8

	maxWealth = 1e30
)

// component is the test martingale of one route and measure. The weighted sum over all
// components is again a martingale, with a start value of at most 1.
type component struct {
	route   string
	measure Measure
	weight  float64
	reserve float64
	// all is the wealth of each bet; without[g] is the wealth that leaves out the answers
	// of group g, an endpoint or a failure domain of the new version.
	all      factors
	without  []factors
	old, new recentValues
}

func newComponent(route string, m Measure, weight float64) *component {
	c := &component{route: route, measure: m, weight: weight, reserve: 1}
	c.stake(initialStake)
	return c
}

// stake moves capital from the reserve to the bets in equal parts.
func (c *component) stake(part float64) {
	part = math.Min(part, c.reserve)
	c.reserve -= part
	each := part / float64(len(bets))
	for i := range c.all {
		c.all[i] += each
	}
	for g := range c.without {
		for i := range c.without[g] {
			c.without[g][i] += each
		}
	}
}

// addGroups extends without to the given number of groups. The wealth without a group that
// has no answers yet equals the wealth of all.
func (c *component) addGroups(groups int) {
	for len(c.without) < groups {
		c.without = append(c.without, c.all)
	}
}

// multiply applies the factors of one answer of the given endpoint and domain groups.
func (c *component) multiply(f factors, endpoint, domain int) {
	c.all.multiply(&f)
	for g := range c.without {
		if g != endpoint && g != domain {
			c.without[g].multiply(&f)
		}
	}
}

func (w *factors) multiply(f *factors) {
	for i := range w {
		if w[i] *= f[i]; w[i] > maxWealth {
			w[i] = maxWealth
		}
	}
}

func (c *component) wealth() float64 { return c.weight * (sum(c.all) + c.reserve) }

func (c *component) wealthWithout(g int) float64 {
	if g >= len(c.without) {
		return c.wealth()
	}
	return c.weight * (sum(c.without[g]) + c.reserve)
}

func sum(f factors) float64 {
	total := 0.0
	for _, v := range f {
		total += v
	}
	return total
}

// routeWeight returns the fraction of the capital for the k-th route seen, counted from 0.
func routeWeight(k int) float64 {
	rest := 1 - pooledWeight
	if k < firstRoutes {
		return rest * firstRoutesShare / firstRoutes
	}
	j := float64(k - firstRoutes + 1)
	return rest * (1 - firstRoutesShare) / (j * (j + 1))
}

// recentSize is the number of latest answers that Evidence covers.
const recentSize = 128

// recentValues is a ring buffer of the latest values of one version.
type recentValues struct {
	values []float64
	next   int
}

func (r *recentValues) add(v float64) {
	if len(r.values) < recentSize {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % recentSize
}

func (r *recentValues) mean() (mean float64, n int64) {
	total := 0.0
	for _, v := range r.values {
		total += v
	}
	if len(r.values) == 0 {
		return 0, 0
	}
	return total / float64(len(r.values)), int64(len(r.values))
}
