package rollout_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"toucantiller.dev/rollout"
)

// defectKind is the way in which the new version of a scenario is bad.
type defectKind string

const (
	noDefect         defectKind = "good"
	badAtOnce        defectKind = "at-once"
	badLater         defectKind = "later"
	badLoad          defectKind = "under-load"
	badRoute         defectKind = "one-route"
	badSlow          defectKind = "slow"
	badLoadThreshold            = 0.45 // the load from which badLoad shows; full share gives 0.6
)

// disturbanceKind is a condition in a scenario that is no fault of the new version.
type disturbanceKind string

const (
	noDisturbance disturbanceKind = "quiet"
	bursts        disturbanceKind = "bursts"
	domainLoss    disturbanceKind = "domain-loss"
	coldStarts    disturbanceKind = "cold-starts"
	badEndpoint   disturbanceKind = "bad-endpoint"
)

const (
	moveTime    = 30 * time.Minute
	watchTime   = 5 * time.Minute
	domainCount = 3
	baseLoad    = 0.6
	baseErrors  = 0.003
	maxDelay    = 64 // seconds
)

var routeShares = []struct {
	name  string
	share float64
}{{"chat", 0.55}, {"completions", 0.25}, {"summary", 0.17}, {"rare", 0.03}}

// scenario describes a simulated deployment during a move: random arrivals, endpoints of unequal
// speed, and latency that grows with size and load.
type scenario struct {
	replicas    int
	rate        float64 // requests per second
	defect      defectKind
	disturbance disturbanceKind
	seed        uint64
}

// outcome is the result of one run.
type outcome struct {
	action           rollout.Action
	cause            string
	fullAt           time.Duration // when the new version had full share; 0 if never
	endedAt          time.Duration
	requests         int // from the start to the end of the move
	badAnswers       int // bad answers of the new version
	badRouteRequests int // requests on the bad route
	firstBadAt       time.Duration
}

// decider is a rollout.Judge or the naive canary.
type decider interface {
	Decide(now time.Time, m rollout.Move, obs []rollout.Observation) rollout.Decision
}

type simulation struct {
	scenario
	random         *rand.Rand
	latencyFactors [2][]float64
	events         []time.Duration
	badFrom        time.Duration
	coldUntil      [2][]time.Duration
	delayed        [maxDelay][]rollout.Observation
	names          [2][]string
	result         outcome
}

var epoch = time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.seed, 42))}
	for v := range 2 {
		for e := range s.replicas {
			sim.latencyFactors[v] = append(sim.latencyFactors[v], math.Exp(0.1*sim.random.NormFloat64()))
			sim.names[v] = append(sim.names[v], strconv.Itoa(v+1)+"-"+strconv.Itoa(e))
		}
		sim.coldUntil[v] = make([]time.Duration, s.replicas)
	}
	for e := range sim.coldUntil[1] {
		sim.coldUntil[1][e] = time.Minute
	}
	for range 3 {
		sim.events = append(sim.events, time.Duration(sim.random.Float64()*float64(moveTime+watchTime)))
	}
	if s.defect == badLater {
		sim.badFrom = time.Duration((0.1 + 0.7*sim.random.Float64()) * float64(moveTime))
	}
	if s.disturbance == badEndpoint {
		sim.latencyFactors[1][0] = 6
	}
	return sim
}

// run simulates the move to its end with one decision a second.
func (sim *simulation) run(d decider) outcome {
	m := rollout.Move{Service: "s", From: "v1", To: "v2", Share: rollout.FirstShare, Started: epoch, Deadline: epoch.Add(moveTime), StageSince: epoch, Watch: watchTime}
	sim.result.firstBadAt = -1
	for t := time.Second; t < moveTime+2*watchTime; t += time.Second {
		sim.simulateSecond(t, m.Share)
		slot := int(t/time.Second) % maxDelay
		dec := d.Decide(epoch.Add(t), m, sim.delayed[slot])
		sim.delayed[slot] = sim.delayed[slot][:0]
		if dec.Action == rollout.Hold {
			continue
		}
		sim.result.action, sim.result.cause, sim.result.endedAt = dec.Action, dec.Cause, t
		if dec.Action == rollout.TakeBack || dec.Action == rollout.Finish {
			break
		}
		m.Stage, m.Share, m.StageSince = dec.Stage, dec.Share, epoch.Add(t)
		m.Watching = dec.Action == rollout.StartWatch
		if m.Watching {
			sim.result.fullAt = t
		}
	}
	return sim.result
}

