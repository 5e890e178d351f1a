package schedule

import (
	"math"
	"slices"

	"toucantiller.dev/admission"
)

// Filter excludes candidates from a pick by removing them from the live list. It
// works on all candidates at once, which keeps interface calls out of the inner
// loop.
type Filter interface {
	// Reason is reported when the filter removed the last candidate.
	Reason() Reason
	Apply(x *scratch, r *Request)
}

// excludedFilter removes endpoints that were tried before.
type excludedFilter struct{}

func (excludedFilter) Reason() Reason { return ReasonAllTried }

func (excludedFilter) Apply(x *scratch, r *Request) {
	if len(r.Excluded) == 0 {
		return
	}
	live := x.live[:0]
	for _, i := range x.live {
		if !slices.Contains(r.Excluded, x.candidates[i].Endpoint.ID) {
			live = append(live, i)
		}
	}
	x.live = live
}

// suspendedFilter removes endpoints whose connection was lost a moment ago.
type suspendedFilter struct{}

func (suspendedFilter) Reason() Reason { return ReasonUnreachable }

func (suspendedFilter) Apply(x *scratch, _ *Request) {
	if x.flags&flagSuspended == 0 {
		return
	}
	live := x.live[:0]
	for _, i := range x.live {
		until := x.states[i].suspended.Load()
		if until == nil || !until.After(x.now) {
			live = append(live, i)
		}
	}
	x.live = live
}

// drainingFilter removes endpoints whose agent reported that it leaves.
type drainingFilter struct{}

func (drainingFilter) Reason() Reason { return ReasonDraining }

func (drainingFilter) Apply(x *scratch, _ *Request) {
	if x.flags&flagLeaving == 0 {
		return
	}
	live := x.live[:0]
	for _, i := range x.live {
		if !x.reports[i].load.Leaving {
			live = append(live, i)
		}
	}
	x.live = live
}

// floorFilter removes endpoints whose admission floor excludes the tier.
type floorFilter struct{}

func (floorFilter) Reason() Reason { return ReasonFloor }

func (floorFilter) Apply(x *scratch, r *Request) {
	if r.Tier == 0 || x.flags&flagFloor == 0 {
		return
	}
	oldest := x.nanos - admission.FloorTTL.Nanoseconds()
	live := x.live[:0]
	for _, i := range x.live {
		rep := x.reports[i]
		floor := rep.load.Floor
		excludes := floor >= 0 && int(r.Tier) > floor && rep.madeNanos > oldest
		if !excludes {
			live = append(live, i)
		}
	}
	x.live = live
}

// estimateSlack rounds the estimated number of requests. Without it, an idle endpoint
// with a limit of 1 is saturated as soon as the mean of other gateways' work is above
// 0, and no request ever goes there again.
const estimateSlack = 0.5

// saturatedFilter removes endpoints at their limit. Warm endpoints accept some
// more requests than their limit; cold ones do not.
type saturatedFilter struct{}

func (saturatedFilter) Reason() Reason { return ReasonSaturated }

func (saturatedFilter) Apply(x *scratch, r *Request) {
	if !x.anySaturated && r.Reserve == 0 {
		return
	}
	if len(r.Prefixes) > 0 {
		x.extendHolderSpare(r)
	}
	reserve := float64(r.Reserve)
	n := uint8(0)
	for _, i := range x.live {
		// The sum without a condition avoids a branch that is hard to predict.
		x.liveBuf[n] = i
		n += notNegative(x.spare[i] - reserve)
	}
	x.live = x.live[:n]
}

// extendHolderSpare raises the spare capacity of endpoints that have cached most of the prompt.
func (x *scratch) extendHolderSpare(r *Request) {
	half := float64(r.PromptTokens) / 2
	for _, i := range x.live {
		if x.cachedTokens[i] > half {
			x.spare[i] = float64(x.reports[i].holderCapacity()) + estimateSlack - (x.requests[i] + 1)
		}
	}
}

// notNegative returns 1 for numbers from 0 up and 0 below.
func notNegative(f float64) uint8 {
	return uint8(^math.Float64bits(f) >> 63)
}

// prefixAffinity removes nothing: it estimates the prompt tokens that each live candidate has
// cached, for the plugins after it.
type prefixAffinity struct{}

func (prefixAffinity) Reason() Reason { return ReasonNone }

func (prefixAffinity) Apply(x *scratch, r *Request) {
	if len(r.Prefixes) > 0 && len(x.live) > 0 {
		x.estimateCachedTokens(r)
	}
}
