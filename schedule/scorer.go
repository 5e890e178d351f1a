package schedule

// Scorer adds a cost in seconds to every candidate; lower is better. Costs in one
// unit make weights comparable between scorers.
type Scorer interface {
	Score(x *scratch, r *Request, weight float64)
}

// Weighted is a scorer and its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// affinityScorer credits cached prompt tokens. It runs before the time scorers,
// which charge only for the rest of the prompt.
type affinityScorer struct{}

func (affinityScorer) Score(x *scratch, r *Request, _ float64) {
	if len(r.Prefixes) > 0 {
		x.affinity(r)
	}
}

// firstTokenScorer charges the estimated time to first token.
type firstTokenScorer struct{}

func (firstTokenScorer) Score(x *scratch, r *Request, weight float64) {
	for _, i := range x.live {
		x.first[i], x.finish[i] = x.estimate(i, r)
		x.score[i] += weight * x.first[i]
	}
}

// finishScorer charges the estimated time from first token to the end.
type finishScorer struct{}

func (finishScorer) Score(x *scratch, _ *Request, weight float64) {
	for _, i := range x.live {
		x.score[i] += weight * (x.finish[i] - x.first[i])
	}
}

// occupancyCost is the cost of a fully used endpoint, in seconds. It spreads work
// that would find a free slot everywhere.
const occupancyCost = 0.02

// occupancyScorer charges for the share of the limit in use.
type occupancyScorer struct{}

func (occupancyScorer) Score(x *scratch, _ *Request, weight float64) {
	for _, i := range x.live {
		x.score[i] += weight * occupancyCost * x.occupancy[i]
	}
}
