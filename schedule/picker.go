package schedule

import "math/rand/v2"

// Picker chooses among the candidates that are alive and scored.
type Picker interface {
	// Pick returns the index of the choice and the size of the near-best set, or -1.
	Pick(x *scratch, rng *rand.Rand) (index, near int)
}

// twoChoices draws two candidates from those near the best score and takes the
// better one. Gateways that read the same stale report therefore do not all
// choose the same endpoint.
type twoChoices struct {
	// share and slack bound the near-best set: best*(1+share)+slack seconds.
	share, slack float64
}

func (p twoChoices) Pick(x *scratch, rng *rand.Rand) (index, near int) {
	best, second := -1, -1
	for i := range x.n {
		if !x.alive[i] {
			continue
		}
		switch {
		case best < 0 || x.score[i] < x.score[best]:
			best, second = i, best
		case second < 0 || x.score[i] < x.score[second]:
			second = i
		}
	}
	if best < 0 {
		return -1, 0
	}
	bound := x.score[best]*(1+p.share) + p.slack
	a, b := best, best
	for i := range x.n {
		if !x.alive[i] || x.score[i] > bound {
			continue
		}
		near++
		a, b = sample(rng, near, i, a, b)
	}
	if x.score[b] < x.score[a] || (x.score[b] == x.score[a] && x.occupancy[b] < x.occupancy[a]) {
		a = b
	}
	return a, near
}

// sample keeps two members of a stream, each drawn uniformly and independently.
func sample(rng *rand.Rand, seen, i, a, b int) (int, int) {
	draw := rng.Uint64()
	n := uint64(seen)
	if (draw>>32)*n>>32 == 0 {
		a = i
	}
	if (draw&0xffffffff)*n>>32 == 0 {
		b = i
	}
	return a, b
}
