package schedule

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"toucantiller.dev/admission"
	"toucantiller.dev/endpoint"
)

// fadeTime is the age, in nanoseconds, at which a report has lost about two thirds
// of its weight against the usual load of its endpoint.
const fadeTime = 2e9

const maxIndex = 256

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
	liveBuf [maxIndex]uint8
	// marks is the union of the candidates' marks; filters for absent marks do nothing.
	marks   mark
	reports [maxIndex]*report
	// weight is the weight of the report after its age, in (0,1].
	weight [maxIndex]float64
	own    [maxIndex]float64
	// requests is the estimated number of requests at the endpoint.
	requests [maxIndex]float64
	// occupancy is requests over limit.
	occupancy [maxIndex]float64
	// used is the sum of the occupancies of all n candidates.
	used float64
	// spare is the room for requests beyond the estimated number and one more; below 0
	// the endpoint is saturated.
	spare [maxIndex]float64
	// anySaturated is set when some spare is below 0.
	anySaturated bool
	// saved is the prompt tokens expected in the endpoint's cache.
	saved  [maxIndex]float64
	first  [maxIndex]float64
	finish [maxIndex]float64
	score  [maxIndex]float64
	// assumed holds the reports of endpoints without learned speeds, with the speeds that
	// they are assumed to have.
	assumed [maxIndex]report
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

// mark flags the uncommon states of a candidate.
type mark uint32

const (
	markLeaving mark = 1 << iota
	markFloor
	markSuspended
	markCache
	// markNoPrefill and markNoDecode flag reports without a learned speed.
	markNoPrefill
	markNoDecode
	// markFailing flags candidates whose answers fail often.
	markFailing
)

// load estimates the requests at each candidate: own outstanding work is exact;
// the work of other gateways is the reported one, fading into its usual value as
// the report ages.
func (x *scratch) load() {
	x.live = x.liveBuf[:x.n]
	copy(x.live, allIndexes[:])
	clear(x.saved[:x.n])
	clear(x.score[:x.n])
	marks, used, signs := mark(0), 0.0, uint64(0)
	for at, st := range x.states {
		i := uint8(at)
		r := st.report.Load()
		if r == nil {
			r = unknownReport
		}
		marks |= r.marks | mark(st.marks.Load())
		own := float64(st.requests.Load())
		weight := fade(x.nanos - r.made)
		usual := float64(r.usualOthers)
		requests := own + usual + weight*(float64(r.others)-usual)
		if r.exact {
			requests = float64(r.others) + float64(st.underWay.Load())
		}
		x.reports[i] = r
		x.weight[i] = weight
		x.own[i] = own
		x.requests[i] = requests
		occupancy := requests * r.perLimit
		x.occupancy[i] = occupancy
		used += occupancy
		spare := float64(r.room) + estimateSlack - (requests + 1)
		x.spare[i] = spare
		signs |= math.Float64bits(spare)
	}
	x.marks, x.used, x.anySaturated = marks, used, signs>>63 != 0
}

// allIndexes is the live list before any filter.
var allIndexes = func() (all [maxIndex]uint8) {
	for i := range all {
		all[i] = uint8(i)
	}
	return all
}()

// speedLifetime is the time after which the learned speed of an idle endpoint is in doubt:
// it may have been learned in a cold or slow spell.
const speedLifetime = 3 * time.Second

// assumeSpeeds gives endpoints without learned speeds the highest known of the version, and
// idle ones whose speeds are old as well. With a low standard instead, an endpoint that
// returns beside fast ones gets no work, and so never shows its speed.
func (x *scratch) assumeSpeeds() {
	if x.marks&(markNoPrefill|markNoDecode) == 0 && !x.anyOldSpeed() {
		return
	}
	prefill, decode := x.bestSpeeds()
	for _, i := range x.live {
		r := x.reports[i]
		unknown := r.marks & (markNoPrefill | markNoDecode)
		if x.oldSpeed(i) {
			unknown = markNoPrefill | markNoDecode
		}
		if unknown == 0 {
			continue
		}
		x.assumed[i] = *r
		if unknown&markNoPrefill != 0 && prefill > 0 {
			x.assumed[i].perPrefill = prefill
		}
		if unknown&markNoDecode != 0 && decode > 0 {
			x.assumed[i].perDecode = decode
		}
		x.reports[i] = &x.assumed[i]
	}
}

// oldSpeed reports whether the learned speeds of a candidate are old. One request there is
// enough to learn them anew.
func (x *scratch) oldSpeed(i uint8) bool {
	return x.requests[i] < 1 && x.own[i] == 0 && x.nanos >= x.reports[i].speedUntil
}

func (x *scratch) anyOldSpeed() bool {
	return slices.ContainsFunc(x.live, x.oldSpeed)
}

// bestSpeeds returns the inverses of the highest known speeds, 0 when none is known.
func (x *scratch) bestSpeeds() (prefill, decode float64) {
	for _, r := range x.reports[:x.n] {
		if r.marks&markNoPrefill == 0 && (prefill == 0 || r.perPrefill < prefill) {
			prefill = r.perPrefill
		}
		if r.marks&markNoDecode == 0 && (decode == 0 || r.perDecode < decode) {
			decode = r.perDecode
		}
	}
	return prefill, decode
}

// fade approximates exp(-age/fadeTime) at a fraction of its cost.
func fade(age int64) float64 { return fadeOver(float64(age) * (1 / fadeTime)) }

// fadeOver approximates exp(-a), 1 for negative ages.
func fadeOver(a float64) float64 {
	if a <= 0 {
		return 1
	}
	return 1 / (1 + a*(1+a*0.5))
}

// crowding is the slowdown of decodes at an endpoint at its limit. Agents that adapt the
// limit report speeds without load, and raise the limit until calls take about this much
// longer. Where the limit is declared they report speeds under load.
const crowding = 0.75

// estimate computes time to first token and time to finish for one candidate, in
// seconds.
//
// An endpoint batches up to its limit, so a running call delays another only by
// its prefill, however long its answer is. Work over the limit waits for slots,
// which free up at the pace of the calls that hold them.
func (x *scratch) estimate(i uint8, prompt, answer float64) (first, finish float64) {
	rep := x.reports[i]
	c := x.candidates[i]
	prompt -= x.saved[i]
	waiting := float64(x.states[i].prompt.Load()) + float64(rep.othersQueued)*x.weight[i]
	first = (waiting+prompt)*rep.perPrefill + 2*c.distance
	if over := x.requests[i] + 1 - float64(rep.limit); over > 0 {
		first += over * rep.perLimit * x.callTime(i, answer)
	}
	crowd := 1.0
	if !rep.exact {
		crowd += crowding * x.occupancy[i] * x.occupancy[i]
	}
	return first, first + answer*rep.perDecode*crowd
}

// callTime is the mean remaining time of the calls at the endpoint.
func (x *scratch) callTime(i uint8, answer float64) float64 {
	if x.own[i] > 0 {
		mean := float64(x.states[i].answer.Load()) / x.own[i]
		answer = max(answer, mean)
	}
	return answer * x.reports[i].perDecode
}
