package schedule

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/endpoint"
)

// reportDecayNanos is the age, in nanoseconds, at which a report has lost about two thirds
// of its weight against the mean load of its endpoint.
const reportDecayNanos = 2e9

const maxPositions = 256

// scratch holds the working arrays of one Pick. Arrays are indexed by position
// among the candidates of the chosen version; live lists the positions that no
// filter has taken out. The arrays have one element per uint8, so that indexes need
// no bounds check.
type scratch struct {
	n          int
	candidates []*Candidate
	// states are those of the candidates. Reading them through the candidates would
	// touch one more cache line for each.
	states []*state
	// hashes are those of the candidates.
	hashes []uint64
	now    time.Time
	// nanos is now as an offset from the base of the snapshot's times.
	nanos   int64
	live    []uint8
	liveBuf [maxPositions]uint8
	// flags is the union of the candidates' flags; filters for absent flags do nothing.
	flags   flagSet
	reports [maxPositions]*report
	// reportWeight is the weight of the report after its age, in (0,1].
	reportWeight [maxPositions]float64
	ownRequests  [maxPositions]float64
	// requests is the estimated number of requests at the endpoint.
	requests [maxPositions]float64
	// occupancy is requests over limit.
	occupancy [maxPositions]float64
	// totalOccupancy is the sum of the occupancies of all n candidates.
	totalOccupancy float64
	// spare is the capacity left after the estimated requests and one more; below 0 the
	// endpoint is saturated.
	spare [maxPositions]float64
	// anySaturated is set when some spare is below 0.
	anySaturated bool
	// cachedTokens is the prompt tokens expected in the endpoint's cache.
	cachedTokens [maxPositions]float64
	firstToken   [maxPositions]float64
	finish       [maxPositions]float64
	score        [maxPositions]float64
	// leastWork is the least known time of work among the live candidates, 0 if none is known.
	leastWork float64
	// assumed holds the reports of endpoints without learned speeds, with the speeds that
	// they are assumed to have.
	assumed [maxPositions]report
}

// unknownReport stands in for endpoints that have not reported: they may be cold.
var unknownReport = newReport(endpoint.Load{Cold: true, Floor: admission.NoFloor})

// timeBase turns times into offsets, which are cheaper to store and compare. It is
// set by the first time seen.
type timeBase struct{ at atomic.Pointer[time.Time] }

func (b *timeBase) nanos(t time.Time) int64 {
	at := b.at.Load()
	if at == nil {
		at = b.set(t)
	}
	return t.Sub(*at).Nanoseconds()
}

func (b *timeBase) set(t time.Time) *time.Time {
	b.at.CompareAndSwap(nil, &t)
	return b.at.Load()
}

// flagSet is a bit set of the uncommon states of a candidate.
type flagSet uint32

const (
	flagLeaving flagSet = 1 << iota
	flagFloor
	flagSuspended
	flagCache
	// flagNoPrefill and flagNoDecode flag reports without a learned speed.
	flagNoPrefill
	flagNoDecode
	// flagFailing flags candidates whose answers fail often.
	flagFailing
	// flagSlowdown flags reports of machines that are slower or faster than they usually are.
	flagSlowdown
	// flagWork flags reports with times of work.
	flagWork
)

// estimateLoads estimates the requests at each candidate: own outstanding work is exact;
// the work of other gateways is the reported one and decays to its mean as the report ages.
func (x *scratch) estimateLoads() {
	x.live = x.liveBuf[:x.n]
	copy(x.live, allIndexes[:])
	clear(x.cachedTokens[:x.n])
	clear(x.score[:x.n])
	marks, used, signs := flagSet(0), 0.0, uint64(0)
	for at, st := range x.states {
		i := uint8(at)
		r := st.report.Load()
		if r == nil {
			r = unknownReport
		}
		marks |= r.flags | flagSet(st.flags.Load())
		own := float64(st.requests.Load())
		weight := ageWeight(x.nanos - r.madeNanos)
		usual := float64(r.meanOtherRequests)
		requests := own + usual + weight*(float64(r.otherRequests)-usual)
		if r.exact {
			requests = float64(r.otherRequests) + float64(st.inTransit.Load())
		}
		x.reports[i] = r
		x.reportWeight[i] = weight
		x.ownRequests[i] = own
		x.requests[i] = requests
		occupancy := requests * r.perLimit
		x.occupancy[i] = occupancy
		used += occupancy
		if r.flags&flagWork != 0 {
			requests = own + ageWeight(statedLoadAging*(x.nanos-r.madeNanos))*float64(r.otherRequests)
		}
		spare := float64(r.capacity) + estimateSlack - (requests + 1)
		x.spare[i] = spare
		signs |= math.Float64bits(spare)
	}
	x.flags, x.totalOccupancy, x.anySaturated = marks, used, signs>>63 != 0
}

