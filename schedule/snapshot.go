// Package schedule routes requests: a profile of filters, weighted scorers and a
// picker over an immutable snapshot of the endpoints. Pick takes no lock shared
// by all requests and allocates nothing. Times and the random source are
// arguments.
package schedule

import (
	"iter"
	"maps"
	"math"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/admission"
	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// MaxCandidates is the number of endpoints a gateway considers per service.
const MaxCandidates = 200

// MaxWatchedCandidates is the bound for services whose agents report each change of their load
// to each gateway that considers them. Each report costs both sides processor time.
const MaxWatchedCandidates = 24

// SnapshotInput holds all inputs of NewSnapshot.
type SnapshotInput struct {
	// Gateway is the ID of this gateway; it decides the subset of large services.
	Gateway instance.ID
	// Domain is the failure domain of this gateway.
	Domain    failuredomain.ID
	Config    *contract.Config
	Endpoints []endpoint.Endpoint
	// Previous is the snapshot that this one replaces. Candidates that stay keep their
	// load and outstanding work.
	Previous *Snapshot
	// Profile is the routing profile; nil means DefaultProfile.
	Profile *Profile
}

// Snapshot is an immutable view of the endpoints that may receive work. The load
// of its candidates changes through atomics.
type Snapshot struct {
	Revision uint64
	profile  *Profile
	services map[string]*service
	base     *timeBase
	// byAgent holds the candidates of endpoints that announce themselves, by the address of
	// their agent.
	byAgent map[string][]*Candidate
	// states holds the load of every known endpoint, for the next snapshot.
	states map[stateKey]*state
	// answers holds what the answers of each service taught, for the next snapshot.
	answers map[string]*serviceAnswers
}

// stateKey identifies an endpoint and its agent. The reports of one agent do not apply to its
// successor, so a new agent starts with a new state.
type stateKey struct {
	id          endpoint.ID
	incarnation instance.Incarnation
	agent       string
}

// service holds the candidates of one service. Candidates of one version are
// adjacent.
type service struct {
	candidates []*Candidate
	// states and hashes are those of the candidates, in the same order.
	states   []*state
	hashes   []uint64
	versions []versionRange
	shares   []contract.VersionShare
	// leaving and drained count endpoints left out because they leave or their failure domain
	// is drained.
	leaving, drained int
	// unattended counts endpoints for which no agent may act at present.
	unattended int
}

type versionRange struct {
	version  string
	from, to int
}

// NewSnapshot builds a snapshot.
func NewSnapshot(in SnapshotInput) *Snapshot {
	s := &Snapshot{
		Revision: in.Config.Revision,
		profile:  in.Profile,
		services: make(map[string]*service, len(in.Config.Services)),
		states:   make(map[stateKey]*state),
		byAgent:  make(map[string][]*Candidate),
		base:     &timeBase{},
		answers:  make(map[string]*serviceAnswers, len(in.Config.Services)),
	}
	if in.Previous != nil {
		s.base = in.Previous.base
	}
	if s.profile == nil {
		s.profile = DefaultProfile()
	}
	for _, c := range in.Config.Services {
		s.services[c.Name] = &service{shares: c.Versions}
		s.answers[c.Name] = answersOf(in.Previous, c.Name)
	}
	byService := s.eligible(in)
	for name, list := range byService {
		s.services[name].addCandidates(s, in, subset(string(in.Gateway), list))
	}
	return s
}

// eligible groups the endpoints that may receive work by service.
func (s *Snapshot) eligible(in SnapshotInput) map[string][]endpoint.Endpoint {
	byService := make(map[string][]endpoint.Endpoint, len(s.services))
	for _, e := range in.Endpoints {
		svc := s.services[e.Service]
		if svc == nil {
			continue
		}
		d, known := in.Config.Domains[e.Domain]
		switch {
		case e.Unattended:
			svc.unattended++
		case e.Leaving:
			svc.leaving++
		case known && !d.AcceptsWork():
			svc.drained++
		default:
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	return byService
}

func (svc *service) addCandidates(s *Snapshot, in SnapshotInput, list []endpoint.Endpoint) {
	here := in.Config.Domains[in.Domain]
	here.ID = in.Domain
	for _, e := range list {
		there := in.Config.Domains[e.Domain]
		there.ID = e.Domain
		c := &Candidate{
			Endpoint: e,
			distance: distance(here, there).Seconds(),
			hash:     hashString(string(e.ID)),
			state:    s.stateOf(in.Previous, e),
		}
		svc.candidates = append(svc.candidates, c)
		if e.Watched() {
			s.byAgent[e.Address] = append(s.byAgent[e.Address], c)
		}
	}
	sortByVersion(svc.candidates)
	for i, c := range svc.candidates {
		svc.states = append(svc.states, c.state)
		svc.hashes = append(svc.hashes, c.hash)
		last := len(svc.versions) - 1
		if last < 0 || svc.versions[last].version != c.Endpoint.Version {
			svc.versions = append(svc.versions, versionRange{c.Endpoint.Version, i, i + 1})
			continue
		}
		svc.versions[last].to = i + 1
	}
}

func (s *Snapshot) stateOf(previous *Snapshot, e endpoint.Endpoint) *state {
	key := stateKey{e.ID, e.Incarnation, e.Address}
	var st *state
	if previous != nil {
		st = previous.states[key]
	}
	if st == nil {
		st = &state{base: s.base, answers: s.answers[e.Service]}
		if e.Slots > 0 {
			// The endpoint declares its concurrency; its agent, if any, reports later.
			st.report.Store(newReport(endpoint.Load{Limit: e.Slots, Exact: e.Address != "", Floor: admission.NoFloor}))
		}
	}
	s.states[key] = st
	return st
}

// Candidates returns the candidates of a service; the caller must not change the
// slice.
func (s *Snapshot) Candidates(name string) []*Candidate {
	svc := s.services[name]
	if svc == nil {
		return nil
	}
	return svc.candidates
}

// CandidatesOfAgent returns the candidates served by the agent at an address, among endpoints that
// announce themselves.
func (s *Snapshot) CandidatesOfAgent(address string) []*Candidate { return s.byAgent[address] }

// AgentAddresses returns the addresses of the agents of candidates that announce themselves.
func (s *Snapshot) AgentAddresses() iter.Seq[string] { return maps.Keys(s.byAgent) }

// Candidate finds an endpoint of a service by ID, or nil. It searches the subset
// and is meant for replies, not for routing.
func (s *Snapshot) Candidate(serviceName string, id endpoint.ID) *Candidate {
	for _, c := range s.Candidates(serviceName) {
		if c.Endpoint.ID == id {
			return c
		}
	}
	return nil
}

// MinCompletionTime is the shortest time in which any candidate of the service could
// finish a request of this size if it were idle. It returns 0 when a candidate's
// speeds are unknown, since the request cannot be ruled out then.
func (s *Snapshot) MinCompletionTime(serviceName string, promptTokens, answerTokens int) time.Duration {
	least := math.Inf(1)
	for _, c := range s.Candidates(serviceName) {
		r := c.state.report.Load()
		if r == nil || r.load.PrefillRate <= 0 || r.load.DecodeRate <= 0 {
			return 0
		}
		least = math.Min(least, float64(promptTokens)*r.perPrefill+float64(answerTokens)*r.perDecode)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return seconds(least)
}

// Speeds are learned speeds of the candidates of a service, in tokens a second.
type Speeds struct {
	// Prefill and Decode are the means for prompts and for answers.
	Prefill, Decode float64
	// BestPrefill is the highest one for prompts.
	BestPrefill float64
}

// Speeds returns the learned speeds of the candidates of a service; defaults where none has been
// learned.
func (s *Snapshot) Speeds(serviceName string) Speeds {
	out, known := Speeds{}, 0.0
	for _, c := range s.Candidates(serviceName) {
		r := c.state.report.Load()
		if r == nil || r.load.PrefillRate <= 0 || r.load.DecodeRate <= 0 {
			continue
		}
		known++
		out.Prefill += r.load.PrefillRate
		out.Decode += r.load.DecodeRate
		out.BestPrefill = max(out.BestPrefill, r.load.PrefillRate)
	}
	if known == 0 {
		return Speeds{Prefill: defaultPrefillRate, Decode: defaultDecodeRate, BestPrefill: defaultPrefillRate}
	}
	out.Prefill /= known
	out.Decode /= known
	return out
}

func (svc *service) rangeOf(version string) (from, to int) {
	if version == "" || version == contract.AnyVersion {
		return 0, len(svc.candidates)
	}
	for _, v := range svc.versions {
		if v.version == version {
			return v.from, v.to
		}
	}
	return 0, 0
}

// Distances between failure domains, as one-way latencies.
const (
	distanceSameRegion  = time.Millisecond
	distanceOtherRegion = 30 * time.Millisecond
)

func distance(a, b failuredomain.Domain) time.Duration {
	switch {
	case a.ID == b.ID:
		return 0
	case a.Region == b.Region:
		return distanceSameRegion
	default:
		return distanceOtherRegion
	}
}

// Prefix is a hashed prefix of a prompt and its length.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Request is what routing knows about a request.
type Request struct {
	Service string
	// Version was chosen by share. When empty, Pick chooses from Shares, or from the
	// service's configured shares when Shares is nil.
	Version string
	Shares  []contract.VersionShare
	// UnprovenAllowed permits versions under a move; clear it without a fresh beacon.
	UnprovenAllowed bool
	// Hash spreads requests over the shares; it is stable for a request.
	Hash         uint64
	Tier         account.Tier
	PromptTokens int
	// AnswerTokens is the expected size of the answer.
	AnswerTokens int
	// Prefixes lists hashed prefixes of the prompt, from the shortest to the longest.
	Prefixes []Prefix
	// Excluded lists endpoints already tried.
	Excluded []endpoint.ID
	// Reserve is the number of slots that must stay free beside the request.
	Reserve int
	// StartWithin is the time in which the answer should begin, FinishWithin that in which it
	// must end; 0 means no bound.
	StartWithin, FinishWithin time.Duration
}
