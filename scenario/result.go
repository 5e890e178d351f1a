package scenario

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lossCause is why a call that may have run has no complete answer.
type lossCause string

// Causes of losses.
const (
	// lostToRetry is the cause of prefill spent on earlier runs of good calls.
	lostToRetry    lossCause = "retry"
	lostToDeadline lossCause = "deadline"
	lostToEngine   lossCause = "engine"
	lostToAgent    lossCause = "agent"
	lostToGateway  lossCause = "gateway"
	lostToSilence  lossCause = "silence"
	lostToErrors   lossCause = "errors"
)

// Result is what one run measured. Only calls that arrived in the measured time
// count, except for the promises, which cover all calls.
type Result struct {
	Offered, Good, Refused, Lost [tiers]int
	// LongGood counts complete answers of calls 100 times the usual size.
	LongGood, LongOffered int
	// Tokens is the answer tokens of good calls; GoodInTime counts all calls that
	// finished within the measured time.
	GoodInTime int
	// DoubleRuns counts calls that ran twice, FalseNotRun refusals of calls that ran.
	DoubleRuns, FalseNotRun int
	// TierInversions counts sheds of a tier while lower-tier work waited.
	TierInversions int
	// ColdOver counts cold engines loaded until they fell over.
	ColdOver  int
	EarlyShed int

	prefillDone, prefillWasted float64
	// wastedBy is the wasted prefill by the cause of the loss.
	wastedBy    map[lossCause]float64
	first       *hdrhistogram.Histogram
	from, until time.Time
}

func newResult() *Result {
	return &Result{wastedBy: map[lossCause]float64{}, first: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (r *Result) offered(c *call) {
	if !c.measured {
		return
	}
	if c.long {
		r.LongOffered++
	}
	r.Offered[c.tier]++
}

func (r *Result) good(c *call, now time.Time) {
	if now.After(r.from) && now.Before(r.until) {
		r.GoodInTime++
	}
	if !c.measured {
		return
	}
	if c.long {
		r.LongGood++
	}
	r.Good[c.tier]++
	_ = r.first.RecordValue(c.firstAt.Sub(c.arrived).Microseconds())
}

func (r *Result) refused(c *call) {
	if c.measured {
		r.Refused[c.tier]++
	}
}

func (r *Result) lost(c *call) {
	if c.measured {
		r.Lost[c.tier]++
	}
}

// close derives the figures that need every call's end.
func (r *Result) close(calls []*call) {
	for _, c := range calls {
		if c.runs > 1 {
			r.DoubleRuns++
		}
		if c.refused && c.runs > 0 {
			r.FalseNotRun++
		}
		wasted := c.prefilled
		if c.good {
			wasted -= c.lastWork
		}
		r.prefillWasted += wasted
		r.wastedBy[cmp.Or(c.lostTo, lostToRetry)] += wasted
	}
}

// goodShare is the share of a tier's offered calls that got a complete answer.
func (r *Result) goodShare(tier int) float64 {
	if r.Offered[tier] == 0 {
		return 1
	}
	return float64(r.Good[tier]) / float64(r.Offered[tier])
}

func (r *Result) quantile(q float64) time.Duration {
	return time.Duration(r.first.ValueAtQuantile(q)) * time.Microsecond
}
