package schedule

import (
	"math"
	"time"
)

// fadeTime is the age at which a report has lost about two thirds of its weight
// against the usual load of its endpoint.
const fadeTime = 2.0

// scratch holds the working arrays of one Pick. Arrays are indexed by position
// among the candidates of the chosen version.
type scratch struct {
	n          int
	candidates []*Candidate
	reports    [MaxCandidates]*report
	alive      [MaxCandidates]bool
	// requests is the estimated number of requests at the endpoint.
	requests [MaxCandidates]float64
	own      [MaxCandidates]float64
	// occupancy is requests over limit.
	occupancy [MaxCandidates]float64
	// saved is the prompt tokens expected in the endpoint's cache.
	saved  [MaxCandidates]float64
	first  [MaxCandidates]float64
	finish [MaxCandidates]float64
	score  [MaxCandidates]float64
	now    time.Time
}

// unknownReport stands in for endpoints that have not reported: they may be cold.
var unknownReport = &report{limit: 1, prefill: defaultPrefillRate, decode: defaultDecodeRate}

// load estimates the requests at each candidate: own outstanding work is exact;
// the work of other gateways is the reported one, fading into its usual value as
// the report ages.
func (x *scratch) load(now time.Time) {
	x.now = now
	for i := range x.n {
		c := x.candidates[i]
		r := c.state.report.Load()
		if r == nil {
			r = unknownReport
		}
		x.reports[i] = r
		x.saved[i] = 0
		x.score[i] = 0
		weight := 1.0
		if r.others != r.usualOthers {
			weight = fade(now.Sub(r.made).Seconds())
		}
		x.own[i] = float64(c.state.requests.Load())
		x.requests[i] = x.own[i] + weight*r.others + (1-weight)*r.usualOthers
		x.occupancy[i] = x.requests[i] / r.limit
	}
}

// fade approximates exp(-age/fadeTime) at a fraction of its cost.
func fade(age float64) float64 {
	if age <= 0 {
		return 1
	}
	a := age / fadeTime
	return 1 / (1 + a + a*a/2)
}

// estimate computes time to first token and time to finish for one candidate, in
// seconds.
//
// An endpoint batches up to its limit, so a running call delays another only by
// its prefill, however long its answer is. Work over the limit waits for slots,
// which free up at the pace of the calls that hold them.
func (x *scratch) estimate(i int, r *Request) (first, finish float64) {
	rep := x.reports[i]
	st := x.candidates[i].state
	prompt := math.Max(float64(r.PromptTokens)-x.saved[i], 1)
	answer := math.Max(float64(r.AnswerTokens), 1)
	waiting := math.Max(float64(st.prompt.Load()), 0) + rep.othersQueued*fade(x.age(i))
	wait := 0.0
	if over := x.requests[i] + 1 - rep.limit; over > 0 {
		wait = over / rep.limit * x.callTime(i, answer)
	}
	first = wait + (waiting+prompt)/rep.prefill + 2*x.candidates[i].distance
	return first, first + answer/rep.decode
}

func (x *scratch) age(i int) float64 { return x.now.Sub(x.reports[i].made).Seconds() }

// callTime is the mean remaining time of the calls at the endpoint.
func (x *scratch) callTime(i int, answer float64) float64 {
	st := x.candidates[i].state
	if x.own[i] > 0 {
		mean := float64(st.answer.Load()) / x.own[i]
		answer = math.Max(answer, mean)
	}
	return answer / x.reports[i].decode
}
