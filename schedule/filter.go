package schedule

import (
	"math"
	"slices"

	"toucantiller.dev/admission"
)

// Filter takes candidates out of a pick by clearing their alive mark. It works
// on all candidates at once, which keeps interface calls out of the inner loop.
type Filter interface {
	// Reason is reported when the filter took out the last candidate.
	Reason() Reason
	// Apply returns the number of candidates it took out.
	Apply(x *scratch, r *Request) int
}

// excludedFilter takes out endpoints that were tried before.
type excludedFilter struct{}

func (excludedFilter) Reason() Reason { return ReasonAllTried }

func (excludedFilter) Apply(x *scratch, r *Request) int {
	if len(r.Excluded) == 0 {
		return 0
	}
	return x.drop(func(i int) bool {
		return slices.Contains(r.Excluded, x.candidates[i].Endpoint.ID)
	})
}

// suspendedFilter takes out endpoints whose connection was lost a moment ago.
type suspendedFilter struct{}

func (suspendedFilter) Reason() Reason { return ReasonUnreachable }

func (suspendedFilter) Apply(x *scratch, _ *Request) int {
	return x.drop(func(i int) bool {
		until := x.candidates[i].state.suspended.Load()
		return until != nil && until.After(x.now)
	})
}

// drainingFilter takes out endpoints whose agent reported that it leaves.
type drainingFilter struct{}

func (drainingFilter) Reason() Reason { return ReasonDraining }

func (drainingFilter) Apply(x *scratch, _ *Request) int {
	return x.drop(func(i int) bool { return x.reports[i].load.Leaving })
}

// floorFilter takes out endpoints whose admission floor excludes the tier.
type floorFilter struct{}

func (floorFilter) Reason() Reason { return ReasonFloor }

func (floorFilter) Apply(x *scratch, r *Request) int {
	if r.Tier == 0 {
		return 0
	}
	oldest := x.now.Add(-admission.FloorTTL)
	return x.drop(func(i int) bool {
		rep := x.reports[i]
		if rep == unknownReport || rep.load.Floor < 0 || int(r.Tier) <= rep.load.Floor {
			return false
		}
		return rep.made.After(oldest)
	})
}

// saturatedFilter takes out endpoints at their limit. Warm endpoints may hold
// some more requests, so that the agent always has the next one at hand; cold
// ones may not.
type saturatedFilter struct{ ahead float64 }

func (saturatedFilter) Reason() Reason { return ReasonSaturated }

func (f saturatedFilter) Apply(x *scratch, _ *Request) int {
	return x.drop(func(i int) bool {
		rep := x.reports[i]
		room := rep.limit
		if rep != unknownReport && !rep.load.Cold {
			room += math.Ceil(f.ahead * rep.limit)
		}
		return x.requests[i]+1 > room
	})
}

func (x *scratch) drop(out func(i int) bool) int {
	n := 0
	for i := range x.n {
		if x.alive[i] && out(i) {
			x.alive[i] = false
			n++
		}
	}
	return n
}
