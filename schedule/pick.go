package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"toucantiller.dev/policy"
)

// Reason says why a pick found no endpoint.
type Reason uint8

// Reasons of picks without an endpoint.
const (
	ReasonNone Reason = iota
	// ReasonUnknownService: the configuration has no such service.
	ReasonUnknownService
	// ReasonNoEndpoint: no endpoint of the service is known.
	ReasonNoEndpoint
	// ReasonDomainDrained: all endpoints are in drained failure domains or leaving.
	ReasonDomainDrained
	// ReasonUnattended: no agent may act for any of the endpoints at present.
	ReasonUnattended
	// ReasonNoVersion: no endpoint serves the version.
	ReasonNoVersion
	// ReasonAllTried: every endpoint was tried before.
	ReasonAllTried
	// ReasonUnreachable: the connections to all endpoints were lost.
	ReasonUnreachable
	// ReasonDraining: all endpoints are leaving.
	ReasonDraining
	// ReasonFloor: the admission floor of all endpoints excludes the tier.
	ReasonFloor
	// ReasonFailing counts endpoints excluded because their answers fail; the filter never
	// excludes the last one.
	ReasonFailing
	// ReasonTooSlow counts endpoints excluded because the answer would not begin or end there in
	// time; the filter never excludes the fastest one.
	ReasonTooSlow
	// ReasonSaturated: all endpoints are at their limit; the request should wait.
	ReasonSaturated
)

var reasonNames = [...]string{"none", "unknown_service", "no_endpoint", "domain_drained", "unattended", "no_version",
	"all_tried", "unreachable", "draining", "floor", "failing", "too_slow", "saturated"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the outcome of a pick, with the reasons for the timeline.
type Decision struct {
	// Candidate is the chosen endpoint, or nil with Reason set.
	Candidate *Candidate
	Reason    Reason
	// Version is the version that was chosen by share.
	Version string
	// FirstToken and Finish are the estimated times from now.
	FirstToken time.Duration
	Finish     time.Duration
	// Considered counts the candidates of the version, Near those near the best score.
	Considered, Near int
	// Dropped counts the candidates that each filter removed, indexed by Reason.
	Dropped [ReasonSaturated + 1]uint16
	// CachedTokens is the part of the prompt expected in the endpoint's cache.
	CachedTokens int
	// Cold is set when the endpoint is ramping up or has not reported.
	Cold bool
}

// String describes the decision in one line for the timeline.
func (d Decision) String() string {
	if d.Candidate == nil {
		return fmt.Sprintf("none: %s, considered %d, dropped %v", d.Reason, d.Considered, d.Dropped)
	}
	return fmt.Sprintf("%s: first token %s, finish %s, considered %d, near %d, cached %d",
		d.Candidate.Endpoint.ID, d.FirstToken, d.Finish, d.Considered, d.Near, d.CachedTokens)
}

// scratchPool reuses working arrays; sync.Pool keeps them per processor.
var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// Pick chooses an endpoint for a request. It does not count the request as
// outstanding; the caller does so before the next pick.
func (s *Snapshot) Pick(r *Request, now time.Time, rng *rand.Rand) Decision {
	svc := s.services[r.Service]
	if svc == nil {
		return Decision{Reason: ReasonUnknownService}
	}
	if len(svc.candidates) == 0 {
		return Decision{Reason: svc.noCandidateReason()}
	}
	version, unproven := r.Version, false
	shares := r.Shares
	if shares == nil {
		shares = svc.shares
	}
	if version == "" {
		version, unproven = pickVersion(shares, r.UnprovenAllowed, r.Hash)
		if version == "" {
			return Decision{Reason: ReasonNoVersion}
		}
	}
	d := s.pickFrom(svc, version, r, now, rng)
	if d.Candidate != nil || !unproven {
		return d
	}
	// A request drawn to an unproven version may go to a proven one, never the reverse.
	if steady, _ := pickVersion(shares, false, r.Hash); steady != "" {
		return s.pickFrom(svc, steady, r, now, rng)
	}
	return d
}

func (svc *service) noCandidateReason() Reason {
	if svc.drained+svc.leaving > 0 {
		return ReasonDomainDrained
	}
	if svc.unattended > 0 {
		return ReasonUnattended
	}
	return ReasonNoEndpoint
}

func (s *Snapshot) pickFrom(svc *service, version string, r *Request, now time.Time, rng *rand.Rand) Decision {
	from, to := svc.rangeOf(version)
	d := Decision{Version: version, Considered: to - from}
	if from == to {
		d.Reason = ReasonNoVersion
		return d
	}
	x := scratchPool.Get().(*scratch)
	x.n = to - from
	x.candidates = svc.candidates[from:to]
	x.states = svc.states[from:to]
	x.hashes = svc.hashes[from:to]
	x.now = now
	x.nanos = s.base.nanos(now)
	x.estimateLoads()
	x.flags &^= s.profile.ignored
	s.profile.run(x, r, &d, rng)
	x.candidates, x.states, x.hashes = nil, nil, nil
	scratchPool.Put(x)
	return d
}

// Profile is the ordered set of plugins that decide a pick.
type Profile struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
	// ignored holds the flags of reports that no plugin acts on.
	ignored flagSet
}

