package schedule

import (
	"math"
	"math/rand/v2"
)

// Picker chooses among the candidates that are live and scored.
type Picker interface {
	// Pick returns the index of the choice and the size of the near-best set. At least
	// one candidate is live.
	Pick(x *scratch, rng *rand.Rand) (index, near int)
}

// twoChoices draws two candidates from those near the best score and takes the
// better one. Gateways that read the same stale report therefore do not all
// choose the same endpoint.
type twoChoices struct {
	// share and slack bound the near-best set: best*(1+share)+slack seconds.
	share, slack float64
	// anyDomain is set if the gateway's own failure domain is not preferred.
	anyDomain bool
}

func (p twoChoices) Pick(x *scratch, rng *rand.Rand) (index, near int) {
	best := x.score[x.live[0]]
	for _, i := range x.live {
		if x.score[i] < best {
			best = x.score[i]
		}
	}
	// A cost below 0 puts best*(1+share) below best; the best itself always counts as near.
	bound := max(best, best*(1+p.share)+p.slack)
	for _, i := range x.live {
		// The write without a condition avoids a branch that is hard to predict.
		x.live[near] = i
		if x.score[i] <= bound {
			near++
		}
	}
	if !p.anyDomain {
		near = x.preferOwnDomain(near)
	}
	live := x.live[:near]
	x.live = live
	draw := rng.Uint64()
	a := int(live[draw>>32*uint64(near)>>32])
	b := int(live[draw&0xffffffff*uint64(near)>>32])
	if x.score[b] < x.score[a] {
		a = b
	}
	return a, near
}

// preferOwnDomain narrows the first n live candidates, which are near the best score, to those in
// the gateway's own failure domain that have no more requests than the least loaded of the n.
// Bodies and answers then stay within the domain. It returns how many are left, or n when none
// qualifies. Only exact reports count: on stale ones gateways would herd to the same endpoint.
func (x *scratch) preferOwnDomain(n int) int {
	least := math.Inf(1)
	for _, i := range x.live[:n] {
		least = min(least, x.requests[i])
	}
	kept := 0
	for at, i := range x.live[:n] {
		if x.reports[i].exact && x.candidates[i].distance == 0 && x.requests[i] <= least {
			x.live[at], x.live[kept] = x.live[kept], i
			kept++
		}
	}
	if kept == 0 {
		return n
	}
	return kept
}
