package schedule

import "math"

const (
	// answerMargin is the factor by which an answer may turn out longer than expected and still
	// end in time. Callers' estimates are right at the median and too low by half in one of five.
	answerMargin = 1.5
	// fastestSlack is the factor by which an endpoint may be slower than the fastest one and still
	// count as fast as it.
	fastestSlack = 1.25
)

// tooSlowFilter removes endpoints at which the answer would not begin or end in time even if it
// began at once, so that a long answer waits for a fast endpoint instead of holding a slot of a
// slow one until its caller leaves. If no endpoint is fast enough, the fastest ones stay.
type tooSlowFilter struct{}

func (tooSlowFilter) Reason() Reason { return ReasonTooSlow }

func (tooSlowFilter) Apply(x *scratch, r *Request) {
	if r.PromptTokens+r.AnswerTokens == 0 || r.StartWithin <= 0 && r.FinishWithin <= 0 {
		return
	}
	if !x.estimateIdleTimes(r) {
		return
	}
	start, finish := x.feasibleBounds(r)
	live := x.live[:0]
	for _, i := range x.live {
		if x.firstToken[i] <= start && x.finish[i] <= finish {
			live = append(live, i)
		}
	}
	x.live = live
}

// feasibleBounds returns the times in seconds within which the answer must begin and end at an
// endpoint to stay in play. At least one live endpoint keeps both.
func (x *scratch) feasibleBounds(r *Request) (start, finish float64) {
	start, finish = math.Inf(1), math.Inf(1)
	if r.FinishWithin > 0 {
		leastFinish := math.Inf(1)
		for _, i := range x.live {
			leastFinish = math.Min(leastFinish, x.finish[i])
		}
		finish = math.Max(r.FinishWithin.Seconds(), fastestSlack*leastFinish)
	}
	leastStart := math.Inf(1)
	for _, i := range x.live {
		if x.finish[i] <= finish {
			leastStart = math.Min(leastStart, x.firstToken[i])
		}
	}
	if within := r.StartWithin.Seconds(); within > 0 && leastStart <= within {
		start = within
	}
	return start, finish
}

// estimateIdleTimes estimates for each live candidate the times in seconds to the first token and
// to the end of a long answer, with a free slot and no other prefill. A candidate without learned
// speeds counts as slow as the slowest known one, since a long answer is no way to learn them. It
// returns false if no speeds are known.
func (x *scratch) estimateIdleTimes(r *Request) bool {
	prefill, decode := x.worstInverseSpeeds()
	if prefill == 0 || decode == 0 {
		return false
	}
	answer := answerMargin * float64(r.AnswerTokens)
	for _, i := range x.live {
		rep := x.reports[i]
		perPrefill, perDecode := rep.perPrefill, rep.perDecode
		if rep.flags&flagNoPrefill != 0 {
			perPrefill = prefill
		}
		if rep.flags&flagNoDecode != 0 {
			perDecode = decode
		}
		prompt := math.Max(0, float64(r.PromptTokens)-x.cachedTokens[i])
		x.firstToken[i] = prompt*perPrefill + 2*x.candidates[i].distance
		x.finish[i] = x.firstToken[i] + answer*perDecode
	}
	return true
}

// worstInverseSpeeds returns the inverses of the lowest known speeds, 0 when none is known.
func (x *scratch) worstInverseSpeeds() (prefill, decode float64) {
	for _, r := range x.reports[:x.n] {
		if r.flags&flagNoPrefill == 0 {
			prefill = math.Max(prefill, r.perPrefill)
		}
		if r.flags&flagNoDecode == 0 {
			decode = math.Max(decode, r.perDecode)
		}
	}
	return prefill, decode
}