// Weights and bounds of the default profile.
const (
	weightFirstToken = 1.0
	weightPrefill    = 2.0
	weightFinish     = 0.5
	weightOccupancy  = 1.0
	nearShare        = 0.15
	nearSlack        = 0.005
)

// ProfileWithout returns the default profile less the policies that are switched off.
func ProfileWithout(off policy.Off) *Profile {
	p := DefaultProfile()
	p.Filters = slices.DeleteFunc(p.Filters, func(f Filter) bool {
		switch f.(type) {
		case failingFilter:
			return !off.InForce(policy.FailingEndpoints)
		case tooSlowFilter:
			return !off.InForce(policy.SpeedFilter)
		}
		return false
	})
	if !off.InForce(policy.EndpointSpeed) {
		p.ignored = flagSlowdown | flagWork
	}
	p.Picker = twoChoices{share: nearShare, slack: nearSlack, anyDomain: !off.InForce(policy.OwnDomain)}
	return p
}

// DefaultProfile returns the routing profile of the gateway.
func DefaultProfile() *Profile {
	return &Profile{
		Filters: []Filter{
			excludedFilter{},
			suspendedFilter{},
			drainingFilter{},
			floorFilter{},
			failingFilter{},
			prefixAffinity{},
			tooSlowFilter{},
			saturatedFilter{},
		},
		Scorers: []WeightedScorer{
			{firstTokenScorer{}, weightFirstToken},
			{prefillScorer{}, weightPrefill},
			{finishScorer{}, weightFinish},
			{occupancyScorer{}, weightOccupancy},
		},
		Picker: twoChoices{share: nearShare, slack: nearSlack},
	}
}

func (p *Profile) run(x *scratch, r *Request, d *Decision, rng *rand.Rand) {
	for _, f := range p.Filters {
		before := len(x.live)
		f.Apply(x, r)
		d.Dropped[f.Reason()] = uint16(before - len(x.live))
		if len(x.live) == 0 {
			d.Reason = f.Reason()
			return
		}
	}
	x.sample(r, rng)
	x.assumeSpeeds()
	for _, s := range p.Scorers {
		s.Scorer.Score(x, r, s.Weight)
	}
	i, near := p.Picker.Pick(x, rng)
	d.Candidate = x.candidates[i]
	d.Near = near
	d.FirstToken = seconds(x.firstToken[i])
	d.Finish = seconds(x.finish[i])
	d.CachedTokens = int(x.cachedTokens[i])
	d.Cold = x.reports[i].load.Cold
}

// sampleSize is the number of candidates above which only a sample is scored.
const sampleSize = 64

// sample reduces a long live list to every k-th candidate from a random offset. The best of a
// third is hardly worse than the best of all, costs a third to find, and differs between
// gateways with the same reports. Candidates that have cached most of the prompt stay.
func (x *scratch) sample(r *Request, rng *rand.Rand) {
	step := len(x.live) / sampleSize
	if step < 2 {
		return
	}
	next := rng.IntN(step)
	if len(r.Prefixes) == 0 {
		n := 0
		for ; next < len(x.live); next += step {
			x.live[n] = x.live[next]
			n++
		}
		x.live = x.live[:n]
		return
	}
	half := float64(r.PromptTokens) / 2
	live := x.live[:0]
	for at, i := range x.live {
		if at == next {
			next += step
			live = append(live, i)
			continue
		}
		if x.cachedTokens[i] > half {
			live = append(live, i)
		}
	}
	x.live = live
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
