package rollout

// bet is a density on the rank of an observation among its peers, scaled to [0,1] and rising
// with the rank: f(u) = 1 - weight + weight * power * u^(power-1). Its integral is 1, so its
// expectation is 1 under the null hypothesis, where every rank is equally likely. By Ville's
// inequality a product of such factors ever exceeds x with a probability of at most 1/x.
type bet struct {
	power  int
	weight float64
}

// bets detect a small shift of many answers, a large shift, and rare extreme answers. No
// single density has statistical power against all three.
var bets = [...]bet{{2, 0.9}, {6, 0.8}, {60, 0.5}}

// cumulative is the integral of the density from 0 to u.
func (b bet) cumulative(u float64) float64 {
	return (1-b.weight)*u + b.weight*power(u, b.power)
}

// power returns u to the n-th by repeated squaring; math.Pow took a tenth of a decision's time.
func power(u float64, n int) float64 {
	out := 1.0
	for ; n > 0; n >>= 1 {
		if n&1 == 1 {
			out *= u
		}
		u *= u
	}
	return out
}

// factor returns the mean density over ranks below..below+ties of n. This is the exact
// conditional expectation given which observations tie, so ties are not broken at random.
// ties counts the observation itself and may be fractional.
func (b bet) factor(below, ties, n float64) float64 {
	lo, hi := below/n, min(1, (below+ties)/n)
	return (b.cumulative(hi) - b.cumulative(lo)) / (hi - lo)
}

// factors holds the factor of each bet.
type factors [len(bets)]float64

func rankFactors(below, ties, n float64) factors {
	var out factors
	for i, b := range bets {
		out[i] = b.factor(below, ties, n)
	}
	return out
}