// activeEvent returns the event of the given kind that is going on at time t, if each event has
// the given length.
func (sim *simulation) activeEvent(kind disturbanceKind, t, length time.Duration) (int, bool) {
	if sim.disturbance != kind {
		return 0, false
	}
	for i, at := range sim.events {
		if t >= at && t < at+length {
			return i, true
		}
	}
	return 0, false
}

func (sim *simulation) simulateSecond(t time.Duration, share float64) {
	factor := 1.0
	if _, on := sim.activeEvent(bursts, t, time.Minute); on {
		factor = 2
	}
	if i, on := sim.activeEvent(coldStarts, t, time.Second); on {
		sim.restartThird(i, t)
	}
	n := int(sim.rate * factor)
	if sim.random.Float64() < sim.rate*factor-float64(n) {
		n++
	}
	n = max(0, n+int(math.Round(sim.random.NormFloat64()*math.Sqrt(sim.rate*factor)*0.7)))
	for range n {
		sim.simulateRequest(t, share, factor)
	}
}

func (sim *simulation) restartThird(event int, t time.Duration) {
	for v := range 2 {
		for e := range sim.coldUntil[v] {
			if e%3 == event {
				sim.coldUntil[v][e] = t + time.Minute
			}
		}
	}
}

func (sim *simulation) simulateRequest(t time.Duration, share, factor float64) {
	v := 0
	ownShare := 1 - share
	if sim.random.Float64() < share {
		v, ownShare = 1, share
	}
	e := sim.random.IntN(sim.replicas)
	domain := e % domainCount
	lost := false
	if i, on := sim.activeEvent(domainLoss, t, 2*time.Minute); on && domain == i%domainCount {
		// Requests fail until the gateways exclude the domain, 5 s after its loss; then they
		// go to an endpoint in another domain.
		lost = t < sim.events[i]+5*time.Second
		if !lost {
			e = (e + 1) % sim.replicas
			domain = e % domainCount
		}
	}
	load := baseLoad * ownShare * factor * (0.6 + 0.8*sim.random.Float64())
	cold := t < sim.coldUntil[v][e]
	sim.simulateAnswer(t, v, e, domain, load, cold, lost)
}

// slowdown returns the factor by which load raises latency.
func slowdown(load float64) float64 { return 1 + 1.5*load*load }

func (sim *simulation) simulateAnswer(t time.Duration, v, e, domain int, load float64, cold, lost bool) {
	r := sim.random
	pick, route := r.Float64(), routeShares[0].name
	for _, rs := range routeShares {
		if route = rs.name; pick < rs.share {
			break
		}
		pick -= rs.share
	}
	o := rollout.Observation{Version: "v" + strconv.Itoa(v+1), Route: route, Endpoint: sim.names[v][e], Domain: domainNames[domain], Cold: cold, Load: load}
	o.PromptTokens = int(math.Exp(5 + r.NormFloat64()))
	o.AnswerTokens = int(math.Exp(4 + 0.8*r.NormFloat64()))
	timeFactor := sim.latencyFactors[v][e] * slowdown(load)
	if cold {
		timeFactor *= 3
	}
	first := (0.03 + 0.0002*float64(o.PromptTokens)) * timeFactor * math.Exp(0.35*r.NormFloat64())
	between := 0.03 * timeFactor * math.Exp(0.15*r.NormFloat64())
	p := baseErrors + 0.1*math.Max(0, load-1)
	bad := v == 1 && sim.isBad(t, route, load)
	if bad {
		switch sim.defect {
		case badSlow:
			first, between = first*2, between*2
		case badLoad:
			first, between, p = first*3, between*3, p+0.2
		case badRoute:
			p = 0.9
		default:
			p = 0.5
		}
	}
	o.Failed = lost || r.Float64() < p
	o.FirstToken = time.Duration(first * float64(time.Second))
	o.BetweenTokens = time.Duration(between * float64(time.Second))
	sim.countRequest(t, route, bad)
	delay := min(maxDelay-1, 1+int(first))
	slot := (int(t/time.Second) + delay) % maxDelay
	sim.delayed[slot] = append(sim.delayed[slot], o)
}

var domainNames = []string{"lagos-a", "lagos-b", "lagos-c"}

func (sim *simulation) isBad(t time.Duration, route string, load float64) bool {
	switch sim.defect {
	case noDefect:
		return false
	case badLater:
		return t >= sim.badFrom
	case badLoad:
		return load > badLoadThreshold
	case badRoute:
		return route == "rare"
	default:
		return true
	}
}

func (sim *simulation) countRequest(t time.Duration, route string, bad bool) {
	sim.result.requests++
	if route == "rare" {
		sim.result.badRouteRequests++
	}
	if bad {
		sim.result.badAnswers++
		if sim.result.firstBadAt < 0 {
			sim.result.firstBadAt = t
		}
	}
}
