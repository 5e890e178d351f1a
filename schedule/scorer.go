package schedule

// Scorer adds a cost in seconds to every candidate; lower is better. Costs in one
// unit make weights comparable between scorers.
type Scorer interface {
	Score(x *scratch, r *Request, weight float64)
}

// WeightedScorer is a scorer and its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// firstTokenScorer charges the estimated time to first token.
type firstTokenScorer struct{}

func (firstTokenScorer) Score(x *scratch, r *Request, weight float64) {
	prompt, answer := float64(r.PromptTokens), float64(max(r.AnswerTokens, 1))
	if x.flags&flagWork != 0 {
		x.findLeastWork()
	}
	for _, i := range x.live {
		x.firstToken[i], x.finish[i] = x.estimateTimes(i, prompt, answer)
		x.score[i] += weight * x.firstToken[i]
	}
}

// prefillScorer charges the prefill that the request causes. It delays the other
// calls of the endpoint, which the request's own times do not show.
type prefillScorer struct{}

func (prefillScorer) Score(x *scratch, r *Request, weight float64) {
	prompt := float64(r.PromptTokens)
	for _, i := range x.live {
		x.score[i] += weight * (prompt - x.cachedTokens[i]) * x.reports[i].perPrefill
	}
}

// finishScorer charges the estimated time from first token to the end.
type finishScorer struct{}

func (finishScorer) Score(x *scratch, _ *Request, weight float64) {
	for _, i := range x.live {
		x.score[i] += weight * (x.finish[i] - x.firstToken[i])
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