// allIndexes is the live list before any filter.
var allIndexes = func() (all [maxPositions]uint8) {
	for i := range all {
		all[i] = uint8(i)
	}
	return all
}()

// speedLifetime is the time after which the learned speed of an idle endpoint is outdated: it
// may have been learned while the endpoint was cold or slow.
const speedLifetime = 3 * time.Second

// assumeSpeeds gives endpoints without learned speeds the highest known of the version, and
// idle ones whose speeds are old as well. With a low default instead, an endpoint that
// returns beside fast ones would get no work, and its speed would never be learned.
func (x *scratch) assumeSpeeds() {
	if x.flags&(flagNoPrefill|flagNoDecode) == 0 && !x.anySpeedOutdated() {
		return
	}
	prefill, decode := x.bestInverseSpeeds()
	for _, i := range x.live {
		r := x.reports[i]
		unknown := r.flags & (flagNoPrefill | flagNoDecode)
		if x.speedOutdated(i) {
			unknown = flagNoPrefill | flagNoDecode
		}
		if unknown == 0 {
			continue
		}
		x.assumed[i] = *r
		if unknown&flagNoPrefill != 0 && prefill > 0 {
			x.assumed[i].perPrefill = prefill
		}
		if unknown&flagNoDecode != 0 && decode > 0 {
			x.assumed[i].perDecode = decode
		}
		x.reports[i] = &x.assumed[i]
	}
}

// speedOutdated reports whether the learned speeds of a candidate are old. One request there is
// enough to learn them anew.
func (x *scratch) speedOutdated(i uint8) bool {
	return x.requests[i] < 1 && x.ownRequests[i] == 0 && x.nanos >= x.reports[i].speedExpires
}

func (x *scratch) anySpeedOutdated() bool {
	return slices.ContainsFunc(x.live, x.speedOutdated)
}

// bestInverseSpeeds returns the inverses of the highest known speeds, 0 when none is known.
func (x *scratch) bestInverseSpeeds() (prefill, decode float64) {
	for _, r := range x.reports[:x.n] {
		if r.flags&flagNoPrefill == 0 && (prefill == 0 || r.perPrefill < prefill) {
			prefill = r.perPrefill
		}
		if r.flags&flagNoDecode == 0 && (decode == 0 || r.perDecode < decode) {
			decode = r.perDecode
		}
	}
	return prefill, decode
}

// ageWeight approximates exp(-age/reportDecayNanos) at a fraction of its cost.
func ageWeight(age int64) float64 { return approxExpNeg(float64(age) * (1 / reportDecayNanos)) }

// approxExpNeg approximates exp(-a), 1 for negative ages.
func approxExpNeg(a float64) float64 {
	if a <= 0 {
		return 1
	}
	return 1 / (1 + a*(1+a*0.5))
}

// crowdingSlowdown is the slowdown of decodes at an endpoint at its limit. Agents that adapt the
// limit report speeds without load, and raise the limit until calls take about this much
// longer. Where the limit is declared they report speeds under load.
const crowdingSlowdown = 0.75

// estimateTimes computes time to first token and time to finish for one candidate, in
// seconds.
//
// An endpoint batches up to its limit, so a running call delays another only by
// its prefill, however long its answer is. Work over the limit waits for slots,
// which free up at the pace of the calls that hold them.
func (x *scratch) estimateTimes(i uint8, prompt, answer float64) (first, finish float64) {
	rep := x.reports[i]
	c := x.candidates[i]
	plain := prompt == 0
	prompt -= x.cachedTokens[i]
	waiting := float64(x.states[i].outstandingPrompt.Load()) + float64(rep.otherQueuedTokens)*x.reportWeight[i]
	first = (waiting+prompt)*rep.perPrefill + 2*c.distance
	if over := x.requests[i] + 1 - float64(rep.limit); over > 0 {
		first += over * rep.perLimit * x.callTime(i, answer)
	}
	crowd := 1.0
	if !rep.exact {
		crowd += crowdingSlowdown * x.occupancy[i] * x.occupancy[i]
	}
	if plain && x.flags&flagWork != 0 {
		first += x.workTime(i)
	}
	finish = first + answer*rep.perDecode*crowd
	if rep.flags&x.flags&flagSlowdown != 0 {
		excess := rep.excessAt(x.nanos)
		first, finish = first+slowdownTime(excess, first), finish+slowdownTime(excess, finish)
	}
	return first, finish
}

// callTime is the mean remaining time of the calls at the endpoint.
func (x *scratch) callTime(i uint8, answer float64) float64 {
	if x.ownRequests[i] > 0 {
		mean := float64(x.states[i].outstandingAnswer.Load()) / x.ownRequests[i]
		answer = max(answer, mean)
	}
	return answer * x.reports[i].perDecode
}
